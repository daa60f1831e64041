package fleet

import (
	"fmt"
	"slices"
	"time"
)

// maxDepartures bounds the departures that are kept of one host. A host has one backend
// server at a time, and announcements of earlier ones are late by seconds only.
const maxDepartures = 8

// A Departure is the notice of a backend server that it leaves.
type Departure struct {
	ID string `json:"id"`
	// Born is its start time in Unix milliseconds by its own clock; zero if not reported.
	Born int64 `json:"born,omitempty"`
	// At is the time of the notice in Unix milliseconds by the clock of its host; zero if
	// not known.
	At int64 `json:"at,omitempty"`
}

// Covers reports whether a backend server with a start time in Unix milliseconds is the one
// that leaves. If one of the start times was not reported, it is assumed to be unless it
// started after the notice.
func (d Departure) Covers(id string, born int64) bool {
	if d.ID == "" || d.ID != id {
		return false
	}
	if d.Born != 0 && born != 0 {
		return d.Born == born
	}
	return born <= d.At
}

func (d Departure) validate(now time.Time) error {
	switch {
	case d.ID == "" || len(d.ID) > maxNameBytes:
		return fmt.Errorf("departure of an id of %d bytes: %w", len(d.ID), ErrInvalidRecord)
	case !PlausibleStart(now, d.Born):
		return fmt.Errorf("departure of a backend server started at %d: %w", d.Born, ErrInvalidRecord)
	case !PlausibleStart(now, d.At):
		return fmt.Errorf("departure at %d: %w", d.At, ErrInvalidRecord)
	}
	return nil
}

// Departures are the last departures of a host's backend servers, the latest last. The zero
// value is empty. They are immutable.
type Departures []Departure

// With returns d with another departure as the latest. One of the same process is replaced,
// and the oldest is dropped if there are too many.
func (d Departures) With(latest Departure) Departures {
	all := make(Departures, 0, len(d)+1)
	for _, known := range d {
		if known.ID == latest.ID && known.Born == latest.Born {
			latest.At = max(latest.At, known.At)
			continue
		}
		all = append(all, known)
	}
	all = append(all, latest)
	return all[max(0, len(all)-maxDepartures):]
}

// Merge returns d with departures that were read from elsewhere. Those of d count as later.
func (d Departures) Merge(earlier Departures) Departures {
	all := earlier
	for _, known := range d {
		all = all.With(known)
	}
	return all
}

// Cover reports whether a backend server with a start time in Unix milliseconds leaves.
func (d Departures) Cover(id string, born int64) bool {
	return slices.ContainsFunc(d, func(departure Departure) bool { return departure.Covers(id, born) })
}

// Concern reports whether the departures matter for a host with a backend server: it leaves,
// or one leaves that started later and was not announced.
func (d Departures) Concern(b Backend) bool {
	if b.ID == "" {
		return len(d) > 0
	}
	return b.State == Draining || slices.ContainsFunc(d, func(departure Departure) bool { return departure.Born > b.Born })
}

// Validate returns an error that wraps ErrInvalidRecord if d can't be the departures of a
// host's backend servers.
func (d Departures) Validate(now time.Time) error {
	if len(d) > maxDepartures {
		return fmt.Errorf("%d departures: %w", len(d), ErrInvalidRecord)
	}
	for _, departure := range d {
		if err := departure.validate(now); err != nil {
			return err
		}
	}
	return nil
}
