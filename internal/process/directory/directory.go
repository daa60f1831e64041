// Package directory provides request handling with the nodes that serve each service.
// Package membership discovers the nodes.
package directory

import (
	"sync"

	"github.com/bilberryvane/bilberryvane/member"
)

// A Node is the directory entry of a node.
type Node struct {
	Host string
	Zone string
	// Address is the node's peer address.
	Address string
	// Service is the service that the node serves; empty for none.
	Service string
	// Leaving reports whether the node is draining and accepts no new requests.
	Leaving bool
	// Incarnation increases with each start of the node.
	Incarnation uint64
}

// A Source provides the live nodes.
type Source interface {
	// All returns all known nodes, including this one. It returns the same slice until
	// the membership changes; Directory relies on that to reuse its result.
	All() []member.DirectoryEntry
	// Advertise sets the service that this node advertises, empty for none, and whether
	// the node is draining.
	Advertise(service string, draining bool)
}

// A Directory lists the live nodes. It is safe for concurrent use.
type Directory struct {
	source Source

	// mu guards entries and nodes.
	mu sync.Mutex
	// entries is the slice from which nodes was built.
	entries []member.DirectoryEntry
	nodes   []Node
}

// New returns a Directory that reads its nodes from a source.
func New(s Source) *Directory { return &Directory{source: s} }

// Advertise sets the service that this node advertises, empty for none, and whether the
// node is draining.
func (d *Directory) Advertise(service string, draining bool) { d.source.Advertise(service, draining) }

// Nodes returns all known nodes, including this one. The result is shared and must not
// be modified.
func (d *Directory) Nodes() []Node {
	entries := d.source.All()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(entries) > 0 && len(entries) == len(d.entries) && &entries[0] == &d.entries[0] {
		return d.nodes
	}
	nodes := make([]Node, 0, len(entries))
	for _, e := range entries {
		n := Node{Host: e.Host, Zone: e.Zone, Address: e.Address, Leaving: e.Draining, Incarnation: e.Incarnation}
		if len(e.Services) > 0 {
			n.Service = e.Services[0]
		}
		nodes = append(nodes, n)
	}
	d.entries = entries
	d.nodes = nodes
	return nodes
}
