// Package trunk multiplexes the calls between two nodes over one TCP connection, the
// trunk. Each call has an ID that its reply repeats, and messages of several calls are
// batched into one write. Large messages are sent in parts, between which small ones are
// sent.
//
// A connection can fail without a reset. While calls wait for replies and nothing
// arrives, a trunk probes the peer and reports itself as silent if the peer doesn't
// respond. It is closed when nothing arrives within the idle timeout.
//
// The node that dials a trunk sends calls on it; the other node replies. Two nodes that
// call each other have two trunks. Package fleet provides the list of nodes;
// docs/design/platform.md compares the trunk with QUIC.
package trunk

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

const (
	// DefaultIdleTimeout is the time without any received data after which a trunk is
	// closed. Nodes send several messages within that time.
	DefaultIdleTimeout = 6 * time.Second
	// writeTimeout bounds one write. A peer that doesn't read for this long counts as
	// unresponsive.
	writeTimeout = 1500 * time.Millisecond
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 16 << 10
)

// ErrNotSent is returned if a call was not sent, so that the peer can't have received
// it.
var ErrNotSent = eris.New("the call was not sent")

// ErrSilent is returned if the peer stopped to respond before the reply to an abandonable
// call arrived. The peer may have run the call.
var ErrSilent = eris.New("the other node does not respond")

// ErrClosed is returned if the trunk was closed before the reply to a call arrived. The
// peer may have run the call.
var ErrClosed = eris.New("the connection between the nodes was lost")

// A Handler handles the messages of the peer. HandleCall runs in its own goroutine and
// returns the reply; its context is cancelled when the caller cancels the call or the
// trunk closes. HandleNotice is called for each notice in the order of arrival.
type Handler interface {
	HandleCall(ctx context.Context, body []byte) any
	HandleNotice(body []byte)
}

// A Trunk is a multiplexed connection between two nodes. It is safe for concurrent use.
type Trunk struct {
	conn        net.Conn
	handler     Handler
	idleTimeout time.Duration
	clock       clock.Clock
	ctx         context.Context
	cancel      context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	closed  bool
	writing bool
	queue   sendQueue
	lastID  uint64
	calls   map[uint64]*pendingCall
	serving map[uint64]context.CancelFunc
	silence silence

	// parts are the large messages that are being received; only Run accesses them.
	parts map[uint64][]byte
}

// A pendingCall is a call that waits for its reply.
type pendingCall struct {
	reply chan []byte
	// abandonable calls fail with ErrSilent once the trunk is silent.
	abandonable bool
	// silent reports that the call was abandoned.
	silent bool
}

// New returns a Trunk on a connection. The caller must call Run.
func New(conn net.Conn, h Handler, idleTimeout time.Duration, c clock.Clock) *Trunk {
	ctx, cancel := context.WithCancel(context.Background())
	return &Trunk{
		conn: conn, handler: h, idleTimeout: idleTimeout, ctx: ctx, cancel: cancel, clock: c,
		calls:   make(map[uint64]*pendingCall),
		serving: make(map[uint64]context.CancelFunc),
		silence: newSilence(c.Now()),
		parts:   make(map[uint64][]byte),
	}
}

// Run reads and dispatches messages until the trunk closes, and returns the reason.
func (t *Trunk) Run() error {
	defer t.Close()
	reader := bufio.NewReaderSize(receiver{t}, readBufferBytes)
	for {
		if err := t.conn.SetReadDeadline(time.Now().Add(t.idleTimeout)); err != nil {
			return fmt.Errorf("set deadline of trunk: %w", err)
		}
		m, err := readMessage(reader)
		if err != nil {
			return err
		}
		if err := t.dispatch(m); err != nil {
			return err
		}
	}
}

// A receiver reads from the connection and records that data arrived.
type receiver struct{ trunk *Trunk }

// Read implements io.Reader.
func (r receiver) Read(p []byte) (int, error) {
	n, err := r.trunk.conn.Read(p)
	if n > 0 {
		r.trunk.markReceived()
	}
	return n, err
}

// Close closes the trunk. Calls without a reply fail with ErrClosed.
func (t *Trunk) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	t.closed = true
	t.cancel()
	t.conn.Close()
	for callID, c := range t.calls {
		close(c.reply)
		delete(t.calls, callID)
	}
	t.silence.release()
}

// Replying reports whether the peer waits for a reply that was not completely written yet.
// A peer that doesn't respond doesn't count.
func (t *Trunk) Replying() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.closed && !t.silence.silent && (len(t.serving) > 0 || t.writing)
}

// CloseWrite closes the write side. The peer closes the trunk once it has received all that
// was written; closing it here could send a reset, which discards the rest.
func (t *Trunk) CloseWrite() {
	closer, ok := t.conn.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		t.Close()
	}
}

// Do sends a call and waits for the body of its reply. It fails with ErrNotSent if the
// peer can't have received the call, and with ErrClosed if the trunk closed before the
// reply. A call that is abandonable also fails with ErrSilent, once the peer doesn't
// respond; the peer may have run it.
func (t *Trunk) Do(ctx context.Context, body any, abandonable bool) ([]byte, error) {
	c := &pendingCall{reply: make(chan []byte, 1), abandonable: abandonable}
	callID, err := t.register(c)
	if err != nil {
		return nil, err
	}
	if err := t.send(kindCall, callID, body); err != nil {
		t.unregister(callID)
		return nil, err
	}
	select {
	case replyBody, ok := <-c.reply:
		if !ok && c.silent {
			t.sendCancel(callID)
			return nil, ErrSilent
		}
		if !ok {
			return nil, ErrClosed
		}
		return replyBody, nil
	case <-ctx.Done():
	}
	if t.unregister(callID) {
		t.sendCancel(callID)
	}
	return nil, fmt.Errorf("wait for the reply: %w", context.Cause(ctx))
}

