// Package exchange defines the request and the answer of one call as they are sent
// between nodes, independent of the transport protocol.
package exchange

import (
	"slices"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// A Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// malformed reports whether HTTP does not allow the name.
func (h Header) malformed() bool { return !httpguts.ValidHeaderFieldName(h.Name) }

// A Request is one call to a backend server.
type Request struct {
	Context call.Context `cbor:"1,keyasint"`
	Method  string       `cbor:"2,keyasint"`
	// Path is the path with its query, without the service name.
	Path    string   `cbor:"3,keyasint"`
	Headers []Header `cbor:"4,keyasint,omitempty"`
	Body    []byte   `cbor:"5,keyasint,omitempty"`
}

// WithContext returns the request with another call context.
func (r Request) WithContext(c call.Context) Request {
	r.Context = c
	return r
}

// A Load is the load that an executing node reports with each answer.
type Load struct {
	// Host is the reporting host.
	Host string `cbor:"1,keyasint"`
	// AdmittedImportance is the lowest importance that is currently admitted.
	AdmittedImportance int `cbor:"2,keyasint,omitempty"`
	// QueueDelay is how long a request is queued before it runs.
	QueueDelay time.Duration `cbor:"3,keyasint,omitempty"`
	// Running is the number of requests that the backend server is running.
	Running int `cbor:"4,keyasint,omitempty"`
	// FreeSlots is the number of further requests that could run at once.
	FreeSlots int `cbor:"5,keyasint,omitempty"`
}

// A Pressure is the load of the bottleneck service among those that took part in an
// answer. It is returned along the call chain, so that the entry node receives the load
// of services at any depth.
type Pressure struct {
	// Service is the bottleneck service; empty if no node executed the call.
	Service string `cbor:"1,keyasint,omitempty"`
	// AdmittedImportance is the lowest importance admitted there.
	AdmittedImportance int `cbor:"2,keyasint,omitempty"`
	// QueueDelay is how long requests are queued there.
	QueueDelay time.Duration `cbor:"3,keyasint,omitempty"`
	// FreeSlots is the number of further requests that could run there at once.
	FreeSlots int `cbor:"4,keyasint,omitempty"`
	// Shed says that the request or a call below it was refused because of overload.
	Shed bool `cbor:"5,keyasint,omitempty"`
}

// An Answer is the complete answer to a Request, or its refusal.
type Answer struct {
	Status  int      `cbor:"1,keyasint,omitempty"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Body    []byte   `cbor:"3,keyasint,omitempty"`
	// Refusal is set if there is no answer of a backend server.
	Refusal *refusal.Refusal `cbor:"4,keyasint,omitempty"`
	// UnusedAttempts is the number of attempts that the call was allowed but did not use.
	UnusedAttempts int `cbor:"5,keyasint,omitempty"`
	// Load is the executing node's load; its host is empty if no node executed the call.
	Load Load `cbor:"6,keyasint,omitempty"`
	// Pressure is the load of the bottleneck service of the call and those below it.
	Pressure Pressure `cbor:"7,keyasint,omitempty"`
	// Backend is the status of the executing node's backend server, if that has stated
	// any.
	Backend BackendReport `cbor:"8,keyasint,omitzero"`
	// CallFailed says that a call of the request failed before the backend server answered
	// with an error. The call was retried where that is allowed; the request itself is not.
	CallFailed bool `cbor:"9,keyasint,omitempty"`
	// RequestID is the id of the root request, as returned to its caller.
	RequestID string `cbor:"-"`
}

// IsFinalStatus reports whether a status is one of a final answer in HTTP.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// Checked returns the answer, or a refusal with unknown outcome if it has no final status or
// a malformed name of a header field, which a node of another release may send.
func (a Answer) Checked() Answer {
	if a.Refusal != nil {
		return a
	}
	switch {
	case !IsFinalStatus(a.Status):
		return a.lost("its answer had no final status")
	case slices.ContainsFunc(a.Headers, Header.malformed):
		return a.lost("its answer had a malformed header field")
	}
	return a
}

// lost returns the answer with a refusal in place of what the backend server sent.
func (a Answer) lost(detail string) Answer {
	return a.WithRefusal(refusal.New(refusal.BackendLost).WithOutcome(refusal.Unknown).WithDetail(detail))
}

// WithRefusal returns the answer with a refusal in place of what the backend server sent.
func (a Answer) WithRefusal(r refusal.Refusal) Answer {
	a.Refusal, a.Status, a.Headers, a.Body = &r, 0, nil, nil
	return a
}

// Refused returns an answer with a refusal.
func Refused(r refusal.Refusal) Answer { return Answer{Refusal: &r} }

// WithCallFailed returns the answer with the statement whether a call of the request failed.
func (a Answer) WithCallFailed(failed bool) Answer {
	a.CallFailed = failed
	return a
}

// WithUnusedAttempts returns the answer with the number of unused attempts.
func (a Answer) WithUnusedAttempts(attempts int) Answer {
	a.UnusedAttempts = attempts
	return a
}

// WithLoad returns the answer with a load report.
func (a Answer) WithLoad(l Load) Answer {
	a.Load = l
	return a
}

// WithBackend returns the answer with a report on the backend server.
func (a Answer) WithBackend(r BackendReport) Answer {
	a.Backend = r
	return a
}

// WithPressure returns the answer with the pressure of the bottleneck service.
func (a Answer) WithPressure(p Pressure) Answer {
	a.Pressure = p
	return a
}
