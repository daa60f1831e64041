package node

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
)

// announceCheckInterval is how often the node checks that the announcement of its
// backend server hasn't expired.
const announceCheckInterval = 200 * time.Millisecond

// Upper limits for the values that a backend server may announce.
const (
	maxSlots       = 100_000
	maxConnections = 100_000
)

// errInvalidAnnouncement reports an announcement with a missing or invalid value.
var errInvalidAnnouncement = eris.New("announcement is refused")

// Announce records the service, address and capacity that the backend server reports.
// It returns an error if a value is invalid or the service isn't configured.
func (n *Node) Announce(s backend.Server) error {
	if err := validateAnnouncement(s); err != nil {
		return err
	}
	if snapshot, ok := n.configuration.Current(); ok {
		if _, known := snapshot.Service(s.Service); !known {
			return fmt.Errorf("%w: no service is named %q", errInvalidAnnouncement, s.Service)
		}
	}
	n.mu.Lock()
	n.lastAnnouncement = announcement{server: s, receivedAt: n.clock.Now()}
	n.mu.Unlock()
	n.backend.SetServer(s)
	n.admission.SetCapacity(admission.Capacity{Slots: s.Slots, Connections: s.Connections})
	n.advertise()
	return nil
}

func validateAnnouncement(s backend.Server) error {
	if s.Service == "" {
		return fmt.Errorf("%w: it names no service", errInvalidAnnouncement)
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return fmt.Errorf("%w: slots %d is not between 1 and %d", errInvalidAnnouncement, s.Slots, maxSlots)
	}
	if s.Connections < 1 || s.Connections > maxConnections {
		return fmt.Errorf("%w: connections %d is not between 1 and %d", errInvalidAnnouncement, s.Connections, maxConnections)
	}
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%w: address %q is not an IP address with a port", errInvalidAnnouncement, s.Address)
	}
	return nil
}

// watchBackend refreshes the advertised service until the context ends. The service is
// withdrawn once the announcement of the backend server has expired.
func (n *Node) watchBackend(ctx context.Context) {
	ticker := time.NewTicker(announceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.advertise()
		case <-ctx.Done():
			return
		}
	}
}

// advertise publishes the service of the backend server and whether the node is leaving
// to the other nodes.
func (n *Node) advertise() {
	n.mu.Lock()
	a := n.lastAnnouncement
	n.mu.Unlock()
	service := a.server.Service
	if service != "" && n.clock.Now().Sub(a.receivedAt) > n.settings.Timing.AnnounceExpiry {
		service = ""
	}
	n.directory.Advertise(service, a.server.Draining || n.leaving.Load())
}
