// Package call holds the context that travels with a request through the call
// graph: who asked, for what, until when, and how often it may still be tried.
package call

import (
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/class"
)

// A Context describes one call. It is a value: With methods return changed
// copies, so a hop can't alter what another hop sees. It never holds a key.
type Context struct {
	// RequestID names the root request; all calls below it share it.
	RequestID string `cbor:"1,keyasint"`
	// Account is the client account; empty on open classes.
	Account string `cbor:"2,keyasint,omitempty"`
	// KeyID names the key that the caller showed, so that its withdrawal also
	// stops calls that are under way.
	KeyID string `cbor:"3,keyasint,omitempty"`
	// Class is the class of the root request.
	Class string `cbor:"4,keyasint"`
	// Importance is that of the root request's class.
	Importance class.Importance `cbor:"5,keyasint"`
	// Service is the service that this call goes to.
	Service string `cbor:"6,keyasint"`
	// Depth is the number of calls above this one.
	Depth int `cbor:"7,keyasint,omitempty"`
	// Attempts is how often backend servers may still be tried for this call
	// and all calls below it, the first attempt included.
	Attempts int `cbor:"8,keyasint"`
	// Idempotent says that this call may run more than once.
	Idempotent bool `cbor:"9,keyasint,omitempty"`
	// IdempotencyKey names work that may run at most once.
	IdempotencyKey string `cbor:"10,keyasint,omitempty"`
	// Remaining is the time left when the message was sent. A receiver turns
	// it into a deadline of its own clock with WithReceived.
	Remaining time.Duration `cbor:"11,keyasint"`
	// ConfigurationVersion is the version under which the request was admitted.
	ConfigurationVersion uint64 `cbor:"12,keyasint,omitempty"`
	// Content is a hash of the work that is asked for, by which requests that
	// crash backend servers are known again.
	Content uint64 `cbor:"13,keyasint,omitempty"`
	// Repeat says that this call, or one above it, was sent before.
	Repeat bool `cbor:"14,keyasint,omitempty"`
	// Single says that this call and those below it are not sent again, because
	// repeats are scarce and kept for what matters more.
	Single bool `cbor:"15,keyasint,omitempty"`
	// Deadline is when the caller stops waiting, by the local clock.
	Deadline time.Time `cbor:"-"`
}

// WithReceived returns the context with its deadline set by the local clock.
func (c Context) WithReceived(now time.Time) Context {
	c.Deadline = now.Add(c.Remaining)
	return c
}

// WithSent returns the context with the time left until its deadline.
func (c Context) WithSent(now time.Time) Context {
	c.Remaining = max(0, c.Deadline.Sub(now))
	return c
}

// WithAttempts returns the context with another allowance of attempts.
func (c Context) WithAttempts(attempts int) Context {
	c.Attempts = attempts
	return c
}

// WithChild returns the context of a call that this one makes to a service.
func (c Context) WithChild(service string, attempts int) Context {
	c.Service = service
	c.Depth++
	c.Attempts = attempts
	c.Idempotent = false
	c.IdempotencyKey = ""
	return c
}

// WithRepeat returns the context of a call that was sent before.
func (c Context) WithRepeat() Context {
	c.Repeat = true
	return c
}

// WithSingle returns the context of a call that is not sent again.
func (c Context) WithSingle(single bool) Context {
	c.Single = single
	return c
}

// WithContent returns the context with the hash of the work it asks for.
func (c Context) WithContent(hash uint64) Context {
	c.Content = hash
	return c
}

// WithIdempotency returns the context with the idempotency of the work it asks for.
func (c Context) WithIdempotency(idempotent bool, idempotencyKey string) Context {
	c.Idempotent = idempotent
	c.IdempotencyKey = idempotencyKey
	return c
}

// Expired reports whether the deadline has passed.
func (c Context) Expired(now time.Time) bool { return !now.Before(c.Deadline) }
