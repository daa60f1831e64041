// Package distribution distributes each accepted configuration to every node. An
// operator's tool publishes through a Registry, which stores contents in the object
// store and the head, which names the active version, in one row of the table. In each
// node a Follower detects new heads, fetches contents from its peers or from the
// platform, and holds one snapshot whose version never decreases. A Tracker decides
// what a Follower does next; it performs no I/O.
package distribution

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
)

// headKey is the key of the row that holds the head.
const headKey = "configuration/head"

// errDigest means that a content doesn't match the digest in the head.
var errDigest = eris.New("content does not match the digest in the head")

// A Head identifies one version of the configuration and its content.
type Head struct {
	// Version is the revision of the head's row; 0 means no configuration.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// Object is the name of the content in the object store.
	Object string `cbor:"2,keyasint" json:"object"`
	// Digest is the SHA-256 of the content.
	Digest [sha256.Size]byte `cbor:"3,keyasint" json:"-"`
	// Author is the operator who published the version.
	Author string `cbor:"4,keyasint,omitempty" json:"author,omitempty"`
	// Published is the time of publication by the clock of the operator's tool.
	Published time.Time `cbor:"5,keyasint,omitempty" json:"published"`
}

// A ConflictError means that another change was published first.
type ConflictError struct {
	// Base is the version on which the rejected change is based.
	Base uint64
	// CurrentHead is the head that is active instead.
	CurrentHead Head
}

// Error names the active version, its author and the base version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration is at version %d by %q, not at version %d from which this change was made",
		e.CurrentHead.Version, e.CurrentHead.Author, e.Base)
}

// Table is the subset of the table service that a Registry uses.
type Table interface {
	Read(ctx context.Context, key string) (platform.Row, error)
	Write(ctx context.Context, next platform.Row, expectedRevision uint64) error
}

// ObjectStore is the subset of the object store that a Registry uses.
type ObjectStore interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, content []byte) error
}

// A Registry stores the versions of the configuration on the platform. It has no state
// of its own and is safe for concurrent use.
type Registry struct {
	table   Table
	objects ObjectStore
}

// NewRegistry returns a registry that uses the given table and object store.
func NewRegistry(t Table, o ObjectStore) *Registry { return &Registry{table: t, objects: o} }

// Head returns the active head, or the zero Head if nothing has been published.
func (r *Registry) Head(ctx context.Context) (Head, error) {
	row, err := r.table.Read(ctx, headKey)
	if errors.Is(err, platform.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, fmt.Errorf("read configuration head: %w", err)
	}
	var h Head
	if err := cbor.Unmarshal(row.Value, &h); err != nil {
		return Head{}, fmt.Errorf("decode configuration head: %w", err)
	}
	h.Version = row.Revision
	return h, nil
}

// Content returns the content that a head refers to. It checks the digest.
func (r *Registry) Content(ctx context.Context, h Head) ([]byte, error) {
	content, err := r.objects.Get(ctx, h.Object)
	if err != nil {
		return nil, fmt.Errorf("get content of version %d: %w", h.Version, err)
	}
	if sha256.Sum256(content) != h.Digest {
		return nil, fmt.Errorf("get content of version %d: %w", h.Version, errDigest)
	}
	return content, nil
}

// A Change is one change to be published.
type Change struct {
	// ID identifies the change. It is the same in all attempts to publish it.
	ID string
	// Base is the version on which the change is based.
	Base uint64
	// Content is the complete new configuration.
	Content []byte
	// Author is the operator who makes the change.
	Author string
	// Published is the time of the change.
	Published time.Time
}

// Publish validates a content and makes it the version after the change's base. The
// error is document.Faults if the content is invalid, and a *ConflictError if another
// change was published first; in both cases nothing has changed. After
// platform.ErrOutcomeUnknown the same Change can be published again, which results in
// the same version.
func (r *Registry) Publish(ctx context.Context, c Change) (Head, error) {
	if _, err := configuration.Parse("configuration", c.Content); err != nil {
		return Head{}, fmt.Errorf("validate configuration: %w", err)
	}
	h := Head{
		Version:   c.Base + 1,
		Digest:    sha256.Sum256(c.Content),
		Author:    c.Author,
		Published: c.Published.UTC().Truncate(time.Second),
	}
	// The name contains the digest, so that concurrent changes don't share an object.
	h.Object = fmt.Sprintf("configuration/%d-%x", h.Version, h.Digest)
	if err := r.objects.Put(ctx, h.Object, c.Content); err != nil {
		return Head{}, fmt.Errorf("put content of version %d: %w", h.Version, err)
	}
	value, err := cbor.Marshal(h)
	if err != nil {
		return Head{}, fmt.Errorf("encode configuration head: %w", err)
	}
	row := platform.Row{Key: headKey, Revision: h.Version, Value: value, ChangeID: c.ID}
	err = r.table.Write(ctx, row, c.Base)
	if errors.Is(err, platform.ErrConflict) {
		return Head{}, r.conflict(ctx, c.Base)
	}
	if err != nil {
		return Head{}, fmt.Errorf("move configuration head to version %d: %w", h.Version, err)
	}
	return h, nil
}

// conflict returns a ConflictError with the head that was published first.
func (r *Registry) conflict(ctx context.Context, base uint64) error {
	current, err := r.Head(ctx)
	if err != nil {
		return fmt.Errorf("read head after conflict: %w: %w", platform.ErrConflict, err)
	}
	return &ConflictError{Base: base, CurrentHead: current}
}
