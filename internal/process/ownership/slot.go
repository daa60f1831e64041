package ownership

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/shard"
)

const (
	// quietTime is how long a candidate hears nothing of the holder, as a member of
	// its group, before it asks.
	quietTime = 800 * time.Millisecond
	// probePeriod is the time between two questions to the holder.
	probePeriod = 500 * time.Millisecond
	// patience is how long the first candidate waits for a holder before it takes
	// the shard; each further one waits longer by patienceStep.
	patience     = 1500 * time.Millisecond
	patienceStep = time.Second
	// takeLimit is how long an attempt may last before it is given up.
	takeLimit = 6 * time.Second
	// regroupDelay is how long a member may be gone before it is replaced, and the
	// least time between two changes of a group.
	regroupDelay = 3 * time.Second
	// growDelay is how long after a change a group is made larger.
	growDelay = time.Second
	// gatherLimit is how long the first holder of a shard waits for a whole group.
	gatherLimit = 5 * time.Second
	// candidates is the number of nodes that watch over a shard.
	candidates = 3
)

// A slot is what this node knows of one shard and does for it.
type slot struct {
	name string

	// mu guards the fields below.
	mu     sync.Mutex
	spec   Spec
	member *shard.Member
	holder *shard.Holder
	// began is when the holder came into effect first.
	began time.Time
	taker *shard.Takeover
	// first is when the node began to watch over the shard.
	first time.Time
	// since is when the attempt began, or when a group was last changed.
	since time.Time
	// row is what was last read of the table.
	row shard.Row
	// heard is when a holder was last known to be in effect, renewer the host that
	// last renewed its lease at the own member.
	heard   time.Time
	renewer string
	// incomplete is since when the group lacks a member; zero if it is complete.
	incomplete time.Time
	probed     time.Time
	probing    bool
	forming    bool
	// urgent says that the present holder asked for the attempt, since it leaves.
	urgent bool
	table  bool
	// located is the address of the holder as last heard; empty if unknown.
	located  string
	locating bool
	waiters  map[uint64][]chan bool
}

// tick does what is due for a shard.
func (s *Service) tick(k *slot, nodes []Node) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := s.parts.Clock.Now()
	if k.holder != nil {
		s.keep(k, now, nodes)
	}
	if k.taker != nil {
		s.perform(k, k.taker, k.taker.Tick(now))
		s.conclude(k, now)
		return
	}
	if k.holder != nil && k.holder.Held(now) {
		k.heard = now
		return
	}
	rank := rankOf(s.self.Host, k.spec, nodes)
	if rank < 0 || k.forming {
		return
	}
	if (k.row.Epoch == 0 || now.Sub(k.heard) >= quietTime) && now.Sub(k.probed) >= probePeriod && !k.probing {
		k.probed = now
		k.probing = true
		s.submit(func() { s.probe(k) }, func() { k.probing = false })
	}
	// The first holder waits for others at most for a while, each candidate its turn.
	gathering := k.row.Epoch == 0 && now.Sub(k.first) < gatherLimit && len(choose(k.spec, nodes, nil)) < k.spec.Size
	if gathering {
		k.heard = now
	}
	if now.Sub(k.heard) > patience+time.Duration(rank)*patienceStep {
		s.form(k, nodes)
	}
}

// keep renews the lease and watches over the group of a shard that this node holds.
func (s *Service) keep(k *slot, now time.Time, nodes []Node) {
	s.sendAll(k, k.holder.Tick(now))
	if !k.holder.Held(now) {
		if !k.began.IsZero() && k.taker == nil {
			s.drop(k)
		}
		return
	}
	if k.began.IsZero() {
		k.began = now
		s.parts.Log.Emit(event.ShardHeld, log.Fields{"shard": k.name, "epoch": uint64(k.holder.Row().Epoch)})
	}
	if k.taker != nil || k.forming || !s.wantsRegroup(k, now, nodes) {
		return
	}
	s.form(k, nodes)
}

// wantsRegroup reports whether the group lacks members that could be had. A member
// that leaves is replaced at once.
func (s *Service) wantsRegroup(k *slot, now time.Time, nodes []Node) bool {
	group := choose(k.spec, nodes, nil)
	members := k.holder.Row().Members
	complete := len(group) <= len(members)
	leaving := false
	for _, m := range members {
		n, ok := find(nodes, m.Host)
		complete = complete && ok
		leaving = leaving || ok && n.Leaving && m.Host != s.self.Host
	}
	if complete && !leaving {
		k.incomplete = time.Time{}
		return false
	}
	if k.incomplete.IsZero() {
		k.incomplete = now
	}
	if len(group) < len(members) || now.Sub(k.since) < growDelay {
		return false
	}
	return leaving || len(group) > len(members) || now.Sub(k.incomplete) >= regroupDelay
}

// drop gives up a tenure; whoever waits for a record learns that it is not committed.
func (s *Service) drop(k *slot) {
	s.parts.Log.Emit(event.ShardLost, log.Fields{"shard": k.name, "epoch": uint64(k.holder.Row().Epoch)})
	k.holder = nil
	k.began = time.Time{}
	k.heard = s.parts.Clock.Now()
	for _, waiting := range k.waiters {
		for _, done := range waiting {
			done <- false
		}
	}
	clear(k.waiters)
}

// commit tells who waits that records are committed.
func (k *slot) commit(sequences []uint64) {
	for _, sequence := range sequences {
		for _, done := range k.waiters[sequence] {
			done <- true
		}
		delete(k.waiters, sequence)
	}
}

// sendAll sends the holder's requests; k.mu must be held.
func (s *Service) sendAll(k *slot, requests []shard.Request) {
	holder := k.holder
	for _, r := range requests {
		s.submit(func() {
			a, ok := s.ask(k, r)
			if !ok {
				return
			}
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.holder == holder {
				k.commit(holder.HandleResponse(a))
			}
		}, nil)
	}
}

// ask brings a request to its member and returns the answer, if there is one. An
// answer of another incarnation proves that the member's memory is lost.
func (s *Service) ask(k *slot, r shard.Request) (shard.Response, bool) {
	if r.To.Host == s.self.Host {
		return s.handle(k, r), true
	}
	address, ok := s.addressOf(r.To.Host)
	if !ok {
		return shard.Response{}, false
	}
	var a shard.Response
	err := s.call(address, KindMember, memberMessage{Shard: k.name, Request: r}, &a)
	if err != nil || a.From.Host != r.To.Host {
		return shard.Response{}, false
	}
	return a, true
}

// handle lets the own member answer a request.
func (s *Service) handle(k *slot, r shard.Request) shard.Response {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.member.Handle(s.parts.Clock.Now(), r)
}

// renewed notes the host of a holder that is in effect.
func (s *Service) renewed(k *slot, host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heard = s.parts.Clock.Now()
	k.renewer = host
}

// holderHost returns the host that holds the shard as far as is known.
func (k *slot) holderHost() string {
	if k.renewer != "" {
		return k.renewer
	}
	return k.row.Holder.Host
}

// submit runs a task in the pool. A task that finds no room is dropped, as a lost
// message is; refused undoes what was noted of it.
func (s *Service) submit(task, refused func()) {
	if err := s.pool.Go(task); err != nil && refused != nil {
		refused()
	}
}
