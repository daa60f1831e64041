package allotment

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/rate"
)

// Run asks for tokens and decides waiting requests until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		s.Step(ctx)
		select {
		case <-ticker.C:
		case <-s.nudged:
		case <-ctx.Done():
			return
		}
	}
}

// Step looks once at what is due. Run calls it; tests may instead.
func (s *Service) Step(ctx context.Context) {
	s.mu.Lock()
	now := s.parts.Clock.Now()
	requests := s.ledger.DueRequests(now)
	s.resolve(now)
	s.mu.Unlock()
	for _, r := range requests {
		s.submit(ctx, r, s.apply)
	}
	s.stepSeats(ctx)
}

// resolve tells waiting requests what was decided; mu must be held.
func (s *Service) resolve(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	for _, account := range s.ledger.Accounts() {
		for _, verdict := range s.ledger.Resolve(now, account) {
			if decided, ok := s.waiting[verdict.Ticket]; ok {
				decided <- verdict
				delete(s.waiting, verdict.Ticket)
			}
		}
	}
}

// apply takes over the grants of a reply.
func (s *Service) apply(r rate.Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.parts.Clock.Now()
	s.ledger.Apply(now, r)
	s.resolve(now)
}

// submit sends a request by a worker. A request that the pool refuses is lost,
// like a lost message.
func (s *Service) submit(ctx context.Context, r rate.Request, apply func(rate.Reply)) {
	s.counts.asked.Add(1)
	_ = s.parts.Pool.Go(func() { s.exchange(ctx, r, apply) })
}

// exchange sends a request to the holder of a shard and applies the reply.
func (s *Service) exchange(ctx context.Context, r rate.Request, apply func(rate.Reply)) {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := s.ask(limited, r)
	if err != nil {
		s.parts.Holders.InvalidateHolder(r.Receiver)
		s.parts.Log.Emit(event.RateHolderUnreached, log.Fields{"shard": r.Receiver, "error": err.Error()})
		return
	}
	if reply.Receiver == r.Receiver {
		apply(reply)
	}
}

func (s *Service) ask(ctx context.Context, r rate.Request) (rate.Reply, error) {
	if _, ok := s.parts.Holders.Held(r.Receiver); ok {
		return s.serve(r)
	}
	address, ok := s.parts.Holders.HolderAddress(r.Receiver)
	if !ok {
		return rate.Reply{}, ErrNoHolder
	}
	body, err := cbor.Marshal(r)
	if err != nil {
		return rate.Reply{}, fmt.Errorf("encode rate request: %w", err)
	}
	raw, err := s.parts.Sender.Call(ctx, address, KindAsk, body)
	if err != nil {
		return rate.Reply{}, fmt.Errorf("ask holder of %s: %w", r.Receiver, err)
	}
	var reply rate.Reply
	if err := decoder.Unmarshal(raw, &reply); err != nil {
		return rate.Reply{}, fmt.Errorf("read rate reply: %w", err)
	}
	return reply, nil
}
