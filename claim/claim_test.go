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

// A simulation runs a group of members and one holder with its table per epoch, and
// counts how often each piece of work ran.
type simulation struct {
	t           *rapid.T
	config      shard.Config
	now         time.Time
	group       []*shard.Member
	unreachable []bool
	epoch       shard.Epoch
	attempts    int
	holder      *shard.Holder
	table       *claim.Table
	runs        map[string]int
	answers     map[string]string
	// granted contains the attempts that were granted and have not finished, by key.
	granted map[string]string
}

func (s *simulation) ids() []shard.MemberID {
	ids := make([]shard.MemberID, 0, len(s.group))
	for _, m := range s.group {
		ids = append(ids, m.ID())
	}
	return ids
}

// exchange sends requests to the members that are reachable and drops each request and
// response for which lost returns true. It reports whether the record was committed.
func (s *simulation) exchange(requests []shard.Request, sequence uint64, lost func() bool) bool {
	committed := false
	for _, r := range requests {
		for i, m := range s.group {
			if m.ID() != r.To || s.unreachable[i] {
				continue
			}
			if lost() {
				continue
			}
			response := m.Handle(s.now, r)
			if lost() {
				continue
			}
			for _, q := range s.holder.HandleResponse(response) {
				committed = committed || q == sequence
			}
		}
	}
	return committed
}

// takeOver runs a shard.Takeover and replaces the holder by that of the next epoch.
func (s *simulation) takeOver() {
	previous := shard.Row{}
	if s.holder != nil {
		previous = s.holder.Row()
	}
	s.now = s.now.Add(2 * s.config.LeaseDuration)
	k := shard.NewTakeover(shard.AttemptID(fmt.Sprint("taker-", s.epoch)), s.group[0].ID(), s.ids(), s.config)
	actions := k.HandleRow(s.now, previous, uint64(s.epoch))
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if a.Write != nil {
			k.HandleWriteResult(true)
			break
		}
		for i, m := range s.group {
			if m.ID() == a.Send.To && (!s.unreachable[i] || a.Send.Kind == shard.Copy) {
				actions = append(actions, k.HandleResponse(s.now, m.Handle(s.now, *a.Send))...)
			}
		}
	}
	if k.Stage() != shard.Won {
		s.t.Fatalf("the takeover stopped at stage %d", k.Stage())
	}
	s.epoch++
	s.holder = shard.NewHolder(s.now, k.Row(), k.Records(), s.config)
	table, err := claim.NewTable(s.now, s.holder, claim.WithMaxAnswerBytes(8))
	if err != nil {
		s.t.Fatal(err)
	}
	s.table = table
}

// renew renews the lease without resending records that some members lack.
func (s *simulation) renew() {
	s.now = s.now.Add(s.config.RenewInterval)
	isResend := func(r shard.Request) bool { return r.Kind != shard.Renew }
	s.exchange(slices.DeleteFunc(s.holder.Tick(s.now), isResend), 0, func() bool { return false })
}

// send handles a request for a piece of work as an entry node does. It claims the work,
// runs it if the claim is granted, and releases the claim if that is not confirmed.
func (s *simulation) send(key string, lost func() bool, answerSize int) {
	s.attempts++
	attempt := fmt.Sprint("attempt-", s.attempts)
	id := claim.WorkID{Account: "franchisee", Key: key}
	r, err := s.table.Claim(s.now, id, attempt, time.Second)
	if err != nil {
		return
	}
	committed := s.exchange(r.Requests, r.Sequence, lost) || r.Sequence == 0
	if !committed && r.Result == claim.Granted {
		retry, err := s.table.Claim(s.now, id, attempt, time.Second)
		committed = err == nil && retry.Result == claim.Granted && retry.Sequence == 0
	}
	if !committed {
		if released, err := s.table.Release(s.now, id, attempt); err == nil {
			s.exchange(released.Requests, released.Sequence, lost)
		}
		return
	}
	switch r.Result {
	case claim.Granted:
		s.runs[key]++
		s.granted[key] = attempt
		if answerSize > 0 {
			s.complete(key, lost, answerSize)
		}
	case claim.Answered:
		if string(r.Answer) != s.answers[key] {
			s.t.Fatalf("work %s got answer %q, want %q", key, r.Answer, s.answers[key])
		}
	}
	if s.runs[key] > 1 {
		s.t.Fatalf("work %s ran %d times", key, s.runs[key])
	}
	if s.runs[key] == 0 && (r.Result == claim.Answered || r.Result == claim.AnswerDropped) {
		s.t.Fatalf("work %s is reported as run, but it did not run", key)
	}
}

func (s *simulation) complete(key string, lost func() bool, size int) {
	attempt, ok := s.granted[key]
	if !ok {
		return
	}
	answer, known := s.answers[key]
	if !known {
		answer = fmt.Sprintf("%0*d", size, s.attempts)
		s.answers[key] = answer
	}
	r, err := s.table.Complete(s.now, claim.WorkID{Account: "franchisee", Key: key}, attempt, []byte(answer))
	if err != nil {
		return
	}
	if s.exchange(r.Requests, r.Sequence, lost) && r.Result == claim.Recorded {
		delete(s.granted, key)
	}
}

