package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/trunk"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

const (
	// maxUndelivered bounds the tries of one request that reach no backend server. They
	// cost backend servers nothing, so the bound is higher than the number of attempts.
	maxUndelivered = 6
	// MaxTries bounds all tries of one request. If backend servers refuse 55 of 100
	// requests, a request with eight calls fails in one of 5 cases with six tries for
	// each call, and in one of 160 with twelve. The retry budget bounds the total cost.
	MaxTries = 12
	// noCapacityRetryAfter is the retry delay if no node returned one.
	noCapacityRetryAfter = 250 * time.Millisecond
	// minRetryTime is the least remaining time with which a request is retried.
	minRetryTime = 10 * time.Millisecond
)

// A Target is an executing node and its backend server.
type Target struct {
	Host    string
	Backend string
	// Status is what the backend server stated last in an answer to this node.
	Status exchange.BackendStatus
}

// A Router picks executing nodes and observes their answers. Its error is a
// refusal.Refusal.
type Router interface {
	Pick(o Order, excluded map[string]bool) (Target, error)
	// Observe reports the result of a try; lost says that the node did not answer.
	Observe(t Target, o Order, elapsed time.Duration, a exchange.Answer, lost bool)
}

// A RetryBudget bounds the requests that are sent to another backend server.
type RetryBudget interface {
	// Allow reports whether one more retry of a request of a route to a service is within
	// the budget. importance is that of the root request.
	Allow(service, route string, importance int) bool
	// RecordRequest counts the first try of a request; parentRetried says that it is
	// a call of a request that was itself retried.
	RecordRequest(service, route string, parentRetried bool)
}

// A Transport sends orders to other nodes.
type Transport interface {
	// Send returns the answer of a host. Its error wraps trunk.ErrNotSent if the
	// host can't have received the order.
	Send(ctx context.Context, host string, o Order) (exchange.Answer, error)
}

// A Sender sends orders to executing nodes and retries them where that is safe. It is
// safe for concurrent use.
type Sender struct {
	host      string
	router    Router
	budget    RetryBudget
	local     *Executor
	transport Transport
	promises  Promises
	clock     clock.Clock
	log       event.Log
}

// Promises tells what statuses say to callers. A Dialect implements it.
type Promises interface {
	// PromisesNotRun reports whether a status tells callers that a request was not run and
	// never will be.
	PromisesNotRun(status int) bool
}

// SenderDeps are the dependencies of a Sender. All are required.
type SenderDeps struct {
	Host      string
	Router    Router
	Budget    RetryBudget
	Local     *Executor
	Transport Transport
	Promises  Promises
	Clock     clock.Clock
	Log       event.Log
}

// NewSender returns the Sender of a host.
func NewSender(d SenderDeps) *Sender {
	return &Sender{
		host: d.Host, router: d.Router, budget: d.Budget, local: d.Local,
		transport: d.Transport, promises: d.Promises, clock: d.Clock, log: d.Log,
	}
}

// A progress is the state of a request over its tries.
type progress struct {
	// deliveries is the number of tries in which a backend server may have received the
	// request, possibleRuns the number of those in which it may have run.
	deliveries, possibleRuns int
	// mayHaveRun says that a try that failed or had no answer may have run.
	mayHaveRun bool
	// rejected says that a backend server refused to run the request.
	rejected bool
	// errorAnswer is a backend server's answer with a server error status.
	errorAnswer *exchange.Answer
	last        exchange.Answer
}

// Send sends an order until it is answered or must not be retried. A refusal has the
// outcome not-run only if that holds for every try.
func (s *Sender) Send(ctx context.Context, o Order, route traffic.Route) exchange.Answer {
	s.budget.RecordRequest(o.Context.Service, o.Route, o.Context.Retried)
	p := progress{last: exchange.Refused(refusal.New(refusal.NoBackendServer).WithRetryAfter(noCapacityRetryAfter)).WithUnusedAttempts(1)}
	excluded := make(map[string]bool, maxUndelivered)
	for tries := 0; tries < MaxTries && tries-p.deliveries < maxUndelivered; tries++ {
		if ctx.Err() != nil {
			p.last = exchange.Refused(refusal.New(endReason(ctx))).WithUnusedAttempts(1)
			break
		}
		if p.deliveries > 0 && !s.mayRetry(o, route, p) {
			break
		}
		target, err := s.router.Pick(o, excluded)
		if err != nil && p.rejected {
			// All hosts were tried; one that rejected the request may accept it now.
			clear(excluded)
			target, err = s.router.Pick(o, excluded)
		}
		if err != nil {
			if len(excluded) == 0 {
				p.last = refusalAnswer(err).WithUnusedAttempts(1)
			}
			break
		}
		excluded[target.Host] = true
		if p.deliveries > 0 {
			o.Context = o.Context.WithRetried()
		}
		answer, delivered := s.try(ctx, o, target)
		if !route.Idempotent {
			answer = s.withoutPromise(o, target, answer)
		}
		if p.record(answer, delivered) {
			return answer
		}
		if held(answer) || answer.CallFailed {
			break
		}
	}
	return p.result()
}

