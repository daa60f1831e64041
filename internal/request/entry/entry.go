// Package entry takes requests into the system: from callers, who show a key,
// and from backend servers, who show the token of the request they are running.
// It checks who asks, which class the work is, the client account's rate and, for
// work that may not be repeated, that it runs at most once. Package forward then
// finds a node to execute it.
package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/request/registry"
	"github.com/bilberryvane/bilberryvane/internal/version/class"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

const (
	// defaultAttempts is the allowance of attempts of a root request: enough for
	// a chain of 17 calls in which each sender and each parent keeps its reserve.
	defaultAttempts = 128
	// deadlineTargets is how many times its target a request may take when its
	// caller names no timeout.
	deadlineTargets = 5
	// maxDepth bounds the calls above one another, against calls in a circle.
	maxDepth = 32
)

// An Incoming is a request as it reached the node, apart from its protocol.
type Incoming struct {
	Method  string
	Service string
	// Path is the path with its query, without the service's name.
	Path    string
	Headers []exchange.Header
	Body    []byte
	// Secret is the caller's key. It ends here.
	Secret string
	// Token is the request token of a backend server.
	Token string
	// IdempotencyKey names work that may run at most once.
	IdempotencyKey string
	// Timeout is how long the caller waits; zero leaves it to the class.
	Timeout time.Duration
}

// Configuration gives the configuration version in force at the node.
type Configuration interface {
	Current() (configuration.Snapshot, bool)
	// KeysUsable reports whether the node may trust its keys: one that has been
	// cut off for too long can't know which were withdrawn.
	KeysUsable() bool
}

// Rate holds client accounts to their rate. Take waits no longer than the given
// time for its turn; its error is a refusal.Refusal.
type Rate interface {
	Take(ctx context.Context, account string, wait time.Duration) error
}

// Claims makes sure that work runs at most once. The error of Claim is a
// refusal.Refusal.
type Claims interface {
	// Claim registers the work before it is handed out. If the work ran before,
	// the second result is its kept answer and true.
	Claim(ctx context.Context, c call.Context) (Claim, exchange.Answer, bool, error)
}

// A Claim is held by one request until it reports how the work ended.
type Claim interface {
	// Finish reports the answer. An answer with outcome not-run frees the work to
	// be sent again.
	Finish(ctx context.Context, a exchange.Answer)
}

// A Forwarder finds a node that executes a request.
type Forwarder interface {
	Forward(ctx context.Context, r exchange.Request) exchange.Answer
}

// A Backpressure refuses root requests that a service further down would shed,
// before work is spent on them. Its error is a refusal.Refusal.
type Backpressure interface {
	Allow(c call.Context) error
	// Observe reports how an allowed request ended.
	Observe(c call.Context, a exchange.Answer)
}

// A Recorder learns how each request ended, for reports and explanations.
type Recorder interface {
	Record(c call.Context, target time.Duration, elapsed time.Duration, a exchange.Answer)
}

// An Entry takes in requests. It is safe for concurrent use.
type Entry struct {
	host          string
	configuration Configuration
	backpressure  Backpressure
	rate          Rate
	claims        Claims
	forwarder     Forwarder
	recorder      Recorder
	registry      *registry.Registry
	clock         clock.Clock
}

// Parts are what an Entry works with; all are needed.
type Parts struct {
	Host          string
	Configuration Configuration
	Backpressure  Backpressure
	Rate          Rate
	Claims        Claims
	Forwarder     Forwarder
	Recorder      Recorder
	Registry      *registry.Registry
	Clock         clock.Clock
}

// New returns an Entry made of its parts.
func New(p Parts) *Entry {
	return &Entry{
		host:          p.Host,
		configuration: p.Configuration,
		backpressure:  p.Backpressure,
		rate:          p.Rate,
		claims:        p.Claims,
		forwarder:     p.Forwarder,
		recorder:      p.Recorder,
		registry:      p.Registry,
		clock:         p.Clock,
	}
}

