// Package ingress serves HTTP/1.1 connections of callers that pipeline requests
// and leave early. It reads the next request while earlier ones are served,
// answers in the order of the requests, and ends a request's context as soon as
// its caller closes the connection. Messages are read and written by fasthttp;
// package relay serves the requests.
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

// ErrCallerLeft is the cause with which the context of a request ends whose
// caller closed the connection.
var ErrCallerLeft = eris.New("the caller closed the connection")

// Limits bound what a caller may send. They may change with the configuration.
type Limits struct {
	// HeaderBytes bounds the request line with all headers.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int
	// HeaderTimeout bounds the time from the first byte of a request to the end
	// of its headers.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// A Handler serves requests. Serve fills in the response; the request and the
// response belong to the server again when it returns.
type Handler interface {
	Serve(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response)
}

// A Server listens on one address. It is safe for concurrent use.
type Server struct {
	handler  Handler
	limits   func() Limits
	listener net.Listener
	closing  atomic.Bool
	active   atomic.Int64
	done     sync.WaitGroup

	// mu guards connections.
	mu          sync.Mutex
	connections map[*connection]struct{}
}

// Listen opens an address and serves it. limits is asked for each connection and
// each request, so that a new configuration applies at once.
func Listen(address string, h Handler, limits func() Limits) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		handler: h, limits: limits, listener: listener,
		connections: make(map[*connection]struct{}),
	}
	s.done.Go(s.accept)
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Active returns the number of requests that are being served.
func (s *Server) Active() int { return int(s.active.Load()) }

// Drain makes each further answer the last of its connection.
func (s *Server) Drain() { s.closing.Store(true) }

// Retire takes no new connections and closes those without a request. A request
// that crosses such a close has not been read.
func (s *Server) Retire() {
	s.closing.Store(true)
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.retire()
	}
}

// Close takes no new connections and closes the open ones. Callers wait for
// Active to be 0 first if no request is to be cut.
func (s *Server) Close() {
	s.closing.Store(true)
	s.listener.Close()
	s.mu.Lock()
	for c := range s.connections {
		c.cancel(ErrCallerLeft)
		c.raw.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// acceptPause is the wait after a failed accept, such as for want of descriptors.
const acceptPause = 10 * time.Millisecond

func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, raw)
		s.mu.Lock()
		s.connections[c] = struct{}{}
		s.mu.Unlock()
		s.done.Go(func() {
			c.serve()
			s.mu.Lock()
			delete(s.connections, c)
			s.mu.Unlock()
		})
	}
}
