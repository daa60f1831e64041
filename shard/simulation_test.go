package shard_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/shard"
)

const (
	hosts     = 5
	groupSize = 3
	// minClockRate and maxClockRate are in thousandths, within the default MaxDrift.
	minClockRate = 996
	maxClockRate = 1004
	// maxTakeoverRounds is the number of rounds after which a stuck takeover is abandoned.
	maxTakeoverRounds = 60
)

// A host has its own clock rate and the member of its current incarnation.
type host struct {
	rate        int
	incarnation int
	paused      bool
	member      *shard.Member
	takeovers   []*shard.Takeover
	holders     []*shard.Holder
}

// A message stores the incarnation of the requesting host; responses to an earlier
// incarnation are dropped.
type message struct {
	from        int
	incarnation int
	request     *shard.Request
	response    *shard.Response
	takeover    *shard.Takeover
	holder      *shard.Holder
}

type tableCall struct {
	takeover    *shard.Takeover
	from        int
	incarnation int
	write       *shard.Write
}

type committedVersion struct {
	version shard.Version
	removed bool
}

// A simulation runs the state machines with a simulated network, clock and table.
type simulation struct {
	t          *rapid.T
	config     shard.Config
	elapsed    time.Duration
	hosts      []*host
	messages   []message
	tableCalls []tableCall
	row        shard.Row
	revision   uint64
	attempts   int
	sequence   map[*shard.Holder]map[uint64]string
	committed  map[string]committedVersion
	removals   map[string][]shard.Version
	lastEpoch  shard.Epoch
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t,
		config: shard.NewConfig(shard.WithLease(time.Second, 250*time.Millisecond),
			shard.WithResendInterval(100*time.Millisecond), shard.WithMaxPageBytes(1)), // one record per message
		sequence:  map[*shard.Holder]map[uint64]string{},
		committed: map[string]committedVersion{},
		removals:  map[string][]shard.Version{},
	}
	for i := range hosts {
		h := &host{rate: rapid.IntRange(minClockRate, maxClockRate).Draw(t, "rate")}
		h.member = shard.NewMember(memberID(i, 0), s.config)
		s.hosts = append(s.hosts, h)
	}
	return s
}

func memberID(i, incarnation int) shard.MemberID {
	return shard.MemberID{Host: fmt.Sprint("host-", i), Incarnation: fmt.Sprint(incarnation)}
}

func (s *simulation) now(i int) time.Time {
	h := s.hosts[i]
	return time.Unix(int64(1000*i), 0).Add(s.elapsed * time.Duration(h.rate) / 1000)
}

func (s *simulation) id(i int) shard.MemberID { return memberID(i, s.hosts[i].incarnation) }

func (s *simulation) index(id shard.MemberID) int {
	for i := range s.hosts {
		if memberID(i, 0).Host == id.Host {
			return i
		}
	}
	return -1
}

// startTakeover starts a takeover on a host with a group of live members.
func (s *simulation) startTakeover(i int, group []int) {
	s.attempts++
	ids := make([]shard.MemberID, 0, groupSize)
	for _, g := range group {
		ids = append(ids, s.id(g))
	}
	attempt := shard.AttemptID(fmt.Sprint("attempt-", s.attempts))
	h := s.hosts[i]
	h.takeovers = append(h.takeovers, shard.NewTakeover(attempt, s.id(i), ids, s.config))
}

// tick runs the due work of a host, and creates holders for takeovers that won.
func (s *simulation) tick(i int) {
	h := s.hosts[i]
	if h.paused {
		return
	}
	var running []*shard.Takeover
	for _, tk := range h.takeovers {
		s.queueActions(i, tk, tk.Tick(s.now(i)))
		switch tk.Stage() {
		case shard.Won:
			holder := shard.NewHolder(s.now(i), tk.Row(), tk.Records(), s.config)
			h.holders = append(h.holders, holder)
			s.sequence[holder] = map[uint64]string{}
		case shard.Lost, shard.Abandoned:
		default:
			running = append(running, tk)
		}
	}
	h.takeovers = running
	for _, hd := range h.holders {
		s.queueRequests(i, nil, hd, hd.Tick(s.now(i)))
	}
}

func (s *simulation) queueActions(i int, tk *shard.Takeover, actions []shard.Action) {
	for _, a := range actions {
		if a.Send != nil {
			s.queueRequests(i, tk, nil, []shard.Request{*a.Send})
			continue
		}
		s.tableCalls = append(s.tableCalls, tableCall{takeover: tk, from: i, incarnation: s.hosts[i].incarnation, write: a.Write})
	}
}

func (s *simulation) queueRequests(i int, tk *shard.Takeover, hd *shard.Holder, requests []shard.Request) {
	for _, r := range requests {
		m := message{from: i, incarnation: s.hosts[i].incarnation, request: &r, takeover: tk, holder: hd}
		s.messages = append(s.messages, m)
	}
}

