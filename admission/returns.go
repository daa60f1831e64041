package admission

import (
	"math"
	"time"
)

const (
	// returnShare is the share of the admitted rate that callers who come back may be
	// promised. The rest stays for new requests, which are answered sooner.
	returnShare = 0.5
	// earliestReturnShare and promisedWaitShare bound the promised delays, as shares of
	// the time that the caller has left. longestWaitShare is the longest delay that
	// callers accept.
	earliestReturnShare = 0.06
	promisedWaitShare   = 0.3
	longestWaitShare    = 1.0 / 3
	// minPromisedDelayShare and maxPromisedDelayShare are the bounds by which a node
	// recognizes a caller with a place. They lie between the shares above, since a delay
	// is not kept exactly.
	minPromisedDelayShare = 0.05
	maxPromisedDelayShare = 0.315
	// maxPlaceDelay is the longest promised delay. A caller who waits for days can't keep places
	// from others, and the number of places is bounded.
	maxPlaceDelay = 10 * time.Second
	// returnTargetShare is the share of the latency target that a promised wait uses at
	// most. The rest is for the run.
	returnTargetShare = 2.0 / 3
	// earlyReturn and lateReturn are how much before and after its time a promised
	// place can be taken.
	earlyReturn = 50 * time.Millisecond
	lateReturn  = 500 * time.Millisecond
	// minReturnRate, in places per second, keeps the gap between two places finite.
	minReturnRate = 0.01
)

// A FlowRoom describes the room of a flow at one node, in requests per second.
type FlowRoom struct {
	// Admitted is the rate that is admitted, of new requests and of those that come back.
	Admitted float64
	// Demand is the rate of new requests.
	Demand float64
}

// placesPerSecond returns the rate of requests that may come back.
func (r FlowRoom) placesPerSecond() float64 {
	return math.Max(minReturnRate, math.Max(returnShare*r.Admitted, r.Admitted-r.Demand))
}

// A Caller describes the caller of a refused request.
type Caller struct {
	// TimeLeft is how long the caller still waits for an answer, over all its attempts.
	TimeLeft time.Duration
	// Target is the latency target of its request; zero if there is none.
	Target time.Duration
}

// A Return tells a caller when to come back.
type Return struct {
	// After is the delay.
	After time.Duration
	// Promised reports whether a place is kept for the caller.
	Promised bool
}

// A ReturnSchedule paces the callers whose requests of one flow were refused by a node.
// It handles overload that ends before the callers give up, and the herd that would
// otherwise follow it: places are given out in the order of the refusals, spaced by the
// rate that the flow has room for. A caller whose place would be too late for its target
// gets none; it is told the longest delay that callers accept, since the overload is
// most likely to be over by then.
//
// A schedule holds times, not callers: whoever comes back takes the oldest place that is
// due. Callers who come back to another node than the one that refused them take places
// there, which balances out over the fleet.
//
// A ReturnSchedule is deterministic and holds no lock. The zero value is empty.
type ReturnSchedule struct {
	// end is the time of the last place that was given out.
	end time.Time
	// places are the times of the places not taken yet, in ascending order.
	places []time.Time
}

// Refuse returns when the caller of a refused request should come back.
func (s *ReturnSchedule) Refuse(now time.Time, room FlowRoom, c Caller) Return {
	earliest := fractionOf(c.TimeLeft, earliestReturnShare)
	latest := fractionOf(c.TimeLeft, promisedWaitShare)
	if c.Target > 0 {
		latest = min(latest, max(earliest, fractionOf(c.Target, returnTargetShare)))
	}
	latest = min(latest, maxPlaceDelay)
	next := now.Add(earliest)
	gap := time.Duration(float64(time.Second) / room.placesPerSecond())
	if after := s.end.Add(gap); after.After(next) {
		next = after
	}
	if wait := next.Sub(now); wait <= latest {
		s.end = next
		s.drop(now)
		s.places = append(s.places, next)
		return Return{After: wait, Promised: true}
	}
	return Return{After: fractionOf(c.TimeLeft, longestWaitShare)}
}

// Due returns the number of promised places that can be taken.
func (s *ReturnSchedule) Due(now time.Time) int {
	s.drop(now)
	due := 0
	for due < len(s.places) && !s.places[due].After(now.Add(earlyReturn)) {
		due++
	}
	return due
}

// Take uses a place that is due, if there is one.
func (s *ReturnSchedule) Take(now time.Time) {
	if s.Due(now) > 0 {
		s.places = s.places[1:]
	}
}

// drop removes the places of callers who have not come back.
func (s *ReturnSchedule) drop(now time.Time) {
	for len(s.places) > 0 && now.Sub(s.places[0]) > lateReturn {
		s.places = s.places[1:]
	}
}

func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// An Attempt classifies a request by what its caller was told before.
type Attempt int

const (
	// NewAttempt is the first attempt of a caller, or one sooner than it was told.
	NewAttempt Attempt = iota
	// PlacedAttempt comes back after a delay for which places are promised.
	PlacedAttempt
	// LateAttempt comes back after a longer delay.
	LateAttempt
)

// AttemptOf classifies a request by the time that its caller has left and the time that
// callers of its kind have at first.
func AttemptOf(left, first time.Duration) Attempt {
	switch waited := 1 - float64(left)/float64(first); {
	case waited >= maxPromisedDelayShare:
		return LateAttempt
	case waited > minPromisedDelayShare:
		return PlacedAttempt
	}
	return NewAttempt
}
