package admission

import (
	"math"
	"time"
)

const (
	// requestBurstTime is the time whose share of a request limit may start at once.
	requestBurstTime = 250 * time.Millisecond
	// maxLimitedWait is the maximum wait at a backend server that limits its requests.
	// Another one may have room at once.
	maxLimitedWait = 50 * time.Millisecond
	// minRequestRate, in requests per second, is used for lower limits, because only
	// answers show that a limit has ended.
	minRequestRate = 0.5
	// startWindow is the span in which starts are counted for a maximum in one second. It is
	// longer, because a request may reach the backend server a little after its start.
	startWindow = 1100 * time.Millisecond
	// maxCountedStarts bounds the starts that are counted, and with that the maximum.
	maxCountedStarts = 64
)

// A requestRate is a token bucket over the requests that are started, for a backend
// server that limits its requests per second.
type requestRate struct {
	limited   bool
	perSecond float64
	tokens    float64
	// refilledAt is when tokens was computed; zero before the first time.
	refilledAt time.Time
	// maxStarts is the maximum number of starts in startWindow; zero if there is none.
	maxStarts int
	// recent holds the times of the last starts, also from before there was a limit. next
	// is the index of the oldest one.
	recent [maxCountedStarts]time.Time
	next   int
}

// set changes the limit. The first one begins with an empty bucket.
func (r *requestRate) set(c Capacity) {
	r.maxStarts = min(c.MaxStartsPerSecond, maxCountedStarts)
	if !c.Limited {
		r.limited, r.perSecond, r.tokens, r.refilledAt = false, 0, 0, time.Time{}
		return
	}
	r.limited, r.perSecond = true, math.Max(minRequestRate, c.RequestsPerSecond)
}

// available returns the number of requests that may start at once, at most the given
// number.
func (r *requestRate) available(now time.Time, most int) int {
	most = min(most, r.startsLeft(now))
	if !r.limited {
		return most
	}
	if !r.refilledAt.IsZero() {
		r.tokens += r.perSecond * math.Max(0, now.Sub(r.refilledAt).Seconds())
	}
	r.refilledAt = now
	r.tokens = math.Min(r.tokens, math.Max(1, r.perSecond*requestBurstTime.Seconds()))
	return min(most, int(r.tokens))
}

// wait returns the time until the given number of requests may have started.
func (r *requestRate) wait(now time.Time, requests int) time.Duration {
	if !r.limited {
		return 0
	}
	r.available(now, 0)
	return time.Duration(math.Max(0, float64(requests)-r.tokens) / r.perSecond * float64(time.Second))
}

// startsLeft returns the number of starts that the maximum in startWindow leaves.
func (r *requestRate) startsLeft(now time.Time) int {
	if r.maxStarts == 0 {
		return math.MaxInt
	}
	left := r.maxStarts
	for _, at := range r.recent {
		if !at.IsZero() && now.Sub(at) < startWindow {
			left--
		}
	}
	return max(0, left)
}

// take uses up one request.
func (r *requestRate) take(now time.Time) {
	r.recent[r.next] = now
	r.next = (r.next + 1) % maxCountedStarts
	if r.limited {
		r.tokens--
	}
}
