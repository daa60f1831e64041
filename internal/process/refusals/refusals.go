// Package refusals keeps the last refusals of a node, so that operators can ask
// why a request was refused.
package refusals

import (
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// A Log keeps a bounded number of refusals, the oldest giving way to new ones.
// It is safe for concurrent use.
type Log struct {
	// mu guards the fields below.
	mu    sync.Mutex
	ring  []string
	next  int
	byID  map[string]refusal.Refusal
	total uint64
}

// NewLog returns a Log for the given number of refusals.
func NewLog(size int) *Log {
	return &Log{ring: make([]string, size), byID: make(map[string]refusal.Refusal, size)}
}

// Add keeps a refusal. The last refusal of a request replaces earlier ones.
func (l *Log) Add(r refusal.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	if _, ok := l.byID[r.RequestID]; !ok {
		delete(l.byID, l.ring[l.next])
		l.ring[l.next] = r.RequestID
		l.next = (l.next + 1) % len(l.ring)
	}
	l.byID[r.RequestID] = r
}

// Find returns the refusal of a request, if it is still kept.
func (l *Log) Find(requestID string) (refusal.Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.byID[requestID]
	return r, ok
}

// Total returns the number of refusals since the start.
func (l *Log) Total() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
