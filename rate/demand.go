package rate

import (
	"math"
	"time"
)

// Time constants of the demand estimate. The maximum of a fast and a slow average rises
// quickly and falls slowly.
const (
	fastTimeConstant = 200 * time.Millisecond
	slowTimeConstant = 500 * time.Millisecond
)

// idleThreshold is the demand, in requests per second, below which an account counts as
// idle.
const idleThreshold = 0.02

// A demandEstimate estimates arrivals per second by two exponentially weighted averages.
type demandEstimate struct {
	fast      float64
	slow      float64
	updatedAt time.Time
}

// add counts one arrival.
func (d *demandEstimate) add(now time.Time) {
	d.decay(now)
	d.fast += 1 / fastTimeConstant.Seconds()
	d.slow += 1 / slowTimeConstant.Seconds()
}

// perSecond returns the estimate in tokens per second at a time.
func (d *demandEstimate) perSecond(now time.Time) Quantity {
	d.decay(now)
	estimate := max(d.fast/2, d.slow)
	if estimate < idleThreshold {
		return 0
	}
	return Tokens(estimate)
}

func (d *demandEstimate) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	if !d.updatedAt.IsZero() {
		d.fast *= math.Exp(-elapsed.Seconds() / fastTimeConstant.Seconds())
		d.slow *= math.Exp(-elapsed.Seconds() / slowTimeConstant.Seconds())
	}
	d.updatedAt = now
}
