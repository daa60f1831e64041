package relay

import (
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
)

// firstAttemptShare is the least share of a route's longest timeout that is left on a
// first attempt. The rest is spent in transit.
const firstAttemptShare = 0.999

// timeoutMemory is how long at least the longest timeout of a route is remembered. It is above
// the time that callers wait, so that their retries are recognized.
const timeoutMemory = time.Minute

// A retryDetector detects requests that were refused before. Callers send the time
// that they have left, which is less than the route's usual timeout on a retry.
type retryDetector struct {
	// mu guards longest.
	mu      sync.Mutex
	longest map[string]longestTimeout
}

// A longestTimeout is the longest timeout seen lately, so that a single caller with more time
// doesn't make all others look as if they had come back for good.
type longestTimeout struct {
	// latest is the longest one of the span of timeoutMemory that began at since, and before
	// that of the span before.
	latest, before time.Duration
	since          time.Time
}

// with returns l after a timeout was seen.
func (l longestTimeout) with(now time.Time, timeout time.Duration) longestTimeout {
	switch age := now.Sub(l.since); {
	case age >= 2*timeoutMemory:
		l = longestTimeout{since: now}
	case age >= timeoutMemory:
		l = longestTimeout{before: l.latest, since: l.since.Add(timeoutMemory)}
	}
	l.latest = max(l.latest, timeout)
	return l
}

func newRetryDetector() *retryDetector {
	return &retryDetector{longest: make(map[string]longestTimeout)}
}

// observe records a caller's timeout. It reports whether the request was not sent before,
// and its kind for the promises of places.
func (d *retryDetector) observe(now time.Time, route string, timeout time.Duration) (first bool, attempt admission.Attempt) {
	if timeout <= 0 {
		return true, admission.NewAttempt
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.longest[route].with(now, timeout)
	d.longest[route] = l
	longest := max(l.latest, l.before)
	return float64(timeout) >= firstAttemptShare*float64(longest), admission.AttemptOf(timeout, longest)
}
