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
	// Version is the transaction that wrote the row.
	Version uint64
	// Removed says that the row was deleted.
	Removed bool
}

// Rows are rows of one table as of one moment.
type Rows struct {
	Rows []Row
	// Version is the store's newest transaction at that moment.
	Version uint64
}

// Errors of the store.
var (
	// ErrHistoryGone says that the store has dropped the changes asked for.
	ErrHistoryGone = errors.New("the store no longer holds these changes")
	// ErrConflict says that a row was not as the write demanded.
	ErrConflict = errors.New("the row has changed")
)

// A Store is the platform's store. Every call is bounded by its context. After
// an error other than ErrConflict and ErrHistoryGone a write may have been done,
// or may be done later.
type Store interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (Rows, error)
	// Follow returns the rows that changed after a version as soon as there is
	// one, or none after the wait.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Rows, error)
	// Write writes a row and returns its version.
	Write(ctx context.Context, table, key string, value []byte) (uint64, error)
	// Remove deletes a row if it still has the version; the error is ErrConflict
	// if not.
	Remove(ctx context.Context, table, key string, version uint64) error
}

// The tables that the node uses.
const (
	// hostsTable holds one row per host, written by its node: a fleet.Host as JSON.
	hostsTable = "hosts"
)
