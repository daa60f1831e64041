package ownership

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/shard"
)

const (
	// probeAfter is the time without a lease renewal, as seen by the local member, after
	// which a candidate probes the holder.
	probeAfter = 800 * time.Millisecond
	// probePeriod is the time between two probes of the holder.
	probePeriod = 500 * time.Millisecond
	// takeoverDelay is how long the first candidate waits without a holder before it takes
	// over the shard; each further candidate waits takeoverStagger longer.
	takeoverDelay   = 1500 * time.Millisecond
	takeoverStagger = time.Second
	// takeoverTimeout is the time after which an attempt is abandoned.
	takeoverTimeout = 6 * time.Second
	// regroupDelay is how long a member must be gone before it is replaced.
	regroupDelay = 3 * time.Second
	// growDelay is the minimum time between two changes of a group.
	growDelay = time.Second
	// formationTimeout is how long the first holder of a shard waits for a full group.
	formationTimeout = 5 * time.Second
	// maxCandidates is the number of nodes that monitor a shard.
	maxCandidates = 3
)

// A shardState is this node's state of one shard.
type shardState struct {
	name string

	// mu guards the fields below.
	mu     sync.Mutex
	spec   Spec
	member *shard.Member
	holder *shard.Holder
	// heldSince is when the holder first had a lease; zero before.
	heldSince time.Time
	takeover  *shard.Takeover
	// watchedSince is when the node began to monitor the shard.
	watchedSince time.Time
	// lastChange is when an attempt was last started or won.
	lastChange time.Time
	// row is the last known row of the table.
	row shard.Row
	// holderSeen is when a holder was last known to have a lease, or when the takeover
	// delay was last restarted. renewerHost is the host that last renewed its lease at
	// the local member.
	holderSeen  time.Time
	renewerHost string
	// incompleteSince is when the group was first seen to lack a member or to have one
	// that is leaving; zero if it is complete.
	incompleteSince time.Time
	lastProbe       time.Time
	probing         bool
	forming         bool
	// handover reports that the attempt was requested by a holder that is leaving.
	handover  bool
	tableBusy bool
	// holderAddress is the last known address of the holder; empty if unknown.
	holderAddress string
	locating      bool
	waiters       map[uint64][]chan bool
}

// tick runs the due work of a shard.
func (s *Service) tick(st *shardState, nodes []Node) {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := s.deps.Clock.Now()
	if st.holder != nil {
		s.maintain(st, now, nodes)
	}
	if st.takeover != nil {
		s.perform(st, st.takeover, st.takeover.Tick(now))
		s.finishTakeover(st, now)
		return
	}
	if st.holder != nil && st.holder.Held(now) {
		st.holderSeen = now
		return
	}
	rank := rankOf(s.self.Host, st.spec, nodes)
	if rank < 0 || st.forming {
		return
	}
	if (st.row.Epoch == 0 || now.Sub(st.holderSeen) >= probeAfter) && now.Sub(st.lastProbe) >= probePeriod && !st.probing {
		st.lastProbe = now
		st.probing = true
		s.submit(func() { s.probeHolder(st) }, func() { st.probing = false })
	}
	// Without an earlier holder, wait a limited time until there are enough nodes.
	awaitNodes := st.row.Epoch == 0 && now.Sub(st.watchedSince) < formationTimeout && len(chooseGroup(st.spec, nodes, nil)) < st.spec.Size
	if awaitNodes {
		st.holderSeen = now
	}
	if now.Sub(st.holderSeen) > takeoverDelay+time.Duration(rank)*takeoverStagger {
		s.startTakeover(st, nodes)
	}
}

// maintain renews the lease of a shard that this node holds and checks its group.
func (s *Service) maintain(st *shardState, now time.Time, nodes []Node) {
	s.sendAll(st, st.holder.Tick(now))
	if !st.holder.Held(now) {
		if !st.heldSince.IsZero() && st.takeover == nil {
			s.dropHolder(st)
		}
		return
	}
	if st.heldSince.IsZero() {
		st.heldSince = now
		s.deps.Log.Emit(event.ShardHeld, log.Fields{"shard": st.name, "epoch": uint64(st.holder.Row().Epoch)})
	}
	if st.takeover != nil || st.forming || !s.needsRegroup(st, now, nodes) {
		return
	}
	s.startTakeover(st, nodes)
}