// Serve answers the request of a caller.
func (e *Entry) Serve(ctx context.Context, in Incoming) exchange.Answer {
	start := e.clock.Now()
	c := call.Context{RequestID: newRequestID(), Service: in.Service, Attempts: defaultAttempts}
	admitted, work, err := e.admit(c, in, start)
	if err != nil {
		return e.finish(c, work, start, asAnswer(err))
	}
	if admitted.Idempotent {
		if err := e.backpressure.Allow(admitted); err != nil {
			return e.finish(admitted, work, start, asAnswer(err))
		}
	}
	limited, cancel := context.WithDeadline(ctx, admitted.Deadline)
	defer cancel()
	if admitted.Account != "" {
		if err := e.rate.Take(limited, admitted.Account, work.Target); err != nil {
			return e.finish(admitted, work, start, unclaimed(admitted, asAnswer(err)))
		}
	}
	return e.finish(admitted, work, start, e.once(limited, admitted, in))
}

// admit checks who asks and for what, and completes the call context.
func (e *Entry) admit(c call.Context, in Incoming, now time.Time) (call.Context, class.Class, error) {
	snapshot, ok := e.configuration.Current()
	if !ok {
		return c, class.Class{}, refusal.New(refusal.NoConfiguration)
	}
	c.ConfigurationVersion = snapshot.Version()
	work, err := classify(snapshot, in)
	if err != nil {
		return c, class.Class{}, err
	}
	c.Class = work.Name
	c.Importance = work.Importance
	c.Deadline = now.Add(timeout(in, work))
	if !work.Open {
		if !e.configuration.KeysUsable() {
			return c, work, refusal.New(refusal.KeysUnconfirmed)
		}
		owner, err := authenticate(snapshot, in.Secret)
		if err != nil {
			return c, work, err
		}
		c.Account = owner.Account
		c.KeyID = owner.ID
	}
	if !work.Idempotent && in.IdempotencyKey == "" {
		return c, work, refusal.New(refusal.MissingIdempotencyKey)
	}
	return c.WithIdempotency(work.Idempotent, in.IdempotencyKey), work, nil
}

// ServeChild answers a call that a backend server makes while it runs a request.
func (e *Entry) ServeChild(ctx context.Context, in Incoming) exchange.Answer {
	start := e.clock.Now()
	parent, ok := e.registry.Lookup(in.Token)
	if !ok {
		return asAnswer(refusal.New(refusal.UnknownRequestToken))
	}
	c, work, err := e.admitChild(parent.Context, in)
	if err != nil {
		return e.finish(c, work, start, asAnswer(err))
	}
	borrowed := parent.Borrow()
	if borrowed == 0 {
		return e.finish(c, work, start, asAnswer(refusal.New(refusal.AttemptsUsedUp)))
	}
	limited, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go cancelWith(parent.Done, stop, cancel)
	parent.BeginCall(start)
	answer := e.once(limited, c.WithAttempts(borrowed), in)
	parent.EndCall(e.clock.Now(), answer.Pressure)
	parent.Return(answer.UnusedAttempts)
	return e.finish(c, work, start, answer)
}

// admitChild completes the context of a child call. Its class decides only
// whether it is idempotent; importance, account and deadline are the root's.
func (e *Entry) admitChild(parent call.Context, in Incoming) (call.Context, class.Class, error) {
	c := parent.WithChild(in.Service, 0)
	snapshot, ok := e.configuration.Current()
	if !ok {
		return c, class.Class{}, refusal.New(refusal.NoConfiguration)
	}
	work, err := classify(snapshot, in)
	if err != nil {
		return c, work, err
	}
	if c.Depth > maxDepth {
		return c, work, refusal.New(refusal.BadRequest).WithDetail("calls are nested too deeply")
	}
	if !work.Idempotent && in.IdempotencyKey == "" {
		return c, work, refusal.New(refusal.MissingIdempotencyKey)
	}
	return c.WithIdempotency(work.Idempotent, in.IdempotencyKey), work, nil
}

// cancelWith cancels a child call when its parent ends first.
func cancelWith(parent, stop <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-parent:
		cancel()
	case <-stop:
	}
}

