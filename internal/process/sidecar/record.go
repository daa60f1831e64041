package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/era"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
)

const (
	// writeTimeout bounds one write to the store.
	writeTimeout = time.Second
	// removeTimeout bounds the removal of the row at shutdown. It is short because the
	// shutdown doesn't depend on the removal.
	removeTimeout = 200 * time.Millisecond
)

// A hostRow is the row of a host in the store.
type hostRow struct {
	fleet.Host
	// Departures are those that the next process of the node has to know.
	Departures fleet.Departures `json:"departures,omitempty"`
}

func (r hostRow) equal(o hostRow) bool {
	return r.Host == o.Host && slices.Equal(r.Departures, o.Departures)
}

// persisted returns the part of a row whose changes are written to the store.
func (r hostRow) persisted() hostRow {
	r.Revision, r.Leaving, r.Backend.Cold = 0, false, false
	if r.Backend.State != fleet.Draining {
		r.Backend = fleet.Backend{}
	}
	return r
}

// A hostRecord publishes the node's own record, which changes with the backend server
// and with the node's shutdown. Other nodes receive each change in notices. The store
// holds only the address data of the node and which backend servers leave, because the
// node's next process needs that.
//
// Each write has the condition that the row is the one that this process knows. A process
// that starts knows none, so that it reads what an earlier one has left before it replaces
// it, and a delayed write of the earlier one fails.
type hostRecord struct {
	directory *fleet.Directory
	store     Store
	log       event.Log
	monitor   *storeMonitor
	eras      *era.Tracker
	// onConflict handles the row that another process has written.
	onConflict func(Row)
	wake       chan struct{}
	// registered receives a value once the store holds the row, also after it came back from
	// a copy. Reading the table after that returns all nodes that may have read it before
	// this row was written, so the node can notify them directly.
	registered chan struct{}

	// mu guards the fields below.
	mu  sync.Mutex
	row hostRow
	// stored is the part of the row that the store holds, as far as this process knows, and
	// storedChanged is closed, and replaced, after each write.
	stored        hostRow
	storedChanged chan struct{}
	// overwritten is set until the row is written again after another writer replaced it or
	// the store lost it, and unregistered until it is written for the first time in an era.
	overwritten, unregistered bool
	// removed is set once the row was removed at shutdown.
	removed bool
	// version is the version of the last row known in this era of the store, or zero.
	version uint64
}

// Host returns the current record.
func (r *hostRecord) Host() fleet.Host { return r.current().Host }

// current returns the current row.
func (r *hostRecord) current() hostRow {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.row
}

// update applies f to the row as a new revision and schedules its write.
func (r *hostRecord) update(f func(*hostRow)) {
	r.mu.Lock()
	f(&r.row)
	r.row.Revision++
	changed := r.row.Host
	r.mu.Unlock()
	r.directory.Merge(changed)
	r.schedule()
}

// schedule wakes the writer of the row.
func (r *hostRecord) schedule() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// markLeaving makes a last revision, which is sent only in notices: the row is removed
// at the end of the shutdown.
func (r *hostRecord) markLeaving() {
	r.mu.Lock()
	r.row.Leaving = true
	r.row.Revision++
	changed := r.row.Host
	r.mu.Unlock()
	r.directory.Merge(changed)
}

