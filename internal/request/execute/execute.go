// Package execute runs calls on the backend server of the node's own host: it
// checks that the call may still run, admits it, hands it over and returns the
// whole answer or a true refusal. Package forward delivers the calls; package
// backend talks to the backend server.
package execute

import (
	"context"
	"errors"
	"fmt"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/request/registry"
)

// A Result is how the backend server dealt with a request.
type Result struct {
	// Answer is the whole answer or the refusal made in its place.
	Answer exchange.Answer
	// Handed says that the backend server may have got the request.
	Handed bool
	// Crashed says that the connection broke before the answer was whole.
	Crashed bool
}

// A Backend hands a request to the backend server with a request token.
type Backend interface {
	Do(ctx context.Context, r exchange.Request, token string) Result
}

// Admission decides when a request may run. Admit waits in the queue; its error
// is a refusal.Refusal. Each admitted request must be reported with done.
type Admission interface {
	Admit(ctx context.Context, c call.Context) (done func(Result), err error)
	// Load returns what the node reports with its answers.
	Load() exchange.Load
}

// A Quarantine holds back requests that crash backend servers. Its error is a
// refusal.Refusal. Each admitted request must be reported with done.
type Quarantine interface {
	Enter(ctx context.Context, r exchange.Request) (done func(Result), err error)
}

// Keys tells whether a key still works at this node.
type Keys interface {
	KeyActive(id string) bool
}

// An Executor executes calls on one backend server. It is safe for concurrent use.
type Executor struct {
	host       string
	keys       Keys
	admission  Admission
	quarantine Quarantine
	backend    Backend
	registry   *registry.Registry
	clock      clock.Clock
}

// New returns an Executor for the backend server of a host.
func New(host string, k Keys, a Admission, q Quarantine, b Backend, r *registry.Registry, c clock.Clock) *Executor {
	return &Executor{host: host, keys: k, admission: a, quarantine: q, backend: b, registry: r, clock: c}
}

// Execute runs one call. A refusal with outcome not-run returns the whole
// allowance of attempts.
func (e *Executor) Execute(ctx context.Context, r exchange.Request) exchange.Answer {
	held, err := e.quarantine.Enter(ctx, r)
	if err != nil {
		return e.refuse(r.Context, err)
	}
	result := e.admitted(ctx, r)
	held(result)
	return result.Answer.WithLoad(e.admission.Load())
}

func (e *Executor) admitted(ctx context.Context, r exchange.Request) Result {
	done, err := e.admission.Admit(ctx, r.Context)
	if err != nil {
		return Result{Answer: e.refuse(r.Context, err)}
	}
	result := e.run(ctx, r)
	done(result)
	return result
}

// run hands the request over. Time has passed in the queue, so it first checks
// that the key still works and that the caller still waits.
func (e *Executor) run(ctx context.Context, r exchange.Request) Result {
	c := r.Context
	if c.KeyID != "" && !e.keys.KeyActive(c.KeyID) {
		return Result{Answer: e.refuse(c, refusal.New(refusal.WithdrawnKey))}
	}
	if ctx.Err() != nil || c.Expired(e.clock.Now()) {
		return Result{Answer: e.refuse(c, refusal.New(refusal.DeadlinePassed))}
	}
	if c.Attempts < 1 {
		return Result{Answer: e.refuse(c, refusal.New(refusal.AttemptsUsedUp))}
	}
	token, _ := e.registry.Issue(c.WithAttempts(c.Attempts - 1))
	result := e.backend.Do(ctx, r, token)
	unused := e.registry.End(token)
	if !result.Handed {
		unused = c.Attempts
	}
	result.Answer = e.name(c, result.Answer).WithUnusedAttempts(unused)
	return result
}

// refuse turns an error into the refusal of a call that was not run.
func (e *Executor) refuse(c call.Context, err error) exchange.Answer {
	var r refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Overloaded).WithDetail(fmt.Sprint(err))
	}
	answer := e.name(c, exchange.Refused(r)).WithUnusedAttempts(c.Attempts)
	return answer.WithLoad(e.admission.Load())
}

// name fills in which request was refused and where.
func (e *Executor) name(c call.Context, a exchange.Answer) exchange.Answer {
	if a.Refusal == nil {
		return a
	}
	named := a.Refusal.WithRequest(c.RequestID, e.host)
	a.Refusal = &named
	return a
}
