package peer_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
)

const kindEcho peer.Kind = 90

// A network opens endpoints that trust one certificate authority.
type network struct {
	t         *testing.T
	authority *identity.Authority
}

func newNetwork(t *testing.T) *network {
	t.Helper()
	a, err := identity.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return &network{t: t, authority: a}
}

func (n *network) listen(host string, issuer *identity.Authority, options ...peer.Option) *peer.Endpoint {
	n.t.Helper()
	pair, err := issuer.Issue(identity.Node{Host: host, Zone: "herning-1"}, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), time.Hour)
	if err != nil {
		n.t.Fatal(err)
	}
	config, err := identity.TLSConfig(n.authority.PEM().Certificate, pair, peer.ALPNProtocol)
	if err != nil {
		n.t.Fatal(err)
	}
	e, err := peer.Listen("127.0.0.1:0", config, options...)
	if err != nil {
		n.t.Fatal(err)
	}
	n.t.Cleanup(func() {
		if err := e.Close(); err != nil {
			n.t.Error(err)
		}
	})
	return e
}

func echo(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
	return append([]byte(from.Host+":"), body...), nil
}

func TestCallDeliversBodyAndIdentity(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a, b := n.listen("a", n.authority), n.listen("b", n.authority)
	b.Handle(kindEcho, echo)
	b.Handle(kindEcho+1, func(context.Context, peer.Identity, []byte) ([]byte, error) { return nil, errors.New("no stock") })
	reply, err := a.Call(t.Context(), b.Address(), kindEcho, []byte("sheet"))
	is.NoErr(err)
	is.Equal(string(reply), "a:sheet")
	_, err = a.Call(t.Context(), b.Address(), kindEcho+1, nil)
	var remote *peer.RemoteError
	is.True(errors.As(err, &remote))
	is.Equal(remote.Text, "no stock")
	_, err = a.Call(t.Context(), b.Address(), kindEcho+2, nil)
	is.True(errors.Is(err, peer.ErrNoHandler))
}

func TestUntrustedPeerIsRejected(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	other, err := identity.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	untrusted, b := n.listen("stranger", other), n.listen("b", n.authority)
	handled := make(chan struct{}, 1)
	b.Handle(kindEcho, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		handled <- struct{}{}
		return nil, nil
	})
	_, err = untrusted.Call(t.Context(), b.Address(), kindEcho, nil)
	is.True(err != nil)
	is.Equal(len(handled), 0)
}

func TestCallToUnreachableAddressIsNotDelivered(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a := n.listen("a", n.authority)
	_, err := a.Call(t.Context(), "127.0.0.1:9", kindEcho, nil)
	is.True(errors.Is(err, peer.ErrNotDelivered))
}

func TestCancelledCallCancelsHandler(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a, b := n.listen("a", n.authority), n.listen("b", n.authority)
	started, cancelled := make(chan struct{}), make(chan struct{})
	b.Handle(kindEcho, func(ctx context.Context, _ peer.Identity, _ []byte) ([]byte, error) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return nil, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := a.Call(ctx, b.Address(), kindEcho, nil)
	is.True(errors.Is(err, peer.ErrNoReply))
	<-cancelled
}

// Guards against calls that wait until their deadline when all packets of the peer are
// lost. The call has no deadline, so it hangs unless probes detect the loss.
func TestProbesDetectSilentPeer(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a, b := n.listen("a", n.authority), n.listen("b", n.authority)
	p := newUDPProxy(t, b.Address())
	release := make(chan struct{})
	b.Handle(kindEcho, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		p.close()
		<-release
		return nil, nil
	})
	t.Cleanup(func() { close(release) })
	_, err := a.Call(t.Context(), p.address(), kindEcho, nil)
	is.True(errors.Is(err, peer.ErrNoReply))
}

// Guards against treating a peer with a slow handler as lost.
func TestProbesTolerateSlowHandler(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a, b := n.listen("a", n.authority), n.listen("b", n.authority)
	b.Handle(kindEcho, func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		time.Sleep(2 * time.Second) // Longer than maxProbeFailures probes take.
		return echo(ctx, from, body)
	})
	reply, err := a.Call(t.Context(), b.Address(), kindEcho, []byte("late"))
	is.NoErr(err)
	is.Equal(string(reply), "a:late")
}

