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
	// slowest and fastest are clock rates in thousandths, within the drift of the terms.
	slowest = 996
	fastest = 1004
	// patience is the number of rounds after which a stuck attempt is given up.
	patience = 60
)

// A host has a clock of its own rate and the memory of one incarnation.
type host struct {
	rate        int
	incarnation int
	paused      bool
	member      *shard.Member
	takers      []*shard.Taker
	holders     []*shard.Holder
}

// A message carries the incarnation of the host that waits for the answer.
type message struct {
	from        int
	incarnation int
	request     *shard.Request
	answer      *shard.Answer
	taker       *shard.Taker
	holder      *shard.Holder
}

type tableCall struct {
	taker       *shard.Taker
	from        int
	incarnation int
	write       *shard.Write
}

type committed struct {
	stamp   shard.Stamp
	removed bool
}

// A world runs the real state machines over a fake network, clock and table.
type world struct {
	t        *rapid.T
	terms    shard.Terms
	elapsed  time.Duration
	hosts    []*host
	messages []message
	calls    []tableCall
	row      shard.Row
	revision uint64
	attempts int
	sequence map[*shard.Holder]map[uint64]string
	kept     map[string]committed
	removals map[string][]shard.Stamp
	served   shard.Epoch
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t,
		terms: shard.NewTerms(shard.WithLease(time.Second, 250*time.Millisecond),
			shard.WithResend(100*time.Millisecond), shard.WithPage(1)), // one record a message
		sequence: map[*shard.Holder]map[uint64]string{},
		kept:     map[string]committed{},
		removals: map[string][]shard.Stamp{},
	}
	for i := range hosts {
		h := &host{rate: rapid.IntRange(slowest, fastest).Draw(t, "rate")}
		h.member = shard.NewMember(memberID(i, 0), w.terms)
		w.hosts = append(w.hosts, h)
	}
	return w
}

func memberID(i, incarnation int) shard.MemberID {
	return shard.MemberID{Host: fmt.Sprint("host-", i), Incarnation: fmt.Sprint(incarnation)}
}

func (w *world) now(i int) time.Time {
	h := w.hosts[i]
	return time.Unix(int64(1000*i), 0).Add(w.elapsed * time.Duration(h.rate) / 1000)
}

func (w *world) id(i int) shard.MemberID { return memberID(i, w.hosts[i].incarnation) }

func (w *world) index(id shard.MemberID) int {
	for i := range w.hosts {
		if memberID(i, 0).Host == id.Host {
			return i
		}
	}
	return -1
}

// startTaker lets a host try to take the shard with a group of live members.
func (w *world) startTaker(i int, group []int) {
	w.attempts++
	ids := make([]shard.MemberID, 0, groupSize)
	for _, g := range group {
		ids = append(ids, w.id(g))
	}
	attempt := shard.AttemptID(fmt.Sprint("attempt-", w.attempts))
	h := w.hosts[i]
	h.takers = append(h.takers, shard.NewTaker(attempt, w.id(i), ids, w.terms))
}

// tick runs what is due on a host, and makes holders of takers that won.
func (w *world) tick(i int) {
	h := w.hosts[i]
	if h.paused {
		return
	}
	var running []*shard.Taker
	for _, k := range h.takers {
		w.act(i, k, k.Tick(w.now(i)))
		switch k.Stage() {
		case shard.Won:
			holder := shard.NewHolder(w.now(i), k.Row(), k.Records(), w.terms)
			h.holders = append(h.holders, holder)
			w.sequence[holder] = map[uint64]string{}
		case shard.Lost, shard.Abandoned:
		default:
			running = append(running, k)
		}
	}
	h.takers = running
	for _, d := range h.holders {
		w.send(i, nil, d, d.Tick(w.now(i)))
	}
}

func (w *world) act(i int, k *shard.Taker, actions []shard.Action) {
	for _, a := range actions {
		if a.Send != nil {
			w.send(i, k, nil, []shard.Request{*a.Send})
			continue
		}
		w.calls = append(w.calls, tableCall{taker: k, from: i, incarnation: w.hosts[i].incarnation, write: a.Write})
	}
}

func (w *world) send(i int, k *shard.Taker, d *shard.Holder, requests []shard.Request) {
	for _, r := range requests {
		m := message{from: i, incarnation: w.hosts[i].incarnation, request: &r, taker: k, holder: d}
		w.messages = append(w.messages, m)
	}
}

