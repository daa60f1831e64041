// Package refusal defines the refusals of requests: the reason, whether the request
// ran, and when to retry it.
package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// An Outcome says whether a refused request ran.
type Outcome string

// The outcomes of a refused request.
const (
	// NotRun means that no backend server received the request.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
	// Failed means that a backend server ran the request and it failed.
	Failed Outcome = "failed"
)

// A Reason is the code of a refusal, in kebab case.
type Reason string

// A kind holds the properties of all refusals with one reason.
type kind struct {
	status   int
	sentence string
}

// The reasons for refusals.
const (
	BadRequest            Reason = "bad-request"
	RequestTooLarge       Reason = "request-too-large"
	MissingKey            Reason = "missing-key"
	UnknownKey            Reason = "unknown-key"
	WithdrawnKey          Reason = "withdrawn-key"
	UnknownService        Reason = "unknown-service"
	UnknownClass          Reason = "unknown-class"
	UnknownRequestToken   Reason = "unknown-request-token"
	MissingIdempotencyKey Reason = "missing-idempotency-key"
	RateExceeded          Reason = "rate-exceeded"
	RateUnavailable       Reason = "rate-unavailable"
	Overloaded            Reason = "overloaded"
	DeadlinePassed        Reason = "deadline-passed"
	NoBackendServer       Reason = "no-backend-server"
	Unreachable           Reason = "unreachable"
	AttemptsUsedUp        Reason = "attempts-used-up"
	Quarantined           Reason = "quarantined"
	ClaimUnavailable      Reason = "claim-unavailable"
	AlreadyRunning        Reason = "already-running"
	OutcomeUnknown        Reason = "outcome-unknown"
	BackendLost           Reason = "backend-server-lost"
	NoConfiguration       Reason = "no-configuration"
	Leaving               Reason = "leaving"
	Cancelled             Reason = "cancelled"
	IncompatiblePeer      Reason = "incompatible-peer"
	KeysUnconfirmed       Reason = "keys-unconfirmed"
	Evacuated             Reason = "evacuated"
	StatusWithheld        Reason = "status-withheld"
)

var kinds = map[Reason]kind{
	BadRequest:            {http.StatusBadRequest, "The request could not be read"},
	RequestTooLarge:       {http.StatusRequestEntityTooLarge, "The request is larger than this system accepts"},
	MissingKey:            {http.StatusUnauthorized, "The request came without a client account key"},
	UnknownKey:            {http.StatusUnauthorized, "The key that came with the request is not known"},
	WithdrawnKey:          {http.StatusUnauthorized, "The key that came with the request has been withdrawn"},
	UnknownService:        {http.StatusNotFound, "There is no service of that name"},
	UnknownClass:          {http.StatusNotFound, "No class of work covers that method and path"},
	UnknownRequestToken:   {http.StatusForbidden, "The call does not belong to a request that is running here"},
	MissingIdempotencyKey: {http.StatusBadRequest, "This work may run only once, so the request needs an Idempotency-Key header"},
	RateExceeded:          {http.StatusTooManyRequests, "The client account has used up its rate"},
	RateUnavailable:       {http.StatusServiceUnavailable, "The client account's rate could not be checked just now"},
	Overloaded:            {http.StatusServiceUnavailable, "There is more work than capacity, and more important work goes first"},
	DeadlinePassed:        {http.StatusGatewayTimeout, "The time allowed for the request ran out"},
	NoBackendServer:       {http.StatusServiceUnavailable, "No backend server offers the service at present"},
	Unreachable:           {http.StatusServiceUnavailable, "No host that offers the service could be reached"},
	AttemptsUsedUp:        {http.StatusServiceUnavailable, "The request has been tried as often as is allowed"},
	Quarantined:           {http.StatusServiceUnavailable, "Requests like this one crashed backend servers, so it was held back"},
	ClaimUnavailable:      {http.StatusServiceUnavailable, "It could not be made sure that the work runs only once"},
	AlreadyRunning:        {http.StatusConflict, "A request with the same Idempotency-Key is still running"},
	OutcomeUnknown:        {http.StatusConflict, "An earlier request with the same Idempotency-Key may have run, and its answer is not known"},
	BackendLost:           {http.StatusBadGateway, "The backend server was lost before its answer was complete"},
	NoConfiguration:       {http.StatusServiceUnavailable, "This host has no configuration yet"},
	Leaving:               {http.StatusServiceUnavailable, "This host is shutting down"},
	Cancelled:             {statusClientClosedRequest, "The caller gave up before the answer was ready"},
	KeysUnconfirmed:       {http.StatusServiceUnavailable, "This host has been cut off for so long that it can't tell which keys still work"},
	Evacuated:             {http.StatusServiceUnavailable, "The availability zone of this host is evacuated"},
	StatusWithheld:        {http.StatusBadGateway, "The backend server failed the request, and its status would have said that the request was not run"},
	IncompatiblePeer:      {http.StatusServiceUnavailable, "Another host speaks a different version of the internal protocol"},
}

