package sidecar

import (
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/retry"
)

const (
	// retryShare is the fraction of the fleet's retry budget that nodes use at most.
	// The rest covers the downstream calls of a retried request, which count as
	// retries at the service that receives them, and nodes whose windows don't start
	// at the same time.
	retryShare = 0.7
	// reserveShare is the fraction of the fleet's retry reserve that all nodes
	// together may use.
	reserveShare = 0.5
)

// A retryBudget limits, per service, the retries that the node sends to another
// backend server. It is safe for concurrent use.
type retryBudget struct {
	limits Retries
	hosts  func() int
	// fraction returns the fraction of a service's retry budget, from 0 to 1, that
	// may be used.
	fraction func(service string) float64
	clock    clock.Clock

	// mu guards windows.
	mu      sync.Mutex
	windows map[string]*retry.WindowBudget
}

func newRetryBudget(r Retries, hosts func() int, fraction func(string) float64, c clock.Clock) *retryBudget {
	return &retryBudget{limits: r, hosts: hosts, fraction: fraction, clock: c, windows: make(map[string]*retry.WindowBudget)}
}

// Allow charges one retry and reports whether it is within the budget.
func (b *retryBudget) Allow(service string) bool {
	reserved := 1 - b.fraction(service)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window(service).Allow(b.clock.Now(), reserved)
}

// RecordRequest counts the first attempt of a request. If inherited is true, the request is a
// downstream call of a retried request and is charged as a retry too, without a check.
func (b *retryBudget) RecordRequest(service string, inherited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.RecordRequest(b.clock.Now())
	if inherited {
		w.RecordRetry(b.clock.Now())
	}
}

// window returns the retry window of a service; mu must be held.
func (b *retryBudget) window(name string) *retry.WindowBudget {
	w, ok := b.windows[name]
	if !ok {
		reserve := reserveShare * float64(b.limits.Reserve) / float64(max(1, b.hosts()))
		w = retry.NewWindowBudget(b.limits.Window, retryShare*b.limits.Share, reserve)
		b.windows[name] = w
	}
	return w
}
