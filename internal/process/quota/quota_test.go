package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

// admitted asks so often a second for so many seconds and counts what is let in.
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

func TestAccountsWithoutARateAreNotHeld(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New(true, c)
	is.Equal(admitted(q, c, traffic.Account{Name: "free"}, 1000, 1), 1000)
}

// The pattern: a node starts again cut off from the store and from all others.
func TestNodeThatKnowsNoFleetTakesASmallPart(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New(false, c)
	depot := traffic.Account{Name: "depot", Rate: 160, Burst: 160}
	got := admitted(q, c, depot, 500, 2)
	is.True(got <= 2*10+10) // a sixteenth of the rate and, once, of the burst
	q.Split(map[string]bool{})
	is.True(admitted(q, c, depot, 500, 4) > 300) // it turns out to be alone
}

func TestChangedRateAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New(true, c)
	q.Split(nil)
	is.True(admitted(q, c, traffic.Account{Name: "depot", Rate: 100, Burst: 10}, 200, 2) >= 200)
	lowered := admitted(q, c, traffic.Account{Name: "depot", Rate: 10, Burst: 10}, 200, 2)
	is.True(lowered <= 2*10+10)
}

func TestPartsFollowDemand(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New(true, c)
	depot := traffic.Account{Name: "depot", Rate: 100, Burst: 10}
	q.Split(map[string]bool{"other": true})
	admitted(q, c, depot, 90, 2)
	q.Heard("other", map[string]float64{"depot": 10})
	q.Split(map[string]bool{"other": true})
	is.True(q.Demand()["depot"] > 60)
	got := admitted(q, c, depot, 80, 1)
	is.True(got >= 75) // nine tenths of the demand is here
}
