// Package member decides which nodes are up. It follows SWIM (Das, Gupta,
// Motivala, 2002): each node probes one other per period, asks a few others to
// probe when no answer comes, and declares a member dead only after a time of
// suspicion in which the member can refute. Two levels keep the cost per node
// bounded: the members of the own availability zone are known whole, other zones
// by a summary per service that a few bridge nodes of each zone exchange.
//
// A Group is a deterministic state machine: messages and the time go in, messages
// to send and changes come out. It has no goroutine, socket, clock or random
// source of its own, and no lock: the caller serializes all calls. Package
// internal/process/membership runs it over the network.
package member

import "slices"

// Status is what the group holds of a member.
type Status uint8

// The statuses of a member. At equal incarnation and revision the greater one
// supersedes the smaller.
const (
	// Alive members answer probes.
	Alive Status = iota
	// Suspect members have not answered; they may still refute.
	Suspect
	// Dead members did not refute within the suspicion timeout.
	Dead
	// Left members announced the end of their process.
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

// A Member is one node as its zone knows it. Values are immutable; Services is
// never changed in place.
type Member struct {
	_ struct{} `cbor:",toarray"`
	// Host is the unique name of the backend server host.
	Host string
	// Address is where the node receives membership messages and calls.
	Address string
	// Services are those that the host's backend servers offer.
	Services []string
	// Incarnation identifies the life of the process: a restart raises it.
	Incarnation uint64
	// Revision orders the statements within one incarnation. Only the member
	// itself raises it, to refute a suspicion or to change what it announces.
	Revision uint64
	// Status is what is stated of the member.
	Status Status
	// Draining says that the host takes no new work; it still answers probes.
	Draining bool
}

// WithServices returns a copy that offers the given services.
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

// WithDraining returns a copy that takes new work or does not.
func (m Member) WithDraining(draining bool) Member {
	m.Draining = draining
	return m
}

// Present reports whether the member is held to run: alive or suspect.
func (m Member) Present() bool { return m.Status == Alive || m.Status == Suspect }

// leaving reports whether the member announced that it takes no new work.
func (m Member) leaving() bool { return m.Draining || m.Status == Left }

// Supersedes reports whether the statement m replaces the statement other about
// the same host. It is a strict order, so that all nodes keep the same one in
// whatever sequence they hear them.
func (m Member) Supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.Status > other.Status
}

// offers reports whether the member takes new work of the service.
func (m Member) offers(service string) bool {
	return m.Present() && !m.Draining && slices.Contains(m.Services, service)
}

// A Change tells that the group holds something new of a member.
type Change struct {
	// Before is the earlier statement; its Host is empty for a new member.
	Before Member
	// After is the present statement.
	After Member
}

// Restarted reports whether the host came back as a new process, whose memory is
// empty.
func (c Change) Restarted() bool {
	return c.Before.Host != "" && c.After.Incarnation > c.Before.Incarnation
}

// A Contact is where a node of another zone is reached.
type Contact struct {
	_ struct{} `cbor:",toarray"`
	// Host is the unique name of the host.
	Host string
	// Address is where the node receives messages and calls.
	Address string
	// Incarnation identifies the life of the process.
	Incarnation uint64
}

// A Node is one entry of the directory.
type Node struct {
	// Host is the unique name of the host.
	Host string
	// Zone is the availability zone of the host.
	Zone string
	// Address is where the node is reached.
	Address string
	// Incarnation identifies the life of the process.
	Incarnation uint64
}
