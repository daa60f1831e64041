// Package refusals stores the most recent refusals of a node, so that operators can look
// up why a request was refused.
package refusals

import (
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// A Log stores a limited number of refusals and evicts the oldest. It is safe for
// concurrent use.
type Log struct {
	// mu guards the fields below.
	mu    sync.Mutex
	ring  []string
	next  int
	byID  map[string]refusal.Refusal
	total uint64
}

// NewLog returns a Log that holds up to size refusals.
func NewLog(size int) *Log {
	return &Log{ring: make([]string, size), byID: make(map[string]refusal.Refusal, size)}
}

// Add stores a refusal. It replaces an earlier refusal of the same request.
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

// Find returns the refusal of a request, if it is still stored.
func (l *Log) Find(requestID string) (refusal.Refusal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.byID[requestID]
	return r, ok
}

// Total returns the number of refusals added since the start.
func (l *Log) Total() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
