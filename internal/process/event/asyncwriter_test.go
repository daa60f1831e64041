package event_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
)

// A blockingBuffer is an output whose writes block while mu is held.
type blockingBuffer struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockingBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Logging must not block when nobody reads standard output while requests fail.
func TestAsyncWriterDropsLinesWhenOutputBlocks(t *testing.T) {
	is := is.New(t)
	b := &blockingBuffer{}
	b.mu.Lock() // the output blocks
	w := event.NewAsyncWriter(b)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			_, _ = w.Write([]byte("{}\n")) // never fails
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write was blocked by the output")
	}
	is.True(w.Dropped() > 90_000) // memory is bounded by dropping
	b.mu.Unlock()                 // the output accepts lines again
	w.Close(5 * time.Second)
	lines := strings.Split(strings.TrimSpace(b.written.String()), "\n")
	reported := 0
	for _, line := range lines {
		var read struct {
			Message string `json:"message"`
			Fields  struct {
				Lines int `json:"lines"`
			} `json:"fields"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &read))
		if read.Message == event.LinesDropped.Name {
			reported += read.Fields.Lines
		}
	}
	is.True(reported > 90_000) // log lines report the number of dropped lines
}

func TestAsyncWriterWritesAllLines(t *testing.T) {
	is := is.New(t)
	b := &blockingBuffer{}
	w := event.NewAsyncWriter(b)
	for range 10 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	w.Close(5 * time.Second)
	is.Equal(b.written.String(), strings.Repeat("line\n", 10))
}
