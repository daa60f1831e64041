// Package pressure applies backpressure: at the entry node, it refuses root requests
// that a downstream service would shed. Package routing decides; this package adds locking.
package pressure

import (
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/routing"
)

// retryAfter is the time after which a refused caller should retry.
const retryAfter = 500 * time.Millisecond

// A Gate admits or refuses root requests. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock

	// mu guards backpressure.
	mu           sync.Mutex
	backpressure *routing.Backpressure
}

// NewGate returns a Gate that admits all requests until answers report backpressure.
func NewGate(c clock.Clock) *Gate {
	return &Gate{clock: c, backpressure: routing.NewBackpressure()}
}

// Allow returns a refusal.Refusal if a downstream service would shed the root request.
func (g *Gate) Allow(c call.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.backpressure.Allow(g.clock.Now(), flowOf(c)) {
		return refusal.New(refusal.Overloaded).WithRetryAfter(retryAfter)
	}
	return nil
}

// Observe records the answer to an admitted request. An answer from no executing node
// carries no load information and is ignored.
func (g *Gate) Observe(c call.Context, a exchange.Answer) {
	p := a.Pressure
	if p.Service == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.backpressure.Observe(g.clock.Now(), flowOf(c), p.Shed, routing.Pressure{
		Service:            p.Service,
		AdmittedImportance: p.AdmittedImportance,
		QueueDelay:         p.QueueDelay,
		FreeSlots:          p.FreeSlots,
	})
}

func flowOf(c call.Context) routing.Flow {
	return routing.Flow{Class: c.Class, Account: c.Account, Importance: int(c.Importance)}
}
