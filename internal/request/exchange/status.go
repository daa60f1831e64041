package exchange

import "math"

// A BackendStatus is what a backend server states about itself in its answers.
type BackendStatus struct {
	// Limited reports whether the backend server limits its requests. RequestLimit is
	// then the number of requests per second that it accepts from all nodes together.
	Limited      bool    `cbor:"1,keyasint,omitempty"`
	RequestLimit float64 `cbor:"2,keyasint,omitempty"`
	// Leaving reports that the backend server will shut down soon.
	Leaving bool `cbor:"3,keyasint,omitempty"`
}

// Valid reports whether the request limit is a number of requests. Statuses of other nodes
// may not be.
func (s BackendStatus) Valid() bool {
	return s.RequestLimit >= 0 && !math.IsInf(s.RequestLimit, 1)
}

// WithRequestLimit returns the status with a request limit, in requests per second.
func (s BackendStatus) WithRequestLimit(perSecond float64) BackendStatus {
	s.Limited, s.RequestLimit = true, perSecond
	return s
}

// WithLeaving returns the status of a backend server that will shut down soon.
func (s BackendStatus) WithLeaving() BackendStatus {
	s.Leaving = true
	return s
}

// A BackendReport is the status that a node reports of its backend server.
type BackendReport struct {
	// ID identifies the backend server, Born is its start time in Unix milliseconds by
	// its own clock, which tells restarts under one ID apart.
	ID     string        `cbor:"1,keyasint"`
	Born   int64         `cbor:"2,keyasint,omitempty"`
	Status BackendStatus `cbor:"3,keyasint"`
}
