package retry_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/retry"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A callTree runs a random tree of calls and counts the attempts made in it.
type callTree struct {
	t        *rapid.T
	attempts int
}

// call runs one call with the given allowance and up to four tries. It returns the unused
// attempts that the answer returns, and whether the answer arrives.
func (r *callTree) call(allowance, depth int) (int, bool) {
	a := retry.NewAllowance(allowance)
	tries := rapid.IntRange(1, 4).Draw(r.t, "tries")
	for range tries {
		if a.Spend() != nil {
			break
		}
		r.attempts++
		if depth > 0 {
			r.serve(a, depth)
		}
	}
	granted := a.Granted()
	if a.Free()+a.Spent()+granted != allowance {
		r.t.Fatalf("free %d, spent %d and granted %d do not sum to %d", a.Free(), a.Spent(), granted, allowance)
	}
	unused := a.Close()
	return unused, rapid.IntRange(0, 3).Draw(r.t, "lost") > 0
}

// serve simulates the backend server, which makes calls in parallel. Children without
// an answer keep running after the call has ended.
func (r *callTree) serve(a *retry.Allowance, depth int) {
	children := rapid.IntRange(0, 4).Draw(r.t, "children")
	type open struct {
		grant retry.Grant
		part  int
	}
	var grants []open
	for i := range children {
		grant, part, err := a.GrantShare(children - i)
		if err != nil {
			if !errors.Is(err, retry.ErrExhausted) {
				r.t.Fatalf("grant: %v", err)
			}
			break
		}
		grants = append(grants, open{grant, part})
	}
	for _, o := range grants {
		unused, arrives := r.call(o.part, depth-1)
		switch {
		case arrives:
			if err := a.Return(o.grant, unused); err != nil {
				r.t.Fatalf("return: %v", err)
			}
			if a.Return(o.grant, unused) == nil {
				r.t.Fatalf("a grant was returned twice")
			}
		case rapid.Bool().Draw(r.t, "noticed"):
			if err := a.Forfeit(o.grant); err != nil {
				r.t.Fatalf("forfeit: %v", err)
			}
		}
	}
}

// The attempts in a whole call tree never exceed the allowance of its root, with
// fan-out, failures, lost answers, children that outlive their parent, and retries.
func TestAttemptsNeverExceedAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := rapid.IntRange(0, 40).Draw(t, "allowance")
		r := &callTree{t: t}
		unused, _ := r.call(allowance, rapid.IntRange(0, 5).Draw(t, "depth"))
		if r.attempts+unused > allowance {
			t.Fatalf("%d attempts and %d unused with an allowance of %d", r.attempts, unused, allowance)
		}
	})
}

func TestAllowanceGrants(t *testing.T) {
	is := is.New(t)
	a := retry.NewAllowance(8)
	first, part, err := a.GrantMost()
	is.NoErr(err)
	is.Equal(part, 6) // a quarter is retained for another try
	is.NoErr(a.Return(first, 50))
	is.Equal(a.Free(), 8) // capped at the granted number
	second, _, err := a.Grant(7)
	is.NoErr(err)
	is.Equal(a.Close(), 1)
	is.Equal(a.Spent(), 7)                                         // a grant that is open at the end is spent
	is.True(errors.Is(a.Return(second, 7), retry.ErrUnknownGrant)) // its answer is too late
	is.True(errors.Is(a.Spend(), retry.ErrExhausted))              // no attempt is left
}

func TestRetryableOutcomes(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		attempt    retry.Attempt
		expired    bool
		want       bool
	}{
		{"answered", true, retry.Attempt{Outcome: retry.Answered}, false, false},
		{"not run", false, retry.Attempt{Outcome: retry.NotRun}, false, true},
		{"not run, deadline passed", false, retry.Attempt{Outcome: retry.NotRun}, true, false},
		{"not run, downstream overloaded", true, retry.Attempt{Outcome: retry.NotRun, DownstreamOverloaded: true}, false, false},
		{"not run, permanent", true, retry.Attempt{Outcome: retry.NotRun, Permanent: true}, false, false},
		{"failed, idempotent", true, retry.Attempt{Outcome: retry.Failed}, false, true},
		{"failed, not idempotent", false, retry.Attempt{Outcome: retry.Failed}, false, false},
		{"unknown, idempotent", true, retry.Attempt{Outcome: retry.Unknown}, false, true},
		{"unknown, not idempotent", false, retry.Attempt{Outcome: retry.Unknown}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := start
			if c.expired {
				now = start.Add(time.Second)
			}
			request := retry.Request{Idempotent: c.idempotent, Deadline: start.Add(time.Second)}
			is.Equal(retry.Retryable(now, request, c.attempt), c.want)
		})
	}
	excluded := retry.ExcludedHosts([]retry.Attempt{{Host: "a"}, {Host: "b"}})
	is := is.New(t)
	is.True(excluded["a"] && excluded["b"] && !excluded["c"])
}

// In any sequence of events, the total retries are bounded by the reserve, renewed once
// per half-life, and the share of all successes.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudget(retry.WithShare(0.2), retry.WithReserve(2), retry.WithHalfLife(time.Second))
		successes, retries := 0, 0
		now := start
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess(now)
				successes++
			} else if b.Allow(now) {
				retries++
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
		}
		renewed := 2 * (1 + now.Sub(start).Seconds())
		if float64(retries) > renewed+0.2*float64(successes)+1 {
			t.Fatalf("%d retries for %d successes in %v", retries, successes, now.Sub(start))
		}
	})
}
