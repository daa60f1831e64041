package ingress

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxPipelined is the maximum number of requests of one connection that are served
	// concurrently.
	maxPipelined = 32
	// bodyTimeout bounds the time to receive a complete body. It is above the usual
	// deadlines of requests.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time that a caller may take to read a response.
	writeTimeout = 30 * time.Second
	// lingerTimeout bounds how long a closing connection waits for the caller to close its
	// end. It is the time that the caller may take to read a response.
	lingerTimeout = writeTimeout
	// minReadBufferBytes is the minimum size of a connection's read buffer.
	minReadBufferBytes = 4 << 10
	// writeBufferBytes is the size of the write buffer, which fits the headers and most
	// bodies of a response.
	writeBufferBytes = 4 << 10
	// unreadRetryAfter is the retry delay in seconds of a request whose body can't be held, or
	// that the server stopped reading.
	unreadRetryAfter = "0.5"
)

// A connection serves the requests on one caller connection.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// slots limits the requests that are served concurrently.
	slots   chan struct{}
	serving sync.WaitGroup
	source  *countedReader
	// ctx ends when the caller disconnects, and requests also when the server cancels the
	// requests that are being served.
	ctx, requests  context.Context
	cancel         context.CancelCauseFunc
	cancelRequests context.CancelCauseFunc

	// mu guards the fields below, and the read deadline once finalWritten or stopped is set.
	mu         sync.Mutex
	unanswered int
	// answeredAt is when the latest response was sent.
	answeredAt time.Time
	// reading is set while a request is being read, and stopped once it is refused instead.
	reading, stopped bool
	// finalWritten is set once no further response will be written. The connection then
	// waits for the caller to close its end.
	finalWritten bool
}

func newConnection(s *Server, conn net.Conn) *connection {
	ctx, cancel := context.WithCancelCause(context.Background())
	requests, cancelRequests := context.WithCancelCause(ctx)
	size := max(minReadBufferBytes, s.limits().HeaderBytes)
	source := &countedReader{source: conn, budget: s.bodies}
	return &connection{
		server: s,
		conn:   conn,
		source: source,
		reader: bufio.NewReaderSize(source, size),
		writer: bufio.NewWriterSize(conn, writeBufferBytes),
		slots:  make(chan struct{}, maxPipelined),
		ctx:    ctx, requests: requests,
		cancel: cancel, cancelRequests: cancelRequests,
	}
}

// serve reads and serves requests until the connection ends, or until the caller asks to close
// it. Responses are written in the order of the requests.
func (c *connection) serve() {
	previous := make(chan struct{})
	close(previous)
	for {
		request, reserved, err := c.read()
		if err != nil {
			if c.handleReadError(err, previous) {
				c.discard()
			}
			break
		}
		last := request.ConnectionClose()
		answered := make(chan struct{})
		turn := previous
		c.serving.Go(func() {
			c.respond(request, turn)
			c.server.bodies.release(reserved)
			close(answered)
			<-c.slots
		})
		previous = answered
		if last {
			c.discard()
			break
		}
	}
	c.serving.Wait()
	c.cancel(nil)
	c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finalWritten {
		c.server.lingering.Add(-1)
	}
	c.finalWritten = true
}

// read returns the next complete request and the bytes reserved for its body, which the
// caller releases. A clean end of the connection between requests is an error too.
func (c *connection) read() (request *fasthttp.Request, reserved int64, err error) {
	c.slots <- struct{}{}
	limits := c.server.limits()
	if err := c.awaitRequest(limits.IdleTimeout); err != nil {
		return nil, 0, disconnectError{err}
	}
	if err := c.setReadTimeout(limits.HeaderTimeout); err != nil {
		return nil, 0, disconnectError{err}
	}
	incoming := fasthttp.AcquireRequest()
	defer func() {
		if err != nil {
			c.server.bodies.release(reserved)
			fasthttp.ReleaseRequest(incoming)
		}
	}()
	if err := incoming.Header.Read(c.reader); err != nil {
		return nil, 0, err
	}
	if reserved, err = c.readBody(incoming, limits); err != nil {
		return nil, reserved, err
	}
	return incoming, reserved, c.completeRequest()
}

// setReadTimeout bounds the time until the next bytes arrive. It returns errClosing if no
// further request is served on the connection, and errStopping if the one that is arriving
// isn't.
func (c *connection) setReadTimeout(d time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.readable(); err != nil {
		return err
	}
	return c.conn.SetReadDeadline(time.Now().Add(d))
}

// readable returns why no more of a request is read, or nil. mu must be held.
func (c *connection) readable() error {
	switch {
	case c.finalWritten:
		return errClosing
	case c.stopped:
		return errStopping
	}
	return nil
}

// beginRequest counts a request as active from its first byte on. It returns errClosing if no
// further request is read from the connection.
func (c *connection) beginRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finalWritten || c.server.refusing.Load() {
		return errClosing
	}
	c.unanswered++
	c.reading = true
	c.server.active.Add(1)
	c.server.arriving.Add(1)
	return nil
}

// completeRequest records that a request has arrived completely, unless it isn't served.
func (c *connection) completeRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.readable(); err != nil {
		return err
	}
	c.reading = false
	c.server.arriving.Add(-1)
	return nil
}

// endRequest ends a request that was not read completely. The response to it is written
// before; without one the request no longer counts as unanswered.
func (c *connection) endRequest(answered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return
	}
	c.reading = false
	c.server.arriving.Add(-1)
	c.server.active.Add(-1)
	if !answered {
		c.unanswered--
	}
}

