// Package claims ensures that work which must not be repeated runs at most once. The
// entry node claims the work at the holder of a shard before it dispatches the work, and
// records the outcome there. Package claim defines the semantics of a claim; package
// ownership determines the holder of a shard.
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

// KindClaim is the kind of a message that requests an operation on a claim from the
// holder of its shard.
const KindClaim peer.Kind = 25

const (
	// shardCount is the number of shards that claims are distributed over. It must be
	// the same on all nodes.
	shardCount = 8
	// membersPerShard is the number of members of a shard, which survives the loss of two.
	membersPerShard = 5
	// claimTimeout limits how long the entry node tries to claim work.
	claimTimeout = 2 * time.Second
	// finishTimeout limits how long an answer is delayed until its outcome is recorded.
	// After that it is recorded in the background for up to recordTimeout.
	finishTimeout = 500 * time.Millisecond
	recordTimeout = 30 * time.Second
	// sendTimeout is the timeout of one message; resendInterval is the delay before the
	// next one.
	sendTimeout    = 500 * time.Millisecond
	resendInterval = 20 * time.Millisecond
	// deadlineGrace is how long an attempt counts as running after its deadline.
	deadlineGrace = time.Second
	// expireInterval is the interval between two scans for expired claims.
	expireInterval = time.Second
	// recordWorkers and recordQueueSize limit the workers and the queue that record
	// outcomes in the background.
	recordWorkers   = 64
	recordQueueSize = 8192
	// retryAfter is the retry delay given to callers if no holder could be reached.
	retryAfter = 2 * time.Second
)

// errUnconfirmed means that the holder did not confirm the operation in time.
var errUnconfirmed = eris.New("the holder of the shard did not confirm the operation")

// ShardManager gives access to the shards that this node holds and to the addresses of
// the holders of other shards.
type ShardManager interface {
	Update(ctx context.Context, name string, update func(time.Time, *shard.Holder) (ownership.UpdateResult, error)) error
	Held(name string) (ownership.Tenure, bool)
	HolderAddress(name string) (string, bool)
	InvalidateHolder(name string)
}

// Sender sends a message to another node and returns the reply.
type Sender interface {
	Call(ctx context.Context, address string, kind peer.Kind, body []byte) ([]byte, error)
}

// ShardSpecs returns the specs of the shards that store claims. Their members are spread
// over as many zones as possible.
func ShardSpecs() []ownership.Spec {
	specs := make([]ownership.Spec, 0, shardCount)
	for i := range shardCount {
		specs = append(specs, ownership.Spec{Name: "claims/" + strconv.Itoa(i), Size: membersPerShard})
	}
	return specs
}

// A Service claims work for requests that enter at this node and handles messages for
// the shards that this node holds. It is safe for concurrent use.
type Service struct {
	shards  ShardManager
	sender  Sender
	clock   clock.Clock
	log     event.Log
	options []claim.Option
	// pool records outcomes in the background until ctx ends.
	pool   pond.Pool
	ctx    context.Context
	cancel context.CancelFunc

	// mu guards tables. It is locked while the lock of a shard is held.
	mu     sync.Mutex
	tables map[string]shardTable
}

// A shardTable contains the claims of a shard and the holder that they belong to.
type shardTable struct {
	holder *shard.Holder
	table  *claim.Table
}

// New returns the Service of a node.
func New(s ShardManager, sender Sender, c clock.Clock, l event.Log, options ...claim.Option) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	return &Service{
		shards:  s,
		sender:  sender,
		clock:   c,
		log:     l,
		options: options,
		pool:    pond.NewPool(recordWorkers, pond.WithQueueSize(recordQueueSize), pond.WithNonBlocking(true)),
		ctx:     ctx,
		cancel:  cancel,
		tables:  map[string]shardTable{},
	}
}

