// Package relay forwards requests from callers to backend servers and returns the
// answers. An Entry runs on the node that the caller connects to, an Executor on the
// host of the backend server. Both require that each attempt of a caller has its own id
// and reaches one node only. Work then runs at most once if no node resends a request
// that may have run.
//
// Package ingress reads callers' requests, package trunk transports orders between
// nodes, and a Dialect maps the header fields.
package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

// An Order is the message that asks a node to run a request on its backend server.
type Order struct {
	Context call.Context `cbor:"1,keyasint"`
	Method  string       `cbor:"2,keyasint"`
	// URI is the path with its query, as sent by the caller.
	URI string `cbor:"3,keyasint"`
	// Authority is the host in the caller's request.
	Authority string            `cbor:"4,keyasint"`
	Headers   []exchange.Header `cbor:"5,keyasint,omitempty"`
	Body      []byte            `cbor:"6,keyasint,omitempty"`
	// Caller is the service of the host on which the request entered.
	Caller string `cbor:"7,keyasint"`
	// Backend is the id of the backend server that the sender picked.
	Backend string `cbor:"8,keyasint"`
	// Route is the route of this call; the context holds that of its root request.
	Route string `cbor:"9,keyasint"`
	// Status is what the backend server stated last, as far as the sender knows. A node
	// that has restarted uses it until its backend server answers.
	Status exchange.BackendStatus `cbor:"10,keyasint,omitzero"`
}

// subject returns the context by which package quarantine recognizes the request when it is
// sent again. A call can be made again for another client account.
func (o Order) subject() call.Context {
	if o.Context.Depth > 0 {
		return o.Context.WithAccount("")
	}
	return o.Context
}

// Metadata is the information that a caller sends about a request in header fields.
type Metadata struct {
	// ID is the caller's id of this attempt.
	ID string
	// Parent is the id of the running request that made this call; empty for root
	// requests and if it is not known.
	Parent string
	// Key is the client account's key; empty if none was sent.
	Key string
	// Timeout is how long the caller waits; zero if it sent no timeout.
	Timeout time.Duration
}

// A ResponseKind classifies a response of a backend server.
type ResponseKind int

// The kinds of responses.
const (
	// Answered is the backend server's answer to the request.
	Answered ResponseKind = iota
	// NotRun means that the backend server did not run the request.
	NotRun
	// Misdirected means that the address now belongs to another backend server,
	// which did not run the request.
	Misdirected
	// Unrelated is not a response to the request.
	Unrelated
	// Unidentified means that the request was not run, or that one sent earlier on the same
	// connection was not: the response doesn't say to which request it belongs.
	Unidentified
)

// match returns how a response of the kind relates to the request.
func (k ResponseKind) match() backend.Match {
	switch k {
	case Answered:
		return backend.Answered
	case NotRun, Misdirected:
		return backend.Rejected
	case Unidentified:
		return backend.Ambiguous
	default:
		return backend.Unrelated
	}
}

// A Dialect reads and writes the header fields that a deployment uses.
type Dialect interface {
	// Metadata reads the caller's header fields; the error says what is malformed.
	Metadata(request *fasthttp.Request) (Metadata, error)
	// Headers returns the header fields that are forwarded to a backend server.
	Headers(request *fasthttp.Request) []exchange.Header
	// Prepare fills in the request to a backend server; remaining is the time until the
	// deadline.
	Prepare(request *fasthttp.Request, o Order, remaining time.Duration)
	// Classify classifies a response to the request with the id. first reports that the
	// connection has carried no earlier request.
	Classify(response *fasthttp.Response, id string, first bool) ResponseKind
	// Status reads what the backend server states about itself in a response. The
	// error says which fields are malformed; they are missing in the result.
	Status(response *fasthttp.Response) (exchange.BackendStatus, error)
	// PromisesNotRun reports whether a status tells callers that a request was not run and
	// never will be.
	PromisesNotRun(status int) bool
	// Answer fills in the response to the caller's request.
	Answer(response *fasthttp.Response, id string, a exchange.Answer)
}
