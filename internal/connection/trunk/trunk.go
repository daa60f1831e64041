// Package trunk carries the calls between two nodes over one TCP connection.
// Each call has a number, so that replies can't cross; messages of several
// calls are gathered into one write. A trunk on which nothing arrives for a
// while is closed, because connections can go dead without a reset.
//
// The node that dials a trunk sends calls on it; the other one replies. Two
// nodes that call each other have two trunks. Package fleet tells which nodes
// there are; docs/design/platform.md compares the trunk with QUIC.
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
	// DefaultSilence is the time without any message after which a trunk is
	// closed. Nodes send a notice several times in it.
	DefaultSilence = 1500 * time.Millisecond
	// writeTimeout bounds one write; a peer that doesn't read for so long counts
	// as silent.
	writeTimeout = 1500 * time.Millisecond
	// maxUnsentBytes bounds what waits for a slow peer.
	maxUnsentBytes = 16 << 20
	// readBufferBytes is the size of the read buffer.
	readBufferBytes = 16 << 10
)

// ErrNotSent says that a call never left this node.
var ErrNotSent = eris.New("the call was not sent")

// ErrClosed says that the trunk ended before the reply to a call came.
var ErrClosed = eris.New("the connection between the nodes was lost")

// A Handler serves the messages of the other node. Call runs in a goroutine of
// its own and returns the reply; its context ends when the caller cancels or
// the trunk closes. Notice is called in the order of the notices.
type Handler interface {
	Call(ctx context.Context, body []byte) any
	Notice(body []byte)
}

// A Trunk is one connection between two nodes. It is safe for concurrent use.
type Trunk struct {
	raw     net.Conn
	handler Handler
	silence time.Duration
	ctx     context.Context
	cancel  context.CancelFunc

	// mu guards all below.
	mu      sync.Mutex
	closed  bool
	writing bool
	unsent  []byte
	last    uint64
	calls   map[uint64]chan []byte
	serving map[uint64]context.CancelFunc
}

// New returns the Trunk of a connection. The caller runs Run.
func New(raw net.Conn, h Handler, silence time.Duration) *Trunk {
	ctx, cancel := context.WithCancel(context.Background())
	return &Trunk{
		raw: raw, handler: h, silence: silence, ctx: ctx, cancel: cancel,
		calls:   make(map[uint64]chan []byte),
		serving: make(map[uint64]context.CancelFunc),
	}
}

// Run reads messages until the trunk ends and returns why.
func (t *Trunk) Run() error {
	defer t.Close()
	reader := bufio.NewReaderSize(t.raw, readBufferBytes)
	for {
		if err := t.raw.SetReadDeadline(time.Now().Add(t.silence)); err != nil {
			return fmt.Errorf("set deadline of trunk: %w", err)
		}
		m, err := readMessage(reader)
		if err != nil {
			return err
		}
		t.receive(m)
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
	t.raw.Close()
	for number, reply := range t.calls {
		close(reply)
		delete(t.calls, number)
	}
}

// Do sends a call and waits for the body of its reply. ErrNotSent says that the
// other node can't have got it.
func (t *Trunk) Do(ctx context.Context, body any) ([]byte, error) {
	reply := make(chan []byte, 1)
	number, err := t.register(reply)
	if err != nil {
		return nil, err
	}
	if err := t.send(kindCall, number, body); err != nil {
		t.forget(number)
		return nil, err
	}
	select {
	case answer, ok := <-reply:
		if !ok {
			return nil, ErrClosed
		}
		return answer, nil
	case <-ctx.Done():
	}
	if t.forget(number) {
		// An error means that the trunk has ended, which cancels the call too.
		_ = t.send(kindCancel, number, struct{}{})
	}
	return nil, fmt.Errorf("wait for the reply: %w", context.Cause(ctx))
}

// Notify sends a notice.
func (t *Trunk) Notify(body any) error { return t.send(kindNotice, 0, body) }

func (t *Trunk) register(reply chan []byte) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return 0, ErrNotSent
	}
	t.last++
	t.calls[t.last] = reply
	return t.last, nil
}

// forget takes out a call and reports whether it was without a reply.
func (t *Trunk) forget(number uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, waiting := t.calls[number]
	delete(t.calls, number)
	return waiting
}

// send queues a message and, unless another goroutine is writing, writes all
// that is queued. Messages queued meanwhile go out in the same write.
func (t *Trunk) send(k kind, number uint64, body any) error {
	encoded, err := encodeMessage(nil, k, number, body)
	if err != nil {
		return errors.Join(ErrNotSent, err)
	}
	t.mu.Lock()
	if t.closed || len(t.unsent)+len(encoded) > maxUnsentBytes && len(t.unsent) > 0 {
		t.mu.Unlock()
		return ErrNotSent
	}
	t.unsent = append(t.unsent, encoded...)
	if t.writing {
		t.mu.Unlock()
		return nil
	}
	t.writing = true
	t.mu.Unlock()
	t.flush()
	return nil
}

// flush writes until nothing is queued.
func (t *Trunk) flush() {
	var spare []byte
	for {
		t.mu.Lock()
		if t.closed || len(t.unsent) == 0 {
			t.writing = false
			t.mu.Unlock()
			return
		}
		batch := t.unsent
		t.unsent = spare[:0]
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
	if err := t.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set deadline of trunk: %w", err)
	}
	if _, err := t.raw.Write(batch); err != nil {
		return fmt.Errorf("write to trunk: %w", err)
	}
	return nil
}

// receive handles one message of the other node.
func (t *Trunk) receive(m message) {
	switch m.kind {
	case kindCall:
		t.serve(m)
	case kindReply:
		t.mu.Lock()
		reply, ok := t.calls[m.number]
		delete(t.calls, m.number)
		t.mu.Unlock()
		if ok {
			reply <- m.body
		}
	case kindCancel:
		t.mu.Lock()
		cancel, ok := t.serving[m.number]
		t.mu.Unlock()
		if ok {
			cancel()
		}
	case kindNotice:
		t.handler.Notice(m.body)
	}
}

func (t *Trunk) serve(m message) {
	ctx, cancel := context.WithCancel(t.ctx)
	t.mu.Lock()
	t.serving[m.number] = cancel
	t.mu.Unlock()
	go func() {
		reply := t.handler.Call(ctx, m.body)
		t.mu.Lock()
		delete(t.serving, m.number)
		t.mu.Unlock()
		cancel()
		// A reply that can't be sent is lost with the trunk; the caller sees its end.
		_ = t.send(kindReply, m.number, reply)
	}()
}
