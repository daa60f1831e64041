package shard_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/shard"
)

// TestOneHolderAndNoForgottenRecord runs holders and takers under loss, reordering,
// duplicates, pauses, restarts with empty memory and lost table answers, and then
// lets all faults end.
func TestOneHolderAndNoForgottenRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.settle()
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { w.check() },
			"time": func(t *rapid.T) {
				w.elapsed += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
				w.check()
				for i := range w.hosts {
					w.tick(i)
				}
			},
			"round": func(*rapid.T) { w.round() },
			"storm": func(t *rapid.T) {
				random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
				rounds := rapid.IntRange(1, 100).Draw(t, "rounds")
				w.storm(random, rounds, rapid.IntRange(2, 20).Draw(t, "rarity"))
			},
			"take": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				if len(w.hosts[i].takers) < 2 && !w.hosts[i].paused {
					w.startTaker(i, rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "group")[:groupSize])
				}
			},
			"abandon": func(t *rapid.T) {
				w.abandon(rapid.IntRange(0, hosts-1).Draw(t, "host"))
			},
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				removed := rapid.IntRange(0, 3).Draw(t, "removed") == 0
				for i := range w.hosts {
					w.write(i, key, removed)
				}
			},
			"pause": func(t *rapid.T) {
				h := w.hosts[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				h.paused = !h.paused
			},
			"restart": func(t *rapid.T) {
				if i := rapid.IntRange(0, hosts-1).Draw(t, "host"); w.mayRestart(i) {
					w.restart(i)
				}
			},
			"release": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				for _, d := range w.hosts[i].holders {
					if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
						w.send(i, nil, d, d.Release())
					}
				}
			},
			"outlive": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				w.hosts[i].member.Outlived(w.row)
			},
		})
		w.settle()
		w.check()
	})
}

// TestLossyTakeover loses a majority of the members: the takeover waits for proof
// and for the leases, keeps what the survivor has, and says what it is.
func TestLossyTakeover(t *testing.T) {
	is := is.New(t)
	terms := shard.NewTerms()
	now := time.Unix(0, 0)
	old := []shard.MemberID{memberID(0, 0), memberID(1, 0), memberID(2, 0)}
	k := shard.NewTaker("next", memberID(3, 0), []shard.MemberID{memberID(3, 0)}, terms)
	k.RowRead(now, shard.Row{Epoch: 1, Attempt: "first", Members: old}, 1)
	k.Gone(now, old[1])
	k.Answered(now, shard.Answer{
		Kind: shard.Seal, From: old[0], Epoch: 2, Attempt: "next", Status: shard.Done,
		Records: []shard.Record{{Key: "a", Stamp: shard.Stamp{Epoch: 1, Sequence: 1}}},
	})
	now = now.Add(2 * terms.Lease)
	k.Tick(now)
	is.Equal(k.Stage(), shard.Sealing) // one silent member may have granted a lease
	k.Gone(now, old[2])
	k.Tick(now.Add(terms.Lease))
	is.Equal(k.Stage(), shard.Sealing) // the lease may run longer by the drift
	k.Tick(now.Add(2 * terms.Lease))
	is.Equal(k.Stage(), shard.Copying)
	is.True(k.Row().Lossy)
	is.Equal(len(k.Records()), 1)
}

// TestHandoverNeedsNoLease releases a shard and hands it over without waiting.
func TestHandoverNeedsNoLease(t *testing.T) {
	is := is.New(t)
	terms := shard.NewTerms()
	now := time.Unix(0, 0)
	m := shard.NewMember(memberID(0, 0), terms)
	m.Handle(now, shard.Request{Kind: shard.Copy, To: m.ID(), Epoch: 1, Attempt: "first"})
	row := shard.Row{Epoch: 1, Attempt: "first", Members: []shard.MemberID{m.ID()}}
	d := shard.NewHolder(now, row, nil, terms)
	d.Answered(m.Handle(now, d.Tick(now)[0]))
	is.True(d.Held(now))
	seal := shard.Request{Kind: shard.Seal, To: m.ID(), Epoch: 2, Attempt: "next", Previous: "first"}
	is.True(!d.Held(now.Add(terms.Lease)))
	is.Equal(m.Handle(now.Add(terms.Lease), seal).Status, shard.Waiting) // the holder's clock may be slower
	release := d.Release()
	is.True(!d.Held(now))
	m.Handle(now, release[0])
	is.Equal(m.Handle(now, seal).Status, shard.Done)
}
