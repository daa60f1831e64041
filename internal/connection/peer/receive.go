package peer

import (
	"context"
	"fmt"

	"github.com/quic-go/quic-go"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
)

// accept accepts connections until the endpoint is closed.
func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept(e.ctx)
		if err != nil {
			return
		}
		e.background.Go(func() { e.serve(conn) })
	}
}

// serve accepts the message streams of a connection until it is closed.
func (e *Endpoint) serve(conn *quic.Conn) {
	from, err := identity.FromCertificate(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		conn.CloseWithError(codeNoError, "no identity")
		return
	}
	for {
		stream, err := conn.AcceptStream(e.ctx)
		if err != nil {
			conn.CloseWithError(codeNoError, "closed")
			return
		}
		e.dispatch(from, stream)
	}
}

// dispatch reads a message and queues it for a worker. It reads the message before it
// selects the pool, so control messages never wait behind calls.
func (e *Endpoint) dispatch(from Identity, stream *quic.Stream) {
	go func() {
		message, err := readEnvelope(stream)
		if err != nil {
			stream.CancelRead(codeCancelled)
			sendReply(stream, Envelope{Status: StatusMalformed})
			return
		}
		if message.Kind == KindPing && message.Version == ProtocolVersion {
			sendReply(stream, Envelope{Kind: KindPing})
			return
		}
		if message.Kind == KindCall {
			e.dispatchCall(from, stream, message)
			return
		}
		task := func() { e.handleMessage(from, stream, message) }
		if err := e.controlPool.Go(task); err != nil {
			sendReply(stream, Envelope{Kind: message.Kind, Status: StatusBusy})
		}
	}()
}

// dispatchCall queues a call for a worker unless the endpoint is draining. It counts
// the call before it checks draining, so Drain doesn't miss a call.
func (e *Endpoint) dispatchCall(from Identity, stream *quic.Stream, message Envelope) {
	e.activeCalls.Add(1)
	if e.draining.Load() {
		sendReply(stream, Envelope{Kind: message.Kind, Status: StatusDraining})
		e.activeCalls.Add(-1)
		return
	}
	task := func() {
		defer e.activeCalls.Add(-1)
		e.handleMessage(from, stream, message)
	}
	if err := e.callPool.Go(task); err != nil {
		sendReply(stream, Envelope{Kind: message.Kind, Status: StatusBusy})
		e.activeCalls.Add(-1)
	}
}

// handleMessage runs the handler of a message and sends the reply.
func (e *Endpoint) handleMessage(from Identity, stream *quic.Stream, message Envelope) {
	if message.Version != ProtocolVersion {
		sendReply(stream, Envelope{Kind: message.Kind, Status: StatusIncompatible})
		return
	}
	h, ok := e.handler(message.Kind)
	if !ok {
		sendReply(stream, Envelope{Kind: message.Kind, Status: StatusNoHandler})
		return
	}
	// The stream's context is cancelled when the sender stops waiting for the reply.
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	body, err := runHandler(ctx, h, from, message.Body)
	if err != nil {
		sendReply(stream, Envelope{Kind: message.Kind, Status: StatusError, Body: []byte(err.Error())})
		return
	}
	sendReply(stream, Envelope{Kind: message.Kind, Body: body})
}

// runHandler runs a handler and converts a panic to an error, so that the sender gets a
// reply and the node keeps running.
func runHandler(ctx context.Context, h Handler, from Identity, body []byte) (reply []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("handler panicked: %v", r)
		}
	}()
	return h(ctx, from, body)
}

// sendReply sends a reply. If that fails it resets the stream, so the sender never
// mistakes a truncated reply for a complete one.
func sendReply(stream *quic.Stream, message Envelope) {
	message.Version = ProtocolVersion
	if err := writeEnvelope(stream, message); err != nil {
		stream.CancelWrite(codeCancelled)
		return
	}
	stream.Close()
}
