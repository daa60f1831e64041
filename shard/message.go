package shard

import "time"

// A Kind is the operation that a Request asks a member to perform.
type Kind uint8

// The kinds of requests.
const (
	// Renew requests a lease.
	Renew Kind = iota + 1
	// Append stores records.
	Append
	// Seal makes the member reject lower epochs and return its records.
	Seal
	// Copy transfers the initial records of an epoch.
	Copy
	// Abandon reverts a Seal; the attempt will never write the row.
	Abandon
	// Release reports that the holder no longer acts in its epoch.
	Release
)

// A Request is a message to one member. It may be delayed, duplicated or lost.
type Request struct {
	Kind Kind     `cbor:"1,keyasint"`
	To   MemberID `cbor:"2,keyasint"`
	// Epoch and Attempt identify the sender: the holder of the epoch, or a takeover
	// attempt for it.
	Epoch   Epoch     `cbor:"3,keyasint"`
	Attempt AttemptID `cbor:"4,keyasint"`
	// Sent is the send time of a Renew, relative to the holder's creation.
	Sent time.Duration `cbor:"5,keyasint,omitempty"`
	// Previous is the attempt that won the previous epoch. It is set for a Seal.
	Previous AttemptID `cbor:"6,keyasint,omitempty"`
	// Records are the records of an Append or a Copy.
	Records []Record `cbor:"7,keyasint,omitempty"`
	// Part is the index of this part of a Copy, starting at 0, out of Parts.
	Part  int `cbor:"9,keyasint,omitempty"`
	Parts int `cbor:"10,keyasint,omitempty"`
	// After is set for a Seal to request the records with greater keys.
	After string `cbor:"11,keyasint,omitempty"`
	// FullyStored is the sequence number up to which all members have stored the
	// records.
	FullyStored uint64 `cbor:"8,keyasint,omitempty"`
}

// A Status is the result of a request at a member.
type Status uint8

// The results of a request.
const (
	// Done means that the member performed the request.
	Done Status = iota + 1
	// Waiting means that the member accepted the Seal, but a lease that it granted
	// earlier may still be valid.
	Waiting
	// Superseded means that the member has promised or entered a higher epoch, or that
	// the attempt was abandoned.
	Superseded
	// NotMember means that the member has no state of the epoch.
	NotMember
)

// A Response is a member's response to a Request.
type Response struct {
	Kind    Kind      `cbor:"1,keyasint"`
	From    MemberID  `cbor:"2,keyasint"`
	Epoch   Epoch     `cbor:"3,keyasint"`
	Attempt AttemptID `cbor:"4,keyasint"`
	Status  Status    `cbor:"5,keyasint"`
	// Sent repeats Request.Sent of a Renew.
	Sent time.Duration `cbor:"6,keyasint,omitempty"`
	// Wait is the time until the Seal can succeed. It is set with status Waiting.
	Wait time.Duration `cbor:"7,keyasint,omitempty"`
	// Records is one page of the records for a Seal, ordered by key, tombstones
	// included; More reports that further pages follow.
	Records []Record `cbor:"8,keyasint,omitempty"`
	More    bool     `cbor:"11,keyasint,omitempty"`
	// After repeats Request.After of a Seal, and Part repeats Request.Part of a Copy.
	After string `cbor:"12,keyasint,omitempty"`
	Part  int    `cbor:"13,keyasint,omitempty"`
	// Stored lists the sequence numbers of the records of an Append.
	Stored []uint64 `cbor:"9,keyasint,omitempty"`
	// HighestEpoch is the highest epoch that the member has entered or promised.
	HighestEpoch Epoch `cbor:"10,keyasint,omitempty"`
}

// respond returns a response to the request with the given status.
func (r Request) respond(from MemberID, status Status) Response {
	return Response{
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
