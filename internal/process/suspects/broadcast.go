package suspects

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/directory"
)

// KindStrikes carries strikes and clearances between nodes.
const KindStrikes peer.Kind = 50

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

// A Directory knows the other nodes.
type Directory interface {
	Nodes() []directory.Node
}

// A Broadcast sends rumours straight to all nodes that the directory knows. It
// is safe for concurrent use.
type Broadcast struct {
	host      string
	directory Directory
	sender    Sender
	pool      pond.Pool
}

// NewBroadcast returns a Broadcast of a host.
func NewBroadcast(host string, d Directory, s Sender) *Broadcast {
	return &Broadcast{host: host, directory: d, sender: s, pool: pond.NewPool(maxSends)}
}

// Publish sends the payload to all nodes and waits for them, but not for long.
func (b *Broadcast) Publish(payload []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	group := b.pool.NewGroupContext(ctx)
	for _, n := range b.directory.Nodes() {
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

// HostsOf returns the hosts that offer a service and take new work.
func (b *Broadcast) HostsOf(service string) []string {
	var hosts []string
	for _, n := range b.directory.Nodes() {
		if n.Service == service && !n.Leaving {
			hosts = append(hosts, n.Host)
		}
	}
	return hosts
}

// Close ends the workers.
func (b *Broadcast) Close() { b.pool.StopAndWait() }
