package relay

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/execute"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// minRemaining is the least remaining time with which a request is sent to the backend
// server. With less, its answer could not reach the caller in time.
const minRemaining = 2 * time.Millisecond

// A BackendServer provides the state of the backend server of the node's host.
type BackendServer interface {
	// Ready returns the id of the backend server and the connections to it. The
	// error is a refusal.Refusal if it may not get requests of the service.
	Ready(now time.Time, service string) (id string, link *backend.Link, err error)
	// MarkLost records that the backend server could not be reached.
	MarkLost(id string)
	// AdoptStatus uses a status that another node knows until the backend server
	// with the id has answered.
	AdoptStatus(id string, s exchange.BackendStatus)
	// Report returns what the backend server has stated, or zero if it states nothing.
	Report() exchange.BackendReport
	// RecordSent counts a request that is sent over a link.
	RecordSent(link *backend.Link, retried bool)
	// RecordStatus records what an answer that arrived over a link states. malformed
	// is set if some of it could not be read.
	RecordStatus(link *backend.Link, s exchange.BackendStatus, malformed error)
}

// An Evacuation keeps requests from the backend server while the availability zone of the host
// is evacuated.
type Evacuation interface {
	Evacuated() bool
	// Watch returns a context that also ends when the zone is evacuated. stop releases it.
	Watch(ctx context.Context) (watched context.Context, stop func())
	// CountRefused counts a request that was refused because the zone is evacuated.
	CountRefused()
}

// A UsageRecorder records how requests use the backend server.
type UsageRecorder interface {
	// RecordSent records that a request was sent, and whether the backend server
	// refused to run it.
	RecordSent(rejected bool)
	// RecordRun records a successful run: its route, its duration and the number of calls
	// that it made, by route.
	RecordRun(route string, duration time.Duration, calls map[string]float64)
}

// An Executor runs orders on the backend server of its host. It is safe for
// concurrent use.
type Executor struct {
	host          string
	backendServer BackendServer
	quarantine    execute.Quarantine
	admission     execute.Admission
	lifetime      Lifetime
	evacuation    Evacuation
	running       *RunningRequests
	usage         UsageRecorder
	dialect       Dialect
	clock         clock.Clock
	log           event.Log
}

// ExecutorDeps are the dependencies of an Executor. All are required.
type ExecutorDeps struct {
	Host          string
	BackendServer BackendServer
	// Quarantine refuses requests that crash backend servers.
	Quarantine execute.Quarantine
	Admission  execute.Admission
	Lifetime   Lifetime
	Evacuation Evacuation
	Running    *RunningRequests
	Usage      UsageRecorder
	Dialect    Dialect
	Clock      clock.Clock
	Log        event.Log
}

// NewExecutor returns the Executor of a host.
func NewExecutor(d ExecutorDeps) *Executor {
	return &Executor{
		host: d.Host, backendServer: d.BackendServer, quarantine: d.Quarantine, admission: d.Admission,
		lifetime: d.Lifetime, evacuation: d.Evacuation, running: d.Running, usage: d.Usage, dialect: d.Dialect, clock: d.Clock, log: d.Log,
	}
}

// answerMargin is subtracted from the deadline of an order while it is queued, so that
// a refusal for lack of time reaches the sender before the deadline, with its outcome.
const answerMargin = 8 * time.Millisecond

// Execute runs an order whose deadline is set by the local clock. A refusal has the
// outcome not-run only if the request was not sent to the backend server, or the
// backend server reported that it did not run it.
func (x *Executor) Execute(ctx context.Context, o Order) exchange.Answer {
	ctx, cancel := context.WithDeadline(ctx, o.Context.Deadline)
	defer cancel()
	if o.Status.Limited {
		x.backendServer.AdoptStatus(o.Backend, o.Status)
	}
	started := x.clock.Now()
	result := x.execute(ctx, o)
	if result.Answer.Refusal == nil {
		x.lifetime.Record(o.Route, x.clock.Now().Sub(started))
	}
	answer := result.Answer.WithLoad(x.admission.Load()).WithBackend(x.backendServer.Report())
	if !result.Sent {
		answer = answer.WithUnusedAttempts(1)
	}
	if r := answer.Refusal; r != nil {
		named := r.WithRequest(o.Context.RequestID, x.host)
		answer.Refusal = &named
		x.log.Emit(event.RequestRefused, log.Fields{
			"request": o.Context.RequestID, "at": "executing", "reason": named.Reason, "outcome": named.Outcome,
			"service": o.Context.Service, "backend-server": o.Backend, "running": answer.Load.Running,
			"queue-delay": answer.Load.QueueDelay.String(), "detail": named.Detail,
		})
	}
	return answer
}

