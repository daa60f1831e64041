// Package claims lets work that may not be repeated run at most once: the entry
// claims it at the holder of a shard before it is handed out, and reports how it
// ended. What a claim means is decided by package claim; who holds a shard is known
// to package ownership.
package claims

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/claim"
	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/ownership"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/entry"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/shard"
)

// KindClaim carries one step of a claim to the holder of its shard.
const KindClaim peer.Kind = 25

const (
	// shards is the number of shards that claims are spread over. All nodes must
	// agree on it.
	shards = 8
	// groupSize is the number of members of a shard: two losses are survived.
	groupSize = 5
	// claimWait bounds how long a claim is tried.
	claimWait = 2 * time.Second
	// finishWait bounds how long an answer waits until it is kept; after that it
	// is kept in the background for keepWait.
	finishWait = 500 * time.Millisecond
	keepWait   = 30 * time.Second
	// askTimeout bounds one message, askPause is the time before the next one.
	askTimeout = 500 * time.Millisecond
	askPause   = 20 * time.Millisecond
	// grace is how long after its deadline an attempt still counts as running.
	grace = time.Second
	// expirePeriod is the time between two looks for claims to drop.
	expirePeriod = time.Second
	// recorders and unrecorded bound the outcomes that are kept in the background.
	recorders  = 64
	unrecorded = 8192
	// retryAfter is when to come again if no holder could be reached.
	retryAfter = 2 * time.Second
)

// errUnsure means that the holder did not confirm the step in time.
var errUnsure = eris.New("the holder of the shard did not confirm")

// Shards hosts the shards.
type Shards interface {
	Update(ctx context.Context, name string, act func(time.Time, *shard.Holder) (ownership.UpdateResult, error)) error
	Held(name string) (ownership.Tenure, bool)
	HolderAddress(name string) (string, bool)
	InvalidateHolder(name string)
}

// Sender sends a message to another node and returns the reply.
type Sender interface {
	Call(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error)
}

// Specs returns the shards of claims: their members are in as many zones as can be.
func Specs() []ownership.Spec {
	specs := make([]ownership.Spec, 0, shards)
	for i := range shards {
		specs = append(specs, ownership.Spec{Name: "claims/" + strconv.Itoa(i), Size: groupSize})
	}
	return specs
}

// A Service claims work for this node's entry and answers for the shards that this
// node holds. It is safe for concurrent use.
type Service struct {
	shards  Shards
	sender  Sender
	clock   clock.Clock
	log     event.Log
	options []claim.Option
	// pool records outcomes in the background until ctx ends.
	pool   pond.Pool
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards ledgers. It is taken inside the lock of a shard.
	mu      sync.Mutex
	ledgers map[string]ledger
}

// A ledger belongs to one holder of a shard.
type ledger struct {
	holder *shard.Holder
	claims *claim.Ledger
}

// New returns the Service of a node.
func New(s Shards, sender Sender, c clock.Clock, l event.Log, options ...claim.Option) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		shards:  s,
		sender:  sender,
		clock:   c,
		log:     l,
		options: options,
		pool:    pond.NewPool(recorders, pond.WithQueueSize(unrecorded), pond.WithNonBlocking(true)),
		ctx:     ctx,
		cancel:  cancel,
		ledgers: map[string]ledger{},
	}
}

// Run drops claims older than the retention until the context ends. Outcomes that
// are not recorded by then are given up.
func (s *Service) Run(ctx context.Context) {
	defer s.pool.StopAndWait()
	defer s.cancel()
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, spec := range Specs() {
			// A shard that is not held here expires where it is held.
			_ = s.shards.Update(ctx, spec.Name, func(now time.Time, h *shard.Holder) (ownership.UpdateResult, error) {
				l, err := s.ledger(now, spec.Name, h)
				if err != nil {
					return ownership.UpdateResult{}, err
				}
				return ownership.UpdateResult{Requests: l.Expire(now)}, nil
			})
		}
	}
}

// ledger returns the ledger of a holder, made when the holder is new.
func (s *Service) ledger(now time.Time, name string, h *shard.Holder) (*claim.Ledger, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.ledgers[name]; held.holder == h {
		return held.claims, nil
	}
	l, err := claim.NewLedger(now, h, s.options...)
	if err != nil {
		return nil, fmt.Errorf("take over claims: %w", err)
	}
	s.ledgers[name] = ledger{holder: h, claims: l}
	return l, nil
}

// Claim registers the work of a call before it is handed out.
func (s *Service) Claim(ctx context.Context, c call.Context) (entry.Claim, exchange.Answer, bool, error) {
	name := claim.Name{Account: c.Account, Key: c.Service + "/" + c.IdempotencyKey}
	if err := name.Validate(); err != nil {
		return nil, exchange.Answer{}, false, refusal.New(refusal.BadRequest).WithDetail("the Idempotency-Key is too long")
	}
	held := &held{service: s, message: message{Shard: shardOf(name), Name: name, Attempt: uuid.NewString()}}
	limited, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	r, err := s.ask(limited, held.message.with(claimStep, max(0, c.Deadline.Sub(s.clock.Now()))+grace, nil))
	if err != nil {
		// The attempt is over: should its claim be recorded still, it is released.
		held.recordLater(held.message.with(releaseStep, 0, nil))
		return nil, exchange.Answer{}, false, refusal.New(refusal.ClaimUnavailable).WithRetryAfter(retryAfter)
	}
	switch r.Verdict {
	case claim.Granted:
		return held, exchange.Answer{}, false, nil
	case claim.Answered:
		var kept exchange.Answer
		if err := codec.Decoder.Unmarshal(r.Answer, &kept); err != nil {
			return nil, exchange.Answer{}, false, unknown("its kept answer can't be read")
		}
		return nil, kept, true, nil
	default:
		return nil, exchange.Answer{}, false, refused(r)
	}
}

