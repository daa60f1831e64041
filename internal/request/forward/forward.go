// Package forward sends a call to an executing node and retries it on other nodes while
// the call has attempts left and a retry is safe. Package entry passes calls to it,
// package execute runs them on the executing node, and package peer transports the
// messages.
package forward

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// reservedAttempts is the number of attempts that a sender does not pass on to the
// executing node. It can then retry if that node is lost with the attempts it was given.
const reservedAttempts = 2

// A Target is an executing node.
type Target struct {
	// Host is the name of the node's host.
	Host string
	// Address is the node's peer address; empty for the local node.
	Address string
}

// A Router picks executing nodes and observes their answers.
type Router interface {
	// Pick returns a node that offers the call's service and is not excluded.
	Pick(c call.Context, excluded []string) (Target, error)
	// Observe reports the result of a try.
	Observe(t Target, c call.Context, o Observation)
}

// An Observation is the result of one try, as observed by its sender.
type Observation struct {
	// Elapsed is the time from sending to the answer.
	Elapsed time.Duration
	// Answer is the node's answer, or a refusal if there was none.
	Answer exchange.Answer
	// Lost says that the node did not answer.
	Lost bool
}

// A RetryBudget bounds the retries of all requests to a service in proportion to its
// recent successes.
type RetryBudget interface {
	// Allow reports whether one more retry is within the budget.
	Allow(service string) bool
	// RecordSuccess counts an attempt that was answered.
	RecordSuccess(service string)
}

// An Executor executes calls on the local node.
type Executor interface {
	Execute(ctx context.Context, r exchange.Request) exchange.Answer
}

// A Transport sends messages to other nodes.
type Transport interface {
	Call(ctx context.Context, address string, k peer.Kind, body []byte) ([]byte, error)
}

// A Forwarder forwards calls. It is safe for concurrent use.
type Forwarder struct {
	router    Router
	budget    RetryBudget
	local     Executor
	transport Transport
	clock     clock.Clock
}

// New returns a Forwarder.
func New(r Router, b RetryBudget, local Executor, t Transport, c clock.Clock) *Forwarder {
	return &Forwarder{router: r, budget: b, local: local, transport: t, clock: c}
}

// Forward sends the request until it is answered, must not be retried or has no attempts
// left. The answer holds the number of unused attempts. A refusal has the outcome not-run
// only if that holds for every try.
func (f *Forwarder) Forward(ctx context.Context, r exchange.Request) exchange.Answer {
	answer, mayHaveRun := f.tryNodes(ctx, r)
	if answer.Refusal != nil && answer.Refusal.Outcome == refusal.NotRun && mayHaveRun {
		unknown := answer.Refusal.WithOutcome(refusal.Unknown)
		answer.Refusal = &unknown
	}
	return answer
}

// tryNodes sends the request to one node after the other. The second result reports
// whether a try other than the one whose answer is returned may have run.
func (f *Forwarder) tryNodes(ctx context.Context, r exchange.Request) (exchange.Answer, bool) {
	mayHaveRun := false
	attempts := r.Context.Attempts
	last := exchange.Refused(refusal.New(refusal.AttemptsUsedUp))
	var excluded []string
	for tried := 0; attempts > 0; tried++ {
		if r.Context.Expired(f.clock.Now()) {
			return f.expired(last, tried).WithUnusedAttempts(attempts), mayHaveRun
		}
		if tried > 0 && !f.budget.Allow(r.Context.Service) {
			return last.WithUnusedAttempts(attempts), mayHaveRun
		}
		target, err := f.router.Pick(r.Context, excluded)
		if err != nil {
			return pickFailed(err, last, tried).WithUnusedAttempts(attempts), mayHaveRun
		}
		granted := max(1, attempts-reservedAttempts)
		last = f.try(ctx, target, r.WithContext(r.Context.WithAttempts(granted)))
		attempts += min(granted, last.UnusedAttempts) - granted
		if !retryable(r.Context, last) || ctx.Err() != nil {
			return last.WithUnusedAttempts(attempts), mayHaveRun
		}
		mayHaveRun = mayHaveRun || last.Refusal.Outcome != refusal.NotRun
		excluded = append(excluded, target.Host)
	}
	return last.WithUnusedAttempts(0), mayHaveRun
}

// pickFailed returns the answer to a call for which no node could be picked. It prefers
// the refusal of an earlier try, which is more specific.
func pickFailed(err error, last exchange.Answer, tried int) exchange.Answer {
	if tried > 0 {
		return last
	}
	var r refusal.Refusal
	if errors.As(err, &r) {
		return exchange.Refused(r)
	}
	return exchange.Refused(refusal.New(refusal.NoBackendServer))
}

