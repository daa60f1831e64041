package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

const (
	// maxStale bounds the answers to earlier requests that are skipped.
	maxStale = 3
	// smallBody is written before the answer is read; a longer body is written
	// beside it, as a backend server may answer before it has read everything.
	smallBody = 4 << 10
	// checkedIdle is the idle time from which a kept connection is looked at
	// before it is used, which costs a system call.
	checkedIdle = 20 * time.Millisecond
)

// ErrNotHanded says that the backend server can't have got the request.
var ErrNotHanded = eris.New("the request was not handed to the backend server")

// ErrUnreachable says that no connection to the backend server could be made. It
// implies that the request was not handed over.
var ErrUnreachable = eris.New("the backend server could not be reached")

// A Link exchanges prepared HTTP/1.1 messages with one backend server over
// pooled connections. Unlike Client it knows nothing of the product's own
// headers. It is safe for concurrent use.
type Link struct {
	pool  *pool
	clock clock.Clock
}

// NewLink returns the Link of a backend server's address.
func NewLink(address string, connections int, c clock.Clock) *Link {
	return &Link{pool: newPool(address, max(1, connections)), clock: c}
}

// Close closes the idle connections; those in use are closed when they come back.
func (l *Link) Close() { l.pool.close() }

// Exchange hands over a request and reads the whole answer. mine tells whether
// an answer belongs to the request; others are skipped, as a backend server may
// send a late answer to an earlier request. When the context ends, the
// connection is cut, which tells the backend server to stop. The error is or
// wraps ErrNotHanded or ErrUnreachable if the request can't have run.
func (l *Link) Exchange(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response, mine func(*fasthttp.Response) bool) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reusable, err := converse(conn, request, response, mine)
	if !stop() {
		reusable = false
	}
	l.pool.put(conn, reusable, l.clock.Now())
	return err
}

func (l *Link) connect(ctx context.Context) (*connection, error) {
	for {
		conn, err := l.pool.get(ctx, l.clock.Now())
		switch {
		case err != nil && ctx.Err() != nil:
			return nil, errors.Join(ErrNotHanded, err)
		case err != nil:
			return nil, errors.Join(ErrUnreachable, ErrNotHanded, err)
		case conn.since.IsZero() || l.clock.Now().Sub(conn.since) < checkedIdle || quiet(conn):
			return conn, nil
		}
		l.pool.put(conn, false, l.clock.Now())
	}
}

// quiet reports whether a kept connection is open with nothing to read. A closed
// one would fail the request with its outcome unknown.
func quiet(c *connection) bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// converse writes the request and reads its answer. It reports whether the
// connection can be used again.
func converse(conn *connection, request *fasthttp.Request, response *fasthttp.Response, mine func(*fasthttp.Response) bool) (bool, error) {
	written := make(chan struct{})
	var failed error
	if len(request.Body()) <= smallBody {
		if err := writeRequest(conn, request); err != nil {
			return false, fmt.Errorf("write request: %w", err)
		}
		close(written)
	} else {
		go func() {
			defer close(written)
			failed = writeRequest(conn, request)
		}()
	}
	err := readMine(conn, request, response, mine)
	reusable := err == nil && !response.ConnectionClose() && conn.reader.Buffered() == 0
	select {
	case <-written:
		reusable = reusable && failed == nil
	default:
		// The answer came before the body was sent whole. The rest must not be
		// followed by another request, and the writer still holds the request.
		conn.Close()
		<-written
		reusable = false
	}
	return reusable, err
}

func writeRequest(conn *connection, request *fasthttp.Request) error {
	if err := request.Write(conn.writer); err != nil {
		return err
	}
	return conn.writer.Flush()
}

var errNoAnswer = errors.New("only answers to other requests came")

func readMine(conn *connection, request *fasthttp.Request, response *fasthttp.Response, mine func(*fasthttp.Response) bool) error {
	for range maxStale {
		response.Reset()
		response.SkipBody = request.Header.IsHead()
		if err := response.ReadLimitBody(conn.reader, maxAnswerBytes); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return fmt.Errorf("read answer: %w", err)
		}
		if mine(response) {
			return nil
		}
	}
	return errNoAnswer
}
