package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/version/class"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

const (
	// topImportance is the importance of rank 0; each further rank lowers it by
	// rankStep. Among requests whose accounts have the same rank, the rank of the
	// route decides.
	topImportance class.Importance = 100
	rankStep      int              = 10
	// callImportance is the importance of calls made by running requests. It is above
	// that of new requests, because work was already spent on the calling request.
	callImportance class.Importance = topImportance + 1
	// startupRetryAfter is the retry delay sent by a node that has no configuration yet.
	startupRetryAfter = 200 * time.Millisecond
	// outlastsDetail explains the refusal of a request by a leaving node.
	outlastsDetail = "requests like this one take longer than the time that is left"
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
)

// Configuration provides the active configuration.
type Configuration interface {
	// Snapshot returns the newest version, or nil before the first one is received.
	Snapshot() *traffic.Snapshot
}

// A RootAdmitter admits root requests at a rate that overloads no service along their
// calls.
type RootAdmitter interface {
	// Admit decides whether a request may run.
	Admit(r RootRequest) Decision
	// RetryAfter returns the delay after which the caller of an admitted request should
	// come back if no backend server had room for it.
	RetryAfter(r RootRequest) time.Duration
	// Release records that an admitted request of a route has ended, and whether a backend
	// server served it.
	Release(route string, served bool)
}

// A RootRequest is a request that was not made by a running request.
type RootRequest struct {
	Route      string
	Importance int
	// FirstAttempt is set if the request was not sent before.
	FirstAttempt bool
	// Attempt tells whether the request was refused before and came back when told.
	Attempt admission.Attempt
	// TimeLeft is how long the caller still waits for an answer, over all its attempts.
	TimeLeft time.Duration
	// Target is the latency target of the route.
	Target time.Duration
}

// A Decision is the result of RootAdmitter.Admit.
type Decision struct {
	Admitted bool
	// Retryable says that the calls of the request may be retried.
	Retryable bool
	// Detail explains a refusal. RetryAfter is the delay after which the caller should
	// come back.
	Detail     string
	RetryAfter time.Duration
}

// A RateLimiter enforces the request rates of client accounts.
type RateLimiter interface {
	// Take consumes one request of an account's rate for a route of a rank. It may call
	// other hosts, bounded by ctx. The error is a refusal.Refusal.
	Take(ctx context.Context, a traffic.Account, rank int) error
	// Return undoes Take for a request that is refused for another reason.
	Return(a traffic.Account, rank int)
}

// A Lifetime decides which requests a leaving node still accepts.
type Lifetime interface {
	// Accept reports whether a request of a route may start, and repeatable whether it may
	// run more than once.
	Accept(route string, repeatable bool) bool
	// Record records the duration of an answered request.
	Record(route string, took time.Duration)
}

// An Entry serves the requests that callers send to a node. It is safe for concurrent
// use.
type Entry struct {
	host          string
	service       string
	configuration Configuration
	rateLimiter   RateLimiter
	rootAdmitter  RootAdmitter
	lifetime      Lifetime
	sender        *Sender
	running       *RunningRequests
	dialect       Dialect
	clock         clock.Clock
	log           event.Log
	counter       Counter
	retries       *retryDetector
}

// A Counter counts finished requests by outcome.
type Counter interface {
	// Count counts one request; reason is empty if it was answered.
	Count(reason refusal.Reason, target, elapsed time.Duration)
}

// EntryDeps are the dependencies of an Entry. All are required.
type EntryDeps struct {
	Host string
	// Service is the service whose backend server runs on the host.
	Service       string
	Configuration Configuration
	RateLimiter   RateLimiter
	RootAdmitter  RootAdmitter
	Lifetime      Lifetime
	Sender        *Sender
	Running       *RunningRequests
	Dialect       Dialect
	Clock         clock.Clock
	Log           event.Log
	Counter       Counter
}

// NewEntry returns the Entry of a host.
func NewEntry(d EntryDeps) *Entry {
	return &Entry{
		host: d.Host, service: d.Service, configuration: d.Configuration, rateLimiter: d.RateLimiter, rootAdmitter: d.RootAdmitter,
		lifetime: d.Lifetime, sender: d.Sender, running: d.Running, dialect: d.Dialect, clock: d.Clock, log: d.Log, counter: d.Counter,
		retries: newRetryDetector(),
	}
}

