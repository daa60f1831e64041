// Package execute runs calls on the backend server of the node's own host. It checks
// that a call may still run, admits it, sends it to the backend server and returns the
// complete answer or a refusal with its correct outcome. Package forward delivers the
// calls; package backend is the client of the backend server.
package execute

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/request/registry"
)

// A Result is the result of a request to the backend server.
type Result struct {
	// Answer is the complete answer, or a refusal if there is none.
	Answer exchange.Answer
	// Sent says that the backend server may have received the request.
	Sent bool
	// Crashed says that the connection was lost before the answer was complete.
	Crashed bool
	// ChildWait is the time that the backend server waited for calls of its own.
	ChildWait time.Duration
}

// A Backend sends a request to the backend server with a request token.
type Backend interface {
	Do(ctx context.Context, r exchange.Request, token string) Result
}

// Admission decides when a request may run. Admit waits in the queue; its error is a
// refusal.Refusal. After each admitted request, done must be called with its result.
type Admission interface {
	Admit(ctx context.Context, c call.Context) (done func(Result), err error)
	// Load returns the load that the node reports with its answers.
	Load() exchange.Load
}

// A Quarantine refuses requests that crash backend servers. Its error is a
// refusal.Refusal.
type Quarantine interface {
	Check(ctx context.Context, c call.Context) (Tracker, error)
}

// A Tracker tracks a request that a Quarantine did not refuse.
type Tracker interface {
	// Start must be called before the request is sent to the backend server. If it
	// returns an error, a refusal.Refusal, the request must not be sent.
	Start() error
	// Finish must be called once with the result of the request.
	Finish(r Result)
}

// KeyChecker checks whether keys are valid at this node.
type KeyChecker interface {
	// KeyActive reports whether a key is valid for a request that was admitted under
	// a configuration version.
	KeyActive(id string, version uint64) bool
	// WatchKey returns a context that is cancelled when the key is withdrawn, with the
	// refusal as its cause. The caller must call done to release it.
	WatchKey(ctx context.Context, id string) (watched context.Context, done func())
}

// An Executor executes calls on one backend server. It is safe for concurrent use.
type Executor struct {
	host       string
	keys       KeyChecker
	admission  Admission
	quarantine Quarantine
	backend    Backend
	registry   *registry.Registry
	clock      clock.Clock
}

// Deps are the dependencies of an Executor. All are required.
type Deps struct {
	Host       string
	Keys       KeyChecker
	Admission  Admission
	Quarantine Quarantine
	Backend    Backend
	Registry   *registry.Registry
	Clock      clock.Clock
}

// New returns an Executor for the backend server of a host.
func New(d Deps) *Executor {
	return &Executor{
		host:       d.Host,
		keys:       d.Keys,
		admission:  d.Admission,
		quarantine: d.Quarantine,
		backend:    d.Backend,
		registry:   d.Registry,
		clock:      d.Clock,
	}
}

// Execute runs one call. A refusal with the outcome not-run returns all attempts as
// unused.
func (e *Executor) Execute(ctx context.Context, r exchange.Request) exchange.Answer {
	tracker, err := e.quarantine.Check(ctx, r.Context)
	if err != nil {
		return e.refuse(r.Context, err)
	}
	result := e.admitAndRun(ctx, r, tracker)
	tracker.Finish(result)
	return result.Answer
}

func (e *Executor) admitAndRun(ctx context.Context, r exchange.Request, tracker Tracker) Result {
	done, err := e.awaitAdmission(ctx, r.Context)
	if err != nil {
		return Result{Answer: e.refuse(r.Context, err)}
	}
	result := e.run(ctx, r, tracker)
	done(result)
	return result
}

// awaitAdmission returns when the call is admitted, or as soon as its key is withdrawn.
// It checks the key after the watch has started, so that no withdrawal is missed between
// the two.
func (e *Executor) awaitAdmission(ctx context.Context, c call.Context) (func(Result), error) {
	watched, stop := e.keys.WatchKey(ctx, c.KeyID)
	defer stop()
	if !e.keyActive(c) {
		return nil, refusal.New(refusal.WithdrawnKey)
	}
	done, err := e.admission.Admit(watched, c)
	if err != nil {
		return nil, withdrawalOr(context.Cause(watched), err)
	}
	return done, nil
}

// keyActive reports whether the key of a call is still valid. Calls of open classes
// have no key.
func (e *Executor) keyActive(c call.Context) bool {
	return c.KeyID == "" || e.keys.KeyActive(c.KeyID, c.ConfigurationVersion)
}

// withdrawalOr returns the refusal in cause if the key was withdrawn during the wait,
// or err otherwise.
func withdrawalOr(cause, err error) error {
	var r refusal.Refusal
	if errors.As(cause, &r) {
		return r
	}
	return err
}

// run sends the request to the backend server. Because time has passed in the queue, it
// first checks that the key is still valid, that the deadline has not passed and that
// the request has not been found to crash backend servers.
func (e *Executor) run(ctx context.Context, r exchange.Request, tracker Tracker) Result {
	c := r.Context
	if !e.keyActive(c) {
		return Result{Answer: e.refuse(c, refusal.New(refusal.WithdrawnKey))}
	}
	if ctx.Err() != nil || c.Expired(e.clock.Now()) {
		return Result{Answer: e.refuse(c, refusal.New(refusal.DeadlinePassed))}
	}
	if c.Attempts < 1 {
		return Result{Answer: e.refuse(c, refusal.New(refusal.AttemptsUsedUp))}
	}
	if err := tracker.Start(); err != nil {
		return Result{Answer: e.refuse(c, err)}
	}
	token, running := e.registry.Issue(c.WithAttempts(c.Attempts - 1))
	result := e.backend.Do(ctx, r, token)
	unused := e.registry.End(token)
	waited, children := running.ChildStats(e.clock.Now())
	result.ChildWait = waited
	if !result.Sent {
		unused = c.Attempts
	}
	load := e.admission.Load()
	pressure := mergePressure(load, c.Service, children)
	result.Answer = e.withOrigin(c, result.Answer).WithUnusedAttempts(unused).WithLoad(load).WithPressure(pressure)
	return result
}

// refuse returns the answer to a call that was not run because of err.
func (e *Executor) refuse(c call.Context, err error) exchange.Answer {
	var r refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Overloaded).WithDetail(fmt.Sprint(err))
	}
	load := e.admission.Load()
	pressure := mergePressure(load, c.Service, nil)
	pressure.Shed = r.Reason == refusal.Overloaded
	return e.withOrigin(c, exchange.Refused(r)).WithUnusedAttempts(c.Attempts).WithLoad(load).WithPressure(pressure)
}

// withOrigin adds the request id and the host to a refusal.
func (e *Executor) withOrigin(c call.Context, a exchange.Answer) exchange.Answer {
	if a.Refusal == nil {
		return a
	}
	named := a.Refusal.WithRequest(c.RequestID, e.host)
	a.Refusal = &named
	return a
}
