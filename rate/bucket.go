package rate

import (
	"time"
)

// A Tenure is the time during which a process is the only holder of an account's share.
// No earlier holder issues a Grant at or after From.
type Tenure struct {
	// From is the start of the tenure, by the local clock.
	From time.Time
	// Until is the end of the tenure unless it is extended, by the local clock.
	Until time.Time
}

// A timedLimit is a limit that is in effect during an interval.
type timedLimit struct {
	limit  Limit
	target Limit
	from   time.Time
	until  time.Time
}

func (t timedLimit) active(now time.Time) bool {
	return !now.Before(t.from) && now.Before(t.until)
}

// accrued returns the tokens that the limit yields between two times.
func (t timedLimit) accrued(since, now time.Time) Quantity {
	start := latest(since, t.from)
	end := earliest(now, t.until)
	return t.limit.Rate.accrued(end.Sub(start))
}

// A Bucket is the token bucket of one account in one process. Invariant: its level plus
// the bursts reserved for child buckets is at most the burst in effect from its parents,
// and the same holds for the rates. It is not safe for concurrent use.
type Bucket struct {
	settings   settings
	level      Quantity
	refilledAt time.Time
	own        timedLimit
	// tenureStart is the start of the holder's tenure; earlier requests are ignored.
	tenureStart time.Time
	parents     map[string]*parent
	children    map[string]*child
	// childTotals are the totals over children.
	childTotals totals
	// nextExpiry is when the next reservation may end; zero if there is none.
	nextExpiry time.Time
	// hasParents reports whether parent buckets can be asked for more.
	hasParents bool
	// maxSequence is the largest sequence that any GrantRequest has used.
	maxSequence uint64
}

// NewBucket returns an empty bucket without a share of its own, limited to its Grants.
func NewBucket(options ...Option) *Bucket { return newBucket(newSettings(options)) }

// NewHolderBucket returns the bucket of a holder whose share is set by the
// configuration. It starts empty, once the longest grant of an earlier holder has
// expired; until then it only extends grants that are still in effect.
func NewHolderBucket(tenure Tenure, share Limit, options ...Option) *Bucket {
	return newHolderBucket(newSettings(options), tenure, share)
}

func newHolderBucket(s settings, tenure Tenure, share Limit) *Bucket {
	b := newBucket(s)
	from := tenure.From.Add(b.settings.reservationTime(b.settings.grantDuration))
	b.own = timedLimit{limit: share, target: share, from: from, until: tenure.Until}
	b.tenureStart = tenure.From
	b.refilledAt = tenure.From
	return b
}

func newBucket(s settings) *Bucket {
	return &Bucket{settings: s, parents: map[string]*parent{}, children: map[string]*child{}}
}

// isHolder reports whether the bucket owns a share for a tenure.
func (b *Bucket) isHolder() bool { return !b.own.until.IsZero() }

// Extend moves the end of the holder's tenure. It returns false if the tenure has ended:
// an expired holder needs a new tenure and a new bucket.
func (b *Bucket) Extend(now, until time.Time) bool {
	if !now.Before(b.own.until) {
		return false
	}
	b.own.until = latest(b.own.until, until)
	return true
}

// Resume moves the end of the holder's tenure even if it has passed. Use it only if no
// other process can have held the share in between.
func (b *Bucket) Resume(now, until time.Time) {
	b.refill(now)
	b.own.until = latest(b.own.until, until)
}

// Configure changes the share that the holder owns. A lower share takes effect as grants
// are renewed, at the latest when all of them have expired.
func (b *Bucket) Configure(now time.Time, share Limit) {
	b.refill(now)
	b.own.limit = share
	b.own.target = share
	b.level = min(b.level, b.capacity(now))
}

// Take removes tokens and returns true if the bucket currently holds that many.
func (b *Bucket) Take(now time.Time, tokens Quantity) bool {
	b.refill(now)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// Level returns the tokens that are currently available.
func (b *Bucket) Level(now time.Time) Quantity {
	b.refill(now)
	return b.level
}

// Limit returns the limit currently in effect from the share and the parents.
func (b *Bucket) Limit(now time.Time) Limit {
	total := Limit{}
	if b.own.active(now) {
		total = b.own.limit
	}
	for _, p := range b.parents {
		if p.active(now) {
			total = total.Plus(p.limit)
		}
	}
	return total
}

// Reserved returns the most that the child buckets may hold.
func (b *Bucket) Reserved() Limit { return b.childTotals.reserved }

// Demand returns the demand that child buckets reported, in tokens per second, without
// that of other zones.
func (b *Bucket) Demand() Quantity { return b.childTotals.demand }

// Unmet returns the tokens that requests at child buckets wait for and that could not be
// granted, without those of other zones.
func (b *Bucket) Unmet() Quantity { return b.childTotals.unmet }

// refill brings the level up to date. Reservations are subtracted for the whole interval
// and limits are added only while they were in effect, so the level is never too high.
func (b *Bucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt = now
	}
	if now.Before(b.refilledAt) {
		return
	}
	accrued := b.own.accrued(b.refilledAt, now)
	for _, p := range b.parents {
		accrued += p.accrued(b.refilledAt, now)
	}
	if reserved := b.childTotals.reserved.Rate; reserved > 0 {
		accrued -= reserved.accrued(now.Sub(b.refilledAt)) + 1
	}
	b.expire(now)
	b.refilledAt = now
	b.level = max(0, min(b.level+max(0, accrued), b.capacity(now)))
}

// capacity returns the largest level that the bucket may have.
func (b *Bucket) capacity(now time.Time) Quantity {
	return b.Limit(now).Minus(b.childTotals.reserved).Burst
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
