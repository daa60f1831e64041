package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	// shedStep is the share by which a shed answer lowers what passes.
	shedStep = 0.05
	// shedGoal is the share of passed calls that may be shed further down; it
	// is what keeps the pass share near the capacity.
	shedGoal = 0.02
	// leastPass is the smallest share that passes.
	leastPass = 0.02
	// probeInterval is the time after which one call of a flow passes anyhow.
	probeInterval = 250 * time.Millisecond
	// levelMemory is how long a reported importance level is believed.
	levelMemory = 100 * time.Millisecond
	// throttledShare is the share below which a flow holds back the flows of
	// lower importance that need the same service.
	throttledShare = 0.9
	// activeFlow is the time in which a flow counts as in use.
	activeFlow = time.Second
	// idleFlow is the time after which a flow's state is forgotten.
	idleFlow = 30 * time.Second
	// calmTime without pressure is taken for the end of an overload.
	calmTime = 100 * time.Millisecond
	// calmGrowth is the factor by which the share rises after calmTime.
	calmGrowth = 2.0
	// calmDelay is the queue delay below which a service counts as calm.
	calmDelay = time.Millisecond
)

// A Pressure is the load of the tightest service below a call. It rides back in
// answers, merged at each hop, so that the entry hears of the deepest service.
type Pressure struct {
	// Service is the tightest service.
	Service string
	// AdmittedImportance is the lowest importance admitted there.
	AdmittedImportance int
	// QueueDelay is how long requests wait there.
	QueueDelay time.Duration
	// FreeSlots is the number of further requests that could run at once.
	FreeSlots int
}

// Merge returns the tighter of two pressures: that of a call which made calls
// with both.
func (p Pressure) Merge(o Pressure) Pressure {
	tighter := cmp.Or(
		cmp.Compare(o.AdmittedImportance, p.AdmittedImportance),
		cmp.Compare(o.QueueDelay, p.QueueDelay),
		cmp.Compare(p.FreeSlots, o.FreeSlots),
	)
	if tighter > 0 {
		return o
	}
	return p
}

// waits reports that requests wait.
func (p Pressure) waits() bool { return p.QueueDelay >= calmDelay }

// calm reports that there is room for more at once.
func (p Pressure) calm() bool { return p.FreeSlots > 0 && !p.waits() }

// A Flow names calls that are treated alike at the entry.
type Flow struct {
	// Class is the class of the root request; it decides which services are called.
	Class string
	// Account is the client account.
	Account string
	// Importance is that of the class.
	Importance int
}

// A Backpressure refuses root requests at the entry that would be shed further
// down, before any work is spent on them. For each flow it passes a share of
// the calls, lowered by each shed answer and raised by each other answer so
// that about shedGoal of the passed calls are shed. An answer that reports free
// slots raises it as fast as a shed one lowers it, and doubles it once a class
// has been calm for calmTime, so that recovery does not wait. It refuses nothing where nothing was shed of late, and passes at
// least one call of a flow per probeInterval.
type Backpressure struct {
	flows   map[Flow]*pass
	classes map[string]state
	// throttled holds the flows with a share below throttledShare by the
	// service that sheds them.
	throttled map[string]map[Flow]bool
	swept     time.Time
}

// A state is what was last reported for a class.
type state struct {
	// service is the tightest service of the class.
	service string
	// importance is the admitted level at the time reportedAt.
	importance int
	reportedAt time.Time
	// calmSince is when the reports became calm; zero if requests waited in the
	// last. A full service in which none waits ends no calm, nor begins one.
	calmSince time.Time
}

// reported returns the state after another report.
func (s state) reported(now time.Time, pressure Pressure) state {
	next := state{service: pressure.Service, importance: pressure.AdmittedImportance, reportedAt: now}
	if pressure.waits() {
		return next
	}
	next.calmSince = s.calmSince
	if !pressure.calm() {
		return next
	}
	next.importance = 0
	if next.calmSince.IsZero() {
		next.calmSince = now
	}
	return next
}

// NewBackpressure returns a Backpressure that passes everything.
func NewBackpressure() *Backpressure {
	return &Backpressure{flows: make(map[Flow]*pass), classes: make(map[string]state), throttled: make(map[string]map[Flow]bool)}
}

// Allow reports whether a root request may go on.
func (b *Backpressure) Allow(now time.Time, f Flow) bool {
	b.sweep(now)
	p := b.flow(f)
	p.usedAt = now
	s := b.classes[f.Class]
	cut := f.Importance < s.importance && now.Sub(s.reportedAt) < levelMemory
	cut = cut || b.yields(now, f, s.service)
	return p.take(now, cut)
}

// Answered takes in how a passed request ended: shed says that a service
// refused it, or a call below it, for overload.
func (b *Backpressure) Answered(now time.Time, f Flow, shed bool, pressure Pressure) {
	p := b.flow(f)
	p.usedAt = now
	s := b.classes[f.Class].reported(now, pressure)
	b.classes[f.Class] = s
	switch {
	case shed && b.yields(now, f, s.service):
	case shed:
		p.scale(1 - shedStep)
	case !pressure.calm():
		p.scale(1 + shedStep*shedGoal/(1-shedGoal))
	case now.Sub(s.calmSince) < calmTime:
		p.scale(1 + shedStep)
	default:
		p.scale(calmGrowth)
	}
	b.mark(f, p, s.service)
}

// mark notes whether a flow is throttled, and by which service.
func (b *Backpressure) mark(f Flow, p *pass, service string) {
	if p.share >= throttledShare || p.service != service {
		delete(b.throttled[p.service], f)
	}
	p.service = service
	if p.share >= throttledShare {
		return
	}
	if b.throttled[service] == nil {
		b.throttled[service] = make(map[Flow]bool)
	}
	b.throttled[service][f] = true
}

// yields reports that a flow of higher importance, in use, is throttled by the
// same service.
func (b *Backpressure) yields(now time.Time, f Flow, service string) bool {
	for other := range b.throttled[service] {
		if other.Importance > f.Importance && now.Sub(b.flows[other].usedAt) < activeFlow {
			return true
		}
	}
	return false
}

// Share returns the share of a flow's calls that pass at present.
func (b *Backpressure) Share(f Flow) float64 {
	if p, ok := b.flows[f]; ok {
		return p.share
	}
	return 1
}

func (b *Backpressure) flow(f Flow) *pass {
	p, ok := b.flows[f]
	if !ok {
		p = &pass{share: 1}
		b.flows[f] = p
	}
	return p
}

// sweep forgets flows that were not used for long.
func (b *Backpressure) sweep(now time.Time) {
	if now.Sub(b.swept) < idleFlow {
		return
	}
	b.swept = now
	for f, p := range b.flows {
		if now.Sub(p.usedAt) >= idleFlow {
			delete(b.throttled[p.service], f)
			delete(b.flows, f)
		}
	}
}

// A pass is the state of one flow.
type pass struct {
	share float64
	// service is the service that the share was last learned from.
	service string
	// credit gathers the share of each call; a call passes for each whole one.
	credit   float64
	passedAt time.Time
	usedAt   time.Time
}

func (p *pass) take(now time.Time, cut bool) bool {
	if !cut {
		p.credit += p.share
	}
	if p.credit >= 1 && !cut {
		p.credit--
		p.passedAt = now
		return true
	}
	if now.Sub(p.passedAt) >= probeInterval {
		p.passedAt = now
		return true
	}
	return false
}

func (p *pass) scale(factor float64) {
	p.share = math.Min(1, math.Max(leastPass, p.share*factor))
}
