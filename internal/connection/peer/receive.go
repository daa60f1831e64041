package peer

import (
	"context"

	"github.com/alitto/pond/v2"
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
		task := func() { e.answer(from, stream, message) }
		if err := e.pool(message.Kind).Go(task); err != nil {
			reply(stream, Envelope{Kind: message.Kind, Status: StatusBusy})
		}
	}()
}

func (e *Endpoint) pool(k Kind) pond.Pool {
	if k == KindCall {
		return e.calls
	}
	return e.control
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
	body, err := h(ctx, from, message.Body)
	if err != nil {
		reply(stream, Envelope{Kind: message.Kind, Status: StatusError, Body: []byte(err.Error())})
		return
	}
	reply(stream, Envelope{Kind: message.Kind, Body: body})
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