// Guards against calls that are lost on a connection to the previous incarnation of a
// node that restarted at the same address.
func TestCallsReachRestartedPeer(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a := n.listen("a", n.authority)
	pair, err := n.authority.Issue(identity.Node{Host: "b", Zone: "herning-1"}, nil, time.Now(), time.Hour)
	is.NoErr(err)
	config, err := identity.TLSConfig(n.authority.PEM().Certificate, pair, peer.ALPNProtocol)
	is.NoErr(err)
	address := "127.0.0.1:0"
	for range 5 {
		b, err := peer.Listen(address, config)
		is.NoErr(err)
		address = b.Address()
		b.Handle(peer.KindCall, echo)
		_, err = a.Call(t.Context(), address, peer.KindCall, nil)
		is.NoErr(err) // not sent on a connection to the previous incarnation
		is.NoErr(b.Drain(t.Context()))
		_, err = a.Call(t.Context(), address, peer.KindCall, nil)
		is.True(errors.Is(err, peer.ErrDraining))
		is.NoErr(b.Close())
	}
}

// Guards against closing an idle connection while a message starts to use it.
func TestIdleTimeoutDropsNoMessage(t *testing.T) {
	n := newNetwork(t)
	a, b := n.listen("a", n.authority, peer.WithIdleTimeout(time.Millisecond)), n.listen("b", n.authority)
	b.Handle(kindEcho, echo)
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() {
			for range 50 {
				if _, err := a.Call(t.Context(), b.Address(), kindEcho, nil); err != nil {
					t.Error(err)
				}
				time.Sleep(3 * time.Millisecond) // Longer than the idle timeout.
			}
		})
	}
	senders.Wait()
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	n := newNetwork(t)
	b := n.listen("b", n.authority)
	b.Handle(kindEcho, echo)
	pair, err := n.authority.Issue(identity.Node{Host: "raw", Zone: "herning-1"}, nil, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	config, err := identity.TLSConfig(n.authority.PEM().Certificate, pair, peer.ALPNProtocol)
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		raw  []byte
		want peer.Status
	}{
		{name: "no CBOR", raw: []byte("GET / HTTP/1.1\r\n"), want: peer.StatusMalformed},
		{name: "empty", raw: nil, want: peer.StatusMalformed},
		{name: "other version", raw: []byte{0xa2, 0x01, 0x18, 0x63, 0x02, 0x18, 0x5a}, want: peer.StatusIncompatible},
		{name: "too long", raw: make([]byte, peer.MaxMessageBytes+2), want: peer.StatusMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := quic.DialAddr(t.Context(), b.Address(), config, nil)
			is.NoErr(err)
			defer func() { _ = conn.CloseWithError(0, "") }()
			stream, err := conn.OpenStream()
			is.NoErr(err)
			go func() {
				_, _ = stream.Write(binary.BigEndian.AppendUint32(nil, uint32(len(tt.raw))))
				_, _ = stream.Write(tt.raw) // The peer may stop reading early.
				_ = stream.Close()
			}()
			raw, err := io.ReadAll(stream)
			is.NoErr(err)
			is.True(len(raw) > 4)
			reply, err := peer.Decode(raw[4:])
			is.NoErr(err)
			is.Equal(reply.Status, tt.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Add([]byte{0xa3, 0x01, 0x01, 0x02, 0x02, 0x04, 0x43, 0x01, 0x02, 0x03})
	f.Add([]byte{0xa1, 0x04, 0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0x9f, 0x9f, 0x9f, 0x9f})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := peer.Decode(raw)
		if err == nil && len(m.Body) > len(raw) {
			t.Fatalf("a message of %d bytes was decoded to a body of %d bytes", len(raw), len(m.Body))
		}
	})
}

// A udpProxy forwards UDP packets between a client and a target until it is closed.
type udpProxy struct {
	socket *net.UDPConn
	closed chan struct{}
}

func newUDPProxy(t *testing.T, target string) *udpProxy {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	p := &udpProxy{socket: socket, closed: make(chan struct{})}
	t.Cleanup(func() { _ = socket.Close() })
	go p.forward(targetAddr)
	return p
}

func (p *udpProxy) address() string { return p.socket.LocalAddr().String() }

func (p *udpProxy) close() { close(p.closed) }

func (p *udpProxy) forward(targetAddr *net.UDPAddr) {
	var clientAddr *net.UDPAddr
	packet := make([]byte, 64<<10)
	for {
		n, from, err := p.socket.ReadFromUDP(packet)
		if err != nil {
			return
		}
		select {
		case <-p.closed:
			continue
		default:
		}
		to := targetAddr
		if from.String() == targetAddr.String() {
			to = clientAddr
		} else {
			clientAddr = from
		}
		if to != nil {
			_, _ = p.socket.WriteToUDP(packet[:n], to) // Packets may be lost.
		}
	}
}
