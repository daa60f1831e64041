// Package overflow decides which share of the requests for each service leaves an availability
// zone, and to which zones. Each node computes the shares of all zones from the same sums, so
// that nodes need not agree.
//
// A Plan is deterministic and holds no lock. Package zoneload provides the sums.
package overflow

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
)

const (
	// DefaultLatency is the round trip between two zones while it isn't measured.
	DefaultLatency = time.Millisecond
	// DefaultRequestBytes is the size of a request and its answer.
	DefaultRequestBytes = 4 << 10
	// DefaultByteCost is the time that callers must win for each KiB between zones.
	DefaultByteCost = 100 * time.Microsecond
	// comfortableLoad is the part of its capacity up to which a zone sends nothing away and
	// takes requests of others.
	comfortableLoad = 0.8
	// fullLoad is the part of its capacity up to which a zone takes requests of others if all
	// are busy.
	fullLoad = 0.95
	// roomyLoad is the part of its capacity up to which a zone has room for requests beyond the
	// shares; above it the sums are too old to send more there.
	roomyLoad = 0.75
	// clearAdvantage is by how much of its capacity a zone must be less full than another to
	// have room for its requests above roomyLoad.
	clearAdvantage = 0.1
	// maxStep is the most by which a share changes in one update.
	maxStep = 0.1
	// minShare is the share below which nothing leaves.
	minShare = 0.01
	// maxWait bounds the expected wait in a zone that has more demand than capacity.
	maxWait = time.Second
	// maxDepth bounds the calls of calls that are followed.
	maxDepth = 8
)

// A Zone is the sum of the reports of the hosts of an availability zone.
type Zone struct {
	Name string
	Load admission.Summary
	// Usable reports that the sum is current and the zone can be reached.
	Usable bool
	// RoundTrip is the measured round trip from the own zone; zero for that zone itself or if it
	// isn't measured.
	RoundTrip time.Duration
}

// A Share is the part of the requests for a service that goes to another zone.
type Share struct {
	Zone string
	// Part is at most 1.
	Part float64
	// Gain is the time that a caller wins, beyond the cost of leaving.
	Gain time.Duration
}

// Notable reports whether what leaves a zone starts to, stops to, or has doubled since before.
func Notable(before, now float64) bool {
	if before == 0 || now == 0 {
		return before != now
	}
	return now >= 2*before
}

// An Option changes the settings of a Plan.
type Option func(*Plan)

// WithLatency sets the round trip between two zones while it isn't measured.
func WithLatency(d time.Duration) Option { return func(p *Plan) { p.latency = d } }

// WithByteCost sets the time that callers must win for each KiB between zones.
func WithByteCost(d time.Duration) Option { return func(p *Plan) { p.byteCost = d } }

// A direction is a way that requests for a service take between zones.
type direction struct{ service, from, to string }

// A Plan computes the shares.
type Plan struct {
	latency, byteCost time.Duration
	shares            map[direction]Share
	// fullness is the part of its capacity that each zone uses after the shares, by service.
	fullness map[string]map[string]float64
}

// NewPlan returns a Plan by which nothing leaves any zone.
func NewPlan(options ...Option) *Plan {
	p := &Plan{latency: DefaultLatency, byteCost: DefaultByteCost, shares: make(map[direction]Share), fullness: make(map[string]map[string]float64)}
	for _, o := range options {
		o(p)
	}
	return p
}

// Shares returns what leaves a zone, sorted by the zones to which it goes.
func (p *Plan) Shares(zone, service string) []Share {
	var all []Share
	for _, d := range p.directions() {
		if d.service == service && d.from == zone {
			all = append(all, p.shares[d])
		}
	}
	return all
}

// Room returns the zones that take more requests of a zone for a service than the shares say. It
// returns false if the last sums tell nothing of the service in that zone.
func (p *Plan) Room(zone, service string) (zones map[string]bool, ok bool) {
	own, ok := p.fullness[service][zone]
	if !ok {
		return nil, false
	}
	zones = make(map[string]bool)
	for other, there := range p.fullness[service] {
		zones[other] = other != zone && (there < roomyLoad || there < own-clearAdvantage)
	}
	return zones, true
}

// directions returns the directions with a share, in a fixed order.
func (p *Plan) directions() []direction {
	return slices.SortedFunc(maps.Keys(p.shares), func(a, b direction) int {
		return slices.Compare([]string{a.service, a.from, a.to}, []string{b.service, b.from, b.to})
	})
}

