package main

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"github.com/bilberryvane/bilberryvane/rate"
	"github.com/bilberryvane/bilberryvane/trial/grantnet"
)

const (
	zones          = 3
	entriesPerZone = 3
	accounts       = 8
	// patience is how long a request may wait for a token.
	patience = 100 * time.Millisecond
	// tick is the step in which requests arrive.
	tick = time.Millisecond
	// warmUp passes before requests are counted.
	warmUp = rate.DefaultGrantDuration + 2*time.Second
	// tenure is how long a holder serves without being extended.
	tenure = 1500 * time.Millisecond
	// takeoverTime is what a new holder takes to be elected after a lapse.
	takeoverTime = 100 * time.Millisecond
	// loud is the account that exceeds its rate in some scenarios.
	loud = "account-0"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	calm  = grantnet.Faults{MinDelay: 250 * time.Microsecond, MaxDelay: 500 * time.Microsecond}
)

// A variant is the policy under test or a baseline.
type variant struct {
	name   string
	change func(*grantnet.Spec)
	static bool
}

var variants = []variant{
	{name: "grants", change: func(*grantnet.Spec) {}},
	{name: "no-prefetch", change: func(p *grantnet.Spec) {
		p.EntryOptions = append(p.EntryOptions, rate.WithoutPrefetch())
	}},
	{name: "no-loans", change: func(p *grantnet.Spec) { p.NoCrossZoneRequests = true }},
	{name: "static-split", change: func(*grantnet.Spec) {}, static: true},
}

// A scenario gives each account's demand as a part of its rate, where it enters,
// and what happens to the fleet.
type scenario struct {
	name   string
	demand func(account int) float64
	place  func(at time.Duration, account int, random *rand.Rand) (zone, entry int)
	fault  func(t *trial, at time.Duration)
}

func steady(part float64) func(int) float64 { return func(int) float64 { return part } }

func anywhere(_ time.Duration, _ int, random *rand.Rand) (int, int) {
	return random.Intn(zones), random.Intn(entriesPerZone)
}

func oneHost(_ time.Duration, account int, _ *rand.Rand) (int, int) {
	return account % zones, account % entriesPerZone
}

// moving changes zone and host every three seconds.
func moving(at time.Duration, account int, _ *rand.Rand) (int, int) {
	turn := int(at/(3*time.Second)) + account
	return turn % zones, turn / zones % entriesPerZone
}

func nothing(*trial, time.Duration) {}

func killHolder(t *trial, at time.Duration) {
	if at == 10*time.Second {
		t.fleet.Holder(0).Limiter = nil
	}
	if at == 10*time.Second+tenure+takeoverTime {
		t.fleet.Elect(0)
	}
}

func cutZone(t *trial, at time.Duration) {
	if at == 10*time.Second {
		t.fleet.Reachable = func(a, b string) bool { return a == b || a != "zone-0" && b != "zone-0" }
	}
	if at == 20*time.Second {
		t.fleet.Reachable = func(string, string) bool { return true }
	}
}

func loseMessages(t *trial, at time.Duration) {
	if at == 10*time.Second {
		t.fleet.Faults.LossRate = 0.1
	}
	if at == 20*time.Second {
		t.fleet.Faults.LossRate = 0
	}
}

func loudFirst(account int) float64 {
	if account == 0 {
		return 5
	}
	return 0.8
}

var scenarios = []scenario{
	{"calm-even", steady(0.8), anywhere, nothing},
	{"one-host", steady(0.8), oneHost, nothing},
	{"moving", steady(0.8), moving, nothing},
	{"one-at-5x", loudFirst, anywhere, nothing},
	{"one-at-5x-moving", loudFirst, moving, nothing},
	{"holder-killed", steady(0.8), anywhere, killHolder},
	{"holder-killed-moving", steady(0.8), moving, killHolder},
	{"zone-cut", steady(0.8), anywhere, cutZone},
	{"zone-cut-one-host", steady(0.8), oneHost, cutZone},
	{"loss-10%", steady(0.8), moving, loseMessages},
}

// A trial drives one fleet.
type trial struct {
	fleet  *grantnet.Fleet
	random *rand.Rand
	limits map[string]rate.Limit
}

// rates are those of the accounts in requests a second: a few are large.
var rates = [accounts]float64{200, 400, 200, 100, 50, 20, 5, 2}

