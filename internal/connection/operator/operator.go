// Package operator implements the HTTP server for the operators' tool. It serves the
// node's status, configuration and metrics, explanations of refused requests and
// reports on service targets.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// Paths of the operator address.
const (
	StatusPath   = "/operator/status"
	RefusalsPath = "/operator/refusals/"
	BurnPath     = "/operator/burn"
	// ConfigurationPath is the path of the configuration in force at the node.
	ConfigurationPath = "/operator/configuration"
	MetricsPath       = "/debug/vars"
)

// OmitPeersQuery is the query string that omits the peers from a status.
const OmitPeersQuery = "peers=none"

// readTimeout is the timeout for reading a whole request.
const readTimeout = 10 * time.Second

// maxRequestBytes is the maximum size of a request body; no request needs one.
const maxRequestBytes = 16 << 10

// Status is the response at StatusPath.
type Status struct {
	Host                 string `json:"host"`
	Zone                 string `json:"zone"`
	ConfigurationVersion uint64 `json:"configuration-version"`
	Service              string `json:"service,omitempty"`
	Leaving              bool   `json:"leaving"`
	Running              int    `json:"running"`
	Peers                []Peer `json:"peers"`
}

// A Peer is another node in the view of the responding node.
type Peer struct {
	Host string `json:"host"`
	Zone string `json:"zone"`
	// Address is the address at which the peer accepts connections from nodes.
	Address string `json:"address"`
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving"`
}

// A Configuration is a version of the configuration as it was applied. It contains
// hashes of keys but no keys.
type Configuration struct {
	Version uint64 `json:"version"`
	Content string `json:"content"`
}

// An Explanation states why a request was refused.
type Explanation struct {
	refusal.Refusal
	// Sentence is the refusal in plain English.
	Sentence string `json:"sentence"`
}

// A StatusProvider provides the data that a Server serves.
type StatusProvider interface {
	Status() Status
	FindRefusal(requestID string) (refusal.Refusal, bool)
	BurnReport() any
	// Configuration returns the version in force, or the zero value if there is none.
	Configuration() Configuration
	Metrics() string
}

// A Server is the HTTP server for operators. It is safe for concurrent use.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
	node     StatusProvider
}

// Listen starts a server on an address.
func Listen(address string, n StatusProvider) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for operators on %s: %w", address, err)
	}
	s := &Server{listener: listener, node: n}
	s.http = &fasthttp.Server{
		Handler:               s.serve,
		ReadTimeout:           readTimeout,
		MaxRequestBodySize:    maxRequestBytes,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	go func() { _ = s.http.Serve(listener) }() // Ends with Shutdown.
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops the server and returns when all requests are answered or the context
// ends.
func (s *Server) Shutdown(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("shut down operator server: %w", err)
	}
	return nil
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case !ctx.IsGet():
		ctx.Error("only GET is allowed", fasthttp.StatusMethodNotAllowed)
	case path == StatusPath:
		s.writeStatus(ctx)
	case path == BurnPath:
		writeJSON(ctx, s.node.BurnReport())
	case path == ConfigurationPath:
		writeJSON(ctx, s.node.Configuration())
	case path == MetricsPath:
		ctx.SetContentType("application/json")
		ctx.SetBodyString(s.node.Metrics())
	case strings.HasPrefix(path, RefusalsPath):
		s.writeExplanation(ctx, strings.TrimPrefix(path, RefusalsPath))
	default:
		ctx.Error("no such page", fasthttp.StatusNotFound)
	}
}

func (s *Server) writeStatus(ctx *fasthttp.RequestCtx) {
	status := s.node.Status()
	if string(ctx.URI().QueryString()) == OmitPeersQuery {
		status.Peers = nil
	}
	writeJSON(ctx, status)
}

func (s *Server) writeExplanation(ctx *fasthttp.RequestCtx, requestID string) {
	r, ok := s.node.FindRefusal(requestID)
	if !ok {
		ctx.Error("this host holds no refusal of that request", fasthttp.StatusNotFound)
		return
	}
	writeJSON(ctx, Explanation{Refusal: r, Sentence: r.Sentence()})
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error("the answer could not be encoded", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// discardLogger discards the HTTP library's log output, which may contain request data.
type discardLogger struct{}

// Printf discards a line.
func (discardLogger) Printf(string, ...any) {}
