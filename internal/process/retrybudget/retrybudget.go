// Package retrybudget limits the retries of a node to its part of the fleet's budget.
package retrybudget

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/retry"
)

const (
	// usedShare is the fraction of the fleet's retries per request that nodes use. The rest
	// covers calls of retried requests that are made later than the retry, and nodes whose
	// plans differ for a moment.
	usedShare = 0.95
	// reserveShare is the fraction of the fleet's reserve that all nodes together use.
	reserveShare = 0.5
	// recentShare is the fraction of the allowed retries that less important requests use in
	// a tenth of the window. Without it, they use up most of them before the plan has seen
	// that calls are turned away.
	recentShare = 0.1
)

// Usable returns the part of the bounds of a platform that nodes use.
func Usable(b admission.RetryBounds) admission.RetryBounds {
	b.Share *= usedShare
	b.Reserve *= reserveShare
	return b
}

// A Planner divides the retries among services and learns of those that are made.
type Planner interface {
	// RetryLimit returns the limit of the retries at a service.
	RetryLimit(service string) admission.RetryLimit
	// RecordRetry records that a retry at a service was wanted, and whether it was allowed.
	RecordRetry(service string, allowed bool)
}

// A Budget limits, per service, the retries that the node sends to another backend server.
// At a service whose requests make calls, it limits them per route, so that retries of
// requests with many calls aren't paid for by requests with few. It is safe for concurrent
// use.
type Budget struct {
	bounds  admission.RetryBounds
	hosts   func() int
	planner Planner
	clock   clock.Clock

	// mu guards windows, prunedAt and usage.
	mu      sync.Mutex
	windows map[windowKey]*window
	// prunedAt is when empty windows were last dropped.
	prunedAt time.Time
	usage    map[string]Usage
	random   func() float64
}

// A Usage is the use of the retries at a service since the start of the node.
type Usage struct {
	Service string
	// Allowed and Denied are the retries that were wanted.
	Allowed, Denied int
	// Share is the number of retries per request that are allowed at present.
	Share float64
}

// A window is a Window with the number, from 0 to 1, by which the retries that it allows are
// rounded. It is random, so that hosts which may send less than one retry each send as many
// together as they may.
type window struct {
	*retry.Window
	rounding float64
}

// An Option configures a Budget.
type Option func(*Budget)

// WithRandom sets the source of the random numbers, from 0 to 1.
func WithRandom(random func() float64) Option { return func(b *Budget) { b.random = random } }

// A windowKey identifies the requests of a service, or those of one route if there is one.
type windowKey struct{ service, route string }

// New returns the Budget of a node, within the usable bounds. hosts returns the number of hosts
// in the fleet.
func New(bounds admission.RetryBounds, hosts func() int, p Planner, c clock.Clock, options ...Option) *Budget {
	b := &Budget{bounds: bounds, hosts: hosts, planner: p, clock: c, windows: make(map[windowKey]*window), usage: make(map[string]Usage), random: rand.Float64}
	for _, o := range options {
		o(b)
	}
	return b
}

// Allow charges one retry of a request of a route and reports whether it is within the
// budget. importance is that of the root request.
func (b *Budget) Allow(service, route string, importance int) bool {
	l := b.planner.RetryLimit(service)
	key, other := windowKey{service: service}, windowKey{service, route}
	if l.PerRoute {
		key, other = other, key
	}
	limit := retry.Limit{
		Share: l.Share, TotalShare: b.bounds.Share, Selection: l.Selection,
		Reserve: l.ReserveShare * b.bounds.Reserve / float64(max(1, b.hosts())),
	}
	if importance < l.Importance {
		limit.RecentShare = recentShare
	}
	allowed := b.allow(key, other, limit)
	b.count(service, allowed)
	b.planner.RecordRetry(service, allowed)
	return allowed
}

// allow charges a retry to a window and, if it is within the limit, to another one.
func (b *Budget) allow(key, other windowKey, l retry.Limit) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.prune(now)
	w := b.window(key)
	l.Reserve += w.rounding
	if !w.Allow(now, l) {
		return false
	}
	b.window(other).RecordRetries(now, 1)
	return true
}

func (b *Budget) count(service string, allowed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage[service]
	if allowed {
		u.Allowed++
	} else {
		u.Denied++
	}
	b.usage[service] = u
}

// Usage returns the use of the retries by service, sorted by name.
func (b *Budget) Usage() []Usage {
	b.mu.Lock()
	var all []Usage
	for service, u := range b.usage {
		u.Service = service
		all = append(all, u)
	}
	b.mu.Unlock()
	for i := range all {
		all[i].Share = b.planner.RetryLimit(all[i].Service).Share
	}
	slices.SortFunc(all, func(a, b Usage) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// RecordRequest counts the first attempt of a request of a route. If inherited is true, the
// request is a call of a retried request and is charged as a retry instead, without a check.
func (b *Budget) RecordRequest(service, route string, inherited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.prune(now)
	for _, key := range []windowKey{{service: service}, {service, route}} {
		if inherited {
			b.window(key).RecordInherited(now)
		} else {
			b.window(key).RecordRequests(now, 1)
		}
	}
}

// window returns a window; mu must be held.
func (b *Budget) window(key windowKey) *window {
	w, ok := b.windows[key]
	if !ok {
		w = &window{Window: retry.NewWindow(b.bounds.Window), rounding: b.random()}
		b.windows[key] = w
	}
	return w
}

// prune drops the windows that are empty, such as those of routes that the operator has removed,
// once in the length of a window. mu must be held.
func (b *Budget) prune(now time.Time) {
	if since := now.Sub(b.prunedAt); since >= 0 && since < b.bounds.Window {
		return
	}
	b.prunedAt = now
	maps.DeleteFunc(b.windows, func(_ windowKey, w *window) bool { return w.Empty(now) })
}

// Windows returns the number of windows that the budget holds.
func (b *Budget) Windows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.windows)
}
