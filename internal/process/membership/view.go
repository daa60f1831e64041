package membership

import (
	"github.com/bilberryvane/bilberryvane/member"
)

// Nodes returns the nodes that accept new requests for a service. Nodes of the own zone
// come first.
func (m *Membership) Nodes(service string) []member.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.Nodes(service, m.clock.Now())
}

// Alive reports whether a host is considered alive. For other zones only the hosts
// listed in zone summaries are known.
func (m *Membership) Alive(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, alive := m.group.LookupNode(host, m.clock.Now())
	return alive
}

// LookupNode returns the node of a host that is considered alive.
func (m *Membership) LookupNode(host string) (member.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.LookupNode(host, m.clock.Now())
}

// All returns all known nodes: the current members of the own zone, and the nodes of
// other zones that are listed in zone summaries. The result is shared; callers must not
// modify it.
func (m *Membership) All() []member.DirectoryEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	generation := m.group.Generation()
	if m.entries == nil || generation != m.generation {
		m.entries = m.group.Directory(m.clock.Now())
		m.generation = generation
	}
	return m.entries
}

// Zones returns the status of the other zones.
func (m *Membership) Zones() []member.ZoneStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.Zones(m.clock.Now())
}

// Self returns the node's own membership record.
func (m *Membership) Self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.Self()
}
