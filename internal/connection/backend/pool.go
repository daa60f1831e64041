// Package backend talks to the backend server of the node's own host. It hands
// over requests on pooled HTTP/1.1 connections, and it listens on the loopback
// address for the calls and announcements that the backend server makes.
package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the making of a connection, which takes about a millisecond.
	dialTimeout = 500 * time.Millisecond
	// maxIdle is how long an unused connection is kept. It stays below the idle
	// timeouts customary at servers, so that a request seldom meets a closed one.
	maxIdle = 4 * time.Second
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 8 << 10
)

// A connection is one HTTP/1.1 connection to the backend server. It carries one
// request at a time, and is closed unless its last answer was read whole.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// since is when the connection became idle.
	since time.Time
}

// A pool keeps the connections to one backend server within its limit. It is
// safe for concurrent use.
type pool struct {
	address string
	slots   chan struct{}

	// mu guards idle and closed. Idle connections are reused newest first.
	mu     sync.Mutex
	idle   []*connection
	closed bool
}

func newPool(address string, limit int) *pool {
	return &pool{address: address, slots: make(chan struct{}, limit)}
}

// get returns an idle connection or makes one, waiting while the limit is reached.
func (p *pool) get(ctx context.Context, now time.Time) (*connection, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for a connection: %w", ctx.Err())
	}
	if c := p.takeIdle(now); c != nil {
		return c, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		<-p.slots
		return nil, fmt.Errorf("connect to backend server %s: %w", p.address, err)
	}
	return &connection{
		Conn:   raw,
		reader: bufio.NewReaderSize(raw, bufferBytes),
		writer: bufio.NewWriterSize(raw, bufferBytes),
	}, nil
}

// takeIdle returns the newest idle connection that is not too old, if any.
func (p *pool) takeIdle(now time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.since) < maxIdle {
			return c
		}
		c.Close()
	}
	return nil
}

// put takes a connection back. It is reused only if its last answer was read
// whole and the backend server keeps it open.
func (p *pool) put(c *connection, reusable bool, now time.Time) {
	defer func() { <-p.slots }()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !reusable || p.closed {
		c.Close()
		return
	}
	c.since = now
	p.idle = append(p.idle, c)
}

// close closes idle connections; those in use are closed when they come back.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}