// remove deletes the row, so that no node dials a host that has stopped.
func (r *hostRecord) remove(ctx context.Context) {
	r.mu.Lock()
	name, version := r.row.Name, r.version
	// The next process of the host needs to see that its backend server is leaving.
	keep := r.row.Departures.Concern(r.row.Backend)
	r.removed = !keep
	r.mu.Unlock()
	if version == 0 || keep {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	called := time.Now()
	err := r.store.Remove(ctx, hostsTable, name, version)
	r.monitor.observe(err, time.Since(called))
}

// supersede makes the record newer than other, a record of the same host that other
// nodes hold, and reports whether that was necessary. Such a record can come from an
// earlier process whose clock was ahead.
func (r *hostRecord) supersede(other fleet.Host) bool {
	r.mu.Lock()
	stale := other.Newer(r.row.Host)
	r.mu.Unlock()
	if stale {
		r.update(func(h *hostRow) { h.Incarnation = other.Incarnation + 1 })
	}
	return stale
}

// rewrite schedules a write of the row, which another writer has replaced.
func (r *hostRecord) rewrite() {
	r.mu.Lock()
	r.overwritten = true
	r.mu.Unlock()
	r.schedule()
}

// restored schedules a write of the row after the store has come back from a copy.
func (r *hostRecord) restored() {
	r.mu.Lock()
	r.version, r.unregistered = 0, true
	r.mu.Unlock()
	r.rewrite()
}

// written reports whether this node has written the row, in the current era of the store, in a
// transaction up to a version.
func (r *hostRecord) written(version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version != 0 && r.version <= version
}

// takeUnregistered reports whether the row was written for the first time in this era of the
// store, once.
func (r *hostRecord) takeUnregistered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version == 0 {
		return false
	}
	unregistered := r.unregistered
	r.unregistered = false
	return unregistered
}

// pending returns the current row and whether it has to be written. A leaving node writes
// departures only, and none after it has removed its row, unless one came since.
func (r *hostRecord) pending() (hostRow, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overwritten {
		r.stored, r.overwritten = hostRow{}, false
	}
	removed := r.removed && !r.row.Departures.Concern(r.row.Backend)
	return r.row, !removed && !r.stored.equal(r.row.persisted())
}

// run writes the row whenever its persisted part has changed, until ctx is done.
func (r *hostRecord) run(ctx context.Context) {
	for ctx.Err() == nil {
		current, pending := r.pending()
		if !pending {
			select {
			case <-r.wake:
			case <-ctx.Done():
			}
			continue
		}
		err := r.write(ctx, current)
		switch {
		case errors.Is(err, ErrConflict) && r.resolve(ctx) == nil:
		case err != nil: // The store's monitor and event record-conflict have logged it.
			sleepJittered(ctx, minStoreBackoff)
		case r.takeUnregistered():
			select {
			case r.registered <- struct{}{}:
			default:
			}
		}
	}
}

// write writes the row under the condition that the store holds the one that is known.
func (r *hostRecord) write(ctx context.Context, row hostRow) error {
	content, err := json.Marshal(row)
	if err != nil {
		return fmt.Errorf("encode host record: %w", err)
	}
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	called, call := time.Now(), r.eras.Begin()
	written, err := r.store.Write(ctx, hostsTable, row.Name, content, version)
	call.End(written.Era.Number, written.Era.Err)
	r.monitor.observe(err, time.Since(called))
	if err != nil {
		return fmt.Errorf("write host record: %w", err)
	}
	r.mu.Lock()
	if call.Holds() {
		r.version = written.Version
	}
	r.stored = row.persisted()
	close(r.storedChanged)
	r.storedChanged = make(chan struct{})
	r.mu.Unlock()
	r.log.Emit(event.RecordWritten, log.Fields{
		"incarnation": row.Incarnation, "revision": row.Revision, "version": written.Version, "replaced": version,
		"backend-server": row.Backend.ID, "state": row.Backend.State, "departures": len(row.Departures),
	})
	return nil
}

// resolve reads the row that another process has written, so that the next write replaces
// it with what both know.
func (r *hostRecord) resolve(ctx context.Context) error {
	name := r.Host().Name
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	called, call := time.Now(), r.eras.Begin()
	row, err := r.store.ReadRow(ctx, hostsTable, name)
	r.monitor.observe(err, time.Since(called))
	if err != nil {
		return fmt.Errorf("read host record of another process: %w", err)
	}
	r.mu.Lock()
	known := r.version
	if call.Holds() {
		r.version = row.Version
	}
	r.mu.Unlock()
	r.log.Emit(event.RecordConflict, log.Fields{"known": known, "version": row.Version})
	if row.Version == known {
		return fmt.Errorf("row at version %d: %w", known, ErrConflict) // The next write would fail too.
	}
	if row.Version != 0 {
		r.onConflict(row)
	}
	return nil
}

