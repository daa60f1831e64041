package quota_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

// admitted sends perSecond requests each second and returns the number admitted.
func admitted(q *quota.Quota, c *clock.Fake, a traffic.Account, perSecond, seconds int) int {
	n := 0
	for range perSecond * seconds {
		c.Advance(time.Second / time.Duration(perSecond))
		if _, ok := q.Take(c.Now(), a, 0); ok {
			n++
		}
	}
	return n
}

func TestAccountWithoutRateIsUnlimited(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New("own", true, c)
	is.Equal(admitted(q, c, traffic.Account{Name: "free"}, 1000, 1), 1000)
}

// Guards against a node that takes a full rate after a restart during which neither
// the store nor any other node is reachable.
func TestUnknownFleetSizeLimitsShare(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New("own", false, c)
	depot := traffic.Account{Name: "depot", Rate: 160, Burst: 160}
	got := admitted(q, c, depot, 500, 2)
	is.True(got <= 2*10+10) // 1/16 of the rate and, once, of the burst
	q.Rebalance(nil)
	is.True(admitted(q, c, depot, 500, 4) > 300) // the fleet has no other hosts
}

func TestRateChangeAppliesImmediately(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New("own", true, c)
	q.Rebalance(nil)
	is.True(admitted(q, c, traffic.Account{Name: "depot", Rate: 100, Burst: 10}, 200, 2) >= 200)
	lowered := admitted(q, c, traffic.Account{Name: "depot", Rate: 10, Burst: 10}, 200, 2)
	is.True(lowered <= 2*10+10)
}

func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New("own", true, c)
	depot := traffic.Account{Name: "depot", Rate: 100, Burst: 10}
	q.Rebalance([]string{"other"})
	admitted(q, c, depot, 90, 2)
	q.RecordDemand("other", map[string]float64{"depot": 10})
	q.Rebalance([]string{"other"})
	is.True(q.Demand()["depot"] > 60)
	got := admitted(q, c, depot, 80, 1)
	is.True(got >= 75) // this host has 9/10 of the demand
}

// Guards against exceeding or underusing a small rate in a large fleet, in which every
// host requests it at once and borrows from its holders.
func TestLargeFleetEnforcesSmallRate(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	const hosts = 59
	names := make([]string, hosts)
	for i := range names {
		names[i] = fmt.Sprintf("host-%d", i)
	}
	fleet := make(map[string]*quota.Quota)
	for i, name := range names {
		fleet[name] = quota.New(name, true, c)
		fleet[name].Rebalance(slices.Delete(slices.Clone(names), i, i+1))
	}
	depot := traffic.Account{Name: "depot", Rate: 15, Burst: 15}
	holders := fleet[names[0]].Holders("depot")
	is.Equal(len(holders), 12)
	is.True(fleet[names[0]].Demand() == nil) // not reported: shares don't depend on it
	requestAll := func() int {
		served := 0
		for _, name := range names {
			_, ok := fleet[name].Take(c.Now(), depot, 0)
			for i := 0; !ok && i < len(holders); i++ {
				ok = fleet[holders[i]].Lend(c.Now(), depot, 0)
			}
			if ok {
				served++
			}
		}
		return served
	}
	served := 0
	for range 50 { // five seconds above the rate, with a full burst
		c.Advance(100 * time.Millisecond)
		served += requestAll()
	}
	is.True(served >= 75)         // the rate is used
	is.True(served <= 15*5+15+12) // and the burst once; the platform grants 119
	wait, ok := fleet[names[0]].Take(c.Now(), depot, 0)
	is.True(!ok)
	is.True(wait > 0 && wait <= 5*time.Second)
}
