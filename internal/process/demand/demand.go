// Package demand measures the demand at a node and the usage of its backend server by
// class of the root request. It admits root requests according to the plan that package
// admission computes from the reports of all hosts. Package mesh exchanges the reports.
package demand

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/zoneload"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
)

const (
	// smoothingFactor is the weight of the newest interval in the moving averages of a
	// report. With a report every 250 ms, a burst shows within about 500 ms.
	smoothingFactor = 0.5
	// statsDecay is the factor applied to the route statistics after each interval, so
	// that they cover about the last 3 seconds.
	statsDecay = 0.93
	// borrowedCredit is the number of callers who may come back ahead of new requests of
	// their class although this node promised them no place: another node did.
	borrowedCredit = 4.0
	// spareCredit is the credit that new requests have left unused. Callers who come back
	// without a place need it, since new requests are answered sooner.
	spareCredit = 2.0
	// promisedCreditSeconds bounds the credit for promised places, in seconds of the
	// admitted rate. It ends promises whose room a more important class has taken.
	promisedCreditSeconds = 0.5
	// minRunningUnknownCost and maxRunningUnknownCost bound the limit of the concurrent
	// requests of a class whose cost is unknown. It rises by one with each request that
	// is served, and falls back when backend servers had no room for one. Without it a surge at
	// startup is admitted whole and fills the services for seconds.
	minRunningUnknownCost = 8
	maxRunningUnknownCost = 16
	// minReportedRate, in requests per second, and minReportedRuns are the minimum
	// values that are reported.
	minReportedRate = 0.01
	minReportedRuns = 0.01
	// zoneOrigin precedes the name of a zone as the origin of a summary.
	zoneOrigin = "zone "
)

// A Planner measures the demand at a node and admits its root requests. It is safe for
// concurrent use.
type Planner struct {
	host  string
	clock clock.Clock

	// mu guards the fields below.
	mu         sync.Mutex
	plan       *admission.Plan
	flows      map[admission.Flow]*flowState
	stats      map[string]*admission.RouteStats
	lastSample time.Time
	waiting    float64
	// running is the number of admitted requests that have not ended, by class.
	running map[string]int
	// unknownCostLimits are the limits of running for classes of unknown cost.
	unknownCostLimits map[string]int
	// dispatched and rejected count the requests sent to the backend server since the
	// last sample, and those that it refused to run. dispatchRate, per second, and
	// rejectedShare are their moving averages.
	dispatched, rejected        int
	dispatchRate, rejectedShare float64
	// retries are the retries that the node sends, by service.
	retries      map[string]*retryState
	report       admission.HostReport
	returnCounts ReturnCounts
	// origins are the hosts or zones whose summaries the plan has. zones are the zones
	// whose summaries are used instead of the reports of hosts; it is nil if none are.
	origins map[string]bool
	zones   map[string]admission.Summary
	// ownCovered reports whether zones contains the own host.
	ownCovered bool
}

// ReturnCounts counts the callers who were asked to come back since the node started.
type ReturnCounts struct {
	// Promised and Unplaced are the refused requests whose callers got a place and none.
	// Admitted and RefusedAgain are the requests of callers who came back when told.
	Promised, Unplaced, Admitted, RefusedAgain int
}

// A flowState tracks the root requests of one class and importance.
type flowState struct {
	offered, firstAttempts        int
	offeredRate, firstAttemptRate float64
	// credit grows by the admitted share of the flow with each request, up to spareCredit;
	// an admitted request costs 1. callRetryCredit is the same for requests whose calls may be retried.
	credit, callRetryCredit float64
	returns                 admission.ReturnSchedule
}

// room returns the room of the flow at this node if a share of its requests is admitted.
func (s *flowState) room(share float64) admission.FlowRoom {
	return admission.FlowRoom{Admitted: share * s.offeredRate, Demand: s.firstAttemptRate}
}

// returnCredit returns the number of callers who may come back ahead of new requests.
func (s *flowState) returnCredit(now time.Time, share float64) float64 {
	promised := math.Min(float64(s.returns.Due(now)), promisedCreditSeconds*s.room(share).Admitted)
	return borrowedCredit + promised
}

