// Package admitter queues requests until package admission decides on them. It provides
// locking, the timer and the waiting requests for one backend server.
package admitter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/execute"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// tickInterval is the time between two ticks of the controller. It ticks while requests
// wait or while a raised admission level is in force.
const tickInterval = 5 * time.Millisecond

// Targets provides the latency targets of classes.
type Targets interface {
	// Target returns the latency target of a class, or zero if the class doesn't exist.
	Target(class string) time.Duration
}

// A decision is the outcome for a waiting request.
type decision struct {
	run  bool
	shed admission.Shed
}

// An Admitter admits requests to one backend server. It is safe for concurrent use.
type Admitter struct {
	host    string
	targets Targets
	clock   clock.Clock

	// mu guards the fields below.
	mu         sync.Mutex
	controller *admission.Controller
	capacity   admission.Capacity
	waiting    map[uint64]chan decision
	lastID     uint64
	running    int
	ticking    bool
}

// New returns an Admitter with no capacity, for a backend server that has not announced
// itself. The options are passed to the admission.Controller.
func New(host string, t Targets, c clock.Clock, options ...admission.Option) *Admitter {
	return &Admitter{
		host: host, targets: t, clock: c,
		controller: admission.New(admission.Capacity{}, options...),
		waiting:    make(map[uint64]chan decision),
	}
}

// SetCapacity sets the capacity that the backend server announced.
func (a *Admitter) SetCapacity(c admission.Capacity) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.capacity != c {
		a.capacity = c
		a.controller.SetCapacity(c)
	}
}

// Admit waits until the request may run. The caller calls the returned function when the
// request is done. The error is a refusal.Refusal.
func (a *Admitter) Admit(ctx context.Context, c call.Context) (func(execute.Result), error) {
	id, decided := a.enqueue(c)
	select {
	case d := <-decided:
		return a.result(id, d)
	case <-ctx.Done():
	}
	if a.cancel(id) {
		return nil, contextRefusal(ctx)
	}
	// The decision was made just as the context ended; an admitted request is released.
	done, err := a.result(id, <-decided)
	if err != nil {
		return nil, err
	}
	done(execute.Result{})
	return nil, contextRefusal(ctx)
}

// Load returns the load that the node reports with its answers.
func (a *Admitter) Load() exchange.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.controller.Load(a.clock.Now())
	return exchange.Load{
		Host:               a.host,
		AdmittedImportance: l.AdmittedImportance,
		QueueDelay:         l.QueueDelay,
		Running:            l.Running,
		FreeSlots:          l.FreeSlots,
	}
}

// Waiting returns the number of requests in the queue.
func (a *Admitter) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Load(a.clock.Now()).Waiting
}

func (a *Admitter) enqueue(c call.Context) (uint64, <-chan decision) {
	target := a.targets.Target(c.Class)
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	if target == 0 {
		target = c.Deadline.Sub(now)
	}
	a.lastID++
	id := a.lastID
	decided := make(chan decision, 1)
	a.waiting[id] = decided
	a.apply(a.controller.Admit(now, admission.Request{
		ID:         id,
		Account:    c.Account,
		Importance: int(c.Importance),
		Depth:      c.Depth,
		Target:     target,
		Deadline:   c.Deadline,
	}))
	return id, decided
}

// result converts a decision into the result of Admit.
func (a *Admitter) result(id uint64, d decision) (func(execute.Result), error) {
	if d.run {
		start := a.clock.Now()
		return func(r execute.Result) { a.complete(id, start, r) }, nil
	}
	reason := refusal.Overloaded
	if d.shed.Reason == admission.DeadlineUnreachable {
		reason = refusal.DeadlinePassed
	}
	r := refusal.New(reason).WithRetryAfter(d.shed.RetryAfter)
	if limit, ok := a.requestLimit(); ok && reason == refusal.Overloaded {
		r = r.WithDetail(fmt.Sprintf("its backend server accepts %.3g requests per second at present", limit))
	}
	return nil, r
}

// requestLimit returns the requests per second that the backend server accepts, and
// whether it limits them.
func (a *Admitter) requestLimit() (float64, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.capacity.RequestsPerSecond, a.capacity.Limited
}

func (a *Admitter) complete(id uint64, start time.Time, r execute.Result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	a.running--
	overloaded := r.Answer.Status == http.StatusServiceUnavailable || r.Answer.Status == http.StatusTooManyRequests
	done := admission.Completion{
		SelfTime: now.Sub(start) - r.ChildWait,
		Rejected: overloaded && !r.Answer.Pressure.Shed,
		Ignore:   !r.Sent || r.Answer.Refusal != nil || r.Answer.Status >= http.StatusInternalServerError,
	}
	a.apply(a.controller.Done(now, id, done))
	if r.Crashed && a.running == 0 {
		a.controller.Restart(a.capacity)
	}
}

func (a *Admitter) cancel(id uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	return a.controller.Cancel(id)
}

// apply delivers decisions to the waiting requests and starts the timer if needed. mu
// must be held.
func (a *Admitter) apply(actions admission.Actions) {
	for _, r := range actions.Runs {
		a.running++
		a.notify(r.ID, decision{run: true})
	}
	for _, s := range actions.Sheds {
		a.notify(s.ID, decision{shed: s})
	}
	if _, waits := a.controller.NextTick(); waits && !a.ticking {
		a.ticking = true
		time.AfterFunc(tickInterval, a.tick)
	}
}

func (a *Admitter) notify(id uint64, d decision) {
	if decided, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		decided <- d
	}
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ticking = false
	a.apply(a.controller.Tick(a.clock.Now()))
}

// contextRefusal returns the refusal of a request whose context has ended.
func contextRefusal(ctx context.Context) refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.DeadlinePassed)
	}
	return refusal.New(refusal.Cancelled)
}
