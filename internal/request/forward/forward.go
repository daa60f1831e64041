// Package forward sends a call to an executing node and tries others while the
// call's allowance of attempts lasts and a further try can do no harm. Packages
// entry and execute stand at its two ends; package peer carries the messages.
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

// reservedAttempts is the part of an allowance that a sender keeps back, so that
// it can try again when an executing node is lost with all that was lent to it.
const reservedAttempts = 2

// A Target is an executing node.
type Target struct {
	// Host names the node.
	Host string
	// Address is its peer address; empty for the node itself.
	Address string
}

// A Router chooses executing nodes and learns from their answers.
type Router interface {
	// Pick returns a node that offers the call's service and is not excluded.
	Pick(c call.Context, excluded []string) (Target, error)
	// Observe reports how a try ended.
	Observe(t Target, c call.Context, o Observation)
}

// An Observation is how one try ended, as its sender saw it.
type Observation struct {
	// Elapsed is the time from sending to the answer.
	Elapsed time.Duration
	// Answer is what came back, or the refusal made in its place.
	Answer exchange.Answer
	// Lost says that the node did not answer.
	Lost bool
}

// A Budget bounds retries over all requests of a service by recent successes.
type Budget interface {
	// Allow reports whether one more retry is within the budget.
	Allow(service string) bool
	// Success counts an attempt that was answered.
	Success(service string)
}

// An Executor executes calls on the node itself.
type Executor interface {
	Execute(ctx context.Context, r exchange.Request) exchange.Answer
}

// A Sender carries a message to another node.
type Sender interface {
	Call(ctx context.Context, address string, k peer.Kind, body []byte) ([]byte, error)
}

// A Forwarder forwards calls. It is safe for concurrent use.
type Forwarder struct {
	router Router
	budget Budget
	local  Executor
	sender Sender
	clock  clock.Clock
}

// New returns a Forwarder.
func New(r Router, b Budget, local Executor, s Sender, c clock.Clock) *Forwarder {
	return &Forwarder{router: r, budget: b, local: local, sender: s, clock: c}
}

// Forward sends the request until it is answered, must not be tried again or has
// used up its allowance. The answer says how much of the allowance is left. A
// refusal is "not run" only if that holds for every try.
func (f *Forwarder) Forward(ctx context.Context, r exchange.Request) exchange.Answer {
	answer, mayHaveRun := f.tries(ctx, r)
	if answer.Refusal != nil && answer.Refusal.Outcome == refusal.NotRun && mayHaveRun {
		unknown := answer.Refusal.WithOutcome(refusal.Unknown)
		answer.Refusal = &unknown
	}
	return answer
}

// tries sends the request to one node after the other. The second result says
// that a try may have run although its answer is not the one returned.
func (f *Forwarder) tries(ctx context.Context, r exchange.Request) (exchange.Answer, bool) {
	mayHaveRun := false
	attempts := r.Context.Attempts
	last := exchange.Refused(refusal.New(refusal.AttemptsUsedUp))
	var excluded []string
	for tries := 0; attempts > 0; tries++ {
		if r.Context.Expired(f.clock.Now()) {
			return f.expired(last, tries).WithUnusedAttempts(attempts), mayHaveRun
		}
		if tries > 0 && !f.budget.Allow(r.Context.Service) {
			return last.WithUnusedAttempts(attempts), mayHaveRun
		}
		target, err := f.router.Pick(r.Context, excluded)
		if err != nil {
			return unroutable(err, last, tries).WithUnusedAttempts(attempts), mayHaveRun
		}
		lent := max(1, attempts-reservedAttempts)
		last = f.try(ctx, target, r.WithContext(r.Context.WithAttempts(lent)))
		attempts += min(lent, last.UnusedAttempts) - lent
		if !retryable(r.Context, last) || ctx.Err() != nil {
			return last.WithUnusedAttempts(attempts), mayHaveRun
		}
		mayHaveRun = mayHaveRun || last.Refusal.Outcome != refusal.NotRun
		excluded = append(excluded, target.Host)
	}
	return last.WithUnusedAttempts(0), mayHaveRun
}

