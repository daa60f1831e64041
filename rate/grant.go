package rate

import (
	"time"

	"github.com/rotisserie/eris"
)

// ErrInvalidGrantRequest reports a request with quantities that no bucket can have sent.
var ErrInvalidGrantRequest = eris.New("ask for tokens is not valid")

// A GrantRequest is what a bucket reports to and requests from a parent bucket. It is also
// the only way in which tokens and limits are returned. The sender reduces its limit to
// Kept before it sends the request, so a lost GrantRequest loses tokens.
type GrantRequest struct {
	// Account is the name of the client account.
	Account string `cbor:"1,keyasint"`
	// Sequence increases with each GrantRequest of a sender to one receiver. The sender
	// accepts a Grant only if it answers its latest GrantRequest.
	Sequence uint64 `cbor:"2,keyasint"`
	// Applied is the sequence of the last Grant that the sender put into effect. Tokens
	// of later ones never arrived, so the receiver takes them back.
	Applied uint64 `cbor:"3,keyasint,omitempty"`
	// Kept is the limit that the sender still holds under that Grant.
	Kept Limit `cbor:"4,keyasint,omitempty"`
	// Floor is the part of Kept that the sender has granted to its children.
	Floor Limit `cbor:"5,keyasint,omitempty"`
	// Returned is the number of tokens returned.
	Returned Quantity `cbor:"6,keyasint,omitempty"`
	// Demand is the sender's demand in tokens per second.
	Demand Quantity `cbor:"7,keyasint,omitempty"`
	// Need is the number of tokens wanted at once, for waiting requests.
	Need Quantity `cbor:"8,keyasint,omitempty"`
	// Prefetch is the number of further tokens wanted ahead of demand.
	Prefetch Quantity `cbor:"9,keyasint,omitempty"`
	// Loan marks a GrantRequest of one zone to another, which is served from what the
	// lender does not need itself.
	Loan bool `cbor:"10,keyasint,omitempty"`
}

// Valid reports whether a bucket can have sent the GrantRequest. Check requests of other
// processes before Serve.
func (r GrantRequest) Valid() bool {
	return r.Account != "" && r.Applied < r.Sequence && r.Kept.valid() && r.Floor.valid() &&
		r.Returned.valid() && r.Demand.valid() && r.Need.valid() && r.Prefetch.valid()
}

// A Grant answers a GrantRequest. It replaces the Grant that was in effect before. It
// expires one Duration after the receiver sent the GrantRequest, by the receiver's clock.
// The grantor counts the same duration plus the drift margin from its later answer, so
// the clocks need not be synchronized.
type Grant struct {
	// Account is the name of the client account.
	Account string `cbor:"1,keyasint"`
	// Sequence is the sequence of the GrantRequest.
	Sequence uint64 `cbor:"2,keyasint"`
	// Limit is what the receiver may use or grant to its children.
	Limit Limit `cbor:"3,keyasint,omitempty"`
	// Target is the limit that the receiver should shrink to if it is below Limit.
	Target Limit `cbor:"4,keyasint,omitempty"`
	// Tokens are added to the receiver's bucket, up to Limit.Burst.
	Tokens Quantity `cbor:"5,keyasint,omitempty"`
	// Duration is the lifetime of the Grant.
	Duration time.Duration `cbor:"6,keyasint,omitempty"`
	// Extends reports that a new holder extends a Grant of its predecessor; it is void
	// if that Grant has expired meanwhile.
	Extends bool `cbor:"7,keyasint,omitempty"`
	// RetryAfter estimates when the grantor will have a token to spare; zero if now.
	RetryAfter time.Duration `cbor:"8,keyasint,omitempty"`
}

// valid reports whether a bucket can have sent the Grant.
func (g Grant) valid() bool {
	return g.Limit.valid() && g.Target.valid() && g.Tokens.valid() && g.RetryAfter >= 0
}

// A Request carries the GrantRequests of one sender to one receiver.
type Request struct {
	// Sender is the identity of the sending process; it changes on a restart.
	Sender string `cbor:"1,keyasint"`
	// Receiver is the name of the bucket holder that is asked.
	Receiver string `cbor:"2,keyasint"`
	// GrantRequests has at most one GrantRequest for each account.
	GrantRequests []GrantRequest `cbor:"3,keyasint"`
}

// A Reply carries the Grants that answer a Request.
type Reply struct {
	// Receiver is the name of the bucket holder that answers.
	Receiver string `cbor:"1,keyasint"`
	// Grants has at most one Grant for each GrantRequest.
	Grants []Grant `cbor:"2,keyasint"`
}
