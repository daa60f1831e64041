// Package demand measures what callers ask of a node and what its backend server
// is busy with, by class of the root request, and admits root requests by the
// plan that package admission makes from the reports of all hosts. Package mesh
// exchanges the reports.
package demand

import (
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

const (
	// sampleGain is the weight of the newest interval in a report. With a report
	// each quarter of a second, a burst is known in about half a second.
	sampleGain = 0.5
	// returnCredit is the number of requests by which returning ones may go
	// before new ones of their class.
	returnCredit = 4.0
	// leastRate in requests per second and leastBusy in slots are reported.
	leastRate = 0.01
	leastBusy = 0.001
)

// A Forecast is one node's view of demand. It is safe for concurrent use.
type Forecast struct {
	host  string
	clock clock.Clock

	// mu guards all below.
	mu      sync.Mutex
	plan    *admission.Plan
	flows   map[admission.Flow]*flow
	classes map[string]*class
	sampled time.Time
	waiting float64
	// turned counts the calls that the backend server refused to run since the
	// last sample, turnedAway is their share.
	turned     int
	turnedAway float64
	report     admission.HostReport
}

// A flow is what the node saw of the root requests of one class and importance.
type flow struct {
	offered, admitted int
	offeredRate       float64
	admittedRate      float64
	// credit is what the share of the flow leaves over; a request costs 1.
	// repeatCredit is the same for requests whose calls may be sent again.
	credit, repeatCredit float64
}

// A class is what the backend server does for one class of root requests.
type class struct {
	// running is the number of calls in the backend server, area its integral
	// over time since the last sample.
	running int
	area    time.Duration
	moved   time.Time
	busy    float64
	// runs counts the calls that were run since the last sample.
	runs    int
	runRate float64
}

// New returns a Forecast that admits everything until reports say otherwise.
// repeatShare is the number of calls that may be sent again per call.
func New(host string, repeatShare float64, c clock.Clock) *Forecast {
	return &Forecast{
		host: host, clock: c, plan: admission.NewPlan(repeatShare),
		flows: make(map[admission.Flow]*flow), classes: make(map[string]*class), sampled: c.Now(),
	}
}

// Admit takes in a root request and reports whether it is admitted, and whether
// its calls may be sent again. Requests that return after a refusal go before new
// ones. It implements relay.Plan.
func (f *Forecast) Admit(name string, importance int, returning bool) (admitted, repeatable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := admission.Flow{Class: name, Importance: importance}
	w, ok := f.flows[key]
	if !ok {
		w = &flow{credit: 1}
		f.flows[key] = w
	}
	w.offered++
	share := f.plan.Share(key)
	w.credit = min(1, w.credit+share)
	needed := 1.0
	if returning {
		needed = 1 - returnCredit
	}
	if share < 1 && w.credit < needed {
		return false, false
	}
	w.credit = max(-returnCredit, w.credit-1)
	w.admitted++
	w.repeatCredit = min(1, w.repeatCredit+f.plan.Repeats(key))
	if w.repeatCredit < 1 {
		return true, false
	}
	w.repeatCredit--
	return true, true
}

// Start takes in that a call of a class is handed to the backend server. The
// caller calls the result when it has ended. It implements relay.Usage.
func (f *Forecast) Start(name string) func(turnedAway bool) {
	f.move(name, 1)
	return func(turnedAway bool) {
		f.move(name, -1)
		f.mu.Lock()
		defer f.mu.Unlock()
		if turnedAway {
			f.turned++
			return
		}
		f.class(name).runs++
	}
}

func (f *Forecast) move(name string, by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.class(name)
	c.settle(f.clock.Now())
	c.running += by
}

func (c *class) settle(now time.Time) {
	c.area += time.Duration(c.running) * now.Sub(c.moved)
	c.moved = now
}

// class returns a class; mu must be held.
func (f *Forecast) class(name string) *class {
	c, ok := f.classes[name]
	if !ok {
		c = &class{moved: f.clock.Now()}
		f.classes[name] = c
	}
	return c
}

// Sample ends an interval: it makes the node's report and plans anew. waiting is
// the number of requests that wait for the backend server, slots its usable ones.
func (f *Forecast) Sample(service string, slots float64, waiting int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	elapsed := now.Sub(f.sampled).Seconds()
	if elapsed <= 0 {
		return
	}
	f.sampled = now
	f.waiting += sampleGain * (float64(waiting) - f.waiting)
	r := admission.HostReport{
		Service: service, Slots: slots, Waiting: f.waiting,
		Busy: make(map[string]float64), Runs: make(map[string]float64),
	}
	ran := 0
	for name, c := range f.classes {
		ran += c.runs
		c.sample(now, elapsed)
		if c.busy >= leastBusy {
			r.Busy[name] = c.busy
		}
		if c.runRate >= leastRate {
			r.Runs[name] = c.runRate
		}
	}
	if handed := ran + f.turned; handed > 0 {
		f.turnedAway += sampleGain * (float64(f.turned)/float64(handed) - f.turnedAway)
	}
	f.turned = 0
	r.TurnedAway = f.turnedAway
	for key, w := range f.flows {
		w.sample(elapsed)
		if w.offeredRate >= leastRate {
			r.Demand = append(r.Demand, admission.FlowDemand{Flow: key, Offered: w.offeredRate, Admitted: w.admittedRate})
		}
	}
	f.report = r
	f.plan.Report(now, f.host, r)
	f.plan.Update(now)
}

func (c *class) sample(now time.Time, elapsed float64) {
	c.settle(now)
	c.busy += sampleGain * (c.area.Seconds()/elapsed - c.busy)
	c.runRate += sampleGain * (float64(c.runs)/elapsed - c.runRate)
	c.area, c.runs = 0, 0
}

func (w *flow) sample(elapsed float64) {
	w.offeredRate += sampleGain * (float64(w.offered)/elapsed - w.offeredRate)
	w.admittedRate += sampleGain * (float64(w.admitted)/elapsed - w.admittedRate)
	w.offered, w.admitted = 0, 0
}

// Report returns the node's newest report.
func (f *Forecast) Report() admission.HostReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.report
}

// Heard takes in the report of another host.
func (f *Forecast) Heard(host string, r admission.HostReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plan.Report(f.clock.Now(), host, r)
}
