package relay

import (
	"sync"
	"time"
)

// firstAttemptShare is the least share of a route's longest timeout that is left on a
// first attempt. The rest is spent in transit.
const firstAttemptShare = 0.999

// delayedRetryShare is the largest share of a route's longest timeout that is left
// when a caller retries after the requested delay.
const delayedRetryShare = 0.95

// A retryDetector detects requests that were refused before. Callers send the time
// that they have left, which is less than the route's usual timeout on a retry.
type retryDetector struct {
	// mu guards longest.
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newRetryDetector() *retryDetector {
	return &retryDetector{longest: make(map[string]time.Duration)}
}

// observe records a caller's timeout and reports whether the request is a first attempt
// or a retry after a delay. It is neither if the caller retried at once.
func (d *retryDetector) observe(route string, timeout time.Duration) (first, delayed bool) {
	if timeout <= 0 {
		return true, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := max(d.longest[route], timeout)
	d.longest[route] = longest
	return float64(timeout) >= firstAttemptShare*float64(longest), float64(timeout) < delayedRetryShare*float64(longest)
}
