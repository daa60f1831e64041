package caller

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout is the maximum time for which a lingering close reads.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes is the maximum number of bytes that a lingering close reads.
	maxLingerBytes = 1 << 20
)

// A lingeringListener accepts connections that support a lingering close.
type lingeringListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept caller connection: %w", err)
	}
	return &lingeringConn{Conn: c}, nil
}

// A lingeringConn is a connection with an optional lingering close: after a request that
// was refused before it was fully read, Close first reads what the caller still sends.
// An immediate close would reset the connection, and the caller would lose the refusal.
type lingeringConn struct {
	net.Conn
	lingerOnClose atomic.Bool
}

// Close closes the connection, with a lingering close if lingerOnClose is set.
func (c *lingeringConn) Close() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.lingerOnClose.Load() {
		return c.Conn.Close()
	}
	if err := halfCloser.CloseWrite(); err != nil {
		return c.Conn.Close()
	}
	go c.drain()
	return nil
}

func (c *lingeringConn) drain() {
	defer c.Conn.Close()
	if err := c.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // Stops at EOF or either limit.
}
