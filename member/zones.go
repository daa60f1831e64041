package member

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Limits and periods for other zones.
const (
	maxZones = 64
	// maxRecentContacts is the number of senders kept as contacts per zone.
	maxRecentContacts = 3
	// zoneGossipPeriod is the time between two sends of background rumours to other
	// zones if no other rumours are sent.
	zoneGossipPeriod = 5 * time.Second
	// One in wideSyncEvery syncs with other zones, on average, may select a node that
	// is not a bridge, in case all bridges are gone.
	wideSyncEvery = 4
)

// zoneState is this node's view of another zone.
type zoneState struct {
	name           string
	bridges        []Contact
	recentContacts []Contact
	services       map[string]summary
	// lastHeartbeat is when the zone's last heartbeat arrived.
	lastHeartbeat time.Time
	// unreachable is the reachability that the current generation reflects.
	unreachable bool
}

// outboundRumour is a rumour that a bridge has yet to send to other zones.
type outboundRumour struct {
	id   rumourID
	from string
}

// zoneTable holds the other zones and the rumours to send to them.
type zoneTable struct {
	states     map[string]*zoneState
	names      []string
	outbound   []outboundRumour
	nextGossip time.Time
	syncRounds int
}

// newZoneTable returns an empty table.
func newZoneTable() zoneTable { return zoneTable{states: make(map[string]*zoneState)} }

// state returns the state of a zone and creates it if necessary. It returns nil if the
// name is empty or the limit is reached. A new zone starts as reachable.
func (t *zoneTable) state(name string, now time.Time) *zoneState {
	if s, ok := t.states[name]; ok {
		return s
	}
	if name == "" || len(t.names) >= maxZones {
		return nil
	}
	s := &zoneState{name: name, services: make(map[string]summary), lastHeartbeat: now}
	t.states[name] = s
	t.names = append(t.names, name)
	sort.Strings(t.names)
	return s
}

// enqueue adds a rumour to send to all zones except the one that it came from.
func (t *zoneTable) enqueue(r Rumour, from string) {
	entry := outboundRumour{id: r.id(), from: from}
	for i, o := range t.outbound {
		if o.id == entry.id {
			t.outbound[i] = entry
			return
		}
	}
	t.outbound = append(t.outbound, entry)
}

// resetHeartbeats restarts the timeouts of all zones at now.
func (t *zoneTable) resetHeartbeats(now time.Time) {
	for _, s := range t.states {
		s.lastHeartbeat = now
	}
}

// addContact stores the sender of a message from another zone as a recent contact.
func (t *zoneTable) addContact(zone string, from Member, now time.Time) {
	s := t.state(zone, now)
	if s == nil {
		return
	}
	contact := Contact{Host: from.Host, Address: from.Address, Incarnation: from.Incarnation}
	s.recentContacts = slices.DeleteFunc(s.recentContacts, func(c Contact) bool { return c.Host == from.Host })
	s.recentContacts = append(s.recentContacts, contact)
	if len(s.recentContacts) > maxRecentContacts {
		s.recentContacts = slices.Delete(s.recentContacts, 0, 1)
	}
}