// Run removes claims older than the retention until the context ends. Outcomes that
// are not recorded by then are abandoned.
func (s *Service) Run(ctx context.Context) {
	defer s.pool.StopAndWait()
	defer s.cancel()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, spec := range ShardSpecs() {
			// The claims of a shard that is held by another node expire there.
			_ = s.shards.Update(ctx, spec.Name, func(now time.Time, h *shard.Holder) (ownership.UpdateResult, error) {
				t, err := s.table(now, spec.Name, h)
				if err != nil {
					return ownership.UpdateResult{}, err
				}
				return ownership.UpdateResult{Requests: t.Expire(now)}, nil
			})
		}
	}
}

// table returns the claim table of a holder and creates it if the holder is new.
func (s *Service) table(now time.Time, name string, h *shard.Holder) (*claim.Table, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.tables[name]; st.holder == h {
		return st.table, nil
	}
	t, err := claim.NewTable(now, h, s.options...)
	if err != nil {
		return nil, fmt.Errorf("take over claims: %w", err)
	}
	s.tables[name] = shardTable{holder: h, table: t}
	return t, nil
}

// Claim claims the work of a call before it is dispatched. If the work has run and its
// answer is stored, it returns that answer and true. Otherwise, unless the claim is
// granted, it returns a refusal as the error.
func (s *Service) Claim(ctx context.Context, c call.Context) (entry.Claim, exchange.Answer, bool, error) {
	id := claim.WorkID{Account: c.Account, Key: c.Service + "/" + c.IdempotencyKey}
	if err := id.Validate(); err != nil {
		return nil, exchange.Answer{}, false, refusal.New(refusal.BadRequest).WithDetail("the Idempotency-Key is too long")
	}
	granted := &grantedClaim{service: s, message: message{Shard: shardFor(id), Work: id, Attempt: uuid.NewString()}}
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r, err := s.send(limited, granted.message.withOp(opClaim, max(0, c.Deadline.Sub(s.clock.Now()))+deadlineGrace, nil))
	if err != nil {
		// The attempt ends here. Release its claim in case it was recorded after all.
		granted.recordLater(granted.message.withOp(opRelease, 0, nil))
		return nil, exchange.Answer{}, false, refusal.New(refusal.ClaimUnavailable).WithRetryAfter(retryAfter)
	}
	switch r.Result {
	case claim.Granted:
		return granted, exchange.Answer{}, false, nil
	case claim.Answered:
		var stored exchange.Answer
		if err := codec.Decoder.Unmarshal(r.Answer, &stored); err != nil {
			return nil, exchange.Answer{}, false, outcomeUnknown("its kept answer can't be read")
		}
		return nil, stored, true, nil
	default:
		return nil, exchange.Answer{}, false, refusalFor(r)
	}
}

// refusalFor returns the refusal for a result other than Granted and Answered.
func refusalFor(r reply) refusal.Refusal {
	switch r.Result {
	case claim.Running:
		return refusal.New(refusal.AlreadyRunning).WithOutcome(refusal.Unknown)
	case claim.AnswerDropped:
		return outcomeUnknown("it ran, and its answer was too large to keep")
	case claim.Paused:
		return refusal.New(refusal.ClaimUnavailable).WithRetryAfter(r.RetryAfter)
	case claim.Unknown:
		return outcomeUnknown("")
	default:
		return refusal.New(refusal.ClaimUnavailable).WithRetryAfter(retryAfter)
	}
}

func outcomeUnknown(detail string) refusal.Refusal {
	return refusal.New(refusal.OutcomeUnknown).WithOutcome(refusal.Unknown).WithDetail(detail)
}

// send sends an operation to the holder of its shard and repeats it until it is
// confirmed or the context ends. Operations of one attempt are idempotent. The error is
// errUnconfirmed.
func (s *Service) send(ctx context.Context, m message) (reply, error) {
	for {
		r, err := s.sendOnce(ctx, m)
		if err == nil {
			return r, nil
		}
		s.shards.InvalidateHolder(m.Shard)
		select {
		case <-time.After(resendInterval):
		case <-ctx.Done():
			return reply{}, fmt.Errorf("%w: %w", errUnconfirmed, err)
		}
	}
}

