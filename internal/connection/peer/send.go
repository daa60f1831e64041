package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// codeDone and codeCancelled are the QUIC application codes of a closed
// connection and of a message whose sender gave up.
const (
	codeDone      = 0
	codeCancelled = 1
)

// A link is the connection to one address. It dials when first used and again
// after the connection was lost.
type link struct {
	address string

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
		return nil, errors.New("connection was dropped")
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
		l.conn.CloseWithError(codeDone, "dropped")
	}
}

// Call sends a message to an address and returns the reply's body. The context
// bounds the whole exchange; when it ends early the other node's handler is
// cancelled. See the errors of this package for what is known after a failure.
func (e *Endpoint) Call(ctx context.Context, address string, k Kind, body []byte) ([]byte, error) {
	conn, err := e.link(address).open(ctx, e)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotDelivered, err)
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: open stream to %s: %w", ErrNotDelivered, address, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(codeCancelled)
		stream.CancelWrite(codeCancelled)
	})
	defer stop()
	if err := writeEnvelope(stream, envelope{Version: ProtocolVersion, Kind: k, Body: body}); err != nil {
		stream.CancelRead(codeCancelled)
		return nil, fmt.Errorf("%w: to %s: %w", ErrNoAnswer, address, err)
	}
	stream.Close()
	reply, err := readEnvelope(stream)
	if err != nil {
		stream.CancelRead(codeCancelled)
		return nil, fmt.Errorf("%w: from %s: %w", ErrNoAnswer, address, err)
	}
	return reply.result()
}

// result turns a reply into the body or the error that it stands for.
func (m envelope) result() ([]byte, error) {
	switch m.Status {
	case StatusDone:
		return m.Body, nil
	case StatusError:
		return nil, &RemoteError{Text: string(m.Body)}
	case StatusNoHandler:
		return nil, ErrNoHandler
	case StatusBusy:
		return nil, ErrBusy
	case StatusIncompatible:
		return nil, ErrIncompatible
	case StatusMalformed:
		return nil, ErrMalformed
	default:
		return nil, fmt.Errorf("%w: unknown status %d", ErrNoAnswer, m.Status)
	}
}

func (e *Endpoint) link(address string) *link {
	e.mu.RLock()
	l := e.links[address]
	e.mu.RUnlock()
	if l != nil {
		return l
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l = e.links[address]; l == nil {
		l = &link{address: address}
		e.links[address] = l
	}
	return l
}
