// Package allotment holds client accounts to their rate over all hosts together.
// At each node it keeps a ledger of tokens for the requests that enter there, and
// for the shards that the node holds it gives tokens to other nodes. What is
// decided, and why the rate is exact, is in package rate; who holds a shard is
// told by package holding or another implementation of Holders.
package allotment

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
	// KindAsk is the kind of the message that carries a rate.Request; its reply
	// carries a rate.Reply.
	KindAsk = 30
	// patienceDivisor is the part of a class's target that a request may wait.
	patienceDivisor = 4
	// maxPatience bounds that wait.
	maxPatience = 250 * time.Millisecond
	// tick is how often waiting requests and due messages are looked at.
	tick = 10 * time.Millisecond
	// askTimeout bounds one exchange with a holder.
	askTimeout = 500 * time.Millisecond
)

// A Configuration gives the version in force at the node.
type Configuration interface {
	Current() (configuration.Snapshot, bool)
}

// A Tenure is the time in which this node alone holds a shard.
type Tenure struct {
	// Epoch goes up by one whenever the shard gets a holder, the same or another.
	Epoch uint64
	// From is when it began: no earlier holder gives tokens at or after it.
	From time.Time
	// Until is when it ends unless it is extended.
	Until time.Time
}

// Holders tells who holds the shards.
type Holders interface {
	// Held returns this node's tenure of a shard, and false if it has none.
	Held(shard string) (Tenure, bool)
	// HolderAddress returns the peer address of a shard's holder, if known.
	HolderAddress(shard string) (string, bool)
	// InvalidateHolder drops the address of a holder that does not answer for the shard.
	InvalidateHolder(shard string)
}

// A Sender sends a message to another node and returns the reply.
type Sender interface {
	Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error)
}

// A Self names the node.
type Self struct {
	Host, Zone string
	// Address is the node's own peer address.
	Address string
}

// Parts are what a Service works with; all are needed.
type Parts struct {
	Configuration Configuration
	Holders       Holders
	Sender        Sender
	Pool          pond.Pool
	Clock         clock.Clock
	Log           event.Log
}

// A Service holds client accounts to their rate. It is safe for concurrent use.
// Lock order: mu and seatsMu are never held together.
type Service struct {
	self     Self
	parts    Parts
	identity string
	options  []rate.Option
	nudged   chan struct{}
	counts   counts

	// mu guards ledger and waiting.
	mu      sync.Mutex
	ledger  *rate.Limiter
	waiting map[rate.Ticket]chan rate.Result

	// seatsMu guards seats and what they point to.
	seatsMu sync.Mutex
	seats   map[string]*seat
}

// counts are the metrics of a Service.
type counts struct {
	taken, waited, refused, unavailable, asked, served expvar.Int
}

// New returns a Service. Run makes it work. Options change the ledgers; all nodes
// of a deployment must use the same ones.
func New(self Self, p Parts, options ...rate.Option) *Service {
	s := &Service{
		self:     self,
		parts:    p,
		identity: self.Host + "#" + uuid.NewString(),
		options:  options,
		nudged:   make(chan struct{}, 1),
		waiting:  map[rate.Ticket]chan rate.Result{},
		seats:    map[string]*seat{},
	}
	s.ledger = rate.NewLimiter(s.identity, &routes{configuration: p.Configuration, zone: self.Zone, own: true}, options...)
	return s
}

// Take admits one request of a client account. It waits for a token no longer
// than a part of the given time; its error is a refusal.Refusal.
func (s *Service) Take(ctx context.Context, account string, wait time.Duration) error {
	patience := min(wait/patienceDivisor, maxPatience)
	verdict, decided := s.begin(account, patience)
	if decided != nil {
		s.counts.waited.Add(1)
		s.nudge()
		select {
		case verdict = <-decided:
		case <-ctx.Done():
			s.forget(account, verdict.Ticket)
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return refusal.New(refusal.DeadlinePassed)
			}
			return refusal.New(refusal.Cancelled)
		}
	}
	return s.answer(verdict)
}

// begin asks the ledger, and returns a channel if the request has to wait.
func (s *Service) begin(account string, patience time.Duration) (rate.Result, chan rate.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.ledger.Take(s.parts.Clock.Now(), account, patience)
	if verdict.Decision != rate.Waiting {
		return verdict, nil
	}
	decided := make(chan rate.Result, 1)
	s.waiting[verdict.Ticket] = decided
	return verdict, decided
}

func (s *Service) forget(account string, ticket rate.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Cancel(account, ticket)
	delete(s.waiting, ticket)
}

func (s *Service) answer(v rate.Result) error {
	switch {
	case v.Decision == rate.Admitted:
		s.counts.taken.Add(1)
		return nil
	case v.Unavailable:
		s.counts.unavailable.Add(1)
		return refusal.New(refusal.RateUnavailable).WithRetryAfter(v.RetryAfter)
	default:
		s.counts.refused.Add(1)
		return refusal.New(refusal.RateExceeded).WithRetryAfter(v.RetryAfter)
	}
}

// nudge has Run look at once.
func (s *Service) nudge() {
	select {
	case s.nudged <- struct{}{}:
	default:
	}
}

// Metrics returns the counters as one variable.
func (s *Service) Metrics() expvar.Var {
	m := new(expvar.Map).Init()
	m.Set("taken", &s.counts.taken)
	m.Set("waited", &s.counts.waited)
	m.Set("refused", &s.counts.refused)
	m.Set("unavailable", &s.counts.unavailable)
	m.Set("requests-sent", &s.counts.asked)
	m.Set("requests-served", &s.counts.served)
	return m
}
