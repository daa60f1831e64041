// Package station knows the backend server beside the node: what it announced
// last, whether it takes requests, and the connections to it. A backend server
// that has said it leaves is handed nothing more after a short time, whatever
// other nodes still believe. Package relay hands requests over; package sidecar
// publishes the record.
package station

import (
	"errors"
	"fmt"
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
	// drainMargin is kept back from the drain time for a request's way to the
	// backend server.
	drainMargin = 300 * time.Millisecond
	// unreachableLimit is the number of failed connects in a row after which the
	// backend server counts as down until it announces itself again.
	unreachableLimit = 3
	// missedBeats is the number of announcements without which a backend server
	// counts as down.
	missedBeats = 3
)

// An Announcement is what a backend server says of itself.
type Announcement struct {
	ID       string
	Service  string
	Address  string
	Slots    int
	Draining bool
	// ColdLeft is how much longer it is slow after its start.
	ColdLeft time.Duration
	// Sequence grows with each announcement of one start.
	Sequence int64
	// Born is the start in Unix milliseconds by its own clock; zero if not said.
	Born int64
}

// Errors of announcements that change nothing.
var (
	// ErrStale says that a newer announcement is known.
	ErrStale = errors.New("a newer announcement is known")
	// ErrForeign says that an announcement is not of this host's backend server.
	ErrForeign = errors.New("the announcement is not of this host's backend server")
)

// Settings are what a Station is made with.
type Settings struct {
	// Address is where the backend server listens, Service what it runs.
	Address string
	Service string
	// Connections bounds the connections to it.
	Connections int
	// Drain is how long it takes requests after it said that it leaves.
	Drain time.Duration
	// Beat is the usual time between two announcements.
	Beat time.Duration
}

// A Station is one host's backend server. It is safe for concurrent use.
type Station struct {
	settings Settings
	clock    clock.Clock
	log      event.Log
	changed  func()

	// mu guards all below.
	mu       sync.Mutex
	link     *backend.Link
	backend  fleet.Backend
	sequence int64
	heard    time.Time
	// leftAt is when it said that it leaves.
	leftAt      time.Time
	unreachable int
	// left is what an earlier process of the node said of a backend server that
	// was leaving.
	left fleet.Backend
}

// New returns a Station without a backend server. changed is called without a
// lock when the record has changed.
func New(s Settings, c clock.Clock, l event.Log, changed func()) *Station {
	return &Station{
		settings: s, clock: c, log: l, changed: changed,
		link: backend.NewLink(s.Address, s.Connections, c),
	}
}

// SetDrain changes how long the backend server takes requests after it said that
// it leaves.
func (s *Station) SetDrain(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.Drain = d
}

// Backend returns the present record of the backend server.
func (s *Station) Backend() fleet.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backend
}

// Announce takes in an announcement. The error is ErrStale or ErrForeign.
func (s *Station) Announce(a Announcement) error {
	if a.ID == "" || a.Service != s.settings.Service || a.Address != s.settings.Address {
		return fmt.Errorf("%w: %q of service %q at %s", ErrForeign, a.ID, a.Service, a.Address)
	}
	s.mu.Lock()
	now := s.clock.Now()
	if s.stale(a) {
		s.mu.Unlock()
		return ErrStale
	}
	before := s.backend
	s.accept(now, a)
	after := s.backend
	s.mu.Unlock()
	if after != before {
		s.log.Emit(event.BackendAnnounced, log.Fields{
			"backend-server": after.ID, "service": after.Service, "state": after.State, "slots": after.Slots,
			"born": after.Born, "sequence": a.Sequence, "before": before.ID, "state-before": before.State,
		})
		s.changed()
	}
	return nil
}

// Remember takes in what an earlier process of the node had published. A backend
// server that it had let go is not taken back.
func (s *Station) Remember(b fleet.Backend) {
	if b.State != fleet.Draining || b.ID == "" {
		return
	}
	s.mu.Lock()
	s.left = b
	leaves := s.backend.ID == b.ID && s.backend.Born == b.Born && s.leftAt.IsZero()
	if leaves {
		s.leaveBefore()
	}
	s.mu.Unlock()
	if leaves {
		s.log.Emit(event.BackendLeft, log.Fields{"backend-server": b.ID, "known": true, "why": "an earlier process said so"})
		s.changed()
	}
}

