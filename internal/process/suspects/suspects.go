// Package suspects holds back requests that crash backend servers. Package
// quarantine decides; this package adds the lock, waits for the turn of suspects,
// and exchanges strikes with other nodes.
package suspects

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/execute"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

// retryAfter is when a request that is held back may be sent again.
const retryAfter = time.Second

// Hosts knows the hosts that offer a service and take new work.
type Hosts interface {
	HostsOf(service string) []string
}

// Rumours carries rumours to other nodes.
type Rumours interface {
	// Publish returns when the hosts of the service that could be reached have the
	// rumours, or after a short time.
	Publish(service string, rumours []quarantine.Rumour) error
}

// A Watch holds back suspects at one node. It is safe for concurrent use.
type Watch struct {
	host    string
	hosts   Hosts
	rumours Rumours
	clock   clock.Clock
	log     event.Log

	// mu guards all below.
	mu   sync.Mutex
	list *quarantine.List
	last uint64
	// changed is closed and replaced when the turn of suspects may be free.
	changed chan struct{}
}

// NewWatch returns a Watch that suspects nothing.
func NewWatch(host string, incarnation uint64, h Hosts, r Rumours, c clock.Clock, l event.Log) *Watch {
	return &Watch{
		host: host, hosts: h, rumours: r, clock: c, log: l,
		list: quarantine.NewList(host, incarnation), changed: make(chan struct{}),
	}
}

// Place returns the only one of the hosts where a request may run; false if it
// may run anywhere.
func (w *Watch) Place(c call.Context, hosts []string) (string, bool) {
	f := fingerprintOf(c)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.list.Strikes(w.clock.Now(), f) == 0 {
		return "", false
	}
	return quarantine.Place(f, hosts), true
}

// Check lets a request in. A suspect waits for its turn, and only at its place.
func (w *Watch) Check(ctx context.Context, c call.Context) (execute.Tracker, error) {
	f := fingerprintOf(c)
	if place, ok := w.Place(c, w.hosts.HostsOf(c.Service)); ok && place != w.host {
		return nil, refusal.New(refusal.Quarantined).WithRetryAfter(retryAfter)
	}
	for {
		id, verdict, changed := w.enter(f)
		switch verdict {
		case quarantine.Run:
			return &visit{watch: w, id: id, service: c.Service, fingerprint: f}, nil
		case quarantine.Quarantined:
			return nil, refusal.New(refusal.Quarantined)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, refusal.New(refusal.Quarantined).WithRetryAfter(retryAfter)
		}
	}
}

// Receive is the handler of rumours from other nodes.
func (w *Watch) Receive(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	return nil, w.merge(body)
}

// Hear takes in strikes that a rumour brought.
func (w *Watch) Hear(payload []byte) {
	_ = w.merge(payload) // A rumour that can't be read says nothing.
}

func (w *Watch) merge(payload []byte) error {
	var rumours []quarantine.Rumour
	if err := codec.Decoder.Unmarshal(payload, &rumours); err != nil {
		return fmt.Errorf("decode strikes: %w", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range rumours {
		w.list.Merge(w.clock.Now(), r)
	}
	w.wake()
	return nil
}

func (w *Watch) enter(f quarantine.Fingerprint) (uint64, quarantine.Verdict, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	return w.last, w.list.Enter(w.clock.Now(), w.last, f), w.changed
}

func (w *Watch) start(id uint64) quarantine.Verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.list.Start(w.clock.Now(), id)
}

func (w *Watch) leave(id uint64, end quarantine.End) []quarantine.Rumour {
	w.mu.Lock()
	defer w.mu.Unlock()
	rumours := w.list.Leave(w.clock.Now(), id, end)
	w.wake()
	return rumours
}

// wake lets waiting suspects look again; mu must be held.
func (w *Watch) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// publish tells other nodes. The request's answer waits for it, so that the
// request is known as a suspect before its caller can send it again.
func (w *Watch) publish(service string, rumours []quarantine.Rumour) {
	for _, r := range rumours {
		kind := event.RequestStruck
		if r.Cleared {
			kind = event.RequestCleared
		}
		w.log.Emit(kind, log.Fields{"host": w.host, "account": r.Fingerprint.Account, "content": r.Fingerprint.Hash})
	}
	if err := w.rumours.Publish(service, rumours); err != nil {
		w.log.Emit(event.StrikesNotSpread, log.Fields{"host": w.host, "error": err.Error()})
	}
}

// A visit is one request that was let in.
type visit struct {
	watch       *Watch
	id          uint64
	service     string
	fingerprint quarantine.Fingerprint
}

// Start reports whether the request may still be handed over.
func (v *visit) Start() error {
	switch v.watch.start(v.id) {
	case quarantine.Run:
		return nil
	case quarantine.Busy:
		return refusal.New(refusal.Quarantined).WithRetryAfter(retryAfter)
	default:
		return refusal.New(refusal.Quarantined)
	}
}

// Finish takes in how the request ended.
func (v *visit) Finish(r execute.Result) {
	end := quarantine.Ended
	switch {
	case r.Crashed:
		end = quarantine.Broken
	case r.Sent && r.Answer.Refusal == nil:
		end = quarantine.Answered
	}
	if rumours := v.watch.leave(v.id, end); len(rumours) > 0 {
		v.watch.publish(v.service, rumours)
	}
}

func fingerprintOf(c call.Context) quarantine.Fingerprint {
	return quarantine.Fingerprint{Account: c.Account, Hash: c.ContentHash}
}
