package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	// shareStep is the fraction by which a shed response lowers the admitted share.
	shareStep = 0.05
	// targetShedRatio is the fraction of admitted calls that downstream services may
	// shed; it keeps the admitted share near their capacity.
	targetShedRatio = 0.02
	// minShare is the lower bound of the admitted share.
	minShare = 0.02
	// probeInterval is the time after which one call of a flow is admitted in any case.
	probeInterval = 250 * time.Millisecond
	// admissionLevelTTL is how long a reported admission level is used.
	admissionLevelTTL = 100 * time.Millisecond
	// throttleThreshold is the share below which a flow blocks the flows of lower
	// importance that call the same service.
	throttleThreshold = 0.9
	// flowActiveWindow is how long after its last use a flow counts as active.
	flowActiveWindow = time.Second
	// flowIdleTimeout is the idle time after which a flow's state is removed.
	flowIdleTimeout = 30 * time.Second
	// recoveryDelay is the time without congestion after which an overload has ended.
	recoveryDelay = 100 * time.Millisecond
	// recoveryFactor multiplies the share on each response after recoveryDelay.
	recoveryFactor = 2.0
	// queueingThreshold is the queue delay from which a service counts as queueing.
	queueingThreshold = time.Millisecond
)

// A Pressure is the load of the most loaded service downstream of a call. Responses
// carry it upstream, merged at each hop, so the entry receives that of the whole
// call tree.
type Pressure struct {
	// Service is the most loaded service.
	Service string
	// AdmittedImportance is the lowest importance that it admits.
	AdmittedImportance int
	// QueueDelay is how long requests wait in its queue.
	QueueDelay time.Duration
	// FreeSlots is the number of further requests that it can start at once.
	FreeSlots int
}

// Merge returns the higher of two pressures. A call that made both downstream calls
// reports it.
func (p Pressure) Merge(o Pressure) Pressure {
	order := cmp.Or(
		cmp.Compare(o.AdmittedImportance, p.AdmittedImportance),
		cmp.Compare(o.QueueDelay, p.QueueDelay),
		cmp.Compare(p.FreeSlots, o.FreeSlots),
	)
	if order > 0 {
		return o
	}
	return p
}

// queueing reports whether requests wait in the queue.
func (p Pressure) queueing() bool { return p.QueueDelay >= queueingThreshold }

// hasCapacity reports whether the service can start more requests at once.
func (p Pressure) hasCapacity() bool { return p.FreeSlots > 0 && !p.queueing() }

// A Flow identifies calls that the entry throttles together.
type Flow struct {
	// Class is the class of the root request; it determines which services are called.
	Class string
	// Account is the client account.
	Account string
	// Importance is the importance of the class.
	Importance int
}

// A Backpressure refuses root requests at the entry that a downstream service would
// shed, before any work is spent on them. For each flow it admits a share of the
// calls. A shed response lowers the share and any other response raises it, so that
// about targetShedRatio of the admitted calls are shed. A response that reports free
// slots raises the share as fast as a shed one lowers it. Once a class has been
// uncongested for recoveryDelay, such a response doubles the share, which makes
// recovery fast. Without recent shedding nothing is refused, and at least one call of
// a flow is admitted per probeInterval.
type Backpressure struct {
	flows   map[Flow]*flowState
	classes map[string]classState
	// throttled holds the flows with a share below throttleThreshold, by the service
	// that sheds them.
	throttled map[string]map[Flow]bool
	sweptAt   time.Time
}

// A classState is the last report for a class.
type classState struct {
	// service is the most loaded service of the class.
	service string
	// importance is the admission level reported at reportedAt.
	importance int
	reportedAt time.Time
	// uncongestedSince is when the service became uncongested; zero if the last report
	// had requests queueing. A report with neither free slots nor queueing leaves it
	// as it is.
	uncongestedSince time.Time
}

