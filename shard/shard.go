// Package shard decides who may act for a piece of state that must be owned once,
// and keeps its records in the memory of a few hosts that may vanish at any time.
//
// A shard has one holder and a small group of members. A row of an external table
// with conditional writes names the epoch, the holder's attempt and the members with
// their incarnations; the members agree on nothing among themselves and keep nothing
// lasting. The table is needed to change the row, never to serve.
//
// The package guarantees, whatever messages are lost, delayed, reordered or repeated,
// whoever is paused, and whatever table answers are lost:
//
//   - At any moment at most one Holder of a shard reports Held. A caller that checks
//     Held at the moment of its effect is the only one that acts.
//   - A record reported as committed is known to every later holder, as long as fewer
//     than a majority of an epoch's members lose their memory before the next epoch.
//     If a majority is lost, a takeover is possible only with proof that the silent
//     members are gone, and the row then says that records may be missing.
//   - Once faults end, a Taker whose members answer becomes the holder.
//
// It assumes that the monotonic clocks of two hosts run at rates that differ by at
// most the drift in Terms, and that an incarnation is never used twice.
//
// Member, Holder and Taker are deterministic state machines: messages and the time
// go in, messages come out. They have no goroutine, socket, clock or lock; the caller
// serializes the calls to each of them. The model in model/shard.pml is the
// specification of the protocol. Package claim keeps its records on a shard.
package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// An Epoch numbers the successive groups of a shard; the first is 1.
type Epoch uint64

// An AttemptID names one attempt to take a shard. It must be unique.
type AttemptID string

// A MemberID names a member's memory: a restarted host has another incarnation.
type MemberID struct {
	// Host is the host on which the member runs.
	Host string `cbor:"1,keyasint"`
	// Incarnation is unique for each start of the host's process.
	Incarnation string `cbor:"2,keyasint"`
}

// A Row is the shard's row of the table: who holds it, with which members.
type Row struct {
	// Epoch grows by one with each change.
	Epoch Epoch `cbor:"1,keyasint"`
	// Attempt is the attempt that won the epoch.
	Attempt AttemptID `cbor:"2,keyasint"`
	// Holder is where the attempt was made.
	Holder MemberID `cbor:"3,keyasint"`
	// Members is the group of the epoch.
	Members []MemberID `cbor:"4,keyasint"`
	// Lossy says that records may be missing, since a majority of the members of
	// the epoch before was gone.
	Lossy bool `cbor:"5,keyasint,omitempty"`
}

// A Stamp orders the writes of one key: by epoch, then by the holder's sequence.
type Stamp struct {
	Epoch    Epoch  `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Less reports whether the stamp is older than another.
func (s Stamp) Less(other Stamp) bool {
	if s.Epoch != other.Epoch {
		return s.Epoch < other.Epoch
	}
	return s.Sequence < other.Sequence
}

// A Record is one version of the value under a key. Its value must not be changed
// by anyone once it was handed over.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Deleted marks the removal of the key.
	Deleted bool  `cbor:"3,keyasint,omitempty"`
	Stamp   Stamp `cbor:"4,keyasint"`
}

// sorted returns records in the order of their keys, so that runs can be repeated.
func sorted(records map[string]Record) []Record {
	list := slices.Collect(maps.Values(records))
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// present returns the records that are not removals, in the order of their keys.
func present(records map[string]Record) []Record {
	return slices.DeleteFunc(sorted(records), func(r Record) bool { return r.Deleted })
}

// The default terms of a lease.
const (
	defaultLease  = 3 * time.Second
	defaultRenew  = 700 * time.Millisecond
	defaultResend = 250 * time.Millisecond
	// defaultDrift is the share by which two clocks' rates may differ.
	defaultDrift = 0.01
	// defaultPage bounds the records of one message.
	defaultPage = 1 << 20 // bytes
	// recordOverhead is what a record takes in a message besides key and value.
	recordOverhead = 32 // bytes
)

// Terms are the times that all hosts of a shard share.
type Terms struct {
	// Lease is how long a granted lease lasts by the holder's clock, from its send.
	Lease time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Resend is the time after which an unanswered message is sent again.
	Resend time.Duration
	// Drift is the largest share by which the clocks of two hosts may differ in
	// rate, such as 0.01. A member waits longer by this share.
	Drift float64
	// Page bounds the records that one message hands over, in bytes; a message
	// holds one record at least.
	Page int
}

// An Option changes the terms.
type Option func(*Terms)

// NewTerms returns the default terms with the options applied.
func NewTerms(options ...Option) Terms {
	t := Terms{Lease: defaultLease, Renew: defaultRenew, Resend: defaultResend, Drift: defaultDrift, Page: defaultPage}
	for _, o := range options {
		o(&t)
	}
	return t
}

// WithLease sets the length of a lease and the time between renewals.
func WithLease(lease, renew time.Duration) Option {
	return func(t *Terms) {
		t.Lease = lease
		t.Renew = renew
	}
}

// WithResend sets the time after which an unanswered message is sent again.
func WithResend(resend time.Duration) Option {
	return func(t *Terms) { t.Resend = resend }
}

// WithDrift sets the largest share by which two clocks may differ in rate.
func WithDrift(drift float64) Option {
	return func(t *Terms) { t.Drift = drift }
}

// WithPage sets the bound on the records of one message, in bytes.
func WithPage(size int) Option {
	return func(t *Terms) { t.Page = size }
}

// page returns how many of the first records fit into one message.
func (t Terms) page(records []Record) int {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + recordOverhead
		if size > t.Page && i > 0 {
			return i
		}
	}
	return len(records)
}

// memberLease is how long a member counts a lease as granted by its own clock.
func (t Terms) memberLease() time.Duration {
	return t.Lease + time.Duration(float64(t.Lease)*t.Drift) + 1
}

// Majority returns how many of a group's members are more than half of it.
func Majority(members int) int { return members/2 + 1 }
