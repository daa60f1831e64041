// Package ingress is an HTTP/1.1 server for callers that pipeline requests and may
// disconnect before they receive the response. It reads the next request while earlier
// ones are served, writes responses in the order of the requests, and cancels a
// request's context as soon as its caller closes the connection. Messages are parsed
// and written by fasthttp; package relay handles the requests.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

// ErrCallerDisconnected is the cancellation cause of a request's context after the
// caller closed the connection.
var ErrCallerDisconnected = eris.New("the caller closed the connection")

// Limits are the limits on a caller's requests and connections. They can change with
// the configuration.
type Limits struct {
	// HeaderBytes is the maximum size of the request line and all headers.
	HeaderBytes int
	// BodyBytes is the maximum size of a request body.
	BodyBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
}

// A Handler handles requests. Serve fills in the response and must not keep references to
// the request or the response after it returns.
type Handler interface {
	Serve(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response)
}

// A Server serves HTTP on one address. It is safe for concurrent use.
type Server struct {
	handler  Handler
	limits   func() Limits
	bodies   *byteBudget
	listener net.Listener
	// closing is set once connections close after a response, refusing once no further
	// request is served.
	closing, refusing atomic.Bool
	// active is the number of requests that have begun to arrive and are not answered, arriving
	// that of those which are not complete, waiting that of those whose response waits for
	// earlier ones, and sending that of those whose response is sent.
	active, arriving, waiting, sending atomic.Int64
	// lingering is the number of connections whose final response was written and that
	// the caller has not closed.
	lingering atomic.Int64
	done      sync.WaitGroup

	// mu guards connections.
	mu          sync.Mutex
	connections map[*connection]struct{}
}

// defaultMaxHeldBytes bounds the bodies of all requests that are held at once.
const defaultMaxHeldBytes = 64 << 20

// An Option changes a Server's settings.
type Option func(*Server)

// WithMaxHeldBytes bounds the bodies of all requests that are held at once. A request
// beyond it is refused with status 503 before its body is read.
func WithMaxHeldBytes(n int64) Option { return func(s *Server) { s.bodies.limit = n } }

// HeldBytes returns the bytes of the bodies that are held.
func (s *Server) HeldBytes() int64 { return s.bodies.used.Load() }

// Listen listens on an address and serves connections. It calls limits for each
// connection and each request, so that a new configuration applies at once.
func Listen(address string, h Handler, limits func() Limits, options ...Option) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		handler: h, limits: limits, listener: listener,
		bodies:      &byteBudget{limit: defaultMaxHeldBytes},
		connections: make(map[*connection]struct{}),
	}
	for _, o := range options {
		o(s)
	}
	s.done.Go(s.accept)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Active returns the number of requests that are arriving or being served.
func (s *Server) Active() int { return int(s.active.Load()) }

// A Progress is the number of requests in each phase.
type Progress struct {
	// Arriving counts requests that are being read.
	Arriving int
	// Handled counts requests that the handler has not answered yet.
	Handled int
	// Waiting counts responses that wait for those to earlier requests of their connection.
	Waiting int
	// Sending counts responses that are being sent.
	Sending int
}

// Progress returns how far the requests of all connections are.
func (s *Server) Progress() Progress {
	p := Progress{Arriving: int(s.arriving.Load()), Waiting: int(s.waiting.Load()), Sending: int(s.sending.Load())}
	p.Handled = max(0, s.Active()-p.Arriving-p.Waiting-p.Sending)
	return p
}

// Lingering returns the number of closing connections whose callers have not closed their
// end, and may not have received all responses.
func (s *Server) Lingering() int { return int(s.lingering.Load()) }

// Drain closes each connection after a response that leaves no other request in flight
// on it. Idle connections stay open for one more request.
func (s *Server) Drain() { s.closing.Store(true) }

// CloseIdle stops accepting connections and requests. It closes the connections without a
// request in flight, and the others after the response to their last request. A request that is
// arriving is refused with status 503, and one that begins to arrive later isn't read.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.refusing.Store(true)
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.stopReading()
		c.closeIdle()
	}
}

// CancelRequests cancels the requests that are being handled. The handlers have to answer at
// once, so that the responses behind theirs can be sent too. It implies CloseIdle, so that no
// request begins later. The cause is that of the contexts of the requests.
func (s *Server) CancelRequests(cause error) {
	s.CloseIdle()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.cancelRequests(cause)
	}
}

// Close stops accepting connections, closes the open ones and waits until they have
// ended. It cancels requests in flight as if their callers had disconnected; to avoid that,
// wait until Active returns 0.
// Responses that a caller has not received are lost unless Lingering returns 0.
func (s *Server) Close() {
	s.closing.Store(true)
	s.listener.Close()
	s.mu.Lock()
	for c := range s.connections {
		c.cancel(ErrCallerDisconnected)
		c.conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// acceptRetryDelay is the delay after a failed accept, for example because the process
// has run out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConnection(s, conn)
		s.mu.Lock()
		s.connections[c] = struct{}{}
		s.mu.Unlock()
		if s.refusing.Load() {
			c.closeIdle()
		}
		s.done.Go(func() {
			c.serve()
			s.mu.Lock()
			delete(s.connections, c)
			s.mu.Unlock()
		})
	}
}
