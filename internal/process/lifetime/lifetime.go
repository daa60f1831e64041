// Package lifetime decides which requests a leaving node still accepts: those that are
// likely to end before the node does. Package relay asks it for each request, package sidecar
// sets the end.
package lifetime

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

const (
	// window is the time between two rotations of the durations. Those of the current and
	// of the previous window are used.
	window  = 10 * time.Second
	windows = 2
	// maxDuration is the longest duration that is told from longer ones.
	maxDuration = 2 * time.Minute
	// significantDigits is the precision of the durations.
	significantDigits = 1
	// onceQuantile and repeatableQuantile are the percentages of recent durations that must
	// be shorter than the remaining time. A request that may run only once can't be sent
	// again after its connection was cut.
	onceQuantile       = 99
	repeatableQuantile = 90
)

// A Gate refuses requests that would probably outlast a leaving node. It is safe for
// concurrent use.
type Gate struct {
	clock clock.Clock

	// mu guards the fields below.
	mu        sync.Mutex
	end       time.Time
	rotatedAt time.Time
	// durations are the recent durations in milliseconds, by route.
	durations map[string]*hdrhistogram.WindowedHistogram
}

// NewGate returns a Gate that accepts all requests until Leave is called.
func NewGate(c clock.Clock) *Gate {
	return &Gate{clock: c, rotatedAt: c.Now(), durations: make(map[string]*hdrhistogram.WindowedHistogram)}
}

// Leave sets the time at which the node ends.
func (g *Gate) Leave(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end = end
}

// Record records the duration of an answered request.
func (g *Gate) Record(route string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	h, ok := g.durations[route]
	if !ok {
		h = hdrhistogram.NewWindowed(windows, 1, maxDuration.Milliseconds(), significantDigits)
		g.durations[route] = h
	}
	// The value is within the bounds of the histogram, so there is no error.
	_ = h.Current.RecordValue(max(1, min(took, maxDuration).Milliseconds()))
}

// rotate begins a new window if the current one has ended, and drops routes without
// requests. mu must be held.
func (g *Gate) rotate() {
	now := g.clock.Now()
	if now.Sub(g.rotatedAt) < window {
		return
	}
	g.rotatedAt = now
	for route, h := range g.durations {
		h.Rotate()
		if h.Merge().TotalCount() == 0 {
			delete(g.durations, route)
		}
	}
}

// Accept reports whether a request of a route may start now. repeatable states that it may
// run more than once. A route without recent requests is accepted.
func (g *Gate) Accept(route string, repeatable bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end.IsZero() {
		return true
	}
	h, ok := g.durations[route]
	if !ok {
		return true
	}
	quantile := onceQuantile
	if repeatable {
		quantile = repeatableQuantile
	}
	usual := time.Duration(h.Merge().ValueAtQuantile(float64(quantile))) * time.Millisecond
	return g.clock.Now().Add(usual).Before(g.end)
}