func (x *Executor) execute(ctx context.Context, o Order) execute.Result {
	if _, _, err := x.ready(o); err != nil {
		return execute.Result{Answer: refusalAnswer(err)}
	}
	if !x.lifetime.Accept(o.Route, o.Context.Idempotent) {
		return execute.Result{Answer: exchange.Refused(refusal.New(refusal.Leaving).WithRetryAfter(noCapacityRetryAfter).WithDetail(outlastsDetail))}
	}
	tracker, err := x.quarantine.Check(ctx, o.subject())
	if err != nil {
		return execute.Result{Answer: refusalAnswer(err)}
	}
	result := x.admitAndSend(ctx, o, tracker)
	tracker.Finish(result)
	return result
}

func (x *Executor) admitAndSend(ctx context.Context, o Order, tracker execute.Tracker) execute.Result {
	done, err := x.admit(ctx, o.Context)
	if err != nil {
		return execute.Result{Answer: refusalAnswer(err)}
	}
	result := x.sendToBackend(ctx, o, tracker)
	done(result)
	return result
}

// admit waits for a slot until shortly before the deadline, or until the zone is evacuated.
func (x *Executor) admit(ctx context.Context, c call.Context) (func(execute.Result), error) {
	c.Deadline = c.Deadline.Add(-answerMargin)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	watched, stop := x.evacuation.Watch(ctx)
	defer stop()
	done, err := x.admission.Admit(watched, c)
	if err != nil && watched.Err() != nil && ctx.Err() == nil {
		return nil, x.evacuated()
	}
	return done, err
}

// evacuated counts and returns the refusal of a request because the zone is evacuated.
func (x *Executor) evacuated() refusal.Refusal {
	x.evacuation.CountRefused()
	return refusal.New(refusal.Evacuated).WithRetryAfter(noCapacityRetryAfter)
}

// ready returns the id of the order's backend server and the connections to it.
func (x *Executor) ready(o Order) (string, *backend.Link, error) {
	id, link, err := x.backendServer.Ready(x.clock.Now(), o.Context.Service)
	if err != nil {
		return "", nil, err
	}
	if id != o.Backend {
		return "", nil, refusal.New(refusal.NoBackendServer).WithDetail("another backend server has taken its place")
	}
	if x.evacuation.Evacuated() {
		return "", nil, x.evacuated()
	}
	return id, link, nil
}

