package decisions

import (
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/retry"
	"github.com/bilberryvane/bilberryvane/routing"
)

const (
	// rootAttempts is the attempt allowance of a root request.
	rootAttempts = 8
	// plainTries is the maximum attempts per call of the fixed-limit policy.
	plainTries = 3
	// fixedQueue is the queue length of the fixed-limit policy, as a multiple of the slots.
	fixedQueue = 2
	// tickInterval is the interval between two ticks of a controller.
	tickInterval = 5 * time.Millisecond
)

// uncontrolled is the baseline policy without overload control.
type uncontrolled struct{}

// Name implements policy.
func (uncontrolled) Name() string                     { return "no-control" }
func (uncontrolled) prepare(*host)                    {}
func (uncontrolled) admit(*entry, *request) bool      { return true }
func (uncontrolled) observe(*entry, *request, result) {}
func (p uncontrolled) execute(h *host, c call, reply func(result)) {
	h.serve(c, p.below(h), func(f execution) { reply(f.result) })
}

func (p uncontrolled) below(h *host) func(call, func(result)) {
	return func(c call, reply func(result)) { p.forward(h.caller, c, reply) }
}

func (uncontrolled) forward(from *caller, c call, reply func(result)) {
	from.send(from.anyHost(c.service()), c, reply)
}

// anyHost returns a random host of a service, weighted by slots.
func (c *caller) anyHost(service string) *host {
	hosts := c.sim.hosts[service]
	total := 0
	for _, h := range hosts {
		total += h.slots
	}
	at := c.sim.random.IntN(total)
	for _, h := range hosts {
		if at -= h.slots; at < 0 {
			return h
		}
	}
	return hosts[0]
}

// fixed is the baseline policy with a fixed concurrency limit, a bounded queue and
// immediate retries at each hop.
type fixed struct{}

// Name implements policy.
func (fixed) Name() string                     { return "fixed-limit" }
func (fixed) prepare(*host)                    {}
func (fixed) admit(*entry, *request) bool      { return true }
func (fixed) observe(*entry, *request, result) {}

func (p fixed) execute(h *host, c call, reply func(result)) {
	run := func() {
		h.fixed++
		below := func(b call, answer func(result)) { p.forward(h.caller, b, answer) }
		h.serve(c, below, func(f execution) {
			h.fixed--
			reply(f.result)
			if len(h.queued) > 0 {
				next := h.queued[0]
				h.queued = h.queued[1:]
				next()
			}
		})
	}
	switch {
	case h.fixed < h.slots:
		run()
	case len(h.queued) < fixedQueue*h.slots:
		h.queued = append(h.queued, run)
	default:
		reply(result{shed: true})
	}
}

func (p fixed) forward(from *caller, c call, reply func(result)) { p.try(from, c, 1, reply) }

func (p fixed) try(from *caller, c call, tried int, reply func(result)) {
	from.send(from.anyHost(c.service()), c, func(res result) {
		if res.ok || tried == plainTries || !from.sim.now.Before(c.request.deadline) {
			reply(res)
			return
		}
		p.try(from, c, tried+1, reply)
	})
}

// decided is the policy that uses the decision packages.
type decided struct{}

// Name implements policy.
func (decided) Name() string { return "bilberryvane" }

func (p decided) prepare(h *host) {
	h.controller = admission.New(admission.Capacity{Slots: h.slots})
	h.admitted = make(map[uint64]admitted)
}

func (decided) admit(e *entry, r *request) bool {
	return e.backpressure.Allow(e.caller.sim.now, flowOf(r))
}

func (decided) observe(e *entry, r *request, res result) {
	if res.pressed {
		e.backpressure.Observe(e.caller.sim.now, flowOf(r), res.shed, res.pressure)
	}
}

func flowOf(r *request) routing.Flow {
	return routing.Flow{Class: r.class.Name, Account: accountName(r.account), Importance: r.class.Importance}
}

func accountName(i int) string { return string(rune('a' + i)) }

