// Package admission decides which requests a backend server runs, which are queued
// and which are shed. A Controller combines an adaptive concurrency Limit with a
// bounded Queue. It is a deterministic state machine: the caller passes in events
// and the current time, carries out the returned actions and does the locking.
//
// Package routing uses the Load that a Controller reports. Package quarantine
// filters out requests that crash backend servers before they reach this package.
package admission

import "time"

// A Request asks for one of a backend server's slots.
type Request struct {
	// ID is unique among the requests that a Controller holds.
	ID uint64
	// Account is the client account; empty for open routes.
	Account string
	// Importance ranks requests under overload; requests of higher importance are
	// shed later. It is at least 1.
	Importance int
	// Depth is the number of calls above this one in the call chain. Deeper calls of
	// an account run first, because more work has already been spent on them.
	Depth int
	// Cost is the expected slot time of the request, relative to the average request
	// of the backend server; zero means 1. Fairness between accounts is measured in
	// cost, not in number of requests.
	Cost float64
	// Target is the latency target of the class.
	Target time.Duration
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// A Reason says why a request was shed.
type Reason string

// The reasons for shedding.
const (
	// Overloaded means that the capacity is needed for more important or earlier
	// requests.
	Overloaded Reason = "overloaded"
	// DeadlineUnreachable means that the request could not complete before its
	// deadline even if it ran immediately.
	DeadlineUnreachable Reason = "deadline-passed"
)

// A Run instructs the caller to dispatch a request to the backend server.
type Run struct {
	// ID identifies the request.
	ID uint64
	// Waited is the time the request spent in the queue.
	Waited time.Duration
}

// A Shed instructs the caller to refuse a request. The request was not run.
type Shed struct {
	// ID identifies the request.
	ID uint64
	// Reason is why the request was shed.
	Reason Reason
	// RetryAfter is the delay before the client should retry; zero if unknown.
	RetryAfter time.Duration
}

// Actions lists what the caller must do after an event, in any order.
type Actions struct {
	// Runs are the requests to dispatch to the backend server.
	Runs []Run
	// Sheds are the requests to refuse.
	Sheds []Shed
}

// A Completion describes how a request ended at the backend server.
type Completion struct {
	// SelfTime is the time spent in the backend server, excluding the time spent
	// waiting for its own calls. A slow callee must not lower its caller's limit.
	SelfTime time.Duration
	// Rejected reports whether the backend server itself shed the request.
	Rejected bool
	// Ignore excludes SelfTime from the limit's samples because it does not reflect
	// the load of the backend server, for example for a cancelled request.
	Ignore bool
}

// A Load is the load report that a Controller attaches to each answer.
type Load struct {
	// AdmittedImportance is the lowest importance currently admitted.
	AdmittedImportance int
	// QueueDelay is how long the oldest queued request of the highest queued
	// importance has waited, or the time that a new one would wait because of a limit of
	// requests per second, if that is longer.
	QueueDelay time.Duration
	// Running is the number of requests in the backend server.
	Running int
	// FreeSlots is the number of further requests that could run immediately.
	FreeSlots int
	// Waiting is the number of requests in the queue.
	Waiting int
}
