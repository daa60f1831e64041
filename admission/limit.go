package admission

import (
	"math"
	"time"
)

const (
	// windowSamples ends a window of the limit by number of completions.
	windowSamples = 100
	// windowTime ends a window that has at least fewestSamples.
	windowTime = time.Second
	// fewestSamples is the smallest number of completions that a decision uses.
	fewestSamples = 10
	// toleratedRise is the rise of the own time above its baseline that is not
	// taken for queueing inside the backend server.
	toleratedRise = 1.5
	// baselineGain is the weight of a new mean in the baseline. The lowest mean
	// instead would follow chance.
	baselineGain = 0.05
	// followedRise is the greatest rise that the baseline follows.
	followedRise = 1.15
	// decrease is the factor of a step down. It leads below the slots of a
	// backend server that queued at toleratedRise, where the baseline is seen.
	decrease = 0.5
	// startSamples ends a window of slow start.
	startSamples = 4
	// startGrowth is the factor of a step up during slow start.
	startGrowth = 2
	// steadyGrowth is the share of a step up after slow start.
	steadyGrowth = 0.05
	// checkSamples ends the window after a step down.
	checkSamples = 60
	// raisedWindows in a row make a step down; a stall of the host raises one.
	raisedWindows = 2
	// rejectedShare of a window's requests makes a step down.
	rejectedShare = 0.02
	// startShare of the announced slots is used at a cold start.
	startShare = 0.5
	// defaultCap bounds the limit where nothing was announced.
	defaultCap = 1000
	// defaultStart is the limit at a cold start where nothing was announced.
	defaultStart = 8
)

// A Capacity is what a backend server announces about itself. It bounds the
// limit from above but is otherwise a hint, because it may mislead.
type Capacity struct {
	// Slots is the number of requests it runs at once; zero if not announced.
	Slots int
	// Connections is the number of connections it takes; zero if not announced.
	Connections int
}

// ceiling returns the upper bound of the limit.
func (c Capacity) ceiling() int {
	bound := defaultCap
	if c.Slots > 0 {
		bound = min(bound, c.Slots)
	}
	if c.Connections > 0 {
		bound = min(bound, c.Connections)
	}
	return bound
}

// A Limit is an adaptive bound on the requests in one backend server. It rises
// while a full backend server answers as fast as its baseline and falls when
// the time in it grows with the number of requests in it. When a step down
// does not shorten the time, the backend server has become slower for a reason
// other than its load: the limit is restored and the baseline raised, because
// fewer requests would only lower its throughput.
type Limit struct {
	capacity Capacity
	current  float64
	starting bool
	// fixed keeps the limit at the announced capacity.
	fixed    bool
	baseline time.Duration
	window   window
	// raised is the number of windows in a row with a raised mean.
	raised int
	// previous is the mean time and the limit before the last step down; its
	// mean is zero if the last step was not down.
	previous step
}

// A step keeps what held before a step down.
type step struct {
	mean    time.Duration
	current float64
}

// A window gathers completions between two decisions.
type window struct {
	start    time.Time
	sum      time.Duration
	samples  int
	rejected int
	peak     int
}

// NewLimit returns the limit of a backend server that has just started.
func NewLimit(c Capacity) *Limit {
	l := &Limit{}
	l.Restart(c)
	return l
}

// Restart begins slow start anew, for a backend server that was replaced.
func (l *Limit) Restart(c Capacity) {
	start := float64(defaultStart)
	if c.Slots > 0 {
		start = math.Ceil(startShare * float64(c.Slots))
	}
	fixed := l.fixed
	*l = Limit{capacity: c, current: math.Min(start, float64(c.ceiling())), starting: true, fixed: fixed}
	if fixed {
		l.current = float64(c.ceiling())
	}
}

// fix keeps the limit at the announced capacity from now on.
func (l *Limit) fix() {
	l.fixed = true
	l.current = float64(l.capacity.ceiling())
}

// Resize takes in another announcement of the same backend server. The first
// one begins slow start; a later one only moves the upper bound.
func (l *Limit) Resize(c Capacity) {
	if l.capacity == (Capacity{}) {
		l.Restart(c)
		return
	}
	l.capacity = c
	l.current = math.Min(l.current, float64(c.ceiling()))
	if l.fixed {
		l.current = float64(c.ceiling())
	}
}

// Value returns the number of requests that may be in the backend server. It
// is at least 1.
func (l *Limit) Value() int { return max(1, int(l.current)) }

// Typical returns the usual own time of a request; zero until it is known.
func (l *Limit) Typical() time.Duration { return l.baseline }

// Observe takes in a completion; running is the number of requests that were
// in the backend server with it.
func (l *Limit) Observe(now time.Time, c Completion, running int) {
	if l.fixed {
		return
	}
	w := &l.window
	if w.start.IsZero() {
		w.start = now
	}
	w.peak = max(w.peak, running)
	switch {
	case c.Rejected:
		w.rejected++
	case !c.Unusable:
		w.sum += c.Own
		w.samples++
	}
	total := w.samples + w.rejected
	full := total >= max(l.windowLength(), l.Value())
	late := total >= fewestSamples && now.Sub(w.start) >= windowTime
	if full || late {
		l.decide()
		l.window = window{start: now}
	}
}

// windowLength is the number of completions in a window. Slow start needs less
// certainty than a step down, and whether a step down helped is to be known soon.
func (l *Limit) windowLength() int {
	switch {
	case l.starting:
		return startSamples
	case l.previous.mean > 0:
		return checkSamples
	default:
		return windowSamples
	}
}

// decide moves the limit by the window that has ended.
func (l *Limit) decide() {
	w := l.window
	if float64(w.rejected) > rejectedShare*float64(w.samples+w.rejected) {
		l.stepDown(0)
		return
	}
	mean := w.sum / time.Duration(max(1, w.samples))
	if l.baseline == 0 {
		l.baseline = mean
	}
	if l.previous.mean > 0 && l.slowedForOtherReason(mean) {
		l.current = l.previous.current
		l.baseline = mean
		l.previous = step{}
		return
	}
	saturated := float64(w.peak) >= math.Floor(l.current)
	raised := float64(mean) > toleratedRise*float64(l.baseline)
	if float64(mean) <= followedRise*float64(l.baseline) {
		l.baseline += time.Duration(baselineGain * float64(mean-l.baseline))
	}
	if raised && saturated {
		l.raised++
	} else {
		l.raised = 0
	}
	switch {
	case l.raised >= raisedWindows:
		l.raised = 0
		l.stepDown(mean)
	case raised:
	case saturated:
		l.stepUp()
	default:
		l.previous = step{}
	}
}

// slowedForOtherReason reports that less than half of the fall which queueing
// would explain followed a step down.
func (l *Limit) slowedForOtherReason(mean time.Duration) bool {
	expected := float64(l.previous.mean) * (1 + l.current/l.previous.current) / 2
	return float64(mean) > expected && float64(mean) > toleratedRise*float64(l.baseline)
}

func (l *Limit) stepDown(mean time.Duration) {
	l.previous = step{mean: mean, current: l.current}
	l.current = math.Max(1, l.current*decrease)
	l.starting = false
}

func (l *Limit) stepUp() {
	l.previous = step{}
	grown := l.current + math.Max(1, steadyGrowth*l.current)
	if l.starting {
		grown = l.current * startGrowth
	}
	l.current = math.Min(math.Ceil(grown), float64(l.capacity.ceiling()))
}
