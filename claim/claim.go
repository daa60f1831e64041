// Package claim decides who may run work that must run at most once. Each piece of
// work is named by a client account and an idempotency key. It is claimed before it
// runs, and what became of it is kept for a retention time, so that a request that is
// sent again finds the claim and never runs again.
//
// A claim is a record of a shard (package shard): it is granted only when the record
// is committed, so it survives the loss of the holder and of any minority of the
// shard's members. The package guarantees that work is granted to one attempt, unless
// that attempt released it as not run. It does not hold for work older than the
// retention, nor for work whose records were lost with a majority of the members
// before a takeover: after such a takeover no new claim is granted for a hold time,
// in which callers that send again are refused and not run.
//
// A Ledger is a deterministic state machine without lock, clock or goroutine; the
// caller serializes the calls to it and to its shard.Holder.
package claim

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/shard"
)

// ErrKeyTooLong is returned for an account or idempotency key beyond MaxKeyBytes.
var ErrKeyTooLong = eris.New("the idempotency key or account name is too long")

// MaxKeyBytes bounds the account's name and the idempotency key.
const MaxKeyBytes = 255

// The defaults of a ledger.
const (
	defaultRetention = 24 * time.Hour
	defaultMaxAnswer = 64 << 10 // bytes
	defaultHold      = time.Minute
	// maxExpired is the largest number of claims dropped at once.
	maxExpired = 256
)

// A Name names a piece of work.
type Name struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key, unique within the account.
	Key string `cbor:"2,keyasint"`
}

// ShardKey returns the key under which the claim is kept on the shard.
func (n Name) ShardKey() string { return n.Account + "\x00" + n.Key }

// Validate reports names that are too long.
func (n Name) Validate() error {
	if len(n.Account) > MaxKeyBytes || len(n.Key) > MaxKeyBytes {
		return ErrKeyTooLong
	}
	return nil
}

// A Verdict is the ledger's answer about a piece of work.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the attempt, and no other, may run the work.
	Granted Verdict = iota + 1
	// Running means that another attempt may be running the work.
	Running
	// Answered means that the work ran; the reply holds its answer.
	Answered
	// AnswerDropped means that the work ran and that its answer was too large to keep.
	AnswerDropped
	// Unknown means that the work may have run and that its answer is not known.
	Unknown
	// Recorded means that a release or an outcome is kept.
	Recorded
	// Refused means that the attempt was released before, or holds no claim.
	Refused
	// Held means that records may be missing, so nothing new is granted for a while.
	Held
)

// A Reply is a verdict that holds once the shard has committed a record.
type Reply struct {
	Verdict Verdict
	// Answer is the kept answer of the work, for Answered.
	Answer []byte
	// Sequence is the record to wait for; zero if there is nothing to wait for.
	Sequence uint64
	// Requests are to be sent to the shard's members.
	Requests []shard.Request
	// RetryAfter is when to come again, for Held.
	RetryAfter time.Duration
}

type state uint8

const (
	claimed state = iota + 1
	released
	answered
	dropped
	unknown
)

