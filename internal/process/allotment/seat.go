package allotment

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

// The errors of asking for tokens.
var (
	// ErrNoHolder means that no holder of the shard is known.
	ErrNoHolder = eris.New("no holder of the shard is known")
	// ErrNotHolder means that the asked node does not hold the shard.
	ErrNotHolder = eris.New("node does not hold the shard")
	// ErrForged means that a request names another host than the one that sent it.
	ErrForged = eris.New("request was not sent by the host that it names")
)

// maxAsks bounds the accounts in one request.
const maxAsks = 1 << 14

// decoder decodes messages of other nodes with bounded nesting and sizes.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: maxAsks,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// A seat is a shard that this node holds, for one tenure.
type seat struct {
	epoch   uint64
	version uint64
	ledger  *rate.Limiter
}

// Handle answers a rate.Request of another node.
func (s *Service) Handle(_ context.Context, host string, body []byte) ([]byte, error) {
	var r rate.Request
	if err := decoder.Unmarshal(body, &r); err != nil {
		return nil, fmt.Errorf("read rate request: %w", err)
	}
	if !strings.HasPrefix(r.Sender, host+"#") {
		return nil, fmt.Errorf("%s for %s: %w", host, r.Sender, ErrForged)
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

// serve answers a request out of a shard that this node holds.
func (s *Service) serve(r rate.Request) (rate.Reply, error) {
	s.seatsMu.Lock()
	defer s.seatsMu.Unlock()
	held, ok := s.seat(r.Receiver)
	if !ok {
		return rate.Reply{}, fmt.Errorf("%s: %w", r.Receiver, ErrNotHolder)
	}
	s.counts.served.Add(1)
	// The clock is read at the moment of the effect: a pause before it makes the
	// tenure look as old as it is.
	return held.ledger.Serve(s.parts.Clock.Now(), r), nil
}

// seat returns the seat of a shard that is held now, begun or extended as the
// tenure says; seatsMu must be held.
func (s *Service) seat(name string) (*seat, bool) {
	tenure, ok := s.parts.Holders.Held(name)
	if !ok || tenure.From.IsZero() {
		return nil, false
	}
	shard, err := ParseShard(name)
	if err != nil {
		return nil, false
	}
	snapshot, ok := s.parts.Configuration.Current()
	if !ok {
		return nil, false
	}
	now := s.parts.Clock.Now()
	held, ok := s.seats[name]
	if !ok || !held.continues(tenure) {
		held = s.newSeat(shard, tenure)
		held.version = snapshot.Version()
		s.seats[name] = held
	}
	held.epoch = tenure.Epoch
	held.ledger.Resume(now, tenure.Until)
	if held.version != snapshot.Version() {
		held.version = snapshot.Version()
		held.ledger.Configure(now)
	}
	return held, true
}

// continues reports whether nobody else can have held the shard since the seat's
// last tenure. Epochs go up by one, each has one holder, and a seat lives in the
// memory of one process; so in its own epoch and the next one the seat still
// knows every grant, and what it gave need not be waited for.
func (h *seat) continues(t Tenure) bool { return t.Epoch == h.epoch || t.Epoch == h.epoch+1 }

func (s *Service) newSeat(shard Shard, t Tenure) *seat {
	s.parts.Log.Emit(event.RateHolderBegan, log.Fields{"shard": shard.String(), "epoch": t.Epoch})
	identity := fmt.Sprintf("%s/%s/%d", s.identity, shard, t.Epoch)
	lenders := &routes{configuration: s.parts.Configuration, zone: shard.Zone}
	own := shares{configuration: s.parts.Configuration, zone: shard.Zone}
	tenure := rate.Tenure{From: t.From, Until: t.Until}
	return &seat{epoch: t.Epoch, ledger: rate.NewHolderLimiter(identity, tenure, own, lenders, s.options...)}
}

// stepSeats asks other zones for loans.
func (s *Service) stepSeats(ctx context.Context) {
	for _, l := range s.dueLoans() {
		apply := func(r rate.Reply) { s.applyLoan(l, r) }
		for _, r := range l.requests {
			s.submit(ctx, r, apply)
		}
	}
}

// loans are the requests that one seat has to send.
type loans struct {
	shard    string
	seat     *seat
	requests []rate.Request
}

func (s *Service) dueLoans() []loans {
	s.seatsMu.Lock()
	defer s.seatsMu.Unlock()
	var due []loans
	for name := range s.seats {
		if held, ok := s.seat(name); ok {
			due = append(due, loans{shard: name, seat: held, requests: held.ledger.DueRequests(s.parts.Clock.Now())})
		}
	}
	return due
}

// applyLoan takes over what a loan brought, if the seat that asked still stands:
// a later tenure counts its questions anew.
func (s *Service) applyLoan(l loans, r rate.Reply) {
	s.seatsMu.Lock()
	defer s.seatsMu.Unlock()
	if held, ok := s.seat(l.shard); ok && held == l.seat {
		held.ledger.Apply(s.parts.Clock.Now(), r)
	}
}