// withReport returns the state updated with a report.
func (s classState) withReport(now time.Time, pressure Pressure) classState {
	next := classState{service: pressure.Service, importance: pressure.AdmittedImportance, reportedAt: now}
	if pressure.queueing() {
		return next
	}
	next.uncongestedSince = s.uncongestedSince
	if !pressure.hasCapacity() {
		return next
	}
	next.importance = 0
	if next.uncongestedSince.IsZero() {
		next.uncongestedSince = now
	}
	return next
}

// NewBackpressure returns a Backpressure that admits all calls.
func NewBackpressure() *Backpressure {
	return &Backpressure{flows: make(map[Flow]*flowState), classes: make(map[string]classState), throttled: make(map[string]map[Flow]bool)}
}

// Allow reports whether a root request is admitted.
func (b *Backpressure) Allow(now time.Time, f Flow) bool {
	b.sweep(now)
	p := b.stateOf(f)
	p.usedAt = now
	s := b.classes[f.Class]
	blocked := f.Importance < s.importance && now.Sub(s.reportedAt) < admissionLevelTTL
	blocked = blocked || b.outranked(now, f, s.service)
	return p.admit(now, blocked)
}

// Observe records the result of an admitted request. shed reports whether a service
// refused the request, or a call made for it, because of overload.
func (b *Backpressure) Observe(now time.Time, f Flow, shed bool, pressure Pressure) {
	p := b.stateOf(f)
	p.usedAt = now
	s := b.classes[f.Class].withReport(now, pressure)
	b.classes[f.Class] = s
	switch {
	case shed && b.outranked(now, f, s.service):
	case shed:
		p.scale(1 - shareStep)
	case !pressure.hasCapacity():
		p.scale(1 + shareStep*targetShedRatio/(1-targetShedRatio))
	case now.Sub(s.uncongestedSince) < recoveryDelay:
		p.scale(1 + shareStep)
	default:
		p.scale(recoveryFactor)
	}
	b.updateThrottled(f, p, s.service)
}

// updateThrottled records whether a flow is throttled, and by which service.
func (b *Backpressure) updateThrottled(f Flow, p *flowState, service string) {
	if p.share >= throttleThreshold || p.service != service {
		delete(b.throttled[p.service], f)
	}
	p.service = service
	if p.share >= throttleThreshold {
		return
	}
	if b.throttled[service] == nil {
		b.throttled[service] = make(map[Flow]bool)
	}
	b.throttled[service][f] = true
}

// outranked reports whether the service throttles an active flow of higher
// importance.
func (b *Backpressure) outranked(now time.Time, f Flow, service string) bool {
	for other := range b.throttled[service] {
		if other.Importance > f.Importance && now.Sub(b.flows[other].usedAt) < flowActiveWindow {
			return true
		}
	}
	return false
}

// Share returns the fraction of a flow's calls that is currently admitted.
func (b *Backpressure) Share(f Flow) float64 {
	if p, ok := b.flows[f]; ok {
		return p.share
	}
	return 1
}

func (b *Backpressure) stateOf(f Flow) *flowState {
	p, ok := b.flows[f]
	if !ok {
		p = &flowState{share: 1}
		b.flows[f] = p
	}
	return p
}

// sweep removes flows that have been idle for flowIdleTimeout.
func (b *Backpressure) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < flowIdleTimeout {
		return
	}
	b.sweptAt = now
	for f, p := range b.flows {
		if now.Sub(p.usedAt) >= flowIdleTimeout {
			delete(b.throttled[p.service], f)
			delete(b.flows, f)
		}
	}
}

// A flowState is the throttling state of one flow.
type flowState struct {
	share float64
	// service is the service that last determined the share.
	service string
	// credit accumulates the share of each call; each whole unit admits one call.
	credit     float64
	admittedAt time.Time
	usedAt     time.Time
}

func (p *flowState) admit(now time.Time, blocked bool) bool {
	if !blocked {
		p.credit += p.share
	}
	if p.credit >= 1 && !blocked {
		p.credit--
		p.admittedAt = now
		return true
	}
	if now.Sub(p.admittedAt) >= probeInterval {
		p.admittedAt = now
		return true
	}
	return false
}

func (p *flowState) scale(factor float64) {
	p.share = math.Min(1, math.Max(minShare, p.share*factor))
}
