package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxSlots is far above the slots of any backend server.
	maxSlots = 1 << 20
	// maxClockSkew bounds how far the clocks of two hosts are apart. Start times beyond it
	// lie in the future, and no later start could replace them.
	maxClockSkew = 24 * time.Hour
	// maxNameBytes bounds the names of hosts, zones, services and backend servers.
	maxNameBytes = 256
)

// ErrInvalidRecord reports a record that describes no host. Another writer of the platform's
// table may have left it.
var ErrInvalidRecord = eris.New("the record describes no host")

// Validate returns an error that wraps ErrInvalidRecord if h can't be the record of a host.
func (h Host) Validate(now time.Time) error {
	address, err := netip.ParseAddrPort(h.Address)
	switch {
	case h.Name == "" || len(h.Name) > maxNameBytes:
		return fmt.Errorf("name of %d bytes: %w", len(h.Name), ErrInvalidRecord)
	case h.Zone == "" || len(h.Zone) > maxNameBytes:
		return fmt.Errorf("zone of %d bytes: %w", len(h.Zone), ErrInvalidRecord)
	case err != nil || address.Port() == 0:
		return fmt.Errorf("address %.*q: %w", maxNameBytes, h.Address, ErrInvalidRecord)
	case h.Incarnation < 0 || !PlausibleStart(now, h.Incarnation):
		return fmt.Errorf("incarnation %d: %w", h.Incarnation, ErrInvalidRecord)
	case h.Revision < 0:
		return fmt.Errorf("revision %d: %w", h.Revision, ErrInvalidRecord)
	}
	return h.Backend.validate(now)
}

// PlausibleStart reports whether a process can have started at a time in Unix milliseconds,
// or zero if it is not reported.
func PlausibleStart(now time.Time, started int64) bool {
	return started >= 0 && started <= now.Add(maxClockSkew).UnixMilli()
}

// PlausibleSlots reports whether a backend server can announce a number of slots.
func PlausibleSlots(slots int) bool { return slots > 0 && slots <= maxSlots }

// validate returns an error that wraps ErrInvalidRecord if b describes neither a backend
// server nor that there is none.
func (b Backend) validate(now time.Time) error {
	switch {
	case b == Backend{}:
		return nil
	case len(b.ID) > maxNameBytes || len(b.Service) > maxNameBytes:
		return fmt.Errorf("backend server with a name of %d bytes: %w", max(len(b.ID), len(b.Service)), ErrInvalidRecord)
	case b.Slots < 0 || b.Slots > maxSlots: // Zero if only the departure is known.
		return fmt.Errorf("backend server with %d slots: %w", b.Slots, ErrInvalidRecord)
	case !slices.Contains([]State{Serving, Draining, Down}, b.State):
		return fmt.Errorf("backend server in state %.*q: %w", maxNameBytes, b.State, ErrInvalidRecord)
	case !PlausibleStart(now, b.Born):
		return fmt.Errorf("backend server started at %d: %w", b.Born, ErrInvalidRecord)
	}
	return nil
}
