// Package backend is the client of the backend server on the node's own host. It sends
// requests over pooled HTTP/1.1 connections. Package caller serves the calls and
// announcements that the backend server makes.
package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// dialTimeout limits connection setup, which takes about a millisecond.
	dialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long an unused connection is kept. It is below the usual idle
	// timeouts of servers, so that requests rarely hit a closed connection.
	maxIdleTime = 4 * time.Second
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 8 << 10
	// maxAnswerBytes bounds the bytes of one answer with its head, chunk lengths and
	// trailer. The parser doesn't bound the parameters of a chunk.
	maxAnswerBytes = maxResponseBytes + 1<<20
	// receiveBufferBytes is the size of a connection's receive buffer in the kernel, which may
	// double it. By default the kernel enlarges the buffer of a connection that is read slowly.
	receiveBufferBytes = 256 << 10
	// defaultMaxBufferedBytes bounds the incomplete answers of a backend server that are
	// held at once. Answers take a few kilobytes; a backend server that sends bytes
	// without end must not use up the memory of its node.
	defaultMaxBufferedBytes = 32 << 20
	// unlimitedAnswerBytes of each answer are read whatever is held of others, so that
	// large answers don't delay small ones.
	unlimitedAnswerBytes = 64 << 10
)

// A connection is one HTTP/1.1 connection to the backend server. It carries one
// request at a time and is closed unless its last response was read completely.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the connection became idle, zero before its first use.
	idleSince time.Time
	// rejected are the hashed ids of requests that the backend server rejected on this
	// connection.
	rejected map[uint64]struct{}
	// buffered limits what is held of the answers of all connections of a pool, and
	// counted is the part that this connection's answer has.
	buffered *bufferLimit
	counted  int64
	// ended reports that a read has found the end of the stream.
	ended bool
	// ctx is the context of the current request.
	ctx context.Context
}

// Read implements io.Reader. It counts what arrives of the current answer, and waits while
// the answers of all connections are too large.
func (c *connection) Read(p []byte) (int, error) {
	if c.counted >= unlimitedAnswerBytes {
		if err := c.buffered.await(c.ctx, c); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	c.counted += int64(n)
	c.buffered.add(int64(n))
	c.ended = c.ended || errors.Is(err, io.EOF)
	if c.counted > maxAnswerBytes {
		return n, ErrAnswerTooLarge
	}
	return n, err
}

// release ends the counting of an answer, which the caller now holds.
func (c *connection) release() {
	c.buffered.release(c, c.counted)
	c.counted = 0
}

// A bufferLimit bounds the bytes that are held of incomplete answers. It is safe for
// concurrent use.
type bufferLimit struct {
	limit int64

	// mu guards the fields below.
	mu    sync.Mutex
	bytes int64
	// preferred is the connection that reads on while the limit is reached, so that an
	// answer ends; nil if none does.
	preferred *connection
	// released is closed when bytes are released; nil if no connection waits.
	released chan struct{}
}

// await waits until a connection may read on. It fails if the context ends before that.
func (l *bufferLimit) await(ctx context.Context, c *connection) error {
	for {
		released := l.proceed(c)
		if released == nil {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			return fmt.Errorf("wait for memory: %w", context.Cause(ctx))
		}
	}
}

// proceed returns nil if a connection may read on, else a channel that is closed when it
// should try again.
func (l *bufferLimit) proceed(c *connection) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes < l.limit || l.preferred == c {
		return nil
	}
	if l.preferred == nil {
		l.preferred = c
		return nil
	}
	if l.released == nil {
		l.released = make(chan struct{})
	}
	return l.released
}

func (l *bufferLimit) add(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += n
}

// release subtracts the bytes of a connection's answer, which has ended.
func (l *bufferLimit) release(c *connection, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes -= n
	if l.preferred == c {
		l.preferred = nil
	}
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}

// held returns the bytes that are held.
func (l *bufferLimit) held() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// A pool holds the connections to one backend server and limits their number. It is
// safe for concurrent use.
type pool struct {
	address  string
	slots    chan struct{}
	buffered *bufferLimit

	// mu guards idle and closed. Idle connections are reused newest first.
	mu     sync.Mutex
	idle   []*connection
	closed bool
}

func newPool(address string, limit int) *pool {
	return &pool{
		address: address, slots: make(chan struct{}, limit), buffered: &bufferLimit{limit: defaultMaxBufferedBytes},
	}
}

// get returns an idle connection on which the request with the id was not rejected, or opens
// one. It blocks while the limit is reached.
func (p *pool) get(ctx context.Context, now time.Time, id string) (*connection, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a connection: %w", ctx.Err())
	}
	if c := p.takeIdle(now, id); c != nil {
		c.ctx = ctx
		return c, nil
	}
	raw, err := p.dial(ctx)
	if err != nil {
		<-p.slots
		return nil, err
	}
	c := &connection{
		Conn: raw, ctx: ctx, buffered: p.buffered, writer: bufio.NewWriterSize(raw, bufferBytes), rejected: make(map[uint64]struct{}),
	}
	c.reader = bufio.NewReaderSize(c, bufferBytes)
	return c, nil
}

// dial opens a connection to the backend server.
func (p *pool) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, fmt.Errorf("connect to backend server %s: %w", p.address, err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetReadBuffer(receiveBufferBytes); err != nil {
			conn.Close()
			return nil, fmt.Errorf("limit receive buffer of backend server %s: %w", p.address, err)
		}
	}
	return conn, nil
}

// takeIdle returns the newest idle connection within maxIdleTime on which the request with
// the id was not rejected, or nil. It closes expired ones.
func (p *pool) takeIdle(now time.Time, id string) *connection {
	hash := xxhash.Sum64String(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.idleSince) >= maxIdleTime {
			p.idle = slices.Delete(p.idle, i, i+1)
			c.Close()
			continue
		}
		if _, ok := c.rejected[hash]; !ok {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// put returns a connection to the pool. It is kept only if reusable: its last response
// was read completely and the backend server keeps it open.
func (p *pool) put(c *connection, reusable bool, now time.Time) {
	defer func() { <-p.slots }()
	c.release()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.closed {
		c.Close()
		return
	}
	c.idleSince = now
	p.idle = append(p.idle, c)
}

// close closes the idle connections. Those in use are closed by put.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
