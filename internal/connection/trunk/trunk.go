// Package trunk multiplexes the calls between two nodes over one TCP connection, the
// trunk. Each call has an ID that its reply repeats, and messages of several calls are
// batched into one write. A trunk is closed when nothing arrives within the idle
// timeout, because a connection can fail without a reset.
//
// The node that dials a trunk sends calls on it; the other node replies. Two nodes that
// call each other have two trunks. Package fleet provides the list of nodes;
// docs/design/platform.md compares the trunk with QUIC.
package trunk

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultIdleTimeout is the time without any received message after which a trunk is
	// closed. Nodes send several notices within that time.
	DefaultIdleTimeout = 1500 * time.Millisecond
	// writeTimeout bounds one write. A peer that doesn't read for this long counts as
	// unresponsive.
	writeTimeout = 1500 * time.Millisecond
	// maxQueuedBytes is the maximum size of the messages queued for a slow peer.
	maxQueuedBytes = 16 << 20
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 16 << 10
)

// ErrNotSent is returned if a call was not sent, so that the peer can't have received
// it.
var ErrNotSent = eris.New("the call was not sent")

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
	ctx         context.Context
	cancel      context.CancelFunc

	// mu guards the fields below.
	mu      sync.Mutex
	closed  bool
	writing bool
	queued  []byte
	lastID  uint64
	calls   map[uint64]chan []byte
	serving map[uint64]context.CancelFunc
}

// New returns a Trunk on a connection. The caller must call Run.
func New(conn net.Conn, h Handler, idleTimeout time.Duration) *Trunk {
	ctx, cancel := context.WithCancel(context.Background())
	return &Trunk{
		conn: conn, handler: h, idleTimeout: idleTimeout, ctx: ctx, cancel: cancel,
		calls:   make(map[uint64]chan []byte),
		serving: make(map[uint64]context.CancelFunc),
	}
}

// Run reads and dispatches messages until the trunk closes, and returns the reason.
func (t *Trunk) Run() error {
	defer t.Close()
	reader := bufio.NewReaderSize(t.conn, readBufferBytes)
	for {
		if err := t.conn.SetReadDeadline(time.Now().Add(t.idleTimeout)); err != nil {
			return fmt.Errorf("set deadline of trunk: %w", err)
		}
		m, err := readMessage(reader)
		if err != nil {
			return err
		}
		t.dispatch(m)
	}
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
	for callID, reply := range t.calls {
		close(reply)
		delete(t.calls, callID)
	}
}

// Do sends a call and waits for the body of its reply. It fails with ErrNotSent if the
// peer can't have received the call, and with ErrClosed if the trunk closed before the
// reply.
func (t *Trunk) Do(ctx context.Context, body any) ([]byte, error) {
	reply := make(chan []byte, 1)
	callID, err := t.register(reply)
	if err != nil {
		return nil, err
	}
	if err := t.send(kindCall, callID, body); err != nil {
		t.unregister(callID)
		return nil, err
	}
	select {
	case replyBody, ok := <-reply:
		if !ok {
			return nil, ErrClosed
		}
		return replyBody, nil
	case <-ctx.Done():
	}
	if t.unregister(callID) {
		// An error means that the trunk is closed, which cancels the call too.
		_ = t.send(kindCancel, callID, struct{}{})
	}
	return nil, fmt.Errorf("wait for the reply: %w", context.Cause(ctx))
}

// Notify sends a one-way message.
func (t *Trunk) Notify(body any) error { return t.send(kindNotice, 0, body) }

func (t *Trunk) register(reply chan []byte) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return 0, ErrNotSent
	}
	t.lastID++
	t.calls[t.lastID] = reply
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
	t.mu.Lock()
	if t.closed || len(t.queued)+len(encoded) > maxQueuedBytes && len(t.queued) > 0 {
		t.mu.Unlock()
		return ErrNotSent
	}
	t.queued = append(t.queued, encoded...)
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
	var spare []byte
	for {
		t.mu.Lock()
		if t.closed || len(t.queued) == 0 {
			t.writing = false
			t.mu.Unlock()
			return
		}
		batch := t.queued
		t.queued = spare[:0]
		t.mu.Unlock()
		if err := t.write(batch); err != nil {
			t.Close()
			return
		}
		if spare = batch; cap(spare) > readBufferBytes {
			spare = nil
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
func (t *Trunk) dispatch(m message) {
	switch m.kind {
	case kindCall:
		t.serve(m)
	case kindReply:
		t.mu.Lock()
		reply, ok := t.calls[m.callID]
		delete(t.calls, m.callID)
		t.mu.Unlock()
		if ok {
			reply <- m.body
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
	}
}

func (t *Trunk) serve(m message) {
	ctx, cancel := context.WithCancel(t.ctx)
	t.mu.Lock()
	t.serving[m.callID] = cancel
	t.mu.Unlock()
	go func() {
		reply := t.handler.HandleCall(ctx, m.body)
		t.mu.Lock()
		delete(t.serving, m.callID)
		t.mu.Unlock()
		cancel()
		// A reply that can't be sent is lost; the caller gets ErrClosed once the trunk
		// closes.
		_ = t.send(kindReply, m.callID, reply)
	}()
}
