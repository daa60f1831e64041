// Package clock gives the daemon its time as an interface, so that tests can
// drive it by hand. Packages that decide take the time as an argument instead.
package clock

import (
	"sync"
	"time"
)

// A Clock tells the time. Implementations keep the monotonic reading, so that
// differences between two results are not moved by changes of the wall clock.
type Clock interface {
	// Now returns the present time.
	Now() time.Time
}

// System is the clock of the host.
type System struct{}

// Now returns the host's present time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// A Fake is a Clock that moves only when told to. It is safe for concurrent use.
type Fake struct {
	// mu guards now.
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a Fake that starts at the given time.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time that the fake was last set to.
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
