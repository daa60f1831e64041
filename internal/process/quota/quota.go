// Package quota enforces the rate limits of client accounts at one node. In a small
// fleet every host has a share of each rate, which follows its demand; package rate
// implements the split. In a larger fleet one host of each availability zone holds the
// zone's share of an account's rate, and other hosts ask it for each request. Package
// mesh exchanges the demand and carries the requests to holders.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
	"github.com/bilberryvane/bilberryvane/rate"
)

// minReportedDemand is the minimum demand that is reported to other hosts, in requests
// per second.
const minReportedDemand = 0.05

// assumedHosts is the assumed fleet size while the size is unknown. It limits a node
// that starts without a connection to the others to a small share of each rate.
const assumedHosts = 16

// maxSharingHosts is the maximum number of hosts for which each host has a share of every
// rate. In a larger fleet the shares of most accounts would be below one request, and one
// host of each zone holds the share of its zone.
const maxSharingHosts = 20

// reserveByRank is the fraction of an account's burst at a host that routes of a rank
// must leave for routes of more important ranks.
var reserveByRank = [...]float64{0, 0.2, 0.45}

// A Quota enforces the rates of accounts. It is safe for concurrent use.
type Quota struct {
	host      string
	clock     clock.Clock
	tolerance Tolerance
	startedAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// firstStart reports whether no earlier process of the host has used tokens.
	firstStart bool
	hosts      int
	// runningAt is when the process was last known to run, in a fleet with holders.
	runningAt time.Time
	splits    map[string]*rate.SplitBucket
	// placement is used only above maxSharingHosts.
	placement *placement
	limits    map[string]limit
	// demand is the last reported demand by host.
	demand map[string]demandReport
	// left is set once the host has given up its parts because it shuts down.
	left bool
}

// A demandReport is what a host reports of the accounts.
type demandReport struct {
	// demand is in requests per second, by account.
	demand     map[string]float64
	statements Statements
	receivedAt time.Time
}

// Statements are what a process states about its parts of the rates.
type Statements struct {
	// Process identifies the process; zero if it states nothing.
	Process int64 `cbor:"1,keyasint"`
	// Accounts are the statements by account. The process uses no part of those that are
	// missing.
	Accounts map[string]rate.Statement `cbor:"2,keyasint,omitempty"`
}

type limit struct{ rate, burst float64 }

// New returns the Quota of a host in a fleet of unknown size. firstStart states that no
// earlier process of the host has used tokens; otherwise the buckets start empty.
func New(host, zone string, firstStart bool, t Tolerance, c clock.Clock) *Quota {
	return &Quota{
		host: host, clock: c, firstStart: firstStart, tolerance: t, startedAt: c.Now(), hosts: assumedHosts,
		splits: make(map[string]*rate.SplitBucket), placement: newPlacement(host, zone, c.Now()),
		limits: make(map[string]limit),
		demand: make(map[string]demandReport),
	}
}

// Take takes one request from an account's rate for a route of a rank. If none is
// left, it returns false and the time after which to retry.
func (q *Quota) Take(now time.Time, a traffic.Account, rank int) (time.Duration, bool) {
	if a.Rate <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.accountSplit(now, a).Take(now, reserve(rank))
}

// A Loan is the result of Lend.
type Loan struct {
	Granted bool
	// Low reports that a granted request left few in the share.
	Low bool
	// RetryAfter is the time after which to retry if the loan was not granted. Only
	// holders of a share report it.
	RetryAfter time.Duration
}