// Serve handles a request and writes the response. It implements ingress.Handler.
func (e *Entry) Serve(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
	now := e.clock.Now()
	meta, err := e.dialect.Metadata(request)
	if err != nil {
		r := refusal.New(refusal.BadRequest).WithDetail(err.Error())
		e.respond(response, meta, traffic.Route{}, now, exchange.Refused(r))
		return
	}
	o, route, endCall, err := e.accept(ctx, now, meta, request)
	if err != nil {
		e.respond(response, meta, route, now, refusalAnswer(err))
		return
	}
	isRoot, served := o.Context.Depth == 0, false
	if isRoot {
		defer func() { e.rootAdmitter.Release(route.Name, served) }()
	}
	ctx, cancel := context.WithDeadline(ctx, o.Context.Deadline)
	defer cancel()
	answer := cancelledAnswer(ctx, e.sender.Send(ctx, o, route))
	served = answer.Refusal == nil && !serverError(answer.Status)
	endCall(failedCall(answer))
	if isRoot && refusedForLackOfRoom(answer) {
		root := newRootRequest(now, meta, route, o.Context)
		root.TimeLeft -= e.clock.Now().Sub(now)
		wait := e.rootAdmitter.RetryAfter(root)
		delayed := answer.Refusal.WithRetryAfter(wait)
		answer.Refusal = &delayed
	}
	e.respond(response, meta, route, now, answer)
}

// cancelledAnswer returns the answer to a request whose context may have been cancelled. If its
// cause is a refusal, that replaces the one which says that the caller gave up. The outcome is
// that of the answer.
func cancelledAnswer(ctx context.Context, a exchange.Answer) exchange.Answer {
	var cause refusal.Refusal
	if a.Refusal == nil || a.Refusal.Reason != refusal.Cancelled || !errors.As(context.Cause(ctx), &cause) {
		return a
	}
	cause = cause.WithOutcome(a.Refusal.Outcome)
	if cause.Outcome != refusal.NotRun {
		cause = cause.WithRetryAfter(0)
	}
	a.Refusal = &cause
	return a
}

func refusedForLackOfRoom(a exchange.Answer) bool {
	return a.Refusal != nil && a.Refusal.Reason == refusal.Overloaded && a.Refusal.Outcome == refusal.NotRun
}

// failedCall reports whether a call was not answered well for a reason that probably holds at
// other hosts too. That doesn't include a call that reached no backend server because this
// host reaches none.
func failedCall(a exchange.Answer) bool {
	if a.Refusal == nil {
		return serverError(a.Status)
	}
	if delivered(a) {
		return true
	}
	switch a.Refusal.Reason {
	case refusal.Unreachable, refusal.NoBackendServer, refusal.Leaving, refusal.Evacuated:
		return false
	default:
		return true
	}
}

// accept checks whether a request may run and returns its order, its route and a function
// that must be called when it has ended. The error is a refusal.Refusal.
func (e *Entry) accept(ctx context.Context, now time.Time, m Metadata, request *fasthttp.Request) (Order, traffic.Route, func(failed bool), error) {
	snapshot := e.configuration.Snapshot()
	if snapshot == nil {
		return Order{}, traffic.Route{}, nil, refusal.New(refusal.NoConfiguration).WithRetryAfter(startupRetryAfter)
	}
	uri := string(request.Header.RequestURI())
	authority := string(request.Header.Host())
	route, ok := snapshot.Route(authority, uri)
	if !ok {
		return Order{}, route, nil, refusal.New(refusal.UnknownClass)
	}
	account, err := authenticate(snapshot, route, m.Key)
	if err != nil {
		return Order{}, route, nil, err
	}
	if !e.lifetime.Accept(route.Name, route.Idempotent) {
		return Order{}, route, nil, refusal.New(refusal.Leaving).WithRetryAfter(noCapacityRetryAfter).WithDetail(outlastsDetail)
	}
	c := newContext(now, m, route, account, snapshot.Version())
	parent, endCall, child := e.running.RecordCall(m.Parent, route.Name)
	if child {
		c = inherit(c, parent)
	} else {
		endCall = func(bool) {}
	}
	c, err = e.admit(ctx, now, m, route, account, c, child || route.Open)
	if err != nil {
		endCall(true)
		return Order{}, route, nil, err
	}
	o := Order{
		Context:   c,
		Method:    string(request.Header.Method()),
		URI:       uri,
		Authority: authority,
		Headers:   e.dialect.Headers(request),
		Body:      request.Body(),
		Caller:    e.service,
		Route:     route.Name,
	}
	o.Context.Service = pickService(route.Destinations)
	content := quarantine.FingerprintOf(o.Context.Account, o.Context.Service, o.Method, o.URI, o.Body)
	o.Context = o.Context.WithContentHash(content.Hash)
	return o, route, endCall, nil
}