// awaitStored waits until the store holds the current row, or until ctx is done.
func (r *hostRecord) awaitStored(ctx context.Context) error {
	for {
		r.mu.Lock()
		stored, changed := r.stored.equal(r.row.persisted()), r.storedChanged
		r.mu.Unlock()
		if stored {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fmt.Errorf("wait for the write of the host record: %w", ctx.Err())
		}
	}
}

// mergeOwnRecord handles a record of this host that another host or the store holds. It
// may be from an earlier process, or tell what other hosts know of the backend server
// from that time.
func (n *Node) mergeOwnRecord(h fleet.Host) {
	n.backend.RestoreDraining(h.Backend)
	n.record.supersede(h)
}

// mergeOwnRow handles the row of this host, which may be from an earlier process. It reports
// whether it could be read.
func (n *Node) mergeOwnRow(row Row) bool {
	h, err := decodeHost(row, n.clock.Now())
	if err != nil {
		n.log.Emit(event.HostUnreadable, log.Fields{"row": row.Key, "version": row.Version, "error": err.Error()})
		return false
	}
	n.backend.RestoreDepartures(h.Departures)
	n.mergeOwnRecord(h.Host)
	return true
}

// syncHosts applies the full hosts table. A known host whose row is gone and that isn't
// connected is removed as having left.
func (n *Node) syncHosts(rows Rows) {
	own := n.settings.Name
	listed := make(map[string]bool, len(rows.Rows))
	for _, row := range rows.Rows {
		listed[row.Key] = true
	}
	if !listed[own] && n.record.written(rows.Version) {
		n.record.rewrite()
	}
	n.mergeHosts(rows.Rows)
	for _, h := range n.roster.Gone(n.eras.Number(), listed, n.directory.Hosts()) {
		if h.Name != own && !n.mesh.Connected(h.Name) {
			n.directory.Remove(h)
			n.roster.RecordLeft(h)
			n.log.Emit(event.HostChanged, log.Fields{"peer": h.Name, "removed": true, "from": "store"})
		}
	}
	n.fleetKnown.Store(true)
}

// mergeHosts merges the host records of rows into the directory.
func (n *Node) mergeHosts(rows []Row) {
	own := n.settings.Name
	for _, row := range rows {
		if row.Key == own {
			if !n.mergeOwnRow(row) {
				n.record.rewrite()
			}
			continue
		}
		decoded, err := decodeHost(row, n.clock.Now())
		h := decoded.Host
		if err != nil {
			n.log.Emit(event.HostUnreadable, log.Fields{"row": row.Key, "version": row.Version, "error": err.Error()})
			continue
		}
		if n.roster.Left(n.eras.Number(), h) {
			continue
		}
		if n.directory.Merge(h) {
			n.log.Emit(event.HostChanged, log.Fields{
				"peer": h.Name, "backend-server": h.Backend.ID, "state": h.Backend.State, "leaving": h.Leaving,
				"incarnation": h.Incarnation, "revision": h.Revision, "from": "store", "version": row.Version,
			})
		}
	}
}

// decodeHost decodes a row of the hosts table. Other writers may leave rows that are not
// records of hosts.
func decodeHost(row Row, now time.Time) (hostRow, error) {
	var h hostRow
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return hostRow{}, fmt.Errorf("decode host record: %w", err)
	}
	if h.Name != row.Key {
		return hostRow{}, fmt.Errorf("record of another host in row %q: %w", row.Key, fleet.ErrInvalidRecord)
	}
	if err := h.Host.Validate(now); err != nil {
		return hostRow{}, fmt.Errorf("check host record: %w", err)
	}
	if err := h.Departures.Validate(now); err != nil {
		return hostRow{}, fmt.Errorf("check departures of host record: %w", err)
	}
	return h, nil
}
