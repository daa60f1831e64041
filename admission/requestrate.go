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
)

// A requestRate is a token bucket over the requests that are started, for a backend
// server that limits its requests per second.
type requestRate struct {
	limited   bool
	perSecond float64
	tokens    float64
	// refilledAt is when tokens was computed; zero before the first time.
	refilledAt time.Time
}

// set changes the limit. The first one begins with an empty bucket.
func (r *requestRate) set(c Capacity) {
	if !c.Limited {
		*r = requestRate{}
		return
	}
	r.limited, r.perSecond = true, math.Max(minRequestRate, c.RequestsPerSecond)
}

// available returns the number of requests that may start at once, at most the given
// number.
func (r *requestRate) available(now time.Time, most int) int {
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

// take uses up one request.
func (r *requestRate) take() {
	if r.limited {
		r.tokens--
	}
}