func (s *Service) sendOnce(ctx context.Context, m message) (reply, error) {
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if _, ok := s.shards.Held(m.Shard); ok {
		return s.applyLocally(limited, m)
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
		return reply{}, fmt.Errorf("send to holder: %w", err)
	}
	var r reply
	if err := codec.Decoder.Unmarshal(answer, &r); err != nil {
		return reply{}, fmt.Errorf("decode reply from holder: %w", err)
	}
	return r, nil
}

// Handle handles a message of KindClaim and returns the encoded reply.
func (s *Service) Handle(ctx context.Context, _ peer.Identity, body []byte) ([]byte, error) {
	var m message
	if err := codec.Decoder.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("decode claim: %w", err)
	}
	limited, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	r, err := s.applyLocally(limited, m)
	if err != nil {
		return nil, err
	}
	encoded, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode reply: %w", err)
	}
	return encoded, nil
}

// applyLocally applies an operation to a shard that this node holds.
func (s *Service) applyLocally(ctx context.Context, m message) (reply, error) {
	var r reply
	err := s.shards.Update(ctx, m.Shard, func(now time.Time, h *shard.Holder) (ownership.UpdateResult, error) {
		t, err := s.table(now, m.Shard, h)
		if err != nil {
			return ownership.UpdateResult{}, err
		}
		applied, err := m.apply(now, t)
		if err != nil {
			return ownership.UpdateResult{}, err
		}
		r = reply{Result: applied.Result, Answer: applied.Answer, RetryAfter: applied.RetryAfter}
		return ownership.UpdateResult{Sequence: applied.Sequence, Requests: applied.Requests}, nil
	})
	if err != nil {
		return reply{}, fmt.Errorf("claim at %s: %w", m.Shard, err)
	}
	return r, nil
}

// shardFor returns the shard of a piece of work.
func shardFor(w claim.WorkID) string {
	return "claims/" + strconv.FormatUint(xxhash.Sum64String(w.ShardKey())%shardCount, 10)
}

// A grantedClaim is a claim that was granted to a request that entered at this node.
type grantedClaim struct {
	service *Service
	message message
}

// Finish records the outcome of the work. It waits up to finishTimeout for that, so that
// the outcome is usually recorded before the answer is returned. Work that was not run
// may be retried, and a failure is stored like an answer. In all other cases the
// outcome stays unknown permanently.
func (g *grantedClaim) Finish(ctx context.Context, a exchange.Answer) {
	m := g.message.withOp(opMarkUnknown, 0, nil)
	switch {
	case a.Refusal != nil && a.Refusal.Outcome == refusal.NotRun:
		m = g.message.withOp(opRelease, 0, nil)
	case a.Refusal == nil || a.Refusal.Outcome == refusal.Failed:
		a.Load = exchange.Load{}
		a.UnusedAttempts = 0
		if stored, err := cbor.Marshal(a); err == nil {
			m = g.message.withOp(opComplete, 0, stored)
		}
	}
	limited, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if _, err := g.service.send(limited, m); errors.Is(err, errUnconfirmed) {
		g.recordLater(m)
	}
}

// recordLater sends an operation to the holder in the background for up to
// recordTimeout.
func (g *grantedClaim) recordLater(m message) {
	s := g.service
	err := s.pool.Go(func() {
		limited, cancel := context.WithTimeout(s.ctx, recordTimeout)
		defer cancel()
		if _, err := s.send(limited, m); err != nil {
			s.log.Emit(event.ClaimUnrecorded, log.Fields{"shard": m.Shard, "error": err.Error()})
		}
	})
	if err != nil {
		s.log.Emit(event.ClaimUnrecorded, log.Fields{"shard": m.Shard, "error": err.Error()})
	}
}
