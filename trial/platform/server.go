// Package platform is a stand-in of the platform for trials and tests: a table
// service that speaks the part of the DynamoDB JSON protocol that the product
// uses, and an object store that speaks the like part of the S3 protocol. It
// keeps everything in memory and has switches for outages, slowness and answers
// that are lost after the write took effect.
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

// MaxBody is the largest request that the stand-in reads, in bytes.
const MaxBody = 32 << 20

// The paths of the switches and counts.
const (
	PathFaults = "/trial/faults"
	PathCounts = "/trial/counts"
)

// Faults are the switches of the stand-in. The zero value is a sound platform.
type Faults struct {
	// Down closes every connection without reading what it asks for.
	Down bool `json:"down"`
	// SlowMillis delays each operation before it takes effect, in milliseconds.
	SlowMillis int64 `json:"slow-millis"`
	// LoseAnswers is the number of writes that still take effect but whose
	// connection is then closed without an answer.
	LoseAnswers int64 `json:"lose-answers"`
}

// Counts are the operations that reached the stand-in, by kind.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// A Server is one platform. It is safe for concurrent use.
type Server struct {
	table   *table
	objects *objects
	server  *fasthttp.Server

	// mu guards faults.
	mu     sync.Mutex
	faults Faults

	reads, writes atomic.Uint64
}

// New returns an empty platform.
func New() *Server {
	s := &Server{table: newTable(), objects: newObjects()}
	s.server = &fasthttp.Server{
		Handler:               s.handle,
		MaxRequestBodySize:    MaxBody,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	return s
}

// Serve answers requests until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	if err := s.server.Serve(l); err != nil {
		return fmt.Errorf("serve platform stand-in: %w", err)
	}
	return nil
}

// Close stops the listeners and waits for running operations.
func (s *Server) Close() error {
	if err := s.server.Shutdown(); err != nil {
		return fmt.Errorf("stop platform stand-in: %w", err)
	}
	return nil
}

// SetFaults sets the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the switches with the answers that are still to be lost.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the operations since the start.
func (s *Server) Counts() Counts { return Counts{Reads: s.reads.Load(), Writes: s.writes.Load()} }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case PathFaults:
		s.handleFaults(ctx)
		return
	case PathCounts:
		answerJSON(ctx, s.Counts())
		return
	}
	faults := s.Faults()
	if faults.Down {
		cut(ctx)
		return
	}
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
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
	if s.loseAnswer() {
		cut(ctx)
	}
}

// loseAnswer reports whether the answer to a write is to be lost.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
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
	answerJSON(ctx, s.Faults())
}

// cut closes the connection without an answer.
func cut(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { c.Close() })
}

func answerJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
