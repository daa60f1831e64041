package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outputQueue is the number of lines that may wait for the reader of the output.
	outputQueue = 512
	// linesPerSecond and lineBurst bound the volume. They leave room for each
	// decision about a failed request in ordinary trouble; at some hundred bytes
	// a line a process writes less than 50 KB a second.
	linesPerSecond = 120
	lineBurst      = 400
)

// An Output writes log lines without ever blocking the writer of a line. Lines
// beyond the bound, or that the reader of the output does not take, are dropped
// and counted; a line of its own tells the count.
type Output struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	// mu guards tokens, filled and closed.
	mu     sync.Mutex
	tokens float64
	filled time.Time
	closed bool
}

// NewOutput returns an Output in front of a writer.
func NewOutput(out io.Writer) *Output {
	o := &Output{
		out: out, lines: make(chan []byte, outputQueue), done: make(chan struct{}),
		tokens: lineBurst, filled: time.Now(),
	}
	go o.run()
	return o
}

// Write takes one line. It never blocks and never fails.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || !o.allowed() {
		o.dropped.Add(1)
		return len(line), nil
	}
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// allowed takes one line of the bound; mu must be held.
func (o *Output) allowed() bool {
	now := time.Now()
	o.tokens = min(lineBurst, o.tokens+now.Sub(o.filled).Seconds()*linesPerSecond)
	o.filled = now
	if o.tokens < 1 {
		return false
	}
	o.tokens--
	return true
}

// Close writes what waits, for so long at most.
func (o *Output) Close(wait time.Duration) {
	o.mu.Lock()
	if !o.closed {
		o.closed = true
		close(o.lines)
	}
	o.mu.Unlock()
	select {
	case <-o.done:
	case <-time.After(wait):
	}
}

// Dropped returns the number of lines dropped since the last line that told it.
func (o *Output) Dropped() int64 { return o.dropped.Load() }

func (o *Output) run() {
	defer close(o.done)
	for line := range o.lines {
		if _, err := o.out.Write(line); err != nil {
			// Nobody reads the output any more; there is nowhere to tell it.
			o.dropped.Add(1)
			continue
		}
		if n := o.dropped.Swap(0); n > 0 {
			// The format is that of apex/log's JSON handler.
			_, err := fmt.Fprintf(o.out, `{"fields":{"event":%d,"lines":%d},"level":"warn","timestamp":%q,"message":%q}`+"\n",
				LinesDropped.Number, n, time.Now().Format(time.RFC3339Nano), LinesDropped.Name)
			if err != nil {
				o.dropped.Add(n)
			}
		}
	}
}