// stopReading interrupts reading a request, so that it is refused.
func (c *connection) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading && !c.finalWritten {
		c.stopped = true
		// An error means that the connection is closed, which ends the read too.
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// awaitRequest waits for the first byte of a request, after empty lines, and begins the request.
// The idle timeout applies from the time at which no earlier request was being served.
func (c *connection) awaitRequest(idle time.Duration) error {
	wait := idle
	for {
		if err := c.setReadTimeout(wait); err != nil {
			return err
		}
		next, err := c.reader.Peek(1)
		switch {
		case err == nil && (next[0] == '\r' || next[0] == '\n'):
			// An error would end the next Peek too.
			_, _ = c.reader.Discard(1)
			continue
		case err == nil:
			return c.beginRequest()
		case !isTimeout(err):
			return err
		}
		if wait = c.idleTimeLeft(idle); wait <= 0 {
			return err
		}
	}
}

// idleTimeLeft returns how long a connection may stay idle from now on.
func (c *connection) idleTimeLeft(idle time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 {
		return idle
	}
	return idle - time.Since(c.answeredAt)
}

// isClosing reports whether no further response will be written.
func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finalWritten
}

// isStopped reports whether the request that is being read is refused.
func (c *connection) isStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// readBody reads the body of a request and returns the bytes reserved for it. A body
// whose length is known is reserved before any of it is read.
func (c *connection) readBody(request *fasthttp.Request, limits Limits) (reserved int64, err error) {
	length := request.Header.ContentLength()
	if length > 0 && length <= limits.BodyBytes {
		if !c.server.bodies.reserve(int64(length)) {
			return 0, errBodiesTooLarge
		}
		reserved = int64(length)
	}
	if request.MayContinue() {
		// Writing to the connection directly is safe: callers that send the Expect
		// header don't pipeline, so no response is written at the same time.
		if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return reserved, disconnectError{err}
		}
		if _, err := c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return reserved, disconnectError{err}
		}
		request.Header.Del(fasthttp.HeaderExpect)
	}
	if length == 0 {
		return reserved, request.ContinueReadBody(c.reader, limits.BodyBytes, false)
	}
	if err := c.setReadTimeout(bodyTimeout); err != nil {
		return reserved, disconnectError{err}
	}
	if length < 0 {
		if !c.source.start(c.reader.Buffered()) {
			return 0, errBodiesTooLarge
		}
		defer func() { reserved += c.source.stop() }()
	}
	return reserved, request.ContinueReadBody(c.reader, limits.BodyBytes, false)
}

// respond serves a request and writes its response after those of earlier requests.
func (c *connection) respond(request *fasthttp.Request, turn <-chan struct{}) {
	defer c.server.active.Add(-1)
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	c.server.handler.Serve(c.requests, request, response)
	response.SkipBody = request.Header.IsHead()
	c.server.waiting.Add(1)
	<-turn
	c.server.sending.Add(1)
	c.server.waiting.Add(-1)
	defer c.server.sending.Add(-1)
	c.write(response, request.ConnectionClose())
}

// write writes a response. The final one of a connection has a Connection: close header.
// Responses after the final one are discarded. A caller that has closed its connection may have
// closed only its sending side, so it gets responses too. The request counts as unanswered until
// its response was sent.
func (c *connection) write(response *fasthttp.Response, closeRequested bool) {
	c.mu.Lock()
	discarded := c.finalWritten
	final := !discarded && (closeRequested || response.ConnectionClose() || c.server.closing.Load() && c.unanswered == 1)
	if final {
		c.markFinal()
		response.SetConnectionClose()
	}
	c.mu.Unlock()
	if !discarded {
		if err := c.send(response); err != nil {
			c.cancel(ErrCallerDisconnected)
			c.conn.Close()
		} else if final {
			c.closeWrite()
		}
	}
	c.mu.Lock()
	c.unanswered--
	c.answeredAt = time.Now()
	c.mu.Unlock()
	if c.server.refusing.Load() {
		c.closeIdle()
	}
}

// markFinal records that no further response will be written. mu must be held.
func (c *connection) markFinal() {
	c.finalWritten = true
	c.server.lingering.Add(1)
}

func (c *connection) send(response *fasthttp.Response) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	response.Header.SetNoDefaultContentType(true)
	if err := response.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// closeIdle closes the connection unless a request is being served on it.
func (c *connection) closeIdle() {
	c.mu.Lock()
	idle := c.unanswered == 0 && !c.finalWritten
	if idle {
		c.markFinal()
	}
	c.mu.Unlock()
	if idle {
		c.closeWrite()
	}
}

// closeWrite closes the write side of the connection. The reader continues until the
// caller closes its side: closing the connection earlier would answer whatever the caller
// still sends with a reset, which discards responses that it hasn't read yet.
func (c *connection) closeWrite() {
	c.mu.Lock()
	err := c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.mu.Unlock()
	if closer, ok := c.conn.(interface{ CloseWrite() error }); ok && err == nil {
		err = closer.CloseWrite()
	}
	if err != nil {
		c.conn.Close()
	}
}

// discard reads and drops input until the caller closes the connection, which cancels the
// requests in flight, or until the final response has been written for lingerTimeout.
func (c *connection) discard() {
	defer c.cancel(ErrCallerDisconnected)
	c.mu.Lock()
	var deadline time.Time
	if c.finalWritten {
		deadline = time.Now().Add(lingerTimeout)
	}
	// An error means that the connection is closed, which the next read reports.
	_ = c.conn.SetReadDeadline(deadline)
	c.mu.Unlock()
	for {
		if _, err := c.reader.Discard(c.reader.Size()); err != nil {
			return
		}
	}
}
