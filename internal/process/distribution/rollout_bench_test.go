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

// A countingSocket counts what it sends.
type countingSocket struct {
	net.PacketConn
	sent *atomic.Int64
}

// WriteTo sends one datagram.
func (s countingSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.sent.Add(int64(len(p) + datagramOverhead))
	return s.PacketConn.WriteTo(p, to)
}

// A wire is one follower whose messages travel over QUIC.
type wire struct {
	*distribution.Follower
	endpoint *peer.Endpoint
	self     distribution.Peer
	others   func() []distribution.Peer
}

func (w *wire) Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error) {
	return w.endpoint.Call(ctx, address, peer.Kind(kind), body)
}

func (w *wire) Peers() []distribution.Peer {
	var peers []distribution.Peer
	for _, p := range w.others() {
		if p.Host != w.self.Host {
			peers = append(peers, p)
		}
	}
	return peers
}

func (w *wire) PublishRumour(member.Rumour, time.Duration) error { return nil }

func (w *wire) Subscribe(string, func(string, []byte)) {}

func (w *wire) handle(of func(context.Context, distribution.Peer, []byte) ([]byte, error)) peer.Handler {
	return func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		for _, p := range w.others() {
			if p.Host == from.Host {
				return of(ctx, p, body)
			}
		}
		return of(ctx, distribution.Peer{Host: from.Host}, body)
	}
}

// BenchmarkRollout measures on nodes joined by QUIC how long a change takes to be
// in force on all of them, and the bytes that each sends for the configuration
// while nothing changes.
func BenchmarkRollout(b *testing.B) {
	for _, size := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) { rollout(b, size) })
	}
}

func rollout(b *testing.B, size int) {
	_, registry := start(b)
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	pool := pond.NewPool(16 * size)
	defer pool.StopAndWait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var sent atomic.Int64
	var wires []*wire
	var all []distribution.Peer
	for i := range size {
		w := newWire(b, authority, identity.Node{Host: fmt.Sprintf("host-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}, &sent)
		b.Cleanup(func() {
			if err := w.endpoint.Close(); err != nil {
				b.Error(err)
			}
		})
		w.others = func() []distribution.Peer { return all }
		w.Follower = distribution.NewFollower(w.self, distribution.Parts{
			Source: registry, Caller: w, Directory: w, Gossip: w, Pool: pool, Clock: clock.System{},
			Log:    event.NewLog(&log.Logger{Handler: text.New(io.Discard)}),
			Random: rand.New(rand.NewSource(int64(i))),
		})
		w.endpoint.Handle(peer.Kind(distribution.KindAsk), w.handle(w.HandleAsk))
		w.endpoint.Handle(peer.Kind(distribution.KindNotice), w.handle(w.HandleNotice))
		wires, all = append(wires, w), append(all, w.self)
	}
	for _, w := range wires {
		go w.Run(ctx)
	}
	var slowest time.Duration
	version := uint64(0)
	for b.Loop() {
		version++
		slowest = max(slowest, change(b, registry, wires, version))
	}
	const calm = 5 * time.Second
	before := sent.Load()
	time.Sleep(calm)
	b.ReportMetric(slowest.Seconds(), "s-slowest")
	b.ReportMetric(float64(sent.Load()-before)/calm.Seconds()/float64(size), "calm-B/s/node")
}

// change publishes a version and returns the time until all nodes hold it.
func change(b *testing.B, registry *distribution.Registry, wires []*wire, version uint64) time.Duration {
	_, err := registry.Publish(context.Background(), distribution.Change{
		ID: fmt.Sprint(version), Base: version - 1, Content: document(fmt.Sprint("key-", version)),
	})
	if err != nil {
		b.Fatal(err)
	}
	accepted := time.Now()
	for _, w := range wires {
		for w.Snapshot().Version() < version {
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(accepted)
}

func newWire(b *testing.B, a *identity.Authority, n identity.Node, sent *atomic.Int64) *wire {
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
	return &wire{endpoint: endpoint, self: distribution.Peer{Host: n.Host, Zone: n.Zone, Address: endpoint.Address()}}
}
