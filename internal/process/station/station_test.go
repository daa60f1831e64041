package station_test

import (
	"errors"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/process/station"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

func newStation() (*station.Station, *clock.Fake, *int) {
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	changes := 0
	s := station.New(station.Settings{
		Address: "127.0.0.1:1", Service: "rounds", Connections: 4, Drain: 2 * time.Second, Beat: time.Second,
	}, c, event.NewLog(&log.Logger{Handler: discard.New()}), func() { changes++ })
	return s, c, &changes
}

func announcement(id string, born, sequence int64) station.Announcement {
	return station.Announcement{
		ID: id, Service: "rounds", Address: "127.0.0.1:1", Slots: 16, Born: born, Sequence: sequence,
	}
}

func TestStationHandsOutWhatAnnouncedItself(t *testing.T) {
	is := is.New(t)
	s, c, changes := newStation()
	_, _, err := s.Ready(c.Now(), "rounds")
	is.True(err != nil) // nothing has announced itself
	is.NoErr(s.Announce(announcement("i-1", 100, 1)))
	id, link, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	is.Equal(id, "i-1")
	is.True(link != nil)
	_, _, err = s.Ready(c.Now(), "ledger")
	is.True(err != nil) // another service
	is.NoErr(s.Announce(announcement("i-1", 100, 2)))
	is.Equal(*changes, 1) // the second says nothing new
}

func TestDelayedAnnouncementsChangeNothing(t *testing.T) {
	is := is.New(t)
	s, c, _ := newStation()
	is.NoErr(s.Announce(announcement("i-1", 100, 5)))
	is.NoErr(s.Announce(announcement("i-2", 200, 1)))
	late := announcement("i-1", 100, 9)
	late.Draining = true
	is.True(errors.Is(s.Announce(late), station.ErrStale)) // of one that has crashed
	repeated := announcement("i-2", 200, 1)
	repeated.Draining = true
	is.True(errors.Is(s.Announce(repeated), station.ErrStale)) // overtaken by a later one
	s.Leave("i-1")
	id, _, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	is.Equal(id, "i-2")
}

func TestRestartUnderTheSameIDBeginsAnew(t *testing.T) {
	is := is.New(t)
	s, c, _ := newStation()
	is.NoErr(s.Announce(announcement("i-1", 100, 50)))
	s.Leave("i-1")
	c.Advance(time.Minute)
	_, _, err := s.Ready(c.Now(), "rounds")
	is.True(err != nil)
	is.NoErr(s.Announce(announcement("i-1", 200, 1))) // its counts start anew
	_, _, err = s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	is.Equal(s.Backend().State, fleet.Serving)
}

func TestForeignAnnouncementsAreRejected(t *testing.T) {
	is := is.New(t)
	s, _, changes := newStation()
	other := announcement("i-1", 100, 1)
	other.Service = "ledger"
	is.True(errors.Is(s.Announce(other), station.ErrForeign))
	elsewhere := announcement("i-1", 100, 1)
	elsewhere.Address = "127.0.0.1:2"
	is.True(errors.Is(s.Announce(elsewhere), station.ErrForeign))
	is.True(errors.Is(s.Announce(announcement("", 100, 1)), station.ErrForeign))
	is.Equal(*changes, 0)
}

func TestLeavingBackendServerTakesRequestsForItsDrainTimeOnly(t *testing.T) {
	is := is.New(t)
	for _, leave := range []func(*station.Station) error{
		func(s *station.Station) error { s.Leave("i-1"); return nil }, // some never say that they drain
		func(s *station.Station) error {
			a := announcement("i-1", 100, 2)
			a.Draining = true
			return s.Announce(a)
		},
	} {
		s, c, _ := newStation()
		is.NoErr(s.Announce(announcement("i-1", 100, 1)))
		is.NoErr(leave(s))
		is.Equal(s.Backend().State, fleet.Draining)
		c.Advance(time.Second)
		_, _, err := s.Ready(c.Now(), "rounds")
		is.NoErr(err) // other nodes may not have heard yet
		is.NoErr(s.Announce(announcement("i-1", 100, 3)))
		is.Equal(s.Backend().State, fleet.Draining) // it does not come back
		c.Advance(time.Second)
		_, _, err = s.Ready(c.Now(), "rounds")
		var r refusal.Refusal
		is.True(errors.As(err, &r))
		is.Equal(r.Reason, refusal.Leaving)
		is.Equal(r.Outcome, refusal.NotRun)
	}
}

// The pattern: the node starts again while its backend server is leaving.
func TestLeavingOutlivesTheProcess(t *testing.T) {
	is := is.New(t)
	draining := announcement("i-1", 100, 7)
	draining.Draining = true
	s, c, _ := newStation()
	is.NoErr(s.Announce(draining)) // the first that this process hears
	_, _, err := s.Ready(c.Now(), "rounds")
	is.True(err != nil) // nobody knows when it began to leave

	before := fleet.Backend{ID: "i-1", Service: "rounds", Born: 100, State: fleet.Draining}
	s, c, _ = newStation()
	s.Remember(before)
	is.NoErr(s.Announce(announcement("i-1", 100, 7)))
	_, _, err = s.Ready(c.Now(), "rounds")
	is.True(err != nil)

	s, c, changes := newStation()
	is.NoErr(s.Announce(announcement("i-1", 100, 7)))
	s.Remember(before) // learned later
	_, _, err = s.Ready(c.Now(), "rounds")
	is.True(err != nil)
	is.Equal(*changes, 2)

	is.NoErr(s.Announce(announcement("i-1", 200, 1)))
	_, _, err = s.Ready(c.Now(), "rounds")
	is.NoErr(err) // another start of the backend server
}

func TestUnreachableOrSilentBackendServerIsDownUntilItAnnouncesItself(t *testing.T) {
	is := is.New(t)
	s, c, _ := newStation()
	is.NoErr(s.Announce(announcement("i-1", 100, 1)))
	s.Lost("i-1")
	s.Lost("i-0")
	_, _, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err) // one failed connect is no proof
	s.Lost("i-1")
	s.Lost("i-1")
	_, _, err = s.Ready(c.Now(), "rounds")
	is.True(err != nil)
	is.NoErr(s.Announce(announcement("i-1", 100, 2)))
	_, _, err = s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	c.Advance(3500 * time.Millisecond)
	s.Check()
	is.Equal(s.Backend().State, fleet.Down)
}