// mayRetry reports whether a request that a backend server may have received may be
// sent to another one.
func (s *Sender) mayRetry(o Order, route traffic.Route, p progress) bool {
	if p.mayHaveRun && !route.Idempotent || p.possibleRuns >= o.Context.Attempts || o.Context.NoRetry {
		return false
	}
	remaining := o.Context.Deadline.Sub(s.clock.Now())
	return remaining >= minRetryTime && s.budget.Allow(o.Context.Service, o.Route, int(o.Context.Importance))
}

// record records the result of a try and reports whether its answer is final.
func (p *progress) record(a exchange.Answer, delivered bool) bool {
	if delivered {
		p.deliveries++
	}
	p.last = a
	if a.Refusal == nil {
		if !serverError(a.Status) {
			return true
		}
		p.mayHaveRun = true
		p.possibleRuns++
		p.errorAnswer = &a
		return false
	}
	if a.Refusal.Outcome != refusal.NotRun {
		p.mayHaveRun = true
		p.possibleRuns++
	} else if delivered {
		p.rejected = true
	}
	return false
}

// held reports whether an executing node has refused a request because such requests crash
// backend servers, which holds for all other nodes too.
func held(a exchange.Answer) bool {
	return a.Refusal != nil && a.Refusal.Reason == refusal.Quarantined
}

// result returns the answer to a request that is not retried.
func (p *progress) result() exchange.Answer {
	if p.errorAnswer != nil {
		return *p.errorAnswer
	}
	a := p.last
	if p.deliveries > 0 {
		a.UnusedAttempts = 0
	}
	if p.mayHaveRun && a.Refusal != nil && a.Refusal.Outcome == refusal.NotRun {
		unknown := a.Refusal.WithOutcome(refusal.Unknown).WithRetryAfter(0)
		a.Refusal = &unknown
	}
	return a
}

// serverError reports whether a status is a server error.
func serverError(status int) bool { return status >= 500 }

// try sends an order to one node. The second result reports whether a backend server
// may have received the request.
func (s *Sender) try(ctx context.Context, o Order, t Target) (exchange.Answer, bool) {
	o.Backend, o.Status = t.Backend, t.Status
	start := s.clock.Now()
	if t.Host == s.host {
		answer := s.local.Execute(ctx, o)
		s.router.Observe(t, o, s.clock.Now().Sub(start), answer, false)
		return answer, delivered(answer)
	}
	o.Context = o.Context.WithRemaining(start)
	answer, err := s.transport.Send(ctx, t.Host, o)
	if err != nil {
		answer = undelivered(ctx, err)
	}
	answer = answer.Checked()
	s.router.Observe(t, o, s.clock.Now().Sub(start), answer, err != nil && ctx.Err() == nil)
	return answer, delivered(answer)
}

// withoutPromise returns the answer to a request that may run only once. A backend server that
// didn't run it says so, which is a refusal here. If its answer has a status that tells
// callers the same, the answer is replaced as a whole: its signature holds for its status.
// Requests that may run again keep the answer, as nothing depends on whether they have run.
func (s *Sender) withoutPromise(o Order, t Target, a exchange.Answer) exchange.Answer {
	if a.Refusal != nil || !s.promises.PromisesNotRun(a.Status) {
		return a
	}
	s.log.Emit(event.StatusWithheld, log.Fields{
		"request": o.Context.RequestID, "route": o.Route, "service": o.Context.Service, "host": t.Host, "backend-server": t.Backend, "status": a.Status,
	})
	r := refusal.New(refusal.StatusWithheld).WithOutcome(refusal.Unknown).WithDetail(fmt.Sprintf("it answered with status %d", a.Status))
	return a.WithRefusal(r)
}

// delivered reports whether a backend server may have received the request. An
// executing node returns the attempt as unused if it did not send the request on.
func delivered(a exchange.Answer) bool {
	return a.Refusal == nil || a.Refusal.Outcome != refusal.NotRun || a.UnusedAttempts == 0
}

// undelivered returns the answer to an order that no node answered.
func undelivered(ctx context.Context, err error) exchange.Answer {
	if errors.Is(err, trunk.ErrNotSent) {
		r := refusal.New(refusal.Unreachable).WithRetryAfter(noCapacityRetryAfter).WithDetail(err.Error())
		return exchange.Refused(r).WithUnusedAttempts(1)
	}
	reason := refusal.Unreachable
	if ctx.Err() != nil {
		reason = endReason(ctx)
	}
	return exchange.Refused(refusal.New(reason).WithOutcome(refusal.Unknown).WithDetail(fmt.Sprint(err)))
}