// A retryState counts the retries at a service since the last sample, with their moving
// averages per second.
type retryState struct {
	wanted, made         int
	wantedRate, madeRate float64
}

// New returns a Planner that admits all requests until reports limit a flow.
func New(host string, b admission.RetryBounds, c clock.Clock) *Planner {
	return &Planner{
		host: host, clock: c, plan: admission.NewPlan(b), retries: make(map[string]*retryState),
		flows: make(map[admission.Flow]*flowState), stats: make(map[string]*admission.RouteStats),
		running: make(map[string]int), unknownCostLimits: make(map[string]int), lastSample: c.Now(), origins: make(map[string]bool),
	}
}

// Admit counts a root request and decides whether to admit it. Callers who come back when
// they were told to take precedence over new requests. It implements relay.RootAdmitter.
func (p *Planner) Admit(r relay.RootRequest) relay.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	key := flowOf(r)
	s := p.flow(key)
	s.offered++
	if r.FirstAttempt {
		s.firstAttempts++
	}
	share := p.plan.AdmittedShare(key)
	s.credit = math.Min(spareCredit, s.credit+share)
	needed, least := 1.0, -borrowedCredit
	switch r.Attempt {
	case admission.PlacedAttempt:
		least = -s.returnCredit(now, share)
		needed = 1 + least
	case admission.LateAttempt:
		needed = spareCredit
	}
	if !p.plan.CostKnown(r.Route) && p.running[r.Route] >= p.unknownCostLimit(r.Route) {
		return p.refuse(now, r, s, share, "what such requests cost is not known yet, so few run at once")
	}
	if share < 1 && s.credit < needed {
		detail := fmt.Sprintf("its calls need the service %s, which has room for %.3g%% of such requests", p.plan.Bottleneck(key), 100*share)
		return p.refuse(now, r, s, share, detail)
	}
	s.credit = math.Max(math.Min(s.credit, least), s.credit-1)
	if r.Attempt == admission.PlacedAttempt {
		s.returns.Take(now)
		p.returnCounts.Admitted++
	}
	p.running[r.Route]++
	s.callRetryCredit = min(1, s.callRetryCredit+p.plan.RetryShare(key))
	if s.callRetryCredit < 1 {
		return relay.Decision{Admitted: true}
	}
	s.callRetryCredit--
	return relay.Decision{Admitted: true, Retryable: true}
}

// refuse returns the refusal of a request with the delay after which its caller should
// come back. mu must be held.
func (p *Planner) refuse(now time.Time, r relay.RootRequest, s *flowState, share float64, detail string) relay.Decision {
	if r.Attempt == admission.PlacedAttempt {
		p.returnCounts.RefusedAgain++
	}
	return relay.Decision{Detail: detail, RetryAfter: p.promise(now, r, s, share)}
}

// promise returns the delay after which the caller of a refused request should come back.
// mu must be held.
func (p *Planner) promise(now time.Time, r relay.RootRequest, s *flowState, share float64) time.Duration {
	back := s.returns.Refuse(now, s.room(share), admission.Caller{TimeLeft: r.TimeLeft, Target: r.Target})
	if back.Promised {
		p.returnCounts.Promised++
	} else {
		p.returnCounts.Unplaced++
	}
	return back.After
}

// RetryAfter returns the delay after which the caller of an admitted request should come
// back if no backend server had room for it. It implements relay.RootAdmitter.
func (p *Planner) RetryAfter(r relay.RootRequest) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := flowOf(r)
	delete(p.unknownCostLimits, r.Route)
	return p.promise(p.clock.Now(), r, p.flow(key), p.plan.AdmittedShare(key))
}

// unknownCostLimit returns the limit of the concurrent requests of a class of unknown cost.
// mu must be held.
func (p *Planner) unknownCostLimit(route string) int {
	return max(minRunningUnknownCost, p.unknownCostLimits[route])
}

// ReturnCounts returns the counts of the callers who were asked to come back.
func (p *Planner) ReturnCounts() ReturnCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returnCounts
}

func flowOf(r relay.RootRequest) admission.Flow {
	return admission.Flow{Class: r.Route, Importance: r.Importance}
}

