// Package backend is a stand-in of a backend server for trials and tests: it has
// slots, a service time, a cold start and faults, and may call other services
// through the node of its host. It speaks plain HTTP/1.1.
package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	announcePath  = "/bilberryvane/announce"
	tokenHeader   = "Bilberryvane-Request"
	timeoutHeader = "Bilberryvane-Timeout-Ms"
	// announcePeriod is the time between two announcements.
	announcePeriod = 500 * time.Millisecond
	// callTimeout bounds a call to another service when no time is given.
	callTimeout = 10 * time.Second
	// crashWord in a body makes the process end, as a fault in a real server would.
	crashWord = "poison"
)

// Settings say how the stand-in behaves.
type Settings struct {
	Service     string
	Listen      string
	Node        string
	Slots       int
	Connections int
	// ServiceTime is how long a request holds a slot.
	ServiceTime time.Duration
	// ColdStart is how long after its start it works at a third of its speed.
	ColdStart time.Duration
	// Calls are request paths of other services, such as "/stock/items", that are
	// called in turn for each request.
	Calls []string
	// Direct holds the addresses of other services, which are then called straight
	// and again after a failure, as plain clients do.
	Direct map[string][]string
	// Capture gets every byte that reaches the server.
	Capture io.Writer
	// Runs gets one line of JSON for each request as it begins to run.
	Runs io.Writer
	// Crashes lets a request with a poisoned body end the process.
	Crashes bool
}

// A Run is one request that was run, for checks of what ran and how often.
type Run struct {
	Key     string `json:"key"`
	Path    string `json:"path"`
	Service string `json:"service"`
}

// A Server is a running stand-in.
type Server struct {
	settings Settings
	started  time.Time
	slots    chan struct{}
	listener net.Listener
	http     *fasthttp.Server
	client   *http.Client
	direct   *fasthttp.Client
	leaving  atomic.Bool
	slowed   atomic.Int64
	next     atomic.Int64

	mu   sync.Mutex
	runs []Run
}

// Start starts a stand-in, which announces itself to its node until the context ends.
func Start(ctx context.Context, s Settings) (*Server, error) {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &Server{
		settings: s,
		started:  time.Now(),
		slots:    make(chan struct{}, s.Slots),
		listener: listener,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Connections}},
		direct:   &fasthttp.Client{MaxConnsPerHost: s.Connections, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1},
	}
	b.http = &fasthttp.Server{Handler: b.serve, NoDefaultServerHeader: true, CloseOnShutdown: true}
	if s.Capture != nil {
		listener = capturing{Listener: listener, to: s.Capture}
	}
	go func() { _ = b.http.Serve(listener) }() // Ends with Stop.
	go b.announceAlways(ctx)
	return b, nil
}

// Address returns the address that the stand-in listens on.
func (b *Server) Address() string { return b.listener.Addr().String() }

// Runs returns the requests that were run, in order.
func (b *Server) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Leave announces that the stand-in wants no new work.
func (b *Server) Leave() {
	b.leaving.Store(true)
	b.announce()
}

// Slow multiplies the service time.
func (b *Server) Slow(factor int) { b.slowed.Store(int64(factor)) }

// Stop ends the stand-in.
func (b *Server) Stop(ctx context.Context) error {
	if err := b.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

func (b *Server) announceAlways(ctx context.Context) {
	for ctx.Err() == nil {
		b.announce()
		select {
		case <-time.After(announcePeriod):
		case <-ctx.Done():
		}
	}
}

func (b *Server) announce() {
	body, err := json.Marshal(map[string]any{
		"service":     b.settings.Service,
		"address":     b.Address(),
		"slots":       b.settings.Slots,
		"connections": b.settings.Connections,
		"leaving":     b.leaving.Load(),
	})
	if err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+b.settings.Node+announcePath, "application/json", bytes.NewReader(body))
	if err == nil {
		response.Body.Close()
	}
}

func (b *Server) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/trial/slow":
		b.Slow(ctx.QueryArgs().GetUintOrZero("factor"))
		return
	case "/trial/health":
		ctx.SetBodyString("healthy")
		return
	}
	if b.settings.Crashes && strings.Contains(string(ctx.PostBody()), crashWord) {
		os.Exit(3)
	}
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.record(ctx)
	time.Sleep(b.serviceTime())
	answer := b.callOthers(ctx)
	ctx.SetStatusCode(answer)
	ctx.Response.Header.Set("X-Request-Key", string(ctx.Request.Header.Peek("X-Request-Key")))
	ctx.SetBody(ctx.PostBody())
}

func (b *Server) serviceTime() time.Duration {
	t := b.settings.ServiceTime
	if factor := b.slowed.Load(); factor > 1 {
		t *= time.Duration(factor)
	}
	if time.Since(b.started) < b.settings.ColdStart {
		t *= 3
	}
	return t
}

func (b *Server) record(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Run{
		Key:     string(ctx.Request.Header.Peek("X-Request-Key")),
		Path:    string(ctx.Path()),
		Service: b.settings.Service,
	}
	b.runs = append(b.runs, r)
	if b.settings.Runs == nil {
		return
	}
	if line, err := json.Marshal(r); err == nil {
		_, _ = b.settings.Runs.Write(append(line, '\n')) // A lost line shows as a lost request.
	}
}

// callOthers calls the other services through the node and returns the status
// to answer with.
func (b *Server) callOthers(ctx *fasthttp.RequestCtx) int {
	for i, path := range b.settings.Calls {
		if b.settings.Direct != nil {
			if status := b.callDirect(ctx, path); status >= http.StatusBadRequest {
				return status
			}
			continue
		}
		if status := b.callNode(ctx, i, path); status >= http.StatusBadRequest {
			return status
		}
	}
	return http.StatusOK
}

// callNode calls another service through the node of the host.
func (b *Server) callNode(ctx *fasthttp.RequestCtx, index int, path string) int {
	timeout := callTimeout
	if left := string(ctx.Request.Header.Peek(timeoutHeader)); left != "" {
		if parsed, err := time.ParseDuration(left + "ms"); err == nil {
			timeout = parsed
		}
	}
	limited, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+b.settings.Node+path, http.NoBody)
	if err != nil {
		return http.StatusInternalServerError
	}
	request.Header.Set(tokenHeader, string(ctx.Request.Header.Peek(tokenHeader)))
	request.Header.Set("X-Request-Key", string(ctx.Request.Header.Peek("X-Request-Key")))
	if name := ctx.Request.Header.Peek("Idempotency-Key"); len(name) > 0 {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s/%s/%d", name, b.settings.Service, index))
	}
	response, err := b.client.Do(request)
	if err != nil {
		return http.StatusBadGateway
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return http.StatusBadGateway
	}
	return response.StatusCode
}
