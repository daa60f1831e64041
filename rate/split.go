package rate

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of counted demand.
	demandHalfLife = time.Second
	// evenShare of the rate is split evenly over the hosts, so that each can admit first
	// requests; dividedShare follows demand.
	evenShare    = 0.2
	dividedShare = 1 - evenShare
	// minBurst is the smallest capacity of a host's bucket, in tokens, so that an account
	// with a small burst is not refused at every host.
	minBurst = 1.0
	// minRetryDelay and maxRetryDelay are the shortest and the longest retry delay returned
	// to a refused caller.
	minRetryDelay = time.Millisecond
	maxRetryDelay = 5 * time.Second
	// reserveGrowth is the part of the tokens that accrue by which the base of the reserves
	// grows in a bucket that started empty.
	reserveGrowth = 0.5
)

// A SplitBucket is one host's token bucket for its fraction of a client account's rate,
// used where no host holds the rate for all. Each host always has an even share of a fifth of
// the rate; the rest is divided into parts, which follow demand. A host states the part that it
// uses, and transfers some of it to hosts that need more: it lowers its own part first. So parts
// don't grow beyond the rate, whatever a host knows of the demand, and a host that can't be
// heard keeps its part, on both sides of a cut. Only parts that nobody uses any more are taken
// without a transfer. A SplitBucket is deterministic and holds no lock.
type SplitBucket struct {
	rate, burst float64
	tokens      float64
	// reservable is the fraction of the capacity on which reserves are based. It is 1 except
	// in a bucket that started empty.
	reservable float64
	fraction   float64
	demand     float64
	refilledAt time.Time
	countedAt  time.Time
	// pendingRetries is the number of tokens needed for the announced retries of refused
	// callers; it falls as tokens accrue.
	pendingRetries float64
	// evenFraction is the fraction of each host if all have the same.
	evenFraction float64
	parts        parts
}

// NewSplitBucket returns a host's bucket for an account with a rate in requests per second,
// in a fleet of a number of hosts. It starts with an even fraction of the burst.
func NewSplitBucket(now time.Time, rate, burst float64, hosts int) *SplitBucket {
	even := 1 / float64(max(1, hosts))
	s := &SplitBucket{
		rate: rate, burst: burst, fraction: even, evenFraction: even, refilledAt: now, countedAt: now,
		parts: parts{own: dividedParts.times(even), received: make(map[string]received), pending: make(map[string][]pendingPart), createdAt: now, rebalancedAt: now},
	}
	s.tokens, s.reservable = s.capacity(), 1
	return s
}

// NewEmptySplitBucket returns a bucket for a fixed fraction of an account's rate, without
// tokens. Reserves build up slowly in it, so that requests without a claim to them get most
// of what accrues.
func NewEmptySplitBucket(now time.Time, rate, burst, fraction float64, hosts int) *SplitBucket {
	s := NewSplitBucket(now, rate, burst, hosts)
	s.tokens, s.reservable = 0, 0
	s.SetFraction(now, fraction, hosts)
	return s
}

// Fill adds tokens up to the capacity of the host's fraction.
func (s *SplitBucket) Fill(now time.Time, tokens float64) {
	s.refill(now)
	added := math.Max(0, tokens)
	s.add(added, added)
}

// Level returns the tokens as a fraction of the capacity, as of the last call with a time.
func (s *SplitBucket) Level() float64 { return s.tokens / math.Max(minBurst, s.capacity()) }

// Fraction returns the host's current fraction of the rate.
func (s *SplitBucket) Fraction() float64 { return s.fraction }

// Clear removes all tokens, because an earlier process of the host may have used them
// just before, and the part, because others may have taken it.
func (s *SplitBucket) Clear() { s.tokens, s.parts.own = 0, 0 }

// SetLimit changes the account's rate, in requests per second, and burst.
func (s *SplitBucket) SetLimit(now time.Time, rate, burst float64) {
	s.refill(now)
	s.rate, s.burst = rate, burst
	s.tokens = math.Min(s.tokens, s.capacity())
}