// flow returns the state of a flow. mu must be held.
func (p *Planner) flow(key admission.Flow) *flowState {
	s, ok := p.flows[key]
	if !ok {
		s = &flowState{credit: 1}
		p.flows[key] = s
	}
	return s
}

// AdmittedShare returns the share of a flow that the plan admits, from 0 to 1.
func (p *Planner) AdmittedShare(f admission.Flow) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan.AdmittedShare(f)
}

// RetryLimit returns the limit of the retries at a service. It implements
// retrybudget.Planner.
func (p *Planner) RetryLimit(service string) admission.RetryLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plan.RetryLimit(service)
}

// RecordRetry records that a retry at a service was wanted, and whether it was allowed. It
// implements retrybudget.Planner.
func (p *Planner) RecordRetry(service string, allowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.retries[service]
	if !ok {
		s = &retryState{}
		p.retries[service] = s
	}
	s.wanted++
	if allowed {
		s.made++
	}
}

// Release records the end of an admitted request, and whether a backend server served it. It
// implements relay.RootAdmitter.
func (p *Planner) Release(route string, served bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[route]--; p.running[route] <= 0 {
		delete(p.running, route)
	}
	switch {
	case p.plan.CostKnown(route):
		delete(p.unknownCostLimits, route)
	case served:
		p.unknownCostLimits[route] = min(maxRunningUnknownCost, p.unknownCostLimit(route)+1)
	}
}

// RecordSent records a request sent to the backend server, and whether the backend server
// refused to run it. It implements relay.UsageRecorder.
func (p *Planner) RecordSent(rejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatched++
	if rejected {
		p.rejected++
	}
}

// RecordRun records a successful run. It implements relay.UsageRecorder.
func (p *Planner) RecordRun(route string, took time.Duration, calls map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.stats[route]
	if !ok {
		s = &admission.RouteStats{Route: route, Calls: make(map[string]float64)}
		p.stats[route] = s
	}
	s.Runs++
	s.SlotSeconds += took.Seconds()
	for called, n := range calls {
		s.Calls[called] += n
	}
}

// Sample ends an interval: it creates the node's report and updates the plan. waiting is
// the number of requests waiting for the backend server, slots the number of its usable
// slots.
func (p *Planner) Sample(service string, slots float64, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	elapsed := now.Sub(p.lastSample).Seconds()
	if elapsed <= 0 {
		return
	}
	p.lastSample = now
	p.waiting += smoothingFactor * (float64(waiting) - p.waiting)
	p.dispatchRate += smoothingFactor * (float64(p.dispatched)/elapsed - p.dispatchRate)
	if p.dispatched > 0 {
		p.rejectedShare += smoothingFactor * (float64(p.rejected)/float64(p.dispatched) - p.rejectedShare)
	}
	p.dispatched, p.rejected = 0, 0
	r := admission.HostReport{
		Service: service, Slots: slots, Waiting: rounded(p.waiting),
		Routes: p.collectStats(), Dispatched: rounded(p.dispatchRate), RejectedShare: float64(float32(p.rejectedShare)),
	}
	for key, s := range p.flows {
		s.sample(elapsed)
		if s.offeredRate >= minReportedRate {
			r.Demand = append(r.Demand, admission.FlowDemand{Flow: key, Offered: rounded(s.offeredRate), FirstAttempts: rounded(s.firstAttemptRate)})
		}
	}
	r.Retries = p.sampleRetries(elapsed)
	p.report = r
	p.updatePlan(now)
}

// sampleRetries ends an interval and returns the rates of the retries. mu must be held.
func (p *Planner) sampleRetries(elapsed float64) []admission.RetryRate {
	var all []admission.RetryRate
	for service, s := range p.retries {
		s.wantedRate += smoothingFactor * (float64(s.wanted)/elapsed - s.wantedRate)
		s.madeRate += smoothingFactor * (float64(s.made)/elapsed - s.madeRate)
		s.wanted, s.made = 0, 0
		if s.wantedRate < minReportedRate {
			delete(p.retries, service)
			continue
		}
		all = append(all, admission.RetryRate{Service: service, Wanted: rounded(s.wantedRate), Made: rounded(s.madeRate)})
	}
	return all
}

