package member

import (
	"sort"
	"time"
)

// Generation increases whenever the results of Nodes and Directory change, at the
// latest with the next tick, so that a caller can cache them.
func (g *Group) Generation() uint64 { return g.generation + g.roster.generation }

// Nodes returns the nodes that take new work for a service: those of the own zone,
// sorted by host, then those of each other zone. Nodes that are suspect or in an
// unreachable zone are returned only if there are no others.
func (g *Group) Nodes(service string, now time.Time) []Node {
	var preferred, fallback []Node
	for _, rec := range g.roster.services[service] {
		m := rec.member
		n := Node{Host: m.Host, Zone: g.zone, Address: m.Address, Incarnation: m.Incarnation}
		if m.Status == Suspect {
			fallback = append(fallback, n)
			continue
		}
		preferred = append(preferred, n)
	}
	sort.Slice(preferred, func(i, j int) bool { return preferred[i].Host < preferred[j].Host })
	for _, name := range g.zones.names {
		s := g.zones.states[name]
		for _, c := range s.services[service].Nodes {
			n := Node{Host: c.Host, Zone: name, Address: c.Address, Incarnation: c.Incarnation}
			if g.reachable(s, now) {
				preferred = append(preferred, n)
				continue
			}
			fallback = append(fallback, n)
		}
	}
	if len(preferred) == 0 {
		return fallback
	}
	return preferred
}

// A DirectoryEntry is a node and its services.
type DirectoryEntry struct {
	Node
	// Services are the services that the host offers; for a host of another zone only
	// those whose summaries list it.
	Services []string
	// Draining reports that the host takes no new work.
	Draining bool
}

// Directory returns the present members of the own zone, including this node, followed
// by the bridges and the nodes listed in summaries of each reachable zone, sorted by
// zone and host.
func (g *Group) Directory(now time.Time) []DirectoryEntry {
	var entries []DirectoryEntry
	for _, m := range g.Members() {
		n := Node{Host: m.Host, Zone: g.zone, Address: m.Address, Incarnation: m.Incarnation}
		entries = append(entries, DirectoryEntry{Node: n, Services: m.Services, Draining: m.Draining})
	}
	for _, name := range g.zones.names {
		if s := g.zones.states[name]; g.reachable(s, now) {
			entries = append(entries, s.entries()...)
		}
	}
	return entries
}

// entries returns the zone's bridges and the nodes listed in its summaries, sorted by
// host.
func (s *zoneState) entries() []DirectoryEntry {
	found := make(map[string]DirectoryEntry)
	add := func(c Contact, services ...string) {
		e, ok := found[c.Host]
		if !ok || c.Incarnation > e.Incarnation {
			e.Node = Node{Host: c.Host, Zone: s.name, Address: c.Address, Incarnation: c.Incarnation}
		}
		e.Services = append(e.Services, services...)
		found[c.Host] = e
	}
	for _, c := range s.bridges {
		add(c)
	}
	for _, service := range sortedKeys(s.services) {
		for _, c := range s.services[service].Nodes {
			add(c, service)
		}
	}
	entries := make([]DirectoryEntry, 0, len(found))
	for _, host := range sortedKeys(found) {
		entries = append(entries, found[host])
	}
	return entries
}

// LookupMember returns the stored state of a host of the own zone.
func (g *Group) LookupMember(host string) (Member, bool) {
	rec, ok := g.roster.records[host]
	if !ok {
		return Member{}, false
	}
	return rec.member, true
}

// LookupNode returns a host of any zone and whether it is considered running. Of other
// zones only the bridges and the nodes listed in summaries are known.
func (g *Group) LookupNode(host string, now time.Time) (Node, bool) {
	if rec, ok := g.roster.records[host]; ok {
		m := rec.member
		return Node{Host: m.Host, Zone: g.zone, Address: m.Address, Incarnation: m.Incarnation}, m.Present()
	}
	for _, name := range g.zones.names {
		s := g.zones.states[name]
		if c, ok := s.newestContact(host); ok {
			n := Node{Host: c.Host, Zone: name, Address: c.Address, Incarnation: c.Incarnation}
			return n, g.reachable(s, now)
		}
	}
	return Node{}, false
}

// newestContact returns the contact with the given host that has the greatest
// incarnation.
func (s *zoneState) newestContact(host string) (Contact, bool) {
	var newest Contact
	keep := func(contacts []Contact) {
		for _, c := range contacts {
			if c.Host == host && (newest.Host == "" || c.Incarnation > newest.Incarnation) {
				newest = c
			}
		}
	}
	keep(s.bridges)
	for _, entry := range s.services {
		keep(entry.Nodes)
	}
	return newest, newest.Host != ""
}

// Members returns the present members of the own zone, including this node, sorted by
// host.
func (g *Group) Members() []Member {
	var members []Member
	for _, rec := range g.roster.records {
		if rec.member.Present() {
			members = append(members, rec.member)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Host < members[j].Host })
	return members
}

// A ZoneStatus is this node's view of another zone.
type ZoneStatus struct {
	// Name is the availability zone.
	Name string
	// Reachable reports whether a heartbeat arrived within the zone timeout.
	Reachable bool
	// Services is the number of services that the zone offers.
	Services int
}

// Zones returns the status of the other zones, sorted by name.
func (g *Group) Zones(now time.Time) []ZoneStatus {
	views := make([]ZoneStatus, 0, len(g.zones.names))
	for _, name := range g.zones.names {
		s := g.zones.states[name]
		views = append(views, ZoneStatus{Name: name, Reachable: g.reachable(s, now), Services: len(s.services)})
	}
	return views
}
