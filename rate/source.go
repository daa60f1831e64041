package rate

import "time"

// A source is a bucket above, from which Grants come.
type source struct {
	allotment
	// sequence is that of the latest Ask.
	sequence uint64
	// applied is the sequence of the Grant in effect.
	applied uint64
	// asked is when the latest Ask was sent.
	asked time.Time
	// waiting says that the latest Ask has not been answered.
	waiting bool
	// unanswered counts the Asks since the last answer.
	unanswered int
	// retryAfter is the giver's estimate of when it will have tokens to spare.
	retryAfter time.Duration
}

// failing reports whether the giver does not answer or has nothing for long.
func (s *source) failing(now time.Time, t settings) bool {
	if s.waiting && (s.unanswered > 0 || now.Sub(s.asked) >= t.timeout) {
		return true
	}
	return s.retryAfter >= 10*t.cycle
}

// A Want is what a bucket would like to get from above.
type Want struct {
	// Demand is the expected use in tokens a second.
	Demand Quantity
	// Need is the number of tokens that waiting requests lack.
	Need Quantity
	// Ahead is the number of tokens to hold ahead of demand.
	Ahead Quantity
	// Loan marks an Ask to another zone.
	Loan bool
}

// Ask returns the next Ask to a bucket above and lowers what this bucket holds
// from there to what the Ask states.
func (b *Bucket) Ask(now time.Time, account, receiver string, want Want) Ask {
	b.settle(now)
	s := b.source(receiver)
	b.highest++
	s.sequence = b.highest
	if s.waiting {
		s.unanswered++
	}
	s.asked = now
	s.waiting = true
	ask := Ask{
		Account: account, Sequence: s.sequence, Applied: s.applied,
		Demand: min(want.Demand, MaxQuantity), Need: min(want.Need, MaxQuantity),
		Ahead: min(want.Ahead, MaxQuantity), Loan: want.Loan,
	}
	if !s.active(now) {
		s.limit = Limit{}
		return ask
	}
	ask.Returned = b.lower(now, s, want)
	ask.Kept = s.limit
	ask.Floor = s.limit.Min(b.Reserved().Minus(b.Limit(now).Minus(s.limit)))
	return ask
}

// lower gives up the part of a source's burst that holds no tokens and won't
// fill soon, and the tokens that are not wanted. It returns the number of tokens
// given back.
func (b *Bucket) lower(now time.Time, s *source, want Want) Quantity {
	total := b.Limit(now).Minus(b.Reserved())
	wanted := want.Need + want.Ahead + b.settings.soon(want.Demand)
	excess := min(max(0, b.level-2*wanted), s.limit.Burst)
	b.level -= excess
	filling := total.Rate.accrued(b.settings.fillTime())
	slack := max(0, total.Burst-b.level-filling)
	s.limit.Burst -= min(s.limit.Burst, max(slack, excess))
	return excess
}

// Apply puts a Grant into effect and reports whether it did. A Grant that does
// not answer the latest Ask, was applied before, or has ended changes nothing.
func (b *Bucket) Apply(now time.Time, giver string, g Grant) bool {
	b.settle(now)
	s, ok := b.sources[giver]
	if !ok || !s.waiting || g.Sequence != s.sequence || !g.valid() {
		return false
	}
	s.waiting = false
	s.unanswered = 0
	s.retryAfter = g.RetryAfter
	until := s.asked.Add(g.Duration)
	if !now.Before(until) {
		return false
	}
	if g.Extends && !s.active(now) {
		return false
	}
	s.allotment = allotment{limit: g.Limit, target: g.Target, from: now, until: until}
	s.applied = g.Sequence
	b.level = min(b.level+g.Tokens, b.room(now))
	return true
}

// source returns the state kept for a bucket above.
func (b *Bucket) source(name string) *source {
	s, ok := b.sources[name]
	if !ok {
		// No Grant up to this sequence can still arrive here.
		s = &source{applied: b.highest}
		b.sources[name] = s
	}
	return s
}

// usable returns what may be granted on and for how long at most: allotments
// that end soon are left out, and nothing granted outlasts the others.
func (b *Bucket) usable(now time.Time) (Limit, time.Duration) {
	total := Limit{}
	duration := b.settings.duration
	shortest := duration / 4
	if b.own.active(now) {
		total = b.own.limit
	}
	for _, s := range b.sources {
		remaining := s.until.Sub(now)
		if !s.active(now) || remaining < shortest {
			continue
		}
		total = total.Plus(s.limit.Min(s.target))
		duration = min(duration, remaining)
	}
	return total, duration
}
