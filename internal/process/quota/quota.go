// Package quota enforces the rate limits of client accounts at one node. Package rate
// implements how a rate is split over the hosts; this package adds locking and
// the demand that other hosts report. Package mesh exchanges the demand.
package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
	"github.com/bilberryvane/bilberryvane/rate"
)

// minReportedDemand is the minimum demand that is reported to other hosts, in requests
// per second.
const minReportedDemand = 0.05

// maxDemandAge is the age up to which the demand reported by a host counts as current.
// Hosts of a large fleet report it every 1.5 seconds.
const maxDemandAge = 2500 * time.Millisecond

// assumedHosts is the assumed fleet size while the size is unknown. It limits a node
// that starts without a connection to the others to a small share of each rate.
const assumedHosts = 16

const (
	// maxSharingHosts is the maximum number of hosts for which each host has a share of
	// every rate. In a larger fleet the shares of most accounts would be below one request.
	maxSharingHosts = 20
	// holderCount is the number of hosts that hold a rate in a larger fleet, in equal
	// shares; the others borrow from them. With 12 holders, losing one loses 1/12 of the
	// rate, which is about the margin between an account's usage and its rate.
	holderCount = 12
)

// reserveByRank is the fraction of an account's burst at a host that routes of a rank
// must leave for routes of more important ranks.
var reserveByRank = [...]float64{0, 0.2, 0.45}

// A Quota enforces the rates of accounts. It is safe for concurrent use.
type Quota struct {
	host  string
	clock clock.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// firstStart reports whether no earlier process of the host has used tokens.
	firstStart bool
	hosts      int
	splits     map[string]*rate.SplitBucket
	// fleet lists the hosts, and holders the holders by account; both are used only
	// above maxSharingHosts.
	fleet   []string
	holders map[string][]string
	limits  map[string]limit
	// demand is the last reported demand by host.
	demand map[string]demandReport
}

// A demandReport is the demand at a host by account, in requests per second.
type demandReport struct {
	demand     map[string]float64
	receivedAt time.Time
}

type limit struct{ rate, burst float64 }

// New returns the Quota of a host in a fleet of unknown size. firstStart states that no
// earlier process of the host has used tokens; otherwise the buckets start empty.
func New(host string, firstStart bool, c clock.Clock) *Quota {
	return &Quota{
		host: host, clock: c, firstStart: firstStart, hosts: assumedHosts,
		splits: make(map[string]*rate.SplitBucket), holders: make(map[string][]string),
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

// Lend takes one request from an account's rate for a route of a rank on behalf of
// another host, and reports whether enough was left.
func (q *Quota) Lend(now time.Time, a traffic.Account, rank int) bool {
	if a.Rate <= 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.accountSplit(now, a).Lend(now, reserve(rank))
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
		q.splits[a.Name] = s
		q.limits[a.Name] = configured
		if q.usesHolders() {
			s.SetFraction(now, q.holderShare(a.Name), q.hosts)
		}
	}
	if q.limits[a.Name] != configured {
		s.SetLimit(now, a.Rate, a.Burst)
		q.limits[a.Name] = configured
	}
	return s
}

// usesHolders reports whether only some hosts hold each rate. mu must be held.
func (q *Quota) usesHolders() bool { return q.hosts > maxSharingHosts }

// Holders returns the hosts that hold an account's rate, or nil if all do.
func (q *Quota) Holders(account string) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.usesHolders() {
		return nil
	}
	return q.holdersOf(account)
}

// holdersOf returns the holders of an account's rate. It uses rendezvous hashing, so
// hosts with the same view of the fleet agree. mu must be held.
func (q *Quota) holdersOf(account string) []string {
	if cached, ok := q.holders[account]; ok {
		return cached
	}
	ranked := slices.Clone(q.fleet)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(account+"\x00"+a), xxhash.Sum64String(account+"\x00"+b))
	})
	holders := ranked[:min(len(ranked), holderCount)]
	q.holders[account] = holders
	return holders
}

// holderShare returns the fraction of an account's rate that this host holds in a
// fleet with holders. mu must be held.
func (q *Quota) holderShare(account string) float64 {
	holders := q.holdersOf(account)
	if !slices.Contains(holders, q.host) {
		return 0
	}
	return 1 / float64(len(holders))
}

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

// RecordDemand records the demand at another host.
func (q *Quota) RecordDemand(host string, demand map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demand[host] = demandReport{demand, q.clock.Now()}
}

// Rebalance splits the rates between this host and the other hosts of the fleet. A host
// that stopped reporting keeps its share; a host no longer listed loses it.
func (q *Quota) Rebalance(others []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.hosts = len(others) + 1
	for host := range q.demand {
		if !slices.Contains(others, host) {
			delete(q.demand, host)
		}
	}
	if q.usesHolders() {
		q.assignHolderShares(now, others)
		return
	}
	for name, s := range q.splits {
		demands := make([]rate.HostDemand, 0, len(others))
		for _, host := range others {
			r, ok := q.demand[host]
			demands = append(demands, rate.HostDemand{
				Host: host, Demand: r.demand[name], Fresh: ok && now.Sub(r.receivedAt) < maxDemandAge,
			})
		}
		s.Rebalance(now, demands)
	}
}

// assignHolderShares sets this host's shares in a fleet with holders. mu must be held.
func (q *Quota) assignHolderShares(now time.Time, others []string) {
	fleet := append(slices.Clone(others), q.host)
	slices.Sort(fleet)
	if !slices.Equal(fleet, q.fleet) {
		q.fleet = fleet
		clear(q.holders)
	}
	for name, s := range q.splits {
		s.SetFraction(now, q.holderShare(name), q.hosts)
	}
}