// deliver hands message n over; keep leaves a duplicate in the network.
func (w *world) deliver(n int, keep bool) {
	m := w.messages[n]
	to := m.from
	if m.request != nil {
		to = w.index(m.request.To)
	}
	if w.hosts[to].paused {
		return
	}
	if !keep {
		w.messages = append(w.messages[:n], w.messages[n+1:]...)
	}
	if m.request != nil {
		a := w.hosts[to].member.Handle(w.now(to), *m.request)
		m.request = nil
		m.answer = &a
		w.messages = append(w.messages, m)
		return
	}
	if m.incarnation != w.hosts[to].incarnation {
		return
	}
	if m.holder != nil {
		for _, sequence := range m.holder.Answered(*m.answer) {
			w.commit(m.holder, sequence)
		}
		return
	}
	w.act(to, m.taker, m.taker.Answered(w.now(to), *m.answer))
}

func (w *world) commit(d *shard.Holder, sequence uint64) {
	key := w.sequence[d][sequence]
	stamp := shard.Stamp{Epoch: d.Row().Epoch, Sequence: sequence}
	if w.kept[key].stamp.Less(stamp) {
		w.kept[key] = committed{stamp: stamp, removed: slices.Contains(w.removals[key], stamp)}
	}
}

// store runs table call n; its answer may be lost, and the call may be repeated.
func (w *world) store(n int, lost, keep bool) {
	c := w.calls[n]
	if !keep {
		w.calls = append(w.calls[:n], w.calls[n+1:]...)
	}
	applied := false
	if c.write != nil && c.write.Revision == w.revision {
		w.row = c.write.Row
		w.revision++
		applied = true
	}
	if lost || w.hosts[c.from].paused || c.incarnation != w.hosts[c.from].incarnation {
		return
	}
	if c.write != nil {
		w.act(c.from, c.taker, c.taker.Written(applied))
		return
	}
	w.act(c.from, c.taker, c.taker.RowRead(w.now(c.from), w.row, w.revision))
}

// write lets every holder of a host write a key of a small set, or remove it.
func (w *world) write(i int, key string, removed bool) {
	if w.hosts[i].paused {
		return
	}
	for _, d := range w.hosts[i].holders {
		stamp := shard.Stamp{Epoch: d.Row().Epoch, Sequence: uint64(len(w.sequence[d]) + 1)}
		value := []byte("value")
		if removed {
			value = nil
		}
		sequence, requests, err := d.Append(w.now(i), key, value)
		if err != nil {
			continue
		}
		w.sequence[d][sequence] = key
		if removed {
			w.removals[key] = append(w.removals[key], stamp)
		}
		w.send(i, nil, d, requests)
	}
}

// mayRestart reports whether every group that is or may become that of the row
// keeps a majority of its memory without host i.
func (w *world) mayRestart(i int) bool {
	groups := [][]shard.MemberID{w.row.Members}
	for _, h := range w.hosts {
		for _, k := range h.takers {
			groups = append(groups, k.Row().Members)
		}
	}
	for _, c := range w.calls {
		if c.write != nil {
			groups = append(groups, c.write.Row.Members)
		}
	}
	for _, g := range groups {
		whole := 0
		for _, id := range g {
			if n := w.index(id); n != i && w.id(n) == id {
				whole++
			}
		}
		if len(g) > 0 && whole < shard.Majority(len(g)) {
			return false
		}
	}
	return true
}

func (w *world) restart(i int) {
	h := w.hosts[i]
	h.incarnation++
	h.takers = nil
	h.holders = nil
	h.paused = false
	h.member = shard.NewMember(w.id(i), w.terms)
}

// check asserts that one holder at most is in effect, that epochs in effect never go
// back, and that the holder in effect knows the newest committed version of each key.
func (w *world) check() {
	var effective *shard.Holder
	for i, h := range w.hosts {
		for _, d := range h.holders {
			if !d.Held(w.now(i)) {
				continue
			}
			if effective != nil {
				w.t.Fatalf("two holders in effect: epochs %d and %d", effective.Row().Epoch, d.Row().Epoch)
			}
			effective = d
		}
	}
	if effective == nil {
		return
	}
	if effective.Row().Epoch < w.served {
		w.t.Fatalf("epoch %d is in effect after epoch %d", effective.Row().Epoch, w.served)
	}
	w.served = effective.Row().Epoch
	known := map[string]shard.Stamp{}
	for _, record := range effective.Records() {
		known[record.Key] = record.Stamp
	}
	for _, key := range slices.Sorted(maps.Keys(w.kept)) {
		c := w.kept[key]
		if _, ok := effective.Get(key); !ok {
			w.checkRemoved(effective, key, c)
			continue
		}
		if known[key].Less(c.stamp) {
			w.t.Fatalf("key %s: version %v is in effect after %v was committed", key, known[key], c.stamp)
		}
	}
}

