package distribution_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/text"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/member"
)

// datagramOverhead is the size of the IP and UDP headers of a datagram, in bytes.
const datagramOverhead = 28

// A countingSocket counts the bytes that it sends, IP and UDP headers included.
type countingSocket struct {
	net.PacketConn
	sent *atomic.Int64
}

// WriteTo sends one datagram.
func (s countingSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.sent.Add(int64(len(p) + datagramOverhead))
	return s.PacketConn.WriteTo(p, to)
}

// A quicNode is one follower whose messages are sent over QUIC.
type quicNode struct {
	*distribution.Follower
	endpoint *peer.Endpoint
	self     distribution.Peer
	others   func() []distribution.Peer
}

func (q *quicNode) Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error) {
	return q.endpoint.Call(ctx, address, peer.Kind(kind), body)
}

func (q *quicNode) Peers() []distribution.Peer {
	var peers []distribution.Peer
	for _, p := range q.others() {
		if p.Host != q.self.Host {
			peers = append(peers, p)
		}
	}
	return peers
}

func (q *quicNode) PublishRumour(member.Rumour, time.Duration) error { return nil }

func (q *quicNode) Subscribe(string, func(string, []byte)) {}

func (q *quicNode) handle(handle func(context.Context, distribution.Peer, []byte) ([]byte, error)) peer.Handler {
	return func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		for _, p := range q.others() {
			if p.Host == from.Host {
				return handle(ctx, p, body)
			}
		}
		return handle(ctx, distribution.Peer{Host: from.Host}, body)
	}
}

// BenchmarkRollout measures on nodes connected by QUIC how long a change takes to
// become active on all of them, and the bytes per second that each node sends while
// the configuration doesn't change.
func BenchmarkRollout(b *testing.B) {
	for _, size := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) { benchmarkRollout(b, size) })
	}
}

func benchmarkRollout(b *testing.B, size int) {
	_, registry := startPlatform(b)
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	pool := pond.NewPool(16 * size)
	defer pool.StopAndWait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sent atomic.Int64
	var nodes []*quicNode
	var all []distribution.Peer
	for i := range size {
		q := newQUICNode(b, authority, identity.Node{Host: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}, &sent)
		b.Cleanup(func() {
			if err := q.endpoint.Close(); err != nil {
				b.Error(err)
			}
		})
		q.others = func() []distribution.Peer { return all }
		q.Follower = distribution.NewFollower(q.self, distribution.Deps{
			Source: registry, Transport: q, Peers: q, Gossip: q, Pool: pool, Clock: clock.System{},
			Log:    event.NewLog(&log.Logger{Handler: text.New(io.Discard)}),
			Random: rand.New(rand.NewSource(int64(i))),
		})
		q.endpoint.Handle(peer.Kind(distribution.KindUpdateRequest), q.handle(q.HandleUpdateRequest))
		q.endpoint.Handle(peer.Kind(distribution.KindNotice), q.handle(q.HandleNotice))
		nodes, all = append(nodes, q), append(all, q.self)
	}
	for _, q := range nodes {
		go q.Run(ctx)
	}
	var slowest time.Duration
	version := uint64(0)
	for b.Loop() {
		version++
		slowest = max(slowest, publishAndWait(b, registry, nodes, version))
	}
	const idle = 5 * time.Second
	before := sent.Load()
	time.Sleep(idle)
	b.ReportMetric(slowest.Seconds(), "s-slowest")
	b.ReportMetric(float64(sent.Load()-before)/idle.Seconds()/float64(size), "calm-B/s/node")
}

// publishAndWait publishes a version and returns the time until all nodes hold it.
func publishAndWait(b *testing.B, registry *distribution.Registry, nodes []*quicNode, version uint64) time.Duration {
	_, err := registry.Publish(context.Background(), distribution.Change{
		ID: fmt.Sprint(version), Base: version - 1, Content: configurationWith(fmt.Sprint("key-", version)),
	})
	if err != nil {
		b.Fatal(err)
	}
	accepted := time.Now()
	for _, q := range nodes {
		for q.Snapshot().Version() < version {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(accepted)
}

func newQUICNode(b *testing.B, a *identity.Authority, n identity.Node, sent *atomic.Int64) *quicNode {
	pair, err := a.Issue(n, nil, time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	config, err := identity.TLSConfig(a.PEM().Certificate, pair, peer.ALPNProtocol)
	if err != nil {
		b.Fatal(err)
	}
	endpoint, err := peer.Listen("127.0.0.1:0", config, peer.WithSocketWrapper(func(c net.PacketConn) net.PacketConn {
		return countingSocket{PacketConn: c, sent: sent}
	}))
	if err != nil {
		b.Fatal(err)
	}
	return &quicNode{endpoint: endpoint, self: distribution.Peer{Host: n.Host, Zone: n.Zone, Address: endpoint.Address()}}
}
