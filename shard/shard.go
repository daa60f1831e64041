// Package shard elects a single holder for a piece of state and replicates the
// holder's records in the memory of a few hosts, any of which may fail at any time.
//
// A shard has one holder and a small group of members. A row of an external table
// with conditional writes stores the epoch, the attempt that won it, and the members
// with their incarnations. Members don't coordinate with each other and persist
// nothing. The table is needed to change the row, not to serve requests.
//
// The package guarantees the following, regardless of lost, delayed, reordered or
// duplicated messages, paused processes and lost table responses:
//
//   - At any time, at most one Holder of a shard reports Held. A caller that checks
//     Held right before each side effect is the only one that acts.
//   - A committed record is present at every later holder, as long as fewer than a
//     majority of an epoch's members lose their memory before the next epoch. If a
//     majority is lost, a takeover requires proof that the unresponsive members are
//     gone, and marks the row as lossy.
//   - After all faults end, a Takeover whose members respond becomes the holder.
//
// It assumes that the monotonic clock rates of two hosts differ by at most
// Config.MaxDrift, and that an incarnation is never reused.
//
// Member, Holder and Takeover are deterministic state machines: they take messages
// and the current time, and return messages. They use no goroutines, sockets, clocks
// or locks; the caller serializes the calls to each of them. The protocol is
// specified by the model in model/shard.pml. Package claim stores its records in
// shards.
package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// An Epoch numbers the successive groups of a shard, starting at 1.
type Epoch uint64

// An AttemptID identifies one takeover attempt of a shard. It must be unique.
type AttemptID string

// A MemberID identifies a member. A restarted host has a new incarnation, since its
// memory is empty.
type MemberID struct {
	// Host is the name of the member's host.
	Host string `cbor:"1,keyasint"`
	// Incarnation is unique for each start of the host's process.
	Incarnation string `cbor:"2,keyasint"`
}

// A Row is the shard's row in the table: its holder, epoch and members.
type Row struct {
	// Epoch increases by one with each change of the row.
	Epoch Epoch `cbor:"1,keyasint"`
	// Attempt is the attempt that won the epoch.
	Attempt AttemptID `cbor:"2,keyasint"`
	// Holder is the member on the host that made the attempt.
	Holder MemberID `cbor:"3,keyasint"`
	// Members is the group of this epoch.
	Members []MemberID `cbor:"4,keyasint"`
	// Lossy reports that records may be missing because a majority of the members of
	// the previous epoch was lost.
	Lossy bool `cbor:"5,keyasint,omitempty"`
}

// A Version orders the writes of a key, first by epoch and then by the holder's
// sequence number.
type Version struct {
	Epoch    Epoch  `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
}

// Less reports whether v is older than other.
func (v Version) Less(other Version) bool {
	if v.Epoch != other.Epoch {
		return v.Epoch < other.Epoch
	}
	return v.Sequence < other.Sequence
}

// A Record is one version of the value of a key. Value must not be modified after the
// record is passed on.
type Record struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Deleted marks the record as a tombstone.
	Deleted bool    `cbor:"3,keyasint,omitempty"`
	Version Version `cbor:"4,keyasint"`
}

// sortedByKey returns the records ordered by key, so that runs are reproducible.
func sortedByKey(records map[string]Record) []Record {
	list := slices.Collect(maps.Values(records))
	slices.SortFunc(list, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return list
}

// withoutDeleted returns the records that are not tombstones, ordered by key.
func withoutDeleted(records map[string]Record) []Record {
	return slices.DeleteFunc(sortedByKey(records), func(r Record) bool { return r.Deleted })
}

// Defaults of Config.
const (
	defaultLeaseDuration  = 3 * time.Second
	defaultRenewInterval  = 700 * time.Millisecond
	defaultResendInterval = 250 * time.Millisecond
	// defaultMaxDrift is the largest relative difference between two clock rates.
	defaultMaxDrift = 0.01
	// defaultMaxPageBytes bounds the size of the records in one message.
	defaultMaxPageBytes = 1 << 20
	// recordOverheadBytes is the encoded size of a record without its key and value.
	recordOverheadBytes = 32
)

// A Config holds the settings that all hosts of a shard must share.
type Config struct {
	// LeaseDuration is how long a lease is valid by the clock of the holder, counted
	// from the sending of the renewal.
	LeaseDuration time.Duration
	// RenewInterval is the time between two lease renewals.
	RenewInterval time.Duration
	// ResendInterval is the time after which an unanswered message is sent again.
	ResendInterval time.Duration
	// MaxDrift is the largest relative difference between the clock rates of two
	// hosts, such as 0.01. Members extend the leases that they grant by this fraction.
	MaxDrift float64
	// MaxPageBytes bounds the size of the records in one message. A message holds at
	// least one record, even if that record is larger.
	MaxPageBytes int
}

// An Option changes a Config.
type Option func(*Config)

// NewConfig returns the default Config with the options applied.
func NewConfig(options ...Option) Config {
	c := Config{
		LeaseDuration:  defaultLeaseDuration,
		RenewInterval:  defaultRenewInterval,
		ResendInterval: defaultResendInterval,
		MaxDrift:       defaultMaxDrift,
		MaxPageBytes:   defaultMaxPageBytes,
	}
	for _, o := range options {
		o(&c)
	}
	return c
}

// WithLease sets the lease duration and the time between renewals.
func WithLease(lease, renew time.Duration) Option {
	return func(c *Config) {
		c.LeaseDuration = lease
		c.RenewInterval = renew
	}
}

// WithResendInterval sets the time after which an unanswered message is sent again.
func WithResendInterval(resend time.Duration) Option {
	return func(c *Config) { c.ResendInterval = resend }
}

// WithMaxDrift sets the largest relative difference between two clock rates.
func WithMaxDrift(drift float64) Option {
	return func(c *Config) { c.MaxDrift = drift }
}

// WithMaxPageBytes bounds the size of the records in one message.
func WithMaxPageBytes(size int) Option {
	return func(c *Config) { c.MaxPageBytes = size }
}

// pageLen returns how many of the leading records fit into one message.
func (c Config) pageLen(records []Record) int {
	size := 0
	for i, r := range records {
		size += len(r.Key) + len(r.Value) + recordOverheadBytes
		if size > c.MaxPageBytes && i > 0 {
			return i
		}
	}
	return len(records)
}

// memberLease returns how long a granted lease is valid by the clock of the member. It
// exceeds LeaseDuration by the clock drift.
func (c Config) memberLease() time.Duration {
	return c.LeaseDuration + time.Duration(float64(c.LeaseDuration)*c.MaxDrift) + 1
}

// Majority returns the smallest number of members that is more than half of the group.
func Majority(members int) int { return members/2 + 1 }
