package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

const (
	// maxStaleResponses limits how many responses to earlier requests are skipped.
	maxStaleResponses = 3
	// maxInlineBodyBytes limits the bodies that are written before the response is
	// read. A longer body is written concurrently, because a backend server may respond
	// before it has read the whole body.
	maxInlineBodyBytes = 4 << 10
	// probeTimeout bounds a probe. The backend server runs on the same host.
	probeTimeout = 100 * time.Millisecond
	// maxRejected is the number of rejected requests after which a connection is not used
	// again, which bounds the ids that it holds.
	maxRejected = 256
	// minCheckedIdle is the idle time from which a connection is checked before reuse.
	// The check costs a system call.
	minCheckedIdle = 20 * time.Millisecond
)

// ErrNotSent means that the backend server can't have received the request.
var ErrNotSent = eris.New("the request was not handed to the backend server")

// ErrUnreachable means that the connection to the backend server failed. The request
// was not sent.
var ErrUnreachable = eris.New("the backend server could not be reached")

// ErrAnswerTooLarge means that an answer of the backend server with its head, chunk lengths
// and trailer is larger than a node holds of one answer.
var ErrAnswerTooLarge = eris.New("the answer of the backend server is too large")

// A LinkOption changes a Link's settings.
type LinkOption func(*Link)

// WithMaxBufferedBytes limits the bytes of incomplete answers that are held at once. Beyond
// it one answer at a time is read further, and the first 64 KiB of each.
func WithMaxBufferedBytes(n int64) LinkOption {
	return func(l *Link) { l.pool.buffered.limit = n }
}

// A Link exchanges prepared HTTP/1.1 messages with one backend server over
// pooled connections. Unlike Client it adds no headers of its own. It is safe for
// concurrent use.
type Link struct {
	pool  *pool
	clock clock.Clock

	// probing guards the result of the last probe, which began at probedAt.
	probing  sync.Mutex
	probedAt time.Time
	refused  bool
}

// NewLink returns a Link to a backend server's address with at most the given number of
// connections, but at least one.
func NewLink(address string, connections int, c clock.Clock, options ...LinkOption) *Link {
	l := &Link{pool: newPool(address, max(1, connections)), clock: c}
	for _, o := range options {
		o(l)
	}
	return l
}

// BufferedBytes returns the bytes of incomplete answers that are held.
func (l *Link) BufferedBytes() int64 { return l.pool.buffered.held() }

// Refuses reports whether the backend server refuses connections at some time after since.
// After a connection broke, this tells a process that has ended from a lost answer or a
// reset. One probe serves all requests whose connections broke before it.
func (l *Link) Refuses(ctx context.Context, since time.Time) bool {
	l.probing.Lock()
	defer l.probing.Unlock()
	if l.probedAt.After(since) {
		return l.refused
	}
	started := l.clock.Now()
	dialer := net.Dialer{Timeout: probeTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.pool.address)
	if err == nil {
		conn.Close()
	}
	l.probedAt, l.refused = started, errors.Is(err, syscall.ECONNREFUSED)
	return l.refused
}

// Close closes the idle connections. Those in use are closed after their request.
func (l *Link) Close() { l.pool.close() }

// A Match says how a response relates to a request.
type Match int

// The relations of a response to a request.
const (
	// Unrelated responses are skipped.
	Unrelated Match = iota
	// Answered is the response to the request.
	Answered
	// Rejected is the response to the request and says that it has not run.
	Rejected
	// Ambiguous may be the response to the request or to an earlier one.
	Ambiguous
)

// A Matcher says how a response relates to the request that was sent last. first reports
// that its connection has carried no earlier request.
type Matcher func(response *fasthttp.Response, first bool) Match

