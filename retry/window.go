package retry

import "time"

const (
	// windowBuckets is the number of parts into which a window is divided. A
	// repeat counts up to one part longer than the window.
	windowBuckets = 20
	// keptBuckets covers the window and the half before it.
	keptBuckets = windowBuckets + windowBuckets/2
)

// A Window bounds the repeats of a service's requests in each span of a fixed
// length: they never exceed reserve + share * requests when a repeat is allowed.
// Requests are those of the same span, or of the span half a length earlier if
// there were more, so that repeats aren't cut when requests fall for the very
// trouble that makes repeats needed. Unlike a Budget it counts what happened in a
// span exactly, for platforms that judge it so.
type Window struct {
	share   float64
	reserve float64
	part    time.Duration
	// buckets is a ring; newest is the number of the newest part since the zero time.
	buckets [keptBuckets]bucket
	newest  int64
}

type bucket struct{ requests, repeats float64 }

// NewWindow returns the Window of a service.
func NewWindow(length time.Duration, share, reserve float64) *Window {
	return &Window{share: share, reserve: reserve, part: max(1, length/windowBuckets)}
}

// Sent counts a request.
func (w *Window) Sent(now time.Time) { w.at(now).requests++ }

// Charge counts a repeat that is made whatever the window says, such as a call of
// a request that was itself sent again.
func (w *Window) Charge(now time.Time) { w.at(now).repeats++ }

// Repeat counts a repeat and reports whether it is allowed. kept is the part of
// the allowed repeats that is kept for others, from 0 to 1.
func (w *Window) Repeat(now time.Time, kept float64) bool {
	present := w.at(now)
	var repeats, latest, earlier float64
	for i := range int64(keptBuckets) {
		b := w.buckets[(w.newest-i)%keptBuckets]
		if i < windowBuckets {
			repeats += b.repeats
			latest += b.requests
		}
		if i >= windowBuckets/2 {
			earlier += b.requests
		}
	}
	allowed := w.reserve + w.share*max(latest, earlier)
	if repeats+1 > allowed*(1-kept) {
		return false
	}
	present.repeats++
	return true
}

// at returns the bucket of a time, emptying those that have passed out.
func (w *Window) at(now time.Time) *bucket {
	number := now.UnixNano() / int64(w.part)
	if number > w.newest {
		for i := max(w.newest+1, number-keptBuckets+1); i <= number; i++ {
			w.buckets[i%keptBuckets] = bucket{}
		}
		w.newest = number
	}
	return &w.buckets[w.newest%keptBuckets]
}