// An entry is what is kept of a piece of work. Times are of the wall clock, since
// they outlive the holder; they decide when an entry is dropped, and whether a claim
// is called running or unknown, but never whether work may run.
type entry struct {
	State   state  `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// Until is the end of the attempt in milliseconds of the Unix time.
	Until int64 `cbor:"3,keyasint,omitempty"`
	// Since is the time of the claim in milliseconds of the Unix time.
	Since  int64  `cbor:"4,keyasint"`
	Answer []byte `cbor:"5,keyasint,omitempty"`
}

// A Ledger keeps the claims of one shard while its Holder is in effect.
type Ledger struct {
	holder    *shard.Holder
	retention time.Duration
	maxAnswer int
	hold      time.Duration
	// heldUntil is when claims are granted again after records were lost.
	heldUntil time.Time
	// ages lists claims by age, oldest first.
	ages []age
}

type age struct {
	key   string
	since int64
}

// An Option changes a ledger.
type Option func(*Ledger)

// WithRetention sets how long a claim is kept from its beginning. Work that is sent
// again later than that may run again.
func WithRetention(retention time.Duration) Option {
	return func(l *Ledger) { l.retention = retention }
}

// WithMaxAnswer sets the largest answer that is kept, in bytes.
func WithMaxAnswer(size int) Option {
	return func(l *Ledger) { l.maxAnswer = size }
}

// WithHold sets how long nothing new is granted after records may have been lost.
func WithHold(hold time.Duration) Option {
	return func(l *Ledger) { l.hold = hold }
}

// NewLedger returns the ledger of a holder, with the claims that the holder took over.
func NewLedger(now time.Time, holder *shard.Holder, options ...Option) (*Ledger, error) {
	l := &Ledger{holder: holder, retention: defaultRetention, maxAnswer: defaultMaxAnswer, hold: defaultHold}
	for _, o := range options {
		o(l)
	}
	if holder.Row().Lossy {
		l.heldUntil = now.Add(l.hold)
	}
	for _, record := range holder.Records() {
		e, err := decode(record)
		if err != nil {
			return nil, err
		}
		l.ages = append(l.ages, age{key: record.Key, since: e.Since})
	}
	sortAges(l.ages)
	return l, nil
}

// Claim asks whether an attempt may run the work. The attempt must be new for each
// time that a request is received; a repeated message of one attempt gets the same
// verdict. The attempt ends after the time limit.
func (l *Ledger) Claim(now time.Time, name Name, attempt string, limit time.Duration) (Reply, error) {
	e, record, known, err := l.find(now, name)
	if err != nil {
		return Reply{}, err
	}
	switch {
	case !known || e.State == released && e.Attempt != attempt:
		if now.Before(l.heldUntil) {
			return Reply{Verdict: Held, RetryAfter: l.heldUntil.Sub(now)}, nil
		}
		next := entry{State: claimed, Attempt: attempt, Until: now.Add(limit).UnixMilli(), Since: now.UnixMilli()}
		return l.write(now, name, next, Granted)
	case e.State == claimed && e.Attempt == attempt:
		return l.reply(record, Granted), nil
	default:
		return l.found(now, e, record), nil
	}
}

// Release says that the attempt never handed the work to anyone, so another attempt
// may claim it. A late Claim of the released attempt is refused.
func (l *Ledger) Release(now time.Time, name Name, attempt string) (Reply, error) {
	e, record, known, err := l.find(now, name)
	if err != nil {
		return Reply{}, err
	}
	if known && e.Attempt != attempt || known && e.State != claimed {
		return l.reply(record, Refused), nil
	}
	return l.write(now, name, entry{State: released, Attempt: attempt, Since: now.UnixMilli()}, Recorded)
}

// Complete keeps the answer of an attempt that ran the work.
func (l *Ledger) Complete(now time.Time, name Name, attempt string, answer []byte) (Reply, error) {
	next := entry{State: answered, Attempt: attempt, Answer: answer}
	if len(answer) > l.maxAnswer {
		next.State = dropped
		next.Answer = nil
	}
	return l.finish(now, name, next)
}

// Lose says that the attempt may have run the work and that its answer is lost.
func (l *Ledger) Lose(now time.Time, name Name, attempt string) (Reply, error) {
	return l.finish(now, name, entry{State: unknown, Attempt: attempt})
}

// Expire drops claims older than the retention and returns what to send.
func (l *Ledger) Expire(now time.Time) []shard.Request {
	limit := now.Add(-l.retention).UnixMilli()
	var requests []shard.Request
	for n := 0; n < maxExpired && len(l.ages) > 0 && l.ages[0].since <= limit; n++ {
		oldest := l.ages[0]
		record, ok := l.holder.Get(oldest.key)
		if ok && sinceOf(record) <= limit {
			_, sent, err := l.holder.Append(now, oldest.key, nil)
			if err != nil {
				return requests
			}
			requests = append(requests, sent...)
		}
		l.ages = l.ages[1:]
	}
	return requests
}

// finish records the outcome of an attempt. An outcome is kept even if the claim is
// not known any more, since it tells that the work ran.
func (l *Ledger) finish(now time.Time, name Name, next entry) (Reply, error) {
	e, record, known, err := l.find(now, name)
	if err != nil {
		return Reply{}, err
	}
	switch {
	case known && (e.Attempt != next.Attempt || e.State == released):
		return l.reply(record, Refused), nil
	case known && e.State != claimed && e.State != unknown:
		return l.reply(record, Recorded), nil
	}
	next.Since = now.UnixMilli()
	if known {
		next.Since = e.Since
	}
	return l.write(now, name, next, Recorded)
}

// found tells another attempt what became of the work.
func (l *Ledger) found(now time.Time, e entry, record shard.Record) Reply {
	switch e.State {
	case claimed:
		if now.UnixMilli() < e.Until {
			return l.reply(record, Running)
		}
		return l.reply(record, Unknown)
	case answered:
		r := l.reply(record, Answered)
		r.Answer = e.Answer
		return r
	case dropped:
		return l.reply(record, AnswerDropped)
	case released:
		return l.reply(record, Refused)
	default:
		return l.reply(record, Unknown)
	}
}

// reply returns a verdict that rests on a record, to be waited for if that record is
// not yet committed.
func (l *Ledger) reply(record shard.Record, verdict Verdict) Reply {
	r := Reply{Verdict: verdict}
	if !l.holder.Committed(record.Version) {
		r.Sequence = record.Version.Sequence
	}
	return r
}

func (l *Ledger) find(now time.Time, name Name) (entry, shard.Record, bool, error) {
	if !l.holder.Held(now) {
		return entry{}, shard.Record{}, false, fmt.Errorf("find a claim: %w", shard.ErrNotHeld)
	}
	if err := name.Validate(); err != nil {
		return entry{}, shard.Record{}, false, fmt.Errorf("find a claim: %w", err)
	}
	record, ok := l.holder.Get(name.ShardKey())
	if !ok {
		return entry{}, shard.Record{}, false, nil
	}
	e, err := decode(record)
	return e, record, err == nil, err
}

func (l *Ledger) write(now time.Time, name Name, e entry, verdict Verdict) (Reply, error) {
	value, err := cbor.Marshal(e)
	if err != nil {
		return Reply{}, fmt.Errorf("encode a claim: %w", err)
	}
	sequence, requests, err := l.holder.Append(now, name.ShardKey(), value)
	if err != nil {
		return Reply{}, fmt.Errorf("append a claim: %w", err)
	}
	if e.Since == now.UnixMilli() {
		l.ages = append(l.ages, age{key: name.ShardKey(), since: e.Since})
	}
	return Reply{Verdict: verdict, Sequence: sequence, Requests: requests}, nil
}
