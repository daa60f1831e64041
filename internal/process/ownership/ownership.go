// Package ownership runs the shards of package shard in the node: it grants leases
// and keeps records as a member, takes shards whose holder is gone, keeps the groups
// of the shards it holds complete, and tells other parts what this node holds and
// where the holder of a shard is. Package claims works on shards that it hosts.
package ownership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/shard"
)

// The kinds of messages between nodes about shards.
const (
	// KindMember carries a shard.Request.
	KindMember peer.Kind = 20
	// KindStatus asks what a node knows of a shard.
	KindStatus peer.Kind = 21
	// KindTakeover asks a node to take a shard from a holder that leaves.
	KindTakeover peer.Kind = 22
)

// ErrNotHeld means that this node does not hold the shard.
var ErrNotHeld = eris.New("this node does not hold the shard")

// ErrNotCommitted means that the holder lost the shard before a record was committed;
// the record may still be found by the next holder.
var ErrNotCommitted = eris.New("the record was not committed")

const (
	// tickPeriod is the time between two looks at each shard.
	tickPeriod = 50 * time.Millisecond
	// callTimeout bounds one message to another node.
	callTimeout = 500 * time.Millisecond
	// tableTimeout bounds one operation of the table service.
	tableTimeout = 3 * time.Second
	// workers and queued bound the messages under way.
	workers = 128
	queued  = 8192
)

// A Node is a node as the directory knows it.
type Node struct {
	Host, Zone, Address string
	// Leaving says that the node takes no new shards.
	Leaving bool
}

// A Spec says what a shard needs.
type Spec struct {
	// Name is the shard's name.
	Name string
	// Size is the number of members where there are enough nodes; it is odd.
	Size int
	// Zone keeps all members in one availability zone; empty spreads them over all.
	Zone string
}

// A Tenure is the time in which this node alone holds a shard.
type Tenure struct {
	// Epoch differs between two tenures of one shard.
	Epoch uint64
	// From is when it began: no earlier holder was in effect at or after it.
	From time.Time
	// Until is when it ends unless it is extended.
	Until time.Time
}

// Directory tells which nodes are up, this one included.
type Directory interface {
	Nodes() []Node
}

// Table is the part of the table service that shards need.
type Table interface {
	Read(ctx context.Context, key string) (platform.Row, error)
	Write(ctx context.Context, next platform.Row, expectedRevision uint64) error
}

// Sender sends a message to another node and returns the reply.
type Sender interface {
	Call(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error)
}

// Deps are what a Service works with; all are needed.
type Deps struct {
	Directory Directory
	Table     Table
	Sender    Sender
	Clock     clock.Clock
	Log       event.Log
	// Specs returns the shards that this node may have to hold.
	Specs func() []Spec
}

// A Service hosts shards. It is safe for concurrent use. Lock order: mu, then the
// lock of one slot. No lock is held across a message or an operation of the table.
type Service struct {
	self  Node
	id    shard.MemberID
	parts Deps
	terms shard.Config
	pool  pond.Pool

	// mu guards slots.
	mu    sync.Mutex
	slots map[string]*slot
}

// New returns the Service of a node that starts now. Its memory of shards is new, and
// so is the incarnation under which it is a member.
func New(self Node, p Deps, terms shard.Config) *Service {
	return &Service{
		self:  self,
		id:    shard.MemberID{Host: self.Host, Incarnation: uuid.NewString()},
		parts: p,
		terms: terms,
		pool:  pond.NewPool(workers, pond.WithQueueSize(queued), pond.WithNonBlocking(true)),
		slots: map[string]*slot{},
	}
}

// Run drives the shards until the context ends.
func (s *Service) Run(ctx context.Context) {
	defer s.pool.StopAndWait()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		nodes := s.parts.Directory.Nodes()
		for _, spec := range s.parts.Specs() {
			s.tick(s.slotOf(spec), nodes)
		}
	}
}

// Held returns this node's tenure of a shard as of now, and false if it has none.
// Ask at the moment of each effect.
func (s *Service) Held(name string) (Tenure, bool) {
	k := s.slot(name)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := s.parts.Clock.Now()
	if k.holder == nil || !k.holder.Held(now) {
		return Tenure{}, false
	}
	return Tenure{Epoch: uint64(k.holder.Row().Epoch), From: k.began, Until: k.holder.LeaseEnd()}, true
}

// Shards returns the names of the shards that this node holds.
func (s *Service) Shards() []string {
	names := []string{}
	for _, spec := range s.parts.Specs() {
		if _, ok := s.Held(spec.Name); ok {
			names = append(names, spec.Name)
		}
	}
	return names
}

// A UpdateResult is what an act on a shard leads to.
type UpdateResult struct {
	// Sequence is the record to wait for; zero if there is none.
	Sequence uint64
	// Requests are to be sent to the members.
	Requests []shard.Request
}

// Update runs a function with the holder of a shard that this node holds, one at a time
// for each shard, and waits until the record that it leads to is committed.
func (s *Service) Update(ctx context.Context, name string, act func(time.Time, *shard.Holder) (UpdateResult, error)) error {
	k := s.slot(name)
	k.mu.Lock()
	now := s.parts.Clock.Now()
	if k.holder == nil || !k.holder.Held(now) {
		k.mu.Unlock()
		return ErrNotHeld
	}
	step, err := act(now, k.holder)
	if err != nil {
		k.mu.Unlock()
		return err
	}
	var done chan bool
	if step.Sequence != 0 {
		done = make(chan bool, 1)
		k.waiters[step.Sequence] = append(k.waiters[step.Sequence], done)
	}
	s.sendAll(k, step.Requests)
	k.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case committed := <-done:
		if !committed {
			return ErrNotCommitted
		}
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for a record: %w", ctx.Err())
	}
}

// slotOf returns the slot of a shard with its spec.
func (s *Service) slotOf(spec Spec) *slot {
	k := s.slot(spec.Name)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.spec.Size == 0 {
		k.spec = spec
		k.first = s.parts.Clock.Now()
		k.heard = k.first
	}
	return k
}

func (s *Service) slot(name string) *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.slots[name]
	if !ok {
		k = &slot{name: name, member: shard.NewMember(s.id, s.terms), waiters: map[uint64][]chan bool{}}
		s.slots[name] = k
	}
	return k
}

// addressOf returns the peer address of a host that the directory knows.
func (s *Service) addressOf(host string) (string, bool) {
	if host == s.self.Host {
		return s.self.Address, true
	}
	for _, n := range s.parts.Directory.Nodes() {
		if n.Host == host {
			return n.Address, true
		}
	}
	return "", false
}

// call sends a message to another node and decodes the reply.
func (s *Service) call(address string, kind peer.Kind, message, reply any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	answer, err := s.parts.Sender.Call(ctx, address, kind, body)
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	if err := codec.Decoder.Unmarshal(answer, reply); err != nil {
		return fmt.Errorf("decode reply of %s: %w", address, err)
	}
	return nil
}
