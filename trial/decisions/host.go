package decisions

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/retry"
	"github.com/bilberryvane/bilberryvane/routing"
)

// A caller sends calls from one host, with its own routers and retry budgets.
type caller struct {
	sim     *simulation
	name    string
	zone    int
	routers map[string]*routing.Router
	budgets map[string]*retry.Budget
}

func newCaller(s *simulation, name string, zone int) *caller {
	return &caller{
		sim: s, name: name, zone: zone,
		routers: make(map[string]*routing.Router), budgets: make(map[string]*retry.Budget),
	}
}

// setUpRouters creates a router and a retry budget for each service.
func (c *caller) setUpRouters() {
	for _, service := range c.sim.deployment.Services {
		seeded := rand.New(rand.NewPCG(uint64(len(c.name)), c.sim.random.Uint64()))
		r := routing.NewRouter(c.name, zoneName(c.zone), seeded)
		var nodes []routing.Node
		for _, h := range c.sim.hosts[service.Name] {
			nodes = append(nodes, routing.Node{Host: h.caller.name, Zone: zoneName(h.caller.zone), Incarnation: 1})
		}
		r.SetNodes(c.sim.now, nodes)
		c.routers[service.Name] = r
		c.budgets[service.Name] = retry.NewBudget()
	}
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// send delivers a call to a host and its result back, with the network delay.
func (c *caller) send(h *host, request call, reply func(result)) {
	delay := c.sim.deployment.ZoneDelay / 5
	if h.caller.zone != c.zone {
		delay = c.sim.deployment.ZoneDelay
	}
	c.sim.after(delay, func() {
		c.sim.policy.execute(h, request, func(res result) {
			res.host = h.caller.name
			c.sim.after(delay, func() { reply(res) })
		})
	})
}

// find returns the host of a service with the given name, or nil.
func (c *caller) find(service, name string) *host {
	for _, h := range c.sim.hosts[service] {
		if h.caller.name == name {
			return h
		}
	}
	return nil
}

// An entry is an entry node, which accepts root requests of clients.
type entry struct {
	caller       *caller
	backpressure *routing.Backpressure
}

func (e *entry) serve(r *request, reply func(result)) {
	s := e.caller.sim
	if !s.policy.admit(e, r) {
		reply(result{shed: true})
		return
	}
	s.policy.forward(e.caller, call{request: r, attempts: rootAttempts}, func(res result) {
		s.policy.observe(e, r, res)
		reply(res)
	})
}

// A host runs a backend server with a number of slots. Calls in excess of the slots
// wait in a FIFO backlog inside the backend server.
type host struct {
	sim        *simulation
	caller     *caller
	service    Service
	slots      int
	first      bool
	busy       int
	backlog    []func()
	controller *admission.Controller
	// admitted holds the calls that wait for the controller, by ID.
	admitted map[uint64]admitted
	// fixed is the number of running calls under the fixed-limit policy.
	fixed   int
	ticking bool
	queued  []func()
}

// An admitted call waits for the decision of the controller.
type admitted struct {
	run  func()
	shed func()
}

// An execution is the result of a call and the time it spent in the backend server,
// without nested calls.
type execution struct {
	result result
	own    time.Duration
}

// serve queues a call at the backend server, which runs it once a slot is free.
func (h *host) serve(c call, forward func(call, func(result)), finish func(execution)) {
	entered := h.sim.now
	h.backlog = append(h.backlog, func() { h.occupySlot(c, entered, forward, finish) })
	h.next()
}

func (h *host) next() {
	for h.busy < h.slots && len(h.backlog) > 0 {
		do := h.backlog[0]
		h.backlog = h.backlog[1:]
		h.busy++
		do()
	}
}

// occupySlot holds a slot for half of the self time, the nested call and the other half.
func (h *host) occupySlot(c call, entered time.Time, forward func(call, func(result)), finish func(execution)) {
	s := h.sim
	own := time.Duration(s.random.ExpFloat64() * float64(h.service.SelfTime) * h.factor())
	inside := s.now.Sub(entered) + own
	leave := func(res result) {
		h.busy--
		finish(execution{result: res, own: inside})
		h.next()
	}
	c.request.work += own
	if c.depth+1 == len(c.request.class.Path) {
		c.request.bottleneck += own
		s.after(own, func() { leave(result{ok: true, ran: true, unused: c.attempts}) })
		return
	}
	below := c
	below.depth++
	s.after(own/2, func() {
		forward(below, func(res result) {
			res.ran = true
			if !res.ok {
				leave(res)
				return
			}
			s.after(own/2, func() { leave(res) })
		})
	})
}

// factor returns the current slowdown factor of the backend server.
func (h *host) factor() float64 {
	services := h.sim.deployment.Services
	if h.service.Name != services[len(services)-1].Name {
		return 1
	}
	if h.first {
		return h.sim.slowness * h.sim.slowHost
	}
	return h.sim.slowness
}
