package ingress

import (
	"errors"
	"io"
	"sync/atomic"
)

// errBodiesTooLarge reports that the bodies of all requests are larger than the memory
// set aside for them. The request was not read and has not run.
var errBodiesTooLarge = errors.New("the bodies of all requests are too large to be held at once")

// A byteBudget bounds the bytes of the bodies that are held at once. It is safe for
// concurrent use.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes n bytes of the budget and reports whether it had as many.
func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// A countedReader reserves the bytes that it reads while a body without a known length
// arrives.
type countedReader struct {
	source   io.Reader
	budget   *byteBudget
	counting bool
	reserved int64
}

// start begins to reserve what is read, and reserves what has been buffered. It reports
// whether the budget had as much.
func (r *countedReader) start(buffered int) bool {
	if !r.budget.reserve(int64(buffered)) {
		return false
	}
	r.counting, r.reserved = true, int64(buffered)
	return true
}

// stop ends that and returns the reserved bytes, which the caller releases.
func (r *countedReader) stop() int64 {
	r.counting = false
	return r.reserved
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.counting && n > 0 {
		if !r.budget.reserve(int64(n)) {
			return n, errBodiesTooLarge
		}
		r.reserved += int64(n)
	}
	return n, err
}
