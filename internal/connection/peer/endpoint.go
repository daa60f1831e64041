// Package peer carries messages between nodes over QUIC with mutual
// authentication. Each message and its reply use a stream of their own, so a reply
// can't be matched to another message. The package doesn't interpret message bodies:
// packages entry, membership and others register a Handler for each Kind.
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

// ALPNProtocol is the application protocol that nodes negotiate in the TLS handshake.
const ALPNProtocol = "bilberryvane-1"

const (
	// quicIdleTimeout is the time without packets after which QUIC drops a connection.
	// Keep-alives are off, as they would cost bytes on every idle connection: probes
	// keep connections with slow calls alive and detect a lost peer much earlier.
	quicIdleTimeout = 2 * defaultIdleTimeout
	// handshakeTimeout limits the time without progress in a handshake.
	handshakeTimeout = time.Second
	// defaultIdleTimeout is the time after which an unused connection is closed. It
	// limits a node's open connections to those that its current calls need.
	defaultIdleTimeout = time.Minute
	// maxStreams is the maximum number of messages in flight on one incoming connection.
	maxStreams = 4096
	// callWorkers and controlWorkers limit the messages handled concurrently. Control
	// messages have a separate pool, so calls can't delay them.
	callWorkers    = 4096
	controlWorkers = 256
	// maxQueuedMessages is the maximum number of messages that wait for a worker, per
	// pool.
	maxQueuedMessages = 4096
)

// Errors of Call. All but ErrNoReply guarantee that no handler of the peer was run.
var (
	ErrNotDelivered = eris.New("message was not delivered")
	ErrNoReply      = eris.New("no reply received; message may have been handled")
	ErrBusy         = eris.New("peer is overloaded and rejected the message")
	ErrDraining     = eris.New("peer is shutting down and rejects new calls")
	ErrIncompatible = eris.New("peer uses another protocol version")
	ErrNoHandler    = eris.New("peer has no handler for the message")
	ErrMalformed    = eris.New("peer could not decode the message")
)

// A RemoteError is an error that the peer's handler returned.
type RemoteError struct{ Text string }

// Error returns the peer's error text.
func (e *RemoteError) Error() string { return "peer: " + e.Text }

// An Identity is the node that the peer's certificate names.
type Identity = identity.Node

// A Handler handles one message and returns the body of the reply. Its context is
// cancelled when the sender stops waiting for the reply.
type Handler func(ctx context.Context, from Identity, body []byte) ([]byte, error)

// An Endpoint sends and receives messages on one UDP address. It is safe for
// concurrent use. Lock order: a link's lock is never acquired while mu is held.
type Endpoint struct {
	transport   *quic.Transport
	listener    *quic.Listener
	tls         *tls.Config
	quic        *quic.Config
	callPool    pond.Pool
	controlPool pond.Pool
	ctx         context.Context
	cancel      context.CancelFunc
	// background counts the goroutines that Close waits for.
	background sync.WaitGroup
	// draining makes the endpoint reject new calls; activeCalls counts those in progress.
	draining    atomic.Bool
	activeCalls atomic.Int64

	// mu guards handlers and links.
	mu       sync.RWMutex
	handlers map[Kind]Handler
	links    map[string]*link
}

// An Option configures an Endpoint.
type Option func(*options)

type options struct {
	wrapSocket  func(net.PacketConn) net.PacketConn
	idleTimeout time.Duration
}

// WithSocketWrapper replaces the UDP socket by wrap's result, such as a layer that
// drops packets to simulate a network partition.
func WithSocketWrapper(wrap func(net.PacketConn) net.PacketConn) Option {
	return func(o *options) { o.wrapSocket = wrap }
}

// WithIdleTimeout sets the time after which an unused connection is closed.
func WithIdleTimeout(after time.Duration) Option {
	return func(o *options) { o.idleTimeout = after }
}

// Listen opens an endpoint on a UDP address.
func Listen(address string, tlsConfig *tls.Config, opts ...Option) (*Endpoint, error) {
	o := options{wrapSocket: func(c net.PacketConn) net.PacketConn { return c }, idleTimeout: defaultIdleTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	local, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address %q: %w", address, err)
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	e := &Endpoint{
		transport: &quic.Transport{Conn: o.wrapSocket(socket), StatelessResetKey: statelessResetKey(tlsConfig)},
		tls:       tlsConfig,
		quic: &quic.Config{
			HandshakeIdleTimeout: handshakeTimeout,
			MaxIdleTimeout:       quicIdleTimeout,
			MaxIncomingStreams:   maxStreams,
		},
		callPool:    pond.NewPool(callWorkers, pond.WithQueueSize(maxQueuedMessages), pond.WithNonBlocking(true)),
		controlPool: pond.NewPool(controlWorkers, pond.WithQueueSize(maxQueuedMessages), pond.WithNonBlocking(true)),
		handlers:    map[Kind]Handler{},
		links:       map[string]*link{},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.listener, err = e.transport.Listen(tlsConfig, e.quic)
	if err != nil {
		e.cancel()
		_ = socket.Close() // The error of Listen is returned.
		return nil, fmt.Errorf("listen for QUIC: %w", err)
	}
	e.background.Go(e.accept)
	e.background.Go(func() { e.closeIdle(o.idleTimeout) })
	return e, nil
}

// statelessResetKey derives the key for stateless resets from the node's private key,
// so a restarted node can reset the connections that its peers still hold to its
// previous incarnation. It returns nil if there is no private key that can be encoded.
func statelessResetKey(c *tls.Config) *quic.StatelessResetKey {
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

// Handle registers the handler for messages of a kind.
func (e *Endpoint) Handle(k Kind, h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handlers[k] = h
}

const (
	// drainPollInterval is the interval at which Drain checks for active calls.
	drainPollInterval = 5 * time.Millisecond
	// replyGracePeriod is the time for the last replies to arrive, including
	// retransmissions, before their connections are closed.
	replyGracePeriod = 200 * time.Millisecond
)

// Drain makes the endpoint reject new calls and returns after all active calls are
// answered and their replies have had time to arrive. Other messages are still handled.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.draining.Store(true)
	for e.activeCalls.Load() > 0 {
		if err := sleep(ctx, drainPollInterval); err != nil {
			return fmt.Errorf("wait for %d calls: %w", e.activeCalls.Load(), err)
		}
	}
	return sleep(ctx, replyGracePeriod)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain endpoint: %w", ctx.Err())
	}
}

// Close closes all connections. Messages in flight are aborted.
func (e *Endpoint) Close() error {
	e.cancel()
	e.mu.Lock()
	links := e.links
	e.links = map[string]*link{}
	e.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	// Each incoming connection is closed by its own goroutine, which notifies the peer.
	// If only the transport were closed, peers would detect it by a timeout.
	e.background.Wait()
	err := e.transport.Close()
	e.transport.Conn.Close()
	e.callPool.Stop()
	e.controlPool.Stop()
	if err != nil {
		return fmt.Errorf("close QUIC transport: %w", err)
	}
	return nil
}

// closeIdle periodically closes unused connections until the endpoint is closed.
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
