// Package caller serves HTTP to those who call services: clients, who show a
// key, and the backend server of the own host, which shows a request token.
// Package entry decides; this package only reads and writes messages.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/request/entry"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// AnnouncePath is where a backend server announces itself, about once a second.
const AnnouncePath = "/bilberryvane/announce"

// readTimeout bounds the time in which a request must be sent whole.
const readTimeout = 30 * time.Second

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes bounds the request line with all headers.
	HeaderBytes int
	// BodyBytes bounds the body.
	BodyBytes int
	// Connections bounds the open connections.
	Connections int
}

// Service takes in requests; package entry implements it.
type Service interface {
	Serve(ctx context.Context, in entry.Request) exchange.Answer
	ServeChild(ctx context.Context, in entry.Request) exchange.Answer
}

// An Announcer learns of the backend server of the own host.
type Announcer interface {
	Announce(s backend.Server) error
}

// A Server is one HTTP listener. It is safe for concurrent use.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
	// serving says that Serve was called.
	serving atomic.Bool
	// closing makes each answer the last of its connection.
	closing atomic.Bool
}

// ListenCallers opens an address for clients. They can connect at once, and are
// answered after Serve.
func ListenCallers(address string, l Limits, s Service) (*Server, error) {
	return listen(address, l, func(ctx *fasthttp.RequestCtx) { serve(ctx, s.Serve) })
}

// ListenBackend serves the calls and announcements of the own backend server.
func ListenBackend(address string, l Limits, s Service, a Announcer) (*Server, error) {
	server, err := listen(address, l, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == AnnouncePath {
			announce(ctx, a)
			return
		}
		serve(ctx, s.ServeChild)
	})
	if err != nil {
		return nil, err
	}
	server.Serve()
	return server, nil
}

func listen(address string, l Limits, handler fasthttp.RequestHandler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{listener: listener}
	s.http = &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			handler(ctx)
			if s.closing.Load() {
				ctx.SetConnectionClose()
			}
		},
		ErrorHandler:          unreadable,
		ReadBufferSize:        l.HeaderBytes,
		MaxRequestBodySize:    l.BodyBytes,
		Concurrency:           l.Connections,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                silent{},
	}
	return s, nil
}

// Serve begins to answer. Further calls do nothing.
func (s *Server) Serve() {
	if s.serving.CompareAndSwap(false, true) {
		go func() { _ = s.http.Serve(lingeringListener{s.listener}) }() // Ends with Shutdown.
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// CloseAfterAnswer makes each further answer the last of its connection, so that
// callers move to other nodes without losing a request.
func (s *Server) CloseAfterAnswer() { s.closing.Store(true) }

// Shutdown takes no new connections and returns when all requests are answered
// or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if s.serving.CompareAndSwap(false, true) {
		return s.listener.Close()
	}
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down HTTP server: %w", err)
	}
	return nil
}

func serve(ctx *fasthttp.RequestCtx, f func(context.Context, entry.Request) exchange.Answer) {
	in, err := toIncoming(ctx)
	if err != nil {
		write(ctx, exchange.Refused(asRefusal(err)))
		return
	}
	write(ctx, f(context.Background(), in))
}

func announce(ctx *fasthttp.RequestCtx, a Announcer) {
	var server backend.Server
	if err := json.Unmarshal(ctx.PostBody(), &server); err != nil {
		ctx.Error("announcement is not readable: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if err := a.Announce(server); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// unreadable answers a request that the HTTP library could not read.
func unreadable(ctx *fasthttp.RequestCtx, err error) {
	if c, ok := ctx.Conn().(*lingeringConn); ok {
		c.unread.Store(true)
	}
	reason := refusal.BadRequest
	var small *fasthttp.ErrSmallBuffer
	if asError(err, &small) || isTooLarge(err) {
		reason = refusal.RequestTooLarge
	}
	writeRefusal(ctx, refusal.New(reason))
}

// silent drops the HTTP library's own log lines, which could quote a request.
type silent struct{}

// Printf drops a line.
func (silent) Printf(string, ...any) {}
