package backendserver_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/backendserver"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

// newLoggedServer returns a server that has announced itself, and its log.
func newLoggedServer(t *testing.T) (*backendserver.Server, *clock.Fake, *memory.Handler) {
	t.Helper()
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	handler := memory.New()
	s := backendserver.New(backendserver.Settings{
		Address: "127.0.0.1:1", Service: "rounds", Connections: 4, DrainTime: 2 * time.Second, AnnounceInterval: time.Second,
	}, c, event.NewLog(&log.Logger{Handler: handler, Level: log.DebugLevel}), func() {})
	if err := s.Announce(announcement("i-1", 100, 1)); err != nil {
		t.Fatal(err)
	}
	return s, c, handler
}

// logged returns the lines of an event.
func logged(h *memory.Handler, e event.Event) []*log.Entry {
	var lines []*log.Entry
	for _, line := range h.Entries {
		if line.Fields.Get("event") == e.Number {
			lines = append(lines, line)
		}
	}
	return lines
}

func TestStatusChangesAreLoggedWithRequestsSent(t *testing.T) {
	is := is.New(t)
	s, c, handler := newLoggedServer(t)
	_, link, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	limited := exchange.BackendStatus{}.WithRequestLimit(20)
	s.RecordSent(link, false)
	s.RecordStatus(link, limited, nil)
	for i := range 30 {
		s.RecordSent(link, i < 10)
		s.RecordStatus(link, limited, nil)
	}
	c.Advance(time.Second)
	s.RecordStatus(link, exchange.BackendStatus{}, nil)
	lines := logged(handler, event.BackendStatus)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Fields.Get("request-limit"), 20.0)
	is.Equal(lines[1].Fields.Get("limited"), false)
	is.Equal(lines[1].Fields.Get("request-limit-before"), 20.0)
	is.Equal(lines[1].Fields.Get("sent-since"), int64(30))
	is.Equal(lines[1].Fields.Get("retried-since"), int64(10))
	is.Equal(lines[1].Fields.Get("stated-for"), "1s")
	is.Equal(s.Usage(), backendserver.Usage{Sent: 31, Retried: 10, SentWhileLimited: 30})
}

func TestMalformedStatusIsLoggedOnceAndEndsNoLimit(t *testing.T) {
	is := is.New(t)
	s, c, handler := newLoggedServer(t)
	_, link, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	s.RecordStatus(link, exchange.BackendStatus{}.WithRequestLimit(20), nil)
	for range 5 {
		s.RecordStatus(link, exchange.BackendStatus{}, errors.New(`limit "x" is not a number`))
	}
	is.Equal(s.Status(), exchange.BackendStatus{}.WithRequestLimit(20))
	is.Equal(len(logged(handler, event.StatusUnreadable)), 1)
}

func TestStatusOfReplacedBackendServerIsIgnored(t *testing.T) {
	is := is.New(t)
	s, c, _ := newLoggedServer(t)
	_, old, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	s.RecordStatus(old, exchange.BackendStatus{}.WithRequestLimit(20), nil)
	is.NoErr(s.Announce(announcement("i-1", 200, 1))) // it restarted under the same ID
	is.Equal(s.Status(), exchange.BackendStatus{})
	s.RecordStatus(old, exchange.BackendStatus{}.WithLeaving(), nil)
	is.Equal(s.Status(), exchange.BackendStatus{})
}

// Answers that were sent before a limit was stated can arrive after it.
func TestRequestLimitEndsAfterDelay(t *testing.T) {
	is := is.New(t)
	s, c, _ := newLoggedServer(t)
	_, link, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	limited := exchange.BackendStatus{}.WithRequestLimit(20)
	s.RecordStatus(link, limited, nil)
	c.Advance(100 * time.Millisecond)
	s.RecordStatus(link, exchange.BackendStatus{}, nil)
	is.Equal(s.Status(), limited)
	is.Equal(s.Report(), exchange.BackendReport{ID: "i-1", Born: 100, Status: limited})
	c.Advance(100 * time.Millisecond)
	s.RecordStatus(link, exchange.BackendStatus{}, nil)
	is.Equal(s.Status(), exchange.BackendStatus{})
	is.Equal(s.Report(), exchange.BackendReport{})
}

// The node has restarted; other nodes know the limit of its backend server.
func TestStatusOfOtherNodesIsUsedUntilFirstAnswer(t *testing.T) {
	is := is.New(t)
	s, c, _ := newLoggedServer(t)
	known := exchange.BackendStatus{}.WithRequestLimit(20)
	s.AdoptStatus("i-0", known)
	is.Equal(s.Status(), exchange.BackendStatus{}) // of an earlier backend server
	for _, limit := range []float64{math.NaN(), math.Inf(1), -1} {
		s.AdoptStatus("i-1", exchange.BackendStatus{}.WithRequestLimit(limit))
		is.Equal(s.Status(), exchange.BackendStatus{})
	}
	s.AdoptStatus("i-1", known)
	is.Equal(s.Status(), known)
	_, link, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	s.RecordStatus(link, exchange.BackendStatus{}, nil)
	is.Equal(s.Status(), exchange.BackendStatus{}) // the limit has ended in the meantime
	s.AdoptStatus("i-1", known)
	is.Equal(s.Status(), exchange.BackendStatus{})
}

// A backend server that states its departure in answers only drains like one that
// announces it, whatever its later announcements and answers state.
func TestStatedDepartureStartsDrain(t *testing.T) {
	is := is.New(t)
	s, c, _ := newLoggedServer(t)
	_, link, err := s.Ready(c.Now(), "rounds")
	is.NoErr(err)
	s.RecordStatus(link, exchange.BackendStatus{}.WithLeaving(), nil)
	is.Equal(s.Backend().State, fleet.Draining)
	_, _, err = s.Ready(c.Now(), "rounds")
	is.NoErr(err) // the drain time is not over
	s.RecordStatus(link, exchange.BackendStatus{}, nil)
	is.Equal(s.Report().Status, exchange.BackendStatus{}.WithLeaving())
	is.NoErr(s.Announce(announcement("i-1", 100, 2)))
	is.Equal(s.Backend().State, fleet.Draining)
	c.Advance(2 * time.Second)
	_, _, err = s.Ready(c.Now(), "rounds")
	is.True(err != nil)
	is.NoErr(s.Announce(announcement("i-1", 200, 1))) // it restarted under the same ID
	is.Equal(s.Backend().State, fleet.Serving)
	is.Equal(s.Report(), exchange.BackendReport{})
}
