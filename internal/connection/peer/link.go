package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

// A reply that is slow may come from a slow handler or never come from a lost
// host. Probes tell these apart long before the connection's idle timeout, and
// cost nothing while replies are quick.
const (
	// probeAfter is how long a reply is awaited before the peer is probed.
	probeAfter = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
	// probeFailures is how many probes in a row must fail for a connection to
	// count as lost.
	probeFailures = 3
)

// A link is the connection to one address. It dials when first used and again
// after the connection was lost.
type link struct {
	address string

	// waiting is the number of messages that are being sent or whose reply is
	// awaited. It is raised before the connection is looked up, so that one in
	// use is never closed as idle.
	waiting atomic.Int64
	// used says that a message was sent since the last look for idle connections.
	used atomic.Bool
	// probing says that a probe of the connection is under way.
	probing atomic.Bool

	// mu guards conn and closed, and makes concurrent senders share one dial.
	mu     sync.Mutex
	conn   *quic.Conn
	closed bool
}

// open returns the link's live connection, dialling if there is none.
func (l *link) open(ctx context.Context, e *Endpoint) (*quic.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.New("endpoint is closed")
	}
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	remote, err := net.ResolveUDPAddr("udp", l.address)
	if err != nil {
		return nil, fmt.Errorf("read peer address %q: %w", l.address, err)
	}
	conn, err := e.transport.Dial(ctx, remote, e.tls, e.quic)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", l.address, err)
	}
	l.conn = conn
	return conn, nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		l.conn.CloseWithError(codeDone, "closed")
	}
}

// watch arranges that the connection is probed if the reply to a message is slow.
// The function it returns must be called when the reply has come.
func (l *link) watch(conn *quic.Conn, e *Endpoint) func() {
	timer := time.AfterFunc(probeAfter, func() {
		if l.probing.CompareAndSwap(false, true) {
			defer l.probing.Store(false)
			l.probe(conn, e)
		}
	})
	return func() { timer.Stop() }
}

// retire makes further messages use a new connection, because the peer is about to
// close this one. Replies that are awaited still come on it.
func (l *link) retire(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}

// closeIdle closes the connection if no message used it since the last look.
func (l *link) closeIdle() {
	if l.used.Swap(false) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.waiting.Load() > 0 {
		return
	}
	l.conn.CloseWithError(codeDone, "idle")
	l.conn = nil
}

// probe asks the peer for signs of life while replies are awaited, and closes
// the connection when none come, so that all who wait learn of it.
func (l *link) probe(conn *quic.Conn, e *Endpoint) {
	failures := 0
	for l.waiting.Load() > 0 && conn.Context().Err() == nil {
		if err := ping(e.ctx, conn); err == nil {
			failures = 0
			time.Sleep(probeAfter)
			continue
		}
		failures++
		if failures == probeFailures {
			conn.CloseWithError(codeLost, "peer fell silent")
			return
		}
	}
}

// ping sends one probe and waits for its reply.
func ping(ctx context.Context, conn *quic.Conn) error {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	stream, err := conn.OpenStreamSync(limited)
	if err != nil {
		return fmt.Errorf("open probe: %w", err)
	}
	if err := stream.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return fmt.Errorf("limit probe: %w", err)
	}
	if err := writeEnvelope(stream, Envelope{Version: ProtocolVersion, Kind: KindPing}); err != nil {
		return fmt.Errorf("send probe: %w", err)
	}
	stream.Close()
	if _, err := readEnvelope(stream); err != nil {
		stream.CancelRead(codeCancelled)
		return fmt.Errorf("await probe: %w", err)
	}
	return nil
}
