package ownership

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/shard"
)

// handoverPoll is the time between two looks whether a successor holds a shard.
const handoverPoll = 25 * time.Millisecond

type memberMessage struct {
	Shard   string        `cbor:"1,keyasint"`
	Request shard.Request `cbor:"2,keyasint"`
}

type statusMessage struct {
	Shard string `cbor:"1,keyasint"`
}

// A Status is what a node knows of a shard.
type Status struct {
	// ID is the node's member of the shard.
	ID shard.MemberID `cbor:"1,keyasint"`
	// Held says that the node holds the shard.
	Held bool `cbor:"2,keyasint,omitempty"`
	// Holder is the host that the node thinks to be the holder; empty if unknown.
	Holder string `cbor:"3,keyasint,omitempty"`
	Epoch  uint64 `cbor:"4,keyasint,omitempty"`
	// Members is the size of the group of the epoch.
	Members int `cbor:"5,keyasint,omitempty"`
}

// HandleMember answers a message of KindMember.
func (s *Service) HandleMember(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
	var m memberMessage
	if err := codec.Decoder.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode request to a member: %w", err)
	}
	k := s.slot(m.Shard)
	a := s.handle(k, m.Request)
	if a.Kind == shard.Renew && a.Status == shard.Done {
		s.renewed(k, from.Host)
	}
	return encode(a)
}

// HandleStatus answers a message of KindStatus.
func (s *Service) HandleStatus(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	var m statusMessage
	if err := codec.Decoder.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode question about a shard: %w", err)
	}
	return encode(s.Status(m.Shard))
}

// HandleTakeover answers a message of KindTake: the node begins to take the shard.
func (s *Service) HandleTakeover(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
	var m statusMessage
	if err := codec.Decoder.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode handover: %w", err)
	}
	nodes := slices.DeleteFunc(s.parts.Directory.Nodes(), func(n Node) bool { return n.Host == from.Host })
	k := s.slot(m.Shard)
	k.mu.Lock()
	if k.spec.Size > 0 && k.taker == nil && !k.forming {
		k.urgent = true
		s.form(k, nodes)
	}
	k.mu.Unlock()
	return encode(s.Status(m.Shard))
}

// Status returns what this node knows of a shard.
func (s *Service) Status(name string) Status {
	k := s.slot(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	status := Status{ID: s.id, Holder: k.holderHost(), Epoch: uint64(k.row.Epoch), Members: len(k.row.Members)}
	if k.holder != nil && k.holder.Held(s.parts.Clock.Now()) {
		status.Held = true
		status.Holder = s.self.Host
	}
	return status
}

// HolderAddress returns the peer address of a shard's holder, if known. If it is not
// known, it is looked for, and a later call returns it.
func (s *Service) HolderAddress(name string) (string, bool) {
	if _, ok := s.Held(name); ok {
		return s.self.Address, true
	}
	k := s.slot(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.located != "" {
		return k.located, true
	}
	if !k.locating && k.spec.Size > 0 {
		k.locating = true
		s.submit(func() { s.locate(k) }, func() { k.locating = false })
	}
	return "", false
}

// InvalidateHolder drops the address of a holder that turned out not to be one.
func (s *Service) InvalidateHolder(name string) {
	k := s.slot(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.located = ""
}

// locate asks the candidates of a shard who holds it.
func (s *Service) locate(k *slot) {
	nodes := s.parts.Directory.Nodes()
	order := ordered(k.spec, nodes)
	found := ""
	for _, n := range order[:min(len(order), candidates)] {
		status := s.Status(k.name)
		if n.Host != s.self.Host && s.call(n.Address, KindStatus, statusMessage{Shard: k.name}, &status) != nil {
			continue
		}
		host := status.Holder
		if holder, ok := find(nodes, host); ok {
			found = holder.Address
		}
		if status.Held {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.locating = false
	k.located = found
}

// probe looks whether the holder that the table names is in effect.
func (s *Service) probe(k *slot) {
	k.mu.Lock()
	host := k.holderHost()
	k.mu.Unlock()
	var status Status
	if address, ok := s.addressOf(host); ok && host != s.self.Host {
		if s.call(address, KindStatus, statusMessage{Shard: k.name}, &status) != nil {
			status.Held = false
		}
	}
	var row shard.Row
	err := ErrNotHeld
	if !status.Held {
		row, _, err = s.readRow(k.name)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.probing = false
	if status.Held {
		k.heard = s.parts.Clock.Now()
		return
	}
	if err == nil && row.Epoch >= k.row.Epoch {
		changed := row.Epoch > k.row.Epoch
		k.row = row
		k.renewer = ""
		k.member.ObserveRow(row)
		if changed {
			k.heard = s.parts.Clock.Now()
		}
	}
}

// HandOverAll hands the shards that this node holds over to others and waits until they
// hold them, or until the context ends.
func (s *Service) HandOverAll(ctx context.Context) {
	for _, spec := range s.parts.Specs() {
		if _, ok := s.Held(spec.Name); ok {
			s.handOver(ctx, spec)
		}
	}
}

func (s *Service) handOver(ctx context.Context, spec Spec) {
	nodes := slices.DeleteFunc(s.parts.Directory.Nodes(), func(n Node) bool { return n.Host == s.self.Host })
	for _, n := range ordered(spec, nodes) {
		var status Status
		if s.call(n.Address, KindTakeover, statusMessage{Shard: spec.Name}, &status) != nil {
			continue
		}
		k := s.slot(spec.Name)
		k.mu.Lock()
		if k.holder != nil {
			s.sendAll(k, k.holder.Release())
		}
		k.mu.Unlock()
		s.awaitHolder(ctx, n, spec.Name)
		return
	}
}

// awaitHolder waits until a node holds a shard.
func (s *Service) awaitHolder(ctx context.Context, n Node, name string) {
	for ctx.Err() == nil {
		var status Status
		if s.call(n.Address, KindStatus, statusMessage{Shard: name}, &status) == nil && status.Held {
			return
		}
		select {
		case <-time.After(handoverPoll):
		case <-ctx.Done():
		}
	}
}

func encode(message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	return body, nil
}
