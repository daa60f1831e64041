// Package retries holds the retry budgets of a node, one for each service that it calls.
// Package retry implements a budget; this package adds locking.
package retries

import (
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/retry"
)

// Budgets holds the retry budgets of a node by service. It is safe for concurrent use.
type Budgets struct {
	clock clock.Clock

	// mu guards budgets.
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// New returns Budgets without recorded successes.
func New(c clock.Clock) *Budgets {
	return &Budgets{clock: c, budgets: make(map[string]*retry.Budget)}
}

// Allow reports whether a retry is within the service's budget, and counts it.
func (b *Budgets) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Allow(b.clock.Now())
}

// RecordSuccess records a successful answer of a service.
func (b *Budgets) RecordSuccess(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).RecordSuccess(b.clock.Now())
}

func (b *Budgets) budget(service string) *retry.Budget {
	found, ok := b.budgets[service]
	if !ok {
		found = retry.NewBudget()
		b.budgets[service] = found
	}
	return found
}
