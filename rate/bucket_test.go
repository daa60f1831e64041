package rate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/rate"
)

const (
	holder = "zone-a"
	first  = "entry-1#1"
	second = "entry-2#1"
)

var limit = rate.NewLimit(10, 10)

// newFullBucket returns a full holder's bucket and the current time.
func newFullBucket() (*rate.Bucket, time.Time) {
	b := rate.NewHolderBucket(rate.Tenure{From: start, Until: start.Add(time.Hour)}, limit)
	return b, start.Add(time.Minute)
}

// requestTokens requests tokens and applies the answer.
func requestTokens(b, child *rate.Bucket, now time.Time, name string, tokens float64) rate.GrantRequest {
	request := child.RequestGrant(now, account, holder, rate.Want{Need: rate.Tokens(tokens)})
	g, _ := b.Serve(now, name, request)
	child.Apply(now, holder, g)
	return request
}

func TestDuplicateRequestGetsNoTokens(t *testing.T) {
	is := is.New(t)
	b, now := newFullBucket()
	child := rate.NewBucket()
	one := requestTokens(b, child, now, first, 4)
	two := requestTokens(b, child, now, first, 8)
	for _, request := range []rate.GrantRequest{one, two} {
		_, ok := b.Serve(now, first, request)
		is.True(!ok)
	}
	is.Equal(child.Level(now)+b.Level(now), limit.Burst)
}

func TestLostGrantStaysReserved(t *testing.T) {
	is := is.New(t)
	b, now := newFullBucket()
	child := rate.NewBucket()
	_, ok := b.Serve(now, first, child.RequestGrant(now, account, holder, rate.Want{Need: rate.Tokens(4)}))
	is.True(ok)
	is.Equal(b.Level(now), rate.Tokens(6))
	is.Equal(b.Level(now.Add(rate.DefaultGrantDuration)), rate.Tokens(6)) // it may still be in effect
	later := now.Add(rate.DefaultGrantDuration + time.Second)
	b.Level(later)
	is.Equal(b.Level(later.Add(time.Second)), rate.Tokens(10))
}

func TestSmallerGrantReservesLargerUntilConfirmed(t *testing.T) {
	is := is.New(t)
	b, now := newFullBucket()
	child, other := rate.NewBucket(), rate.NewBucket()
	demand := rate.Want{Demand: rate.Tokens(8), Need: rate.Tokens(1)}
	g, _ := b.Serve(now, first, child.RequestGrant(now, account, holder, demand))
	child.Apply(now, holder, g)
	held := child.Limit(now).Rate
	is.True(held > rate.Tokens(5))
	_, _ = b.Serve(now, first, child.RequestGrant(now, account, holder, rate.Want{})) // the answer is lost
	g, _ = b.Serve(now, second, other.RequestGrant(now, account, holder, rate.Want{Demand: limit.Rate}))
	is.True(g.Limit.Rate+held <= limit.Rate)
}

func TestNewHolderWaitsAndStartsEmpty(t *testing.T) {
	is := is.New(t)
	old, now := newFullBucket()
	child := rate.NewBucket()
	requestTokens(old, child, now, first, 4)
	takeover := now.Add(time.Second)
	b := rate.NewHolderBucket(rate.Tenure{From: takeover, Until: takeover.Add(time.Hour)}, limit)
	g, ok := b.Serve(takeover.Add(-time.Millisecond), second, rate.NewBucket().RequestGrant(now, account, holder, rate.Want{}))
	is.True(!ok)                                                                 // the old holder may still serve
	is.Equal(b.Level(takeover.Add(rate.DefaultGrantDuration)), rate.Quantity(0)) // its Grants may still be in effect
	started := takeover.Add(rate.DefaultGrantDuration + rate.DefaultGrantDuration/rate.DefaultDriftMargin)
	is.Equal(b.Level(started), rate.Quantity(0))
	is.Equal(b.Level(started.Add(time.Second/2)), rate.Tokens(5))
	is.Equal(g, rate.Grant{})
}

func TestNewHolderExtendsOnlyActiveGrants(t *testing.T) {
	is := is.New(t)
	old, now := newFullBucket()
	child := rate.NewBucket()
	requestTokens(old, child, now, first, 4)
	b := rate.NewHolderBucket(rate.Tenure{From: now, Until: now.Add(time.Hour)}, limit)
	requestedAt := now.Add(time.Second)
	g, ok := b.Serve(requestedAt, first, child.RequestGrant(requestedAt, account, holder, rate.Want{Need: limit.Burst}))
	is.True(ok)
	is.Equal(g.Tokens, rate.Quantity(0))
	is.True(!child.Apply(now.Add(rate.DefaultGrantDuration), holder, g)) // the Grant that it extends has expired
	is.Equal(child.Level(now.Add(rate.DefaultGrantDuration)), rate.Quantity(0))
}

func TestGrantDurationStartsAtRequest(t *testing.T) {
	is := is.New(t)
	b, now := newFullBucket()
	child := rate.NewBucket()
	g, _ := b.Serve(now, first, child.RequestGrant(now, account, holder, rate.Want{Need: rate.Tokens(4)}))
	is.True(child.Apply(now.Add(rate.DefaultGrantDuration/2), holder, g))
	is.True(!child.Take(now.Add(rate.DefaultGrantDuration), rate.Token))
}

func TestExpiredHolderServesNothing(t *testing.T) {
	is := is.New(t)
	until := start.Add(time.Minute)
	b := rate.NewHolderBucket(rate.Tenure{From: start, Until: until}, limit)
	is.True(!b.Extend(until, until.Add(time.Minute)))
	_, ok := b.Serve(until, first, rate.NewBucket().RequestGrant(until, account, holder, rate.Want{Need: rate.Token}))
	is.True(!ok)
	is.True(!b.Take(until, rate.Token))
}

func TestLoanIsReservedAtLender(t *testing.T) {
	is := is.New(t)
	lender, now := newFullBucket()
	borrower := rate.NewHolderBucket(rate.Tenure{From: start, Until: start.Add(time.Hour)}, limit)
	want := rate.Want{Demand: limit.Rate, Need: limit.Burst, Loan: true}
	g, ok := lender.Serve(now, first, borrower.RequestGrant(now, account, holder, want))
	is.True(ok)
	is.True(g.Limit.Rate == limit.Rate && g.Tokens > rate.Tokens(5)) // the lender needs nothing itself
	kept := limit.Burst - g.Tokens
	is.Equal(lender.Level(now), kept)
	is.Equal(lender.Level(now.Add(rate.DefaultGrantDuration)), kept) // the loan may still be in effect
	ended := now.Add(rate.DefaultGrantDuration + rate.DefaultGrantDuration/rate.DefaultDriftMargin)
	lender.Level(ended)
	is.Equal(lender.Level(ended.Add(time.Second/10)), kept+rate.Token)
}
