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

// A network issues certificates of one authority.
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
	config, err := identity.TLS(n.authority.PEM().Certificate, pair, peer.Protocol)
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

func TestCallCarriesMessageAndIdentity(t *testing.T) {
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

func TestStrangerIsNotHeard(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	other, err := identity.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	stranger, b := n.listen("stranger", other), n.listen("b", n.authority)
	heard := make(chan struct{}, 1)
	b.Handle(kindEcho, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		heard <- struct{}{}
		return nil, nil
	})
	_, err = stranger.Call(t.Context(), b.Address(), kindEcho, nil)
	is.True(err != nil)
	is.Equal(len(heard), 0)
}

func TestCallToNobodyIsNotDelivered(t *testing.T) {
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
	is.True(errors.Is(err, peer.ErrNoAnswer))
	<-cancelled
}

// A peer whose packets vanish must not hold its callers until their deadlines.
// The call has none, so it hangs unless the silence is noticed.
func TestSilentPeerIsNoticed(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a, b := n.listen("a", n.authority), n.listen("b", n.authority)
	g := newGate(t, b.Address())
	release := make(chan struct{})
	b.Handle(kindEcho, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		g.close()
		<-release
		return nil, nil
	})
	t.Cleanup(func() { close(release) })
	_, err := a.Call(t.Context(), g.address(), kindEcho, nil)
	is.True(errors.Is(err, peer.ErrNoAnswer))
}

// A slow handler must not be taken for a lost peer.
func TestSlowHandlerIsAwaited(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a, b := n.listen("a", n.authority), n.listen("b", n.authority)
	b.Handle(kindEcho, func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		time.Sleep(2 * time.Second) // Longer than all probes together.
		return echo(ctx, from, body)
	})
	reply, err := a.Call(t.Context(), b.Address(), kindEcho, []byte("late"))
	is.NoErr(err)
	is.Equal(string(reply), "a:late")
}

// A node that restarts at the same address is reached at once: its peers learn
// that their connections to the former incarnation are gone.
func TestRestartedPeerIsReached(t *testing.T) {
	is := is.New(t)
	n := newNetwork(t)
	a := n.listen("a", n.authority)
	pair, err := n.authority.Issue(identity.Node{Host: "b", Zone: "herning-1"}, nil, time.Now(), time.Hour)
	is.NoErr(err)
	config, err := identity.TLS(n.authority.PEM().Certificate, pair, peer.Protocol)
	is.NoErr(err)
	address := "127.0.0.1:0"
	for range 5 {
		b, err := peer.Listen(address, config)
		is.NoErr(err)
		address = b.Address()
		b.Handle(peer.KindCall, echo)
		_, err = a.Call(t.Context(), address, peer.KindCall, nil)
		is.NoErr(err) // no call is lost on a connection to the former incarnation
		is.NoErr(b.Drain(t.Context()))
		_, err = a.Call(t.Context(), address, peer.KindCall, nil)
		is.True(errors.Is(err, peer.ErrLeaving))
		is.NoErr(b.Close())
	}
}

// Closing idle connections never takes one away from a message.
func TestIdleCloseLosesNoMessage(t *testing.T) {
	n := newNetwork(t)
	a, b := n.listen("a", n.authority, peer.WithIdleClose(time.Millisecond)), n.listen("b", n.authority)
	b.Handle(kindEcho, echo)
	var senders sync.WaitGroup
	for range 4 {
		senders.Go(func() {
			for range 50 {
				if _, err := a.Call(t.Context(), b.Address(), kindEcho, nil); err != nil {
					t.Error(err)
				}
				time.Sleep(3 * time.Millisecond) // Lets connections become idle.
			}
		})
	}
	senders.Wait()
}

func TestGarbageIsRefused(t *testing.T) {
	n := newNetwork(t)
	b := n.listen("b", n.authority)
	b.Handle(kindEcho, echo)
	pair, err := n.authority.Issue(identity.Node{Host: "raw", Zone: "herning-1"}, nil, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	config, err := identity.TLS(n.authority.PEM().Certificate, pair, peer.Protocol)
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
				_, _ = stream.Write(tt.raw) // The peer may refuse the rest.
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
			t.Fatalf("a message of %d bytes gave a body of %d", len(raw), len(m.Body))
		}
	})
}

// A gate passes UDP packets on to a target until it is closed.
type gate struct {
	socket *net.UDPConn
	shut   chan struct{}
}

func newGate(t *testing.T, target string) *gate {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	far, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{socket: socket, shut: make(chan struct{})}
	t.Cleanup(func() { _ = socket.Close() })
	go g.pass(far)
	return g
}

func (g *gate) address() string { return g.socket.LocalAddr().String() }

func (g *gate) close() { close(g.shut) }

func (g *gate) pass(far *net.UDPAddr) {
	var near *net.UDPAddr
	packet := make([]byte, 64<<10)
	for {
		n, from, err := g.socket.ReadFromUDP(packet)
		if err != nil {
			return
		}
		select {
		case <-g.shut:
			continue
		default:
		}
		to := far
		if from.String() == far.String() {
			to = near
		} else {
			near = from
		}
		if to != nil {
			_, _ = g.socket.WriteToUDP(packet[:n], to) // Packets may be lost.
		}
	}
}