// admit applies the account's rate limit and, for root requests, the RootAdmitter. Calls
// of running requests were admitted with their root request. It returns the context of
// the admitted request; the error is a refusal.Refusal.
func (e *Entry) admit(ctx context.Context, now time.Time, m Metadata, r traffic.Route, account traffic.Account, c call.Context, child bool) (call.Context, error) {
	if account.Name != "" {
		if err := e.rateLimiter.Take(ctx, account, r.Priority); err != nil {
			return c, err
		}
	}
	if child {
		return c, nil
	}
	root := newRootRequest(now, m, r, c)
	root.FirstAttempt, root.Attempt = e.retries.observe(now, r.Name, m.Timeout)
	decision := e.rootAdmitter.Admit(root)
	if !decision.Admitted {
		if account.Name != "" {
			e.rateLimiter.Return(account, r.Priority)
		}
		return c, refusal.New(refusal.Overloaded).WithRetryAfter(decision.RetryAfter).WithDetail(decision.Detail)
	}
	return c.WithNoRetry(!decision.Retryable), nil
}

// authenticate returns the client account that owns the key, or the zero Account for
// routes that need no key.
func authenticate(s *traffic.Snapshot, r traffic.Route, key string) (traffic.Account, error) {
	if r.Open || !s.RequiresKeys() {
		return traffic.Account{}, nil
	}
	if key == "" {
		return traffic.Account{}, refusal.New(refusal.MissingKey)
	}
	account, ok := s.AccountByKey(key)
	if !ok {
		return traffic.Account{}, refusal.New(refusal.UnknownKey)
	}
	return account, nil
}

// newContext returns the call context of a request. Requests on open routes are calls
// made by backend servers for running requests.
func newContext(now time.Time, m Metadata, r traffic.Route, account traffic.Account, version uint64) call.Context {
	c := call.Context{
		RequestID:            m.ID,
		Account:              account.Name,
		Class:                r.Name,
		Importance:           importanceOf(r, account),
		Attempts:             max(1, r.MaxAttempts),
		Idempotent:           r.Idempotent,
		ConfigurationVersion: version,
		Deadline:             now.Add(timeoutOf(m, r)),
	}
	if r.Open {
		c.Importance = callImportance
		c.Depth = 1
	}
	return c
}

// newRootRequest returns a root request for the RootAdmitter, except whether it was sent
// before.
func newRootRequest(arrived time.Time, m Metadata, r traffic.Route, c call.Context) RootRequest {
	left := m.Timeout
	if left <= 0 {
		left = c.Deadline.Sub(arrived)
	}
	return RootRequest{Route: r.Name, Importance: int(c.Importance), TimeLeft: left, Target: r.Target}
}

// importanceOf returns the importance of a request. The rank of its client account
// takes precedence over that of its route.
func importanceOf(r traffic.Route, a traffic.Account) class.Importance {
	rank := r.Priority
	if a.HasPriority {
		rank = a.Priority
	}
	penalty := rankStep*clampRank(rank) + min(clampRank(r.Priority), rankStep-1)
	return max(class.MinImportance, topImportance-class.Importance(penalty))
}

// clampRank returns a rank that is neither above the highest nor so low that its importance
// overflows.
func clampRank(rank int) int { return min(max(0, rank), int(topImportance)) }

// inherit returns c with the properties that a call takes over from the request that
// makes it.
func inherit(c, parent call.Context) call.Context {
	c.Class = parent.Class
	c.Account = parent.Account
	c.Importance = parent.Importance
	c.Depth = parent.Depth + 1
	c.Retried = parent.Retried
	c.NoRetry = parent.NoRetry
	if parent.Deadline.Before(c.Deadline) {
		c.Deadline = parent.Deadline
	}
	return c
}

// timeoutOf returns the time within which a request must be answered.
func timeoutOf(m Metadata, r traffic.Route) time.Duration {
	timeout := m.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	return timeout
}

// pickService picks a service at random by weight.
func pickService(shares []traffic.Destination) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	rest := rand.Float64() * total
	for _, s := range shares {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return shares[len(shares)-1].Service
}

// respond writes an answer or a refusal, counts it and logs a refusal.
func (e *Entry) respond(response *fasthttp.Response, m Metadata, route traffic.Route, start time.Time, answer exchange.Answer) {
	elapsed := e.clock.Now().Sub(start)
	var reason refusal.Reason
	if r := answer.Refusal; r != nil {
		named := r.WithRequest(m.ID, e.host).WithClass(route.Name, route.Target)
		answer.Refusal = &named
		reason = named.Reason
		e.log.Emit(event.RequestRefused, log.Fields{
			"request": m.ID, "at": "entry", "reason": named.Reason, "outcome": named.Outcome, "route": route.Name,
			"elapsed": elapsed.String(), "patience": m.Timeout.String(),
			"retry-after": named.RetryAfter.String(), "detail": named.Detail, "host": r.Host,
		})
	}
	if reason == "" {
		e.lifetime.Record(route.Name, elapsed)
	}
	e.counter.Count(reason, route.Target, elapsed)
	e.dialect.Answer(response, m.ID, answer)
}

// endReason returns the refusal reason for a context that has ended.
func endReason(ctx context.Context) refusal.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlinePassed
	}
	return refusal.Cancelled
}