func newTrial(random *rand.Rand, v variant) *trial {
	t := &trial{random: random, limits: map[string]rate.Limit{}}
	for i, perSecond := range rates {
		t.limits[accountName(i)] = rate.NewLimit(perSecond, max(10, perSecond))
	}
	plan := grantnet.Spec{
		Zones: zones, Entries: entriesPerZone, Limits: t.limits, TenureDuration: tenure,
	}
	v.change(&plan)
	t.fleet = grantnet.NewFleet(start, random, calm, plan)
	if v.static {
		t.split()
	}
	t.fleet.Advance(warmUp)
	return t
}

// split gives each entry node a fixed part of each limit.
func (t *trial) split() {
	forever := rate.Tenure{From: start.Add(-time.Minute), Until: start.Add(24 * time.Hour)}
	for _, zone := range t.fleet.Entries {
		for _, node := range zone {
			node.ClockOffset = 0
			t.fleet.RestartNode(node, rate.NewHolderLimiter(node.Name, forever, parts{t}, alone{}))
		}
	}
}

// parts are the shares of a static split.
type parts struct{ t *trial }

// Share returns an equal part of an account's limit for each entry node.
func (p parts) Share(account string) (rate.Limit, bool) {
	l, ok := p.t.limits[account]
	return l.Scale(1.0 / (zones * entriesPerZone)), ok
}

// alone is a router without receivers.
type alone struct{}

// Receivers returns none.
func (alone) Receivers(string) []string { return nil }

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// run lets requests arrive as a Poisson process.
func (t *trial) run(s scenario, duration time.Duration) result {
	for at := time.Duration(0); at < duration; at += tick {
		s.fault(t, at)
		for i, perSecond := range rates {
			for range poisson(t.random, perSecond*s.demand(i)*tick.Seconds()) {
				zone, entry := s.place(at, i, t.random)
				t.fleet.Arrive(t.fleet.Entries[zone][entry], accountName(i), patience)
			}
		}
		t.fleet.Advance(tick)
	}
	t.fleet.Advance(time.Second)
	return t.judge(s.demand(0) > 1, duration)
}

func poisson(random *rand.Rand, mean float64) int {
	limit := math.Exp(-mean)
	count := 0
	for product := random.Float64(); product > limit; product *= random.Float64() {
		count++
	}
	return count
}

// A result is what a run gave. The loud account counts apart.
type result struct {
	requests int
	wrongful int
	// longest is the longest time in which an account had wrongful refusals only.
	longest time.Duration
	// wait is the 99th percentile of what admitted requests waited.
	wait time.Duration
	// loudUsed is the part of burst + rate*t that the loud account got.
	loudUsed float64

	holderMessages    float64
	subHolderMessages float64
}

// judge compares each refusal with a single bucket that admits what the fleet
// admitted: the refusal is wrongful if that bucket had a token.
func (t *trial) judge(hasLoud bool, duration time.Duration) result {
	var r result
	var waits []time.Duration
	byAccount := map[string][]grantnet.Outcome{}
	for _, o := range t.fleet.Outcomes {
		byAccount[o.Account] = append(byAccount[o.Account], o)
	}
	for account, outcomes := range byAccount {
		j := newJudge(t.limits[account])
		for _, o := range outcomes {
			j.decide(o)
			if o.Admitted {
				waits = append(waits, o.Decided.Sub(o.Arrived))
			}
		}
		if hasLoud && account == loud {
			l := t.limits[account]
			r.loudUsed = float64(j.admitted) / (l.Burst.Float() + l.Rate.Float()*duration.Seconds())
			continue
		}
		r.requests += len(outcomes)
		r.wrongful += j.wrongful
		r.longest = max(r.longest, j.longest)
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	if len(waits) > 0 {
		r.wait = waits[len(waits)*99/100]
	}
	return r
}

// A judge is the single bucket of one account.
type judge struct {
	limit    rate.Limit
	level    float64
	at       time.Time
	admitted int
	wrongful int
	since    time.Time
	longest  time.Duration
}

func newJudge(limit rate.Limit) *judge {
	return &judge{limit: limit, level: limit.Burst.Float(), at: start}
}

func (j *judge) decide(o grantnet.Outcome) {
	j.level = min(j.limit.Burst.Float(), j.level+j.limit.Rate.Float()*o.Decided.Sub(j.at).Seconds())
	j.at = o.Decided
	switch {
	case o.Admitted:
		j.level--
		j.admitted++
		j.since = time.Time{}
	case j.level >= 1:
		j.wrongful++
		if j.since.IsZero() {
			j.since = o.Decided
		}
		j.longest = max(j.longest, o.Decided.Sub(j.since))
	}
}
