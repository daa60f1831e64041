package rate_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/rate"
	"github.com/bilberryvane/bilberryvane/trial/grantnet"
)

const (
	account = "depot"
	// grantDuration is short, so that expiry and takeover happen often.
	grantDuration = 300 * time.Millisecond
	// maxGrantLifetime is when all grants under an earlier limit have expired: a chain of
	// holder, loan, sub-holder and entry node ends within one reservation.
	maxGrantLifetime = grantDuration + grantDuration/rate.DefaultDriftMargin
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A simulation drives a fleet with random faults and records what was admitted.
type simulation struct {
	*grantnet.Fleet
	t       *rapid.T
	random  *rand.Rand
	zones   int
	history grantnet.LimitHistory
}

func newSimulation(t *rapid.T) *simulation {
	r := &simulation{t: t, zones: rapid.IntRange(1, 3).Draw(t, "zones")}
	r.random = rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
	limit := r.randomLimit()
	options := []rate.Option{
		rate.WithGrantDuration(grantDuration), rate.WithRenewInterval(20 * time.Millisecond),
		rate.WithMinRequestInterval(2 * time.Millisecond),
		rate.WithTimeout(rapid.SampledFrom([]time.Duration{20 * time.Millisecond, grantDuration}).Draw(t, "timeout")),
	}
	plan := grantnet.Spec{
		Zones: r.zones, SubHolders: rapid.IntRange(0, 2).Draw(t, "sub-holders"),
		Entries: rapid.IntRange(1, 4).Draw(t, "entries"),
		Limits:  map[string]rate.Limit{account: limit}, TenureDuration: 200 * time.Millisecond,
		EntryOptions: options, SubHolderOptions: options, HolderOptions: options,
	}
	faults := grantnet.Faults{
		LossRate:      rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss"),
		DuplicateRate: rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "duplicates"),
		MaxDelay:      time.Duration(rapid.SampledFrom([]int{1, 10, 100, 400}).Draw(t, "max-delay-ms")) * time.Millisecond,
	}
	r.Fleet = grantnet.NewFleet(start, r.random, faults, plan)
	r.history = grantnet.LimitHistory{{At: start, Limit: limit}}
	r.Advance(2 * grantDuration)
	return r
}

func (r *simulation) randomLimit() rate.Limit {
	return rate.NewLimit(float64(r.random.Intn(300)), float64(r.random.Intn(60)))
}

// step performs one random event of a fleet.
func (r *simulation) step() {
	zone := r.random.Intn(r.zones)
	entry := r.random.Intn(len(r.Entries[zone]))
	switch action := rapid.IntRange(0, 31).Draw(r.t, "action"); action {
	case 0, 10:
		r.simulateArrivals(zone, false)
		r.Elect(zone)
		r.simulateArrivals(zone, false)
	case 1:
		r.Holder(zone).PausedUntil = r.Now.Add(r.randomDuration(2 * grantDuration))
	case 2:
		r.Entries[zone][entry].PausedUntil = r.Now.Add(r.randomDuration(2 * grantDuration))
	case 3:
		r.RestartEntry(zone, entry)
	case 4:
		if subs := len(r.SubHolders[zone]); subs > 0 {
			r.RestartSubHolder(zone, r.random.Intn(subs))
		}
	case 5:
		limit := r.randomLimit()
		r.history = append(r.history, grantnet.LimitChange{At: r.Now, Limit: limit})
		r.Configure(account, limit)
	case 6:
		a, b := r.random.Intn(r.zones), r.random.Intn(r.zones)
		cut := []string{r.Entries[a][0].Zone, r.Entries[b][0].Zone}
		r.Reachable = func(x, y string) bool { return x == y || x != cut[0] || y != cut[1] }
	case 7:
		r.Reachable = func(string, string) bool { return true }
	case 8:
		r.Elect(zone).Limiter = nil
	case 9:
		r.Advance(r.randomDuration(2 * grantDuration))
	default:
		r.simulateArrivals(zone, action%2 == 0)
	}
}

// simulateArrivals lets requests arrive for some time, at one node or across a zone.
func (r *simulation) simulateArrivals(zone int, single bool) {
	for range r.random.Intn(80) {
		entry := 0
		if !single {
			entry = r.random.Intn(len(r.Entries[zone]))
		}
		for range r.random.Intn(4) {
			r.Arrive(r.Entries[zone][entry], account, r.randomDuration(50*time.Millisecond))
		}
		r.Advance(r.randomDuration(10 * time.Millisecond))
	}
}

func (r *simulation) randomDuration(longest time.Duration) time.Duration {
	return time.Duration(r.random.Int63n(int64(longest)))
}

func admitted(outcomes []grantnet.Outcome) []time.Time {
	var times []time.Time
	for _, o := range outcomes {
		if o.Admitted {
			times = append(times, o.Decided)
		}
	}
	return times
}

// TestEveryWindowWithinLimit checks that no window admits more than burst + rate*t, for
// random interleavings of nodes, message faults, pauses, restarts, takeovers, partitions
// and configuration changes.
func TestEveryWindowWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSimulation(t)
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			r.step()
		}
		if err := r.history.CheckWindows(admitted(r.Outcomes), maxGrantLifetime); err != nil {
			t.Fatal(err)
		}
	})
}

// TestAdmitsWithinLimit checks that the bound does not come from excessive refusals:
// steady demand below the rate, spread over all nodes, is admitted.
func TestAdmitsWithinLimit(t *testing.T) {
	is := is.New(t)
	plan := grantnet.Spec{
		Zones: 3, Entries: 3, SubHolders: 2, TenureDuration: 2 * time.Second,
		Limits: map[string]rate.Limit{account: rate.NewLimit(100, 100)},
	}
	faults := grantnet.Faults{MinDelay: time.Millisecond, MaxDelay: 2 * time.Millisecond}
	f := grantnet.NewFleet(start, rand.New(rand.NewSource(1)), faults, plan)
	f.Advance(rate.DefaultGrantDuration + time.Second)
	for i := range 1000 {
		f.Arrive(f.Entries[i%3][i%2], account, 100*time.Millisecond)
		f.Advance(15 * time.Millisecond)
	}
	f.Advance(time.Second)
	is.Equal(len(f.Outcomes), 1000)
	is.Equal(len(admitted(f.Outcomes)), 1000)
}
