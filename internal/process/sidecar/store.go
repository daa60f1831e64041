package sidecar

import (
	"context"
	"errors"
	"time"
)

// A Row is one row of a table of the platform's store.
type Row struct {
	Key   string
	Value []byte
	// Version is the number of the transaction that wrote the row.
	Version uint64
	// Removed is true if the row was deleted.
	Removed bool
}

// Rows are rows of one table, read in one snapshot.
type Rows struct {
	Rows []Row
	// Version is the number of the store's last transaction in that snapshot.
	Version uint64
	// Era is the era of the response. It is also set with an error if there was a response.
	Era Era
}

// Written is the result of a write.
type Written struct {
	// Version is the version of the row.
	Version uint64
	// Era is the era of the response. It is also set with an error if there was a response.
	Era Era
}

// An Era is what a response states about the store's era. The number rises each time that the
// store comes back from a copy: what was written after the copy is gone, and versions that
// were given out since then are given out again. Versions can be compared within one era only.
type Era struct {
	// Number is zero if the response states no era.
	Number uint64
	// Err is set if the response states an era that can't be read.
	Err error
}

// Errors of the store.
var (
	// ErrHistoryGone is returned if the store no longer retains the requested changes.
	ErrHistoryGone = errors.New("the store no longer holds these changes")
	// ErrConflict is returned if a row doesn't have the expected version.
	ErrConflict = errors.New("the row has changed")
)

// A Store is the platform's metadata store. Every call is bounded by its context.
// After an error other than ErrConflict and ErrHistoryGone, a write may have been
// applied or may still be applied later.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Rows, error)
	// Watch returns the rows that changed after the given version. It blocks until
	// there is one, and returns none after the wait.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
	// ReadRow returns a row of a table; its version is zero if it doesn't exist.
	ReadRow(ctx context.Context, table, key string) (Row, error)
	// Write writes a row if it still has the given version, zero if it must not exist yet,
	// and returns its new version. It fails with ErrConflict otherwise.
	Write(ctx context.Context, table, key string, value []byte, version uint64) (Written, error)
	// Remove deletes a row if it still has the given version, and fails with
	// ErrConflict otherwise.
	Remove(ctx context.Context, table, key string, version uint64) error
}

// The tables that the node uses.
const (
	// hostsTable has one row per host, written by its node: a fleet.Host as JSON.
	hostsTable = "hosts"
)
