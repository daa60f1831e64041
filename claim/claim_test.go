package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/claim"
	"github.com/bilberryvane/bilberryvane/shard"
)

const members = 5

// A ledgerWorld has a group of members, one holder after another with its ledger,
// and counts how often each piece of work ran.
type ledgerWorld struct {
	t        *rapid.T
	terms    shard.Config
	now      time.Time
	group    []*shard.Member
	silent   []bool
	epoch    shard.Epoch
	attempts int
	holder   *shard.Holder
	ledger   *claim.Ledger
	ran      map[string]int
	answers  map[string]string
	// open are the attempts that were granted and have not ended.
	open map[string]string
}

func (w *ledgerWorld) ids() []shard.MemberID {
	ids := make([]shard.MemberID, 0, len(w.group))
	for _, m := range w.group {
		ids = append(ids, m.ID())
	}
	return ids
}

// exchange sends requests to the members that are not silent, drops each request and
// answer that lost says, and reports whether a record became committed.
func (w *ledgerWorld) exchange(requests []shard.Request, sequence uint64, lost func() bool) bool {
	done := false
	for _, r := range requests {
		for i, m := range w.group {
			if m.ID() != r.To || w.silent[i] {
				continue
			}
			if lost() {
				continue
			}
			a := m.Handle(w.now, r)
			if lost() {
				continue
			}
			for _, s := range w.holder.HandleResponse(a) {
				done = done || s == sequence
			}
		}
	}
	return done
}

// takeOver replaces the holder by the one of the next epoch, by the real taker.
func (w *ledgerWorld) takeOver() {
	previous := shard.Row{}
	if w.holder != nil {
		previous = w.holder.Row()
	}
	w.now = w.now.Add(2 * w.terms.LeaseDuration)
	k := shard.NewTakeover(shard.AttemptID(fmt.Sprint("taker-", w.epoch)), w.group[0].ID(), w.ids(), w.terms)
	actions := k.HandleRow(w.now, previous, uint64(w.epoch))
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if a.Write != nil {
			k.HandleWriteResult(true)
			break
		}
		for i, m := range w.group {
			if m.ID() == a.Send.To && (!w.silent[i] || a.Send.Kind == shard.Copy) {
				actions = append(actions, k.HandleResponse(w.now, m.Handle(w.now, *a.Send))...)
			}
		}
	}
	if k.Stage() != shard.Won {
		w.t.Fatalf("the takeover stopped at stage %d", k.Stage())
	}
	w.epoch++
	w.holder = shard.NewHolder(w.now, k.Row(), k.Records(), w.terms)
	ledger, err := claim.NewLedger(w.now, w.holder, claim.WithMaxAnswer(8))
	if err != nil {
		w.t.Fatal(err)
	}
	w.ledger = ledger
}

// renew keeps the lease, but does not repeat records that some members lack.
func (w *ledgerWorld) renew() {
	w.now = w.now.Add(w.terms.RenewInterval)
	repeats := func(r shard.Request) bool { return r.Kind != shard.Renew }
	w.exchange(slices.DeleteFunc(w.holder.Tick(w.now), repeats), 0, func() bool { return false })
}

// send receives a request for a piece of work as an entry node does: it claims, runs
// the work if that is granted, and releases the claim if it gives up before.
func (w *ledgerWorld) send(key string, lost func() bool, completes int) {
	w.attempts++
	attempt := fmt.Sprint("attempt-", w.attempts)
	name := claim.Name{Account: "franchisee", Key: key}
	r, err := w.ledger.Claim(w.now, name, attempt, time.Second)
	if err != nil {
		return
	}
	committed := w.exchange(r.Requests, r.Sequence, lost) || r.Sequence == 0
	if !committed && r.Verdict == claim.Granted {
		again, err := w.ledger.Claim(w.now, name, attempt, time.Second)
		committed = err == nil && again.Verdict == claim.Granted && again.Sequence == 0
	}
	if !committed {
		if released, err := w.ledger.Release(w.now, name, attempt); err == nil {
			w.exchange(released.Requests, released.Sequence, lost)
		}
		return
	}
	switch r.Verdict {
	case claim.Granted:
		w.ran[key]++
		w.open[key] = attempt
		if completes > 0 {
			w.complete(key, lost, completes)
		}
	case claim.Answered:
		if string(r.Answer) != w.answers[key] {
			w.t.Fatalf("work %s got answer %q, want %q", key, r.Answer, w.answers[key])
		}
	}
	if w.ran[key] > 1 {
		w.t.Fatalf("work %s ran %d times", key, w.ran[key])
	}
	if w.ran[key] == 0 && (r.Verdict == claim.Answered || r.Verdict == claim.AnswerDropped) {
		w.t.Fatalf("work %s is said to have run", key)
	}
}

func (w *ledgerWorld) complete(key string, lost func() bool, size int) {
	attempt, ok := w.open[key]
	if !ok {
		return
	}
	answer, known := w.answers[key]
	if !known {
		answer = fmt.Sprintf("%0*d", size, w.attempts)
		w.answers[key] = answer
	}
	r, err := w.ledger.Complete(w.now, claim.Name{Account: "franchisee", Key: key}, attempt, []byte(answer))
	if err != nil {
		return
	}
	if w.exchange(r.Requests, r.Sequence, lost) && r.Verdict == claim.Recorded {
		delete(w.open, key)
	}
}

