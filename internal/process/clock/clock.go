// Package clock provides the time to the daemon through an interface, so that tests
// can control it. Packages that make decisions take the time as an argument
// instead.
package clock

import (
	"sync"
	"time"
)

// A Clock returns the current time. Implementations keep the monotonic reading, so
// that changes of the wall clock do not affect the difference of two results.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// System is the clock of the host.
type System struct{}

// Now returns the host's current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// A Fake is a Clock that only moves when Advance is called. It is safe for
// concurrent use.
type Fake struct {
	// mu guards now.
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake that starts at the given time.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the current time of the fake.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the fake forward by step.
func (f *Fake) Advance(step time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(step)
}
