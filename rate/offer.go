package rate

import "time"

// Parts of a limit that the policy gives away, in eighths.
const (
	eighths = 8
	// rateEighths of the demand below are granted as rate; the rest stays in the
	// giver's bucket, where it serves whoever is short of tokens first.
	rateEighths = 7
	// burstEighths of a burst are granted ahead of demand.
	burstEighths = 5
	// lendEighths of the burst that a zone does not need are lent.
	lendEighths = 7
)

// longestRetryAfter bounds the time that a refused request is told to wait.
const longestRetryAfter = 5 * time.Second

// An offer is the state in which a Grant is decided. The decision affects how
// well demand is met, never the bound: free caps it.
type offer struct {
	bucket *Bucket
	ask    Ask
	kept   Limit
	usable Limit
	free   Limit
}

// decide returns the limit that the child should have and the tokens to send.
func (o offer) decide(c *child) (Limit, Quantity) {
	if c.loan {
		return o.lend()
	}
	demand := max(o.bucket.Demand(), 1)
	fairRate := o.usable.Rate.share(o.ask.Demand, demand)
	fairBurst := o.usable.Burst.share(o.ask.Demand, demand)
	granted := min(o.ask.Demand, fairRate, o.free.Rate)
	granted = granted.share(rateEighths, eighths)
	ahead := min(o.ask.Ahead, min(fairBurst, o.bucket.level.share(o.ask.Demand, demand)).share(burstEighths, eighths))
	tokens := min(o.bucket.level, o.ask.Need+ahead)
	filling := min(granted.accrued(4*o.bucket.settings.cycle), fairBurst.share(burstEighths, eighths))
	burst := max(o.kept.Burst, min(o.kept.Burst+tokens, o.free.Burst))
	if o.ask.Need+o.ask.Ahead > 0 || burst < filling {
		burst = max(burst, min(filling+tokens, o.free.Burst))
	}
	return Limit{Rate: granted, Burst: min(burst, o.free.Burst)}, tokens
}

// lend decides on a loan to another zone: only what this zone owns and is not
// about to need.
func (o offer) lend() (Limit, Quantity) {
	local := o.bucket.Demand()
	lent := o.bucket.sums.lent
	own := o.bucket.own.limit
	spare := max(0, own.Rate-local-local/4)
	burst := own.Burst.share(spare, own.Rate).share(lendEighths, eighths)
	limit := Limit{Rate: spare, Burst: burst}.Minus(lent.Minus(o.kept)).Min(o.free)
	limit.Rate = min(limit.Rate, o.ask.Demand)
	tokens := min(o.bucket.level.share(spare, own.Rate), o.ask.Need+o.ask.Ahead)
	return limit, tokens
}

// retryAfter estimates when the giver will have a further token to spare.
func (o offer) retryAfter(tokens Quantity) time.Duration {
	if o.ask.Need <= tokens {
		return 0
	}
	wait := o.usable.Rate.timeFor(Token, longestRetryAfter)
	if !o.bucket.isHolder() {
		return min(wait, o.bucket.settings.pace)
	}
	return wait
}
