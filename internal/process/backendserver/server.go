// Package backendserver tracks the backend server on the node's host: its last
// announcement, whether it accepts requests, and the connections to it. After a backend
// server has announced that it drains, it gets no more requests once the drain time is
// over, even if other nodes still have its old state. Package relay sends it requests;
// package sidecar publishes its record.
package backendserver

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

const (
	// drainMargin is subtracted from the drain time to allow for the time that a request
	// takes to reach the backend server.
	drainMargin = 300 * time.Millisecond
	// maxConnectFailures is the number of connection failures since the last
	// announcement after which the backend server is down until its next one.
	maxConnectFailures = 3
	// maxMissedAnnouncements is the number of announcement intervals without an
	// announcement after which a backend server is down.
	maxMissedAnnouncements = 3
)

// An Announcement is the state that a backend server reports to its node.
type Announcement struct {
	ID       string
	Service  string
	Address  string
	Slots    int
	Draining bool
	// ColdLeft is how long it stays cold.
	ColdLeft time.Duration
	// Sequence increases with each announcement of a process.
	Sequence int64
	// Born is its start time in Unix milliseconds by its own clock; zero if not
	// reported.
	Born int64
}

// Errors of announcements that are not applied.
var (
	// ErrStale reports that a newer announcement has been applied.
	ErrStale = errors.New("a newer announcement has been applied")
	// ErrInvalid reports that values of an announcement are out of range.
	ErrInvalid = errors.New("the announcement is not valid")
	// ErrForeign reports that an announcement is not from this host's backend server.
	ErrForeign = errors.New("the announcement is not from this host's backend server")
)

// maxSequence is above any number of announcements that a process makes.
const maxSequence = 1 << 53

// maxColdLeft is far above the time for which any backend server is cold.
const maxColdLeft = time.Hour

// validate returns an error that wraps ErrInvalid if the values are out of range. Another
// writer may have sent them, and a start time or sequence that is too large would make all
// later announcements stale.
func (a Announcement) validate(now time.Time) error {
	switch {
	case !fleet.PlausibleSlots(a.Slots):
		return fmt.Errorf("%w: %d slots", ErrInvalid, a.Slots)
	case a.Sequence < 0 || a.Sequence > maxSequence:
		return fmt.Errorf("%w: sequence %d", ErrInvalid, a.Sequence)
	case !fleet.PlausibleStart(now, a.Born):
		return fmt.Errorf("%w: started at %d", ErrInvalid, a.Born)
	case a.ColdLeft < 0 || a.ColdLeft > maxColdLeft:
		return fmt.Errorf("%w: cold for %v", ErrInvalid, a.ColdLeft)
	}
	return nil
}

// Settings are the settings of a Server.
type Settings struct {
	// Address is the address of the backend server, Service the service that it runs.
	Address string
	Service string
	// Connections is the maximum number of connections to it.
	Connections int
	// DrainTime is the time for which it still gets requests after it starts to drain.
	DrainTime time.Duration
	// AnnounceInterval is the expected time between two announcements.
	AnnounceInterval time.Duration
	// BoundedWhenCold reports whether the requests to it are bounded while it is cold.
	// Otherwise it never counts as cold.
	BoundedWhenCold bool
}

// A Server tracks the backend server of a host. It is safe for concurrent use.
type Server struct {
	settings Settings
	clock    clock.Clock
	log      event.Log
	changed  func()

	// mu guards the fields below.
	mu          sync.Mutex
	link        *backend.Link
	record      fleet.Backend
	sequence    int64
	announcedAt time.Time
	// drainingSince is the start of the drain; zero while there is none.
	drainingSince   time.Time
	connectFailures int
	// departures are those of this backend server and of earlier ones, also those that an
	// earlier process of the node acknowledged.
	departures fleet.Departures
	// stated is what the backend server stated last in its answers.
	stated statement
	cold   coldness
	usage  Usage
}

// New returns a Server without a record. changed is called, without a lock held, after
// the record has changed.
func New(s Settings, c clock.Clock, l event.Log, changed func()) *Server {
	return &Server{
		settings: s, clock: c, log: l, changed: changed,
		link: backend.NewLink(s.Address, s.Connections, c),
	}
}

