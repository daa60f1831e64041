// Package withdrawal refuses requests with withdrawn keys at the node that executes them,
// including requests that were admitted before the withdrawal and are still queued.
// Package execute calls it to check keys; package distribution passes it each new
// configuration.
package withdrawal

import (
	"context"
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
)

// ConfigurationSource provides the configuration version in force.
type ConfigurationSource interface {
	Current() (configuration.Snapshot, bool)
	// ObserveVersion records that a version exists, so that it can be fetched.
	ObserveVersion(version uint64)
}

// A KeyChecker checks whether keys are active and cancels queued requests whose keys are
// withdrawn. It is safe for concurrent use. No other lock is acquired while its own is
// held.
type KeyChecker struct {
	configuration ConfigurationSource

	// mu guards waiters.
	mu sync.Mutex
	// waiters contains the queued requests that can be cancelled, by key ID.
	waiters map[string]map[*waiter]struct{}
}

// A waiter is one queued request.
type waiter struct{ cancel context.CancelCauseFunc }

// NewKeyChecker returns a KeyChecker for the configuration of a node.
func NewKeyChecker(c ConfigurationSource) *KeyChecker {
	return &KeyChecker{configuration: c, waiters: make(map[string]map[*waiter]struct{})}
}

// KeyActive reports whether a key is active. The argument admittedVersion is the
// configuration version under which the entry node admitted the request. If it is newer
// than the version in force on this node, KeyActive accepts the decision of the entry
// node and requests the newer version.
func (k *KeyChecker) KeyActive(id string, admittedVersion uint64) bool {
	snapshot, _ := k.configuration.Current()
	if snapshot.Version() < admittedVersion {
		k.configuration.ObserveVersion(admittedVersion)
		return true
	}
	return snapshot.KeyActive(id)
}

// WatchKey returns a context that is cancelled as soon as the key is withdrawn, with the
// refusal as its cause. The caller must call done when the request leaves the queue.
func (k *KeyChecker) WatchKey(ctx context.Context, id string) (waiting context.Context, done func()) {
	if id == "" {
		return ctx, func() {}
	}
	waiting, cancel := context.WithCancelCause(ctx)
	w := &waiter{cancel: cancel}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waiters[id] == nil {
		k.waiters[id] = make(map[*waiter]struct{})
	}
	k.waiters[id][w] = struct{}{}
	return waiting, func() { k.remove(id, w) }
}

func (k *KeyChecker) remove(id string, w *waiter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.waiters[id], w)
	if len(k.waiters[id]) == 0 {
		delete(k.waiters, id)
	}
	w.cancel(nil)
}

// Update cancels the queued requests whose keys are withdrawn in a new version.
func (k *KeyChecker) Update(s configuration.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, waiters := range k.waiters {
		if s.KeyActive(id) {
			continue
		}
		for w := range waiters {
			w.cancel(refusal.New(refusal.WithdrawnKey))
		}
	}
}
