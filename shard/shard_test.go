package shard_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/shard"
)

// TestSingleHolderAndNoLostRecords runs holders and takeovers under message loss,
// reordering, duplicates, pauses, restarts with empty memory and lost table responses. At
// the end it stops all faults and expects a holder.
func TestSingleHolderAndNoLostRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.waitForHolder()
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { s.checkInvariants() },
			"time": func(t *rapid.T) {
				s.elapsed += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond
				s.checkInvariants()
				for i := range s.hosts {
					s.tick(i)
				}
			},
			"round": func(*rapid.T) { s.runRound() },
			"storm": func(t *rapid.T) {
				random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
				rounds := rapid.IntRange(1, 100).Draw(t, "rounds")
				s.runFaultyRounds(random, rounds, rapid.IntRange(2, 20).Draw(t, "rarity"))
			},
			"take": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				if len(s.hosts[i].takeovers) < 2 && !s.hosts[i].paused {
					s.startTakeover(i, rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "group")[:groupSize])
				}
			},
			"abandon": func(t *rapid.T) {
				s.abandon(rapid.IntRange(0, hosts-1).Draw(t, "host"))
			},
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				removed := rapid.IntRange(0, 3).Draw(t, "removed") == 0
				for i := range s.hosts {
					s.write(i, key, removed)
				}
			},
			"pause": func(t *rapid.T) {
				h := s.hosts[rapid.IntRange(0, hosts-1).Draw(t, "host")]
				h.paused = !h.paused
			},
			"restart": func(t *rapid.T) {
				if i := rapid.IntRange(0, hosts-1).Draw(t, "host"); s.canRestart(i) {
					s.restart(i)
				}
			},
			"release": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				for _, hd := range s.hosts[i].holders {
					if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
						s.queueRequests(i, nil, hd, hd.Release())
					}
				}
			},
			"outlive": func(t *rapid.T) {
				i := rapid.IntRange(0, hosts-1).Draw(t, "host")
				s.hosts[i].member.ObserveRow(s.row)
			},
		})
		s.waitForHolder()
		s.checkInvariants()
	})
}

// TestLossyTakeover checks a takeover after the loss of a majority of the members: it
// waits for proof of the loss and for the leases to expire, keeps the records of the
// remaining member, and marks the row as lossy.
func TestLossyTakeover(t *testing.T) {
	is := is.New(t)
	config := shard.NewConfig()
	now := time.Unix(0, 0)
	old := []shard.MemberID{memberID(0, 0), memberID(1, 0), memberID(2, 0)}
	tk := shard.NewTakeover("next", memberID(3, 0), []shard.MemberID{memberID(3, 0)}, config)
	tk.HandleRow(now, shard.Row{Epoch: 1, Attempt: "first", Members: old}, 1)
	tk.MarkGone(now, old[1])
	tk.HandleResponse(now, shard.Response{
		Kind: shard.Seal, From: old[0], Epoch: 2, Attempt: "next", Status: shard.Done,
		Records: []shard.Record{{Key: "a", Version: shard.Version{Epoch: 1, Sequence: 1}}},
	})
	now = now.Add(2 * config.LeaseDuration)
	tk.Tick(now)
	is.Equal(tk.Stage(), shard.Sealing) // the unresponsive member may have granted a lease
	tk.MarkGone(now, old[2])
	tk.Tick(now.Add(config.LeaseDuration))
	is.Equal(tk.Stage(), shard.Sealing) // clock drift may extend the lease
	tk.Tick(now.Add(2 * config.LeaseDuration))
	is.Equal(tk.Stage(), shard.Copying)
	is.True(tk.Row().Lossy)
	is.Equal(len(tk.Records()), 1)
}

// TestReleaseSkipsLeaseWait checks that a released shard can be sealed before the lease
// expires.
func TestReleaseSkipsLeaseWait(t *testing.T) {
	is := is.New(t)
	config := shard.NewConfig()
	now := time.Unix(0, 0)
	m := shard.NewMember(memberID(0, 0), config)
	m.Handle(now, shard.Request{Kind: shard.Copy, To: m.ID(), Epoch: 1, Attempt: "first"})
	row := shard.Row{Epoch: 1, Attempt: "first", Members: []shard.MemberID{m.ID()}}
	hd := shard.NewHolder(now, row, nil, config)
	hd.HandleResponse(m.Handle(now, hd.Tick(now)[0]))
	is.True(hd.Held(now))
	seal := shard.Request{Kind: shard.Seal, To: m.ID(), Epoch: 2, Attempt: "next", Previous: "first"}
	is.True(!hd.Held(now.Add(config.LeaseDuration)))
	is.Equal(m.Handle(now.Add(config.LeaseDuration), seal).Status, shard.Waiting) // the holder's clock may be slower
	release := hd.Release()
	is.True(!hd.Held(now))
	m.Handle(now, release[0])
	is.Equal(m.Handle(now, seal).Status, shard.Done)
}
