package sidecar

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/zoneload"
	"github.com/bilberryvane/bilberryvane/overflow"
	"github.com/bilberryvane/bilberryvane/routing"
)

// maxSumAge is the age up to which the sum of a zone counts in the plan of what leaves a zone.
const maxSumAge = 1200 * time.Millisecond

// A zonePlan decides which requests leave the availability zone of this host. It is safe for
// concurrent use.
type zonePlan struct {
	zone string
	log  event.Log

	// mu guards the fields below. plan is nil if requests leave by the load of single hosts.
	mu   sync.Mutex
	plan *overflow.Plan
	// usable reports that there is a plan for the own zone.
	usable bool
	// shares is what leaves the own zone, by service.
	shares map[string][]overflow.Share
	// room are the zones that take more than shares says, by service.
	room map[string]map[string]bool
	// logged is the share of each service that was logged last.
	logged map[string]float64
}

func newZonePlan(zone string, s ZonePlan, l event.Log) *zonePlan {
	z := &zonePlan{zone: zone, log: l, logged: make(map[string]float64)}
	if s.Enabled {
		z.plan = overflow.NewPlan(overflow.WithByteCost(s.ByteCost))
	}
	return z
}

// update computes the shares from the sums of all zones. open reports whether a zone takes
// requests; roundTrips returns the measured round trips to the hosts of each zone.
func (z *zonePlan) update(sums []zoneload.Summary, open func(zone string) bool, roundTrips func() map[string]time.Duration, admitted func(admission.Flow) float64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.plan == nil {
		return
	}
	z.usable = false
	zones := make([]overflow.Zone, len(sums))
	distances := roundTrips()
	delete(distances, z.zone)
	var services []string
	for i, s := range sums {
		zones[i] = overflow.Zone{Name: s.Zone, Load: s.Load, Usable: s.Age <= maxSumAge && open(s.Zone), RoundTrip: distances[s.Zone]}
		z.usable = z.usable || s.Zone == z.zone && zones[i].Usable
		for _, l := range s.Load.Services {
			services = append(services, l.Service)
		}
	}
	z.plan.Update(zones, admitted)
	slices.Sort(services)
	z.shares, z.room = make(map[string][]overflow.Share), make(map[string]map[string]bool)
	for _, service := range slices.Compact(services) {
		z.shares[service] = z.plan.Shares(z.zone, service)
		if zones, ok := z.plan.Room(z.zone, service); ok {
			z.room[service] = zones
		}
		z.logChange(service)
	}
}

// logChange logs that a share starts, ends or has doubled since it was logged; mu must be held.
func (z *zonePlan) logChange(service string) {
	part := 0.0
	for _, s := range z.shares[service] {
		part += s.Part
	}
	before := z.logged[service]
	if !overflow.Notable(before, part) {
		return
	}
	z.logged[service] = part
	z.log.Emit(event.ZoneShare, log.Fields{"service": service, "share": part, "before": before})
}

// leave returns what the plan says of a request for a service. It returns false if there is no
// plan for the own zone and the service.
func (z *zonePlan) leave(service string) (l routing.Leave, ok bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	room, ok := z.room[service]
	if !z.usable || !ok {
		return routing.Leave{}, false
	}
	rest := rand.Float64()
	for _, s := range z.shares[service] {
		if rest -= s.Part; rest < 0 {
			return routing.Leave{Zone: s.Zone, Room: room}, true
		}
	}
	return routing.Leave{Room: room}, true
}

// leaving returns what leaves the own zone, by service.
func (z *zonePlan) leaving() map[string][]overflow.Share {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.shares
}
