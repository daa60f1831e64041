// Package strikes sends the strikes of requests that crash backend servers to other nodes and
// receives theirs. Package suspects decides with them; package membership gossips them.
package strikes

import (
	"context"
	"fmt"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/member"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

// KindStrikes is the kind of a message that contains strikes and clearances.
const KindStrikes peer.Kind = 50

// rumourTopic is the topic of rumours that contain strikes and clearances.
const rumourTopic = "strikes"

const (
	// publishTimeout limits how long an answer is delayed until its strikes are sent.
	publishTimeout = 200 * time.Millisecond
	// rumourLifetime is how long strikes and clearances are gossiped.
	rumourLifetime = 10 * time.Minute
	// maxConcurrentSends limits the messages in flight.
	maxConcurrentSends = 64
)

// The versions of a rumour. A clearance takes precedence over the strike of the same
// crash.
const (
	struckVersion  = 1
	clearedVersion = 2
)

// A Sender sends a message to another node and returns the reply.
type Sender interface {
	Call(ctx context.Context, address string, k peer.Kind, body []byte) ([]byte, error)
}

// A Membership lists the nodes and gossips rumours to all of them.
type Membership interface {
	// Nodes returns the nodes that accept new work of a service.
	Nodes(service string) []member.Node
	// PublishRumour gossips a rumour until its lifetime ends.
	PublishRumour(r member.Rumour, lifetime time.Duration) error
	// Subscribe registers a function that is called for each rumour of a topic.
	Subscribe(topic string, handle func(key string, payload []byte))
}

// A Broadcaster sends strikes and clearances to other nodes: directly to those that offer
// the same service, and by gossip to all others. It is safe for concurrent use.
type Broadcaster struct {
	host       string
	membership Membership
	sender     Sender
	pool       pond.Pool
}

// NewBroadcaster returns a Broadcaster for a host.
func NewBroadcaster(host string, m Membership, s Sender) *Broadcaster {
	return &Broadcaster{host: host, membership: m, sender: s, pool: pond.NewPool(maxConcurrentSends)}
}

// Subscribe registers a function that is called with the payload of each rumour.
func (b *Broadcaster) Subscribe(handle func(payload []byte)) {
	b.membership.Subscribe(rumourTopic, func(_ string, payload []byte) { handle(payload) })
}

// Publish sends the strikes and clearances to the hosts that offer the service and waits
// for their replies up to publishTimeout. All other hosts receive them by gossip. An
// error means that the rumours after the first failed one were not published.
func (b *Broadcaster) Publish(service string, rumours []quarantine.Rumour) error {
	payload, err := cbor.Marshal(rumours)
	if err != nil {
		return fmt.Errorf("encode strikes: %w", err)
	}
	b.sendDirect(service, payload)
	for _, r := range rumours {
		if err := b.publishRumour(r); err != nil {
			return err
		}
	}
	return nil
}

// sendDirect sends the payload to the hosts of a service.
func (b *Broadcaster) sendDirect(service string, payload []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	group := b.pool.NewGroupContext(ctx)
	for _, n := range b.membership.Nodes(service) {
		if n.Host == b.host || n.Address == "" {
			continue
		}
		group.Submit(func() {
			// A node that can't be reached now receives the rumour by gossip.
			_, _ = b.sender.Call(ctx, n.Address, KindStrikes, payload)
		})
	}
	_ = group.Wait() // Returns when all replies are received or at the timeout.
}

// publishRumour publishes one strike or clearance as a rumour.
func (b *Broadcaster) publishRumour(r quarantine.Rumour) error {
	payload, err := cbor.Marshal([]quarantine.Rumour{r})
	if err != nil {
		return fmt.Errorf("encode strike: %w", err)
	}
	version := uint64(struckVersion)
	if r.Cleared {
		version = clearedVersion
	}
	rumour := member.Rumour{
		Topic:   rumourTopic,
		Key:     fmt.Sprintf("%x/%s/%x/%x", r.Fingerprint.Hash, r.Crash.Host, r.Crash.Incarnation, r.Crash.Number),
		Version: version,
		Payload: payload,
	}
	if err := b.membership.PublishRumour(rumour, rumourLifetime); err != nil {
		return fmt.Errorf("publish strike: %w", err)
	}
	return nil
}

// HostsOf returns the hosts that offer a service and accept new work.
func (b *Broadcaster) HostsOf(service string) []string {
	nodes := b.membership.Nodes(service)
	hosts := make([]string, 0, len(nodes))
	for _, n := range nodes {
		hosts = append(hosts, n.Host)
	}
	return hosts
}

// Close waits until the pending messages are sent and stops the workers.
func (b *Broadcaster) Close() { b.pool.StopAndWait() }
