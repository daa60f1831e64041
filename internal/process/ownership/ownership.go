// Package ownership runs the protocol of package shard in the node. It grants leases and
// stores records as a member, takes over shards without a holder, replaces lost members
// of the shards that the node holds, and reports which shards the node holds and where
// the holders of the others are. Package claims stores its claims in these shards.
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

// The kinds of peer messages about shards.
const (
	// KindMember carries a shard.Request.
	KindMember peer.Kind = 20
	// KindStatus requests the Status of a shard at a node.
	KindStatus peer.Kind = 21
	// KindTakeover asks a node to take over a shard from a holder that is leaving.
	KindTakeover peer.Kind = 22
)

// ErrNotHeld means that this node does not hold the shard.
var ErrNotHeld = eris.New("this node does not hold the shard")

// ErrNotCommitted means that the node lost the shard before the record was committed. The
// next holder may or may not have the record.
var ErrNotCommitted = eris.New("the record was not committed")

const (
	// tickPeriod is the interval at which each shard is checked.
	tickPeriod = 50 * time.Millisecond
	// callTimeout bounds one call to another node.
	callTimeout = 500 * time.Millisecond
	// tableTimeout bounds one operation of the table service.
	tableTimeout = 3 * time.Second
	// workerCount and queueSize bound the number of concurrent and queued tasks.
	workerCount = 128
	queueSize   = 8192
)

// A Node is a node as listed by the Directory.
type Node struct {
	Host, Zone, Address string
	// Leaving reports that the node accepts no new shards.
	Leaving bool
}

// A Spec describes the placement of a shard.
type Spec struct {
	// Name is the shard's name.
	Name string
	// Size is the desired number of members; it is odd.
	Size int
	// Zone restricts all members to one availability zone; if empty, they are spread over
	// all zones.
	Zone string
}

// A Tenure is a period in which this node is the only holder of a shard.
type Tenure struct {
	// Epoch differs between any two tenures of a shard.
	Epoch uint64
	// From is the start of the tenure. No earlier holder had a valid lease at or after it.
	// It is zero until the first tick after the lease was granted.
	From time.Time
	// Until is when the tenure ends unless the lease is renewed.
	Until time.Time
}

// A Directory lists the live nodes, including this one.
type Directory interface {
	Nodes() []Node
}

// A Table is the subset of the table service that shards use.
type Table interface {
	Read(ctx context.Context, key string) (platform.Row, error)
	Write(ctx context.Context, next platform.Row, expectedRevision uint64) error
}

// A Sender sends a message to another node and returns the reply.
type Sender interface {
	Call(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error)
}

// Deps are the dependencies of a Service; all are required.
type Deps struct {
	Directory Directory
	Table     Table
	Sender    Sender
	Clock     clock.Clock
	Log       event.Log
	// Specs returns the shards that this node may have to hold.
	Specs func() []Spec
}

// A Service manages the shards of a node. It is safe for concurrent use. Lock order: mu,
// then the lock of one shardState. No lock is held during a call to a node or the table.
type Service struct {
	self     Node
	memberID shard.MemberID
	deps     Deps
	config   shard.Config
	pool     pond.Pool

	// mu guards states.
	mu     sync.Mutex
	states map[string]*shardState
}

// New returns a Service without shard state. Its members have a new incarnation.
func New(self Node, d Deps, config shard.Config) *Service {
	return &Service{
		self:     self,
		memberID: shard.MemberID{Host: self.Host, Incarnation: uuid.NewString()},
		deps:     d,
		config:   config,
		pool:     pond.NewPool(workerCount, pond.WithQueueSize(queueSize), pond.WithNonBlocking(true)),
		states:   map[string]*shardState{},
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
		nodes := s.deps.Directory.Nodes()
		for _, spec := range s.deps.Specs() {
			s.tick(s.stateOf(spec), nodes)
		}
	}
}

// Held returns this node's current tenure of a shard, and false if it has none. Call it
// right before each side effect.
func (s *Service) Held(name string) (Tenure, bool) {
	st := s.state(name)
	st.mu.Lock()
	defer st.mu.Unlock()
	now := s.deps.Clock.Now()
	if st.holder == nil || !st.holder.Held(now) {
		return Tenure{}, false
	}
	return Tenure{Epoch: uint64(st.holder.Row().Epoch), From: st.heldSince, Until: st.holder.LeaseEnd()}, true
}

// HeldShards returns the names of the shards that this node holds.
func (s *Service) HeldShards() []string {
	names := []string{}
	for _, spec := range s.deps.Specs() {
		if _, ok := s.Held(spec.Name); ok {
			names = append(names, spec.Name)
		}
	}
	return names
}

// An UpdateResult is the result of the function passed to Update.
type UpdateResult struct {
	// Sequence is the sequence number of the record to wait for; zero if there is none.
	Sequence uint64
	// Requests are sent to the members.
	Requests []shard.Request
}

// Update calls a function with the holder of a shard and waits until the resulting record
// is committed. Calls for the same shard are serialized. It returns ErrNotHeld if this node
// does not hold the shard, and ErrNotCommitted if it loses the shard before the commit.
func (s *Service) Update(ctx context.Context, name string, fn func(time.Time, *shard.Holder) (UpdateResult, error)) error {
	st := s.state(name)
	st.mu.Lock()
	now := s.deps.Clock.Now()
	if st.holder == nil || !st.holder.Held(now) {
		st.mu.Unlock()
		return ErrNotHeld
	}
	result, err := fn(now, st.holder)
	if err != nil {
		st.mu.Unlock()
		return err
	}
	var done chan bool
	if result.Sequence != 0 {
		done = make(chan bool, 1)
		st.waiters[result.Sequence] = append(st.waiters[result.Sequence], done)
	}
	s.sendAll(st, result.Requests)
	st.mu.Unlock()
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

// stateOf returns the state of a shard, and sets its spec on first use.
func (s *Service) stateOf(spec Spec) *shardState {
	st := s.state(spec.Name)
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.spec.Size == 0 {
		st.spec = spec
		st.watchedSince = s.deps.Clock.Now()
		st.holderSeen = st.watchedSince
	}
	return st
}

func (s *Service) state(name string) *shardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.states[name]
	if !ok {
		st = &shardState{name: name, member: shard.NewMember(s.memberID, s.config), waiters: map[uint64][]chan bool{}}
		s.states[name] = st
	}
	return st
}

// addressOf returns a host's peer address, if the directory lists the host.
func (s *Service) addressOf(host string) (string, bool) {
	if host == s.self.Host {
		return s.self.Address, true
	}
	for _, n := range s.deps.Directory.Nodes() {
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
	data, err := s.deps.Sender.Call(ctx, address, kind, body)
	if err != nil {
		return fmt.Errorf("call %s: %w", address, err)
	}
	if err := codec.Decoder.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("decode reply from %s: %w", address, err)
	}
	return nil
}
