package rate

import "time"

// Default settings of buckets and ledgers.
const (
	// DefaultDuration is how long a Grant lasts unless it is renewed.
	DefaultDuration = 2500 * time.Millisecond
	// DefaultCycle is how often an account with demand is asked for.
	DefaultCycle = 50 * time.Millisecond
	// DefaultPace is the shortest time between two Requests to one receiver.
	DefaultPace = 10 * time.Millisecond
	// DefaultTimeout is how long an answer is awaited before the next Ask.
	DefaultTimeout = 40 * time.Millisecond
	// DefaultDriftMargin is the part by which two clocks may differ in the
	// length of an interval, as a divisor: one in 100.
	DefaultDriftMargin = 100
)

// settings of a bucket or ledger.
type settings struct {
	duration    time.Duration
	cycle       time.Duration
	pace        time.Duration
	timeout     time.Duration
	driftMargin int
	prefetch    bool
}

// An Option changes a setting of a Bucket or Ledger.
type Option func(*settings)

func newSettings(options []Option) settings {
	s := settings{
		duration:    DefaultDuration,
		cycle:       DefaultCycle,
		pace:        DefaultPace,
		timeout:     DefaultTimeout,
		driftMargin: DefaultDriftMargin,
		prefetch:    true,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithDuration sets how long Grants last. All processes that may hold the same
// account must use the same duration, because a new holder waits that long.
func WithDuration(duration time.Duration) Option {
	return func(s *settings) { s.duration = duration }
}

// WithCycle sets how often an account with demand is asked for.
func WithCycle(cycle time.Duration) Option {
	return func(s *settings) { s.cycle = cycle }
}

// WithPace sets the shortest time between two Requests to one receiver.
func WithPace(pace time.Duration) Option {
	return func(s *settings) { s.pace = pace }
}

// WithTimeout sets how long an answer is awaited before the next Ask.
func WithTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.timeout = timeout }
}

// WithoutPrefetch asks only for requests that already wait. It is a baseline
// for measurements.
func WithoutPrefetch() Option {
	return func(s *settings) { s.prefetch = false }
}

// reserveTime returns how long the giver of a Grant reserves what it gave.
func (s settings) reserveTime(duration time.Duration) time.Duration {
	return duration + duration/time.Duration(s.driftMargin)
}

// minFillTime is the shortest time that a granted rate may fill unused room.
const minFillTime = 100 * time.Millisecond

// fillTime returns for how long a granted rate may fill room that is empty now:
// more would withhold burst from others.
func (s settings) fillTime() time.Duration { return max(s.cycle, minFillTime) }

// soon returns the tokens that a demand uses until a Grant can follow, or zero
// where that is less than one: so small a demand is met on request, because
// tokens laid ahead of it would lie about.
func (s settings) soon(demand Quantity) Quantity {
	tokens := demand.accrued(4 * s.cycle)
	if tokens < Token {
		return 0
	}
	return tokens
}