// sendToBackend sends an admitted request to the backend server. It checks again that
// the backend server is ready, because that may have changed while the request was
// queued.
func (x *Executor) sendToBackend(ctx context.Context, o Order, tracker execute.Tracker) execute.Result {
	id, link, err := x.ready(o)
	if err != nil {
		return execute.Result{Answer: refusalAnswer(err)}
	}
	remaining := o.Context.Deadline.Sub(x.clock.Now())
	if remaining < minRemaining || ctx.Err() != nil {
		return execute.Result{Answer: exchange.Refused(refusal.New(refusal.DeadlinePassed))}
	}
	if err := tracker.Start(); err != nil {
		return execute.Result{Answer: refusalAnswer(err)}
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	x.dialect.Prepare(request, o, remaining)
	end := x.running.Start(o.Context)
	started := x.clock.Now()
	kind := Unrelated
	x.backendServer.RecordSent(link, o.Context.Retried)
	err = link.Exchange(ctx, o.Context.RequestID, request, response, func(r *fasthttp.Response, first bool) backend.Match {
		kind = x.dialect.Classify(r, o.Context.RequestID, first)
		return kind.match()
	})
	calls := end()
	if err == nil && kind != Misdirected {
		status, malformed := x.dialect.Status(response)
		x.backendServer.RecordStatus(link, status, malformed)
	}
	x.usage.RecordSent(err == nil && kind == NotRun)
	if err == nil && kind == Answered && !serverError(response.StatusCode()) {
		x.usage.RecordRun(o.Route, x.clock.Now().Sub(started), calls.ByRoute)
	}
	if err != nil {
		result := x.exchangeError(ctx, id, err)
		if lostByBackend(result) {
			result.Crashed = link.Refuses(ctx, x.clock.Now())
			x.log.Emit(event.RequestLost, log.Fields{
				"request": o.Context.RequestID, "account": o.Context.Account, "content": o.Context.ContentHash, "crashed": result.Crashed,
				"service": o.Context.Service, "backend-server": id, "retried": o.Context.Retried, "error": err.Error(),
			})
		}
		return result
	}
	result := x.resultOf(id, kind, response)
	if result.Answer.Refusal == nil && serverError(result.Answer.Status) {
		result.Answer = result.Answer.WithCallFailed(calls.Failed)
	}
	return result
}

// lostByBackend reports whether the backend server broke the connection of a request.
func lostByBackend(r execute.Result) bool {
	return r.Answer.Refusal != nil && r.Answer.Refusal.Reason == refusal.BackendLost
}

func (x *Executor) resultOf(id string, k ResponseKind, response *fasthttp.Response) execute.Result {
	switch k {
	case NotRun:
		r := refusal.New(refusal.Overloaded).WithDetail("the backend server turned it away")
		// The status signals to the admission that the backend server is full.
		return execute.Result{Answer: exchange.Answer{Status: fasthttp.StatusServiceUnavailable, Refusal: &r}, Sent: true}
	case Misdirected:
		x.backendServer.MarkLost(id)
		return execute.Result{Answer: exchange.Refused(refusal.New(refusal.NoBackendServer))}
	default:
		return execute.Result{Answer: toAnswer(response), Sent: true}
	}
}

// exchangeError returns the result of a request without a complete answer.
func (x *Executor) exchangeError(ctx context.Context, id string, err error) execute.Result {
	if errors.Is(err, backend.ErrUnreachable) {
		x.backendServer.MarkLost(id)
	}
	if errors.Is(err, backend.ErrNotSent) {
		reason := refusal.NoBackendServer
		if ctx.Err() != nil {
			reason = refusal.DeadlinePassed
		}
		return execute.Result{Answer: exchange.Refused(refusal.New(reason).WithDetail(err.Error()))}
	}
	reason := refusal.BackendLost
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = refusal.DeadlinePassed
	case ctx.Err() != nil:
		reason = refusal.Cancelled
	}
	r := refusal.New(reason).WithOutcome(refusal.Unknown).WithDetail(err.Error())
	return execute.Result{Answer: exchange.Refused(r), Sent: true}
}

func toAnswer(response *fasthttp.Response) exchange.Answer {
	answer := exchange.Answer{Status: response.StatusCode()}
	for name, value := range response.Header.All() {
		answer.Headers = append(answer.Headers, exchange.Header{Name: string(name), Value: string(value)})
	}
	answer.Body = append([]byte(nil), response.Body()...)
	return answer
}

// refusalAnswer returns an answer with the refusal that err wraps, or with an overload
// refusal if err wraps none.
func refusalAnswer(err error) exchange.Answer {
	var r refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Overloaded).WithDetail(err.Error())
	}
	return exchange.Refused(r)
}

// DecodeRefusal returns the answer to an order that could not be decoded.
func DecodeRefusal(err error) exchange.Answer {
	return exchange.Refused(refusal.New(refusal.IncompatiblePeer).WithDetail(err.Error())).WithUnusedAttempts(1)
}