// deliver delivers message n; keep leaves a duplicate in the network.
func (s *simulation) deliver(n int, keep bool) {
	m := s.messages[n]
	to := m.from
	if m.request != nil {
		to = s.index(m.request.To)
	}
	if s.hosts[to].paused {
		return
	}
	if !keep {
		s.messages = append(s.messages[:n], s.messages[n+1:]...)
	}
	if m.request != nil {
		resp := s.hosts[to].member.Handle(s.now(to), *m.request)
		m.request = nil
		m.response = &resp
		s.messages = append(s.messages, m)
		return
	}
	if m.incarnation != s.hosts[to].incarnation {
		return
	}
	if m.holder != nil {
		for _, sequence := range m.holder.HandleResponse(*m.response) {
			s.recordCommit(m.holder, sequence)
		}
		return
	}
	s.queueActions(to, m.takeover, m.takeover.HandleResponse(s.now(to), *m.response))
}

func (s *simulation) recordCommit(hd *shard.Holder, sequence uint64) {
	key := s.sequence[hd][sequence]
	version := shard.Version{Epoch: hd.Row().Epoch, Sequence: sequence}
	if s.committed[key].version.Less(version) {
		s.committed[key] = committedVersion{version: version, removed: slices.Contains(s.removals[key], version)}
	}
}

// runTableCall executes table call n. If lost is set the result is dropped; if keep is set
// the call is executed again later.
func (s *simulation) runTableCall(n int, lost, keep bool) {
	c := s.tableCalls[n]
	if !keep {
		s.tableCalls = append(s.tableCalls[:n], s.tableCalls[n+1:]...)
	}
	applied := false
	if c.write != nil && c.write.Revision == s.revision {
		s.row = c.write.Row
		s.revision++
		applied = true
	}
	if lost || s.hosts[c.from].paused || c.incarnation != s.hosts[c.from].incarnation {
		return
	}
	if c.write != nil {
		s.queueActions(c.from, c.takeover, c.takeover.HandleWriteResult(applied))
		return
	}
	s.queueActions(c.from, c.takeover, c.takeover.HandleRow(s.now(c.from), s.row, s.revision))
}

// write makes all holders of a host write or delete a key.
func (s *simulation) write(i int, key string, removed bool) {
	if s.hosts[i].paused {
		return
	}
	for _, hd := range s.hosts[i].holders {
		version := shard.Version{Epoch: hd.Row().Epoch, Sequence: uint64(len(s.sequence[hd]) + 1)}
		value := []byte("value")
		if removed {
			value = nil
		}
		sequence, requests, err := hd.Append(s.now(i), key, value)
		if err != nil {
			continue
		}
		s.sequence[hd][sequence] = key
		if removed {
			s.removals[key] = append(s.removals[key], version)
		}
		s.queueRequests(i, nil, hd, requests)
	}
}

// canRestart reports whether every group that the row has or may get keeps a majority of
// its memory without host i.
func (s *simulation) canRestart(i int) bool {
	groups := [][]shard.MemberID{s.row.Members}
	for _, h := range s.hosts {
		for _, tk := range h.takeovers {
			groups = append(groups, tk.Row().Members)
		}
	}
	for _, c := range s.tableCalls {
		if c.write != nil {
			groups = append(groups, c.write.Row.Members)
		}
	}
	for _, g := range groups {
		intact := 0
		for _, id := range g {
			if n := s.index(id); n != i && s.id(n) == id {
				intact++
			}
		}
		if len(g) > 0 && intact < shard.Majority(len(g)) {
			return false
		}
	}
	return true
}

func (s *simulation) restart(i int) {
	h := s.hosts[i]
	h.incarnation++
	h.takeovers = nil
	h.holders = nil
	h.paused = false
	h.member = shard.NewMember(s.id(i), s.config)
}

// checkInvariants checks that at most one holder holds the shard, that the held epochs
// never decrease, and that the holder has the newest committed version of each key.
func (s *simulation) checkInvariants() {
	var current *shard.Holder
	for i, h := range s.hosts {
		for _, hd := range h.holders {
			if !hd.Held(s.now(i)) {
				continue
			}
			if current != nil {
				s.t.Fatalf("two holders hold the shard: epochs %d and %d", current.Row().Epoch, hd.Row().Epoch)
			}
			current = hd
		}
	}
	if current == nil {
		return
	}
	if current.Row().Epoch < s.lastEpoch {
		s.t.Fatalf("epoch %d is held after epoch %d", current.Row().Epoch, s.lastEpoch)
	}
	s.lastEpoch = current.Row().Epoch
	versions := map[string]shard.Version{}
	for _, record := range current.Records() {
		versions[record.Key] = record.Version
	}
	for _, key := range slices.Sorted(maps.Keys(s.committed)) {
		c := s.committed[key]
		if _, ok := current.Get(key); !ok {
			s.checkRemoved(current, key, c)
			continue
		}
		if versions[key].Less(c.version) {
			s.t.Fatalf("key %s: holder has version %v after %v was committed", key, versions[key], c.version)
		}
	}
}