// SlotsForRate returns the number of slots that a rate of requests per second uses. It is
// infinite until the duration of the runs is known.
func (p *Planner) SlotsForRate(perSecond float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	runs, seconds := 0.0, 0.0
	for _, s := range p.stats {
		runs += s.Runs
		seconds += s.SlotSeconds
	}
	if runs == 0 {
		return math.Inf(1)
	}
	return perSecond * seconds / runs
}

// ColdSlots returns the number of slots that count for a cold backend server of a service
// which may get a rate of requests per second: those that the rate uses at backend servers
// of the usual speed, by which the plan reckons. It is infinite until the duration of the
// runs is known.
func (p *Planner) ColdSlots(service string, perSecond float64) float64 {
	p.mu.Lock()
	seconds, known := p.plan.MeanRunSeconds(service)
	p.mu.Unlock()
	if known {
		return perSecond * seconds
	}
	return p.SlotsForRate(perSecond)
}

// updatePlan passes what is known of all hosts to the plan and updates it. mu must be
// held.
func (p *Planner) updatePlan(now time.Time) {
	if p.zones != nil {
		for origin := range p.origins {
			if _, ok := p.zones[origin]; !ok {
				p.plan.Forget(origin)
				delete(p.origins, origin)
			}
		}
		for zone, s := range p.zones {
			p.reportToPlan(now, zone, s)
		}
	}
	if !p.ownCovered {
		p.reportToPlan(now, p.host, admission.Summarize(p.report))
	}
	p.plan.Update(now)
}

func (p *Planner) reportToPlan(now time.Time, origin string, s admission.Summary) {
	p.plan.Report(now, origin, s)
	p.origins[origin] = true
}

// UseSummaries makes the plan use the summaries of zones instead of reports of hosts.
// The own report is added unless there is a summary of the own zone.
func (p *Planner) UseSummaries(ownZone string, summaries []zoneload.Summary) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zones, p.ownCovered = make(map[string]admission.Summary, len(summaries)), false
	for _, s := range summaries {
		p.zones[zoneOrigin+s.Zone] = s.Load
		p.ownCovered = p.ownCovered || s.Zone == ownZone
	}
}

// UseReports makes the plan use the reports of hosts.
func (p *Planner) UseReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.zones == nil {
		return
	}
	for zone := range p.zones {
		p.plan.Forget(zone)
		delete(p.origins, zone)
	}
	p.zones, p.ownCovered = nil, false
}

// collectStats returns the route statistics to report, then applies the decay. mu must
// be held.
func (p *Planner) collectStats() []admission.RouteStats {
	var all []admission.RouteStats
	for route, s := range p.stats {
		if s.Runs < minReportedRuns {
			delete(p.stats, route)
			continue
		}
		reported := admission.RouteStats{Route: route, Runs: rounded(s.Runs), SlotSeconds: float64(float32(s.SlotSeconds)), Calls: make(map[string]float64)}
		for called, n := range s.Calls {
			reported.Calls[called] = rounded(n)
		}
		all = append(all, reported)
		s.Runs *= statsDecay
		s.SlotSeconds *= statsDecay
		for called := range s.Calls {
			s.Calls[called] *= statsDecay
		}
	}
	return all
}

// rounded rounds x to a multiple of 1/16, which takes fewer bytes in a report. Reports
// are most of the traffic between nodes in a large fleet.
func rounded(x float64) float64 { return math.Round(x*16) / 16 }

func (s *flowState) sample(elapsed float64) {
	s.offeredRate += smoothingFactor * (float64(s.offered)/elapsed - s.offeredRate)
	s.firstAttemptRate += smoothingFactor * (float64(s.firstAttempts)/elapsed - s.firstAttemptRate)
	s.offered, s.firstAttempts = 0, 0
}

// Report returns the node's latest report.
func (p *Planner) Report() admission.HostReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report
}

// RecordReport records the report of another host. It has no effect while summaries of
// zones are used.
func (p *Planner) RecordReport(host string, r admission.HostReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.zones == nil {
		p.reportToPlan(p.clock.Now(), host, admission.Summarize(r))
	}
}