// once forwards a request; work that may not be repeated is claimed before.
func (e *Entry) once(ctx context.Context, c call.Context, in Incoming) exchange.Answer {
	mark := quarantine.FingerprintOf(c.Account, c.Service, in.Method, in.Path, in.Body)
	c = c.WithContent(mark.Hash)
	r := exchange.Request{Context: c, Method: in.Method, Path: in.Path, Headers: in.Headers, Body: in.Body}
	if c.Idempotent {
		return e.relay(ctx, r)
	}
	claim, kept, ran, err := e.claims.Claim(ctx, c)
	if err != nil {
		return unclaimed(c, asAnswer(err)).WithUnusedAttempts(c.Attempts)
	}
	if ran {
		return kept.WithUnusedAttempts(c.Attempts)
	}
	answer := e.relayClaimed(ctx, r)
	claim.Finish(context.WithoutCancel(ctx), answer)
	return answer
}

// unclaimed returns a refusal that was made before it was known whether the work
// is claimed. Of work that may run only once it can't say that it was not run,
// because an earlier sending with the same Idempotency-Key may have.
func unclaimed(c call.Context, a exchange.Answer) exchange.Answer {
	if c.Idempotent || a.Refusal == nil || a.Refusal.Outcome != refusal.NotRun {
		return a
	}
	const detail = "this sending was not run, but an earlier one with the same Idempotency-Key may have; " +
		"it is safe to send it again with that key"
	r := a.Refusal.WithOutcome(refusal.Unknown).WithDetail(detail)
	a.Refusal = &r
	return a
}

// relayClaimed forwards work that is claimed. An overload refuses it only here,
// because before the claim it is not known whether the work ran earlier.
func (e *Entry) relayClaimed(ctx context.Context, r exchange.Request) exchange.Answer {
	if r.Context.Depth == 0 {
		if err := e.backpressure.Allow(r.Context); err != nil {
			return asAnswer(err).WithUnusedAttempts(r.Context.Attempts)
		}
	}
	return e.relay(ctx, r)
}

// relay forwards a request; the entry learns how root requests end.
func (e *Entry) relay(ctx context.Context, r exchange.Request) exchange.Answer {
	answer := e.forwarder.Forward(ctx, r)
	if r.Context.Depth == 0 {
		e.backpressure.Observe(r.Context, answer)
	}
	return answer
}

// finish completes a refusal with what is known of the request and records it.
func (e *Entry) finish(c call.Context, work class.Class, start time.Time, a exchange.Answer) exchange.Answer {
	if a.Refusal != nil {
		r := *a.Refusal
		host := r.Host
		if host == "" {
			host = e.host
		}
		r = r.WithRequest(c.RequestID, host).WithClass(work.Name, work.Target)
		a.Refusal = &r
	}
	a.RequestID = c.RequestID
	e.recorder.Record(c, work.Target, e.clock.Now().Sub(start), a)
	return a
}

func classify(s configuration.Snapshot, in Incoming) (class.Class, error) {
	if _, ok := s.Service(in.Service); !ok {
		return class.Class{}, refusal.New(refusal.UnknownService)
	}
	path, _, _ := strings.Cut(in.Path, "?")
	work, ok := s.Classify(in.Service, in.Method, path)
	if !ok {
		return class.Class{}, refusal.New(refusal.UnknownClass)
	}
	return work, nil
}

func authenticate(s configuration.Snapshot, secret string) (key.Key, error) {
	if secret == "" {
		return key.Key{}, refusal.New(refusal.MissingKey)
	}
	owner, ok := s.KeyByHash(key.HashOf(secret))
	if !ok {
		return key.Key{}, refusal.New(refusal.UnknownKey)
	}
	return owner, nil
}

// timeout returns how long the caller waits, by its own word or the class's target.
func timeout(in Incoming, work class.Class) time.Duration {
	longest := deadlineTargets * work.Target
	if in.Timeout > 0 {
		return min(in.Timeout, longest)
	}
	return longest
}

func asAnswer(err error) exchange.Answer {
	var r refusal.Refusal
	if errors.As(err, &r) {
		return exchange.Refused(r)
	}
	return exchange.Refused(refusal.New(refusal.Overloaded))
}

func newRequestID() string { return uuid.Must(uuid.NewV7()).String() }
