package suspects

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/member"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

// KindStrikes carries strikes and clearances between nodes.
const KindStrikes peer.Kind = 50

// Topic is that of strikes and clearances in gossip.
const Topic = "strikes"

const (
	// publishTimeout bounds the time that an answer waits for its strikes to spread.
	publishTimeout = 200 * time.Millisecond
	// maxSends bounds the messages under way.
	maxSends = 64
)

// A Sender carries a message to another node.
type Sender interface {
	Call(ctx context.Context, address string, k peer.Kind, body []byte) ([]byte, error)
}

// A Directory knows the nodes that take new work.
type Directory interface {
	Offering(service string) []member.Node
}

// Gossip spreads a small value to every node sooner or later.
type Gossip interface {
	PublishRumour(r member.Rumour, lifetime time.Duration) error
}

// A Broadcast sends rumours straight to the nodes of the service that they concern
// and gossips them to all others. It is safe for concurrent use.
type Broadcast struct {
	host      string
	directory Directory
	sender    Sender
	gossip    Gossip
	pool      pond.Pool
}

// NewBroadcast returns a Broadcast of a host.
func NewBroadcast(host string, d Directory, s Sender, g Gossip) *Broadcast {
	return &Broadcast{host: host, directory: d, sender: s, gossip: g, pool: pond.NewPool(maxSends)}
}

// Publish spreads the payload and waits for the nodes of the service, but not for
// long.
func (b *Broadcast) Publish(service, key string, payload []byte) {
	// A value too large for gossip still reaches the nodes of the service.
	_ = b.gossip.PublishRumour(member.Rumour{Topic: Topic, Key: key, Payload: payload}, quarantine.DefaultRetention)
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	group := b.pool.NewGroupContext(ctx)
	for _, n := range b.directory.Offering(service) {
		if n.Host == b.host || n.Address == "" {
			continue
		}
		group.Submit(func() {
			// A node that can't be reached now is told by the next strike.
			_, _ = b.sender.Call(ctx, n.Address, KindStrikes, payload)
		})
	}
	_ = group.Wait() // Ends with the messages or the time.
}

// Close ends the workers.
func (b *Broadcast) Close() { b.pool.StopAndWait() }
