package member

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// formatVersion is the version of the message format.
const formatVersion = 1

// ErrMalformed reports a message that can't be decoded or exceeds the size limit.
var ErrMalformed = eris.New("malformed membership message")

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	// Ping is a probe; the target replies with an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping and proves that its sender is alive.
	Ack
	// PingRequest asks the receiver to ping Target and to forward the Ack.
	PingRequest
	// Gossip carries new member updates and rumours.
	Gossip
	// Digest carries one hash per bucket over all members and rumours of the sender.
	Digest
	// HashList answers a Digest with the hashes of the entries in differing buckets;
	// it has no ranges if nothing differs.
	HashList
	// EntryRequest asks for the entries with the given hashes.
	EntryRequest
	// Entries carries entries that the receiver lacks.
	Entries
)

// A Message is a message between two nodes. Fields that a kind does not use are
// omitted from the encoding.
type Message struct {
	// Format is the version of the message format.
	Format uint8 `cbor:"1,keyasint"`
	// Kind is the kind of the message.
	Kind Kind `cbor:"2,keyasint"`
	// Zone is the availability zone of the sender.
	Zone string `cbor:"3,keyasint"`
	// From is the sender's own state.
	From Member `cbor:"4,keyasint"`
	// Sequence matches an Ack to its Ping.
	Sequence uint64 `cbor:"5,keyasint,omitempty"`
	// Target is the host to probe with a Ping or PingRequest.
	Target string `cbor:"6,keyasint,omitempty"`
	// Address is the target's address in a PingRequest.
	Address string `cbor:"7,keyasint,omitempty"`
	// Members are updates of members of the sender's zone.
	Members []Member `cbor:"8,keyasint,omitempty"`
	// Rumours are rumours of any zone.
	Rumours []Rumour `cbor:"9,keyasint,omitempty"`
	// MemberDigest is one hash for each bucket of members.
	MemberDigest []uint64 `cbor:"10,keyasint,omitempty"`
	// RumourDigest is one hash for each bucket of rumours.
	RumourDigest []uint64 `cbor:"11,keyasint,omitempty"`
	// Ranges are the bucket ranges of a HashList or EntryRequest.
	Ranges []BucketRange `cbor:"12,keyasint,omitempty"`
	// Rebroadcast asks the receiver of Entries to gossip those that are new to it.
	Rebroadcast bool `cbor:"13,keyasint,omitempty"`
	// More reports that more buckets differ than fit into the HashList.
	More bool `cbor:"14,keyasint,omitempty"`
}

// A BucketRange is a range of entries in one bucket, identified by their hashes.
type BucketRange struct {
	_ struct{} `cbor:",toarray"`
	// Rumours selects the rumour buckets instead of the member buckets.
	Rumours bool
	// Bucket is the index of the bucket.
	Bucket uint8
	// Low and High are the bounds of the range, both inclusive.
	Low, High uint64
	// Hashes are the entries that the sender holds or requests.
	Hashes []uint64
}

// decoder limits the memory that decoding a received message can allocate.
var decoder = func() cbor.DecMode {
	options := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 32, MaxNestedLevels: 8}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the CBOR encoding of the message.
func Encode(m Message) ([]byte, error) {
	encoded, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode membership message: %w", err)
	}
	return encoded, nil
}

// Decode parses a message of at most limit bytes. It returns ErrMalformed for anything
// that is not a complete message of this format.
func Decode(encoded []byte, limit int) (Message, error) {
	if len(encoded) > limit {
		return Message{}, fmt.Errorf("decode %d bytes: %w", len(encoded), ErrMalformed)
	}
	var m Message
	if err := decoder.Unmarshal(encoded, &m); err != nil {
		return Message{}, fmt.Errorf("decode: %w: %w", ErrMalformed, err)
	}
	if m.Format != formatVersion || m.From.Host == "" || m.Zone == "" {
		return Message{}, fmt.Errorf("decode format %d: %w", m.Format, ErrMalformed)
	}
	return m, nil
}

// Maximum encoded sizes of the fixed parts of a message in bytes.
const (
	headerSize  = 64
	memberSize  = 36
	rumourSize  = 28
	serviceSize = 3
	rangeSize   = 28
	hashSize    = 9
)

// size returns an upper bound of the member's encoded size.
func (m Member) size() int {
	total := memberSize + len(m.Host) + len(m.Address)
	for _, s := range m.Services {
		total += serviceSize + len(s)
	}
	return total
}

// size returns an upper bound of the rumour's encoded size.
func (r Rumour) size() int {
	return rumourSize + len(r.Topic) + len(r.Key) + len(r.Payload)
}

// size returns an upper bound of the encoded size of the message's header.
func (m Message) size() int {
	return headerSize + len(m.Zone) + m.From.size() + len(m.Target) + len(m.Address)
}