func (p decided) execute(h *host, c call, reply func(result)) {
	s := h.sim
	id := s.nextID()
	answer := func(res result) {
		load := h.controller.Load(s.now)
		own := routing.Pressure{Service: h.service.Name, AdmittedImportance: load.AdmittedImportance, QueueDelay: load.QueueDelay, FreeSlots: load.FreeSlots}
		if res.pressed {
			own = own.Merge(res.pressure)
		}
		res.pressure, res.pressed = own, true
		res.report, res.reported = routing.LoadReport{
			AdmittedImportance: load.AdmittedImportance, QueueDelay: load.QueueDelay,
			Running: load.Running, FreeSlots: load.FreeSlots,
		}, true
		reply(res)
	}
	h.admitted[id] = admitted{
		run:  func() { p.run(h, id, c, answer) },
		shed: func() { answer(result{shed: true, unused: c.attempts}) },
	}
	p.act(h, h.controller.Admit(s.now, admission.Request{
		ID: id, Account: accountName(c.request.account), Importance: c.request.class.Importance,
		Depth: c.depth, Target: c.request.class.Target, Deadline: c.request.deadline,
	}))
	p.tick(h)
}

func (p decided) run(h *host, id uint64, c call, answer func(result)) {
	if c.attempts == 0 {
		p.act(h, h.controller.Done(h.sim.now, id, admission.Completion{Ignore: true}))
		answer(result{})
		return
	}
	c.attempts--
	below := func(b call, reply func(result)) { p.forward(h.caller, b, reply) }
	h.serve(c, below, func(f execution) {
		done := admission.Completion{SelfTime: f.own, Ignore: !f.result.ok}
		actions := h.controller.Done(h.sim.now, id, done)
		answer(f.result)
		h.sim.after(0, func() { p.act(h, actions) })
	})
}

// act executes the actions of a controller.
func (decided) act(h *host, a admission.Actions) {
	for _, run := range a.Runs {
		do := h.admitted[run.ID]
		delete(h.admitted, run.ID)
		do.run()
	}
	for _, shed := range a.Sheds {
		do := h.admitted[shed.ID]
		delete(h.admitted, shed.ID)
		do.shed()
	}
}

// tick runs the controller's Tick periodically while requests are waiting.
func (p decided) tick(h *host) {
	if h.ticking || len(h.admitted) == 0 {
		return
	}
	h.ticking = true
	h.sim.after(tickInterval, func() {
		h.ticking = false
		p.act(h, h.controller.Tick(h.sim.now))
		p.tick(h)
	})
}

func (p decided) forward(from *caller, c call, reply func(result)) {
	p.try(from, c, retry.NewAllowance(c.attempts), nil, reply)
}

func (p decided) try(from *caller, c call, a *retry.Allowance, tried []retry.Attempt, reply func(result)) {
	s := from.sim
	router := from.routers[c.service()]
	node, err := router.Choose(s.now, c.request.class.Importance, retry.ExcludedHosts(tried))
	loan, part, borrowed := a.GrantMost()
	if err != nil || borrowed != nil {
		reply(result{unused: a.Close()})
		return
	}
	lent := c
	lent.attempts = part
	sent := s.now
	from.send(from.find(c.service(), node.Host), lent, func(res result) {
		router.Done(s.now, node.Host, routing.Result{
			Latency: s.now.Sub(sent), Shed: res.shed, Report: res.report, HasReport: res.reported,
		})
		_ = a.Return(loan, res.unused)
		attempt := retry.Attempt{Host: node.Host, Outcome: outcome(res), DownstreamOverloaded: res.shed && res.ran}
		budget := from.budgets[c.service()]
		work := retry.Request{Idempotent: true, Deadline: c.request.deadline}
		if res.ok {
			budget.RecordSuccess(s.now)
		}
		if retry.Retryable(s.now, work, attempt) && budget.Allow(s.now) {
			p.try(from, c, a, append(tried, attempt), reply)
			return
		}
		res.unused = a.Close()
		reply(res)
	})
}

func outcome(res result) retry.Outcome {
	switch {
	case res.ok:
		return retry.Answered
	case res.ran:
		return retry.Failed
	default:
		return retry.NotRun
	}
}
