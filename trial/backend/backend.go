// Package backend implements a simulated backend server for trials and tests: it
// has slots, a service time, a cold start and injectable faults, and can call other
// services through the node of its host. It uses plain HTTP/1.1.
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
	// announceInterval is the time between announcements to the node.
	announceInterval = 500 * time.Millisecond
	// defaultCallTimeout limits a call to another service if the request has no
	// timeout header.
	defaultCallTimeout = 10 * time.Second
	// poisonMarker in a request body ends the process if CrashOnPoison is set; it stands
	// for a request that triggers a fatal bug.
	poisonMarker = "poison"
)

// Settings configure a simulated backend server.
type Settings struct {
	Service string
	// Listen is the address to listen on, Node that of the host's node.
	Listen      string
	Node        string
	Slots       int
	Connections int
	// ServiceTime is the time for which a request occupies a slot.
	ServiceTime time.Duration
	// ColdStart is the time after the start during which the service time is tripled.
	ColdStart time.Duration
	// Calls are request paths of other services, such as "/stock/items". They are
	// called one after the other for each request.
	Calls []string
	// DirectServers holds the backend server addresses of other services. If it is
	// set, they are called directly, with retries, instead of through the node.
	DirectServers map[string][]string
	// Capture receives every byte that the server reads from its connections.
	Capture io.Writer
	// RunLog receives one line of JSON for each request when its execution starts.
	RunLog io.Writer
	// CrashOnPoison makes a request with the poison marker in its body end the process.
	CrashOnPoison bool
}

// A Run is the execution of one request. Checks use it to count executions.
type Run struct {
	Key     string `json:"key"`
	Path    string `json:"path"`
	Service string `json:"service"`
}

// A Server is a running simulated backend server.
type Server struct {
	settings     Settings
	started      time.Time
	slots        chan struct{}
	listener     net.Listener
	http         *fasthttp.Server
	client       *http.Client
	directClient *fasthttp.Client
	leaving      atomic.Bool
	slowFactor   atomic.Int64
	nextServer   atomic.Int64

	// mu guards runs.
	mu   sync.Mutex
	runs []Run
}

// Start starts a Server, which announces itself to its node until the context ends.
func Start(ctx context.Context, s Settings) (*Server, error) {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &Server{
		settings:     s,
		started:      time.Now(),
		slots:        make(chan struct{}, s.Slots),
		listener:     listener,
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Connections}},
		directClient: &fasthttp.Client{MaxConnsPerHost: s.Connections, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1},
	}
	b.http = &fasthttp.Server{Handler: b.serve, NoDefaultServerHeader: true, CloseOnShutdown: true}
	if s.Capture != nil {
		listener = captureListener{Listener: listener, to: s.Capture}
	}
	go func() { _ = b.http.Serve(listener) }() // Ends with Stop.
	go b.announceLoop(ctx)
	return b, nil
}

// Address returns the address on which the server listens.
func (b *Server) Address() string { return b.listener.Addr().String() }

// Runs returns the executed requests in the order of their start.
func (b *Server) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// AnnounceLeaving announces that the server accepts no new work.
func (b *Server) AnnounceLeaving() {
	b.leaving.Store(true)
	b.announce()
}

// SetSlowdown sets the factor by which the service time is multiplied.
func (b *Server) SetSlowdown(factor int) { b.slowFactor.Store(int64(factor)) }

// Stop shuts the server down.
func (b *Server) Stop(ctx context.Context) error {
	if err := b.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down backend server: %w", err)
	}
	return nil
}

func (b *Server) announceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		b.announce()
		select {
		case <-time.After(announceInterval):
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
		b.SetSlowdown(ctx.QueryArgs().GetUintOrZero("factor"))
		return
	case "/trial/health":
		ctx.SetBodyString("healthy")
		return
	}
	if b.settings.CrashOnPoison && strings.Contains(string(ctx.PostBody()), poisonMarker) {
		os.Exit(3)
	}
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.record(ctx)
	time.Sleep(b.serviceTime())
	status := b.callDependencies(ctx)
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("X-Request-Key", string(ctx.Request.Header.Peek("X-Request-Key")))
	ctx.SetBody(ctx.PostBody())
}

func (b *Server) serviceTime() time.Duration {
	t := b.settings.ServiceTime
	if factor := b.slowFactor.Load(); factor > 1 {
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
	if b.settings.RunLog == nil {
		return
	}
	if line, err := json.Marshal(r); err == nil {
		_, _ = b.settings.RunLog.Write(append(line, '\n')) // Checks report a missing line as a lost request.
	}
}

// callDependencies calls the other services and returns the status of the
// response: that of the first failed call, or OK.
func (b *Server) callDependencies(ctx *fasthttp.RequestCtx) int {
	for i, path := range b.settings.Calls {
		if b.settings.DirectServers != nil {
			if status := b.callDirect(ctx, path); status >= http.StatusBadRequest {
				return status
			}
			continue
		}
		if status := b.callThroughNode(ctx, i, path); status >= http.StatusBadRequest {
			return status
		}
	}
	return http.StatusOK
}

// callThroughNode calls another service through the node of the host.
func (b *Server) callThroughNode(ctx *fasthttp.RequestCtx, index int, path string) int {
	timeout := defaultCallTimeout
	if remaining := string(ctx.Request.Header.Peek(timeoutHeader)); remaining != "" {
		if parsed, err := time.ParseDuration(remaining + "ms"); err == nil {
			timeout = parsed
		}
	}
	callCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, http.MethodPost, "http://"+b.settings.Node+path, http.NoBody)
	if err != nil {
		return http.StatusInternalServerError
	}
	request.Header.Set(tokenHeader, string(ctx.Request.Header.Peek(tokenHeader)))
	request.Header.Set("X-Request-Key", string(ctx.Request.Header.Peek("X-Request-Key")))
	if idempotencyKey := ctx.Request.Header.Peek("Idempotency-Key"); len(idempotencyKey) > 0 {
		request.Header.Set("Idempotency-Key", fmt.Sprintf("%s/%s/%d", idempotencyKey, b.settings.Service, index))
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
