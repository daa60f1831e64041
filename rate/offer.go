package rate

import "time"

// Parts of a limit that the policy gives away, in eighths.
const (
	eighths = 8
	// rateEighths of the demand below are granted as rate; the rest stays in the
	// giver's bucket, where it serves whoever is short of tokens first.
	rateEighths = 7
	// holderEighths of a burst are granted ahead of demand by a holder, and
	// middleEighths by a sub-holder, which can ask for more itself.
	holderEighths = 5
	middleEighths = 5
	// lendEighths of the burst that a zone does not need are lent.
	lendEighths = 7
)

// smallestFilling is the smallest burst with which a rate is granted.
const smallestFilling = 2 * Token

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
	fair := Limit{
		Rate:  o.usable.Rate.share(o.ask.Demand, demand),
		Burst: o.usable.Burst.share(o.ask.Demand, demand).share(o.burstPart(), eighths),
	}
	granted := min(o.ask.Demand, fair.Rate, o.free.Rate).share(rateEighths, eighths)
	soon := o.bucket.settings.soon(granted)
	filling := min(max(granted.accrued(2*o.bucket.settings.fillTime()), smallestFilling), fair.Burst, o.free.Burst)
	if soon == 0 || filling < smallestFilling {
		// A rate that fills less than a few tokens would only scatter them.
		granted = 0
		filling = 0
	}
	ahead := min(o.ask.Ahead, fair.Burst, o.bucket.level.share(o.ask.Demand, demand).share(o.burstPart(), eighths))
	if fair.Burst < smallestFilling {
		ahead = 0
	}
	tokens := min(o.bucket.level, o.ask.Need+ahead)
	burst := max(o.kept.Burst, filling) + tokens
	return Limit{Rate: granted, Burst: min(burst, o.free.Burst)}, tokens
}

// burstPart returns the part of the burst that is granted ahead of demand.
func (o offer) burstPart() Quantity {
	if o.bucket.isHolder() {
		return holderEighths
	}
	return middleEighths
}

// lend decides on a loan to another zone: what this zone owns and is not about
// to need, and tokens for requests that wait there while none wait here.
func (o offer) lend() (Limit, Quantity) {
	local := o.bucket.Demand()
	others := o.bucket.sums.lent.Minus(o.kept)
	own := o.bucket.own.limit
	spare := max(0, own.Rate-local-local/4)
	burst := own.Burst.share(spare, own.Rate).share(lendEighths, eighths)
	limit := Limit{Rate: spare, Burst: burst}.Minus(others)
	limit.Rate = min(limit.Rate, o.ask.Demand)
	tokens := min(o.bucket.level.share(spare, own.Rate), o.ask.Ahead)
	if o.bucket.Unmet() == 0 {
		tokens = min(o.bucket.level, tokens+o.ask.Need)
	}
	limit.Burst = max(limit.Burst, o.kept.Burst+tokens)
	return limit.Min(o.free), tokens
}

// retryAfter estimates when the giver will have a further token to spare.
func (o offer) retryAfter(tokens Quantity) time.Duration {
	if o.ask.Need <= tokens {
		return 0
	}
	if o.bucket.mayAsk && o.bucket.retryAfter() == 0 {
		return o.bucket.settings.pace
	}
	return o.usable.Rate.timeFor(o.bucket.Unmet()+Token, longestRetryAfter)
}