// CausedByCaller reports whether refusals with this reason are caused by the caller,
// not by the system.
func (r Reason) CausedByCaller() bool {
	switch r {
	case BadRequest, RequestTooLarge, MissingKey, UnknownKey, WithdrawnKey, UnknownService, UnknownClass,
		UnknownRequestToken, MissingIdempotencyKey, RateExceeded, AlreadyRunning, Cancelled:
		return true
	}
	return false
}

// statusClientClosedRequest is the conventional status for a request that its caller
// cancelled.
const statusClientClosedRequest = 499

// A Refusal says why a request has no answer from a backend server. It is a value and
// implements error. The outcome NotRun guarantees that no backend server received the
// request.
type Refusal struct {
	// Reason is the code of the refusal.
	Reason Reason `cbor:"1,keyasint" json:"reason"`
	// Outcome says whether the request ran.
	Outcome Outcome `cbor:"2,keyasint" json:"outcome"`
	// RequestID is the id of the request.
	RequestID string `cbor:"3,keyasint,omitempty" json:"request-id,omitempty"`
	// Class is the class of the request, if known.
	Class string `cbor:"4,keyasint,omitempty" json:"class,omitempty"`
	// Target is the target latency of the class, if known.
	Target time.Duration `cbor:"5,keyasint,omitempty" json:"target,omitempty"`
	// RetryAfter is the delay before a retry; zero if it is not known.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty" json:"retry-after,omitempty"`
	// Host is the host that refused the request.
	Host string `cbor:"7,keyasint,omitempty" json:"host,omitempty"`
	// Detail is a short explanation. It never contains a key.
	Detail string `cbor:"8,keyasint,omitempty" json:"detail,omitempty"`
}

// New returns the refusal of a request that was not run.
func New(reason Reason) Refusal { return Refusal{Reason: reason, Outcome: NotRun} }

// WithOutcome returns the refusal with another outcome.
func (r Refusal) WithOutcome(outcome Outcome) Refusal {
	r.Outcome = outcome
	return r
}

// WithClass returns the refusal with the class and its target latency.
func (r Refusal) WithClass(name string, target time.Duration) Refusal {
	r.Class = name
	r.Target = target
	return r
}

// WithRequest returns the refusal with the request id and the refusing host.
func (r Refusal) WithRequest(requestID, host string) Refusal {
	r.RequestID = requestID
	r.Host = host
	return r
}

// WithRetryAfter returns the refusal with the delay before a retry.
func (r Refusal) WithRetryAfter(wait time.Duration) Refusal {
	r.RetryAfter = wait
	return r
}

// WithDetail returns the refusal with a short explanation.
func (r Refusal) WithDetail(detail string) Refusal {
	r.Detail = detail
	return r
}

// Status returns the HTTP status code of the refusal.
func (r Refusal) Status() int {
	if k, ok := kinds[r.Reason]; ok {
		return k.status
	}
	return http.StatusServiceUnavailable
}

// Sentence returns the refusal as English text: the reason, the class with its target
// latency, whether the request ran, and when to retry it.
func (r Refusal) Sentence() string {
	text := "The request was refused"
	if k, ok := kinds[r.Reason]; ok {
		text = k.sentence
	}
	if r.Detail != "" {
		text += " (" + r.Detail + ")"
	}
	text += "."
	if r.Class != "" {
		text += fmt.Sprintf(" Its class is %q, which should be answered within %s.", r.Class, r.Target)
	}
	text += " " + r.outcomeSentence()
	if r.RetryAfter > 0 {
		text += fmt.Sprintf(" Try again after %s.", r.RetryAfter.Round(time.Millisecond))
	}
	return text
}

// Error returns the reason, followed by the sentence.
func (r Refusal) Error() string { return string(r.Reason) + ": " + r.Sentence() }

func (r Refusal) outcomeSentence() string {
	switch r.Outcome {
	case NotRun:
		return "It was not run, so it is safe to send again."
	case Failed:
		return "It ran and failed."
	default:
		return "It may have run; its outcome is not known."
	}
}
