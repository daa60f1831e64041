package peer

import (
	"context"
	"fmt"

	"github.com/quic-go/quic-go"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
)

// accept takes connections until the endpoint is closed.
func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.accepting.Go(func() { e.serve(conn) })
	}
}

// serve takes the messages of one connection until it ends.
func (e *Endpoint) serve(conn *quic.Conn) {
	from, err := identity.FromCertificate(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		conn.CloseWithError(codeDone, "no identity")
		return
	}
	for {
		stream, err := conn.AcceptStream(e.ctx)
		if err != nil {
			conn.CloseWithError(codeDone, "closed")
			return
		}
		e.dispatch(from, stream)
	}
}

// dispatch hands a message to a worker. The message is read before a worker is
// chosen, so that control messages never wait behind calls.
func (e *Endpoint) dispatch(from Identity, stream *quic.Stream) {
	go func() {
		message, err := readEnvelope(stream)
		if err != nil {
			stream.CancelRead(codeCancelled)
			reply(stream, Envelope{Status: StatusMalformed})
			return
		}
		if message.Kind == KindPing && message.Version == ProtocolVersion {
			reply(stream, Envelope{Kind: KindPing})
			return
		}
		if message.Kind == KindCall {
			e.dispatchCall(from, stream, message)
			return
		}
		task := func() { e.answer(from, stream, message) }
		if err := e.control.Go(task); err != nil {
			reply(stream, Envelope{Kind: message.Kind, Status: StatusBusy})
		}
	}()
}

// dispatchCall hands a call to a worker unless the endpoint is leaving. The call
// is counted before leaving is looked at, so that Drain misses none.
func (e *Endpoint) dispatchCall(from Identity, stream *quic.Stream, message Envelope) {
	e.handling.Add(1)
	if e.leaving.Load() {
		reply(stream, Envelope{Kind: message.Kind, Status: StatusLeaving})
		e.handling.Add(-1)
		return
	}
	task := func() {
		defer e.handling.Add(-1)
		e.answer(from, stream, message)
	}
	if err := e.calls.Go(task); err != nil {
		reply(stream, Envelope{Kind: message.Kind, Status: StatusBusy})
		e.handling.Add(-1)
	}
}

// answer runs the handler of a message and sends its reply.
func (e *Endpoint) answer(from Identity, stream *quic.Stream, message Envelope) {
	if message.Version != ProtocolVersion {
		reply(stream, Envelope{Kind: message.Kind, Status: StatusIncompatible})
		return
	}
	h, ok := e.handler(message.Kind)
	if !ok {
		reply(stream, Envelope{Kind: message.Kind, Status: StatusNoHandler})
		return
	}
	// The stream's context ends when the sender cancels its wait for the reply.
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	body, err := handle(ctx, h, from, message.Body)
	if err != nil {
		reply(stream, Envelope{Kind: message.Kind, Status: StatusError, Body: []byte(err.Error())})
		return
	}
	reply(stream, Envelope{Kind: message.Kind, Body: body})
}

// handle runs a handler; a panic in it becomes an error, so that the sender gets
// a reply and the node goes on.
func handle(ctx context.Context, h Handler, from Identity, body []byte) (reply []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("handler panicked: %v", r)
		}
	}()
	return h(ctx, from, body)
}

// reply sends a reply whole; a reply that can't be sent is reset, so that the
// sender never takes a cut reply for a whole one.
func reply(stream *quic.Stream, message Envelope) {
	message.Version = ProtocolVersion
	if err := writeEnvelope(stream, message); err != nil {
		stream.CancelWrite(codeCancelled)
		return
	}
	stream.Close()
}
