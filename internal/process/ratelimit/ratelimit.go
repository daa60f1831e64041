// Package ratelimit enforces the rate limit of each client account across all hosts.
// Every node has a limiter for the requests that enter there, and grants tokens to
// other nodes from the shards that it holds. Package rate implements the algorithm and
// explains why the limit is exact. A HolderResolver finds the holders of shards.
package ratelimit

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/google/uuid"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/rate"
)

const (
	// KindRateRequest is the kind of the message that carries a rate.Request. The
	// response carries a rate.Reply.
	KindRateRequest = 30
	// tokenWaitDivisor divides the wait passed to Take to get the maximum time that a
	// request waits for a token.
	tokenWaitDivisor = 4
	// maxTokenWait is the upper limit of that time.
	maxTokenWait = 250 * time.Millisecond
	// stepInterval is the interval at which waiting requests and due messages are processed.
	stepInterval = 10 * time.Millisecond
	// requestTimeout limits one exchange with a holder.
	requestTimeout = 500 * time.Millisecond
)

// A ConfigurationSource returns the configuration that is active on the node.
type ConfigurationSource interface {
	Current() (configuration.Snapshot, bool)
}

// A Tenure is a period during which this node is the only holder of a shard.
type Tenure struct {
	// Epoch increases by one each time the shard is assigned a holder, even if it is
	// the same one.
	Epoch uint64
	// From is the start time. No earlier holder grants tokens at or after it.
	From time.Time
	// Until is the end time unless the tenure is extended.
	Until time.Time
}

// A HolderResolver finds the holders of shards.
type HolderResolver interface {
	// Held returns this node's tenure of a shard, or false if the node does not hold it.
	Held(shard string) (Tenure, bool)
	// HolderAddress returns the peer address of a shard's holder, if known.
	HolderAddress(shard string) (string, bool)
	// InvalidateHolder drops the cached address of a holder that failed to serve a
	// request for the shard.
	InvalidateHolder(shard string)
}

// A Transport sends a message to another node and returns the response.
type Transport interface {
	Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error)
}

// Self identifies the local node.
type Self struct {
	Host, Zone string
	// Address is the node's own peer address.
	Address string
}

// Deps are the dependencies of a Service. All are required.
type Deps struct {
	Configuration ConfigurationSource
	Holders       HolderResolver
	Transport     Transport
	Pool          pond.Pool
	Clock         clock.Clock
	Log           event.Log
}

// A Service enforces the rate limits of client accounts. It is safe for concurrent use.
// mu and heldMu are never held at the same time.
type Service struct {
	self     Self
	deps     Deps
	identity string
	options  []rate.Option
	wakeup   chan struct{}
	counters counters

	// mu guards limiter and waiting.
	mu      sync.Mutex
	limiter *rate.Limiter
	waiting map[rate.Ticket]chan rate.Result

	// heldMu guards heldShards and the values it points to.
	heldMu     sync.Mutex
	heldShards map[string]*heldShard
}

// counters are the metrics of a Service.
type counters struct {
	admitted, waited, refused, unavailable, requestsSent, requestsServed expvar.Int
}

// New returns a Service, which does its work while Run is active. The options apply to
// all limiters and must be the same on all nodes of a deployment.
func New(self Self, d Deps, options ...rate.Option) *Service {
	s := &Service{
		self:       self,
		deps:       d,
		identity:   self.Host + "#" + uuid.NewString(),
		options:    options,
		wakeup:     make(chan struct{}, 1),
		waiting:    map[rate.Ticket]chan rate.Result{},
		heldShards: map[string]*heldShard{},
	}
	s.limiter = rate.NewLimiter(s.identity, &shardSelector{configuration: d.Configuration, zone: self.Zone, own: true}, options...)
	return s
}

// Take admits one request of a client account. It waits for a token for at most a
// quarter of the given time, and no longer than maxTokenWait. Errors are of type
// refusal.Refusal.
func (s *Service) Take(ctx context.Context, account string, wait time.Duration) error {
	tokenWait := min(wait/tokenWaitDivisor, maxTokenWait)
	result, resultCh := s.takeOrWait(account, tokenWait)
	if resultCh != nil {
		s.counters.waited.Add(1)
		s.wake()
		select {
		case result = <-resultCh:
		case <-ctx.Done():
			s.cancelWait(account, result.Ticket)
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return refusal.New(refusal.DeadlinePassed)
			}
			return refusal.New(refusal.Cancelled)
		}
	}
	return s.finish(result)
}

// takeOrWait tries to take a token. It returns a channel for the result if the request
// has to wait.
func (s *Service) takeOrWait(account string, tokenWait time.Duration) (rate.Result, chan rate.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := s.limiter.Take(s.deps.Clock.Now(), account, tokenWait)
	if result.Decision != rate.Waiting {
		return result, nil
	}
	resultCh := make(chan rate.Result, 1)
	s.waiting[result.Ticket] = resultCh
	return result, resultCh
}

func (s *Service) cancelWait(account string, ticket rate.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Cancel(account, ticket)
	delete(s.waiting, ticket)
}

// finish counts the result of a request and returns its refusal, or nil if the request
// was admitted.
func (s *Service) finish(r rate.Result) error {
	switch {
	case r.Decision == rate.Admitted:
		s.counters.admitted.Add(1)
		return nil
	case r.Unavailable:
		s.counters.unavailable.Add(1)
		return refusal.New(refusal.RateUnavailable).WithRetryAfter(r.RetryAfter)
	default:
		s.counters.refused.Add(1)
		return refusal.New(refusal.RateExceeded).WithRetryAfter(r.RetryAfter)
	}
}

// wake makes Run execute the next step immediately.
func (s *Service) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// Metrics returns the counters as one expvar map.
func (s *Service) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("taken", &s.counters.admitted)
	m.Set("waited", &s.counters.waited)
	m.Set("refused", &s.counters.refused)
	m.Set("unavailable", &s.counters.unavailable)
	m.Set("requests-sent", &s.counters.requestsSent)
	m.Set("requests-served", &s.counters.requestsServed)
	return m
}
