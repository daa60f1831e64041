// Package member implements gossip membership and failure detection. It follows
// SWIM (Das, Gupta, Motivala, 2002): each node probes one other node per period, asks
// a few others for indirect probes when the target does not answer, and declares a
// member dead only after a suspicion timeout during which the member can refute. Two
// levels bound the cost per node: a node tracks every member of its own availability
// zone, and for each other zone only a summary per service, which a few bridge nodes
// of each zone exchange.
//
// A Group is a deterministic state machine: its inputs are messages and the current
// time, its outputs are messages to send and changes. It has no goroutine, socket,
// clock or random source of its own, and no lock: the caller serializes all calls.
// Package internal/process/membership runs it over the network.
package member

import "slices"

// Status is the state of a member as its zone sees it.
type Status uint8

// The statuses of a member. At equal incarnation and revision, the greater status
// supersedes the smaller.
const (
	// Alive members answer probes.
	Alive Status = iota
	// Suspect members failed a probe and may still refute the suspicion.
	Suspect
	// Dead members did not refute a suspicion within the suspicion timeout.
	Dead
	// Left members announced that their process ends.
	Left
)

// String returns the status in lower case.
func (s Status) String() string {
	names := [...]string{"alive", "suspect", "dead", "left"}
	if int(s) >= len(names) {
		return "unknown"
	}
	return names[s]
}

// A Member is the state of one node. Values are immutable; Services is never changed
// in place.
type Member struct {
	_ struct{} `cbor:",toarray"`
	// Host is the unique name of the backend server host.
	Host string
	// Address is the network address for membership messages and calls.
	Address string
	// Services are the services of the host's backend servers.
	Services []string
	// Incarnation identifies the process; a restart increases it.
	Incarnation uint64
	// Revision orders the updates within one incarnation. Only the member itself
	// increases it, to refute a suspicion or to change its own state.
	Revision uint64
	// Status is the status of the member.
	Status Status
	// Draining reports that the host takes no new work; it still answers probes.
	Draining bool
}

// WithServices returns a copy with the given services.
func (m Member) WithServices(services []string) Member {
	m.Services = slices.Clone(services)
	return m
}

// WithStatus returns a copy with the given status.
func (m Member) WithStatus(status Status) Member {
	m.Status = status
	return m
}

// WithRevision returns a copy with the given revision.
func (m Member) WithRevision(revision uint64) Member {
	m.Revision = revision
	return m
}

// WithDraining returns a copy with Draining set to the given value.
func (m Member) WithDraining(draining bool) Member {
	m.Draining = draining
	return m
}

// Present reports whether the member is considered running: alive or suspect.
func (m Member) Present() bool { return m.Status == Alive || m.Status == Suspect }

// leaving reports whether the member drains or has left.
func (m Member) leaving() bool { return m.Draining || m.Status == Left }

// Supersedes reports whether m replaces other, an update for the same host. The order
// is strict, so all nodes converge on the same update in any order of arrival.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.Status > other.Status
}

// offers reports whether the member takes new work for the service.
func (m Member) offers(service string) bool {
	return m.Present() && !m.Draining && slices.Contains(m.Services, service)
}

// A Change is an applied update of a member.
type Change struct {
	// Before is the previous state; its Host is empty for a new member.
	Before Member
	// After is the current state.
	After Member
}

// Restarted reports whether the host runs a new process, which has lost the state that
// the previous one held in memory.
func (c Change) Restarted() bool {
	return c.Before.Host != "" && c.After.Incarnation > c.Before.Incarnation
}

// A Contact is a node of another zone and its address.
type Contact struct {
	_ struct{} `cbor:",toarray"`
	// Host is the unique name of the host.
	Host string
	// Address is the network address for messages and calls.
	Address string
	// Incarnation identifies the process.
	Incarnation uint64
}

// A Node is a host that serves calls, with its zone and address.
type Node struct {
	// Host is the unique name of the host.
	Host string
	// Zone is the availability zone of the host.
	Zone string
	// Address is the network address of the node.
	Address string
	// Incarnation identifies the process.
	Incarnation uint64
}
