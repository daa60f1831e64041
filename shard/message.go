package shard

import "time"

// A Kind says what a Request asks of a member.
type Kind uint8

// The kinds of requests.
const (
	// Renew asks for a lease.
	Renew Kind = iota + 1
	// Append asks to store records.
	Append
	// Seal asks to refuse lower epochs and to hand over the records.
	Seal
	// Copy hands over the records with which an epoch starts.
	Copy
	// Abandon takes a Seal back; the attempt will never write the row.
	Abandon
	// Release says that the holder acts no more in its epoch.
	Release
)

// A Request is a message to one member. It may be delivered late, repeatedly or never.
type Request struct {
	Kind Kind     `cbor:"1,keyasint"`
	To   MemberID `cbor:"2,keyasint"`
	// Epoch and Attempt name the sender: a holder, or a taker of that epoch.
	Epoch   Epoch     `cbor:"3,keyasint"`
	Attempt AttemptID `cbor:"4,keyasint"`
	// Sent is when a Renew was sent, by the holder's clock since it began.
	Sent time.Duration `cbor:"5,keyasint,omitempty"`
	// Previous is the attempt that holds the epoch before, for a Seal.
	Previous AttemptID `cbor:"6,keyasint,omitempty"`
	// Records are what Append and Copy hand over.
	Records []Record `cbor:"7,keyasint,omitempty"`
	// Part is which part of a Copy the Records are, from 0, of Parts in all.
	Part  int `cbor:"9,keyasint,omitempty"`
	Parts int `cbor:"10,keyasint,omitempty"`
	// After asks a Seal for the records whose keys follow it.
	After string `cbor:"11,keyasint,omitempty"`
	// Settled is the sequence up to which every member has stored all records.
	Settled uint64 `cbor:"8,keyasint,omitempty"`
}

// A Status is a member's verdict on a request.
type Status uint8

// The verdicts.
const (
	// Done means that the member did what was asked.
	Done Status = iota + 1
	// Waiting means that the member promised the Seal, and that a lease which it
	// granted may still be in use.
	Waiting
	// Superseded means that the member promised or entered a higher epoch.
	Superseded
	// NotMember means that the member has no memory of the epoch.
	NotMember
)

// An Answer is a member's answer to a Request.
type Answer struct {
	Kind    Kind      `cbor:"1,keyasint"`
	From    MemberID  `cbor:"2,keyasint"`
	Epoch   Epoch     `cbor:"3,keyasint"`
	Attempt AttemptID `cbor:"4,keyasint"`
	Status  Status    `cbor:"5,keyasint"`
	// Sent repeats that of a Renew.
	Sent time.Duration `cbor:"6,keyasint,omitempty"`
	// Wait is when to ask again after Waiting.
	Wait time.Duration `cbor:"7,keyasint,omitempty"`
	// Records are what a Seal hands over, removals included, in the order of their
	// keys; More says that others follow.
	Records []Record `cbor:"8,keyasint,omitempty"`
	More    bool     `cbor:"11,keyasint,omitempty"`
	// After repeats that of a Seal, Part that of a Copy.
	After string `cbor:"12,keyasint,omitempty"`
	Part  int    `cbor:"13,keyasint,omitempty"`
	// Stored are the sequences of the records of an Append.
	Stored []uint64 `cbor:"9,keyasint,omitempty"`
	// Highest is the highest epoch that the member knows of.
	Highest Epoch `cbor:"10,keyasint,omitempty"`
}

// answer returns the answer to a request with a verdict.
func (r Request) answer(from MemberID, status Status) Answer {
	return Answer{
		Kind:    r.Kind,
		From:    from,
		Epoch:   r.Epoch,
		Attempt: r.Attempt,
		Status:  status,
		Sent:    r.Sent,
		After:   r.After,
		Part:    r.Part,
	}
}
