package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that can be queued for the output.
	queueLines = 512
	// linesPerSecond and lineBurst limit the log volume. They leave room for each
	// decision about a failed request during common incidents. At a few hundred bytes
	// per line, a process writes less than 50 KB per second.
	linesPerSecond = 120
	lineBurst      = 400
)

// An AsyncWriter writes log lines without blocking the caller. Lines above the rate
// limit, and lines that the output does not accept in time, are dropped and
// counted; a separate log line reports their number.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// mu guards tokens, lastRefill and closed.
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	closed     bool
}

// NewAsyncWriter returns an AsyncWriter that writes to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		tokens: lineBurst, lastRefill: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.takeToken() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// takeToken reports whether the rate limit admits a line, and takes its token if
// so; mu must be held.
func (w *AsyncWriter) takeToken() bool {
	now := time.Now()
	w.tokens = min(lineBurst, w.tokens+now.Sub(w.lastRefill).Seconds()*linesPerSecond)
	w.lastRefill = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Close rejects further lines and waits up to timeout for the queued ones to be
// written.
func (w *AsyncWriter) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// Dropped returns the number of dropped lines that no log line has reported yet.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if _, err := w.out.Write(line); err != nil {
			// The output is unusable, so the error can't be logged.
			w.dropped.Add(1)
			continue
		}
		if n := w.dropped.Swap(0); n > 0 {
			// The format is that of apex/log's JSON handler.
			_, err := fmt.Fprintf(w.out, `{"fields":{"event":%d,"lines":%d},"level":"warn","timestamp":%q,"message":%q}`+"\n",
				LinesDropped.Number, n, time.Now().Format(time.RFC3339Nano), LinesDropped.Name)
			if err != nil {
				w.dropped.Add(n)
			}
		}
	}
}
