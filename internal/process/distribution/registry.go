// Package distribution brings each accepted configuration to every node. An
// operator's tool publishes through a Registry, which keeps contents in the
// object store and the head, which names the version in force, in one row of the
// table. In each node a Follower learns of new heads, fetches contents from its
// peers or from the platform, and holds one snapshot that only ever gets newer.
// What a Follower does next is decided by a Tracker, which does no input or
// output.
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

// headKey is the row that names the version in force.
const headKey = "configuration/head"

// errDigest means that a content is not the one that the head names.
var errDigest = eris.New("content does not match the digest in the head")

// A Head names one version of the configuration and its content.
type Head struct {
	// Version is the revision of the head's row; 0 stands for no configuration.
	Version uint64 `cbor:"1,keyasint" json:"version"`
	// Object is the name of the content in the object store.
	Object string `cbor:"2,keyasint" json:"object"`
	// Digest is the SHA-256 of the content.
	Digest [sha256.Size]byte `cbor:"3,keyasint" json:"-"`
	// Author says who published the version.
	Author string `cbor:"4,keyasint,omitempty" json:"author,omitempty"`
	// Published is when, by the clock of the operator's tool.
	Published time.Time `cbor:"5,keyasint,omitempty" json:"published"`
}

// A ConflictError tells an operator that another change came first.
type ConflictError struct {
	// Base is the version that the refused change was made from.
	Base uint64
	// Present is the head that is in force instead.
	Present Head
}

// Error names the version that is in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration is at version %d by %q, not at version %d from which this change was made",
		e.Present.Version, e.Present.Author, e.Base)
}

// Table is the part of the table service that a Registry uses.
type Table interface {
	Read(ctx context.Context, key string) (platform.Row, error)
	Write(ctx context.Context, next platform.Row, expectedRevision uint64) error
}

// Objects is the part of the object store that a Registry uses.
type Objects interface {
	Get(ctx context.Context, name string) ([]byte, error)
	Put(ctx context.Context, name string, content []byte) error
}

// A Registry keeps the versions of the configuration on the platform. It holds
// no state and is safe for concurrent use.
type Registry struct {
	table   Table
	objects Objects
}

// NewRegistry returns a registry on a platform.
func NewRegistry(t Table, o Objects) *Registry { return &Registry{table: t, objects: o} }

// Head returns the head in force, or the zero Head where nothing was published.
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

// Content returns the content that a head names.
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

// A Change is one intended change of the configuration.
type Change struct {
	// ID names the change. It is the same in all attempts to publish it.
	ID string
	// Base is the version that the change was made from.
	Base uint64
	// Content is the whole new configuration.
	Content []byte
	// Author says who makes the change.
	Author string
	// Published is the time of the change.
	Published time.Time
}

// Publish checks a content whole and makes it the version after the change's
// base. The error is document.Faults where the content is faulty, and a
// *ConflictError where another change came first; then nothing took effect. With
// platform.ErrUnsettled the same Change can be published again, which gives the
// same version.
func (r *Registry) Publish(ctx context.Context, c Change) (Head, error) {
	if _, err := configuration.Parse("configuration", c.Content); err != nil {
		return Head{}, fmt.Errorf("check configuration: %w", err)
	}
	h := Head{
		Version:   c.Base + 1,
		Digest:    sha256.Sum256(c.Content),
		Author:    c.Author,
		Published: c.Published.UTC().Truncate(time.Second),
	}
	// The name holds the digest, so that racing changes don't share an object.
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

// conflict returns the error that names the version that came first.
func (r *Registry) conflict(ctx context.Context, base uint64) error {
	present, err := r.Head(ctx)
	if err != nil {
		return fmt.Errorf("find the version that came first: %w: %w", platform.ErrConflict, err)
	}
	return &ConflictError{Base: base, Present: present}
}
