// Package call defines the context that is propagated with a request through the call
// graph: client account, class, deadline and remaining attempts.
package call

import (
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/class"
)

// A Context describes one call. It is a value: With methods return changed copies, so
// that a hop can't change the context of another one. It never contains a key.
type Context struct {
	// RequestID is the id of the root request; all calls below it have the same one.
	RequestID string `cbor:"1,keyasint"`
	// Account is the client account; empty for open classes.
	Account string `cbor:"2,keyasint,omitempty"`
	// KeyID is the id of the caller's key, so that its withdrawal also stops calls in
	// progress.
	KeyID string `cbor:"3,keyasint,omitempty"`
	// Class is the class of the root request.
	Class string `cbor:"4,keyasint"`
	// Importance is the importance of the root request's class.
	Importance class.Importance `cbor:"5,keyasint"`
	// Service is the service that is called.
	Service string `cbor:"6,keyasint"`
	// Depth is the number of calls above this one.
	Depth int `cbor:"7,keyasint,omitempty"`
	// Attempts is the number of remaining attempts at backend servers for this call
	// and all calls below it, including the first attempt.
	Attempts int `cbor:"8,keyasint"`
	// Idempotent says that this call may run more than once.
	Idempotent bool `cbor:"9,keyasint,omitempty"`
	// IdempotencyKey identifies work that may run at most once.
	IdempotencyKey string `cbor:"10,keyasint,omitempty"`
	// Remaining is the time until the deadline when the message was sent. The receiver
	// converts it to a deadline of its own clock with WithLocalDeadline.
	Remaining time.Duration `cbor:"11,keyasint"`
	// ConfigurationVersion is the version under which the request was admitted.
	ConfigurationVersion uint64 `cbor:"12,keyasint,omitempty"`
	// ContentHash is a hash of the requested work, which identifies requests that crash
	// backend servers.
	ContentHash uint64 `cbor:"13,keyasint,omitempty"`
	// Retried says that this call, or one above it, is a retry.
	Retried bool `cbor:"14,keyasint,omitempty"`
	// NoRetry says that this call and those below it are not retried, because few
	// retries are available and they are reserved for more important requests.
	NoRetry bool `cbor:"15,keyasint,omitempty"`
	// Deadline is the time at which the caller stops waiting, by the local clock.
	Deadline time.Time `cbor:"-"`
}

// WithLocalDeadline returns the context with its deadline set from Remaining and the
// local time.
func (c Context) WithLocalDeadline(now time.Time) Context {
	c.Deadline = now.Add(c.Remaining)
	return c
}

// WithRemaining returns the context with the time remaining until its deadline.
func (c Context) WithRemaining(now time.Time) Context {
	c.Remaining = max(0, c.Deadline.Sub(now))
	return c
}

// WithAttempts returns the context with another number of attempts.
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

// WithRetried returns the context marked as a retry.
func (c Context) WithRetried() Context {
	c.Retried = true
	return c
}

// WithNoRetry returns the context with retries disabled or enabled.
func (c Context) WithNoRetry(noRetry bool) Context {
	c.NoRetry = noRetry
	return c
}

// WithAccount returns the context with another client account.
func (c Context) WithAccount(account string) Context {
	c.Account = account
	return c
}

// WithContentHash returns the context with the hash of the requested work.
func (c Context) WithContentHash(hash uint64) Context {
	c.ContentHash = hash
	return c
}

// WithIdempotency returns the context with the idempotency of the requested work.
func (c Context) WithIdempotency(idempotent bool, idempotencyKey string) Context {
	c.Idempotent = idempotent
	c.IdempotencyKey = idempotencyKey
	return c
}

// Expired reports whether the deadline has passed.
func (c Context) Expired(now time.Time) bool { return !now.Before(c.Deadline) }
