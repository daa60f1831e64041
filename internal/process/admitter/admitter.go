// Package admitter holds the baseline admission: as many requests run at once as
// the backend server has slots, the rest wait in the order of their arrival.
package admitter

import (
	"context"
	"errors"
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/execute"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// A Fixed admits a fixed number of requests at once. It is safe for concurrent use.
type Fixed struct {
	host string

	// mu guards slots, running and changed.
	mu      sync.Mutex
	slots   int
	running int
	// changed is closed and replaced when a slot may have become free.
	changed chan struct{}
}

// NewFixed returns a Fixed without slots.
func NewFixed(host string) *Fixed { return &Fixed{host: host, changed: make(chan struct{})} }

// Resize sets the number of slots.
func (f *Fixed) Resize(slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slots != slots {
		f.slots = slots
		f.wake()
	}
}

// Admit waits for a slot.
func (f *Fixed) Admit(ctx context.Context, _ call.Context) (func(execute.Result), error) {
	for {
		changed, ok := f.enter()
		if ok {
			return f.leave, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil, refusal.New(refusal.DeadlinePassed)
			}
			return nil, refusal.New(refusal.Cancelled)
		}
	}
}

// Load returns the number of running requests and free slots.
func (f *Fixed) Load() exchange.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return exchange.Load{Host: f.host, Running: f.running, FreeSlots: max(0, f.slots-f.running)}
}

func (f *Fixed) enter() (<-chan struct{}, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running < f.slots {
		f.running++
		return nil, true
	}
	return f.changed, false
}

func (f *Fixed) leave(execute.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	f.wake()
}

// wake lets all waiting requests look again; mu must be held.
func (f *Fixed) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}