// leaveBefore notes that the backend server began to leave in the time of an
// earlier process, so that its drain time may be over; mu must be held.
func (s *Station) leaveBefore() {
	s.backend.State = fleet.Draining
	s.leftAt = s.clock.Now().Add(-s.settings.Drain)
}

// stale reports whether an announcement is older than what is known; mu must be
// held. A restart under the same id is known by its time of start.
func (s *Station) stale(a Announcement) bool {
	if a.Born != s.backend.Born {
		return a.Born < s.backend.Born
	}
	return a.ID == s.backend.ID && a.Sequence <= s.sequence
}

// accept takes in a newer announcement; mu must be held.
func (s *Station) accept(now time.Time, a Announcement) {
	first := s.backend.ID == ""
	if a.ID != s.backend.ID || a.Born != s.backend.Born {
		s.link.Close()
		s.link = backend.NewLink(s.settings.Address, s.settings.Connections, s.clock)
		s.leftAt = time.Time{}
		s.backend.WarmAt = 0
	}
	s.sequence = a.Sequence
	s.heard = now
	s.unreachable = 0
	s.backend.ID, s.backend.Service, s.backend.Slots, s.backend.Born = a.ID, a.Service, a.Slots, a.Born
	if s.backend.WarmAt == 0 {
		s.backend.WarmAt = now.Add(a.ColdLeft).UnixMilli()
	}
	s.backend.State = fleet.Serving
	switch {
	case !s.leftAt.IsZero():
		s.backend.State = fleet.Draining
	case first && a.Draining, a.ID == s.left.ID && a.Born == s.left.Born:
		s.leaveBefore()
	case a.Draining:
		s.leave(now)
	}
}

// leave notes that the backend server leaves; mu must be held.
func (s *Station) leave(now time.Time) {
	s.backend.State = fleet.Draining
	if s.leftAt.IsZero() {
		s.leftAt = now
	}
}

// Leave takes in that a backend server is going. It serves as long as a draining one.
func (s *Station) Leave(id string) {
	s.mu.Lock()
	known := id == s.backend.ID && id != ""
	if known {
		s.leave(s.clock.Now())
	}
	s.mu.Unlock()
	s.log.Emit(event.BackendLeft, log.Fields{"backend-server": id, "known": known})
	if known {
		s.changed()
	}
}

// Ready returns the id of the backend server and the connections to it. The error
// is a refusal.Refusal if it may not be handed a request of a service.
func (s *Station) Ready(now time.Time, service string) (string, *backend.Link, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.backend
	switch {
	case b.ID == "" || b.Service != service:
		return "", nil, refusal.New(refusal.NoBackendServer)
	case b.State == fleet.Down:
		return "", nil, refusal.New(refusal.NoBackendServer).WithDetail("the backend server is down")
	case b.State == fleet.Draining && now.Sub(s.leftAt) > s.settings.Drain-drainMargin:
		return "", nil, refusal.New(refusal.Leaving).WithDetail("the backend server is leaving")
	}
	return b.ID, s.link, nil
}

// Lost takes in that the backend server could not be reached or that another one
// answered in its place.
func (s *Station) Lost(id string) {
	s.mu.Lock()
	lost := false
	if id == s.backend.ID && s.backend.State == fleet.Serving {
		s.unreachable++
		lost = s.unreachable >= unreachableLimit
	}
	if lost {
		s.backend.State = fleet.Down
	}
	s.mu.Unlock()
	if lost {
		s.log.Emit(event.BackendDown, log.Fields{"backend-server": id, "why": "unreachable"})
		s.changed()
	}
}

// Check marks the backend server as down when its announcements stay out.
func (s *Station) Check() {
	s.mu.Lock()
	quiet := s.clock.Now().Sub(s.heard)
	lost := s.backend.State == fleet.Serving && quiet > missedBeats*s.settings.Beat
	if lost {
		s.backend.State = fleet.Down
	}
	id := s.backend.ID
	s.mu.Unlock()
	if lost {
		s.log.Emit(event.BackendDown, log.Fields{"backend-server": id, "why": "silent", "quiet": quiet.String()})
		s.changed()
	}
}
