package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/retry"
)

const windowLength = 10 * time.Second

// In each sliding window, retries are bounded by the reserve and the share of the requests
// of that window or of the window half a length earlier.
func TestWindowBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, reserve = 0.1, 3.0
		w := retry.NewWindowBudget(windowLength, share, reserve)
		start := time.Unix(1_000_000, 0)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.RecordRequest(now)
				requests = append(requests, now)
			} else if w.Allow(now, 0) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			same := countWithin(requests, end.Add(-windowLength-windowLength/20), end)
			before := countWithin(requests, end.Add(-3*windowLength/2-windowLength/20), end.Add(-windowLength/2+windowLength/20))
			if got := countWithin(retries, end.Add(-windowLength+windowLength/20), end); float64(got) > reserve+share*float64(max(same, before)) {
				t.Fatalf("%d retries in the window ending at %v, for %d and %d requests", got, end.Sub(start), same, before)
			}
		}
	})
}

// countWithin returns the number of times after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// A service refuses most calls for some seconds, so that few root requests are admitted.
// Retries of the remaining requests are allowed in proportion to the earlier requests.
func TestWindowBudgetAllowsRetriesAfterRequestRateDrops(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindowBudget(windowLength, 0.1, 0)
	now := time.Unix(1_000_000, 0)
	for range 1000 {
		w.RecordRequest(now)
		now = now.Add(10 * time.Millisecond)
	}
	allowed := 0
	for range 60 {
		now = now.Add(20 * time.Millisecond)
		if w.Allow(now, 0) {
			allowed++
		}
	}
	is.Equal(allowed, 60) // over 800 of the thousand requests are still in the window
}

func TestWindowBudgetWithholdsRetries(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindowBudget(windowLength, 0, 10)
	now := time.Unix(1_000_000, 0)
	for range 5 {
		is.True(w.Allow(now, 0.5))
	}
	is.True(!w.Allow(now, 0.5)) // the other half is withheld
	is.True(w.Allow(now, 0))    // but available without withholding
}

func TestRecordedRetriesCount(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindowBudget(windowLength, 0, 2)
	now := time.Unix(1_000_000, 0)
	w.RecordRetry(now)
	w.RecordRetry(now)
	is.True(!w.Allow(now, 0))
	is.True(w.Allow(now.Add(2*windowLength), 0)) // they have left the window
}
