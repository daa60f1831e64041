// Package caller implements the HTTP servers for callers of services: clients, which
// authenticate with a key, and the host's own backend server, which sends a request
// token. It only parses requests and writes responses; package entry handles them.
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

// AnnouncePath is the path to which a backend server sends its announcements, about
// once a second.
const AnnouncePath = "/bilberryvane/announce"

// readTimeout is the timeout for reading a whole request.
const readTimeout = 30 * time.Second

// maxAnswerMargin is the maximum time before the end of a shutdown at which requests that
// still run are cancelled, at most a third of the shutdown. Recording an outcome delays an
// answer by up to 500 ms, and the listeners for clients and for the backend server are shut
// down one after the other, with a lingering close each.
const maxAnswerMargin = 500*time.Millisecond + 2*lingerTimeout

// Limits are the limits on callers and their requests.
type Limits struct {
	// MaxHeaderBytes is the maximum size of the request line and all headers.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
}

// A RequestHandler handles parsed requests: Serve those of clients, ServeChild those of
// the backend server. Package entry implements it.
type RequestHandler interface {
	Serve(ctx context.Context, in entry.Request) exchange.Answer
	ServeChild(ctx context.Context, in entry.Request) exchange.Answer
}

// An AnnouncementHandler handles the announcements of the host's backend server.
type AnnouncementHandler interface {
	Announce(s backend.Server) error
}

// A Server is one HTTP listener. It is safe for concurrent use.
type Server struct {
	http     *fasthttp.Server
	listener *lingeringListener
	// started reports whether Serve or Shutdown was called.
	started atomic.Bool
	// keepAlivesDisabled makes the server close each connection after its next answer.
	keepAlivesDisabled atomic.Bool
	// requests is the parent context of all requests; cancelRequests cancels it.
	requests       context.Context
	cancelRequests context.CancelFunc
}

// ListenCallers listens on an address for clients. They can connect immediately but get
// no answers before Serve is called.
func ListenCallers(address string, l Limits, h RequestHandler) (*Server, error) {
	return listen(address, l, func(s *Server, ctx *fasthttp.RequestCtx) { s.handleRequest(ctx, h.Serve) })
}

// ListenBackend serves the calls and announcements of the host's backend server.
func ListenBackend(address string, l Limits, h RequestHandler, a AnnouncementHandler) (*Server, error) {
	server, err := listen(address, l, func(s *Server, ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == AnnouncePath {
			handleAnnouncement(ctx, a)
			return
		}
		s.handleRequest(ctx, h.ServeChild)
	})
	if err != nil {
		return nil, err
	}
	server.Serve()
	return server, nil
}

func listen(address string, l Limits, handler func(*Server, *fasthttp.RequestCtx)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{}
	s.requests, s.cancelRequests = context.WithCancel(context.Background())
	s.listener = &lingeringListener{Listener: listener, reading: s.requests}
	s.http = &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			handler(s, ctx)
			flushAfterAnswer(ctx)
			if s.keepAlivesDisabled.Load() {
				ctx.SetConnectionClose()
			}
			if ctx.Request.Header.ConnectionClose() || ctx.Response.ConnectionClose() {
				lingerOnClose(ctx)
			}
		},
		ErrorHandler:          s.handleReadError,
		ReadBufferSize:        l.MaxHeaderBytes,
		MaxRequestBodySize:    l.MaxBodyBytes,
		Concurrency:           l.MaxConnections,
		ReadTimeout:           readTimeout,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                discardLogger{},
	}
	return s, nil
}

// Serve starts to handle requests in the background. Further calls have no effect.
func (s *Server) Serve() {
	if s.started.CompareAndSwap(false, true) {
		go func() { _ = s.http.Serve(s.listener) }() // Ends with Shutdown.
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// DisableKeepAlives makes the server close each connection after its next answer, so
// that callers move to other nodes without losing a request.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Shutdown stops accepting connections and returns when all requests are answered and
// all connections are closed, or the context ends. Shortly before the context's deadline
// it cancels the requests that still run or arrive, so that they are answered with their
// outcome.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	if s.started.CompareAndSwap(false, true) {
		return s.listener.Close()
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(maxAnswerMargin, left/3), s.cancelRequests)
		defer timer.Stop()
	}
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down HTTP server: %w", err)
	}
	return s.listener.waitClosed(ctx)
}

// flushAfterAnswer makes the HTTP library send the answer immediately. Without a write
// deadline it keeps the answer in its buffer while it handles a request that is already
// received behind it.
func flushAfterAnswer(ctx *fasthttp.RequestCtx) {
	_ = ctx.SetWriteDeadline(time.Time{}) // Fails only if the connection is closed.
}

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx, handle func(context.Context, entry.Request) exchange.Answer) {
	in, err := parseRequest(ctx)
	if err != nil {
		writeAnswer(ctx, exchange.Refused(asRefusal(err)))
		return
	}
	answer := handle(s.requests, in)
	if s.requests.Err() != nil && answer.Refusal != nil && answer.Refusal.Reason == refusal.Cancelled {
		leaving := *answer.Refusal
		leaving.Reason = refusal.Leaving
		answer.Refusal = &leaving
	}
	writeAnswer(ctx, answer)
}

func handleAnnouncement(ctx *fasthttp.RequestCtx, a AnnouncementHandler) {
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

// handleReadError answers a request that the HTTP library could not read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	lingerOnClose(ctx)
	reason := refusal.BadRequest
	var tooSmall *fasthttp.ErrSmallBuffer
	switch {
	case asSmallBuffer(err, &tooSmall) || isBodyTooLarge(err):
		reason = refusal.RequestTooLarge
	case s.requests.Err() != nil:
		reason = refusal.Leaving
	}
	writeRefusal(ctx, refusal.New(reason))
}

// discardLogger discards the HTTP library's log output, which may contain request data.
type discardLogger struct{}

// Printf discards a line.
func (discardLogger) Printf(string, ...any) {}
