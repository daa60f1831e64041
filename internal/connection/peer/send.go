package peer

import (
	"context"
	"errors"
	"fmt"
)

// codeDone, codeCancelled and codeLost are the QUIC application codes of a closed
// connection, of a message whose sender gave up and of a peer that fell silent.
const (
	codeDone      = 0
	codeCancelled = 1
	codeLost      = 2
)

// Call sends a message to an address and returns the reply's body. The context
// bounds the whole exchange; when it ends early the other node's handler is
// cancelled. See the errors of this package for what is known after a failure.
func (e *Endpoint) Call(ctx context.Context, address string, k Kind, body []byte) ([]byte, error) {
	l := e.link(address)
	l.waiting.Add(1)
	defer l.waiting.Add(-1)
	l.used.Store(true)
	conn, err := l.open(ctx, e)
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
		return nil, fmt.Errorf("%w: to %s: %w", ErrNoAnswer, address, err)
	}
	stream.Close()
	defer l.watch(conn, e)()
	reply, err := readEnvelope(stream)
	if err != nil {
		stream.CancelRead(codeCancelled)
		return nil, fmt.Errorf("%w: from %s: %w", ErrNoAnswer, address, err)
	}
	result, err := reply.result()
	if errors.Is(err, ErrLeaving) {
		l.retire(conn)
	}
	return result, err
}

// result turns a reply into the body or the error that it stands for.
func (m Envelope) result() ([]byte, error) {
	switch m.Status {
	case StatusDone:
		return m.Body, nil
	case StatusError:
		return nil, &RemoteError{Text: string(m.Body)}
	case StatusNoHandler:
		return nil, ErrNoHandler
	case StatusBusy:
		return nil, ErrBusy
	case StatusLeaving:
		return nil, ErrLeaving
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
