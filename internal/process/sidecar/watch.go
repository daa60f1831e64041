package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/era"
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
	// maxCheckAge is the age of the last check of any host from which a host that watches
	// the table checks it, and maxCoveredCheckAge that for the other hosts. Up to checkDelay
	// is added at random. With one host of the zone that reaches the store, changes are read
	// within maxCoveredCheckAge and checkDelay; the platform allows 2 s until they are in
	// force on its smallest deployments. Hosts that others watch for learn of a check up to
	// half a second after the hosts that watch.
	maxCheckAge        = 500 * time.Millisecond
	maxCoveredCheckAge = 1200 * time.Millisecond
	checkDelay         = 300 * time.Millisecond
	// checkInterval is the time between two looks at the age of the last check.
	checkInterval = 50 * time.Millisecond
	// coveredRefreshInterval is the time between two looks whether others watch for this
	// host, which takes time in a large fleet.
	coveredRefreshInterval = 500 * time.Millisecond
	// checkWait is how long the store blocks a check, the least that it accepts.
	checkWait = time.Millisecond
	// checkTimeout bounds a check.
	checkTimeout = 500 * time.Millisecond
	// coveredCheckInterval is the time between two checks whether other hosts still watch
	// a table for this one.
	coveredCheckInterval = 100 * time.Millisecond
	// minStoreBackoff is the delay after a failed call. It doubles with each failure
	// up to maxStoreBackoff.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
)

// A watcher tracks one table: it reads the table in full, then watches for changes, and
// reads it in full again if the store no longer retains the changes. Other hosts may watch
// the table for this one. As a watch call that gets no answer can't be told from one without
// changes, the watcher also checks the table with short calls, unless this or another host
// has checked it lately.
type watcher struct {
	store Store
	table string
	log   event.Log
	// onSnapshot is called with all rows of the table, onChange with the changed rows. They
	// report whether this host could use the rows. If not, it doesn't hold the newest
	// configuration, and its calls are no checks for others.
	onSnapshot func(Rows) bool
	onChange   func(Rows) bool
	// fleetSize returns the number of hosts that watch the table.
	fleetSize func() int
	checks    StoreChecks
	eras      *era.Tracker
	monitor   *storeMonitor

	// mu guards the fields below.
	mu sync.Mutex
	// version is the store's version up to which changes were applied. synced is false if
	// the table has to be read in full, as it was at syncedAt.
	version  uint64
	synced   bool
	syncedAt time.Time
	// checkedAt is when the last successful call of this host began.
	checkedAt time.Time
	// unusable is set while this host can't use the newest rows.
	unusable bool
	// superseded is closed, and replaced, when the table has to be read in full at once. It
	// ends calls in progress: a watch from an earlier era may wait although there are changes.
	superseded chan struct{}
}

// StoreChecks are the checks of the store that hosts make for each other.
type StoreChecks interface {
	// Covered reports whether this host relies on others to watch the store.
	Covered() bool
	// StoreCheckAge returns the time since the last check of any host.
	StoreCheckAge() time.Duration
	// RecordStoreCheck records a check of this host by a call that began at a time.
	RecordStoreCheck(at time.Time)
}

// scaledInterval returns hosts times perHost, limited to the range from minimum to
// maximum.
func scaledInterval(hosts int, perHost, minimum, maximum time.Duration) time.Duration {
	return min(maximum, max(minimum, time.Duration(hosts)*perHost))
}

// restored makes the next call read the table in full, after the store has come back from a
// copy: changes after the known version may be other ones than those that were missed.
func (w *watcher) restored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.unusable = 0, false
	w.unsync()
}

// readAgain makes the next call read the table in full, and ends a watch in progress.
func (w *watcher) readAgain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.synced {
		w.unsync()
	}
}

// unsync makes the next call read the table in full, and ends those in progress. mu must be
// held.
func (w *watcher) unsync() {
	w.synced = false
	close(w.superseded)
	w.superseded = make(chan struct{})
}

// run watches the table until ctx is done.
func (w *watcher) run(ctx context.Context) {
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		if w.isSynced() && w.checks.Covered() {
			sleep(ctx, coveredCheckInterval)
			continue
		}
		synced := w.expireSync()
		wait := scaledInterval(w.fleetSize(), watchWaitPerHost, minWatchWait, maxWatchWait)
		if err := w.call(ctx, wait, wait+watchTimeoutMargin); err != nil {
			backoff = w.backOff(ctx, err, backoff)
			continue
		}
		backoff = minStoreBackoff
		if !synced {
			w.awaitCovered(ctx)
		}
	}
}

