package rate

import "time"

// Default settings of buckets and limiters.
const (
	// DefaultGrantDuration is the lifetime of a Grant unless it is renewed.
	DefaultGrantDuration = 2500 * time.Millisecond
	// DefaultRenewInterval is the interval of GrantRequests for an account with demand.
	DefaultRenewInterval = 50 * time.Millisecond
	// DefaultMinRequestInterval is the shortest interval between Requests to a receiver.
	DefaultMinRequestInterval = 10 * time.Millisecond
	// DefaultTimeout is how long to wait for an answer before the next GrantRequest.
	DefaultTimeout = 40 * time.Millisecond
	// DefaultDriftMargin is the reciprocal of the fraction by which two clocks may differ
	// in the length of an interval: 100 means 1%.
	DefaultDriftMargin = 100
)

// settings are the settings of a bucket or limiter.
type settings struct {
	grantDuration      time.Duration
	renewInterval      time.Duration
	minRequestInterval time.Duration
	timeout            time.Duration
	driftMargin        int
	prefetch           bool
}

// An Option changes a setting of a Bucket or Limiter.
type Option func(*settings)

func newSettings(options []Option) settings {
	s := settings{
		grantDuration:      DefaultGrantDuration,
		renewInterval:      DefaultRenewInterval,
		minRequestInterval: DefaultMinRequestInterval,
		timeout:            DefaultTimeout,
		driftMargin:        DefaultDriftMargin,
		prefetch:           true,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithGrantDuration sets the lifetime of Grants. All processes that may hold the same
// account must use the same duration, because a new holder waits that long.
func WithGrantDuration(grantDuration time.Duration) Option {
	return func(s *settings) { s.grantDuration = grantDuration }
}

// WithRenewInterval sets the interval of GrantRequests for an account with demand.
func WithRenewInterval(renewInterval time.Duration) Option {
	return func(s *settings) { s.renewInterval = renewInterval }
}

// WithMinRequestInterval sets the shortest interval between two Requests to one receiver.
func WithMinRequestInterval(minRequestInterval time.Duration) Option {
	return func(s *settings) { s.minRequestInterval = minRequestInterval }
}

// WithTimeout sets how long to wait for an answer before the next GrantRequest.
func WithTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.timeout = timeout }
}

// WithoutPrefetch requests tokens only for requests that already wait. It is a baseline
// for measurements.
func WithoutPrefetch() Option {
	return func(s *settings) { s.prefetch = false }
}

// reservationTime returns how long the grantor reserves a Grant of a duration.
func (s settings) reservationTime(grantDuration time.Duration) time.Duration {
	return grantDuration + grantDuration/time.Duration(s.driftMargin)
}

// minFillTime is the shortest time in which a granted rate may fill unused capacity.
const minFillTime = 100 * time.Millisecond

// fillTime returns the time in which a granted rate may fill capacity that is unused now.
// A longer time would withhold burst from other buckets.
func (s settings) fillTime() time.Duration { return max(s.renewInterval, minFillTime) }

// expectedUse returns the tokens that a demand uses until the next Grant can arrive, or
// zero if that is less than one. So small a demand is met on request, because prefetched
// tokens would stay unused.
func (s settings) expectedUse(demand Quantity) Quantity {
	tokens := demand.accrued(4 * s.renewInterval)
	if tokens < Token {
		return 0
	}
	return tokens
}