// applyZoneRumour applies a rumour of a reserved topic.
func (g *Group) applyZoneRumour(r Rumour, now time.Time) {
	zone, service, _ := strings.Cut(r.Key, "/")
	if zone == g.zone {
		g.publisher.scheduleCorrection(r, service, now.Add(g.settings.CorrectionDelay))
		g.syncWithBridges(r)
		return
	}
	s := g.zones.state(zone, now)
	if s == nil {
		return
	}
	switch r.Topic {
	case topicSummary:
		var update summary
		if cbor.Unmarshal(r.Payload, &update) != nil {
			return
		}
		s.services[service] = update
		if update.Count == 0 {
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
		s.lastHeartbeat = now
	}
}

// syncWithBridges sends digests to the published bridges of this node's own zone that
// are not present members. This lets nodes of one zone that are connected only to other
// zones find each other.
func (g *Group) syncWithBridges(r Rumour) {
	var contacts []Contact
	if r.Topic != topicBridges || cbor.Unmarshal(r.Payload, &contacts) != nil {
		return
	}
	g.missingBridges = g.missingBridges[:0]
	for _, c := range contacts {
		rec, ok := g.roster.records[c.Host]
		if c.Host == g.self.Host || ok && rec.member.Present() {
			continue
		}
		g.missingBridges = append(g.missingBridges, c.Address)
		g.sendDigest(c.Address)
	}
}

// isBridge reports whether this node exchanges rumours with other zones.
func (g *Group) isBridge() bool {
	return slices.ContainsFunc(g.roster.bridges(g.settings.Bridges), func(rec *record) bool {
		return rec.member.Host == g.self.Host
	})
}

// gossipToZones performs the work of a bridge that is due: it sends new rumours to one
// node of each other zone, and periodically starts a sync with a node of one of them.
func (g *Group) gossipToZones(now time.Time) {
	if !g.isBridge() {
		g.zones.outbound = g.zones.outbound[:0]
		return
	}
	urgent := slices.ContainsFunc(g.zones.outbound, func(o outboundRumour) bool { return o.id.topic != topicHeartbeat })
	if urgent || !now.Before(g.zones.nextGossip) {
		g.zones.nextGossip = now.Add(zoneGossipPeriod)
		g.sendOutbound(now)
	}
	if now.Before(g.timers.zoneSync) || len(g.zones.names) == 0 {
		return
	}
	period := g.settings.SyncPeriod / time.Duration(len(g.zones.names))
	g.timers.zoneSync = now.Add(period/2 + g.jitter(period))
	g.zones.syncRounds++
	s := g.zones.states[g.zones.names[g.zones.syncRounds%len(g.zones.names)]]
	if c, ok := g.randomContact(s, g.random.Intn(wideSyncEvery) == 0); ok {
		g.sendDigest(c.Address)
	}
}

// sendOutbound sends the outbound rumours to one node of each zone.
func (g *Group) sendOutbound(now time.Time) {
	for _, name := range g.zones.names {
		var rumours []Rumour
		for _, o := range g.zones.outbound {
			if rec, ok := g.rumours.get(o.id); ok && o.from != name {
				rumours = append(rumours, rec.snapshot(now))
			}
		}
		if len(rumours) == 0 {
			continue
		}
		if c, ok := g.randomContact(g.zones.states[name], false); ok {
			g.sendRumours(c.Address, rumours)
		}
	}
	g.zones.outbound = g.zones.outbound[:0]
}

// sendRumours sends new rumours in as many messages as they need.
func (g *Group) sendRumours(address string, rumours []Rumour) {
	for len(rumours) > 0 {
		m := g.message(Gossip)
		room := g.settings.MaxMessageBytes - m.size()
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

// randomContact returns a random node of a zone: a bridge, or any known node if wide is
// set or no bridge is known.
func (g *Group) randomContact(s *zoneState, wide bool) (Contact, bool) {
	candidates := s.bridges
	if wide || len(candidates) == 0 {
		candidates = slices.Concat(s.bridges, s.recentContacts)
		for _, name := range sortedKeys(s.services) {
			candidates = append(candidates, s.services[name].Nodes...)
		}
	}
	if len(candidates) == 0 {
		return Contact{}, false
	}
	return candidates[g.random.Intn(len(candidates))], true
}

// updateReachability increases the generation when the reachability of a zone changes.
func (g *Group) updateReachability(now time.Time) {
	for _, s := range g.zones.states {
		if unreachable := !g.reachable(s, now); unreachable != s.unreachable {
			s.unreachable = unreachable
			g.generation++
		}
	}
}

// reachable reports whether a heartbeat of the zone arrived within the zone timeout.
func (g *Group) reachable(s *zoneState, now time.Time) bool {
	return now.Sub(s.lastHeartbeat) < g.settings.ZoneTimeout
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
