package member

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of what is held of other zones.
const (
	zoneLimit = 64
	// metLimit is how many contacts of a zone are kept from received messages.
	metLimit = 3
	// abroadFlush is the time between two sends of background rumours to other
	// zones.
	abroadFlush = 5 * time.Second
	// wideContactEvery is after how many comparisons with other zones one goes
	// to a node outside the bridges, in case all bridges have gone.
	wideContactEvery = 4
)

// zoneState is what this node holds of another zone.
type zoneState struct {
	name     string
	bridges  []Contact
	met      []Contact
	services map[string]summary
	// heard is when the zone's last heartbeat arrived.
	heard time.Time
	// lapsed says that the generation counts the zone as unreachable.
	lapsed bool
}

// outward is a rumour that a bridge has still to send to other zones.
type outward struct {
	id   rumourID
	from string
}

// zoneTable holds the other zones and what is to be sent to them.
type zoneTable struct {
	states  map[string]*zoneState
	names   []string
	outward []outward
	flush   time.Time
	rounds  int
}

// newZoneTable returns an empty table.
func newZoneTable() zoneTable { return zoneTable{states: make(map[string]*zoneState)} }

// state returns what is held of a zone, or nil beyond the limit. A new zone counts
// as reachable from now on.
func (t *zoneTable) state(name string, now time.Time) *zoneState {
	if s, ok := t.states[name]; ok {
		return s
	}
	if name == "" || len(t.names) >= zoneLimit {
		return nil
	}
	s := &zoneState{name: name, services: make(map[string]summary), heard: now}
	t.states[name] = s
	t.names = append(t.names, name)
	sort.Strings(t.names)
	return s
}

// forward notes a rumour for other zones than the one it came from.
func (t *zoneTable) forward(r Rumour, from string) {
	entry := outward{id: r.id(), from: from}
	for i, o := range t.outward {
		if o.id == entry.id {
			t.outward[i] = entry
			return
		}
	}
	t.outward = append(t.outward, entry)
}

// extend counts the time of all zones from now.
func (t *zoneTable) extend(now time.Time) {
	for _, s := range t.states {
		s.heard = now
	}
}

// meet keeps the sender of a message from another zone as a contact.
func (t *zoneTable) meet(zone string, from Member, now time.Time) {
	s := t.state(zone, now)
	if s == nil {
		return
	}
	contact := Contact{Host: from.Host, Address: from.Address, Incarnation: from.Incarnation}
	s.met = slices.DeleteFunc(s.met, func(c Contact) bool { return c.Host == from.Host })
	s.met = append(s.met, contact)
	if len(s.met) > metLimit {
		s.met = slices.Delete(s.met, 0, 1)
	}
}

// learn takes in a rumour of the group's own topics.
func (g *Group) learn(r Rumour, now time.Time) {
	zone, service, _ := strings.Cut(r.Key, "/")
	if zone == g.zone {
		g.speaker.disputed(r, service, now.Add(g.settings.CorrectionTime))
		g.greet(r)
		return
	}
	s := g.zones.state(zone, now)
	if s == nil {
		return
	}
	switch r.Topic {
	case topicSummary:
		var held summary
		if cbor.Unmarshal(r.Payload, &held) != nil {
			return
		}
		s.services[service] = held
		if held.Count == 0 {
			delete(s.services, service)
		}
		g.generation++
	case topicBridges:
		var contacts []Contact
		if cbor.Unmarshal(r.Payload, &contacts) == nil {
			s.bridges = contacts
			g.generation++
		}
	case topicHeartbeat:
		s.heard = now
	}
}

// greet compares with the bridges that others name for this node's own zone if they
// are not held present. So nodes of one zone that know only nodes of other zones
// find each other.
func (g *Group) greet(r Rumour) {
	var contacts []Contact
	if r.Topic != topicBridges || cbor.Unmarshal(r.Payload, &contacts) != nil {
		return
	}
	g.peers = g.peers[:0]
	for _, c := range contacts {
		rec, ok := g.roster.records[c.Host]
		if c.Host == g.self.Host || ok && rec.member.Present() {
			continue
		}
		g.peers = append(g.peers, c.Address)
		g.sendDigest(c.Address)
	}
}

