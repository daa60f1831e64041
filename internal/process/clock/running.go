package clock

import (
	"context"
	"sync"
	"time"
)

const (
	// pulse is the time between two readings of a Running.
	pulse = 10 * time.Millisecond
	// maxPulse is the most that a Running advances between two readings.
	maxPulse = 2 * pulse
)

// A Running is a Clock that stands still while the process is paused. Tests use it for time
// limits that hold for nodes that run, on machines where the process often doesn't. It is
// safe for concurrent use.
type Running struct {
	// mu guards the fields below.
	mu  sync.Mutex
	now time.Time
	// readAt is the host's time at the last reading.
	readAt time.Time
}

// NewRunning returns a Running that starts at the host's time and advances until the context
// ends.
func NewRunning(ctx context.Context) *Running {
	now := time.Now()
	r := &Running{now: now, readAt: now}
	go func() {
		ticker := time.NewTicker(pulse)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.Now()
			case <-ctx.Done():
				return
			}
		}
	}()
	return r
}

// Now returns the host's time less the pauses of the process since the start.
func (r *Running) Now() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Now()
	r.now = r.now.Add(min(maxPulse, at.Sub(r.readAt)))
	r.readAt = at
	return r.now
}