// Lend takes one request from an account's rate for a route of a rank on behalf of
// another host.
func (q *Quota) Lend(now time.Time, a traffic.Account, rank int) Loan {
	if a.Rate <= 0 {
		return Loan{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.accountSplit(now, a)
	if !q.usesHolders() {
		return Loan{Granted: s.Lend(now, reserve(rank))}
	}
	if q.paused(now) {
		return Loan{RetryAfter: maxRunningGap}
	}
	wait, ok := s.Take(now, reserve(rank))
	return Loan{Granted: ok, Low: s.Level() < lowLevel, RetryAfter: wait}
}

func reserve(rank int) float64 { return reserveByRank[min(max(0, rank), len(reserveByRank)-1)] }

// Return returns the token that Take took for a request that was refused afterwards.
func (q *Quota) Return(now time.Time, a traffic.Account) {
	if a.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.accountSplit(now, a).Return(now)
}

// accountSplit returns the host's share of an account's rate, created on first use and
// adjusted to a changed configuration. mu must be held.
func (q *Quota) accountSplit(now time.Time, a traffic.Account) *rate.SplitBucket {
	configured := limit{a.Rate, a.Burst}
	s, ok := q.splits[a.Name]
	if !ok {
		s = rate.NewSplitBucket(now, a.Rate, a.Burst, q.hosts)
		if !q.firstStart {
			s.Clear()
		}
		switch {
		case q.usesHolders():
			s = q.newHolderBucket(now, a)
		case q.left:
			s.Leave(now)
		}
		q.splits[a.Name] = s
		q.limits[a.Name] = configured
	}
	if q.limits[a.Name] != configured {
		q.limits[a.Name] = configured
		if q.usesHolders() {
			configured = q.tolerance.widened(a)
		}
		s.SetLimit(now, configured.rate, configured.burst)
	}
	return s
}

// usesHolders reports whether only some hosts hold each rate. mu must be held.
func (q *Quota) usesHolders() bool { return q.hosts > maxSharingHosts }

// Demand returns the recent requests per second by account, or nil in a fleet with
// holders, where the shares don't depend on demand.
func (q *Quota) Demand() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.usesHolders() {
		return nil
	}
	now := q.clock.Now()
	demand := make(map[string]float64, len(q.splits))
	for name, s := range q.splits {
		if d := s.Demand(now); d > minReportedDemand {
			demand[name] = math.Round(d*16) / 16
		}
	}
	return demand
}

// State returns what this host states to the other hosts about its parts of the rates; zero
// in a fleet with holders.
func (q *Quota) State() Statements {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.usesHolders() {
		return Statements{}
	}
	now := q.clock.Now()
	accounts := make(map[string]rate.Statement, len(q.splits))
	for name, s := range q.splits {
		accounts[name] = s.State(now)
	}
	return Statements{Process: q.startedAt.UnixMilli(), Accounts: accounts}
}

// RecordDemand records the demand at another host, and what it states about its parts.
func (q *Quota) RecordDemand(host string, demand map[string]float64, s Statements) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demand[host] = demandReport{demand, s, q.clock.Now()}
}

// Leave gives up the host's parts of the rates in a small fleet, before other hosts learn that
// it shuts down. It goes on borrowing from them.
func (q *Quota) Leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.usesHolders() {
		return
	}
	q.left = true
	now := q.clock.Now()
	for _, s := range q.splits {
		s.Leave(now)
	}
}

// Rebalance splits the rates between this host and the other hosts of the fleet. In a
// small fleet, a host that stopped reporting keeps its part; a host no longer listed
// has none. leaving states that this host is shutting down and holds no rate.
func (q *Quota) Rebalance(others []Member, leaving bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.hosts = len(others) + 1
	if q.usesHolders() {
		q.markRunning(now)
		if q.placement.update(now, others, leaving) {
			q.assignHolderShares(now)
		}
		return
	}
	if !q.left {
		q.splitByDemand(now, others)
	}
}

// splitByDemand sets the shares of a small fleet. mu must be held.
func (q *Quota) splitByDemand(now time.Time, others []Member) {
	listed := make(map[string]bool, len(others))
	for _, m := range others {
		listed[m.Host] = true
	}
	for host := range q.demand {
		if !listed[host] {
			delete(q.demand, host)
		}
	}
	for name, s := range q.splits {
		demands := make([]rate.HostDemand, 0, len(others))
		for _, m := range others {
			r, ok := q.demand[m.Host]
			demands = append(demands, rate.HostDemand{
				Host: m.Host, Demand: r.demand[name], Age: now.Sub(r.receivedAt),
				Stated: ok && r.statements.Process != 0, Process: r.statements.Process, Statement: r.statements.Accounts[name],
			})
		}
		s.Rebalance(now, q.host, demands)
	}
}
