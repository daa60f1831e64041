package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/backendserver"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
)

// departureStoreWait is how long the acknowledgement of a departure waits for the store. A
// backend server waits for a second.
const departureStoreWait = 500 * time.Millisecond

// An Announcer handles what the backend server of the host announces. Its methods return
// when the announcement may be acknowledged.
type Announcer interface {
	// Announce applies an announcement. The error is or wraps backendserver.ErrStale,
	// ErrForeign or ErrInvalid.
	Announce(ctx context.Context, a backendserver.Announcement) error
	// Leave records that a backend server is shutting down. born is its start time in Unix
	// milliseconds, or zero if not reported. The error wraps backendserver.ErrInvalid.
	Leave(ctx context.Context, id string, born int64) error
}

// An announcer passes announcements to a node. The acknowledgement of a departure binds all
// later processes, so it waits until the store holds the departure.
type announcer struct{ node *Node }

// Announce implements Announcer.
func (a announcer) Announce(ctx context.Context, announcement backendserver.Announcement) error {
	err := a.node.backend.Announce(announcement)
	if announcement.Draining {
		a.awaitStored(ctx, announcement.ID)
	}
	return err
}

// Leave implements Announcer.
func (a announcer) Leave(ctx context.Context, id string, born int64) error {
	if err := a.node.backend.Leave(id, born); err != nil {
		return err
	}
	a.awaitStored(ctx, id)
	return nil
}

// awaitStored waits until the store holds a departure, up to departureStoreWait: without the
// store, this process and the other nodes know it.
func (a announcer) awaitStored(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, departureStoreWait)
	defer cancel()
	if err := a.node.record.awaitStored(ctx); err != nil {
		a.node.log.Emit(event.DepartureUnstored, log.Fields{"backend-server": id, "error": err.Error()})
	}
}