// checkRemoved accepts a missing key only if the committed version, or one that the
// effective holder knows to be newer, is a removal.
func (w *world) checkRemoved(d *shard.Holder, key string, c committed) {
	if !c.removed && !w.removedAfter(d, key, c.stamp) {
		w.t.Fatalf("key %s: version %v was committed and is forgotten in epoch %d", key, c.stamp, d.Row().Epoch)
	}
}

// removedAfter reports whether a removal newer than a version was ever written.
func (w *world) removedAfter(d *shard.Holder, key string, stamp shard.Stamp) bool {
	for _, r := range w.removals[key] {
		if stamp.Less(r) && r.Epoch <= d.Row().Epoch {
			return true
		}
	}
	return false
}

// round delivers everything that is under way in order, without faults.
func (w *world) round() {
	w.elapsed += 50 * time.Millisecond
	w.check()
	for i := range w.hosts {
		w.tick(i)
	}
	for n := 0; n < len(w.calls); {
		if w.hosts[w.calls[n].from].paused {
			n++
			continue
		}
		w.store(n, false, false)
	}
	for n := 0; n < len(w.messages); {
		before := len(w.messages)
		w.deliver(n, false)
		w.check()
		if len(w.messages) == before && w.blocked(n) {
			n++
		}
	}
}

// blocked reports whether message n waits for a paused host.
func (w *world) blocked(n int) bool {
	m := w.messages[n]
	to := m.from
	if m.request != nil {
		to = w.index(m.request.To)
	}
	return w.hosts[to].paused
}

// abandon gives up the attempts of a host that have not written the row.
func (w *world) abandon(i int) {
	for _, k := range w.hosts[i].takers {
		actions, _ := k.Abandon()
		w.act(i, k, actions)
	}
}

// settle ends all faults and asserts that a holder comes into effect again.
func (w *world) settle() {
	for _, h := range w.hosts {
		h.paused = false
	}
	for n := range 400 {
		w.round()
		taking := false
		for i, h := range w.hosts {
			if n%patience == patience-1 {
				w.abandon(i)
			}
			taking = taking || len(h.takers) > 0
			for _, d := range h.holders {
				if d.Held(w.now(i)) {
					return
				}
			}
		}
		if !taking {
			w.startTaker(w.attempts%hosts, []int{0, 1, 2})
		}
	}
	w.t.Fatalf("no holder is in effect after all faults ended")
}

// storm runs rounds in which each message and table call may be delivered out of
// order, delayed, lost or repeated, with the rarity of faults as odds of one in so many.
func (w *world) storm(random *rand.Rand, rounds, rarity int) {
	fault := func() bool { return random.IntN(rarity) == 0 }
	for range rounds {
		w.elapsed += time.Duration(random.IntN(100)) * time.Millisecond
		w.check()
		w.disturb(random)
		for i := range w.hosts {
			w.tick(i)
		}
		for range len(w.calls) {
			if !fault() && len(w.calls) > 0 {
				w.store(random.IntN(len(w.calls)), fault(), fault())
			}
		}
		for range 3 * len(w.messages) {
			n := random.IntN(len(w.messages) + 1)
			if n >= len(w.messages) {
				continue
			}
			if random.IntN(rarity*rarity) == 0 {
				w.messages = slices.Delete(w.messages, n, n+1)
				continue
			}
			w.deliver(n, fault())
			w.check()
		}
	}
}

// disturb starts takers, pauses, restarts and writes, each now and then.
func (w *world) disturb(random *rand.Rand) {
	i := random.IntN(hosts)
	switch random.IntN(12) {
	case 0, 1:
		if len(w.hosts[i].takers) < 2 && !w.hosts[i].paused {
			w.startTaker(i, random.Perm(hosts)[:groupSize])
		}
	case 2, 3:
		w.hosts[i].paused = !w.hosts[i].paused
	case 4:
		if w.mayRestart(i) {
			w.restart(i)
		}
	case 5:
		w.abandon(i)
	default:
		for i := range w.hosts {
			w.write(i, string(rune('a'+random.IntN(3))), random.IntN(4) == 0)
		}
	}
}
