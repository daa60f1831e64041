package claims

import (
	"fmt"
	"time"

	"github.com/bilberryvane/bilberryvane/claim"
)

// A step is what a message does to a claim.
type step uint8

const (
	claimStep step = iota + 1
	releaseStep
	completeStep
	loseStep
)

// A message is one step of a claim.
type message struct {
	Shard   string     `cbor:"1,keyasint"`
	Step    step       `cbor:"2,keyasint"`
	Name    claim.Name `cbor:"3,keyasint"`
	Attempt string     `cbor:"4,keyasint"`
	// Limit is how long the attempt may take.
	Limit  time.Duration `cbor:"5,keyasint,omitempty"`
	Answer []byte        `cbor:"6,keyasint,omitempty"`
}

// A reply is the verdict on a message.
type reply struct {
	Verdict    claim.Verdict `cbor:"1,keyasint"`
	Answer     []byte        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// with returns the message of another step of the same attempt.
func (m message) with(s step, limit time.Duration, answer []byte) message {
	m.Step = s
	m.Limit = limit
	m.Answer = answer
	return m
}

// apply takes the step at a ledger.
func (m message) apply(now time.Time, l *claim.Ledger) (claim.Reply, error) {
	switch m.Step {
	case claimStep:
		return l.Claim(now, m.Name, m.Attempt, m.Limit)
	case releaseStep:
		return l.Release(now, m.Name, m.Attempt)
	case completeStep:
		return l.Complete(now, m.Name, m.Attempt, m.Answer)
	case loseStep:
		return l.Lose(now, m.Name, m.Attempt)
	default:
		return claim.Reply{}, fmt.Errorf("claim: step %d is not known", m.Step)
	}
}
