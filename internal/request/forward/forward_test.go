package forward_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/forward"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// A script returns the given answers to the tries of one call in turn, each from another
// host.
type script struct {
	answers []exchange.Answer
	tries   int
}

func (s *script) Pick(call.Context, []string) (forward.Target, error) {
	return forward.Target{Host: fmt.Sprint(s.tries)}, nil
}

func (s *script) Observe(forward.Target, call.Context, forward.Observation) {}

func (s *script) Allow(string) bool { return s.tries < len(s.answers) }

func (s *script) RecordSuccess(string) {}

func (s *script) Execute(_ context.Context, r exchange.Request) exchange.Answer {
	s.tries++
	return s.answers[s.tries-1].WithUnusedAttempts(r.Context.Attempts - 1)
}

func (s *script) Call(context.Context, string, peer.Kind, []byte) ([]byte, error) { return nil, nil }

// A refusal has the outcome not-run only if no try may have run.
func TestRefusalAfterLostTryHasUnknownOutcome(t *testing.T) {
	notRun := exchange.Refused(refusal.New(refusal.Overloaded))
	unknown := exchange.Refused(refusal.New(refusal.BackendLost).WithOutcome(refusal.Unknown))
	tests := []struct {
		name       string
		answers    []exchange.Answer
		idempotent bool
		wantTries  int
		want       refusal.Outcome
	}{
		{"not run twice", []exchange.Answer{notRun, notRun}, false, 2, refusal.NotRun},
		{"lost, then not run", []exchange.Answer{unknown, notRun}, true, 2, refusal.Unknown},
		{"lost, not idempotent", []exchange.Answer{unknown, notRun}, false, 1, refusal.Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			s := &script{answers: tt.answers}
			f := forward.New(s, s, s, s, clock.NewFake(now))
			c := call.Context{Attempts: 8, Idempotent: tt.idempotent, Deadline: now.Add(time.Second)}
			answer := f.Forward(t.Context(), exchange.Request{Context: c})
			is.Equal(s.tries, tt.wantTries)
			is.Equal(answer.Refusal.Outcome, tt.want)
		})
	}
}