// unroutable keeps the refusal of an earlier try, which tells more than that no
// further node is left.
func unroutable(err error, last exchange.Answer, tries int) exchange.Answer {
	if tries > 0 {
		return last
	}
	var r refusal.Refusal
	if errors.As(err, &r) {
		return exchange.Refused(r)
	}
	return exchange.Refused(refusal.New(refusal.NoBackendServer))
}

// expired returns the refusal of a call whose time ran out between tries.
func (f *Forwarder) expired(last exchange.Answer, tries int) exchange.Answer {
	if tries > 0 {
		return last
	}
	return exchange.Refused(refusal.New(refusal.DeadlinePassed))
}

// retryable reports whether another node may be tried. Work that did not run may
// always be; work that may have run only if it is idempotent.
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

// try sends the request to one node and reports the outcome to the router.
func (f *Forwarder) try(ctx context.Context, t Target, r exchange.Request) exchange.Answer {
	start := f.clock.Now()
	var answer exchange.Answer
	lost := false
	if t.Address == "" {
		answer = f.local.Execute(ctx, r)
	} else {
		answer, lost = f.send(ctx, t, r)
	}
	if answer.Refusal == nil {
		f.budget.Success(r.Context.Service)
	}
	f.router.Observe(t, r.Context, Observation{Elapsed: f.clock.Now().Sub(start), Answer: answer, Lost: lost})
	return answer
}

// send carries the request to another node. The second result says that the node
// did not answer, though the request was not cancelled.
func (f *Forwarder) send(ctx context.Context, t Target, r exchange.Request) (exchange.Answer, bool) {
	body, err := cbor.Marshal(r.WithContext(r.Context.WithSent(f.clock.Now())))
	if err != nil {
		return exchange.Refused(refusal.New(refusal.BadRequest)).WithUnusedAttempts(r.Context.Attempts), false
	}
	limited, cancel := context.WithDeadline(ctx, r.Context.Deadline)
	defer cancel()
	reply, err := f.sender.Call(limited, t.Address, peer.KindCall, body)
	if err != nil {
		return undelivered(limited, err, r.Context), limited.Err() == nil
	}
	var answer exchange.Answer
	if err := codec.Decoder.Unmarshal(reply, &answer); err != nil {
		lost := refusal.New(refusal.IncompatiblePeer).WithOutcome(refusal.Unknown)
		return exchange.Refused(lost), true
	}
	return answer, false
}

// undelivered turns an error of the transport into a refusal that claims no more
// than the error proves. Allowance that may have been used counts as used.
func undelivered(ctx context.Context, err error, c call.Context) exchange.Answer {
	reason := refusal.Unreachable
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = refusal.DeadlinePassed
	case ctx.Err() != nil:
		reason = refusal.Cancelled
	case errors.Is(err, peer.ErrLeaving):
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
		peer.ErrNotDelivered, peer.ErrBusy, peer.ErrLeaving, peer.ErrIncompatible, peer.ErrNoHandler, peer.ErrMalformed,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// Serve returns the handler of calls that other nodes send.
func Serve(local Executor, c clock.Clock) peer.Handler {
	return func(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
		var r exchange.Request
		if err := codec.Decoder.Unmarshal(body, &r); err != nil {
			return encode(exchange.Refused(refusal.New(refusal.IncompatiblePeer)))
		}
		received := r.Context.WithReceived(c.Now())
		limited, cancel := context.WithDeadline(ctx, received.Deadline)
		defer cancel()
		return encode(local.Execute(limited, r.WithContext(received)))
	}
}

func encode(a exchange.Answer) ([]byte, error) {
	body, err := cbor.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode answer: %w", err)
	}
	return body, nil
}
