// Package entry accepts requests from callers, which send a key, and from backend
// servers, which send the token of the request that they are running. It authenticates
// the request, determines its class, applies the client account's rate limit and
// ensures that work that is not idempotent runs at most once. Package forward then
// picks a node to execute it.
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
	// defaultAttempts is the number of attempts allowed for a root request: enough for
	// a chain of 17 calls in which each sender and each parent keeps its reserve.
	defaultAttempts = 128
	// deadlineTargets is the longest timeout of a request in multiples of its class's
	// target latency. It also applies if the caller sends no timeout.
	deadlineTargets = 5
	// maxDepth bounds the depth of nested calls, as protection against call cycles.
	maxDepth = 32
)

// A Request is a request received by the node, independent of its protocol.
type Request struct {
	Method  string
	Service string
	// Path is the path with its query, without the service name.
	Path    string
	Headers []exchange.Header
	Body    []byte
	// Secret is the caller's key. It is not passed on.
	Secret string
	// Token is the request token that a backend server sends.
	Token string
	// IdempotencyKey identifies work that may run at most once.
	IdempotencyKey string
	// Timeout is how long the caller waits; if zero, the class's target latency decides.
	Timeout time.Duration
}

// Configuration provides the active configuration of the node.
type Configuration interface {
	Current() (configuration.Snapshot, bool)
	// KeysUsable reports whether the node's keys are recent enough. A node that has been
	// partitioned for too long may not have received the withdrawal of a key.
	KeysUsable() bool
}

// A RateLimiter enforces the request rates of client accounts. Take waits for at most the
// given time; its error is a refusal.Refusal.
type RateLimiter interface {
	Take(ctx context.Context, account string, wait time.Duration) error
}

// Claims ensures that work runs at most once. The error of Claim is a refusal.Refusal.
type Claims interface {
	// Claim registers the work before it is forwarded. If the work ran before, it
	// returns the stored answer and true.
	Claim(ctx context.Context, c call.Context) (Claim, exchange.Answer, bool, error)
}

// A Claim is held by one request until it reports the result of the work.
type Claim interface {
	// Finish reports the answer. After an answer with the outcome not-run, the work may
	// be sent again.
	Finish(ctx context.Context, a exchange.Answer)
}

// A Forwarder forwards a request to a node that executes it.
type Forwarder interface {
	Forward(ctx context.Context, r exchange.Request) exchange.Answer
}

// A Backpressure refuses root requests that a downstream service would shed, before work
// is spent on them. Its error is a refusal.Refusal.
type Backpressure interface {
	Allow(c call.Context) error
	// Observe reports the answer to an allowed request.
	Observe(c call.Context, a exchange.Answer)
}

// A Recorder records the result of each request, for reports and explanations.
type Recorder interface {
	Record(c call.Context, target time.Duration, elapsed time.Duration, a exchange.Answer)
}

// An Entry handles incoming requests. It is safe for concurrent use.
type Entry struct {
	host          string
	configuration Configuration
	backpressure  Backpressure
	rateLimiter   RateLimiter
	claims        Claims
	forwarder     Forwarder
	recorder      Recorder
	registry      *registry.Registry
	clock         clock.Clock
}

// Deps are the dependencies of an Entry. All are required.
type Deps struct {
	Host          string
	Configuration Configuration
	Backpressure  Backpressure
	RateLimiter   RateLimiter
	Claims        Claims
	Forwarder     Forwarder
	Recorder      Recorder
	Registry      *registry.Registry
	Clock         clock.Clock
}

// New returns an Entry with the given dependencies.
func New(d Deps) *Entry {
	return &Entry{
		host:          d.Host,
		configuration: d.Configuration,
		backpressure:  d.Backpressure,
		rateLimiter:   d.RateLimiter,
		claims:        d.Claims,
		forwarder:     d.Forwarder,
		recorder:      d.Recorder,
		registry:      d.Registry,
		clock:         d.Clock,
	}
}

// Serve handles the request of a caller.
func (e *Entry) Serve(ctx context.Context, in Request) exchange.Answer {
	start := e.clock.Now()
	c := call.Context{RequestID: newRequestID(), Service: in.Service, Attempts: defaultAttempts}
	admitted, work, err := e.admit(c, in, start)
	if err != nil {
		return e.finish(c, work, start, refusedBeforeClaim(admitted, in, asAnswer(err)))
	}
	if admitted.Idempotent {
		if err := e.backpressure.Allow(admitted); err != nil {
			return e.finish(admitted, work, start, asAnswer(err))
		}
	}
	reqCtx, cancel := context.WithDeadline(ctx, admitted.Deadline)
	defer cancel()
	if admitted.Account != "" {
		if err := e.rateLimiter.Take(reqCtx, admitted.Account, work.Target); err != nil {
			return e.finish(admitted, work, start, withUnknownOutcome(admitted, asAnswer(err)))
		}
	}
	return e.finish(admitted, work, start, e.forwardOnce(reqCtx, admitted, in))
}

