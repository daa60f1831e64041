package admission

import (
	"math"
	"time"
)

const (
	// windowSamples is the number of completions that ends a window of the limit.
	windowSamples = 100
	// windowDuration ends a window that has at least minSamples.
	windowDuration = time.Second
	// minSamples is the smallest number of completions that a decision uses.
	minSamples = 10
	// latencyTolerance is the ratio of the mean self time to its baseline above which
	// requests are assumed to queue inside the backend server.
	latencyTolerance = 1.5
	// baselineGain is the weight of a new mean in the baseline. A running minimum of
	// the means would follow random outliers instead.
	baselineGain = 0.05
	// maxBaselineRise is the ratio of a mean to the baseline up to which the baseline
	// follows the mean.
	maxBaselineRise = 1.15
	// decreaseFactor is the factor of a decrease. It takes the limit below the slots
	// of a backend server that queued at latencyTolerance, where the self time is back
	// at its baseline.
	decreaseFactor = 0.5
	// slowStartSamples is the number of completions that ends a window of slow start.
	slowStartSamples = 4
	// slowStartFactor is the factor of an increase during slow start.
	slowStartFactor = 2
	// increaseShare is the share of the limit added by an increase after slow start.
	increaseShare = 0.05
	// postDecreaseSamples is the number of completions that ends the window after a
	// decrease.
	postDecreaseSamples = 60
	// decreaseAfterWindows is the number of consecutive windows with a raised mean that
	// cause a decrease; a stall of the host raises only one.
	decreaseAfterWindows = 2
	// maxRejectedShare is the share of rejected requests in a window above which the
	// limit is decreased.
	maxRejectedShare = 0.02
	// coldStartShare is the share of the announced slots used at a cold start.
	coldStartShare = 0.5
	// defaultMaxLimit bounds the limit if no capacity was announced.
	defaultMaxLimit = 1000
	// defaultStartLimit is the limit at a cold start if no slots were announced.
	defaultStartLimit = 8
)

// A Capacity is what a backend server announces about itself. Its slots and connections
// bound the limit from above but are otherwise only hints, because they may be wrong.
type Capacity struct {
	// Slots is the number of requests it runs concurrently; zero if not announced.
	Slots int
	// Connections is the number of connections it accepts; zero if not announced.
	Connections int
	// Limited reports whether it limits the requests per second, to RequestsPerSecond.
	// Unlike the rest this is binding.
	Limited           bool
	RequestsPerSecond float64
	// MaxStartsPerSecond is the maximum number of requests that are started in any one
	// second; zero if there is none. It is binding too.
	MaxStartsPerSecond int
}

// maxLimit returns the upper bound of the limit.
func (c Capacity) maxLimit() int {
	bound := defaultMaxLimit
	if c.Slots > 0 {
		bound = min(bound, c.Slots)
	}
	if c.Connections > 0 {
		bound = min(bound, c.Connections)
	}
	return bound
}

// A Limit is an adaptive limit on the concurrent requests in one backend server. It
// rises while a saturated backend server answers as fast as its baseline and falls
// when the self time grows with concurrency. If a decrease does not shorten the self
// time, the backend server has become slower for a reason other than its load: the
// limit is restored and the baseline raised, because a lower limit would only reduce
// throughput.
type Limit struct {
	capacity  Capacity
	current   float64
	slowStart bool
	// fixed keeps the limit at the announced capacity.
	fixed bool
	// baseline is the typical self time of a request.
	baseline time.Duration
	window   window
	// raisedWindows is the number of consecutive windows with a raised mean.
	raisedWindows int
	// beforeDecrease is the mean and the limit before the last change; its mean is
	// zero if the last change was not a decrease caused by the mean.
	beforeDecrease snapshot
}

// A snapshot is the state before a decrease.
type snapshot struct {
	mean  time.Duration
	limit float64
}

// A window collects completions between two decisions.
type window struct {
	start       time.Time
	sum         time.Duration
	samples     int
	rejected    int
	peakRunning int
}

// NewLimit returns the limit of a backend server that has just started.
func NewLimit(c Capacity) *Limit {
	l := &Limit{}
	l.Restart(c)
	return l
}

