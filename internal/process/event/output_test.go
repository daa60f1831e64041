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

// A gate is an output whose reader can stop.
type gate struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written.Write(p)
}

// The pattern: nobody reads standard output while requests fail.
func TestOutputThatNobodyReadsBlocksNobody(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	g.mu.Lock() // the reader stops
	o := event.NewOutput(g)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			_, _ = o.Write([]byte("{}\n")) // never fails
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a writer of lines was blocked")
	}
	is.True(o.Dropped() > 90_000) // memory is bounded by dropping
	g.mu.Unlock()                 // the reader comes back
	o.Close(5 * time.Second)
	lines := strings.Split(strings.TrimSpace(g.written.String()), "\n")
	told := 0
	for _, line := range lines {
		var read struct {
			Message string `json:"message"`
			Fields  struct {
				Lines int `json:"lines"`
			} `json:"fields"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &read))
		if read.Message == event.LinesDropped.Name {
			told += read.Fields.Lines
		}
	}
	is.True(told > 90_000) // a line tells how many were dropped
}

func TestOutputPassesLinesOn(t *testing.T) {
	is := is.New(t)
	g := &gate{}
	o := event.NewOutput(g)
	for range 10 {
		_, err := o.Write([]byte("line\n"))
		is.NoErr(err)
	}
	o.Close(5 * time.Second)
	is.Equal(g.written.String(), strings.Repeat("line\n", 10))
}
