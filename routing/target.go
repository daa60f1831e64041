package routing

import (
	"math"
	"time"
)

const (
	// refusalPenalty is added to the cost of a target that refuses the importance.
	refusalPenalty = time.Second
	// refusalTTL is how long a reported admission level is used.
	refusalTTL = 100 * time.Millisecond
	// outlierConsecutiveFailures make a target an outlier.
	outlierConsecutiveFailures = 5
	// outlierFailureRatio is the failure ratio above which a target is an outlier.
	outlierFailureRatio = 0.5
	// outlierMinCalls is the least weighted number of calls for outlierFailureRatio
	// to apply.
	outlierMinCalls = 10
	// baseEjection is the time of the first ejection; each further one is longer by it.
	baseEjection = 2 * time.Second
	// maxEjection limits the time of an ejection.
	maxEjection = 20 * time.Second
	// maxEjectedRatio is the fraction of a zone's nodes that may be ejected at once.
	maxEjectedRatio = 0.3
	// sampleDecay is the factor applied to the weight of earlier calls on each call.
	sampleDecay = 0.95
)

// A target is the state that a Router keeps for one node.
type target struct {
	node        Node
	rank        uint64
	slowStartAt time.Time
	outstanding int
	// calls are the calls that a limited node may get now; they were computed at countedAt.
	calls     float64
	countedAt time.Time

	report     LoadReport
	reportedAt time.Time
	latency    time.Duration
	measuredAt time.Time

	consecutiveFailures int
	decayedCalls        float64
	decayedFailures     float64
	ejections           int
	ejectedUntil        time.Time
}

func (t *target) record(now time.Time, result Result) {
	if result.HasReport {
		t.report = result.Report
		t.reportedAt = now
	}
	t.decayedCalls = t.decayedCalls*sampleDecay + 1
	t.decayedFailures *= sampleDecay
	if result.Failed {
		t.decayedFailures++
		t.consecutiveFailures++
		return
	}
	t.consecutiveFailures = 0
	if result.Shed {
		return
	}
	recent := t.decayedLatency(now)
	if recent == 0 {
		recent = result.Latency
	}
	t.latency = recent + time.Duration(latencySmoothing*float64(result.Latency-recent))
	t.measuredAt = now
}

// setLimit applies the limit of a node before it replaces t.node. A new limit begins with
// the given part of a call, at random, so that all callers together use the rate from the
// start. The end of a limit begins slow start.
func (t *target) setLimit(now time.Time, n Node, part float64) {
	switch {
	case n.Limited && !t.node.Limited:
		t.calls, t.countedAt = part, now
		if n.RequestsPerSecond == 0 {
			t.calls = 0
		}
	case !n.Limited && t.node.Limited:
		t.slowStartAt = now
	}
}

// mayGetCall reports whether the limit of the node leaves a call.
func (t *target) mayGetCall(now time.Time) bool {
	if !t.node.Limited {
		return true
	}
	t.calls = math.Min(1, t.calls+t.node.RequestsPerSecond*math.Max(0, now.Sub(t.countedAt).Seconds()))
	t.countedAt = now
	return t.calls >= 1
}

// takeCall uses up a call of the limit.
func (t *target) takeCall() {
	if t.node.Limited {
		t.calls = math.Max(0, t.calls-1)
	}
}

// queueDelay returns the reported queue delay, decayed with the age of the report.
func (t *target) queueDelay(now time.Time) time.Duration {
	return time.Duration(float64(t.report.QueueDelay) * decay(now.Sub(t.reportedAt), DefaultReportHalfLife))
}

// decayedLatency decays with age, so that a slow target is tried again.
func (t *target) decayedLatency(now time.Time) time.Duration {
	return time.Duration(float64(t.latency) * decay(now.Sub(t.measuredAt), latencyHalfLife))
}

// utilization returns the fraction of the slots in use: the larger of the calls that
// this caller has outstanding and the reported load, decayed with its age.
func (t *target) utilization(now time.Time) float64 {
	slots := float64(max(1, t.report.Running+t.report.FreeSlots))
	reported := float64(t.report.Running) / slots * decay(now.Sub(t.reportedAt), DefaultReportHalfLife)
	return math.Max(reported, float64(t.outstanding)/slots)
}

// refuses reports whether the target recently admitted only higher importance.
func (t *target) refuses(now time.Time, importance int) bool {
	return now.Sub(t.reportedAt) < refusalTTL && importance < t.report.AdmittedImportance
}

func (t *target) isOutlier() bool {
	return t.consecutiveFailures >= outlierConsecutiveFailures ||
		t.decayedCalls >= outlierMinCalls && t.decayedFailures > outlierFailureRatio*t.decayedCalls
}

func (t *target) ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// eject excludes the target for a limited time; it returns with slow start.
func (t *target) eject(now time.Time) {
	t.ejections++
	t.ejectedUntil = now.Add(min(maxEjection, time.Duration(t.ejections)*baseEjection))
	t.slowStartAt = t.ejectedUntil
	t.consecutiveFailures, t.decayedCalls, t.decayedFailures = 0, 0, 0
}

// canEject reports whether the ejection limit allows another ejection.
func (r *Router) canEject(now time.Time, t *target) bool {
	targets := r.remote
	if t.node.Zone == r.zone {
		targets = r.local
	}
	ejected := 0
	for _, other := range targets {
		if other.ejected(now) {
			ejected++
		}
	}
	return !t.ejected(now) && float64(ejected+1) <= math.Max(1, maxEjectedRatio*float64(len(targets)))
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}
