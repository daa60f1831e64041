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

// watchPeriod is how often the node looks whether its backend server is silent.
const watchPeriod = 200 * time.Millisecond

// Limits of what a backend server may announce.
const (
	maxSlots       = 100_000
	maxConnections = 100_000
)

// errAnnouncement reports an announcement that makes no sense.
var errAnnouncement = eris.New("announcement is refused")

// Announce takes note of what the backend server says of itself.
func (n *Node) Announce(s backend.Server) error {
	if err := checkAnnouncement(s); err != nil {
		return err
	}
	if snapshot, ok := n.configuration.Current(); ok {
		if _, known := snapshot.Service(s.Service); !known {
			return fmt.Errorf("%w: no service is named %q", errAnnouncement, s.Service)
		}
	}
	n.mu.Lock()
	n.announced = announcement{server: s, at: n.clock.Now()}
	n.mu.Unlock()
	n.backend.SetServer(s)
	n.admission.SetCapacity(admission.Capacity{Slots: s.Slots, Connections: s.Connections})
	n.offer()
	return nil
}

func checkAnnouncement(s backend.Server) error {
	if s.Service == "" {
		return fmt.Errorf("%w: it names no service", errAnnouncement)
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return fmt.Errorf("%w: slots %d is not between 1 and %d", errAnnouncement, s.Slots, maxSlots)
	}
	if s.Connections < 1 || s.Connections > maxConnections {
		return fmt.Errorf("%w: connections %d is not between 1 and %d", errAnnouncement, s.Connections, maxConnections)
	}
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%w: address %q is not an IP address with a port", errAnnouncement, s.Address)
	}
	return nil
}

// watchBackend withdraws the offer of a backend server that fell silent.
func (n *Node) watchBackend(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			n.offer()
		case <-ctx.Done():
			return
		}
	}
}

// offer tells other nodes what this one offers at present.
func (n *Node) offer() {
	n.mu.Lock()
	a := n.announced
	n.mu.Unlock()
	service := a.server.Service
	if service != "" && n.clock.Now().Sub(a.at) > n.settings.Timing.AnnounceExpiry {
		service = ""
	}
	n.directory.Advertise(service, a.server.Draining || n.leaving.Load())
}