// Restart restarts slow start after the backend server was replaced.
func (l *Limit) Restart(c Capacity) {
	start := float64(defaultStartLimit)
	if c.Slots > 0 {
		start = math.Ceil(coldStartShare * float64(c.Slots))
	}
	fixed := l.fixed
	*l = Limit{capacity: c, current: math.Min(start, float64(c.maxLimit())), slowStart: true, fixed: fixed}
	if fixed {
		l.current = float64(c.maxLimit())
	}
}

// fix keeps the limit at the announced capacity from now on.
func (l *Limit) fix() {
	l.fixed = true
	l.current = float64(l.capacity.maxLimit())
}

// SetCapacity updates the announced capacity of the same backend server. The first
// announcement begins slow start; a later one only changes the upper bound.
func (l *Limit) SetCapacity(c Capacity) {
	if l.capacity == (Capacity{}) {
		l.Restart(c)
		return
	}
	l.capacity = c
	l.current = math.Min(l.current, float64(c.maxLimit()))
	if l.fixed {
		l.current = float64(c.maxLimit())
	}
}

// Value returns the maximum number of concurrent requests in the backend server. It
// is at least 1.
func (l *Limit) Value() int { return max(1, int(l.current)) }

// Baseline returns the typical self time of a request; zero until it is known.
func (l *Limit) Baseline() time.Duration { return l.baseline }

// Observe records a completion; running is the number of requests in the backend
// server, including the completed one.
func (l *Limit) Observe(now time.Time, c Completion, running int) {
	if l.fixed {
		return
	}
	w := &l.window
	if w.start.IsZero() {
		w.start = now
	}
	w.peakRunning = max(w.peakRunning, running)
	switch {
	case c.Rejected:
		w.rejected++
	case !c.Ignore:
		w.sum += c.SelfTime
		w.samples++
	}
	total := w.samples + w.rejected
	full := total >= max(l.windowSize(), l.Value())
	late := total >= minSamples && now.Sub(w.start) >= windowDuration
	if full || late {
		l.adjust()
		l.window = window{start: now}
	}
}

// windowSize returns the number of completions in a window. Slow start needs less
// certainty than a decrease, and the effect of a decrease must be known soon.
func (l *Limit) windowSize() int {
	switch {
	case l.slowStart:
		return slowStartSamples
	case l.beforeDecrease.mean > 0:
		return postDecreaseSamples
	default:
		return windowSamples
	}
}

// adjust updates the limit from the window that has ended.
func (l *Limit) adjust() {
	w := l.window
	if float64(w.rejected) > maxRejectedShare*float64(w.samples+w.rejected) {
		l.decrease(0)
		return
	}
	mean := w.sum / time.Duration(max(1, w.samples))
	if l.baseline == 0 {
		l.baseline = mean
	}
	if l.beforeDecrease.mean > 0 && l.slowedIndependently(mean) {
		l.current = l.beforeDecrease.limit
		l.baseline = mean
		l.beforeDecrease = snapshot{}
		return
	}
	saturated := float64(w.peakRunning) >= math.Floor(l.current)
	raised := float64(mean) > latencyTolerance*float64(l.baseline)
	if float64(mean) <= maxBaselineRise*float64(l.baseline) {
		l.baseline += time.Duration(baselineGain * float64(mean-l.baseline))
	}
	if raised && saturated {
		l.raisedWindows++
	} else {
		l.raisedWindows = 0
	}
	switch {
	case l.raisedWindows >= decreaseAfterWindows:
		l.raisedWindows = 0
		l.decrease(mean)
	case raised:
	case saturated:
		l.increase()
	default:
		l.beforeDecrease = snapshot{}
	}
}

// slowedIndependently reports whether the backend server became slower for a reason
// other than its load: after a decrease, the mean fell by less than half of what
// queueing would explain.
func (l *Limit) slowedIndependently(mean time.Duration) bool {
	expected := float64(l.beforeDecrease.mean) * (1 + l.current/l.beforeDecrease.limit) / 2
	return float64(mean) > expected && float64(mean) > latencyTolerance*float64(l.baseline)
}

func (l *Limit) decrease(mean time.Duration) {
	l.beforeDecrease = snapshot{mean: mean, limit: l.current}
	l.current = math.Max(1, l.current*decreaseFactor)
	l.slowStart = false
}

func (l *Limit) increase() {
	l.beforeDecrease = snapshot{}
	increased := l.current + math.Max(1, increaseShare*l.current)
	if l.slowStart {
		increased = l.current * slowStartFactor
	}
	l.current = math.Min(math.Ceil(increased), float64(l.capacity.maxLimit()))
}