// Exchange sends a request and reads the complete response. Responses that match says are
// unrelated are skipped, because a backend server may send a late response to an earlier
// request. It may also repeat a rejection: a request with an id that was rejected on a
// connection is not sent on the same one again, as a second rejection could be a copy of the
// first. When the context ends, the connection is closed, which signals the backend server
// to stop. The error wraps ErrNotSent if the request can't have run, and also ErrUnreachable
// if the connection failed.
func (l *Link) Exchange(ctx context.Context, id string, request *fasthttp.Request, response *fasthttp.Response, match Matcher) error {
	conn, err := l.connect(ctx, id)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	reusable, err := roundTrip(conn, id, request, response, match)
	if !stop() {
		reusable = false
	}
	l.pool.put(conn, reusable, l.clock.Now())
	return err
}

func (l *Link) connect(ctx context.Context, id string) (*connection, error) {
	for {
		conn, err := l.pool.get(ctx, l.clock.Now(), id)
		switch {
		case err != nil && ctx.Err() != nil:
			return nil, errors.Join(ErrNotSent, err)
		case err != nil:
			return nil, errors.Join(ErrUnreachable, ErrNotSent, err)
		case conn.idleSince.IsZero() || l.clock.Now().Sub(conn.idleSince) < minCheckedIdle || isIdle(conn):
			return conn, nil
		}
		l.pool.put(conn, false, l.clock.Now())
	}
}

// isIdle reports whether a pooled connection is open and has no unread data. A request
// on a closed connection would fail with an unknown outcome.
func isIdle(c *connection) bool {
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

// roundTrip writes the request and reads its response. It reports whether the
// connection can be reused.
func roundTrip(conn *connection, id string, request *fasthttp.Request, response *fasthttp.Response, match Matcher) (bool, error) {
	written := make(chan struct{})
	var writeErr error
	if len(request.Body()) <= maxInlineBodyBytes {
		if err := writeRequest(conn, request); err != nil {
			return false, fmt.Errorf("write request: %w", err)
		}
		close(written)
	} else {
		go func() {
			defer close(written)
			writeErr = writeRequest(conn, request)
		}()
	}
	err := readMatching(conn, id, request, response, match)
	reusable := err == nil && !response.ConnectionClose() && conn.reader.Buffered() == 0 && len(conn.rejected) < maxRejected
	select {
	case <-written:
		reusable = reusable && writeErr == nil
	default:
		// The response arrived before the whole body was sent. The connection can't
		// carry another request, and the writing goroutine still uses the request.
		conn.Close()
		<-written
		reusable = false
	}
	if err == nil && conn.ended && isBroken(writeErr) {
		return false, fmt.Errorf("read answer without a length: %w", errors.Join(io.ErrUnexpectedEOF, writeErr))
	}
	return reusable, err
}

// isBroken reports whether a write failed because the connection broke before the backend
// server ended the stream. The kernel reports a broken connection to one system call only:
// after a write that got the error, a read finds the end of the stream. A write gets EPIPE
// if the stream had ended before. The other two errors come from this side.
func isBroken(writeErr error) bool {
	return writeErr != nil && !errors.Is(writeErr, syscall.EPIPE) && !errors.Is(writeErr, net.ErrClosed) &&
		!errors.Is(writeErr, os.ErrDeadlineExceeded)
}

func writeRequest(conn *connection, request *fasthttp.Request) error {
	if err := request.Write(conn.writer); err != nil {
		return err
	}
	return conn.writer.Flush()
}

// Errors of responses that can't be assigned to the request.
var (
	errNoMatch   = errors.New("only answers to other requests came")
	errAmbiguous = errors.New("an answer came that may belong to an earlier request")
)

func readMatching(conn *connection, id string, request *fasthttp.Request, response *fasthttp.Response, match Matcher) error {
	first := conn.idleSince.IsZero()
	for range maxStaleResponses {
		response.Reset()
		response.SkipBody = request.Header.IsHead()
		if err := readAnswer(conn.reader, response); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return fmt.Errorf("read answer: %w", err)
		}
		switch match(response, first) {
		case Answered:
			return nil
		case Rejected:
			conn.rejected[xxhash.Sum64String(id)] = struct{}{}
			return nil
		case Ambiguous:
			return errAmbiguous
		}
	}
	return errNoMatch
}
