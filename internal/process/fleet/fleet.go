// Package fleet maintains the directory of the deployment's hosts and their backend
// servers. Each host publishes one record about itself. A record is replaced by one
// with a higher incarnation, or with a higher revision of the same incarnation. Records
// arrive from the platform's table and from other nodes, in any order and possibly
// repeated. Package sidecar exchanges them; package relay uses them for routing.
package fleet

import (
	"slices"
	"strings"
	"sync"
)

// A State is the state of a backend server; only Serving accepts new requests.
type State string

// The states of a backend server.
const (
	// Serving means that it accepts new requests.
	Serving State = "serving"
	// Draining means that it accepts no new requests and will stop soon.
	Draining State = "draining"
	// Down means that the node of its host can't reach it.
	Down State = "down"
)

// A Backend describes the backend server of a host as last announced.
type Backend struct {
	// ID identifies the process. It may be reused after a restart.
	ID      string `cbor:"1,keyasint" json:"id"`
	Service string `cbor:"2,keyasint" json:"service"`
	// Slots is the maximum number of requests that it runs concurrently.
	Slots int   `cbor:"3,keyasint" json:"slots"`
	State State `cbor:"4,keyasint" json:"state"`
	// Born is its start time in Unix milliseconds by its own clock; zero if not
	// announced.
	Born int64 `cbor:"5,keyasint,omitempty" json:"born,omitempty"`
	// Cold reports whether it is cold, or may be. The number 6 was used before.
	Cold bool `cbor:"7,keyasint,omitempty" json:"cold,omitempty"`
}

// A Host is the record that a node publishes about its host.
type Host struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	// Address is the address on which the node accepts connections of other nodes.
	Address string `cbor:"3,keyasint" json:"address"`
	// Incarnation increases with each start of the node, Revision with each change.
	Incarnation int64 `cbor:"4,keyasint" json:"incarnation"`
	Revision    int64 `cbor:"5,keyasint" json:"revision"`
	// Leaving is set while the node shuts down and accepts no new requests.
	Leaving bool `cbor:"6,keyasint,omitempty" json:"leaving,omitempty"`
	// Backend is the host's backend server. Its ID is empty while there is none.
	Backend Backend `cbor:"7,keyasint" json:"backend-server"`
}

// Newer reports whether h replaces o.
func (h Host) Newer(o Host) bool {
	if h.Incarnation != o.Incarnation {
		return h.Incarnation > o.Incarnation
	}
	return h.Revision > o.Revision
}

// Accepts reports whether the host accepts new requests for a service.
func (h Host) Accepts(service string) bool {
	return !h.Leaving && h.Backend.ID != "" && h.Backend.Service == service && h.Backend.State == Serving
}

// A Directory holds the latest record of each host. A backend server that was once
// draining never becomes serving again, even if a restart of the node beside it makes it
// announce that. A Directory is safe for concurrent use.
type Directory struct {
	// mu guards the fields below.
	mu    sync.RWMutex
	hosts map[string]Host
	// draining is the last draining backend server of each host.
	draining map[string]Backend
	// evacuated are the availability zones whose hosts accept no requests.
	evacuated []string
	changes   uint64
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{hosts: make(map[string]Host), draining: make(map[string]Backend)}
}

// Merge stores a record if it is newer than the current one of its host, and reports
// whether the current one has changed. A record without a name or an address is invalid
// and ignored.
func (d *Directory) Merge(h Host) bool {
	if h.Name == "" || h.Address == "" {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	current, ok := d.hosts[h.Name]
	if h.Backend.State == Draining {
		d.remember(h.Name, h.Backend)
	}
	merged := h
	if ok && !h.Newer(current) {
		merged = current
	}
	merged.Backend = d.known(merged)
	if ok && merged == current {
		return false
	}
	d.hosts[h.Name] = merged
	d.changes++
	return true
}

// MarkDraining records that the backend server of a host, with a start time in Unix
// milliseconds, is draining.
func (d *Directory) MarkDraining(host, id string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.hosts[host]
	b := h.Backend
	if b.ID != id || b.Born != born {
		b = Backend{ID: id, Born: born}
	}
	b.State = Draining
	d.remember(host, b)
	if known := d.known(h); known != h.Backend && h.Name != "" {
		h.Backend = known
		d.hosts[host] = h
		d.changes++
	}
}

// remember records a draining backend server of a host, unless it is an earlier one than
// the last. Records and answers can arrive late. mu must be held.
func (d *Directory) remember(host string, b Backend) {
	if b.Born >= d.draining[host].Born {
		d.draining[host] = b
	}
}

// known returns the backend server of a host, with what is known beyond its record: a node
// that has restarted doesn't know that its backend server was draining, or knows none at
// all. mu must be held.
func (d *Directory) known(h Host) Backend {
	draining, ok := d.draining[h.Name]
	switch {
	case !ok:
		return h.Backend
	case h.Backend.ID == "":
		return draining
	case h.Backend.ID == draining.ID && h.Backend.Born == draining.Born:
		b := h.Backend
		b.State = Draining
		return b
	}
	return h.Backend
}

// SetEvacuated replaces the availability zones whose hosts accept no requests.
func (d *Directory) SetEvacuated(zones []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Equal(d.evacuated, zones) {
		d.evacuated = slices.Clone(zones)
		d.changes++
	}
}

// Remove removes a host unless the directory holds a newer record than h.
func (d *Directory) Remove(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if current, ok := d.hosts[h.Name]; ok && !current.Newer(h) {
		delete(d.hosts, h.Name)
		delete(d.draining, h.Name)
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

// Changes returns a counter that increases with each change, so that callers can
// detect one.
func (d *Directory) Changes() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.changes
}

// Size returns the number of hosts.
func (d *Directory) Size() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.hosts)
}

// ZoneSize returns the number of hosts in an availability zone.
func (d *Directory) ZoneSize(zone string) int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	n := 0
	for _, h := range d.hosts {
		if h.Zone == zone {
			n++
		}
	}
	return n
}

// Hosts returns all hosts, sorted by name.
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

// Serving returns the hosts that accept new requests for a service. Those of evacuated zones
// don't.
func (d *Directory) Serving(service string) []Host {
	d.mu.RLock()
	defer d.mu.RUnlock()
	var hosts []Host
	for _, h := range d.hosts {
		if h.Accepts(service) && !slices.Contains(d.evacuated, h.Zone) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
