package claims

import (
	"fmt"
	"time"

	"github.com/bilberryvane/bilberryvane/claim"
)

// An operation is the change to a claim that a message requests.
type operation uint8

const (
	opClaim operation = iota + 1
	opRelease
	opComplete
	opMarkUnknown
)

// A message requests an operation on a claim.
type message struct {
	Shard   string       `cbor:"1,keyasint"`
	Op      operation    `cbor:"2,keyasint"`
	Work    claim.WorkID `cbor:"3,keyasint"`
	Attempt string       `cbor:"4,keyasint"`
	// Timeout is the maximum duration of the attempt.
	Timeout time.Duration `cbor:"5,keyasint,omitempty"`
	Answer  []byte        `cbor:"6,keyasint,omitempty"`
}

// A reply contains the result of a message.
type reply struct {
	Result     claim.Result  `cbor:"1,keyasint"`
	Answer     []byte        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// withOp returns a copy of the message with another operation of the same attempt.
func (m message) withOp(op operation, timeout time.Duration, answer []byte) message {
	m.Op = op
	m.Timeout = timeout
	m.Answer = answer
	return m
}

// apply applies the operation to the claims of a shard.
func (m message) apply(now time.Time, t *claim.Table) (claim.Reply, error) {
	switch m.Op {
	case opClaim:
		return t.Claim(now, m.Work, m.Attempt, m.Timeout)
	case opRelease:
		return t.Release(now, m.Work, m.Attempt)
	case opComplete:
		return t.Complete(now, m.Work, m.Attempt, m.Answer)
	case opMarkUnknown:
		return t.MarkUnknown(now, m.Work, m.Attempt)
	default:
		return claim.Reply{}, fmt.Errorf("claim: step %d is not known", m.Op)
	}
}
