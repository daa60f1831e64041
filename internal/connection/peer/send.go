package peer

import (
	"context"
	"errors"
	"fmt"
)

// QUIC application error codes: a connection closed in order, a message that was
// cancelled or could not be read or sent, and a peer that doesn't reply to probes.
const (
	codeNoError   = 0
	codeCancelled = 1
	codeLost      = 2
)

// Call sends a message to an address and returns the body of the reply. If the context
// ends first, Call fails and the peer's handler is cancelled. The errors of this package
// state whether a failed message may have been handled.
func (e *Endpoint) Call(ctx context.Context, address string, k Kind, body []byte) ([]byte, error) {
	l := e.link(address)
	l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	l.used.Store(true)
	conn, err := l.connect(ctx, e)
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
	if err := writeEnvelope(stream, Envelope{Version: ProtocolVersion, Kind: k, Body: body}); err != nil {
		stream.CancelRead(codeCancelled)
		return nil, fmt.Errorf("%w: to %s: %w", ErrNoReply, address, err)
	}
	stream.Close()
	defer l.scheduleProbe(conn, e)()
	reply, err := readEnvelope(stream)
	if err != nil {
		stream.CancelRead(codeCancelled)
		return nil, fmt.Errorf("%w: from %s: %w", ErrNoReply, address, err)
	}
	result, err := reply.result()
	if errors.Is(err, ErrDraining) {
		l.retire(conn)
	}
	return result, err
}

// result returns the body of a reply or the error of its status.
func (m Envelope) result() ([]byte, error) {
	switch m.Status {
	case StatusOK:
		return m.Body, nil
	case StatusError:
		return nil, &RemoteError{Text: string(m.Body)}
	case StatusNoHandler:
		return nil, ErrNoHandler
	case StatusBusy:
		return nil, ErrBusy
	case StatusDraining:
		return nil, ErrDraining
	case StatusIncompatible:
		return nil, ErrIncompatible
	case StatusMalformed:
		return nil, ErrMalformed
	default:
		return nil, fmt.Errorf("%w: unknown status %d", ErrNoReply, m.Status)
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