// TestWorkRunsAtMostOnce sends the same few pieces of work again and again through
// holders that come and go, with lost messages and silent members.
func TestWorkRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &ledgerWorld{
			t: t, terms: shard.NewConfig(), now: time.Unix(0, 0), silent: make([]bool, members),
			ran: map[string]int{}, answers: map[string]string{}, open: map[string]string{},
		}
		for i := range members {
			id := shard.MemberID{Host: fmt.Sprint("host-", i), Incarnation: "1"}
			w.group = append(w.group, shard.NewMember(id, w.terms))
		}
		w.takeOver()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		odds := rapid.SampledFrom([]int{0, 3, 7}).Draw(t, "odds")
		lost := func() bool { return random.IntN(10) < odds }
		keys := []string{"order-1", "order-2"}
		t.Repeat(map[string]func(*rapid.T){
			"renew": func(*rapid.T) { w.renew() },
			"send": func(t *rapid.T) {
				w.renew()
				w.send(rapid.SampledFrom(keys).Draw(t, "key"), lost, rapid.IntRange(0, 8).Draw(t, "size"))
			},
			"complete": func(t *rapid.T) {
				w.complete(rapid.SampledFrom(keys).Draw(t, "key"), lost, rapid.IntRange(1, 8).Draw(t, "size"))
			},
			"silence": func(t *rapid.T) {
				// A minority is silent at any time.
				clear(w.silent)
				w.silent[rapid.IntRange(0, members-1).Draw(t, "first")] = true
				w.silent[rapid.IntRange(0, members-1).Draw(t, "second")] = true
			},
			"take over": func(*rapid.T) { w.takeOver() },
		})
	})
}

// TestVerdicts goes through the life of a claim.
func TestVerdicts(t *testing.T) {
	now := time.Unix(1000, 0)
	name := claim.Name{Account: "franchisee", Key: "order-1"}
	steps := []struct {
		name string
		do   func(*claim.Ledger, time.Time) (claim.Reply, error)
		want claim.Verdict
	}{
		{"a first attempt may run", claimBy(name, "a"), claim.Granted},
		{"its repeated message too", claimBy(name, "a"), claim.Granted},
		{"another attempt may not", claimBy(name, "b"), claim.Running},
		{"nor may it release", func(l *claim.Ledger, n time.Time) (claim.Reply, error) { return l.Release(n, name, "b") }, claim.Refused},
		{"the first releases", func(l *claim.Ledger, n time.Time) (claim.Reply, error) { return l.Release(n, name, "a") }, claim.Recorded},
		{"a late claim of it is refused", claimBy(name, "a"), claim.Refused},
		{"another may run now", claimBy(name, "b"), claim.Granted},
		{"after its time it is unknown", func(l *claim.Ledger, n time.Time) (claim.Reply, error) {
			return l.Claim(n.Add(time.Second+time.Millisecond), name, "c", time.Second)
		}, claim.Unknown},
		{"its answer still counts", func(l *claim.Ledger, n time.Time) (claim.Reply, error) {
			return l.Complete(n, name, "b", []byte("done"))
		}, claim.Recorded},
		{"and is kept", claimBy(name, "c"), claim.Answered},
	}
	is := is.New(t)
	holder, member := held(now, shard.Row{Epoch: 1, Attempt: "one"})
	ledger, err := claim.NewLedger(now, holder, claim.WithRetention(time.Minute))
	is.NoErr(err)
	for _, s := range steps {
		r, err := s.do(ledger, now)
		is.NoErr(err)
		if r.Verdict != s.want {
			t.Fatalf("%s: verdict %d, want %d", s.name, r.Verdict, s.want)
		}
		for _, q := range r.Requests {
			holder.HandleResponse(member.Handle(now, q))
		}
	}
	is.Equal(len(ledger.Expire(now.Add(time.Second))), 0)
	later := now.Add(time.Minute)
	holder.HandleResponse(member.Handle(later, holder.Tick(later)[0]))
	is.True(len(ledger.Expire(later)) > 0)
	is.Equal(len(holder.Records()), 0)
}

// TestNothingIsGrantedAfterLoss holds new claims back while records may be missing.
func TestNothingIsGrantedAfterLoss(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	holder, _ := held(now, shard.Row{Epoch: 1, Attempt: "one", Lossy: true})
	ledger, err := claim.NewLedger(now, holder, claim.WithHold(time.Second))
	is.NoErr(err)
	name := claim.Name{Account: "franchisee", Key: "order-1"}
	r, err := ledger.Claim(now, name, "a", time.Second)
	is.NoErr(err)
	is.Equal(r.Verdict, claim.Held)
	r, err = ledger.Claim(now.Add(time.Second), name, "a", time.Second)
	is.NoErr(err)
	is.Equal(r.Verdict, claim.Granted)
}

func claimBy(name claim.Name, attempt string) func(*claim.Ledger, time.Time) (claim.Reply, error) {
	return func(l *claim.Ledger, now time.Time) (claim.Reply, error) {
		return l.Claim(now, name, attempt, time.Second)
	}
}

// held returns a holder in effect with its only member.
func held(now time.Time, row shard.Row) (*shard.Holder, *shard.Member) {
	terms := shard.NewConfig()
	m := shard.NewMember(shard.MemberID{Host: "host-1", Incarnation: "1"}, terms)
	row.Members = []shard.MemberID{m.ID()}
	m.Handle(now, shard.Request{Kind: shard.Copy, To: m.ID(), Epoch: row.Epoch, Attempt: row.Attempt})
	h := shard.NewHolder(now, row, nil, terms)
	h.HandleResponse(m.Handle(now, h.Tick(now)[0]))
	return h, m
}