// Update computes the shares from the sums of all zones. admitted returns the part of a flow
// that is admitted.
func (p *Plan) Update(zones []Zone, admitted func(admission.Flow) float64) {
	n := newNetwork(zones, admitted)
	clear(p.fullness)
	for _, service := range n.services {
		// Services come after those that call them, so that what left with a caller counts.
		loads := n.loads(service, p.shares)
		wanted, open := p.wanted(service, loads)
		p.move(service, wanted, open)
		p.fill(service, loads)
	}
}

// A load is the demand for a service that starts in a zone, and the capacity there, in
// requests per second.
type load struct {
	zone             string
	demand, capacity float64
	// slots is the number of slots, seconds the time that a request takes.
	slots, seconds float64
	usable         bool
	roundTrip      time.Duration
}

// wanted returns the shares that would suit the loads, and the zones that have room.
func (p *Plan) wanted(service string, loads []load) (wanted map[direction]Share, open map[string]bool) {
	demand, capacity := 0.0, 0.0
	for _, l := range loads {
		if l.usable {
			demand += l.demand
			capacity += l.capacity
		}
	}
	wanted, open = make(map[direction]Share), make(map[string]bool)
	if capacity == 0 {
		return wanted, open
	}
	level := math.Min(fullLoad, math.Max(comfortableLoad, demand/capacity))
	need, room := 0.0, 0.0
	for _, l := range loads {
		need += l.need(level)
		room += l.room(level)
		open[l.zone] = l.room(level) > 0
	}
	if need == 0 || room == 0 {
		return wanted, open
	}
	met := math.Min(1, room/need)
	for _, from := range loads {
		for _, to := range loads {
			part := from.need(level) / math.Max(from.demand, math.SmallestNonzeroFloat64) * met * to.room(level) / room
			if part <= 0 {
				continue
			}
			gain := from.wait(from.demand/math.Max(from.capacity, math.SmallestNonzeroFloat64)) - to.wait(level) - p.cost(from, to)
			if gain > 0 {
				wanted[direction{service, from.zone, to.zone}] = Share{Zone: to.zone, Part: part, Gain: gain}
			}
		}
	}
	return wanted, open
}

// fill records how full the zones are after the shares. Zones that are not usable or have no
// capacity have no room.
func (p *Plan) fill(service string, loads []load) {
	demand := make(map[string]float64)
	for _, from := range loads {
		demand[from.zone] += from.demand
		for _, s := range p.Shares(from.zone, service) {
			demand[from.zone] -= s.Part * from.demand
			demand[s.Zone] += s.Part * from.demand
		}
	}
	p.fullness[service] = make(map[string]float64)
	for _, l := range loads {
		p.fullness[service][l.zone] = math.Inf(1)
		if l.usable && l.capacity > 0 {
			p.fullness[service][l.zone] = demand[l.zone] / l.capacity
		}
	}
}

// cost returns the time that a request loses that leaves its zone. Between two zones of which none
// is the own one, the round trip to the farther one counts.
func (p *Plan) cost(from, to load) time.Duration {
	latency := max(from.roundTrip, to.roundTrip)
	if latency == 0 {
		latency = p.latency
	}
	return latency + time.Duration(float64(p.byteCost)*DefaultRequestBytes/1024)
}

// need returns the demand above a level of the capacity, and room what is left below it.
func (l load) need(level float64) float64 {
	if !l.usable {
		return 0
	}
	return math.Max(0, l.demand-level*l.capacity)
}

func (l load) room(level float64) float64 {
	if !l.usable {
		return 0
	}
	return math.Max(0, level*l.capacity-l.demand)
}

// wait returns the expected time until a request gets a slot, by Sakasegawa's approximation of
// a queue with several slots.
func (l load) wait(utilization float64) time.Duration {
	if utilization >= 1 || l.slots < 1 {
		return maxWait
	}
	seconds := l.seconds / l.slots * math.Pow(utilization, math.Sqrt(2*(l.slots+1))-1) / (1 - utilization)
	return min(maxWait, time.Duration(seconds*float64(time.Second)))
}

// move brings the shares of a service closer to the wanted ones. What leads to a zone without
// room, or away from a zone that now takes requests of others, ends at once.
func (p *Plan) move(service string, wanted map[direction]Share, open map[string]bool) {
	receivers := make(map[string]bool)
	for d := range wanted {
		receivers[d.to] = true
	}
	for d, s := range p.shares {
		if _, ok := wanted[d]; ok || d.service != service {
			continue
		}
		if !open[d.to] || receivers[d.from] {
			delete(p.shares, d)
			continue
		}
		wanted[d] = Share{Zone: s.Zone}
	}
	for d, w := range wanted {
		before := p.shares[d].Part
		w.Part = math.Min(before+maxStep, math.Max(before-maxStep, w.Part))
		if w.Part < minShare {
			delete(p.shares, d)
			continue
		}
		p.shares[d] = w
	}
}
