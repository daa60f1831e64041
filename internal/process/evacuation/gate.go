package evacuation

import (
	"context"
	"sync"
	"sync/atomic"
)

// A Gate keeps requests from the backend server of a host while the zone of the host is
// evacuated. It is safe for concurrent use.
type Gate struct {
	refused atomic.Uint64

	// mu guards the fields below.
	mu sync.Mutex
	// open ends when the evacuation starts, by a call of end.
	open context.Context
	end  context.CancelFunc
}

// NewGate returns the Gate of a host whose zone isn't evacuated.
func NewGate() *Gate {
	g := &Gate{}
	g.open, g.end = context.WithCancel(context.Background())
	return g
}

// Set sets whether the zone is evacuated.
func (g *Gate) Set(evacuated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch closed := g.open.Err() != nil; {
	case evacuated:
		g.end()
	case closed:
		g.open, g.end = context.WithCancel(context.Background())
	}
}

// Evacuated reports whether the zone is evacuated. It implements relay.Evacuation.
func (g *Gate) Evacuated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open.Err() != nil
}

// Watch returns a context that also ends when the zone is evacuated. The caller must call stop
// to release it. It implements relay.Evacuation.
func (g *Gate) Watch(ctx context.Context) (watched context.Context, stop func()) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	watched, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(open, cancel)
	return watched, func() {
		release()
		cancel()
	}
}

// CountRefused counts a request that was refused because the zone is evacuated. It implements
// relay.Evacuation.
func (g *Gate) CountRefused() { g.refused.Add(1) }

// Refused returns the number of requests that were refused because the zone is evacuated.
func (g *Gate) Refused() uint64 { return g.refused.Load() }
