package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxCandidates is the number of hosts of a zone that may hold an account's share.
	maxCandidates = 8
	// memberExpiry is the time after which an unreachable host no longer counts towards
	// the size of its zone, as it does after it is lost for good.
	memberExpiry = 30 * time.Second
)

// A Member is another host of the fleet.
type Member struct {
	Host, Zone string
	// Reachable reports whether this host has a connection to it.
	Reachable bool
}

// A placement decides which hosts hold the rates of client accounts. The share of a zone
// is held by the first reachable host of the zone in rendezvous order. A host holds a
// share only while it reaches a majority of its zone, so that of two parts of a divided
// zone at most one has a holder.
type placement struct {
	host, zone string
	// members are the other hosts, sorted by name; zones are their zones and the own one.
	members []Member
	zones   []string
	// unreachableSince holds the unreachable hosts of the own zone.
	unreachableSince map[string]time.Time
	reachable        map[string]bool
	majority         bool
	// changedAt is the time of the last change.
	changedAt time.Time
	// candidates caches the rendezvous order by account and zone.
	candidates map[string]map[string][]string
}

func newPlacement(host, zone string, now time.Time) *placement {
	return &placement{
		host: host, zone: zone, changedAt: now, unreachableSince: make(map[string]time.Time),
		reachable: make(map[string]bool), candidates: make(map[string]map[string][]string),
	}
}

// update sets the other hosts of the fleet and reports whether the placement may have
// changed. leaving states that the own host is shutting down.
func (p *placement) update(now time.Time, others []Member, leaving bool) bool {
	members := slices.SortedFunc(slices.Values(others), func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	majority := p.reachesMajority(now, members) && !leaving
	if majority == p.majority && slices.Equal(members, p.members) {
		return false
	}
	if !slices.EqualFunc(members, p.members, func(a, b Member) bool { return a.Host == b.Host && a.Zone == b.Zone }) {
		clear(p.candidates)
	}
	p.members, p.majority, p.changedAt = members, majority, now
	clear(p.reachable)
	p.reachable[p.host] = !leaving
	p.zones = []string{p.zone}
	for _, m := range members {
		p.reachable[m.Host] = m.Reachable
		if !slices.Contains(p.zones, m.Zone) {
			p.zones = append(p.zones, m.Zone)
		}
	}
	return true
}

// reachesMajority reports whether this host reaches more than half of the hosts of its
// zone, or half of them including the first by name.
func (p *placement) reachesMajority(now time.Time, members []Member) bool {
	reached, counted := 1, 1
	first, firstReached := p.host, true
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		if m.Zone != p.zone {
			continue
		}
		listed[m.Host] = true
		if m.Reachable {
			delete(p.unreachableSince, m.Host)
			reached++
		} else if p.expired(now, m.Host) {
			continue
		}
		counted++
		if m.Host < first {
			first, firstReached = m.Host, m.Reachable
		}
	}
	for host := range p.unreachableSince {
		if !listed[host] {
			delete(p.unreachableSince, host)
		}
	}
	return 2*reached > counted || 2*reached == counted && firstReached
}

// expired reports whether a host has been unreachable for memberExpiry.
func (p *placement) expired(now time.Time, host string) bool {
	since, ok := p.unreachableSince[host]
	if !ok {
		p.unreachableSince[host] = now
		return false
	}
	return now.Sub(since) > memberExpiry
}

func (p *placement) zoneCount() int { return len(p.zones) }

// share returns the fraction of an account's rate that this host holds.
func (p *placement) share(account string) float64 {
	if !p.majority || p.holder(account, p.zone) != p.host {
		return 0
	}
	return 1 / float64(p.zoneCount())
}

// holders returns the reachable holder of each zone, the own zone first.
func (p *placement) holders(account string) []string {
	var all []string
	for i, zone := range p.zones {
		if i == 0 && !p.majority {
			continue
		}
		if h := p.holder(account, zone); h != "" {
			all = append(all, h)
		}
	}
	return all
}

// holder returns the host that should hold an account's share of a zone, or "" if no
// candidate is reachable.
func (p *placement) holder(account, zone string) string {
	for _, h := range p.ranked(account, zone) {
		if p.reachable[h] {
			return h
		}
	}
	return ""
}

// ranked returns the first hosts of a zone in the rendezvous order of an account.
func (p *placement) ranked(account, zone string) []string {
	if cached, ok := p.candidates[account][zone]; ok {
		return cached
	}
	type candidate struct {
		host string
		rank uint64
	}
	var all []candidate
	add := func(host string) { all = append(all, candidate{host, xxhash.Sum64String(account + "\x00" + host)}) }
	if zone == p.zone {
		add(p.host)
	}
	for _, m := range p.members {
		if m.Zone == zone {
			add(m.Host)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	var ranked []string
	for _, c := range all[:min(len(all), maxCandidates)] {
		ranked = append(ranked, c.host)
	}
	if p.candidates[account] == nil {
		p.candidates[account] = make(map[string][]string)
	}
	p.candidates[account][zone] = ranked
	return ranked
}
