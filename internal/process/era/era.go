// Package era follows the eras of the platform's store. The store may come back from a copy
// that lacks its latest rows, and then gives out versions a second time. It states a higher
// era from then on. Answers from before that tell nothing of the rows and versions after it.
package era

import (
	"strconv"
	"sync"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
)

// A Tracker holds the highest era of the store that is known to this node. It is safe for
// concurrent use.
type Tracker struct {
	log    event.Log
	onRise func()

	// mu guards the fields below.
	mu sync.Mutex
	// number is the highest known era; zero if none is.
	number uint64
	// rises counts how often it rose after the first one was known.
	rises uint64
	// ignored is the last era that was logged as ignored, so that it isn't logged with each
	// answer.
	ignored string
}

// NewTracker returns a Tracker that knows no era. It calls onRise each time that the era has
// risen, after answers of earlier calls stopped to hold, and not for the first era.
func NewTracker(onRise func(), l event.Log) *Tracker { return &Tracker{onRise: onRise, log: l} }

// Number returns the highest known era, or zero if none is known.
func (t *Tracker) Number() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.number
}

// Rises returns how often the era has risen within the life of the node.
func (t *Tracker) Rises() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rises
}

// A Call is a call to the store in progress.
type Call struct {
	tracker *Tracker
	// number and rises are those of the tracker when the call began.
	number, rises uint64
}

// Begin starts a call.
func (t *Tracker) Begin() Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Call{tracker: t, number: t.number, rises: t.rises}
}

// Number returns the era of an answer that holds and states an era: the known one if that is
// higher or the answer states none.
func (c Call) Number(stated uint64) uint64 { return max(c.number, stated) }

// End records the era that the answer of the call states: zero if it states none, and err if
// it can't be read. It reports whether the answer holds.
func (c Call) End(number uint64, err error) bool {
	t := c.tracker
	switch {
	case err != nil:
		t.ignore(err.Error())
	case t.Observe(number, "store"):
	// An answer of an earlier era is no fall if it was on its way when the era rose.
	case number != 0 && number < t.Number() && c.Holds():
		t.ignore(strconv.FormatUint(number, 10))
	}
	return c.Holds()
}

// Holds reports whether the answer of the call holds in the current era. It doesn't if the
// era rose since the call began, as the call may have been performed before that.
func (c Call) Holds() bool { return c.tracker.Rises() == c.rises }

// Observe records an era that from, the store or another host, states, and reports whether
// it has risen. Zero states none.
func (t *Tracker) Observe(number uint64, from string) bool {
	t.mu.Lock()
	before := t.number
	higher := number > before
	if higher {
		t.number = number
		if before != 0 {
			t.rises++
		}
	}
	t.mu.Unlock()
	if !higher || before == 0 {
		return false
	}
	t.log.Emit(event.StoreRestored, log.Fields{"era": number, "before": before, "from": from})
	t.onRise()
	return true
}

// ignore logs an era that changes nothing, once.
func (t *Tracker) ignore(stated string) {
	t.mu.Lock()
	again := t.ignored == stated
	t.ignored = stated
	current := t.number
	t.mu.Unlock()
	if !again {
		t.log.Emit(event.EraIgnored, log.Fields{"stated": stated, "era": current})
	}
}
