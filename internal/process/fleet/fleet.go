// Package fleet knows the hosts of the deployment and their backend servers.
// Each host publishes one record about itself; a higher revision of the same
// incarnation, or a higher incarnation, replaces what was known. Records come
// from the platform's table and from other nodes, in any order and more than
// once. Package sidecar carries them; package relay routes by them.
package fleet

import (
	"slices"
	"strings"
	"sync"
)

// A State says whether a backend server takes new work.
type State string

// The states of a backend server.
const (
	// Serving takes new work.
	Serving State = "serving"
	// Draining takes no new work and will end soon.
	Draining State = "draining"
	// Down can't be reached by the node of its host.
	Down State = "down"
)

// A Backend is the backend server of a host as it announced itself.
type Backend struct {
	// ID names the incarnation; an ID may be used again after a restart.
	ID      string `cbor:"1,keyasint" json:"id"`
	Service string `cbor:"2,keyasint" json:"service"`
	// Slots is the number of requests that it runs at once; an upper bound.
	Slots int   `cbor:"3,keyasint" json:"slots"`
	State State `cbor:"4,keyasint" json:"state"`
	// Born is when it started, in Unix milliseconds by its own clock; zero if
	// it did not say.
	Born int64 `cbor:"5,keyasint,omitempty" json:"born,omitempty"`
	// WarmAt is when it will be as fast as usual, in Unix milliseconds.
	WarmAt int64 `cbor:"6,keyasint,omitempty" json:"warm-at,omitempty"`
}

// A Host is what a node says of itself.
type Host struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	// Address is where the node takes calls of other nodes.
	Address string `cbor:"3,keyasint" json:"address"`
	// Incarnation grows with each start of the node, Revision with each change.
	Incarnation int64 `cbor:"4,keyasint" json:"incarnation"`
	Revision    int64 `cbor:"5,keyasint" json:"revision"`
	// Leaving says that the node ends and takes no new work.
	Leaving bool `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
	// Backend is the host's backend server; its ID is empty while there is none.
	Backend Backend `cbor:"7,keyasint" json:"backend-server"`
}

// Newer reports whether h replaces o.
func (h Host) Newer(o Host) bool {
	if h.Incarnation != o.Incarnation {
		return h.Incarnation > o.Incarnation
	}
	return h.Revision > o.Revision
}

// Takes reports whether the host takes new work of a service.
func (h Host) Takes(service string) bool {
	return !h.Leaving && h.Backend.ID != "" && h.Backend.Service == service && h.Backend.State == Serving
}

// A Directory holds the newest record of each host. It is safe for concurrent use.
type Directory struct {
	// mu guards all below.
	mu      sync.RWMutex
	hosts   map[string]Host
	changes uint64
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{hosts: make(map[string]Host)}
}

// Merge takes in a record and reports whether it was news. A record without a
// name or an address names nobody and is dropped.
func (d *Directory) Merge(h Host) bool {
	if h.Name == "" || h.Address == "" {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.hosts[h.Name]
	if ok && !h.Newer(known) {
		return false
	}
	d.hosts[h.Name] = h
	d.changes++
	return true
}

// Remove takes out a host unless a newer record than the given one is known.
func (d *Directory) Remove(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.hosts[h.Name]; ok && !known.Newer(h) {
		delete(d.hosts, h.Name)
		d.changes++
	}
}

// Host returns a host by name.
func (d *Directory) Host(name string) (Host, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	h, ok := d.hosts[name]
	return h, ok
}

// Changes counts the changes, so that readers notice a new one.
func (d *Directory) Changes() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changes
}

// Hosts returns all hosts in the order of their names.
func (d *Directory) Hosts() []Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	hosts := make([]Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// Serving returns the hosts that take new work of a service.
func (d *Directory) Serving(service string) []Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var hosts []Host
	for _, h := range d.hosts {
		if h.Takes(service) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
