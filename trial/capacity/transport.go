package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/connection/seal"
)

// Parameters of the transport measurements.
const (
	kindProbe      peer.Kind = 19
	probeSize                = 110
	packetOverhead           = 28
	callTimeout              = 5 * time.Second
)

// Transport measures what a message costs over a new QUIC connection, over one
// that is open, and as a sealed datagram, with both ends in this process.
func Transport(w io.Writer) error {
	series := []Series{
		{Name: "bytes of a first call on a new connection, both directions", Per: "connection"},
		{Name: "processor microseconds of the same, both ends", Per: "connection"},
		{Name: "heap bytes of the open connections, both ends", Per: "connection"},
		{Name: "bytes in one second on open connections without calls", Per: "connection"},
		{Name: "processor microseconds of calls on open connections, both ends", Per: "call"},
		{Name: "bytes of calls on open connections, both directions", Per: "call"},
		{Name: "processor microseconds of sealed datagrams, both ends", Per: "datagram"},
	}
	for _, count := range []int{10, 20, 40} {
		values, err := measureTransport(count)
		if err != nil {
			return fmt.Errorf("measure %d connections: %w", count, err)
		}
		for i, v := range values {
			series[i].Points = append(series[i].Points, v)
		}
	}
	return WriteTable(w, "Messages between nodes on loopback", series)
}

// a bench holds one calling endpoint and several that answer.
type bench struct {
	caller  *peer.Endpoint
	servers []*peer.Endpoint
	bytes   atomic.Int64
}

// newBench opens the endpoints.
func newBench(count int) (*bench, error) {
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	b := &bench{}
	for i := range count + 1 {
		node := identity.Node{Host: fmt.Sprintf("host-%d", i), Zone: "zone-1"}
		pair, err := authority.Issue(node, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), time.Hour)
		if err != nil {
			return nil, fmt.Errorf("issue certificate: %w", err)
		}
		config, err := identity.TLSConfig(authority.PEM().Certificate, pair, peer.ALPNProtocol)
		if err != nil {
			return nil, fmt.Errorf("make TLS configuration: %w", err)
		}
		e, err := peer.Listen("127.0.0.1:0", config, peer.WithSocketWrapper(func(c net.PacketConn) net.PacketConn {
			return &countingSocket{PacketConn: c, bytes: &b.bytes}
		}))
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		e.Handle(kindProbe, func(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) { return body, nil })
		if i == 0 {
			b.caller = e
			continue
		}
		b.servers = append(b.servers, e)
	}
	return b, nil
}

// close ends all endpoints.
func (b *bench) close() {
	for _, e := range append(b.servers, b.caller) {
		_ = e.Close() // Nothing is lost by a failure.
	}
}

// call calls each server once.
func (b *bench) call() error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, s := range b.servers {
		if _, err := b.caller.Call(ctx, s.Address(), kindProbe, make([]byte, probeSize)); err != nil {
			return fmt.Errorf("call: %w", err)
		}
	}
	return nil
}

// measureTransport returns the points of Transport for one number of connections.
func measureTransport(count int) ([]Point, error) {
	b, err := newBench(count)
	if err != nil {
		return nil, err
	}
	defer b.close()
	size := float64(count)
	memory, used := heap(), processorTime()
	if err := b.call(); err != nil {
		return nil, err
	}
	used = processorTime() - used
	points := []Point{
		{Size: size, Value: float64(b.bytes.Load())},
		{Size: size, Value: float64(used.Microseconds())},
		{Size: size, Value: heap() - memory},
	}
	before := b.bytes.Load()
	time.Sleep(time.Second)
	points = append(points, Point{Size: size, Value: float64(b.bytes.Load() - before)})

	const rounds = 50
	before = b.bytes.Load()
	used = processorTime()
	for range rounds {
		if err := b.call(); err != nil {
			return nil, err
		}
	}
	used = processorTime() - used
	points = append(points, Point{Size: size * rounds, Value: float64(used.Microseconds())},
		Point{Size: size * rounds, Value: float64(b.bytes.Load() - before)})
	used, err = b.datagrams(rounds)
	if err != nil {
		return nil, err
	}
	return append(points, Point{Size: size * rounds, Value: float64(used.Microseconds())}), nil
}

// datagrams sends sealed datagrams to each server, one after the other, and
// returns the processor time that they took.
func (b *bench) datagrams(rounds int) (time.Duration, error) {
	line, err := seal.GenerateKey()
	if err != nil {
		return 0, fmt.Errorf("make key: %w", err)
	}
	keys, err := seal.ParseKeys(line)
	if err != nil {
		return 0, fmt.Errorf("read key: %w", err)
	}
	used := processorTime()
	for range rounds {
		for _, s := range b.servers {
			if err := b.exchange(s, keys); err != nil {
				return 0, err
			}
		}
	}
	return processorTime() - used, nil
}

// exchange sends one sealed datagram until it has arrived; a loss is sent again.
func (b *bench) exchange(s *peer.Endpoint, keys seal.Keys) error {
	const tries = 5
	buffer := make([]byte, peer.MaxDatagramBytes)
	for range tries {
		if err := b.caller.SendDatagram(s.Address(), keys.Seal(make([]byte, probeSize))); err != nil {
			return fmt.Errorf("send datagram: %w", err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout/tries)
		n, err := s.ReceiveDatagram(ctx, buffer)
		cancel()
		if err != nil {
			continue
		}
		if _, err := keys.Open(buffer[:n]); err != nil {
			return fmt.Errorf("open datagram: %w", err)
		}
		return nil
	}
	return fmt.Errorf("datagram was lost %d times", tries)
}

// countingSocket counts the bytes sent, with those of the IP and UDP headers.
type countingSocket struct {
	net.PacketConn
	bytes *atomic.Int64
}

// WriteTo counts and sends a packet.
func (s *countingSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	s.bytes.Add(int64(len(p) + packetOverhead))
	n, err := s.PacketConn.WriteTo(p, to)
	if err != nil {
		return n, fmt.Errorf("write packet: %w", err)
	}
	return n, nil
}
