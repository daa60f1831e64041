package decisions

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bilberryvane/bilberryvane/routing"
)

// epoch is the start of the simulated time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A task is a function scheduled for a time.
type task struct {
	at  time.Time
	seq uint64
	run func()
}

type taskHeap []task

// Len implements heap.Interface.
func (h taskHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h taskHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(task)) }

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}

// A request is one attempt of a client to send a root request.
type request struct {
	id       uint64
	account  int
	class    Class
	deadline time.Time
	// work is the slot time of this request at all services, bottleneck that at the
	// last one.
	work       time.Duration
	bottleneck time.Duration
}

// A call is a call to one service within a request.
type call struct {
	request  *request
	depth    int
	attempts int
}

func (c call) service() string { return c.request.class.Path[c.depth] }

// A result is the result of a call.
type result struct {
	ok bool
	// shed is set if a service refused the call because of overload.
	shed bool
	// ran is set if the call was passed to a backend server.
	ran    bool
	unused int
	host   string
	// pressure is the backpressure of the downstream services; pressed is set if present.
	pressure routing.Pressure
	pressed  bool
	report   routing.LoadReport
	reported bool
}

// A simulation is one run of a scenario with a policy.
type simulation struct {
	deployment Deployment
	scenario   Scenario
	policy     policy
	random     *rand.Rand
	now        time.Time
	tasks      taskHeap
	seq        uint64
	hosts      map[string][]*host
	entries    []*entry
	meter      *recorder
	slowness   float64
	slowHost   float64
	surge      float64
	loud       float64
}

// A policy makes the overload control decisions, which differ between the baselines
// and the decision packages.
type policy interface {
	// Name returns the name of the policy in the report.
	Name() string
	// execute runs or refuses a call at a host and calls reply once.
	execute(h *host, c call, reply func(result))
	// forward sends a call from a host or an entry.
	forward(from *caller, c call, reply func(result))
	// admit reports whether the entry admits a root request.
	admit(e *entry, r *request) bool
	// observe passes the result of a root request to the entry.
	observe(e *entry, r *request, res result)
	// prepare initializes a host.
	prepare(h *host)
}

func newSimulation(d Deployment, sc Scenario, p policy, seed uint64) *simulation {
	s := &simulation{
		deployment: d, scenario: sc, policy: p,
		random: rand.New(rand.NewPCG(seed, seed)),
		now:    epoch, hosts: make(map[string][]*host),
		slowness: 1, slowHost: 1, surge: 1, loud: 1,
	}
	s.meter = newMeter(s)
	for _, service := range d.Services {
		for i, slots := range service.Slots {
			h := &host{sim: s, service: service, slots: slots, first: i == 0}
			h.caller = newCaller(s, fmt.Sprintf("%s-%d", service.Name, i), i%zones)
			s.hosts[service.Name] = append(s.hosts[service.Name], h)
			p.prepare(h)
		}
	}
	for zone := range zones {
		s.entries = append(s.entries, &entry{
			caller:       newCaller(s, fmt.Sprintf("entry-%d", zone), zone),
			backpressure: routing.NewBackpressure(),
		})
	}
	for _, service := range d.Services {
		for _, h := range s.hosts[service.Name] {
			h.caller.setUpRouters()
		}
	}
	for _, e := range s.entries {
		e.caller.setUpRouters()
	}
	return s
}

// after schedules a function to run after a delay.
func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.tasks, task{at: s.now.Add(d), seq: s.seq, run: do})
}

// run runs the whole scenario.
func (s *simulation) run() {
	end := warmUp + s.scenario.Duration + coolDown
	s.after(warmUp, func() {
		s.surge, s.loud = s.scenario.LoadFactor, s.scenario.LargestAccountFactor
		s.slowness, s.slowHost = s.scenario.Slowness, s.scenario.SlowHost
	})
	s.after(warmUp+s.scenario.Duration, func() { s.surge, s.loud, s.slowness, s.slowHost = 1, 1, 1, 1 })
	for account := range s.deployment.Accounts {
		s.arrive(account, end)
	}
	for len(s.tasks) > 0 {
		t := heap.Pop(&s.tasks).(task)
		s.now = t.at
		t.run()
	}
}

// arrive schedules the requests of a client account until the end.
func (s *simulation) arrive(account int, end time.Duration) {
	rate := s.deployment.Accounts[account] * calmLoad * s.deployment.capacity() * s.surge
	if account == 0 {
		rate *= s.loud
	}
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	// The rate is recomputed for each request, so that it follows the trigger.
	s.after(gap, func() {
		if s.now.Sub(epoch) >= end {
			return
		}
		s.send(account)
		s.arrive(account, end)
	})
}

// send issues one logical request of a client, with the retries of the client.
func (s *simulation) send(account int) {
	class := s.pick()
	logical := s.meter.issued(account, class)
	s.try(logical, 0)
}

const (
	// clientTries and hardTries are the maximum attempts of a client for one request.
	clientTries, hardTries = 3, 10
	// clientBackoff is the initial exponential backoff of a client, hardBackoff the
	// constant delay of one with aggressive retries.
	clientBackoff, hardBackoff = 100 * time.Millisecond, 10 * time.Millisecond
)

func (s *simulation) try(l *logicalRequest, tried int) {
	r := &request{id: s.nextID(), account: l.account, class: l.class, deadline: l.deadline}
	e := s.entries[s.random.IntN(len(s.entries))]
	s.after(s.deployment.ClientDelay, func() {
		e.serve(r, func(res result) {
			s.after(s.deployment.ClientDelay, func() { s.handleResult(l, r, res, tried) })
		})
	})
}

func (s *simulation) handleResult(l *logicalRequest, r *request, res result, tried int) {
	if res.ok && s.now.Before(l.deadline) && !l.done {
		s.meter.succeeded(l, r)
		return
	}
	s.meter.wasted(r)
	tries, wait := clientTries, clientBackoff<<tried
	if s.scenario.AggressiveRetries {
		tries, wait = hardTries, hardBackoff
	}
	wait = time.Duration((0.5 + s.random.Float64()) * float64(wait))
	if tried+1 < tries && s.now.Add(wait).Before(l.deadline) {
		s.after(wait, func() { s.try(l, tried+1) })
	}
}

func (s *simulation) pick() Class {
	at := s.random.Float64()
	for _, c := range s.deployment.Classes {
		if at < c.Share {
			return c
		}
		at -= c.Share
	}
	return s.deployment.Classes[0]
}

func (s *simulation) nextID() uint64 {
	s.seq++
	return s.seq
}