// runChecks checks the table until ctx is done, each time that the last check of all hosts is
// too old. Random delays make it likely that one host checks and the others learn of it.
func (w *watcher) runChecks(ctx context.Context) {
	backoff := minStoreBackoff
	delay := rand.N(checkDelay)
	covered, relying := false, false
	var coveredAt time.Time
	for ctx.Err() == nil {
		sleep(ctx, checkInterval)
		if time.Since(coveredAt) > coveredRefreshInterval {
			covered, coveredAt = w.checks.Covered(), time.Now()
		}
		age := w.checks.StoreCheckAge()
		if r := covered && w.checkedByOthers(age); r != relying {
			relying = r
			w.log.Emit(event.StoreReliance, log.Fields{"table": w.table, "relying": relying, "age": age.String()})
		}
		limit := maxCheckAge
		if covered {
			limit = maxCoveredCheckAge
		}
		if !w.isSynced() || age < limit+delay {
			continue
		}
		delay = rand.N(checkDelay)
		if err := w.call(ctx, checkWait, checkTimeout); err != nil {
			backoff = w.backOff(ctx, err, backoff)
			continue
		}
		backoff = minStoreBackoff
	}
}

// backOff waits after a failed call and returns the next delay. Dropped history needs no
// delay, as the table is read in full next.
func (w *watcher) backOff(ctx context.Context, err error, delay time.Duration) time.Duration {
	if errors.Is(err, ErrHistoryGone) {
		return delay
	}
	sleepJittered(ctx, delay)
	return min(2*delay, maxStoreBackoff)
}

// checkedByOthers reports whether a check of the given age is later than those of this host.
func (w *watcher) checkedByOthers(age time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.checkedAt) > age+checkInterval
}

// expireSync makes the next call read the table in full if the last one that did is too long
// ago, and reports whether the table is synced.
func (w *watcher) expireSync() bool {
	interval := w.resyncInterval()
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(w.syncedAt) > interval {
		w.synced = false
	}
	return w.synced
}

func (w *watcher) resyncInterval() time.Duration {
	return scaledInterval(w.fleetSize(), resyncIntervalPerHost, minResyncInterval, maxResyncInterval)
}

func (w *watcher) isSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.synced
}

// awaitCovered waits for firstWatchDelay, or until other hosts watch the table.
func (w *watcher) awaitCovered(ctx context.Context) {
	for end := time.Now().Add(firstWatchDelay); ctx.Err() == nil && time.Now().Before(end) && !w.checks.Covered(); {
		sleep(ctx, coveredCheckInterval)
	}
}

// call reads the table in full if it isn't synced, or else waits for changes for a duration,
// and applies what it gets. timeout bounds a call that waits.
func (w *watcher) call(ctx context.Context, wait, timeout time.Duration) error {
	w.mu.Lock()
	version, synced, superseded := w.version, w.synced, w.superseded
	w.mu.Unlock()
	called, call := time.Now(), w.eras.Begin()
	rows, err := w.fetch(ctx, version, synced, wait, timeout, superseded)
	holds := call.End(rows.Era.Number, rows.Era.Err)
	w.monitor.observe(err, time.Since(called))
	if !holds {
		return nil // The table is read in full next.
	}
	if err != nil {
		if errors.Is(err, ErrHistoryGone) {
			w.log.Emit(event.HistoryGone, log.Fields{"table": w.table, "after": version})
			w.mu.Lock()
			w.synced = false
			w.mu.Unlock()
		}
		return err
	}
	rows.Era.Number = call.Number(rows.Era.Number)
	apply := w.onSnapshot
	if synced {
		apply = w.onChange
	}
	usable := apply(rows)
	checked := called
	if synced && len(rows.Rows) == 0 {
		checked = called.Add(min(wait, time.Since(called))) // The store answered after the wait.
	}
	resyncInterval := w.resyncInterval()
	w.mu.Lock()
	if !call.Holds() {
		w.mu.Unlock()
		return nil // The table is read in full next.
	}
	if !synced {
		w.synced, w.syncedAt = true, called.Add(-rand.N(resyncInterval/4))
		w.version = rows.Version // Also if it is lower: the store has no changes after it.
	}
	w.version = max(w.version, rows.Version)
	w.checkedAt = checked
	w.unusable = !usable || w.unusable && len(rows.Rows) == 0
	unusable := w.unusable
	w.mu.Unlock()
	if !unusable {
		w.checks.RecordStoreCheck(checked)
	}
	return nil
}

func (w *watcher) fetch(ctx context.Context, version uint64, synced bool, wait, timeout time.Duration, superseded <-chan struct{}) (Rows, error) {
	if !synced {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		return w.store.Read(ctx, w.table)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-superseded:
			cancel()
		case <-ended:
		}
	}()
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
	onSnapshot func(Rows)
	eras       *era.Tracker
	monitor    *storeMonitor
}

// run polls the table until ctx is done.
func (p *poller) run(ctx context.Context) {
	p.wait(ctx, firstReadDelay)
	backoff := minStoreBackoff
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		called, call := time.Now(), p.eras.Begin()
		rows, err := p.store.Read(readCtx, p.table)
		cancel()
		holds := call.End(rows.Era.Number, rows.Era.Err)
		p.monitor.observe(err, time.Since(called))
		if err != nil {
			sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = minStoreBackoff
		if !holds {
			p.wait(ctx, firstReadDelay)
			continue
		}
		p.onSnapshot(rows)
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