// needsRegroup reports whether the group can be completed or enlarged. A member that is
// leaving is replaced without regroupDelay.
func (s *Service) needsRegroup(st *shardState, now time.Time, nodes []Node) bool {
	group := chooseGroup(st.spec, nodes, nil)
	members := st.holder.Row().Members
	complete := len(group) <= len(members)
	leaving := false
	for _, m := range members {
		n, ok := findNode(nodes, m.Host)
		complete = complete && ok
		leaving = leaving || ok && n.Leaving && m.Host != s.self.Host
	}
	if complete && !leaving {
		st.incompleteSince = time.Time{}
		return false
	}
	if st.incompleteSince.IsZero() {
		st.incompleteSince = now
	}
	if len(group) < len(members) || now.Sub(st.lastChange) < growDelay {
		return false
	}
	return leaving || len(group) > len(members) || now.Sub(st.incompleteSince) >= regroupDelay
}

// dropHolder ends a tenure and reports to all waiters that their records are not committed.
func (s *Service) dropHolder(st *shardState) {
	s.deps.Log.Emit(event.ShardLost, log.Fields{"shard": st.name, "epoch": uint64(st.holder.Row().Epoch)})
	st.holder = nil
	st.heldSince = time.Time{}
	st.holderSeen = s.deps.Clock.Now()
	for _, waiters := range st.waiters {
		for _, done := range waiters {
			done <- false
		}
	}
	clear(st.waiters)
}

// notifyCommitted reports to the waiters that their records are committed.
func (st *shardState) notifyCommitted(sequences []uint64) {
	for _, sequence := range sequences {
		for _, done := range st.waiters[sequence] {
			done <- true
		}
		delete(st.waiters, sequence)
	}
}

// sendAll sends the holder's requests; st.mu must be held.
func (s *Service) sendAll(st *shardState, requests []shard.Request) {
	holder := st.holder
	for _, r := range requests {
		s.submit(func() {
			resp, ok := s.sendToMember(st, r)
			if !ok {
				return
			}
			st.mu.Lock()
			defer st.mu.Unlock()
			if st.holder == holder {
				st.notifyCommitted(holder.HandleResponse(resp))
			}
		}, nil)
	}
}

// sendToMember sends a request to its member and returns the response, if any. A response
// from another incarnation proves that the member's memory is lost.
func (s *Service) sendToMember(st *shardState, r shard.Request) (shard.Response, bool) {
	if r.To.Host == s.self.Host {
		return s.handle(st, r), true
	}
	address, ok := s.addressOf(r.To.Host)
	if !ok {
		return shard.Response{}, false
	}
	var resp shard.Response
	err := s.call(address, KindMember, memberRequest{Shard: st.name, Request: r}, &resp)
	if err != nil || resp.From.Host != r.To.Host {
		return shard.Response{}, false
	}
	return resp, true
}

// handle passes a request to the local member.
func (s *Service) handle(st *shardState, r shard.Request) shard.Response {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.member.Handle(s.deps.Clock.Now(), r)
}

// recordRenewal records the host of a holder that renewed its lease.
func (s *Service) recordRenewal(st *shardState, host string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.holderSeen = s.deps.Clock.Now()
	st.renewerHost = host
}

// holderHost returns the last known host of the holder.
func (st *shardState) holderHost() string {
	if st.renewerHost != "" {
		return st.renewerHost
	}
	return st.row.Holder.Host
}

// submit runs a task in the pool. If the queue is full the task is dropped, which has the
// same effect as a lost message, and rejected resets the state that was set for it.
func (s *Service) submit(task, rejected func()) {
	if err := s.pool.Go(task); err != nil && rejected != nil {
		rejected()
	}
}
