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

// If a reply is late, either the handler is slow or the host is lost. Probes
// distinguish the two long before the connection's idle timeout, and are not sent while
// replies are fast.
const (
	// probeInterval is the wait for a reply before the first probe, and the interval
	// between successful probes.
	probeInterval = 250 * time.Millisecond
	// probeTimeout is the timeout of one probe.
	probeTimeout = 250 * time.Millisecond
	// maxProbeFailures is the number of consecutive failed probes after which a
	// connection is closed as lost.
	maxProbeFailures = 3
)

// A link holds the outgoing connection to one address. It dials on first use and again
// after the connection is lost.
type link struct {
	address string

	// inFlight is the number of messages that are being sent or wait for a reply. It is
	// incremented before the connection is looked up, so a connection in use is never
	// closed as idle.
	inFlight atomic.Int64
	// used reports whether a message was sent since the last call of closeIdle.
	used atomic.Bool
	// probing reports whether probeLoop is running.
	probing atomic.Bool

	// mu guards conn and closed. It is held while dialling, so concurrent senders share
	// one dial.
	mu     sync.Mutex
	conn   *quic.Conn
	closed bool
}

// connect returns the link's open connection and dials if there is none.
func (l *link) connect(ctx context.Context, e *Endpoint) (*quic.Conn, error) {
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
		return nil, fmt.Errorf("resolve peer address %q: %w", l.address, err)
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
		l.conn.CloseWithError(codeNoError, "closed")
	}
}

// scheduleProbe probes the connection if no reply arrives within probeInterval. The
// caller must call the returned function after the reply or a failure.
func (l *link) scheduleProbe(conn *quic.Conn, e *Endpoint) func() {
	timer := time.AfterFunc(probeInterval, func() {
		if l.probing.CompareAndSwap(false, true) {
			defer l.probing.Store(false)
			l.probeLoop(conn, e)
		}
	})
	return func() { timer.Stop() }
}

// retire makes further messages use a new connection, because the peer is about to
// close this one. Pending replies still arrive on it.
func (l *link) retire(conn *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.conn = nil
	}
}

// closeIdle closes the connection if no message used it since the previous call.
func (l *link) closeIdle() {
	if l.used.Swap(false) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.inFlight.Load() > 0 {
		return
	}
	l.conn.CloseWithError(codeNoError, "idle")
	l.conn = nil
}

// probeLoop probes the peer while replies are pending. It closes the connection after
// maxProbeFailures consecutive failures, which fails all pending messages.
func (l *link) probeLoop(conn *quic.Conn, e *Endpoint) {
	failures := 0
	for l.inFlight.Load() > 0 && conn.Context().Err() == nil {
		if err := ping(e.ctx, conn); err == nil {
			failures = 0
			time.Sleep(probeInterval)
			continue
		}
		failures++
		if failures == maxProbeFailures {
			conn.CloseWithError(codeLost, "peer fell silent")
			return
		}
	}
}

// ping sends a probe and waits for the reply.
func ping(ctx context.Context, conn *quic.Conn) error {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	stream, err := conn.OpenStreamSync(probeCtx)
	if err != nil {
		return fmt.Errorf("open probe stream: %w", err)
	}
	if err := stream.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return fmt.Errorf("set probe deadline: %w", err)
	}
	if err := writeEnvelope(stream, Envelope{Version: ProtocolVersion, Kind: KindPing}); err != nil {
		return fmt.Errorf("send probe: %w", err)
	}
	stream.Close()
	if _, err := readEnvelope(stream); err != nil {
		stream.CancelRead(codeCancelled)
		return fmt.Errorf("wait for probe reply: %w", err)
	}
	return nil
}
