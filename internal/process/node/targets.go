package node

import (
	"sync/atomic"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/request/entry"
)

// classTargets provides the latency targets of classes in the current configuration. It
// builds one index per configuration version.
type classTargets struct {
	configuration entry.Configuration
	index         atomic.Pointer[targetIndex]
}

// A targetIndex maps class names to latency targets for one configuration version.
type targetIndex struct {
	version uint64
	byClass map[string]time.Duration
}

func newClassTargets(c entry.Configuration) *classTargets { return &classTargets{configuration: c} }

// Target returns the latency target of a class, or zero if the class doesn't exist.
func (t *classTargets) Target(class string) time.Duration {
	snapshot, ok := t.configuration.Current()
	if !ok {
		return 0
	}
	index := t.index.Load()
	if index == nil || index.version != snapshot.Version() {
		index = &targetIndex{version: snapshot.Version(), byClass: make(map[string]time.Duration)}
		for _, c := range snapshot.Classes() {
			index.byClass[c.Name] = c.Target
		}
		t.index.Store(index)
	}
	return index.byClass[class]
}
