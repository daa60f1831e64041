package rate

import "time"

// A parent is the state of a parent bucket that sends Grants.
type parent struct {
	timedLimit
	// sequence is the sequence of the latest GrantRequest.
	sequence uint64
	// applied is the sequence of the Grant in effect.
	applied uint64
	// requestedAt is when the latest GrantRequest was sent.
	requestedAt time.Time
	// pending reports that the latest GrantRequest has not been answered.
	pending bool
	// unanswered counts the GrantRequests since the last answer.
	unanswered int
	// retryAfter is the grantor's estimate of when it will have tokens to spare.
	retryAfter time.Duration
}

// failing reports whether the grantor does not answer or expects a long shortage.
func (p *parent) failing(now time.Time, s settings) bool {
	if p.pending && (p.unanswered > 0 || now.Sub(p.requestedAt) >= s.timeout) {
		return true
	}
	return p.retryAfter >= 10*s.renewInterval
}

// A Want is what a bucket requests from a parent.
type Want struct {
	// Demand is the expected use in tokens per second.
	Demand Quantity
	// Need is the number of tokens that waiting requests lack.
	Need Quantity
	// Prefetch is the number of tokens to hold ahead of demand.
	Prefetch Quantity
	// Loan marks a GrantRequest to another zone.
	Loan bool
}

// RequestGrant returns the next GrantRequest to a parent bucket and reduces the limit held
// from that parent to the Kept limit of the request.
func (b *Bucket) RequestGrant(now time.Time, account, receiver string, want Want) GrantRequest {
	b.refill(now)
	p := b.parent(receiver)
	b.maxSequence++
	p.sequence = b.maxSequence
	if p.pending {
		p.unanswered++
	}
	p.requestedAt = now
	p.pending = true
	request := GrantRequest{
		Account: account, Sequence: p.sequence, Applied: p.applied,
		Demand: min(want.Demand, MaxQuantity), Need: min(want.Need, MaxQuantity),
		Prefetch: min(want.Prefetch, MaxQuantity), Loan: want.Loan,
	}
	if !p.active(now) {
		p.limit = Limit{}
		return request
	}
	request.Returned = b.release(now, p, want)
	request.Kept = p.limit
	request.Floor = p.limit.Min(b.Reserved().Minus(b.Limit(now).Minus(p.limit)))
	return request
}

// release gives up the tokens that are not wanted, and the part of a parent's burst that
// holds no tokens and is not expected to fill soon. It returns the number of tokens given
// up.
func (b *Bucket) release(now time.Time, p *parent, want Want) Quantity {
	total := b.Limit(now).Minus(b.Reserved())
	wanted := want.Need + want.Prefetch + b.settings.expectedUse(want.Demand)
	excess := min(max(0, b.level-2*wanted), p.limit.Burst)
	b.level -= excess
	fillBurst := total.Rate.accrued(b.settings.fillTime())
	slack := max(0, total.Burst-b.level-fillBurst)
	p.limit.Burst -= min(p.limit.Burst, max(slack, excess))
	return excess
}

// Apply puts a Grant into effect and reports whether it did. A Grant that does not answer
// the latest GrantRequest, was applied before, or has expired is not put into effect.
func (b *Bucket) Apply(now time.Time, grantor string, g Grant) bool {
	b.refill(now)
	p, ok := b.parents[grantor]
	if !ok || !p.pending || g.Sequence != p.sequence || !g.valid() {
		return false
	}
	p.pending = false
	p.unanswered = 0
	p.retryAfter = g.RetryAfter
	until := p.requestedAt.Add(g.Duration)
	if !now.Before(until) {
		return false
	}
	if g.Extends && !p.active(now) {
		return false
	}
	p.timedLimit = timedLimit{limit: g.Limit, target: g.Target, from: now, until: until}
	p.applied = g.Sequence
	b.level = min(b.level+g.Tokens, b.capacity(now))
	return true
}

// parent returns the state of a parent bucket, and creates it if needed.
func (b *Bucket) parent(name string) *parent {
	p, ok := b.parents[name]
	if !ok {
		// No Grant up to this sequence can still arrive here.
		p = &parent{applied: b.maxSequence}
		b.parents[name] = p
	}
	return p
}

// grantable returns the limit that can be granted to children and the longest duration
// of a grant. Limits that expire soon are left out, and no grant outlasts the others.
func (b *Bucket) grantable(now time.Time) (Limit, time.Duration) {
	total := Limit{}
	duration := b.settings.grantDuration
	shortest := duration / 4
	if b.own.active(now) {
		total = b.own.limit
	}
	for _, p := range b.parents {
		remaining := p.until.Sub(now)
		if !p.active(now) || remaining < shortest {
			continue
		}
		total = total.Plus(p.limit.Min(p.target))
		duration = min(duration, remaining)
	}
	return total, duration
}
