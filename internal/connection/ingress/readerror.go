package ingress

import (
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

var (
	// errClosing stops reading requests from a connection that is closing.
	errClosing = errors.New("connection is closing")
	// errStopping reports that the server stops before a request has arrived completely. The
	// request has not run.
	errStopping = errors.New("the server stops before the request is complete")
)

// A disconnectError is an error of the connection outside of a request's headers and
// body.
type disconnectError struct{ error }

// Unwrap returns the underlying connection error.
func (e disconnectError) Unwrap() error { return e.error }

// readErrorStatus returns the response status for an error from reading a request, or
// false if the connection ended instead.
func readErrorStatus(err error) (int, bool) {
	var tooSmall *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.As(err, &tooSmall):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, true
	case errors.Is(err, errBodiesTooLarge):
		return fasthttp.StatusServiceUnavailable, true
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, true
	case isTimeout(err):
		return fasthttp.StatusRequestTimeout, true
	case errors.As(err, &netErr), isDisconnect(err):
		return 0, false
	default:
		return fasthttp.StatusBadRequest, true
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// handleReadError handles an error from read and reports whether the caller may still be
// connected. A request that is malformed, or that the server stopped reading, gets an error
// response; if the caller disconnected, the requests in flight are cancelled.
func (c *connection) handleReadError(err error, turn <-chan struct{}) (connected bool) {
	status, ok := readErrorStatus(err)
	outside := errors.As(err, new(disconnectError))
	switch {
	case c.isStopped() && (ok || errors.Is(err, errStopping)):
		c.respondToReadError(fasthttp.StatusServiceUnavailable, turn)
	case errors.Is(err, errClosing), outside && isTimeout(err), c.isClosing():
		c.endRequest(false)
		c.closeIdle()
	case outside, !ok:
		c.endRequest(false)
		c.cancel(ErrCallerDisconnected)
		return false
	default:
		c.respondToReadError(status, turn)
	}
	return true
}

// respondToReadError writes the final response of a connection, to a request that could not be
// read.
func (c *connection) respondToReadError(status int, turn <-chan struct{}) {
	<-turn
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	response.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable {
		response.Header.Set(fasthttp.HeaderRetryAfter, unreadRetryAfter)
	}
	response.SetBodyString(fasthttp.StatusMessage(status) + ": the request could not be read\n")
	response.SetConnectionClose()
	c.write(response, true)
	c.endRequest(true)
}
