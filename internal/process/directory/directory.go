// Package directory tells the parts that deal with requests which nodes offer a
// service. Package membership finds the nodes.
package directory

import (
	"sync"

	"github.com/bilberryvane/bilberryvane/member"
)

// A Node is what is known of a node.
type Node struct {
	Host string
	Zone string
	// Address is the node's peer address.
	Address string
	// Service is the service that it offers; empty for none.
	Service string
	// Leaving says that it takes no new work.
	Leaving bool
	// Incarnation is greater after each start of the node.
	Incarnation uint64
}

// A Source knows the nodes that are up.
type Source interface {
	// All returns every node known, the own one included: the same list until it
	// changes.
	All() []member.DirectoryEntry
	// Advertise changes what the own node offers; an empty service is none.
	Advertise(service string, draining bool)
}

// A Directory holds the nodes that are up. It is safe for concurrent use.
type Directory struct {
	source Source

	// mu guards entries and nodes.
	mu sync.Mutex
	// entries is the list from which nodes were made.
	entries []member.DirectoryEntry
	nodes   []Node
}

// New returns the Directory over a source.
func New(s Source) *Directory { return &Directory{source: s} }

// Advertise changes what the own node offers.
func (d *Directory) Advertise(service string, leaving bool) { d.source.Advertise(service, leaving) }

// Nodes returns all nodes known, the own one included. The result is shared and
// not to be changed.
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
