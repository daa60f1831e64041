package rate

import "time"

// Fractions of a limit that are granted, in eighths.
const (
	eighths = 8
	// rateEighths of the demand of the children are granted as rate; the rest stays in
	// the grantor's bucket for the children that run short of tokens first.
	rateEighths = 7
	// holderBurstEighths of a burst are granted ahead of demand by a holder, and
	// subHolderBurstEighths by a sub-holder, which can request more itself.
	holderBurstEighths    = 5
	subHolderBurstEighths = 5
	// loanBurstEighths of the burst that a zone does not need are lent.
	loanBurstEighths = 7
)

// minGrantBurst is the smallest burst that a rate is granted with.
const minGrantBurst = 2 * Token

// maxRetryAfter is the longest retry delay returned for a refused request.
const maxRetryAfter = 5 * time.Second

// An allocation holds the inputs for choosing a Grant. The choice affects how well demand
// is met, but never the bound, because free caps it.
type allocation struct {
	bucket    *Bucket
	request   GrantRequest
	current   Limit
	grantable Limit
	free      Limit
}

// decide returns the limit for the child and the tokens to send.
func (a allocation) decide(c *child) (Limit, Quantity) {
	if c.loan {
		return a.lend()
	}
	demand := max(a.bucket.Demand(), 1)
	fairShare := Limit{
		Rate:  a.grantable.Rate.share(a.request.Demand, demand),
		Burst: a.grantable.Burst.share(a.request.Demand, demand).share(a.burstEighths(), eighths),
	}
	granted := min(a.request.Demand, fairShare.Rate, a.free.Rate).share(rateEighths, eighths)
	expected := a.bucket.settings.expectedUse(granted)
	fillBurst := min(max(granted.accrued(2*a.bucket.settings.fillTime()), minGrantBurst), fairShare.Burst, a.free.Burst)
	if expected == 0 || fillBurst < minGrantBurst {
		// A rate that fills less than a few tokens would only spread them over children.
		granted = 0
		fillBurst = 0
	}
	prefetch := min(a.request.Prefetch, fairShare.Burst, a.bucket.level.share(a.request.Demand, demand).share(a.burstEighths(), eighths))
	if fairShare.Burst < minGrantBurst {
		prefetch = 0
	}
	tokens := min(a.bucket.level, a.request.Need+prefetch)
	burst := max(a.current.Burst, fillBurst) + tokens
	return Limit{Rate: granted, Burst: min(burst, a.free.Burst)}, tokens
}

// burstEighths returns the fraction of the burst that is granted ahead of demand.
func (a allocation) burstEighths() Quantity {
	if a.bucket.isHolder() {
		return holderBurstEighths
	}
	return subHolderBurstEighths
}

// lend chooses a loan to another zone: what this zone owns and does not expect to need,
// and tokens for requests that wait there if none wait here.
func (a allocation) lend() (Limit, Quantity) {
	local := a.bucket.Demand()
	others := a.bucket.childTotals.lent.Minus(a.current)
	own := a.bucket.own.limit
	spare := max(0, own.Rate-local-local/4)
	burst := own.Burst.share(spare, own.Rate).share(loanBurstEighths, eighths)
	limit := Limit{Rate: spare, Burst: burst}.Minus(others)
	limit.Rate = min(limit.Rate, a.request.Demand)
	tokens := min(a.bucket.level.share(spare, own.Rate), a.request.Prefetch)
	if a.bucket.Unmet() == 0 {
		tokens = min(a.bucket.level, tokens+a.request.Need)
	}
	limit.Burst = max(limit.Burst, a.current.Burst+tokens)
	return limit.Min(a.free), tokens
}

// retryAfter estimates when the grantor will have a further token to spare.
func (a allocation) retryAfter(tokens Quantity) time.Duration {
	if a.request.Need <= tokens {
		return 0
	}
	if a.bucket.hasParents && a.bucket.retryAfter() == 0 {
		return a.bucket.settings.minRequestInterval
	}
	return a.grantable.Rate.timeFor(a.bucket.Unmet()+Token, maxRetryAfter)
}