// checkRemoved accepts a missing key only if the committed version, or a newer version
// that the holder may have, is a tombstone.
func (s *simulation) checkRemoved(hd *shard.Holder, key string, c committedVersion) {
	if !c.removed && !s.removedAfter(hd, key, c.version) {
		s.t.Fatalf("key %s: committed version %v is missing in epoch %d", key, c.version, hd.Row().Epoch)
	}
}

// removedAfter reports whether a tombstone newer than a version was written up to the
// epoch of the holder.
func (s *simulation) removedAfter(hd *shard.Holder, key string, version shard.Version) bool {
	for _, r := range s.removals[key] {
		if version.Less(r) && r.Epoch <= hd.Row().Epoch {
			return true
		}
	}
	return false
}

// runRound delivers all pending messages in order, without faults.
func (s *simulation) runRound() {
	s.elapsed += 50 * time.Millisecond
	s.checkInvariants()
	for i := range s.hosts {
		s.tick(i)
	}
	for n := 0; n < len(s.tableCalls); {
		if s.hosts[s.tableCalls[n].from].paused {
			n++
			continue
		}
		s.runTableCall(n, false, false)
	}
	for n := 0; n < len(s.messages); {
		before := len(s.messages)
		s.deliver(n, false)
		s.checkInvariants()
		if len(s.messages) == before && s.blocked(n) {
			n++
		}
	}
}

// blocked reports whether the receiver of message n is paused.
func (s *simulation) blocked(n int) bool {
	m := s.messages[n]
	to := m.from
	if m.request != nil {
		to = s.index(m.request.To)
	}
	return s.hosts[to].paused
}

// abandon abandons the takeovers of a host that have not written the row.
func (s *simulation) abandon(i int) {
	for _, tk := range s.hosts[i].takeovers {
		actions, _ := tk.Abandon()
		s.queueActions(i, tk, actions)
	}
}

// waitForHolder ends all faults and checks that a host becomes the holder.
func (s *simulation) waitForHolder() {
	for _, h := range s.hosts {
		h.paused = false
	}
	for n := range 400 {
		s.runRound()
		inProgress := false
		for i, h := range s.hosts {
			if n%maxTakeoverRounds == maxTakeoverRounds-1 {
				s.abandon(i)
			}
			inProgress = inProgress || len(h.takeovers) > 0
			for _, hd := range h.holders {
				if hd.Held(s.now(i)) {
					return
				}
			}
		}
		if !inProgress {
			s.startTakeover(s.attempts%hosts, []int{0, 1, 2})
		}
	}
	s.t.Fatalf("no holder after all faults ended")
}

// runFaultyRounds runs rounds in which messages and table calls may be reordered, delayed,
// lost or duplicated, each with a probability of one in faultOdds.
func (s *simulation) runFaultyRounds(random *rand.Rand, rounds, faultOdds int) {
	fault := func() bool { return random.IntN(faultOdds) == 0 }
	for range rounds {
		s.elapsed += time.Duration(random.IntN(100)) * time.Millisecond
		s.checkInvariants()
		s.injectEvent(random)
		for i := range s.hosts {
			s.tick(i)
		}
		for range len(s.tableCalls) {
			if !fault() && len(s.tableCalls) > 0 {
				s.runTableCall(random.IntN(len(s.tableCalls)), fault(), fault())
			}
		}
		for range 3 * len(s.messages) {
			n := random.IntN(len(s.messages) + 1)
			if n >= len(s.messages) {
				continue
			}
			if random.IntN(faultOdds*faultOdds) == 0 {
				s.messages = slices.Delete(s.messages, n, n+1)
				continue
			}
			s.deliver(n, fault())
			s.checkInvariants()
		}
	}
}

// injectEvent starts a takeover, pauses or restarts a host, abandons takeovers, or writes
// a key, at random.
func (s *simulation) injectEvent(random *rand.Rand) {
	i := random.IntN(hosts)
	switch random.IntN(12) {
	case 0, 1:
		if len(s.hosts[i].takeovers) < 2 && !s.hosts[i].paused {
			s.startTakeover(i, random.Perm(hosts)[:groupSize])
		}
	case 2, 3:
		s.hosts[i].paused = !s.hosts[i].paused
	case 4:
		if s.canRestart(i) {
			s.restart(i)
		}
	case 5:
		s.abandon(i)
	default:
		for i := range s.hosts {
			s.write(i, string(rune('a'+random.IntN(3))), random.IntN(4) == 0)
		}
	}
}
