package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
)

const (
	// followWait is how long the store holds a call without changes. Calls are
	// paid for, so it is long; a change ends it at once.
	followWait = 8 * time.Second
	// followSlack is how much longer an answer may take before the connection
	// counts as silent.
	followSlack = 1500 * time.Millisecond
	// rereadInterval is the time after which a table is read whole again, in case
	// its changes went silent. Nodes tell one another the configuration, so that
	// one node's read serves all.
	rereadInterval = 20 * time.Second
	// firstTimeout bounds a read of a whole table.
	firstTimeout = 1500 * time.Millisecond
	// storePause is the wait after a failed call, up to longestStorePause.
	storePause        = 100 * time.Millisecond
	longestStorePause = 800 * time.Millisecond
)

// A follower keeps up with one table: it reads it whole, then follows its
// changes, and begins anew when the store has dropped its history.
type follower struct {
	store Store
	table string
	log   event.Log
	// whole takes in all rows of the table; changed the rows that changed.
	whole   func([]Row)
	changed func([]Row)
	lost    *dependency
}

// run follows the table until the context ends.
func (f *follower) run(ctx context.Context) {
	pause := storePause
	version, known := uint64(0), false
	var read time.Time
	for ctx.Err() == nil {
		if time.Since(read) > rereadInterval {
			known = false
		}
		rows, err := f.next(ctx, version, known)
		f.lost.note(err)
		switch {
		case errors.Is(err, ErrHistoryGone):
			f.log.Emit(event.HistoryGone, log.Fields{"table": f.table, "after": version})
			known = false
			continue
		case err != nil:
			rest(ctx, pause)
			pause = min(2*pause, longestStorePause)
			continue
		}
		pause = storePause
		if known {
			f.changed(rows.Rows)
		} else {
			f.whole(rows.Rows)
			read = time.Now().Add(-rand.N(rereadInterval / 4))
		}
		version, known = max(version, rows.Version), true
	}
}

func (f *follower) next(ctx context.Context, version uint64, known bool) (Rows, error) {
	if !known {
		ctx, cancel := context.WithTimeout(ctx, firstTimeout)
		defer cancel()
		return f.store.Read(ctx, f.table)
	}
	ctx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	return f.store.Follow(ctx, f.table, version, followWait)
}

// rest waits between half and all of a time, so that nodes that failed together
// don't come back together.
func rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d/2+1))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// A dependency logs when something the node relies on is lost and regained.
type dependency struct {
	name string
	log  event.Log

	// mu guards down and since.
	mu    sync.Mutex
	down  bool
	since time.Time
}

// note takes in how a call ended.
func (d *dependency) note(err error) {
	failed := err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrHistoryGone) && !errors.Is(err, context.Canceled)
	d.mu.Lock()
	changed := failed != d.down
	away := time.Since(d.since)
	d.down = failed
	if changed {
		d.since = time.Now()
	}
	d.mu.Unlock()
	switch {
	case changed && failed:
		d.log.Emit(event.StoreLost, log.Fields{"use": d.name, "error": err.Error()})
	case changed:
		d.log.Emit(event.StoreRegained, log.Fields{"use": d.name, "away": away.String()})
	}
}
