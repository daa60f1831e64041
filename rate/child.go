package rate

import "time"

// A reservation is a Grant that a child may hold, as recorded by its grantor.
type reservation struct {
	sequence uint64
	limit    Limit
	tokens   Quantity
	until    time.Time
}

// A child is the state of a child bucket that receives Grants. At most one of its
// reservations is in effect there, so the maximum of each part counts.
type child struct {
	sequence     uint64
	demand       Quantity
	unmet        Quantity
	loan         bool
	lastSeen     time.Time
	reservations []reservation
}

// reserved returns the most that the child may hold.
func (c *child) reserved() Limit {
	total := Limit{}
	for _, r := range c.reservations {
		total = total.Max(r.limit)
	}
	return total
}

// expire drops the reservations that have certainly expired at the child.
func (c *child) expire(now time.Time) {
	alive := c.reservations[:0]
	for _, r := range c.reservations {
		if now.Before(r.until) {
			alive = append(alive, r)
		}
	}
	c.reservations = alive
	if len(alive) == 0 {
		c.demand = 0
		c.unmet = 0
	}
}

// totals are sums over children.
type totals struct {
	reserved Limit
	lent     Limit
	demand   Quantity
	unmet    Quantity
}

func (t *totals) add(c *child) {
	reserved := c.reserved()
	t.reserved = t.reserved.Plus(reserved)
	if c.loan {
		t.lent = t.lent.Plus(reserved)
		return
	}
	t.demand += c.demand
	t.unmet += c.unmet
}

func (t *totals) remove(c *child) {
	reserved := c.reserved()
	t.reserved = t.reserved.Minus(reserved)
	if c.loan {
		t.lent = t.lent.Minus(reserved)
		return
	}
	t.demand -= c.demand
	t.unmet -= c.unmet
}

// expire drops the reservations that have expired and the children that have sent no
// request for the duration of a Grant. A late GrantRequest of such a child is harmless:
// its Grant has expired by the time it can arrive.
func (b *Bucket) expire(now time.Time) {
	if b.nextExpiry.IsZero() || now.Before(b.nextExpiry) {
		return
	}
	b.nextExpiry = time.Time{}
	b.childTotals = totals{}
	for name, c := range b.children {
		c.expire(now)
		if len(c.reservations) == 0 && !now.Before(c.lastSeen.Add(b.settings.grantDuration)) {
			delete(b.children, name)
			continue
		}
		b.childTotals.add(c)
		b.scheduleExpiry(c)
	}
}

// scheduleExpiry sets when the child has to be checked again.
func (b *Bucket) scheduleExpiry(c *child) {
	next := c.lastSeen.Add(b.settings.grantDuration)
	for _, r := range c.reservations {
		next = earliest(next, r.until)
	}
	if b.nextExpiry.IsZero() || next.Before(b.nextExpiry) {
		b.nextExpiry = next
	}
}

// confirm applies the state in a GrantRequest: only the Grant that it names can be in
// effect, reduced to the kept limit. It returns that reservation and the tokens that were
// returned or can no longer arrive.
func (c *child) confirm(req GrantRequest) (reservation, Quantity) {
	confirmed := reservation{}
	freed := Quantity(0)
	for _, r := range c.reservations {
		if r.sequence > req.Applied {
			freed += r.tokens
		}
		if r.sequence == req.Applied {
			freed += max(0, min(req.Returned, r.limit.Burst-req.Kept.Burst))
			r.limit = r.limit.Min(req.Kept)
			confirmed = r
		}
	}
	c.reservations = c.reservations[:0]
	if confirmed.sequence != 0 {
		c.reservations = append(c.reservations, confirmed)
	}
	return confirmed, freed
}

// Serve answers the GrantRequest of a child bucket. It returns false, and changes
// nothing, for a request that is a duplicate, is older than one already served, or arrives
// outside the holder's tenure.
func (b *Bucket) Serve(now time.Time, sender string, req GrantRequest) (Grant, bool) {
	b.refill(now)
	if b.isHolder() && (now.Before(b.tenureStart) || !now.Before(b.own.until)) {
		return Grant{}, false
	}
	c, ok := b.children[sender]
	if !ok {
		c = &child{}
		b.children[sender] = c
	}
	if req.Sequence <= c.sequence {
		return Grant{}, false
	}
	b.childTotals.remove(c)
	c.sequence = req.Sequence
	c.lastSeen = now
	c.loan = req.Loan
	c.demand = req.Demand
	c.unmet = 0
	if now.Before(b.own.from) {
		g := b.extendGrant(now, c, req)
		b.childTotals.add(c)
		b.scheduleExpiry(c)
		return g, true
	}
	confirmed, freed := c.confirm(req)
	b.childTotals.add(c)
	b.level = min(b.level+freed, b.capacity(now))
	g := b.grant(now, c, confirmed, req)
	b.scheduleExpiry(c)
	return g, true
}

// extendGrant answers until the Grants of an earlier holder have expired: a Grant still in
// effect is extended without becoming larger. The sum of those Grants was within the
// limit, so the sum of the extended ones is too; it is also capped by the present limit,
// so that a lower one takes effect.
func (b *Bucket) extendGrant(now time.Time, c *child, req GrantRequest) Grant {
	g := Grant{Account: req.Account, Sequence: req.Sequence, RetryAfter: b.own.from.Sub(now)}
	if req.Applied == 0 || req.Kept.IsZero() {
		return g
	}
	confirmed, _ := c.confirm(req)
	if confirmed.sequence == 0 {
		confirmed = reservation{sequence: req.Applied, limit: req.Kept}
	}
	limit := confirmed.limit.Min(b.own.limit.Minus(b.childTotals.reserved))
	if limit != limit.Max(req.Floor) {
		return g
	}
	until := now.Add(b.settings.reservationTime(b.settings.grantDuration))
	confirmed.until = until
	next := reservation{sequence: req.Sequence, limit: limit, until: until}
	c.reservations = []reservation{confirmed, next}
	g.Limit = limit
	g.Target = limit
	g.Duration = b.settings.grantDuration
	g.Extends = true
	return g
}

// grant chooses and reserves the Grant that answers a request.
func (b *Bucket) grant(now time.Time, c *child, confirmed reservation, req GrantRequest) Grant {
	grantable, duration := b.grantable(now)
	others := b.Reserved().Minus(confirmed.limit)
	free := grantable.Minus(others)
	a := allocation{bucket: b, request: req, current: confirmed.limit, grantable: grantable, free: free}
	target, tokens := a.decide(c)
	limit := target.Max(req.Floor.Min(confirmed.limit))
	g := Grant{Account: req.Account, Sequence: req.Sequence, Limit: limit, Target: target, Duration: duration}
	if limit != target {
		g.Duration = min(duration, max(0, confirmed.until.Sub(now)))
	}
	g.RetryAfter = a.retryAfter(tokens)
	b.childTotals.remove(c)
	c.reservations = append(c.reservations, reservation{
		sequence: req.Sequence, limit: limit, until: now.Add(b.settings.reservationTime(g.Duration)),
	})
	b.childTotals.add(c)
	// Tokens that exceed the capacity after the new reservation are sent with it.
	surplus := max(0, b.level-b.capacity(now))
	maxTokens := max(0, limit.Burst-confirmed.limit.Burst)
	g.Tokens = min(b.level, maxTokens, max(tokens, surplus))
	c.reservations[len(c.reservations)-1].tokens = g.Tokens
	b.level = min(b.level-g.Tokens, b.capacity(now))
	b.childTotals.remove(c)
	c.unmet = max(0, req.Need-g.Tokens)
	b.childTotals.add(c)
	return g
}
