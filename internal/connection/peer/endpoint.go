// Package peer carries messages between nodes over QUIC with mutual
// authentication: one stream per message and its reply, so that replies can't
// cross. It knows nothing of what the messages mean; packages entry, membership
// and others register a Handler for each Kind.
package peer

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
)

// Protocol is the name that nodes negotiate in the TLS handshake.
const Protocol = "bilberryvane-1"

const (
	// idleTimeout is how long a silent connection is kept. There are no
	// keep-alives, which would cost bytes on every idle connection: probes keep
	// connections with slow calls alive and notice a lost peer long before.
	idleTimeout = 2 * idleClose
	// handshakeTimeout bounds the start of a connection.
	handshakeTimeout = time.Second
	// idleClose is the time after which an unused connection is closed: it bounds
	// the connections of a node to those that its present calls need.
	idleClose = time.Minute
	// maxStreams bounds the messages in flight from one peer.
	maxStreams = 4096
	// callWorkers and controlWorkers bound the messages handled at once. Control
	// messages have workers of their own, so that calls can't delay them.
	callWorkers    = 4096
	controlWorkers = 256
	// queuedMessages bounds the messages that wait for a worker.
	queuedMessages = 4096
)

// The errors of Call. All but ErrNoAnswer promise that no handler of the other
// node was given the message.
var (
	ErrNotDelivered = eris.New("message was not delivered")
	ErrNoAnswer     = eris.New("message may have been handled, but no reply came")
	ErrBusy         = eris.New("peer is too busy to take the message")
	ErrLeaving      = eris.New("peer is shutting down and takes no new calls")
	ErrIncompatible = eris.New("peer speaks another version of the protocol")
	ErrNoHandler    = eris.New("peer has no handler for the message")
	ErrMalformed    = eris.New("peer could not read the message")
)

// A RemoteError is an error that the other node's handler returned.
type RemoteError struct{ Text string }

// Error returns the other node's text.
func (e *RemoteError) Error() string { return "peer: " + e.Text }

// An Identity is what the other node's certificate proves.
type Identity = identity.Node

// A Handler handles one message and returns the reply's body. Its context ends
// when the sender gives up.
type Handler func(ctx context.Context, from Identity, body []byte) ([]byte, error)

// An Endpoint sends and receives messages on one UDP address. It is safe for
// concurrent use. Lock order: mu is never held while a link's own lock is taken.
type Endpoint struct {
	transport *quic.Transport
	listener  *quic.Listener
	tls       *tls.Config
	quic      *quic.Config
	calls     pond.Pool
	control   pond.Pool
	ctx       context.Context
	cancel    context.CancelFunc
	accepting sync.WaitGroup
	// leaving says that new calls are refused; handling counts those under way.
	leaving  atomic.Bool
	handling atomic.Int64

	// mu guards handlers and links.
	mu       sync.RWMutex
	handlers map[Kind]Handler
	links    map[string]*link
}

// An Option changes how an endpoint is opened.
type Option func(*options)

type options struct {
	socket    func(net.PacketConn) net.PacketConn
	idleClose time.Duration
}

// WithSocket puts a layer of the caller's own around the UDP socket, such as one
// that drops packets to show a network partition.
func WithSocket(wrap func(net.PacketConn) net.PacketConn) Option {
	return func(o *options) { o.socket = wrap }
}

// WithIdleClose sets the time after which an unused connection is closed.
func WithIdleClose(after time.Duration) Option {
	return func(o *options) { o.idleClose = after }
}

// Listen opens an endpoint on a UDP address.
func Listen(address string, tlsConfig *tls.Config, choices ...Option) (*Endpoint, error) {
	chosen := options{socket: func(c net.PacketConn) net.PacketConn { return c }, idleClose: idleClose}
	for _, choose := range choices {
		choose(&chosen)
	}
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("read peer address %q: %w", address, err)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	e := &Endpoint{
		transport: &quic.Transport{Conn: chosen.socket(socket), StatelessResetKey: resetKey(tlsConfig)},
		tls:       tlsConfig,
		quic: &quic.Config{
			HandshakeIdleTimeout: handshakeTimeout,
			MaxIdleTimeout:       idleTimeout,
			MaxIncomingStreams:   maxStreams,
		},
		calls:    pond.NewPool(callWorkers, pond.WithQueueSize(queuedMessages), pond.WithNonBlocking(true)),
		control:  pond.NewPool(controlWorkers, pond.WithQueueSize(queuedMessages), pond.WithNonBlocking(true)),
		handlers: map[Kind]Handler{},
		links:    map[string]*link{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.listener, err = e.transport.Listen(tlsConfig, e.quic)
	if err != nil {
		e.cancel()
		_ = socket.Close() // The first error is returned.
		return nil, fmt.Errorf("listen for QUIC: %w", err)
	}
	e.accepting.Go(e.accept)
	e.accepting.Go(func() { e.closeIdle(chosen.idleClose) })
	return e, nil
}

// resetKey derives the key of stateless resets from the node's private key, so
// that a restarted node can tell its peers that their connections to its former
// incarnation are gone. Nil without a private key.
func resetKey(c *tls.Config) *quic.StatelessResetKey {
	if len(c.Certificates) == 0 {
		return nil
	}
	der, err := x509.MarshalPKCS8PrivateKey(c.Certificates[0].PrivateKey)
	if err != nil {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset"), der...)))
	return &key
}

// Address returns the UDP address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.transport.Conn.LocalAddr().String() }

// Handle registers the handler of a kind of message.
func (e *Endpoint) Handle(k Kind, h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[k] = h
}

const (
	// drainPoll is how often a leaving endpoint looks whether calls are under way.
	drainPoll = 5 * time.Millisecond
	// replyLinger is how long the last replies have to arrive, retransmissions
	// included, before their connections are closed.
	replyLinger = 200 * time.Millisecond
)

// Drain refuses further calls and returns when all calls under way are answered
// and their replies have had time to arrive. Other messages are handled as before.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.leaving.Store(true)
	for e.handling.Load() > 0 {
		if err := wait(ctx, drainPoll); err != nil {
			return fmt.Errorf("wait for %d calls: %w", e.handling.Load(), err)
		}
	}
	return wait(ctx, replyLinger)
}

func wait(ctx context.Context, length time.Duration) error {
	select {
	case <-time.After(length):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain endpoint: %w", ctx.Err())
	}
}

// Close ends all connections. Messages in flight are cut off.
func (e *Endpoint) Close() error {
	e.cancel()
	e.mu.Lock()
	links := e.links
	e.links = map[string]*link{}
	e.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	// Each connection is closed by its own goroutine, which tells the peer.
	// Closing the transport alone would leave peers to find out by silence.
	e.accepting.Wait()
	err := e.transport.Close()
	e.transport.Conn.Close()
	e.calls.Stop()
	e.control.Stop()
	if err != nil {
		return fmt.Errorf("close QUIC transport: %w", err)
	}
	return nil
}

// closeIdle looks for unused connections until the endpoint is closed.
func (e *Endpoint) closeIdle(after time.Duration) {
	ticker := time.NewTicker(after)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-e.ctx.Done():
			return
		}
		e.mu.RLock()
		links := slices.Collect(maps.Values(e.links))
		e.mu.RUnlock()
		for _, l := range links {
			l.closeIdle()
		}
	}
}

func (e *Endpoint) handler(k Kind) (Handler, bool) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	h, ok := e.handlers[k]
	return h, ok
}
