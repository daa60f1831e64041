package membership

import (
	"github.com/bilberryvane/bilberryvane/member"
)

// Nodes returns the nodes that take new work of a service, those of the own zone
// first.
func (m *Membership) Nodes(service string) []member.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.Nodes(service, m.clock.Now())
}

// Alive reports whether a host is held to run. Of other zones only the hosts that
// summaries name are known.
func (m *Membership) Alive(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, alive := m.group.LookupNode(host, m.clock.Now())
	return alive
}

// Find returns a host that is held to run.
func (m *Membership) Find(host string) (member.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.LookupNode(host, m.clock.Now())
}

// All returns every node known: the present members of the own zone, and of other
// zones those that summaries name. The result is shared and not to be changed.
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

// Zones returns what is known of the other zones.
func (m *Membership) Zones() []member.ZoneStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.Zones(m.clock.Now())
}

// Self returns the node's own statement.
func (m *Membership) Self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group.Self()
}
