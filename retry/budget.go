package retry

import (
	"math"
	"time"
)

const (
	// DefaultShare is the number of retries per recent success.
	DefaultShare = 0.1
	// DefaultHalfLife is the half-life of the weight of successes and retries.
	DefaultHalfLife = 5 * time.Second
	// DefaultReserve is the number of retries allowed on a route without successes.
	DefaultReserve = 3.0
)

// An Option changes a Budget's settings.
type Option func(*Budget)

// WithShare sets the number of retries per recent success.
func WithShare(share float64) Option { return func(b *Budget) { b.share = share } }

// WithReserve sets the number of retries allowed without successes.
func WithReserve(retries float64) Option { return func(b *Budget) { b.reserve = retries } }

// WithHalfLife sets the half-life of the weight of successes and retries.
func WithHalfLife(d time.Duration) Option { return func(b *Budget) { b.halfLife = d } }

// A Budget bounds the retries on one route to a share of its recent successes, so that
// retries can't sustain an overload in which few requests succeed. Its invariant: when
// Allow allows a retry, the weight of retries is at most reserve + share * weight of
// successes. Retries counted by RecordRetry can exceed this bound; Allow then allows
// none.
type Budget struct {
	share     float64
	reserve   float64
	halfLife  time.Duration
	successes float64
	retries   float64
	updated   time.Time
}

// NewBudget returns the retry budget of a route.
func NewBudget(options ...Option) *Budget {
	b := &Budget{share: DefaultShare, reserve: DefaultReserve, halfLife: DefaultHalfLife}
	for _, o := range options {
		o(b)
	}
	return b
}

// RecordSuccess counts a successful answer.
func (b *Budget) RecordSuccess(now time.Time) {
	b.decay(now)
	b.successes++
}

// Allow reports whether the budget allows a retry and counts the retry if so.
func (b *Budget) Allow(now time.Time) bool {
	b.decay(now)
	if b.retries+1 > b.reserve+b.share*b.successes {
		return false
	}
	b.retries++
	return true
}

// RecordRetry counts a retry that is made regardless of the budget, such as a call made
// by a request that was itself retried.
func (b *Budget) RecordRetry(now time.Time) {
	b.decay(now)
	b.retries++
}

func (b *Budget) decay(now time.Time) {
	if elapsed := now.Sub(b.updated); !b.updated.IsZero() && elapsed > 0 {
		weight := math.Exp2(-float64(elapsed) / float64(b.halfLife))
		b.successes *= weight
		b.retries *= weight
	}
	if now.After(b.updated) {
		b.updated = now
	}
}
