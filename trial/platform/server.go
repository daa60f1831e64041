// Package platform is an in-memory fake of the cloud platform for trials and
// tests: a table service that implements the subset of the DynamoDB JSON protocol
// that bilberryvane uses, and an object store that implements the corresponding
// subset of the S3 protocol. It can inject outages, delays and lost responses to
// writes that have taken effect.
package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// MaxBodyBytes is the maximum size of a request body in bytes.
const MaxBodyBytes = 32 << 20

// Paths of the fault settings and the operation counts.
const (
	FaultsPath = "/trial/faults"
	CountsPath = "/trial/counts"
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Down closes every connection without processing the request.
	Down bool `json:"down"`
	// DelayMillis is the delay before each operation takes effect, in milliseconds.
	DelayMillis int64 `json:"slow-millis"`
	// DropResponses is the number of further writes that take effect but whose
	// connection is closed without a response.
	DropResponses int64 `json:"lose-answers"`
}

// Counts are the numbers of operations served, by kind.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// A Server is a fake platform. It is safe for concurrent use.
type Server struct {
	table   *tableService
	objects *objectStore
	server  *fasthttp.Server

	// mu guards faults.
	mu     sync.Mutex
	faults Faults

	reads, writes atomic.Uint64
}

// New returns a Server without rows, objects and faults.
func New() *Server {
	s := &Server{table: newTableService(), objects: newObjectStore()}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    MaxBodyBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve serves requests until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	if err := s.server.Serve(l); err != nil {
		return fmt.Errorf("serve fake platform: %w", err)
	}
	return nil
}

// Close closes the listeners and waits for operations in progress.
func (s *Server) Close() error {
	if err := s.server.Shutdown(); err != nil {
		return fmt.Errorf("stop fake platform: %w", err)
	}
	return nil
}

// SetFaults replaces the faults to inject.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults, with the remaining number of responses to
// drop.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of operations since the start.
func (s *Server) Counts() Counts { return Counts{Reads: s.reads.Load(), Writes: s.writes.Load()} }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case FaultsPath:
		s.handleFaults(ctx)
		return
	case CountsPath:
		writeJSON(ctx, s.Counts())
		return
	}
	faults := s.Faults()
	if faults.Down {
		closeConnection(ctx)
		return
	}
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	operation, isTable := strings.CutPrefix(string(ctx.Request.Header.Peek("X-Amz-Target")), targetPrefix)
	wrote := false
	if isTable {
		wrote = s.table.handle(ctx, operation)
	} else {
		wrote = s.objects.handle(ctx, path)
	}
	if !wrote {
		s.reads.Add(1)
		return
	}
	s.writes.Add(1)
	if s.dropResponse() {
		closeConnection(ctx)
	}
}

// dropResponse reports whether to drop the response to a write, and counts it.
func (s *Server) dropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropResponses == 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var f Faults
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	}
	writeJSON(ctx, s.Faults())
}

// closeConnection closes the connection without a response.
func closeConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { c.Close() })
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
