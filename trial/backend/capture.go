package backend

import (
	"fmt"
	"io"
	"net"
)

// A capturing listener copies all that its connections read.
type capturing struct {
	net.Listener
	to io.Writer
}

// Accept returns the next connection.
func (l capturing) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return capturedConn{Conn: c, to: l.to}, nil
}

// A capturedConn copies all that it reads.
type capturedConn struct {
	net.Conn
	to io.Writer
}

// Read reads and copies.
func (c capturedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		_, _ = c.to.Write(p[:n]) // The capture is held in memory.
	}
	return n, err
}
