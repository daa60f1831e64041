package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
)

// MaxDatagramBytes is the maximum size of a datagram. It fits common path MTUs, so
// datagrams are not fragmented.
const MaxDatagramBytes = 1400

// quicHeaderMask selects the two leading bits, at least one of which is set in every
// QUIC packet.
const quicHeaderMask = 0xC0

// ErrInvalidDatagram reports a datagram that can't be sent.
var ErrInvalidDatagram = eris.New("datagram is empty, too long or looks like QUIC")

// SendDatagram sends a packet from the address that the endpoint listens on, without
// a QUIC connection. The packet may be lost and is neither encrypted nor
// authenticated; its two leading bits must be zero. It suits short messages to
// changing nodes, which would otherwise need a connection each.
func (e *Endpoint) SendDatagram(address string, packet []byte) error {
	if len(packet) == 0 || len(packet) > MaxDatagramBytes || packet[0]&quicHeaderMask != 0 {
		return fmt.Errorf("send %d bytes to %s: %w", len(packet), address, ErrInvalidDatagram)
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("parse peer address %q: %w", address, err)
	}
	if _, err := e.transport.WriteTo(packet, net.UDPAddrFromAddrPort(to)); err != nil {
		return fmt.Errorf("send datagram to %s: %w", address, err)
	}
	return nil
}

// ReceiveDatagram waits for a packet that is not QUIC and returns its length in bytes.
// The transport queues only a few such packets and drops the rest.
func (e *Endpoint) ReceiveDatagram(ctx context.Context, buffer []byte) (int, error) {
	n, _, err := e.transport.ReadNonQUICPacket(ctx, buffer)
	if err != nil {
		return 0, fmt.Errorf("receive datagram: %w", err)
	}
	return n, nil
}
