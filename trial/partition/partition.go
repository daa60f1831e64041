// Package partition simulates network partitions for nodes that run in one process:
// it drops packets between groups of addresses.
package partition

import (
	"fmt"
	"net"
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
)

// A Network holds the partition to which each address belongs. It is safe for
// concurrent use.
type Network struct {
	// mu guards groups.
	mu sync.RWMutex
	// groups holds the group of each isolated address. All others are in group 0.
	groups map[string]int
}

// New returns a Network without partitions.
func New() *Network { return &Network{groups: map[string]int{}} }

// Isolate puts addresses into a group. Packets pass only between addresses of the same
// group.
func (n *Network) Isolate(group int, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.groups[a] = group
	}
}

// Heal removes all partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.groups)
}

// PeerOption returns a peer option that connects the endpoint on the local address to
// the network.
func (n *Network) PeerOption(local string) peer.Option {
	return peer.WithSocketWrapper(func(c net.PacketConn) net.PacketConn {
		return &socket{PacketConn: c, network: n, local: local}
	})
}

func (n *Network) connected(a, b string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.groups[a] == n.groups[b]
}

// A socket drops packets from and to addresses of other groups.
type socket struct {
	net.PacketConn
	network *Network
	local   string
}

// ReadFrom returns the next packet from an address of the same group.
func (s *socket) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := s.PacketConn.ReadFrom(p)
		if err != nil {
			return n, from, fmt.Errorf("read packet: %w", err)
		}
		if s.network.connected(s.local, from.String()) {
			return n, from, nil
		}
	}
}

// WriteTo sends a packet, or drops it without an error if the destination is in
// another group.
func (s *socket) WriteTo(p []byte, to net.Addr) (int, error) {
	if !s.network.connected(s.local, to.String()) {
		return len(p), nil
	}
	n, err := s.PacketConn.WriteTo(p, to)
	if err != nil {
		return n, fmt.Errorf("write packet: %w", err)
	}
	return n, nil
}
