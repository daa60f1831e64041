package member

import (
	"bytes"
	"math"
	"time"
)

// Topics reserved for the group; Publish rejects them.
const (
	topicSummary   = "service-summary"
	topicBridges   = "zone-bridges"
	topicHeartbeat = "zone-heartbeat"
)

// A Rumour is a small versioned value that is gossiped to every node of every zone. Of
// two rumours with the same topic and key, nodes keep the one with the greater version,
// so they converge in any order of arrival.
type Rumour struct {
	_ struct{} `cbor:",toarray"`
	// Topic is the topic of the rumour.
	Topic string
	// Key identifies the rumour within its topic.
	Key string
	// Version orders the values of one key.
	Version uint64
	// Payload is the value, of at most Settings.MaxPayloadBytes bytes.
	Payload []byte
	// Remaining is the time until the rumour expires in milliseconds, counted by
	// each node from its receipt; zero means never.
	Remaining uint32
}

// Supersedes reports whether r replaces other. Equal versions are ordered by payload,
// so that concurrent writes converge on one value.
func (r Rumour) Supersedes(other Rumour) bool {
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return bytes.Compare(r.Payload, other.Payload) > 0
}

// WithLifetime returns a copy that expires after the given time; zero means never.
func (r Rumour) WithLifetime(lifetime time.Duration) Rumour {
	r.Remaining = uint32(min(lifetime.Milliseconds(), math.MaxUint32))
	return r
}

// id returns the identity of the rumour.
func (r Rumour) id() rumourID { return rumourID{topic: r.Topic, key: r.Key} }

// reserved reports whether the topic is reserved for the group.
func (r Rumour) reserved() bool {
	return r.Topic == topicSummary || r.Topic == topicBridges || r.Topic == topicHeartbeat
}

// background reports whether the rumour is only piggybacked on other messages.
func (r Rumour) background() bool { return r.Topic == topicHeartbeat }

// rumourID identifies a rumour.
type rumourID struct {
	topic string
	key   string
}

// rumourRecord is a stored rumour.
type rumourRecord struct {
	rumour  Rumour
	expires time.Time
	hash    uint64
	// expired is set when the lifetime of the rumour is over. The record is retained
	// for a while so that a late copy from another node does not count as new.
	expired bool
}

// snapshot returns the rumour with its remaining lifetime at now.
func (r *rumourRecord) snapshot(now time.Time) Rumour {
	if r.expires.IsZero() {
		return r.rumour
	}
	return r.rumour.WithLifetime(max(r.expires.Sub(now), time.Millisecond))
}

// summary is the payload of the topic service-summary: the number of nodes in a zone
// that offer a service, and a bounded subset of them.
type summary struct {
	_     struct{} `cbor:",toarray"`
	Count uint32
	Nodes []Contact
}
