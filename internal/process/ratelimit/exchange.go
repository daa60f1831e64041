package ratelimit

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/rate"
)

// Run requests tokens from holders and resolves waiting requests until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		s.Step(ctx)
		select {
		case <-ticker.C:
		case <-s.wakeup:
		case <-ctx.Done():
			return
		}
	}
}

// Step sends the due requests and resolves waiting requests once. It is called by Run
// and may be called directly by tests.
func (s *Service) Step(ctx context.Context) {
	s.mu.Lock()
	now := s.deps.Clock.Now()
	requests := s.limiter.DueRequests(now)
	s.resolve(now)
	s.mu.Unlock()
	for _, r := range requests {
		s.submit(ctx, r, s.apply)
	}
	s.requestLoans(ctx)
}

// resolve delivers results to waiting requests. The caller must hold mu.
func (s *Service) resolve(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	for _, account := range s.limiter.Accounts() {
		for _, result := range s.limiter.Resolve(now, account) {
			if resultCh, ok := s.waiting[result.Ticket]; ok {
				resultCh <- result
				delete(s.waiting, result.Ticket)
			}
		}
	}
}

// apply adds the grants of a reply to the limiter.
func (s *Service) apply(r rate.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.deps.Clock.Now()
	s.limiter.Apply(now, r)
	s.resolve(now)
}

// submit sends a request from a worker of the pool. A request that the pool rejects is
// dropped and treated like a lost message.
func (s *Service) submit(ctx context.Context, r rate.Request, apply func(rate.Reply)) {
	s.counters.requestsSent.Add(1)
	_ = s.deps.Pool.Go(func() { s.exchange(ctx, r, apply) })
}

// exchange sends a request to the holder of a shard and applies the reply.
func (s *Service) exchange(ctx context.Context, r rate.Request, apply func(rate.Reply)) {
	limited, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := s.send(limited, r)
	if err != nil {
		s.deps.Holders.InvalidateHolder(r.Receiver)
		s.deps.Log.Emit(event.RateHolderUnreached, log.Fields{"shard": r.Receiver, "error": err.Error()})
		return
	}
	if reply.Receiver == r.Receiver {
		apply(reply)
	}
}

// send serves a request locally if this node holds the shard, and otherwise sends it to
// the holder.
func (s *Service) send(ctx context.Context, r rate.Request) (rate.Reply, error) {
	if _, ok := s.deps.Holders.Held(r.Receiver); ok {
		return s.serve(r)
	}
	address, ok := s.deps.Holders.HolderAddress(r.Receiver)
	if !ok {
		return rate.Reply{}, ErrNoHolder
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		return rate.Reply{}, fmt.Errorf("encode rate request: %w", err)
	}
	raw, err := s.deps.Transport.Call(ctx, address, KindRateRequest, body)
	if err != nil {
		return rate.Reply{}, fmt.Errorf("send rate request to the holder of %s: %w", r.Receiver, err)
	}
	var reply rate.Reply
	if err := decoder.Unmarshal(raw, &reply); err != nil {
		return rate.Reply{}, fmt.Errorf("decode rate reply: %w", err)
	}
	return reply, nil
}
