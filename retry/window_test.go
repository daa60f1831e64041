package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/retry"
)

const spanLength = 10 * time.Second

// In each span of the length, repeats stay within the reserve and the share of the
// requests of that span or of the one half a length before it.
func TestWindowBoundsRepeatsInEachSpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const share, reserve = 0.1, 3.0
		w := retry.NewWindow(spanLength, share, reserve)
		start := time.Unix(1_000_000, 0)
		now := start
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.Sent(now)
				requests = append(requests, now)
			} else if w.Repeat(now, 0) {
				repeats = append(repeats, now)
			}
		}
		for _, end := range repeats {
			same := within(requests, end.Add(-spanLength-spanLength/20), end)
			before := within(requests, end.Add(-3*spanLength/2-spanLength/20), end.Add(-spanLength/2+spanLength/20))
			if got := within(repeats, end.Add(-spanLength+spanLength/20), end); float64(got) > reserve+share*float64(max(same, before)) {
				t.Fatalf("%d repeats in the span to %v, for %d and %d requests", got, end.Sub(start), same, before)
			}
		}
	})
}

// within counts the times after from and up to to.
func within(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			n++
		}
	}
	return n
}

// The pattern: a service refuses most calls for some seconds, so that few roots
// are admitted; what remains may be repeated by the requests before.
func TestWindowAllowsRepeatsWhenRequestsFall(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(spanLength, 0.1, 0)
	now := time.Unix(1_000_000, 0)
	for range 1000 {
		w.Sent(now)
		now = now.Add(10 * time.Millisecond)
	}
	allowed := 0
	for range 60 {
		now = now.Add(20 * time.Millisecond)
		if w.Repeat(now, 0) {
			allowed++
		}
	}
	is.Equal(allowed, 60) // over 800 of the thousand requests are still in the span
}

func TestWindowKeepsRepeatsForOthers(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(spanLength, 0, 10)
	now := time.Unix(1_000_000, 0)
	for range 5 {
		is.True(w.Repeat(now, 0.5))
	}
	is.True(!w.Repeat(now, 0.5)) // the other half is kept
	is.True(w.Repeat(now, 0))    // for those that may use it
}

func TestChargedRepeatsCount(t *testing.T) {
	is := is.New(t)
	w := retry.NewWindow(spanLength, 0, 2)
	now := time.Unix(1_000_000, 0)
	w.Charge(now)
	w.Charge(now)
	is.True(!w.Repeat(now, 0))
	is.True(w.Repeat(now.Add(2*spanLength), 0)) // they have passed out
}