// SetDrainTime sets the time for which the backend server still gets requests after it
// starts to drain.
func (s *Server) SetDrainTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.DrainTime = d
}

// Backend returns the current record of the backend server.
func (s *Server) Backend() fleet.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record
}

// Departures returns the departures that later processes of the node have to know.
func (s *Server) Departures() fleet.Departures {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.departures
}

// Announce applies an announcement. The error is or wraps ErrStale, ErrForeign or ErrInvalid.
func (s *Server) Announce(a Announcement) error {
	if a.ID == "" || a.Service != s.settings.Service || a.Address != s.settings.Address {
		return fmt.Errorf("%w: %q of service %q at %s", ErrForeign, a.ID, a.Service, a.Address)
	}
	if err := a.validate(s.clock.Now()); err != nil {
		return err
	}
	s.mu.Lock()
	now := s.clock.Now()
	before := s.record
	stale := s.stale(a)
	switch {
	case !stale:
		s.apply(now, a)
	case a.Draining && a.ID == s.record.ID && a.Born == s.record.Born:
		// A late announcement is acknowledged too, and a process doesn't stop draining.
		s.startDrain(now)
	}
	after := s.record
	s.mu.Unlock()
	if after != before {
		s.log.Emit(event.BackendAnnounced, log.Fields{
			"backend-server": after.ID, "service": after.Service, "state": after.State, "slots": after.Slots,
			"born": after.Born, "sequence": a.Sequence, "before": before.ID, "state-before": before.State,
		})
		s.changed()
	}
	if stale {
		return ErrStale
	}
	return nil
}

// RestoreDraining applies a record that an earlier process of the node published, if its
// state is Draining. That backend server then doesn't become serving again.
func (s *Server) RestoreDraining(b fleet.Backend) {
	if b.State == fleet.Draining && b.ID != "" {
		s.RestoreDepartures(fleet.Departures{{ID: b.ID, Born: b.Born}})
	}
}

// RestoreDepartures applies departures that an earlier process of the node acknowledged.
// These backend servers then don't become serving again.
func (s *Server) RestoreDepartures(earlier fleet.Departures) {
	s.mu.Lock()
	merged := s.departures.Merge(earlier)
	changed := !slices.Equal(merged, s.departures)
	s.departures = merged
	b := s.record
	draining := b.ID != "" && s.drainingSince.IsZero() && merged.Cover(b.ID, b.Born)
	if draining {
		s.markDrainedEarlier()
	}
	s.mu.Unlock()
	if draining {
		s.log.Emit(event.BackendLeft, log.Fields{"backend-server": b.ID, "known": true, "why": "it was draining before the node restarted"})
	}
	if draining || changed {
		s.changed()
	}
}

// markDrainedEarlier marks the backend server as draining since an earlier process of
// the node. Its drain time may be over and counts as such. mu must be held.
func (s *Server) markDrainedEarlier() {
	now := s.clock.Now()
	s.record.State = fleet.Draining
	s.drainingSince = now.Add(-s.settings.DrainTime)
	s.recordDeparture(now, s.record.ID, s.record.Born)
}

// recordDeparture records that a backend server leaves. mu must be held.
func (s *Server) recordDeparture(now time.Time, id string, born int64) {
	if id != "" && !s.departures.Cover(id, born) {
		s.departures = s.departures.With(fleet.Departure{ID: id, Born: born, At: now.UnixMilli()})
	}
}

// stale reports whether an announcement is older than the record. A restart under the
// same ID is detected by its start time. The first announcement isn't stale, also if a
// departure is known. mu must be held.
func (s *Server) stale(a Announcement) bool {
	if s.announcedAt.IsZero() {
		return false
	}
	if a.Born != s.record.Born {
		return a.Born < s.record.Born
	}
	return a.ID == s.record.ID && a.Sequence <= s.sequence
}

