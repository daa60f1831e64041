package caller

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerTime bounds how long a refused connection is read before it is closed.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds how much of it is read.
	lingerBytes = 1 << 20
)

// A lingeringListener accepts connections that can be closed with a linger.
type lingeringListener struct{ net.Listener }

// Accept returns the next connection.
func (l lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept caller: %w", err)
	}
	return &lingeringConn{Conn: c}, nil
}

// A lingeringConn is a connection whose close, after a request that was refused
// unread, waits for what the caller still sends. Closing it at once would reset
// the connection, and the caller would lose the refusal.
type lingeringConn struct {
	net.Conn
	unread atomic.Bool
}

// Close closes the connection, at once or after reading what the caller sends.
func (c *lingeringConn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.unread.Load() {
		return c.Conn.Close()
	}
	if err := half.CloseWrite(); err != nil {
		return c.Conn.Close()
	}
	go c.drain()
	return nil
}

func (c *lingeringConn) drain() {
	defer c.Conn.Close()
	if err := c.SetReadDeadline(time.Now().Add(lingerTime)); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // Ends with the caller, the bytes or the time.
}
