package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// lingerTimeout is the maximum time for which a lingering close reads.
	lingerTimeout = 500 * time.Millisecond
	// maxLingerBytes is the maximum number of bytes that a lingering close reads.
	maxLingerBytes = 1 << 20
)

// A lingeringListener accepts connections that support a lingering close.
type lingeringListener struct {
	net.Listener
	// reading ends when connections must not be read any more.
	reading context.Context
	// open counts the accepted connections that are not closed.
	open sync.WaitGroup
}

// Accept returns the next connection.
func (l *lingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept caller connection: %w", err)
	}
	l.open.Add(1)
	conn := &lingeringConn{Conn: c, reading: l.reading, onClose: sync.OnceFunc(l.open.Done)}
	conn.keepReading = context.AfterFunc(l.reading, func() {
		_ = conn.SetReadDeadline(time.Time{}) // Fails only if the connection is closed.
	})
	return conn, nil
}

// waitClosed returns when all connections are closed or the context ends. It must be
// called after the last Accept.
func (l *lingeringListener) waitClosed(ctx context.Context) error {
	closed := make(chan struct{})
	go func() {
		l.open.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for caller connections to close: %w", ctx.Err())
	}
}

// A lingeringConn is a connection with an optional lingering close: after an answer with
// requests behind it that are not read, Close first reads what the caller still sends.
// An immediate close would reset the connection, and the caller would lose the answer.
type lingeringConn struct {
	net.Conn
	lingerOnClose atomic.Bool
	// reading ends when a blocked read must fail; keepReading prevents that.
	reading     context.Context
	keepReading func() bool
	onClose     func()
}

// SetReadDeadline sets the read deadline, which has passed if reading has ended.
func (c *lingeringConn) SetReadDeadline(t time.Time) error {
	if err := c.Conn.SetReadDeadline(t); err != nil || c.reading.Err() == nil {
		return err
	}
	return c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// lingerOnClose makes the close of a request's connection a lingering one.
func lingerOnClose(ctx *fasthttp.RequestCtx) {
	if c, ok := ctx.Conn().(*lingeringConn); ok {
		c.lingerOnClose.Store(true)
	}
}

// Close closes the connection, with a lingering close if lingerOnClose is set.
func (c *lingeringConn) Close() error {
	c.keepReading()
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.lingerOnClose.Load() {
		return c.close()
	}
	if err := halfCloser.CloseWrite(); err != nil {
		return c.close()
	}
	go c.drain()
	return nil
}

func (c *lingeringConn) close() error {
	defer c.onClose()
	return c.Conn.Close()
}

func (c *lingeringConn) drain() {
	defer c.onClose()
	defer c.Conn.Close()
	if err := c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // Stops at EOF or either limit.
}
