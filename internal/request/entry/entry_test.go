package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/entry"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/request/registry"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

const secret = "bbv-secret-of-the-depot"

// fakeDeps implements all dependencies of an Entry.
type fakeDeps struct {
	snapshot    configuration.Snapshot
	partitioned bool
	overload    error
	rateErr     error
	claimErr    error
	stored      *exchange.Answer
	claimed     []call.Context
	finished    []exchange.Answer
	forwarded   []exchange.Request
	answer      func(ctx context.Context, r exchange.Request) exchange.Answer
	recorded    []exchange.Answer
}

func newFakeDeps(t *testing.T) *fakeDeps {
	t.Helper()
	text := fmt.Sprintf(`[service planning]
calls = stock
[service stock]
[class route-sheet]
service = planning
path-prefix = /routes
target = 300ms
importance = 4
idempotent = true
[class completion]
service = planning
path-prefix = /completions
target = 300ms
importance = 5
[class stock-lookup]
service = stock
path-prefix = /items
target = 100ms
importance = 1
idempotent = true
[account nord]
rate = 10
burst = 5
[key nord-1]
account = nord
hash = %s
`, key.HashOf(secret))
	snapshot, err := configuration.Parse("test.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &fakeDeps{
		snapshot: snapshot.WithVersion(7),
		answer: func(_ context.Context, r exchange.Request) exchange.Answer {
			return exchange.Answer{Status: 200, Body: r.Body, UnusedAttempts: r.Context.Attempts - 1}
		},
	}
}

func (p *fakeDeps) entry(r *registry.Registry) *entry.Entry {
	return entry.New(entry.Deps{
		Host: "host-1", Configuration: p, Backpressure: p, RateLimiter: p, Claims: p, Forwarder: p, Recorder: p, Registry: r, Clock: clock.System{},
	})
}

func (p *fakeDeps) Allow(call.Context) error { return p.overload }

func (p *fakeDeps) Observe(call.Context, exchange.Answer) {}

func (p *fakeDeps) Current() (configuration.Snapshot, bool) { return p.snapshot, true }

func (p *fakeDeps) KeysUsable() bool { return !p.partitioned }

func (p *fakeDeps) Take(context.Context, string, time.Duration) error { return p.rateErr }

func (p *fakeDeps) Claim(_ context.Context, c call.Context) (entry.Claim, exchange.Answer, bool, error) {
	p.claimed = append(p.claimed, c)
	if p.stored != nil {
		return nil, *p.stored, true, nil
	}
	return p, exchange.Answer{}, false, p.claimErr
}

func (p *fakeDeps) Finish(_ context.Context, a exchange.Answer) { p.finished = append(p.finished, a) }

func (p *fakeDeps) Forward(ctx context.Context, r exchange.Request) exchange.Answer {
	p.forwarded = append(p.forwarded, r)
	return p.answer(ctx, r)
}

func (p *fakeDeps) Record(_ call.Context, _, _ time.Duration, a exchange.Answer) {
	p.recorded = append(p.recorded, a)
}

func completion() entry.Request {
	return entry.Request{
		Method: "POST", Service: "planning", Path: "/completions", Secret: secret, IdempotencyKey: "job-1", Body: []byte("done"),
	}
}

func TestServeCompletesContext(t *testing.T) {
	is := is.New(t)
	p := newFakeDeps(t)
	answer := p.entry(registry.New()).Serve(t.Context(), completion())
	is.Equal(answer.Status, 200)
	c := p.forwarded[0].Context
	is.Equal(c.Account, "nord")
	is.Equal(c.KeyID, "nord-1")
	is.Equal(c.Class, "completion")
	is.Equal(int(c.Importance), 5)
	is.Equal(c.ConfigurationVersion, uint64(7))
	is.Equal(c.IdempotencyKey, "job-1")
	is.True(!c.Idempotent)
	message, err := cbor.Marshal(p.forwarded[0])
	is.NoErr(err)
	is.True(!bytes.Contains(message, []byte(secret))) // no message to another node contains the key
	is.Equal(len(p.finished), 1)
	is.Equal(p.finished[0].Status, 200)
}

