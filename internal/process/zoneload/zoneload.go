// Package zoneload collects the load reports of the hosts of an availability zone into
// one summary, and keeps the summaries of all zones. In a large fleet, hosts send their
// reports to a few carriers of their zone, and only the carriers' summaries are sent
// further, so that the messages of a host don't grow with the fleet. Package mesh sends
// them; package demand plans with them.
//
// Nobody appoints carriers: each host picks them from the hosts that it can reach, and a
// host that gets reports is a carrier. Carriers of a zone may therefore know different
// hosts. Of their summaries only the one that covers the most hosts is used, so that no
// host counts twice.
package zoneload

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

const (
	// reportTTL is the age at which the report of a host no longer counts: the host has
	// left, is cut off or has chosen other carriers. Hosts report twice a second.
	reportTTL = 1600 * time.Millisecond
	// summaryTTL is the age at which the summary of a carrier is replaced by that of
	// another one, even if it covers more hosts. Carriers send several a second.
	summaryTTL = 1200 * time.Millisecond
	// retention is the age up to which the last summary of a zone is used if no newer one
	// arrives. After it the zone counts as having neither demand nor slots.
	retention = 3 * time.Second
	// carrierCount is the number of carriers of a zone. If one is lost, the summaries of
	// the other are used after summaryTTL.
	carrierCount = 2
)

