package rate

import (
	"sort"
	"time"
)

// DueRequests returns the Requests to send now: for accounts with waiting requests, with
// few tokens left, or with a Grant due for renewal. GrantRequests to one receiver share a
// Request, and the interval between Requests to one receiver is at least the minimum
// request interval. The caller delivers each Request at most once and passes the Reply to
// Apply.
func (l *Limiter) DueRequests(now time.Time) []Request {
	grantRequests := map[string][]GrantRequest{}
	for _, account := range l.Accounts() {
		a := l.accounts[account]
		receivers := l.resolver.Receivers(account)
		for i, receiver := range receivers {
			if now.Sub(l.lastSent[receiver]) < l.settings.minRequestInterval {
				continue
			}
			want := a.want(now, l.settings, receiver)
			if i > 0 && !a.bucket.isHolder() {
				want = a.fallbackWant(now, l.settings, receivers[0], want)
			}
			if a.isDue(now, l.settings, receiver, want) {
				grantRequests[receiver] = append(grantRequests[receiver], a.bucket.RequestGrant(now, account, receiver, want))
			}
		}
		l.dropIdle(now, account)
	}
	requests := make([]Request, 0, len(grantRequests))
	for receiver, batch := range grantRequests {
		l.lastSent[receiver] = now
		requests = append(requests, Request{Sender: l.identity, Receiver: receiver, GrantRequests: batch})
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].Receiver < requests[j].Receiver })
	return requests
}

// want returns the limit and tokens that an account requests from one receiver.
func (a *accountState) want(now time.Time, s settings, receiver string) Want {
	b := a.bucket
	level := b.Level(now)
	demand := a.demand.perSecond(now) + b.Demand()
	need := max(0, Token*Quantity(len(a.waiters))+b.Unmet()-level)
	if b.isHolder() {
		return b.loanWant(now, demand, need, receiver)
	}
	if !s.prefetch {
		return Want{Need: need}
	}
	prefetch := Quantity(0)
	if expected := s.expectedUse(demand); expected > 0 {
		prefetch = max(0, expected/2+Token-level)
	}
	return Want{Demand: demand, Need: need, Prefetch: prefetch}
}

// fallbackWant returns what an entry node or sub-holder requests from another zone.
func (a *accountState) fallbackWant(now time.Time, s settings, preferred string, want Want) Want {
	first, ok := a.bucket.parents[preferred]
	if !ok || !first.failing(now, s) {
		return Want{Loan: true}
	}
	return Want{Demand: want.Demand, Need: want.Need, Loan: true}
}

// loanWant returns what a holder requests as a loan from another zone: the excess of its
// demand plus a 25% margin over its own share and other loans.
func (b *Bucket) loanWant(now time.Time, demand, need Quantity, lender string) Want {
	have := b.Limit(now).Rate
	if p, ok := b.parents[lender]; ok && p.active(now) {
		have -= p.limit.Rate
	}
	excess := max(0, demand+demand/4-have)
	return Want{Demand: excess, Need: need, Prefetch: excess.accrued(4 * b.settings.renewInterval), Loan: true}
}

// isDue reports whether to send the next GrantRequest.
func (a *accountState) isDue(now time.Time, s settings, receiver string, want Want) bool {
	parent, ok := a.bucket.parents[receiver]
	if !ok {
		return want != Want{Loan: want.Loan}
	}
	since := now.Sub(parent.requestedAt)
	if parent.pending && since < s.timeout {
		return false
	}
	if want.Need > 0 && since >= s.retryDelay(parent.retryAfter) {
		return true
	}
	if since < s.renewInterval {
		low := want.Prefetch > want.Demand.accrued(s.renewInterval)
		return low && parent.retryAfter == 0 && since >= s.renewInterval/4
	}
	if want.Demand > 0 {
		return true
	}
	// Without demand, the held limit and tokens are returned once.
	return parent.active(now) && !parent.limit.IsZero()
}

// retryDelay returns the time to wait before the next request to a grantor that was short
// of tokens.
func (s settings) retryDelay(retryAfter time.Duration) time.Duration {
	if retryAfter == 0 {
		return 0
	}
	return min(max(retryAfter, s.renewInterval/4), s.renewInterval)
}

// dropIdle removes an account that holds no limit and has no demand.
func (l *Limiter) dropIdle(now time.Time, account string) {
	a := l.accounts[account]
	if l.shares != nil || len(a.waiters) > 0 || a.demand.perSecond(now) > 0 {
		return
	}
	for _, p := range a.bucket.parents {
		if p.active(now) || p.pending && now.Sub(p.requestedAt) < l.settings.timeout {
			return
		}
	}
	if a.bucket.Reserved().IsZero() {
		l.maxSequence = max(l.maxSequence, a.bucket.maxSequence)
		delete(l.accounts, account)
	}
}

// retryAfter returns the shortest retry delay of the parents; zero unless all of them
// reported a shortage.
func (b *Bucket) retryAfter() time.Duration {
	shortest := time.Duration(0)
	for _, p := range b.parents {
		if p.retryAfter == 0 {
			return 0
		}
		if shortest == 0 || p.retryAfter < shortest {
			shortest = p.retryAfter
		}
	}
	return shortest
}
