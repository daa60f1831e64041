package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
)

const (
	// minWatchWait is how long the store blocks a watch call without changes. It is
	// long because calls are billed; a change ends the call at once. The wait is
	// watchWaitPerHost times the number of hosts, between minWatchWait and
	// maxWatchWait. Nodes share the changes that they read, so one call of the fleet
	// per watchWaitPerHost is enough to detect a watch that stopped reporting changes.
	minWatchWait     = 8 * time.Second
	watchWaitPerHost = 600 * time.Millisecond
	maxWatchWait     = 25 * time.Second
	// watchTimeoutMargin is added to the wait to get the timeout of a watch call.
	// After that the connection counts as unresponsive.
	watchTimeoutMargin = 1500 * time.Millisecond
	// minResyncInterval is the time after which a table is read in full again, in case
	// the watch stopped reporting changes. It scales with the fleet like the wait.
	minResyncInterval     = 20 * time.Second
	resyncIntervalPerHost = 1500 * time.Millisecond
	maxResyncInterval     = time.Minute
	// readTimeout bounds a read of a full table.
	readTimeout = 1500 * time.Millisecond
	// firstReadDelay is how long the first read of the hosts waits for the write of the own
	// row. After the write it returns all hosts that may not have seen the row.
	firstReadDelay = 300 * time.Millisecond
	// firstWatchDelay is the time after the first read of a table in which other hosts may
	// state that they watch it.
	firstWatchDelay = 700 * time.Millisecond
	// coveredIntervalFactor prolongs the time between two reads of a table whose changes
	// other hosts pass on.
	coveredIntervalFactor = 4
	// coveredCheckInterval is the time between two checks whether other hosts still watch
	// a table for this one.
	coveredCheckInterval = 100 * time.Millisecond
	// minStoreBackoff is the delay after a failed call. It doubles with each failure
	// up to maxStoreBackoff.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
)

// A watcher tracks one table: it reads the table in full, then watches for changes, and
// reads it in full again if the store no longer retains the changes.
type watcher struct {
	store Store
	table string
	log   event.Log
	// onSnapshot is called with all rows of the table, onChange with the changed rows.
	onSnapshot func([]Row)
	onChange   func([]Row)
	// fleetSize returns the number of hosts that watch the table.
	fleetSize func() int
	// covered reports whether other hosts watch the table and pass on what changes.
	covered func() bool
	monitor *storeMonitor
	// healthy reports whether the last call succeeded.
	healthy atomic.Bool
}

// scaledInterval returns hosts times perHost, limited to the range from minimum to
// maximum.
func scaledInterval(hosts int, perHost, minimum, maximum time.Duration) time.Duration {
	return min(maximum, max(minimum, time.Duration(hosts)*perHost))
}

// run watches the table until ctx is done.
func (w *watcher) run(ctx context.Context) {
	backoff := minStoreBackoff
	version, synced, relying := uint64(0), false, false
	var lastSync time.Time
	for ctx.Err() == nil {
		covered := synced && w.covered()
		if covered != relying {
			relying = covered
			w.log.Emit(event.StoreReliance, log.Fields{"table": w.table, "relying": relying})
		}
		if covered {
			w.healthy.Store(false)
			sleep(ctx, coveredCheckInterval)
			continue
		}
		resyncInterval := scaledInterval(w.fleetSize(), resyncIntervalPerHost, minResyncInterval, maxResyncInterval)
		if time.Since(lastSync) > resyncInterval {
			synced = false
		}
		called := time.Now()
		rows, err := w.fetch(ctx, version, synced)
		w.monitor.observe(err, time.Since(called))
		w.healthy.Store(err == nil)
		switch {
		case errors.Is(err, ErrHistoryGone):
			w.log.Emit(event.HistoryGone, log.Fields{"table": w.table, "after": version})
			synced = false
			continue
		case err != nil:
			sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = minStoreBackoff
		if synced {
			w.onChange(rows.Rows)
		} else {
			w.onSnapshot(rows.Rows)
			lastSync = time.Now().Add(-rand.N(resyncInterval / 4))
		}
		if version == 0 {
			w.awaitCovered(ctx)
		}
		version, synced = max(version, rows.Version), true
	}
}

// awaitCovered waits for firstWatchDelay, or until other hosts watch the table.
func (w *watcher) awaitCovered(ctx context.Context) {
	for end := time.Now().Add(firstWatchDelay); ctx.Err() == nil && time.Now().Before(end) && !w.covered(); {
		sleep(ctx, coveredCheckInterval)
	}
}

func (w *watcher) fetch(ctx context.Context, version uint64, synced bool) (Rows, error) {
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return w.store.Read(ctx, w.table)
	}
	wait := scaledInterval(w.fleetSize(), watchWaitPerHost, minWatchWait, maxWatchWait)
	ctx, cancel := context.WithTimeout(ctx, wait+watchTimeoutMargin)
	defer cancel()
	return w.store.Watch(ctx, w.table, version, wait)
}

// A poller reads one table in full, at the start and then at the interval with jitter.
type poller struct {
	store    Store
	table    string
	interval time.Duration
	// refresh triggers a read before the interval is over. The first read waits for it, up
	// to firstReadDelay.
	refresh <-chan struct{}
	// covered reports whether other hosts pass on changes, so that reads can be rare.
	covered    func() bool
	onSnapshot func([]Row)
	monitor    *storeMonitor
}

// run polls the table until ctx is done.
func (p *poller) run(ctx context.Context) {
	p.wait(ctx, firstReadDelay)
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		called := time.Now()
		rows, err := p.store.Read(readCtx, p.table)
		cancel()
		p.monitor.observe(err, time.Since(called))
		if err != nil {
			sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = minStoreBackoff
		p.onSnapshot(rows.Rows)
		interval := p.interval
		if p.covered() {
			interval *= coveredIntervalFactor
		}
		p.wait(ctx, interval*3/4+rand.N(interval/2))
	}
}

// wait waits for a duration, or until a read is triggered or the context ends.
func (p *poller) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.refresh:
	case <-ctx.Done():
	}
}

// sleepJittered sleeps for a random time between d/2 and d, so that nodes that failed
// at the same time don't retry at the same time.
func sleepJittered(ctx context.Context, d time.Duration) { sleep(ctx, jittered(d)) }

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// jittered returns a random time between d/2 and d.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// A storeMonitor logs when one use of the store starts to fail and when it recovers.
type storeMonitor struct {
	name string
	log  event.Log

	// mu guards down and changedAt.
	mu        sync.Mutex
	down      bool
	changedAt time.Time
}

// observe records the result of a call and the time that it took. Conflicts, dropped
// history and cancellation don't count as failures.
func (m *storeMonitor) observe(err error, took time.Duration) {
	failed := err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrHistoryGone) && !errors.Is(err, context.Canceled)
	m.mu.Lock()
	changed := failed != m.down
	outage := time.Since(m.changedAt)
	m.down = failed
	if changed {
		m.changedAt = time.Now()
	}
	m.mu.Unlock()
	switch {
	case changed && failed:
		m.log.Emit(event.StoreLost, log.Fields{"use": m.name, "error": err.Error(), "took": took.String()})
	case changed:
		m.log.Emit(event.StoreRegained, log.Fields{"use": m.name, "away": outage.String()})
	}
}