// A Summary is a carrier's summary of a zone.
type Summary struct {
	Zone    string `cbor:"1,keyasint"`
	Carrier string `cbor:"2,keyasint"`
	// Incarnation is that of the carrier's process. Sequence increases with each summary
	// of that process.
	Incarnation int64             `cbor:"3,keyasint"`
	Sequence    uint64            `cbor:"4,keyasint"`
	Load        admission.Summary `cbor:"5,keyasint"`
	// Age is the time since the carrier made the summary, without the time that messages
	// take.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// newer reports whether s replaces an earlier summary of the same carrier.
func (s Summary) newer(than Summary) bool {
	if s.Incarnation != than.Incarnation {
		return s.Incarnation > than.Incarnation
	}
	return s.Sequence > than.Sequence
}

// Errors of summaries that are not used.
var (
	// ErrStale reports that a newer summary of the carrier is known.
	ErrStale = errors.New("a newer summary of the carrier is known")
	// ErrForeignZone reports that the carrier isn't a host of the zone.
	ErrForeignZone = errors.New("the carrier is not a host of the zone")
	// ErrTooManyHosts reports that the summary covers more hosts than the zone has.
	ErrTooManyHosts = errors.New("the summary covers more hosts than the zone has")
)

// A Collector collects host reports and zone summaries at one host. It is safe for
// concurrent use.
type Collector struct {
	host, zone  string
	incarnation int64
	clock       clock.Clock

	// mu guards the fields below.
	mu       sync.Mutex
	sequence uint64
	reports  map[string]timedReport
	// summaries holds the last summary by zone and carrier.
	summaries map[string]map[string]timedSummary
}

type timedReport struct {
	report admission.HostReport
	at     time.Time
}

type timedSummary struct {
	Summary
	at time.Time
}

// New returns the Collector of a host's process.
func New(host, zone string, incarnation int64, c clock.Clock) *Collector {
	return &Collector{
		host: host, zone: zone, incarnation: incarnation, clock: c,
		reports: make(map[string]timedReport), summaries: make(map[string]map[string]timedSummary),
	}
}

// RecordReport records the report of a host of the own zone, which may be the own host.
func (c *Collector) RecordReport(host string, r admission.HostReport) error {
	if err := r.Validate(); err != nil {
		return fmt.Errorf("report of host %s: %w", host, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports[host] = timedReport{r, c.clock.Now()}
	return nil
}

// Carries reports whether other hosts send their reports to this one.
func (c *Collector) Carries() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for host, r := range c.reports {
		if host != c.host && now.Sub(r.at) <= reportTTL {
			return true
		}
	}
	return false
}

// Forget drops the report of a host that has left.
func (c *Collector) Forget(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reports, host)
}

// Summarize returns the summary of the own zone, and false if the host is not a carrier:
// no other host reports to it, and it has not reported to itself.
func (c *Collector) Summarize() (Summary, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var hosts []string
	for host, r := range c.reports {
		if now.Sub(r.at) > reportTTL {
			delete(c.reports, host)
			continue
		}
		hosts = append(hosts, host)
	}
	if len(hosts) == 0 {
		return Summary{}, false
	}
	slices.Sort(hosts)
	reports := make([]admission.HostReport, len(hosts))
	for i, host := range hosts {
		reports[i] = c.reports[host].report
	}
	c.sequence++
	s := Summary{
		Zone: c.zone, Carrier: c.host, Incarnation: c.incarnation, Sequence: c.sequence,
		Load: admission.Summarize(reports...),
	}
	c.store(now, s)
	return s, true
}

// RecordSummary records the summary of another carrier. hosts is the number of hosts that
// this host knows in the zone, and carrierZone the zone of the carrier's host. The error
// is or wraps one of those above if the summary is not used.
func (c *Collector) RecordSummary(s Summary, carrierZone string, hosts int) error {
	if s.Zone != carrierZone {
		return fmt.Errorf("summary of zone %s by host %s of zone %q: %w", s.Zone, s.Carrier, carrierZone, ErrForeignZone)
	}
	if s.Load.Hosts < 1 || s.Load.Hosts > hosts {
		return fmt.Errorf("summary of zone %s by host %s of %d hosts, known are %d: %w", s.Zone, s.Carrier, s.Load.Hosts, hosts, ErrTooManyHosts)
	}
	if err := s.Load.Validate(); err != nil {
		return fmt.Errorf("summary of zone %s by host %s: %w", s.Zone, s.Carrier, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.summaries[s.Zone][s.Carrier]; ok && !s.newer(known.Summary) {
		return ErrStale
	}
	if s.Carrier != c.host && s.Age >= 0 {
		c.store(c.clock.Now().Add(-s.Age), s)
	}
	return nil
}

// store keeps a summary; mu must be held.
func (c *Collector) store(now time.Time, s Summary) {
	if c.summaries[s.Zone] == nil {
		c.summaries[s.Zone] = make(map[string]timedSummary)
	}
	c.summaries[s.Zone][s.Carrier] = timedSummary{s, now}
}

// Summaries returns one summary of each zone, sorted by zone.
func (c *Collector) Summaries() []Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var chosen []Summary
	for zone, carriers := range c.summaries {
		var best timedSummary
		for carrier, s := range carriers {
			if now.Sub(s.at) > retention {
				delete(carriers, carrier)
				continue
			}
			if best.Carrier == "" || better(now, s, best) {
				best = s
			}
		}
		if best.Carrier == "" {
			delete(c.summaries, zone)
			continue
		}
		best.Age = now.Sub(best.at)
		chosen = append(chosen, best.Summary)
	}
	slices.SortFunc(chosen, func(a, b Summary) int { return cmp.Compare(a.Zone, b.Zone) })
	return chosen
}

// better reports whether a is used instead of b, both of one zone: a current summary
// before an old one, then one that covers more hosts.
func better(now time.Time, a, b timedSummary) bool {
	currentA, currentB := now.Sub(a.at) <= summaryTTL, now.Sub(b.at) <= summaryTTL
	switch {
	case currentA != currentB:
		return currentA
	case !currentA && !a.at.Equal(b.at):
		return a.at.After(b.at)
	case a.Load.Hosts != b.Load.Hosts:
		return a.Load.Hosts > b.Load.Hosts
	default:
		return a.Carrier < b.Carrier
	}
}

// Carriers returns the hosts of a zone that carry its summaries, of those that the caller
// can reach. The order is the same at all hosts.
func Carriers(zone string, reachable []string) []string {
	rank := func(host string) uint64 { return xxhash.Sum64String("carrier\x00" + zone + "\x00" + host) }
	sorted := slices.SortedFunc(slices.Values(reachable), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return sorted[:min(len(sorted), carrierCount)]
}
