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

// handoverPollPeriod is the time between two checks whether the next holder has the shard.
const handoverPollPeriod = 25 * time.Millisecond

type memberRequest struct {
	Shard   string        `cbor:"1,keyasint"`
	Request shard.Request `cbor:"2,keyasint"`
}

type shardRequest struct {
	Shard string `cbor:"1,keyasint"`
}

// A Status is a node's view of a shard.
type Status struct {
	// ID is the identity of the node's member.
	ID shard.MemberID `cbor:"1,keyasint"`
	// Held reports whether the node holds the shard.
	Held bool `cbor:"2,keyasint,omitempty"`
	// Holder is the host that the node last saw as the holder; empty if unknown.
	Holder string `cbor:"3,keyasint,omitempty"`
	Epoch  uint64 `cbor:"4,keyasint,omitempty"`
	// Members is the size of the group of the epoch.
	Members int `cbor:"5,keyasint,omitempty"`
}

// HandleMember handles a message of KindMember.
func (s *Service) HandleMember(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
	var m memberRequest
	if err := codec.Decoder.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode request to a member: %w", err)
	}
	st := s.state(m.Shard)
	resp := s.handle(st, m.Request)
	if resp.Kind == shard.Renew && resp.Status == shard.Done {
		s.recordRenewal(st, from.Host)
	}
	return encodeReply(resp)
}

// HandleStatus handles a message of KindStatus.
func (s *Service) HandleStatus(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	var m shardRequest
	if err := codec.Decoder.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode question about a shard: %w", err)
	}
	return encodeReply(s.Status(m.Shard))
}

// HandleTakeover handles a message of KindTakeover by starting a takeover of the shard.
func (s *Service) HandleTakeover(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
	var m shardRequest
	if err := codec.Decoder.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode handover: %w", err)
	}
	nodes := slices.DeleteFunc(s.deps.Directory.Nodes(), func(n Node) bool { return n.Host == from.Host })
	st := s.state(m.Shard)
	st.mu.Lock()
	if st.spec.Size > 0 && st.takeover == nil && !st.forming {
		st.handover = true
		s.startTakeover(st, nodes)
	}
	st.mu.Unlock()
	return encodeReply(s.Status(m.Shard))
}

// Status returns this node's view of a shard.
func (s *Service) Status(name string) Status {
	st := s.state(name)
	st.mu.Lock()
	defer st.mu.Unlock()
	status := Status{ID: s.memberID, Holder: st.holderHost(), Epoch: uint64(st.row.Epoch), Members: len(st.row.Members)}
	if st.holder != nil && st.holder.Held(s.deps.Clock.Now()) {
		status.Held = true
		status.Holder = s.self.Host
	}
	return status
}

// HolderAddress returns the peer address of a shard's holder. If it is unknown,
// HolderAddress starts a lookup in the background for later calls and returns false.
func (s *Service) HolderAddress(name string) (string, bool) {
	if _, ok := s.Held(name); ok {
		return s.self.Address, true
	}
	st := s.state(name)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.holderAddress != "" {
		return st.holderAddress, true
	}
	if !st.locating && st.spec.Size > 0 {
		st.locating = true
		s.submit(func() { s.locateHolder(st) }, func() { st.locating = false })
	}
	return "", false
}

// InvalidateHolder drops the cached address of a holder that turned out to be wrong.
func (s *Service) InvalidateHolder(name string) {
	st := s.state(name)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.holderAddress = ""
}

// locateHolder queries the candidates of a shard for its holder and caches the address.
func (s *Service) locateHolder(st *shardState) {
	nodes := s.deps.Directory.Nodes()
	order := rankNodes(st.spec, nodes)
	found := ""
	for _, n := range order[:min(len(order), maxCandidates)] {
		status := s.Status(st.name)
		if n.Host != s.self.Host && s.call(n.Address, KindStatus, shardRequest{Shard: st.name}, &status) != nil {
			continue
		}
		host := status.Holder
		if holder, ok := findNode(nodes, host); ok {
			found = holder.Address
		}
		if status.Held {
			break
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.locating = false
	st.holderAddress = found
}

// probeHolder checks whether the last known holder has a lease, and reads the row if not.
func (s *Service) probeHolder(st *shardState) {
	st.mu.Lock()
	host := st.holderHost()
	st.mu.Unlock()
	var status Status
	if address, ok := s.addressOf(host); ok && host != s.self.Host {
		if s.call(address, KindStatus, shardRequest{Shard: st.name}, &status) != nil {
			status.Held = false
		}
	}
	var row shard.Row
	err := ErrNotHeld
	if !status.Held {
		row, _, err = s.readRow(st.name)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.probing = false
	if status.Held {
		st.holderSeen = s.deps.Clock.Now()
		return
	}
	if err == nil && row.Epoch >= st.row.Epoch {
		changed := row.Epoch > st.row.Epoch
		st.row = row
		st.renewerHost = ""
		st.member.ObserveRow(row)
		if changed {
			st.holderSeen = s.deps.Clock.Now()
		}
	}
}

// HandOverAll hands over the shards that this node holds and waits until other nodes hold
// them, or until the context ends.
func (s *Service) HandOverAll(ctx context.Context) {
	for _, spec := range s.deps.Specs() {
		if _, ok := s.Held(spec.Name); ok {
			s.handOver(ctx, spec)
		}
	}
}

func (s *Service) handOver(ctx context.Context, spec Spec) {
	nodes := slices.DeleteFunc(s.deps.Directory.Nodes(), func(n Node) bool { return n.Host == s.self.Host })
	for _, n := range rankNodes(spec, nodes) {
		var status Status
		if s.call(n.Address, KindTakeover, shardRequest{Shard: spec.Name}, &status) != nil {
			continue
		}
		st := s.state(spec.Name)
		st.mu.Lock()
		if st.holder != nil {
			s.sendAll(st, st.holder.Release())
		}
		st.mu.Unlock()
		s.awaitHolder(ctx, n, spec.Name)
		return
	}
}

// awaitHolder waits until a node holds a shard.
func (s *Service) awaitHolder(ctx context.Context, n Node, name string) {
	for ctx.Err() == nil {
		var status Status
		if s.call(n.Address, KindStatus, shardRequest{Shard: name}, &status) == nil && status.Held {
			return
		}
		select {
		case <-time.After(handoverPollPeriod):
		case <-ctx.Done():
		}
	}
}

func encodeReply(message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	return body, nil
}
