// Package partition shows network partitions to nodes that run in one process:
// it drops packets between groups of addresses.
package partition

import (
	"fmt"
	"net"
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
)

// A Network says which addresses are cut off from each other. It is safe for
// concurrent use.
type Network struct {
	// mu guards groups.
	mu     sync.RWMutex
	groups map[string]int
}

// New returns a Network without cuts.
func New() *Network { return &Network{groups: map[string]int{}} }

// Cut puts addresses into a group of their own, which only they can reach.
func (n *Network) Cut(group int, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.groups[a] = group
	}
}

// Heal lets all addresses reach each other.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.groups)
}

// Option makes an endpoint on an address take part in the network.
func (n *Network) Option(own string) peer.Option {
	return peer.WithSocketWrapper(func(c net.PacketConn) net.PacketConn {
		return &socket{PacketConn: c, network: n, own: own}
	})
}

func (n *Network) linked(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.groups[a] == n.groups[b]
}

// A socket drops the packets that a cut stops.
type socket struct {
	net.PacketConn
	network *Network
	own     string
}

// ReadFrom returns the next packet that no cut stops.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.PacketConn.ReadFrom(p)
		if err != nil {
			return n, from, fmt.Errorf("read packet: %w", err)
		}
		if s.network.linked(s.own, from.String()) {
			return n, from, nil
		}
	}
}

// WriteTo sends a packet unless a cut stops it.
func (s *socket) WriteTo(p []byte, to net.Addr) (int, error) {
	if !s.network.linked(s.own, to.String()) {
		return len(p), nil
	}
	n, err := s.PacketConn.WriteTo(p, to)
	if err != nil {
		return n, fmt.Errorf("write packet: %w", err)
	}
	return n, nil
}