// sendCancel tells the peer that nobody waits for the reply to a call.
func (t *Trunk) sendCancel(callID uint64) {
	// An error means that the trunk is closed, which cancels the call too.
	_ = t.send(kindCancel, callID, struct{}{})
}

// Notify sends a one-way message.
func (t *Trunk) Notify(body any) error { return t.send(kindNotice, 0, body) }

// An EncodedNotice is a one-way message that is encoded once for several trunks.
type EncodedNotice struct{ content []byte }

// EncodeNotice encodes a one-way message.
func EncodeNotice(body any) (EncodedNotice, error) {
	content, err := encodeMessage(nil, kindNotice, 0, body)
	return EncodedNotice{content}, err
}

// NotifyEncoded sends a one-way message.
func (t *Trunk) NotifyEncoded(n EncodedNotice) error { return t.sendEncoded(n.content) }

func (t *Trunk) register(c *pendingCall) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return 0, ErrNotSent
	}
	t.lastID++
	t.calls[t.lastID] = c
	return t.lastID, nil
}

// unregister removes a call and reports whether it was still waiting for its reply.
func (t *Trunk) unregister(callID uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, pending := t.calls[callID]
	delete(t.calls, callID)
	return pending
}

// send queues a message and, unless another goroutine is writing, writes the queue.
// Messages queued during a write are batched into the next one.
func (t *Trunk) send(k messageKind, callID uint64, body any) error {
	encoded, err := encodeMessage(nil, k, callID, body)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	return t.sendEncoded(encoded)
}

func (t *Trunk) sendEncoded(encoded []byte) error {
	t.mu.Lock()
	if t.closed || !t.queue.push(encoded) {
		t.mu.Unlock()
		return ErrNotSent
	}
	if t.writing {
		t.mu.Unlock()
		return nil
	}
	t.writing = true
	t.mu.Unlock()
	t.flush()
	return nil
}

// flush writes until the queue is empty.
func (t *Trunk) flush() {
	for {
		t.mu.Lock()
		batch := t.queue.next()
		if t.closed || len(batch) == 0 {
			t.writing = false
			t.mu.Unlock()
			return
		}
		t.mu.Unlock()
		if err := t.write(batch); err != nil {
			t.Close()
			return
		}
	}
}

func (t *Trunk) write(batch []byte) error {
	if err := t.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set deadline of trunk: %w", err)
	}
	if _, err := t.conn.Write(batch); err != nil {
		return fmt.Errorf("write to trunk: %w", err)
	}
	return nil
}

// dispatch handles one message from the peer.
func (t *Trunk) dispatch(m message) error {
	switch m.kind {
	case kindCall:
		t.serve(m)
	case kindReply:
		t.mu.Lock()
		c, ok := t.calls[m.callID]
		delete(t.calls, m.callID)
		t.mu.Unlock()
		if ok {
			c.reply <- m.body
		}
	case kindCancel:
		t.mu.Lock()
		cancel, ok := t.serving[m.callID]
		t.mu.Unlock()
		if ok {
			cancel()
		}
	case kindNotice:
		t.handler.HandleNotice(m.body)
	case kindProbe:
		// An error means that the trunk is closed.
		_ = t.send(kindProbeReply, 0, struct{}{})
	case kindProbeReply:
		t.markAnswered()
	case kindPart, kindLastPart:
		return t.receivePart(m)
	}
	return nil
}

// receivePart adds a part of a large message, and dispatches the message once it is
// complete.
func (t *Trunk) receivePart(m message) error {
	whole := append(t.parts[m.callID], m.body...)
	if len(whole) > headerBytes+MaxMessageBytes || len(t.parts) >= maxPartialMessages && t.parts[m.callID] == nil {
		return fmt.Errorf("receive part of message: %w", errMessageTooLarge)
	}
	if m.kind == kindPart {
		t.parts[m.callID] = whole
		return nil
	}
	delete(t.parts, m.callID)
	complete, err := readMessage(bytes.NewReader(whole))
	if err != nil {
		return fmt.Errorf("read message from its parts: %w", err)
	}
	if complete.kind == kindPart || complete.kind == kindLastPart {
		return fmt.Errorf("read message from its parts: %w", errNestedParts)
	}
	return t.dispatch(complete)
}

func (t *Trunk) serve(m message) {
	ctx, cancel := context.WithCancel(t.ctx)
	t.mu.Lock()
	t.serving[m.callID] = cancel
	t.mu.Unlock()
	go func() {
		reply := t.handler.HandleCall(ctx, m.body)
		cancel()
		// A reply that can't be sent is lost; the caller gets ErrClosed once the trunk
		// closes.
		_ = t.send(kindReply, m.callID, reply)
		t.mu.Lock()
		delete(t.serving, m.callID)
		t.mu.Unlock()
	}()
}
