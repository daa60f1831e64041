package ratelimit

import (
	"context"
	"fmt"
	"strings"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/rate"
)

// Errors of rate requests.
var (
	// ErrNoHolder means that the holder of the shard is unknown.
	ErrNoHolder = eris.New("no holder of the shard is known")
	// ErrNotHolder means that the receiving node does not hold the shard.
	ErrNotHolder = eris.New("node does not hold the shard")
	// ErrSenderMismatch means that the sender named in a request is not the host that
	// sent it.
	ErrSenderMismatch = eris.New("request was not sent by the host that it names")
)

// maxGrantRequests limits the number of accounts in one request.
const maxGrantRequests = 1 << 14

// decoder decodes messages from other nodes and limits their nesting and array sizes.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: maxGrantRequests,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// A heldShard is the state of a shard that this node holds: its limiter, and the epoch
// and configuration version last applied to it.
type heldShard struct {
	epoch   uint64
	version uint64
	limiter *rate.Limiter
}

// Handle serves a rate.Request from another node.
func (s *Service) Handle(_ context.Context, host string, body []byte) ([]byte, error) {
	var r rate.Request
	if err := decoder.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("read rate request: %w", err)
	}
	if !strings.HasPrefix(r.Sender, host+"#") {
		return nil, fmt.Errorf("%s for %s: %w", host, r.Sender, ErrSenderMismatch)
	}
	for _, a := range r.GrantRequests {
		if !a.Valid() {
			return nil, fmt.Errorf("rate request of %s: %w", host, rate.ErrInvalidGrantRequest)
		}
	}
	reply, err := s.serve(r)
	if err != nil {
		return nil, err
	}
	raw, err := cbor.Marshal(reply)
	if err != nil {
		return nil, fmt.Errorf("encode rate reply: %w", err)
	}
	return raw, nil
}

// serve grants tokens from a shard that this node holds.
func (s *Service) serve(r rate.Request) (rate.Reply, error) {
	s.heldMu.Lock()
	defer s.heldMu.Unlock()
	held, ok := s.heldShard(r.Receiver)
	if !ok {
		return rate.Reply{}, fmt.Errorf("%s: %w", r.Receiver, ErrNotHolder)
	}
	s.counters.requestsServed.Add(1)
	// Read the clock immediately before serving. If the process was paused until now,
	// an earlier reading would make an expired tenure appear valid.
	return held.limiter.Serve(s.deps.Clock.Now(), r), nil
}

// heldShard returns the state of a shard that this node holds now, and creates or
// extends it to match the tenure. The caller must hold heldMu.
func (s *Service) heldShard(name string) (*heldShard, bool) {
	tenure, ok := s.deps.Holders.Held(name)
	if !ok || tenure.From.IsZero() {
		return nil, false
	}
	shard, err := ParseShard(name)
	if err != nil {
		return nil, false
	}
	snapshot, ok := s.deps.Configuration.Current()
	if !ok {
		return nil, false
	}
	now := s.deps.Clock.Now()
	held, ok := s.heldShards[name]
	if !ok || !held.continues(tenure) {
		held = s.newHeldShard(shard, tenure)
		held.version = snapshot.Version()
		s.heldShards[name] = held
	}
	held.epoch = tenure.Epoch
	held.limiter.Resume(now, tenure.Until)
	if held.version != snapshot.Version() {
		held.version = snapshot.Version()
		held.limiter.Configure(now)
	}
	return held, true
}

// continues reports whether no other process can have held the shard since the last
// tenure of h. Epochs increase by one, each epoch has one holder, and a heldShard
// exists only in the memory of one process. In its own epoch and the next one it
// therefore has a record of every grant and doesn't wait for earlier grants to expire.
func (h *heldShard) continues(t Tenure) bool { return t.Epoch == h.epoch || t.Epoch == h.epoch+1 }

func (s *Service) newHeldShard(shard Shard, t Tenure) *heldShard {
	s.deps.Log.Emit(event.RateHolderBegan, log.Fields{"shard": shard.String(), "epoch": t.Epoch})
	identity := fmt.Sprintf("%s/%s/%d", s.identity, shard, t.Epoch)
	lenders := &shardSelector{configuration: s.deps.Configuration, zone: shard.Zone}
	own := shares{configuration: s.deps.Configuration, zone: shard.Zone}
	tenure := rate.Tenure{From: t.From, Until: t.Until}
	return &heldShard{epoch: t.Epoch, limiter: rate.NewHolderLimiter(identity, tenure, own, lenders, s.options...)}
}

// requestLoans sends the due loan requests of all held shards to other zones.
func (s *Service) requestLoans(ctx context.Context) {
	for _, l := range s.dueLoanRequests() {
		apply := func(r rate.Reply) { s.applyLoanReply(l, r) }
		for _, r := range l.requests {
			s.submit(ctx, r, apply)
		}
	}
}

// loanRequests are the due loan requests of one held shard.
type loanRequests struct {
	shard     string
	heldShard *heldShard
	requests  []rate.Request
}

func (s *Service) dueLoanRequests() []loanRequests {
	s.heldMu.Lock()
	defer s.heldMu.Unlock()
	var due []loanRequests
	for name := range s.heldShards {
		if held, ok := s.heldShard(name); ok {
			due = append(due, loanRequests{shard: name, heldShard: held, requests: held.limiter.DueRequests(s.deps.Clock.Now())})
		}
	}
	return due
}

// applyLoanReply applies the reply to a loan request if the heldShard that sent it is
// still in use. A new heldShard restarts its sequence numbers.
func (s *Service) applyLoanReply(l loanRequests, r rate.Reply) {
	s.heldMu.Lock()
	defer s.heldMu.Unlock()
	if held, ok := s.heldShard(l.shard); ok && held == l.heldShard {
		held.limiter.Apply(s.deps.Clock.Now(), r)
	}
}