// expired returns the refusal of a call whose deadline passed between tries.
func (f *Forwarder) expired(last exchange.Answer, tried int) exchange.Answer {
	if tried > 0 {
		return last
	}
	return exchange.Refused(refusal.New(refusal.DeadlinePassed))
}

// retryable reports whether a call may be retried on another node. Work that did not run
// may be retried; work that may have run only if it is idempotent.
func retryable(c call.Context, a exchange.Answer) bool {
	if a.Refusal == nil {
		return false
	}
	switch a.Refusal.Reason {
	case refusal.Quarantined, refusal.WithdrawnKey, refusal.DeadlinePassed, refusal.Cancelled:
		return false
	}
	if a.Refusal.Outcome == refusal.NotRun {
		return true
	}
	return c.Idempotent && a.Refusal.Outcome == refusal.Unknown
}

// try sends the request to one node and reports the result to the router.
func (f *Forwarder) try(ctx context.Context, t Target, r exchange.Request) exchange.Answer {
	start := f.clock.Now()
	var answer exchange.Answer
	lost := false
	if t.Address == "" {
		answer = f.local.Execute(ctx, r)
	} else {
		answer, lost = f.sendTo(ctx, t, r)
	}
	if answer.Refusal == nil {
		f.budget.RecordSuccess(r.Context.Service)
	}
	f.router.Observe(t, r.Context, Observation{Elapsed: f.clock.Now().Sub(start), Answer: answer, Lost: lost})
	return answer
}

// sendTo sends the request to another node. The second result reports whether the node
// did not answer although the request was not cancelled.
func (f *Forwarder) sendTo(ctx context.Context, t Target, r exchange.Request) (exchange.Answer, bool) {
	body, err := cbor.Marshal(r.WithContext(r.Context.WithRemaining(f.clock.Now())))
	if err != nil {
		return exchange.Refused(refusal.New(refusal.BadRequest)).WithUnusedAttempts(r.Context.Attempts), false
	}
	callCtx, cancel := context.WithDeadline(ctx, r.Context.Deadline)
	defer cancel()
	reply, err := f.transport.Call(callCtx, t.Address, peer.KindCall, body)
	if err != nil {
		return undelivered(callCtx, err, r.Context), callCtx.Err() == nil
	}
	var answer exchange.Answer
	if err := codec.Decoder.Unmarshal(reply, &answer); err != nil {
		lost := refusal.New(refusal.IncompatiblePeer).WithOutcome(refusal.Unknown)
		return exchange.Refused(lost), true
	}
	return answer.Checked(), false
}

// undelivered converts a transport error to a refusal. The outcome is unknown unless the
// error proves that the request was not delivered. Attempts that may have been used count
// as used.
func undelivered(ctx context.Context, err error, c call.Context) exchange.Answer {
	reason := refusal.Unreachable
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = refusal.DeadlinePassed
	case ctx.Err() != nil:
		reason = refusal.Cancelled
	case errors.Is(err, peer.ErrDraining):
		reason = refusal.Leaving
	case errors.Is(err, peer.ErrBusy):
		reason = refusal.Overloaded
	case errors.Is(err, peer.ErrIncompatible), errors.Is(err, peer.ErrMalformed):
		reason = refusal.IncompatiblePeer
	}
	if notDelivered(err) {
		return exchange.Refused(refusal.New(reason)).WithUnusedAttempts(c.Attempts)
	}
	return exchange.Refused(refusal.New(reason).WithOutcome(refusal.Unknown))
}

func notDelivered(err error) bool {
	for _, known := range []error{
		peer.ErrNotDelivered, peer.ErrBusy, peer.ErrDraining, peer.ErrIncompatible, peer.ErrNoHandler, peer.ErrMalformed,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// Serve returns the handler for calls from other nodes.
func Serve(local Executor, c clock.Clock) peer.Handler {
	return func(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
		var r exchange.Request
		if err := codec.Decoder.Unmarshal(body, &r); err != nil {
			return encode(exchange.Refused(refusal.New(refusal.IncompatiblePeer)))
		}
		received := r.Context.WithLocalDeadline(c.Now())
		callCtx, cancel := context.WithDeadline(ctx, received.Deadline)
		defer cancel()
		return encode(local.Execute(callCtx, r.WithContext(received)))
	}
}

func encode(a exchange.Answer) ([]byte, error) {
	body, err := cbor.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return body, nil
}
