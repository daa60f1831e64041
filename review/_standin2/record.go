package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// started is when the stand-in started.
var started = time.Now()

// A record writes what was sent, answered and run to a file.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, values...))
}