// refused returns the refusal that a verdict other than an answer leads to.
func refused(r reply) refusal.Refusal {
	switch r.Verdict {
	case claim.Running:
		return refusal.New(refusal.AlreadyRunning).WithOutcome(refusal.Unknown)
	case claim.AnswerDropped:
		return unknown("it ran, and its answer was too large to keep")
	case claim.Held:
		return refusal.New(refusal.ClaimUnavailable).WithRetryAfter(r.RetryAfter)
	case claim.Unknown:
		return unknown("")
	default:
		return refusal.New(refusal.ClaimUnavailable).WithRetryAfter(retryAfter)
	}
}

func unknown(detail string) refusal.Refusal {
	return refusal.New(refusal.OutcomeUnknown).WithOutcome(refusal.Unknown).WithDetail(detail)
}

// ask brings a step to the holder of its shard, again and again until it is
// confirmed or the context ends. A repeated step of one attempt changes nothing.
func (s *Service) ask(ctx context.Context, m message) (reply, error) {
	for {
		r, err := s.askOnce(ctx, m)
		if err == nil {
			return r, nil
		}
		s.shards.InvalidateHolder(m.Shard)
		select {
		case <-time.After(askPause):
		case <-ctx.Done():
			return reply{}, fmt.Errorf("%w: %w", errUnsure, err)
		}
	}
}

func (s *Service) askOnce(ctx context.Context, m message) (reply, error) {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if _, ok := s.shards.Held(m.Shard); ok {
		return s.step(limited, m)
	}
	address, ok := s.shards.HolderAddress(m.Shard)
	if !ok {
		return reply{}, ownership.ErrNotHeld
	}
	body, err := cbor.Marshal(m)
	if err != nil {
		return reply{}, fmt.Errorf("encode claim: %w", err)
	}
	answer, err := s.sender.Call(limited, address, KindClaim, body)
	if err != nil {
		return reply{}, fmt.Errorf("ask holder: %w", err)
	}
	var r reply
	if err := codec.Decoder.Unmarshal(answer, &r); err != nil {
		return reply{}, fmt.Errorf("decode reply of holder: %w", err)
	}
	return r, nil
}

// Handle answers a message of KindClaim.
func (s *Service) Handle(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	var m message
	if err := codec.Decoder.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode claim: %w", err)
	}
	limited, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := s.step(limited, m)
	if err != nil {
		return nil, err
	}
	encoded, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	return encoded, nil
}

// step takes a step at a shard that this node holds.
func (s *Service) step(ctx context.Context, m message) (reply, error) {
	var r reply
	err := s.shards.Update(ctx, m.Shard, func(now time.Time, h *shard.Holder) (ownership.UpdateResult, error) {
		l, err := s.ledger(now, m.Shard, h)
		if err != nil {
			return ownership.UpdateResult{}, err
		}
		decided, err := m.apply(now, l)
		if err != nil {
			return ownership.UpdateResult{}, err
		}
		r = reply{Verdict: decided.Verdict, Answer: decided.Answer, RetryAfter: decided.RetryAfter}
		return ownership.UpdateResult{Sequence: decided.Sequence, Requests: decided.Requests}, nil
	})
	if err != nil {
		return reply{}, fmt.Errorf("claim at %s: %w", m.Shard, err)
	}
	return r, nil
}

// shardOf returns the shard of a piece of work.
func shardOf(n claim.Name) string {
	return "claims/" + strconv.FormatUint(xxhash.Sum64String(n.ShardKey())%shards, 10)
}

// A held claim is one that was granted to a request of this node.
type held struct {
	service *Service
	message message
}

// Finish records how the work ended, before the answer is passed on if that does not
// take long. Work that was not run may be sent again; a failure is kept as an answer
// is; anything else leaves the outcome unknown for good.
func (h *held) Finish(ctx context.Context, a exchange.Answer) {
	m := h.message.with(loseStep, 0, nil)
	switch {
	case a.Refusal != nil && a.Refusal.Outcome == refusal.NotRun:
		m = h.message.with(releaseStep, 0, nil)
	case a.Refusal == nil || a.Refusal.Outcome == refusal.Failed:
		a.Load = exchange.Load{}
		a.UnusedAttempts = 0
		if kept, err := cbor.Marshal(a); err == nil {
			m = h.message.with(completeStep, 0, kept)
		}
	}
	limited, cancel := context.WithTimeout(ctx, finishWait)
	defer cancel()
	if _, err := h.service.ask(limited, m); errors.Is(err, errUnsure) {
		h.recordLater(m)
	}
}

// recordLater brings a step to the holder as long as that is worth while.
func (h *held) recordLater(m message) {
	s := h.service
	err := s.pool.Go(func() {
		limited, cancel := context.WithTimeout(s.ctx, keepWait)
		defer cancel()
		if _, err := s.ask(limited, m); err != nil {
			s.log.Emit(event.ClaimUnrecorded, log.Fields{"shard": m.Shard, "error": err.Error()})
		}
	})
	if err != nil {
		s.log.Emit(event.ClaimUnrecorded, log.Fields{"shard": m.Shard, "error": err.Error()})
	}
}