// SetFraction sets a fixed fraction instead of one that follows demand: 0 for a host that
// has no part of the rate. hosts is the size of the fleet.
func (s *SplitBucket) SetFraction(now time.Time, fraction float64, hosts int) {
	s.refill(now)
	s.fraction, s.evenFraction = fraction, 1/float64(max(1, hosts))
	s.tokens = math.Min(s.tokens, s.capacity())
	if fraction == 0 {
		s.reservable = 0
	}
}

// Take takes the token of one request and reports whether the host has one for it. If not,
// it returns the retry delay; callers refused at the same time get staggered delays.
// Demand is counted in both cases.
//
// reserve is the fraction of the burst, from 0 to 1, that is reserved for more important
// requests of the account: while demand exceeds the rate, they get the tokens first.
func (s *SplitBucket) Take(now time.Time, reserve float64) (time.Duration, bool) {
	s.refill(now)
	s.countDemand(now)
	if s.tokens >= s.needed(reserve) {
		s.tokens--
		return 0, true
	}
	perSecond := s.rate * s.fraction
	if s.fraction == 0 {
		perSecond = s.rate * s.evenFraction
	}
	if perSecond <= 0 {
		return maxRetryDelay, false
	}
	// The callers that were refused before take a token each.
	missing := s.missing(reserve) + s.pendingRetries
	s.pendingRetries++
	wait := math.Min(maxRetryDelay.Seconds(), missing/perSecond)
	return max(minRetryDelay, time.Duration(math.Ceil(wait*float64(time.Second)))), false
}

// needed returns the tokens that a request needs to be admitted. It takes one of them.
func (s *SplitBucket) needed(reserve float64) float64 {
	return 1 + reserve*math.Max(0, s.reservable*s.capacity()-1)
}

// missing returns the tokens that have to accrue before a request is admitted. The reserve
// grows meanwhile.
func (s *SplitBucket) missing(reserve float64) float64 {
	whenWhole := 1 + reserve*math.Max(0, s.capacity()-1) - s.tokens
	whileGrowing := (1 + reserve*(s.reservable*s.capacity()-1) - s.tokens) / (1 - reserveGrowth*reserve)
	return math.Max(1-s.tokens, math.Min(whenWhole, whileGrowing))
}

// Lend takes one token for a request that another host could not admit from its own
// fraction, and reports whether there was one. The other host counts the demand, so that
// the fractions follow it.
func (s *SplitBucket) Lend(now time.Time, reserve float64) bool {
	s.refill(now)
	if s.tokens < s.needed(reserve) {
		return false
	}
	s.tokens--
	return true
}

// Return returns the token of a request that was refused for another reason.
func (s *SplitBucket) Return(now time.Time) {
	s.refill(now)
	s.tokens = math.Min(s.capacity(), s.tokens+1)
}

// Demand returns the recent requests per second.
func (s *SplitBucket) Demand(now time.Time) float64 {
	age := now.Sub(s.countedAt)
	return s.demand * math.Exp2(-float64(max(0, age))/float64(demandHalfLife))
}

func (s *SplitBucket) countDemand(now time.Time) {
	// A counter with this half-life converges to rate * halfLife / ln 2.
	s.demand = s.Demand(now) + math.Ln2/demandHalfLife.Seconds()
	s.countedAt = now
}

func (s *SplitBucket) capacity() float64 {
	if s.fraction == 0 {
		return 0
	}
	return math.Max(minBurst, s.burst*s.fraction)
}

func (s *SplitBucket) refill(now time.Time) {
	elapsed := max(0, now.Sub(s.refilledAt))
	s.refilledAt = now
	accrued := elapsed.Seconds() * s.rate * s.fraction
	completed := accrued
	if s.fraction == 0 {
		completed = elapsed.Seconds() * s.rate * s.evenFraction
	}
	s.pendingRetries = math.Max(0, s.pendingRetries-completed)
	s.add(accrued, reserveGrowth*accrued)
}

// add adds tokens up to the capacity, and others to those on which reserves are based.
func (s *SplitBucket) add(tokens, reservable float64) {
	capacity := s.capacity()
	s.tokens = math.Min(capacity, s.tokens+tokens)
	if capacity > 0 {
		s.reservable = math.Min(1, s.reservable+reservable/capacity)
	}
}
