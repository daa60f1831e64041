package backend

import (
	"fmt"
	"io"
	"net"
)

// A captureListener copies everything read from its connections to a writer.
type captureListener struct {
	net.Listener
	to io.Writer
}

// Accept implements net.Listener.
func (l captureListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return captureConn{Conn: c, to: l.to}, nil
}

// A captureConn copies everything read from the connection to a writer.
type captureConn struct {
	net.Conn
	to io.Writer
}

// Read implements net.Conn.
func (c captureConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		_, _ = c.to.Write(p[:n]) // The capture is in memory, so writes don't fail.
	}
	return n, err
}
