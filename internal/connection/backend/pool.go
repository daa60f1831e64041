// Package backend is the client of the backend server on the node's own host. It sends
// requests over pooled HTTP/1.1 connections. Package caller serves the calls and
// announcements that the backend server makes.
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
	// dialTimeout limits connection setup, which takes about a millisecond.
	dialTimeout = 500 * time.Millisecond
	// maxIdleTime is how long an unused connection is kept. It is below the usual idle
	// timeouts of servers, so that requests rarely hit a closed connection.
	maxIdleTime = 4 * time.Second
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 8 << 10
)

// A connection is one HTTP/1.1 connection to the backend server. It carries one
// request at a time and is closed unless its last response was read completely.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince is when the connection became idle, zero before its first use.
	idleSince time.Time
}

// A pool holds the connections to one backend server and limits their number. It is
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

// get returns an idle connection or opens one. It blocks while the limit is reached.
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

// takeIdle returns the newest idle connection within maxIdleTime, or nil. It closes
// expired ones.
func (p *pool) takeIdle(now time.Time) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Sub(c.idleSince) < maxIdleTime {
			return c
		}
		c.Close()
	}
	return nil
}

// put returns a connection to the pool. It is kept only if reusable: its last response
// was read completely and the backend server keeps it open.
func (p *pool) put(c *connection, reusable bool, now time.Time) {
	defer func() { <-p.slots }()
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