// bridging reports whether this node exchanges rumours with other zones.
func (g *Group) bridging() bool {
	return slices.ContainsFunc(g.roster.bridges(g.settings.Bridges), func(rec *record) bool {
		return rec.member.Host == g.self.Host
	})
}

// pushAbroad performs a bridge's steps that are due: new rumours go to one node of
// each other zone, and now and then all rumours are compared with one of them.
func (g *Group) pushAbroad(now time.Time) {
	if !g.bridging() {
		g.zones.outward = g.zones.outward[:0]
		return
	}
	urgent := slices.ContainsFunc(g.zones.outward, func(o outward) bool { return o.id.topic != topicHeartbeat })
	if urgent || !now.Before(g.zones.flush) {
		g.zones.flush = now.Add(abroadFlush)
		g.flushAbroad(now)
	}
	if now.Before(g.timers.abroad) || len(g.zones.names) == 0 {
		return
	}
	period := g.settings.SyncPeriod / time.Duration(len(g.zones.names))
	g.timers.abroad = now.Add(period/2 + g.jitter(period))
	g.zones.rounds++
	s := g.zones.states[g.zones.names[g.zones.rounds%len(g.zones.names)]]
	if c, ok := g.contact(s, g.random.Intn(wideContactEvery) == 0); ok {
		g.sendDigest(c.Address)
	}
}

// flushAbroad sends the noted rumours to one node of each zone.
func (g *Group) flushAbroad(now time.Time) {
	for _, name := range g.zones.names {
		var rumours []Rumour
		for _, o := range g.zones.outward {
			if rec, ok := g.rumours.get(o.id); ok && o.from != name {
				rumours = append(rumours, rec.at(now))
			}
		}
		if len(rumours) == 0 {
			continue
		}
		if c, ok := g.contact(g.zones.states[name], false); ok {
			g.sendRumours(c.Address, rumours)
		}
	}
	g.zones.outward = g.zones.outward[:0]
}

// sendRumours sends fresh rumours in as many messages as they need.
func (g *Group) sendRumours(address string, rumours []Rumour) {
	for len(rumours) > 0 {
		m := g.message(Gossip)
		room := g.settings.MessageLimit - m.size()
		for len(rumours) > 0 && rumours[0].size() <= room {
			m.Rumours = append(m.Rumours, rumours[0])
			room -= rumours[0].size()
			rumours = rumours[1:]
		}
		if len(m.Rumours) == 0 {
			return
		}
		g.send(address, m)
	}
}

// contact returns a random node of a zone: a bridge, or any known one if wide is
// set or no bridge is known.
func (g *Group) contact(s *zoneState, wide bool) (Contact, bool) {
	candidates := s.bridges
	if wide || len(candidates) == 0 {
		candidates = slices.Concat(s.bridges, s.met)
		for _, name := range sortedKeys(s.services) {
			candidates = append(candidates, s.services[name].Nodes...)
		}
	}
	if len(candidates) == 0 {
		return Contact{}, false
	}
	return candidates[g.random.Intn(len(candidates))], true
}

// watchZones counts a new generation when a zone becomes reachable or ceases to be.
func (g *Group) watchZones(now time.Time) {
	for _, s := range g.zones.states {
		if lapsed := !g.reachable(s, now); lapsed != s.lapsed {
			s.lapsed = lapsed
			g.generation++
		}
	}
}

// reachable reports whether a heartbeat of the zone arrived within the timeout.
func (g *Group) reachable(s *zoneState, now time.Time) bool {
	return now.Sub(s.heard) < g.settings.ZoneTimeout
}

// sortedKeys returns the keys of a map in their order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
