package main

import (
	"io"
	"time"
)

// readsPerSecond is the number of reads of a slowReader in a second.
const readsPerSecond = 16

// A countingReader counts the bytes that it reads.
type countingReader struct {
	io.Reader
	n int64
}

// Read implements io.Reader.
func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.n += int64(n)
	return n, err
}

// A slowReader reads rate bytes in a second.
type slowReader struct {
	source io.Reader
	rate   int
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	n, err := s.source.Read(p[:min(len(p), s.rate/readsPerSecond)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(s.rate))
	return n, err
}
