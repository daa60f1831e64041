// Package retry bounds the attempts at one request. An Allowance bounds the attempts
// over a whole tree of calls; a Budget and a Window bound the retries relative to
// recent traffic; Retryable reports which outcomes may be retried at all.
//
// The types are deterministic and hold no lock: the caller must do the locking.
package retry

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// ErrExhausted is returned if an allowance has no attempt left.
var ErrExhausted = eris.New("attempt allowance exhausted")

// ErrUnknownGrant is returned for a grant that was settled before or belongs to another
// allowance.
var ErrUnknownGrant = eris.New("grant is unknown or already settled")

// retainedDivisor determines the share of the free attempts that GrantMost retains: one
// part in retainedDivisor.
const retainedDivisor = 4

// A Grant identifies the part of an Allowance that was granted to one child call.
type Grant uint64

// An Allowance is the number of attempts that one call and all calls below it may use.
// It is conserved: free, granted and spent attempts always sum to the initial number. A
// child call is granted a part for its own Allowance, parallel children are granted
// disjoint parts, and an answer returns what its child left unused. A grant whose answer
// is lost counts as spent, because the child may have used it. The attempts in a tree of
// calls therefore never exceed the allowance of its root, in any interleaving.
type Allowance struct {
	free   int
	spent  int
	grants map[Grant]int
	last   Grant
}

// NewAllowance returns an allowance of the given number of attempts; a negative number
// counts as zero.
func NewAllowance(attempts int) *Allowance {
	return &Allowance{free: max(0, attempts), grants: make(map[Grant]int)}
}

// Free returns the number of attempts that are neither spent nor granted.
func (a *Allowance) Free() int { return a.free }

// Spent returns the number of attempts that were used or must be assumed used.
func (a *Allowance) Spent() int { return a.spent }

// Granted returns the number of attempts in open grants to child calls.
func (a *Allowance) Granted() int {
	total := 0
	for _, part := range a.grants {
		total += part
	}
	return total
}

// Spend takes one attempt at a backend server. It must be called before the attempt and
// returns ErrExhausted if no attempt is free.
func (a *Allowance) Spend() error {
	if a.free == 0 {
		return fmt.Errorf("spend an attempt: %w", ErrExhausted)
	}
	a.free--
	a.spent++
	return nil
}

// Grant grants up to the wanted number of attempts to a child call and returns the
// granted number. It returns ErrExhausted if no attempt is free.
func (a *Allowance) Grant(wanted int) (Grant, int, error) {
	part := min(wanted, a.free)
	if part <= 0 {
		return 0, 0, fmt.Errorf("grant %d attempts: %w", wanted, ErrExhausted)
	}
	a.free -= part
	a.last++
	a.grants[a.last] = part
	return a.last, part, nil
}

// GrantMost grants all but a quarter of the free attempts to one try at another host. If
// its answer is lost, the rest is left for another try.
func (a *Allowance) GrantMost() (Grant, int, error) { return a.Grant(a.free - a.free/retainedDivisor) }

// GrantShare grants an equal share of the free attempts to one of the given number of
// children that may still be called in parallel. Every child gets at least one attempt
// while any is free.
func (a *Allowance) GrantShare(children int) (Grant, int, error) {
	share := (a.free + max(1, children) - 1) / max(1, children)
	return a.Grant(max(1, share))
}

// Return settles a grant after an answer; unused is the number of attempts that the
// answer returns. It is capped at the granted number, whatever the answer claims. Return
// returns ErrUnknownGrant if the grant is not open.
func (a *Allowance) Return(grant Grant, unused int) error {
	part, ok := a.grants[grant]
	if !ok {
		return fmt.Errorf("return grant %d: %w", grant, ErrUnknownGrant)
	}
	delete(a.grants, grant)
	unused = min(max(0, unused), part)
	a.free += unused
	a.spent += part - unused
	return nil
}

// Forfeit settles a grant whose answer was lost: all its attempts count as spent.
func (a *Allowance) Forfeit(grant Grant) error { return a.Return(grant, 0) }

// Close ends the call and returns the number of unused attempts. Open grants count as
// spent. Afterwards the allowance is empty, so that a late child call gets no grant.
func (a *Allowance) Close() int {
	unused := a.free
	a.spent += a.Granted()
	clear(a.grants)
	a.free = 0
	return unused
}

// An Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Answered means that the complete answer was received.
	Answered Outcome = iota
	// NotRun means that the request was certainly not dispatched to a backend server.
	NotRun
	// Failed means that the backend server ran the request and failed.
	Failed
	// Unknown means that the request may have run.
	Unknown
)

// An Attempt is one try of a request.
type Attempt struct {
	// Host is the host that the request was sent to.
	Host string
	// Outcome is how the attempt ended.
	Outcome Outcome
	// DownstreamOverloaded reports that a service further down the call chain refused
	// a call because of overload. A retry would only repeat the work above it. It is
	// not set if the host itself refused the request, as another host may have
	// capacity.
	DownstreamOverloaded bool
	// Permanent reports that every host would give the same answer, for example for a
	// missing key or a quarantined request.
	Permanent bool
}

// A Request holds the properties of a request that decide whether it may be retried.
type Request struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Retryable reports whether a request may be retried after the attempt. A non-idempotent
// request is never retried once it may have run. The caller must choose a host that has
// not been tried; ExcludedHosts returns the others.
func Retryable(now time.Time, r Request, a Attempt) bool {
	switch {
	case a.Outcome == Answered || a.Permanent || a.DownstreamOverloaded:
		return false
	case !now.Before(r.Deadline):
		return false
	case a.Outcome == NotRun:
		return true
	default:
		return r.Idempotent
	}
}

// ExcludedHosts returns the hosts of the attempts, to which no retry may be sent.
func ExcludedHosts(attempts []Attempt) map[string]bool {
	hosts := make(map[string]bool, len(attempts))
	for _, a := range attempts {
		hosts[a.Host] = true
	}
	return hosts
}
