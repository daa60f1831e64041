package fleet_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
)

func TestRecordsOutOfRangeAreInvalid(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	valid := fleet.Host{
		Name: "host-1", Zone: "a", Address: "10.0.0.1:7000", Incarnation: now.UnixMilli(), Revision: 1,
		Backend: fleet.Backend{ID: "i-1", Service: "rounds", Slots: 8, State: fleet.Serving, Born: now.UnixMilli()},
	}
	none := valid
	none.Backend = fleet.Backend{}
	skewed := valid
	skewed.Incarnation = now.Add(time.Minute).UnixMilli()
	departed := valid
	departed.Backend = fleet.Backend{ID: "i-1", State: fleet.Draining, Born: now.UnixMilli()}
	for _, h := range []fleet.Host{valid, none, skewed, departed} {
		is.New(t).NoErr(h.Validate(now))
	}
	for name, change := range map[string]func(*fleet.Host){
		"no name":            func(h *fleet.Host) { h.Name = "" },
		"no zone":            func(h *fleet.Host) { h.Zone = "" },
		"no address":         func(h *fleet.Host) { h.Address = "" },
		"negative port":      func(h *fleet.Host) { h.Address = "10.0.0.1:-1" },
		"port too large":     func(h *fleet.Host) { h.Address = "10.0.0.1:99999" },
		"future incarnation": func(h *fleet.Host) { h.Incarnation = math.MaxInt64 },
		"past incarnation":   func(h *fleet.Host) { h.Incarnation = math.MinInt64 },
		"negative revision":  func(h *fleet.Host) { h.Revision = -1 },
		"unknown state":      func(h *fleet.Host) { h.Backend.State = "resting" },
		"too many slots":     func(h *fleet.Host) { h.Backend.Slots = math.MaxInt64 },
		"negative slots":     func(h *fleet.Host) { h.Backend.Slots = math.MinInt64 },
		"future start":       func(h *fleet.Host) { h.Backend.Born = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			h := valid
			change(&h)
			is.New(t).True(errors.Is(h.Validate(now), fleet.ErrInvalidRecord))
		})
	}
}
