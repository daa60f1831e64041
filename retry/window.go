package retry

import "time"

const (
	// windowBuckets is the number of buckets per window. A retry counts for up to one
	// bucket longer than the window.
	windowBuckets = 20
	// totalBuckets covers the window and the half window before it.
	totalBuckets = windowBuckets + windowBuckets/2
)

// A WindowBudget bounds the retries of a service's requests in each sliding window of a
// fixed length: when a retry is allowed, they are at most reserve + share * requests.
// The requests are those of the same window, or those of the window half a length
// earlier if there were more, so that retries are not reduced when requests drop because
// of the same fault that makes retries necessary. Unlike a Budget it counts the requests
// and retries in a window exactly, for platforms that enforce such a window.
type WindowBudget struct {
	share        float64
	reserve      float64
	bucketLength time.Duration
	// buckets is a ring; newest is the number of the newest bucket, counted from the
	// Unix epoch.
	buckets [totalBuckets]bucket
	newest  int64
}

type bucket struct{ requests, retries float64 }

// NewWindowBudget returns the WindowBudget of a service.
func NewWindowBudget(length time.Duration, share, reserve float64) *WindowBudget {
	return &WindowBudget{share: share, reserve: reserve, bucketLength: max(1, length/windowBuckets)}
}

// RecordRequest counts a request.
func (w *WindowBudget) RecordRequest(now time.Time) { w.bucketAt(now).requests++ }

// RecordRetry counts a retry that is made regardless of the budget, such as a call made
// by a request that was itself retried.
func (w *WindowBudget) RecordRetry(now time.Time) { w.bucketAt(now).retries++ }

// Allow reports whether a retry is allowed and counts the retry if so. withheld is the
// share of the allowed retries that is withheld for other callers, from 0 to 1.
func (w *WindowBudget) Allow(now time.Time, withheld float64) bool {
	current := w.bucketAt(now)
	var retries, latest, earlier float64
	for i := range int64(totalBuckets) {
		b := w.buckets[(w.newest-i)%totalBuckets]
		if i < windowBuckets {
			retries += b.retries
			latest += b.requests
		}
		if i >= windowBuckets/2 {
			earlier += b.requests
		}
	}
	allowed := w.reserve + w.share*max(latest, earlier)
	if retries+1 > allowed*(1-withheld) {
		return false
	}
	current.retries++
	return true
}

// bucketAt returns the bucket of a time and clears the buckets that have left the
// window.
func (w *WindowBudget) bucketAt(now time.Time) *bucket {
	number := now.UnixNano() / int64(w.bucketLength)
	if number > w.newest {
		for i := max(w.newest+1, number-totalBuckets+1); i <= number; i++ {
			w.buckets[i%totalBuckets] = bucket{}
		}
		w.newest = number
	}
	return &w.buckets[w.newest%totalBuckets]
}