func TestServeRefusesBeforeForwarding(t *testing.T) {
	limited := refusal.New(refusal.RateExceeded).WithRetryAfter(time.Second)
	unavailable := refusal.New(refusal.ClaimUnavailable)
	tests := []struct {
		name        string
		partitioned bool
		rate        error
		claim       error
		idempotent  bool
		wantReason  refusal.Reason
		want        refusal.Outcome
		wantClaims  int
	}{
		// Work that may run only once may have run in an earlier request.
		{name: "rate", rate: limited, wantReason: refusal.RateExceeded, want: refusal.Unknown},
		{name: "rate, idempotent", idempotent: true, rate: limited, wantReason: refusal.RateExceeded, want: refusal.NotRun},
		{name: "partitioned", partitioned: true, wantReason: refusal.KeysUnconfirmed, want: refusal.Unknown},
		{name: "partitioned, idempotent", idempotent: true, partitioned: true, wantReason: refusal.KeysUnconfirmed, want: refusal.NotRun},
		{name: "claim", claim: unavailable, wantReason: refusal.ClaimUnavailable, want: refusal.Unknown, wantClaims: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := newFakeDeps(t)
			p.rateErr, p.claimErr, p.partitioned = tt.rate, tt.claim, tt.partitioned
			in := completion()
			if tt.idempotent {
				in.Path, in.IdempotencyKey = "/routes", ""
			}
			answer := p.entry(registry.New()).Serve(t.Context(), in)
			is.Equal(answer.Refusal.Reason, tt.wantReason)
			is.Equal(answer.Refusal.Outcome, tt.want)
			is.True(answer.Refusal.Class != "")
			is.True(answer.Refusal.RequestID != "")
			is.Equal(len(p.forwarded), 0) // the outcome not-run is correct
			is.Equal(len(p.claimed), tt.wantClaims)
			is.Equal(len(p.recorded), 1)
		})
	}
}

func TestRepeatedRequestReturnsStoredAnswer(t *testing.T) {
	is := is.New(t)
	p := newFakeDeps(t)
	p.stored = &exchange.Answer{Status: 201, Body: []byte("kept")}
	answer := p.entry(registry.New()).Serve(t.Context(), completion())
	is.Equal(answer.Status, 201)
	is.Equal(string(answer.Body), "kept")
	is.Equal(len(p.forwarded), 0)
}

func TestChildCallInheritsRootContext(t *testing.T) {
	is := is.New(t)
	p := newFakeDeps(t)
	r := registry.New()
	root := call.Context{
		RequestID: "root", Account: "nord", KeyID: "nord-1", Class: "route-sheet", Importance: 4, Attempts: 10,
		Deadline: time.Now().Add(time.Minute),
	}
	token, _ := r.Issue(root)
	answer := p.entry(r).ServeChild(t.Context(), entry.Request{Method: "GET", Service: "stock", Path: "/items", Token: token})
	is.Equal(answer.Status, 200)
	c := p.forwarded[0].Context
	is.Equal(c.RequestID, "root")
	is.Equal(c.Account, "nord")
	is.Equal(int(c.Importance), 4) // that of the root request, not of the child call's class
	is.Equal(c.Depth, 1)
	is.Equal(c.Deadline, root.Deadline)
	is.Equal(r.End(token), 9) // one attempt was used, the others were returned
	ended := p.entry(r).ServeChild(t.Context(), entry.Request{Method: "GET", Service: "stock", Path: "/items", Token: token})
	is.Equal(ended.Refusal.Reason, refusal.UnknownRequestToken)
	is.Equal(len(p.forwarded), 1)
}

func TestChildCallIsCancelledWhenParentEnds(t *testing.T) {
	is := is.New(t)
	p := newFakeDeps(t)
	r := registry.New()
	token, _ := r.Issue(call.Context{Attempts: 10, Deadline: time.Now().Add(time.Hour)})
	p.answer = func(ctx context.Context, _ exchange.Request) exchange.Answer {
		r.End(token)
		<-ctx.Done() // returns only if the end of the parent cancels the child call
		return exchange.Refused(refusal.New(refusal.Cancelled).WithOutcome(refusal.Unknown))
	}
	answer := p.entry(r).ServeChild(t.Context(), entry.Request{Method: "GET", Service: "stock", Path: "/items", Token: token})
	is.Equal(answer.Refusal.Reason, refusal.Cancelled)
}

// Overload must not replace the stored answer of work that ran before by a refusal with
// the outcome not-run. The claim of work that did not run is released.
func TestOverloadReturnsStoredAnswerOfEarlierRun(t *testing.T) {
	is := is.New(t)
	p := newFakeDeps(t)
	p.overload = refusal.New(refusal.Overloaded)
	refused := p.entry(registry.New()).Serve(t.Context(), completion())
	is.Equal(refused.Refusal.Reason, refusal.Overloaded)
	is.Equal(len(p.forwarded), 0)
	is.Equal(len(p.finished), 1)
	is.Equal(p.finished[0].Refusal.Outcome, refusal.NotRun)
	p.stored = &exchange.Answer{Status: 200}
	is.Equal(p.entry(registry.New()).Serve(t.Context(), completion()).Status, 200)
}