// TestWorkRunsAtMostOnce repeatedly sends the same few pieces of work while holders
// change, messages are lost and members are down.
func TestWorkRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, config: shard.NewConfig(), now: time.Unix(0, 0), unreachable: make([]bool, members),
			runs: map[string]int{}, answers: map[string]string{}, granted: map[string]string{},
		}
		for i := range members {
			id := shard.MemberID{Host: fmt.Sprint("host-", i), Incarnation: "1"}
			s.group = append(s.group, shard.NewMember(id, s.config))
		}
		s.takeOver()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		lossTenths := rapid.SampledFrom([]int{0, 3, 7}).Draw(t, "odds")
		lost := func() bool { return random.IntN(10) < lossTenths }
		keys := []string{"order-1", "order-2"}
		t.Repeat(map[string]func(*rapid.T){
			"renew": func(*rapid.T) { s.renew() },
			"send": func(t *rapid.T) {
				s.renew()
				s.send(rapid.SampledFrom(keys).Draw(t, "key"), lost, rapid.IntRange(0, 8).Draw(t, "size"))
			},
			"complete": func(t *rapid.T) {
				s.complete(rapid.SampledFrom(keys).Draw(t, "key"), lost, rapid.IntRange(1, 8).Draw(t, "size"))
			},
			"silence": func(t *rapid.T) {
				// Only a minority is down at any time.
				clear(s.unreachable)
				s.unreachable[rapid.IntRange(0, members-1).Draw(t, "first")] = true
				s.unreachable[rapid.IntRange(0, members-1).Draw(t, "second")] = true
			},
			"take over": func(*rapid.T) { s.takeOver() },
		})
	})
}

// TestClaimLifecycle checks the result of each operation in the lifetime of a claim.
func TestClaimLifecycle(t *testing.T) {
	now := time.Unix(1000, 0)
	id := claim.WorkID{Account: "franchisee", Key: "order-1"}
	steps := []struct {
		name string
		do   func(*claim.Table, time.Time) (claim.Reply, error)
		want claim.Result
	}{
		{"the first attempt is granted", claimBy(id, "a"), claim.Granted},
		{"its repeated message is granted", claimBy(id, "a"), claim.Granted},
		{"another attempt is not granted", claimBy(id, "b"), claim.Running},
		{"another attempt cannot release the claim", func(tb *claim.Table, n time.Time) (claim.Reply, error) { return tb.Release(n, id, "b") }, claim.Refused},
		{"the first attempt releases the claim", func(tb *claim.Table, n time.Time) (claim.Reply, error) { return tb.Release(n, id, "a") }, claim.Recorded},
		{"a late claim of the released attempt is refused", claimBy(id, "a"), claim.Refused},
		{"another attempt is granted", claimBy(id, "b"), claim.Granted},
		{"after the deadline the outcome is unknown", func(tb *claim.Table, n time.Time) (claim.Reply, error) {
			return tb.Claim(n.Add(time.Second+time.Millisecond), id, "c", time.Second)
		}, claim.Unknown},
		{"a late answer is recorded", func(tb *claim.Table, n time.Time) (claim.Reply, error) {
			return tb.Complete(n, id, "b", []byte("done"))
		}, claim.Recorded},
		{"the recorded answer is returned", claimBy(id, "c"), claim.Answered},
	}
	is := is.New(t)
	holder, member := newHolder(now, shard.Row{Epoch: 1, Attempt: "one"})
	table, err := claim.NewTable(now, holder, claim.WithRetention(time.Minute))
	is.NoErr(err)
	for _, s := range steps {
		r, err := s.do(table, now)
		is.NoErr(err)
		if r.Result != s.want {
			t.Fatalf("%s: result %d, want %d", s.name, r.Result, s.want)
		}
		for _, q := range r.Requests {
			holder.HandleResponse(member.Handle(now, q))
		}
	}
	is.Equal(len(table.Expire(now.Add(time.Second))), 0)
	later := now.Add(time.Minute)
	holder.HandleResponse(member.Handle(later, holder.Tick(later)[0]))
	is.True(len(table.Expire(later)) > 0)
	is.Equal(len(holder.Records()), 0)
}

// TestClaimsPauseAfterRecordLoss checks that new claims are not granted while
// records may be missing after a takeover.
func TestClaimsPauseAfterRecordLoss(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	holder, _ := newHolder(now, shard.Row{Epoch: 1, Attempt: "one", Lossy: true})
	table, err := claim.NewTable(now, holder, claim.WithLossPause(time.Second))
	is.NoErr(err)
	id := claim.WorkID{Account: "franchisee", Key: "order-1"}
	r, err := table.Claim(now, id, "a", time.Second)
	is.NoErr(err)
	is.Equal(r.Result, claim.Paused)
	r, err = table.Claim(now.Add(time.Second), id, "a", time.Second)
	is.NoErr(err)
	is.Equal(r.Result, claim.Granted)
}

func claimBy(id claim.WorkID, attempt string) func(*claim.Table, time.Time) (claim.Reply, error) {
	return func(tb *claim.Table, now time.Time) (claim.Reply, error) {
		return tb.Claim(now, id, attempt, time.Second)
	}
}

// newHolder returns a holder with a valid lease and its only member.
func newHolder(now time.Time, row shard.Row) (*shard.Holder, *shard.Member) {
	config := shard.NewConfig()
	m := shard.NewMember(shard.MemberID{Host: "host-1", Incarnation: "1"}, config)
	row.Members = []shard.MemberID{m.ID()}
	m.Handle(now, shard.Request{Kind: shard.Copy, To: m.ID(), Epoch: row.Epoch, Attempt: row.Attempt})
	h := shard.NewHolder(now, row, nil, config)
	h.HandleResponse(m.Handle(now, h.Tick(now)[0]))
	return h, m
}
