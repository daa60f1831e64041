package member

import (
	"sort"
	"time"
)

// Generation grows with each change of what Nodes and Entries return, at the latest
// with the next tick, so that a caller can keep results.
func (g *Group) Generation() uint64 { return g.generation + g.roster.generation }

// Nodes returns the nodes that take new work of a service, those of the own zone
// first, each zone in the order of hosts. Doubtful ones, which are suspect or in a
// zone without a heartbeat, are returned only if there are no others.
func (g *Group) Nodes(service string, now time.Time) []Node {
	var sure, doubtful []Node
	for _, rec := range g.roster.services[service] {
		m := rec.member
		n := Node{Host: m.Host, Zone: g.zone, Address: m.Address, Incarnation: m.Incarnation}
		if m.Status == Suspect {
			doubtful = append(doubtful, n)
			continue
		}
		sure = append(sure, n)
	}
	sort.Slice(sure, func(i, j int) bool { return sure[i].Host < sure[j].Host })
	for _, name := range g.zones.names {
		s := g.zones.states[name]
		for _, c := range s.services[service].Nodes {
			n := Node{Host: c.Host, Zone: name, Address: c.Address, Incarnation: c.Incarnation}
			if g.reachable(s, now) {
				sure = append(sure, n)
				continue
			}
			doubtful = append(doubtful, n)
		}
	}
	if len(sure) == 0 {
		return doubtful
	}
	return sure
}

// An Entry is a node with what it offers.
type Entry struct {
	Node
	// Services are those that the host offers; of a host of another zone those
	// whose summaries name it.
	Services []string
	// Draining says that the host takes no new work.
	Draining bool
}

// Entries returns the present members of the own zone, this node included, and the
// nodes that the summaries of reachable zones name, in the order of zones and hosts.
func (g *Group) Entries(now time.Time) []Entry {
	var entries []Entry
	for _, m := range g.Members() {
		n := Node{Host: m.Host, Zone: g.zone, Address: m.Address, Incarnation: m.Incarnation}
		entries = append(entries, Entry{Node: n, Services: m.Services, Draining: m.Draining})
	}
	for _, name := range g.zones.names {
		if s := g.zones.states[name]; g.reachable(s, now) {
			entries = append(entries, s.entries()...)
		}
	}
	return entries
}

// entries returns the nodes that the zone's summaries and bridges name.
func (s *zoneState) entries() []Entry {
	found := make(map[string]Entry)
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
	entries := make([]Entry, 0, len(found))
	for _, host := range sortedKeys(found) {
		entries = append(entries, found[host])
	}
	return entries
}

// Lookup returns what is held of a host of the own zone.
func (g *Group) Lookup(host string) (Member, bool) {
	rec, ok := g.roster.records[host]
	if !ok {
		return Member{}, false
	}
	return rec.member, true
}

// Find returns a host that is held to run, of any zone. Of other zones only the
// nodes that summaries name are known.
func (g *Group) Find(host string, now time.Time) (Node, bool) {
	if rec, ok := g.roster.records[host]; ok {
		m := rec.member
		return Node{Host: m.Host, Zone: g.zone, Address: m.Address, Incarnation: m.Incarnation}, m.Present()
	}
	for _, name := range g.zones.names {
		s := g.zones.states[name]
		if c, ok := s.find(host); ok {
			n := Node{Host: c.Host, Zone: name, Address: c.Address, Incarnation: c.Incarnation}
			return n, g.reachable(s, now)
		}
	}
	return Node{}, false
}

// find returns a contact of the zone by its host, that of the newest incarnation.
func (s *zoneState) find(host string) (Contact, bool) {
	var newest Contact
	keep := func(contacts []Contact) {
		for _, c := range contacts {
			if c.Host == host && (newest.Host == "" || c.Incarnation > newest.Incarnation) {
				newest = c
			}
		}
	}
	keep(s.bridges)
	for _, held := range s.services {
		keep(held.Nodes)
	}
	return newest, newest.Host != ""
}

// Members returns the present members of the own zone, this node included, in the
// order of hosts.
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

// A ZoneView is what is held of another zone.
type ZoneView struct {
	// Name is the availability zone.
	Name string
	// Reachable reports whether a heartbeat arrived within the zone timeout.
	Reachable bool
	// Services is how many services the zone offers.
	Services int
}

// Zones returns the other zones in the order of their names.
func (g *Group) Zones(now time.Time) []ZoneView {
	views := make([]ZoneView, 0, len(g.zones.names))
	for _, name := range g.zones.names {
		s := g.zones.states[name]
		views = append(views, ZoneView{Name: name, Reachable: g.reachable(s, now), Services: len(s.services)})
	}
	return views
}
