package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxPipelined bounds the requests of one connection that are served at once.
	maxPipelined = 32
	// bodyTimeout bounds the time in which a body must come whole. It is above
	// the deadlines customary for requests.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time that a caller may take to read an answer.
	writeTimeout = 30 * time.Second
	// lingerTime is how long a closing connection reads on, so that a reset does
	// not destroy an answer that the caller has not read yet.
	lingerTime = 500 * time.Millisecond
	// leastHeaderBytes is the least size of a connection's read buffer.
	leastHeaderBytes = 4 << 10
	// writeBufferBytes holds the headers and most bodies of an answer.
	writeBufferBytes = 4 << 10
)

// errClosing ends the reading of a connection whose last answer was written.
var errClosing = errors.New("connection is closing")

// A connection is one caller's connection.
type connection struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// places bounds the requests being served.
	places  chan struct{}
	serving sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelCauseFunc

	// mu guards unanswered and lastWritten.
	mu          sync.Mutex
	unanswered  int
	lastWritten bool
}

func newConnection(s *Server, raw net.Conn) *connection {
	ctx, cancel := context.WithCancelCause(context.Background())
	size := max(leastHeaderBytes, s.limits().HeaderBytes)
	return &connection{
		server: s,
		raw:    raw,
		reader: bufio.NewReaderSize(raw, size),
		writer: bufio.NewWriterSize(raw, writeBufferBytes),
		places: make(chan struct{}, maxPipelined),
		ctx:    ctx,
		cancel: cancel,
	}
}

// serve reads requests until the connection ends. Each is answered when the one
// before it was.
func (c *connection) serve() {
	previous := make(chan struct{})
	close(previous)
	for {
		request, err := c.read()
		if err != nil {
			c.fail(err, previous)
			break
		}
		answered := make(chan struct{})
		turn := previous
		c.serving.Go(func() {
			c.answer(request, turn)
			close(answered)
			<-c.places
		})
		previous = answered
	}
	c.serving.Wait()
	c.cancel(nil)
	c.raw.Close()
}

// read returns the next whole request. A clean end between requests is an error too.
func (c *connection) read() (*fasthttp.Request, error) {
	c.places <- struct{}{}
	limits := c.server.limits()
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return nil, leftError{err}
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return nil, leftError{err}
	}
	request := fasthttp.AcquireRequest()
	if err := request.Header.Read(c.reader); err != nil {
		fasthttp.ReleaseRequest(request)
		return nil, err
	}
	if err := c.readBody(request, limits); err != nil {
		fasthttp.ReleaseRequest(request)
		return nil, err
	}
	if err := c.raw.SetReadDeadline(time.Time{}); err != nil {
		fasthttp.ReleaseRequest(request)
		return nil, leftError{err}
	}
	return request, c.begin()
}

// begin counts a request that was read whole; it fails if the connection's last
// answer was written meanwhile, so that the request counts as unread.
func (c *connection) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastWritten {
		return errClosing
	}
	c.unanswered++
	c.server.active.Add(1)
	return nil
}

// awaitRequest waits for the first byte of a request. The idle time counts only
// while no earlier request is being served.
func (c *connection) awaitRequest(idle time.Duration) error {
	for {
		if err := c.raw.SetReadDeadline(time.Now().Add(idle)); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			return nil
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.busy() {
			continue
		}
		return err
	}
}

func (c *connection) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0
}

func (c *connection) readBody(request *fasthttp.Request, limits Limits) error {
	if request.MayContinue() {
		// Written directly: no answer is due while a request of the connection
		// waits for this line, as such callers don't pipeline.
		if _, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return leftError{err}
		}
		request.Header.Del(fasthttp.HeaderExpect)
	}
	if request.Header.ContentLength() != 0 {
		if err := c.raw.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
			return leftError{err}
		}
	}
	return request.ContinueReadBody(c.reader, limits.BodyBytes, false)
}

// answer serves a request and writes its answer when its turn has come.
func (c *connection) answer(request *fasthttp.Request, turn <-chan struct{}) {
	defer c.server.active.Add(-1)
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	c.server.handler.Serve(c.ctx, request, response)
	response.SkipBody = request.Header.IsHead()
	<-turn
	c.write(response, request.ConnectionClose())
}

// write writes an answer. The last one of a connection says so.
func (c *connection) write(response *fasthttp.Response, wanted bool) {
	c.mu.Lock()
	c.unanswered--
	last := c.lastWritten
	if wanted || response.ConnectionClose() || c.server.closing.Load() && c.unanswered == 0 {
		c.lastWritten = true
		response.SetConnectionClose()
	}
	closes := c.lastWritten
	c.mu.Unlock()
	if last || c.ctx.Err() != nil {
		return
	}
	if err := c.send(response); err != nil {
		c.cancel(ErrCallerLeft)
		c.raw.Close()
		return
	}
	if closes {
		c.linger()
	}
}

func (c *connection) send(response *fasthttp.Response) error {
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	response.Header.SetNoDefaultContentType(true)
	if err := response.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// retire ends the connection unless a request is being served on it.
func (c *connection) retire() {
	c.mu.Lock()
	idle := c.unanswered == 0 && !c.lastWritten
	if idle {
		c.lastWritten = true
	}
	c.mu.Unlock()
	if idle {
		c.linger()
	}
}

// linger ends the writing side and lets the reader go on for a moment.
func (c *connection) linger() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok {
		if err := half.CloseWrite(); err != nil {
			c.raw.Close()
			return
		}
	}
	time.AfterFunc(lingerTime, func() { c.raw.Close() })
}

// fail ends a connection after an error of reading. A request that could not be
// read gets an answer that says why; a caller that left ends what is in flight.
func (c *connection) fail(err error, turn <-chan struct{}) {
	var left leftError
	if errors.As(err, &left) {
		c.cancel(ErrCallerLeft)
		return
	}
	if errors.Is(err, errClosing) {
		c.discard()
		return
	}
	status, known := unreadableStatus(err)
	if !known {
		c.cancel(ErrCallerLeft)
		return
	}
	<-turn
	c.mu.Lock()
	c.unanswered++
	c.mu.Unlock()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.SetStatusCode(status)
	response.SetBodyString(fasthttp.StatusMessage(status) + ": the request could not be read\n")
	response.SetConnectionClose()
	c.write(response, true)
	c.discard()
}

// discard reads what the caller still sends until the connection is closed.
func (c *connection) discard() {
	for {
		if _, err := c.reader.Discard(c.reader.Size()); err != nil {
			return
		}
	}
}

// A leftError says that the connection ended between requests.
type leftError struct{ error }

// Unwrap returns the error of the connection.
func (e leftError) Unwrap() error { return e.error }

// unreadableStatus returns the status for a request that can't be read; false if
// the connection ended instead.
func unreadableStatus(err error) (int, bool) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, true
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, true
	case errors.As(err, &network) && network.Timeout():
		return fasthttp.StatusRequestTimeout, true
	case errors.As(err, &network), isEnd(err):
		return 0, false
	default:
		return fasthttp.StatusBadRequest, true
	}
}

func isEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}