// apply applies a newer announcement. mu must be held.
func (s *Server) apply(now time.Time, a Announcement) {
	first := s.announcedAt.IsZero()
	if a.ID != s.record.ID || a.Born != s.record.Born {
		s.link.Close()
		s.link = backend.NewLink(s.settings.Address, s.settings.Connections, s.clock)
		s.drainingSince = time.Time{}
		s.stated = statement{}
		s.cold = coldness{}
	}
	s.sequence = a.Sequence
	s.announcedAt = now
	s.connectFailures = 0
	s.record.ID, s.record.Service, s.record.Slots, s.record.Born = a.ID, a.Service, a.Slots, a.Born
	s.cold.announced(now, a.ColdLeft)
	s.updateCold(now, "it announced it")
	s.record.State = fleet.Serving
	switch {
	case !s.drainingSince.IsZero():
		s.record.State = fleet.Draining
	case first && a.Draining, s.departures.Cover(a.ID, a.Born):
		s.markDrainedEarlier()
	case a.Draining:
		s.startDrain(now)
	}
}

// startDrain marks the backend server as draining. mu must be held.
func (s *Server) startDrain(now time.Time) {
	s.record.State = fleet.Draining
	if s.drainingSince.IsZero() {
		s.drainingSince = now
	}
	s.recordDeparture(now, s.record.ID, s.record.Born)
}

// Leave records that a backend server is shutting down. It still gets requests for the
// drain time. born is its start time in Unix milliseconds, or zero if not reported. If
// this process has no announcement of it yet, later ones don't make it serving: the
// notice was acknowledged, and its announcements may arrive late. The error wraps
// ErrInvalid.
func (s *Server) Leave(id string, born int64) error {
	now := s.clock.Now()
	if err := (fleet.Departures{{ID: id, Born: born}}).Validate(now); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	s.mu.Lock()
	before, departures := s.record, s.departures
	known := id == s.record.ID && (born == 0 || born == s.record.Born)
	switch {
	case known:
		s.startDrain(now)
	case s.announcedAt.IsZero():
		// Other nodes may hold the record that an earlier process published.
		s.record = fleet.Backend{ID: id, Born: born}
		s.markDrainedEarlier()
	default:
		s.recordDeparture(now, id, born)
	}
	changed := s.record != before || !slices.Equal(s.departures, departures)
	s.mu.Unlock()
	s.log.Emit(event.BackendLeft, log.Fields{"backend-server": id, "known": known})
	if changed {
		s.changed()
	}
	return nil
}

// Ready returns the ID of the backend server and the connections to it. The error is a
// refusal.Refusal if it may not get requests of the service.
func (s *Server) Ready(now time.Time, service string) (string, *backend.Link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.record
	switch {
	case b.ID == "" || b.Service != service:
		return "", nil, refusal.New(refusal.NoBackendServer)
	case b.State == fleet.Down:
		return "", nil, refusal.New(refusal.NoBackendServer).WithDetail("the backend server is down")
	case b.State == fleet.Draining && now.Sub(s.drainingSince) > s.settings.DrainTime-drainMargin:
		return "", nil, refusal.New(refusal.Leaving).WithDetail("the backend server is leaving")
	}
	return b.ID, s.link, nil
}

// MarkLost records that the backend server could not be reached, or that another one
// answered at its address.
func (s *Server) MarkLost(id string) {
	s.mu.Lock()
	before, lost := s.record, false
	if id == s.record.ID && s.record.State == fleet.Serving {
		s.connectFailures++
		s.assumeCold(s.clock.Now(), "it was unreachable")
		lost = s.connectFailures >= maxConnectFailures
	}
	if lost {
		s.record.State = fleet.Down
	}
	changed := s.record != before
	s.mu.Unlock()
	if lost {
		s.log.Emit(event.BackendDown, log.Fields{"backend-server": id, "why": "unreachable"})
	}
	if changed {
		s.changed()
	}
}

// CheckAnnouncements marks the backend server as down if its announcements are overdue, and
// as warm if the time for which it was cold is over.
func (s *Server) CheckAnnouncements() {
	s.mu.Lock()
	before, now := s.record, s.clock.Now()
	silence := now.Sub(s.announcedAt)
	s.updateCold(now, "")
	lost := s.record.State == fleet.Serving && silence > maxMissedAnnouncements*s.settings.AnnounceInterval
	if lost {
		s.record.State = fleet.Down
	}
	id, changed := s.record.ID, s.record != before
	s.mu.Unlock()
	if lost {
		s.log.Emit(event.BackendDown, log.Fields{"backend-server": id, "why": "silent", "quiet": silence.String()})
	}
	if changed {
		s.changed()
	}
}
