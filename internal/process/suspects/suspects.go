// Package suspects limits requests that crash backend servers. Package quarantine
// decides which requests may run. This package adds the locking and queues suspects until
// they may run. Packages strikes and mesh exchange strikes with other nodes.
package suspects

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/execute"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

// retryAfter is the retry delay given to the caller of a refused suspect.
const retryAfter = time.Second

// HostLister returns the hosts that offer a service and accept new work.
type HostLister interface {
	HostsOf(service string) []string
}

// Publisher publishes rumours to other nodes.
type Publisher interface {
	// Publish returns when the reachable hosts of the service have received the
	// rumours, or after a short timeout.
	Publish(service string, rumours []quarantine.Rumour) error
}

// A Filter limits suspects on one node. It is safe for concurrent use.
type Filter struct {
	host string
	// hosts is nil if suspects may run on any host.
	hosts     HostLister
	publisher Publisher
	clock     clock.Clock
	log       event.Log

	// mu guards the fields below.
	mu     sync.Mutex
	list   *quarantine.List
	lastID uint64
	// changed is closed and replaced when a waiting suspect may be able to run.
	changed chan struct{}
}

// An Option configures a Filter.
type Option func(*Filter)

// WithHosts makes a suspect run only on the host that quarantine.HostFor picks of those that
// offer its service. Without this option it may run on any host.
func WithHosts(h HostLister) Option { return func(f *Filter) { f.hosts = h } }

// NewFilter returns a Filter without strikes whose decisions list makes.
func NewFilter(host string, list *quarantine.List, p Publisher, c clock.Clock, l event.Log, options ...Option) *Filter {
	f := &Filter{host: host, publisher: p, clock: c, log: l, list: list, changed: make(chan struct{})}
	for _, o := range options {
		o(f)
	}
	return f
}

// SuspectHost returns the host on which a suspect must run, empty if there are no hosts.
// It returns false if the request isn't a suspect and may run on any host.
func (f *Filter) SuspectHost(c call.Context, hosts []string) (string, bool) {
	p := fingerprintOf(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.list.Strikes(f.clock.Now(), p) == 0 {
		return "", false
	}
	return quarantine.HostFor(p, hosts), true
}

// Check admits a request. With WithHosts, a suspect is admitted only on the host returned by
// SuspectHost. It waits while the list lets no further suspect run. The error is a refusal.
func (f *Filter) Check(ctx context.Context, c call.Context) (execute.Tracker, error) {
	p := fingerprintOf(c)
	if f.hosts != nil {
		if host, ok := f.SuspectHost(c, f.hosts.HostsOf(c.Service)); ok && host != f.host {
			return nil, refusal.New(refusal.Quarantined).WithRetryAfter(retryAfter)
		}
	}
	for {
		id, decision, changed := f.admit(p)
		switch decision {
		case quarantine.Run:
			return &tracker{filter: f, id: id, service: c.Service, fingerprint: p}, nil
		case quarantine.Quarantined:
			return nil, f.refuse(p)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, refusal.New(refusal.Quarantined).WithRetryAfter(retryAfter)
		}
	}
}

// refuse returns the refusal of requests with too many strikes. Its retry delay is the time
// until the strikes expire.
func (f *Filter) refuse(p quarantine.Fingerprint) refusal.Refusal {
	f.mu.Lock()
	defer f.mu.Unlock()
	return refusal.New(refusal.Quarantined).WithRetryAfter(f.list.RefusedFor(f.clock.Now(), p))
}

// MergeEncoded applies the strikes and clearances of other nodes that package strikes has
// encoded.
func (f *Filter) MergeEncoded(payload []byte) error {
	var rumours []quarantine.Rumour
	if err := codec.Decoder.Unmarshal(payload, &rumours); err != nil {
		return fmt.Errorf("decode strikes: %w", err)
	}
	f.Merge(rumours)
	return nil
}

// Merge applies the strikes and clearances of other nodes.
func (f *Filter) Merge(rumours []quarantine.Rumour) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range rumours {
		f.list.Merge(f.clock.Now(), r)
	}
	f.notifyWaiters()
}

// Rumours returns the strikes that a node which has restarted needs, at most limit.
func (f *Filter) Rumours(limit int) []quarantine.Rumour {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.Rumours(f.clock.Now(), limit)
}

func (f *Filter) admit(p quarantine.Fingerprint) (uint64, quarantine.Decision, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastID++
	return f.lastID, f.list.Admit(f.clock.Now(), f.lastID, p), f.changed
}

func (f *Filter) start(id uint64) quarantine.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.Start(f.clock.Now(), id)
}

func (f *Filter) finish(id uint64, outcome quarantine.Outcome) []quarantine.Rumour {
	f.mu.Lock()
	defer f.mu.Unlock()
	rumours := f.list.Finish(f.clock.Now(), id, outcome)
	f.notifyWaiters()
	return rumours
}

// notifyWaiters makes waiting suspects retry; mu must be held.
func (f *Filter) notifyWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// publish logs the rumours and publishes them to other nodes. The request's answer is
// delayed until publish returns, so that other nodes treat the request as a suspect
// before its caller can retry it.
func (f *Filter) publish(service string, rumours []quarantine.Rumour) {
	for _, r := range rumours {
		kind := event.RequestStruck
		if r.Cleared {
			kind = event.RequestCleared
		}
		f.log.Emit(kind, log.Fields{"host": f.host, "account": r.Fingerprint.Account, "content": r.Fingerprint.Hash})
	}
	if err := f.publisher.Publish(service, rumours); err != nil {
		f.log.Emit(event.StrikesNotSpread, log.Fields{"host": f.host, "error": err.Error()})
	}
}

// A tracker tracks one request that was admitted.
type tracker struct {
	filter      *Filter
	id          uint64
	service     string
	fingerprint quarantine.Fingerprint
}

// Start returns a refusal if the request must not be sent to the backend server any more.
func (t *tracker) Start() error {
	switch t.filter.start(t.id) {
	case quarantine.Run:
		return nil
	case quarantine.Busy:
		return refusal.New(refusal.Quarantined).WithRetryAfter(retryAfter)
	default:
		return t.filter.refuse(t.fingerprint)
	}
}

// Finish records the outcome of the request and publishes the resulting rumours.
func (t *tracker) Finish(r execute.Result) {
	outcome := quarantine.OtherOutcome
	switch {
	case r.Crashed:
		outcome = quarantine.ConnectionBroken
	case r.Sent && r.Answer.Refusal == nil:
		outcome = quarantine.Answered
	}
	if rumours := t.filter.finish(t.id, outcome); len(rumours) > 0 {
		t.filter.publish(t.service, rumours)
	}
}

func fingerprintOf(c call.Context) quarantine.Fingerprint {
	return quarantine.Fingerprint{Account: c.Account, Hash: c.ContentHash}
}