// admit classifies and authenticates a request and returns its completed call context.
func (e *Entry) admit(c call.Context, in Request, now time.Time) (call.Context, class.Class, error) {
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
	c = c.WithIdempotency(work.Idempotent, in.IdempotencyKey)
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
	return c, work, nil
}

// ServeChild handles a call that a backend server makes while it runs a request.
func (e *Entry) ServeChild(ctx context.Context, in Request) exchange.Answer {
	start := e.clock.Now()
	parent, ok := e.registry.Lookup(in.Token)
	if !ok {
		return asAnswer(refusal.New(refusal.UnknownRequestToken))
	}
	c, work, err := e.admitChild(parent.Context, in)
	if err != nil {
		return e.finish(c, work, start, asAnswer(err))
	}
	borrowed := parent.BorrowAttempts()
	if borrowed == 0 {
		return e.finish(c, work, start, asAnswer(refusal.New(refusal.AttemptsUsedUp)))
	}
	reqCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go cancelOnDone(parent.Done, stop, cancel)
	parent.BeginCall(start)
	answer := e.forwardOnce(reqCtx, c.WithAttempts(borrowed), in)
	parent.EndCall(e.clock.Now(), answer.Pressure)
	parent.ReturnAttempts(answer.UnusedAttempts)
	return e.finish(c, work, start, answer)
}

// admitChild returns the context of a child call. Its class determines only whether it is
// idempotent; importance, account and deadline are those of the root request.
func (e *Entry) admitChild(parent call.Context, in Request) (call.Context, class.Class, error) {
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

// cancelOnDone cancels a child call if its parent ends first.
func cancelOnDone(parent, stop <-chan struct{}, cancel context.CancelFunc) {
	select {
	case <-parent:
		cancel()
	case <-stop:
	}
}

// forwardOnce forwards a request. It first claims work that is not idempotent.
func (e *Entry) forwardOnce(ctx context.Context, c call.Context, in Request) exchange.Answer {
	fingerprint := quarantine.FingerprintOf(c.Account, c.Service, in.Method, in.Path, in.Body)
	c = c.WithContentHash(fingerprint.Hash)
	r := exchange.Request{Context: c, Method: in.Method, Path: in.Path, Headers: in.Headers, Body: in.Body}
	if c.Idempotent {
		return e.forward(ctx, r)
	}
	claim, stored, ran, err := e.claims.Claim(ctx, c)
	if err != nil {
		return withUnknownOutcome(c, asAnswer(err)).WithUnusedAttempts(c.Attempts)
	}
	if ran {
		return stored.WithUnusedAttempts(c.Attempts)
	}
	answer := e.forwardClaimed(ctx, r)
	claim.Finish(context.WithoutCancel(ctx), answer)
	return answer
}

// withUnknownOutcome returns a refusal from before the claim with a correct outcome. For
// work that may run only once, the outcome can't be not-run, because an earlier request
// with the same Idempotency-Key may have run.
func withUnknownOutcome(c call.Context, a exchange.Answer) exchange.Answer {
	if c.Idempotent || a.Refusal == nil || a.Refusal.Outcome != refusal.NotRun {
		return a
	}
	const detail = "this sending was not run, but an earlier one with the same Idempotency-Key may have; " +
		"it is safe to send it again with that key"
	r := a.Refusal.WithOutcome(refusal.Unknown).WithDetail(detail)
	a.Refusal = &r
	return a
}

// refusedBeforeClaim applies withUnknownOutcome to a refusal that this host makes because
// it lacks information. Refusals caused by the caller are returned unchanged.
func refusedBeforeClaim(c call.Context, in Request, a exchange.Answer) exchange.Answer {
	if in.IdempotencyKey == "" || a.Refusal.Reason.CausedByCaller() {
		return a
	}
	return withUnknownOutcome(c, a)
}

// forwardClaimed forwards claimed work. Backpressure is checked only after the claim,
// because before it is not known whether the work has already run.
func (e *Entry) forwardClaimed(ctx context.Context, r exchange.Request) exchange.Answer {
	if r.Context.Depth == 0 {
		if err := e.backpressure.Allow(r.Context); err != nil {
			return asAnswer(err).WithUnusedAttempts(r.Context.Attempts)
		}
	}
	return e.forward(ctx, r)
}

// forward forwards a request and reports the answers to root requests to the
// backpressure.
func (e *Entry) forward(ctx context.Context, r exchange.Request) exchange.Answer {
	answer := e.forwarder.Forward(ctx, r)
	if r.Context.Depth == 0 {
		e.backpressure.Observe(r.Context, answer)
	}
	return answer
}

// finish adds the request's id, class and host to a refusal and records the answer.
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

func classify(s configuration.Snapshot, in Request) (class.Class, error) {
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

// timeout returns how long the caller waits: the timeout that it sent, bounded by a
// multiple of the class's target latency.
func timeout(in Request, work class.Class) time.Duration {
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
