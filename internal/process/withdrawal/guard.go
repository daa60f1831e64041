// Package withdrawal refuses the requests of withdrawn keys at the node that
// executes them, also those that were let in before and wait. Package execute
// asks it; package distribution brings it each new configuration.
package withdrawal

import (
	"context"
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
)

// Configuration gives the version in force and takes word of others.
type Configuration interface {
	Current() (configuration.Snapshot, bool)
	// Heard tells that a version exists.
	Heard(version uint64)
}

// A Guard tells which keys work and ends the waits of those that no longer do.
// It is safe for concurrent use. No other lock is taken while its own is held.
type Guard struct {
	configuration Configuration

	// mu guards waits.
	mu sync.Mutex
	// waits holds the waits that can be ended, by key.
	waits map[string]map[*wait]struct{}
}

// A wait is one request in a queue.
type wait struct{ cancel context.CancelCauseFunc }

// NewGuard returns a Guard for the configuration of a node.
func NewGuard(c Configuration) *Guard {
	return &Guard{configuration: c, waits: make(map[string]map[*wait]struct{})}
}

// KeyActive reports whether a key works. Admitted is the version under which the
// entry node let the request in: where it is newer than the version in force
// here, the entry node's word counts, and the newer version is asked for.
func (g *Guard) KeyActive(id string, admitted uint64) bool {
	snapshot, _ := g.configuration.Current()
	if snapshot.Version() < admitted {
		g.configuration.Heard(admitted)
		return true
	}
	return snapshot.KeyActive(id)
}

// WatchKey returns a context that ends as soon as the key is withdrawn; the cause is
// then the refusal. The caller calls done when the wait is over.
func (g *Guard) WatchKey(ctx context.Context, id string) (waiting context.Context, done func()) {
	if id == "" {
		return ctx, func() {}
	}
	waiting, cancel := context.WithCancelCause(ctx)
	w := &wait{cancel: cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waits[id] == nil {
		g.waits[id] = make(map[*wait]struct{})
	}
	g.waits[id][w] = struct{}{}
	return waiting, func() { g.leave(id, w) }
}

func (g *Guard) leave(id string, w *wait) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waits[id], w)
	if len(g.waits[id]) == 0 {
		delete(g.waits, id)
	}
	w.cancel(nil)
}

// Update ends the waits of keys that a new version has withdrawn.
func (g *Guard) Update(s configuration.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, waits := range g.waits {
		if s.KeyActive(id) {
			continue
		}
		for w := range waits {
			w.cancel(refusal.New(refusal.WithdrawnKey))
		}
	}
}
