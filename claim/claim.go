// Package claim provides at-most-once execution. Each piece of work is identified by a
// client account and an idempotency key. It is claimed before it runs, and its outcome
// is kept for a retention time, so that a retried request finds the claim and does not
// run again.
//
// A claim is a record of a shard (package shard). It is granted only when the record
// is committed, so it survives the loss of the holder and of any minority of the
// shard's members. The package guarantees that work is granted to one attempt only,
// unless that attempt released it as not run. The guarantee doesn't cover work older
// than the retention, nor work whose records were lost with a majority of the members
// before a takeover. After such a takeover no new claims are granted for some time;
// retried requests are refused and not run during that time.
//
// A Table is a deterministic state machine without locks, clock or goroutines. The
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

// MaxKeyBytes is the maximum length of the account name and of the idempotency key.
const MaxKeyBytes = 255

// The defaults of a Table.
const (
	defaultRetention      = 24 * time.Hour
	defaultMaxAnswerBytes = 64 << 10
	defaultLossPause      = time.Minute
	// maxExpiredPerCall limits the claims that one call of Expire removes.
	maxExpiredPerCall = 256
)

// A WorkID identifies a piece of work.
type WorkID struct {
	// Account is the name of the client account.
	Account string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key, unique within the account.
	Key string `cbor:"2,keyasint"`
}

// ShardKey returns the key of the claim's record on the shard.
func (w WorkID) ShardKey() string { return w.Account + "\x00" + w.Key }

// Validate returns ErrKeyTooLong if the account or the key exceeds MaxKeyBytes.
func (w WorkID) Validate() error {
	if len(w.Account) > MaxKeyBytes || len(w.Key) > MaxKeyBytes {
		return ErrKeyTooLong
	}
	return nil
}

// A Result is the result of an operation on a claim.
type Result uint8

// The results.
const (
	// Granted means that this attempt, and no other, may run the work.
	Granted Result = iota + 1
	// Running means that another attempt may be running the work.
	Running
	// Answered means that the work ran. The reply contains its answer.
	Answered
	// AnswerDropped means that the work ran and that its answer was too large to store.
	AnswerDropped
	// Unknown means that the work may have run and that its answer was lost.
	Unknown
	// Recorded means that the release or the outcome is stored.
	Recorded
	// Refused means that the attempt was released before or holds no claim.
	Refused
	// Paused means that records may be missing, so no new claims are granted for now.
	Paused
)

// A Reply contains a result that is valid once the shard has committed a record.
type Reply struct {
	Result Result
	// Answer is the stored answer of the work if the result is Answered.
	Answer []byte
	// Sequence is that of the record to wait for, or zero if it is already committed.
	Sequence uint64
	// Requests must be sent to the shard's members.
	Requests []shard.Request
	// RetryAfter is the delay before a retry if the result is Paused.
	RetryAfter time.Duration
}

type state uint8

const (
	claimed state = iota + 1
	released
	answered
	answerDropped
	unknown
)

// An entry is the stored state of a piece of work. Its times are wall-clock times,
// since they outlive the holder. They determine when an entry is removed and whether a
// claim is reported as Running or Unknown, but never whether work may run.
type entry struct {
	State   state  `cbor:"1,keyasint"`
	Attempt string `cbor:"2,keyasint"`
	// DeadlineMillis is the deadline of the attempt as a Unix time in milliseconds.
	DeadlineMillis int64 `cbor:"3,keyasint,omitempty"`
	// CreatedMillis is the time of the claim, or of a release, as a Unix time in
	// milliseconds.
	CreatedMillis int64  `cbor:"4,keyasint"`
	Answer        []byte `cbor:"5,keyasint,omitempty"`
}

// A Table contains the claims of one shard while its Holder holds the shard.
type Table struct {
	holder         *shard.Holder
	retention      time.Duration
	maxAnswerBytes int
	lossPause      time.Duration
	// pausedUntil is when new claims are granted again after records were lost.
	pausedUntil time.Time
	// byAge lists the keys of claims by age, oldest first.
	byAge []keyAge
}

type keyAge struct {
	key           string
	createdMillis int64
}

// An Option configures a Table.
type Option func(*Table)

// WithRetention sets how long a claim is kept from its creation. Work that is retried
// after that time may run again.
func WithRetention(retention time.Duration) Option {
	return func(t *Table) { t.retention = retention }
}

// WithMaxAnswerBytes sets the maximum size of a stored answer in bytes. Larger answers
// are dropped.
func WithMaxAnswerBytes(size int) Option {
	return func(t *Table) { t.maxAnswerBytes = size }
}

// WithLossPause sets how long no new claims are granted after a takeover that may
// have lost records.
func WithLossPause(pause time.Duration) Option {
	return func(t *Table) { t.lossPause = pause }
}

// NewTable returns the Table of a holder with the claims that the holder took over. It
// returns an error if a record can't be decoded.
func NewTable(now time.Time, holder *shard.Holder, options ...Option) (*Table, error) {
	t := &Table{holder: holder, retention: defaultRetention, maxAnswerBytes: defaultMaxAnswerBytes, lossPause: defaultLossPause}
	for _, o := range options {
		o(t)
	}
	if holder.Row().Lossy {
		t.pausedUntil = now.Add(t.lossPause)
	}
	for _, record := range holder.Records() {
		e, err := decode(record)
		if err != nil {
			return nil, err
		}
		t.byAge = append(t.byAge, keyAge{key: record.Key, createdMillis: e.CreatedMillis})
	}
	sortByAge(t.byAge)
	return t, nil
}

// Claim requests permission for an attempt to run the work. Each received request must
// use a new attempt ID. A repeated message of one attempt gets the same result. The
// attempt ends after the timeout. The error is ErrKeyTooLong or shard.ErrNotHeld, or
// one of decoding, encoding or appending the record.
func (t *Table) Claim(now time.Time, id WorkID, attempt string, timeout time.Duration) (Reply, error) {
	e, record, known, err := t.lookup(now, id)
	if err != nil {
		return Reply{}, err
	}
	switch {
	case !known || e.State == released && e.Attempt != attempt:
		if now.Before(t.pausedUntil) {
			return Reply{Result: Paused, RetryAfter: t.pausedUntil.Sub(now)}, nil
		}
		updated := entry{State: claimed, Attempt: attempt, DeadlineMillis: now.Add(timeout).UnixMilli(), CreatedMillis: now.UnixMilli()}
		return t.write(now, id, updated, Granted)
	case e.State == claimed && e.Attempt == attempt:
		return t.reply(record, Granted), nil
	default:
		return t.replyExisting(now, e, record), nil
	}
}

// Release records that the attempt never dispatched the work, so that another attempt
// may claim it. A late Claim of the released attempt is refused.
func (t *Table) Release(now time.Time, id WorkID, attempt string) (Reply, error) {
	e, record, known, err := t.lookup(now, id)
	if err != nil {
		return Reply{}, err
	}
	if known && e.Attempt != attempt || known && e.State != claimed {
		return t.reply(record, Refused), nil
	}
	return t.write(now, id, entry{State: released, Attempt: attempt, CreatedMillis: now.UnixMilli()}, Recorded)
}

// Complete records that the attempt ran the work, and stores its answer.
func (t *Table) Complete(now time.Time, id WorkID, attempt string, answer []byte) (Reply, error) {
	updated := entry{State: answered, Attempt: attempt, Answer: answer}
	if len(answer) > t.maxAnswerBytes {
		updated.State = answerDropped
		updated.Answer = nil
	}
	return t.finish(now, id, updated)
}

// MarkUnknown records that the attempt may have run the work and that its answer is lost.
func (t *Table) MarkUnknown(now time.Time, id WorkID, attempt string) (Reply, error) {
	return t.finish(now, id, entry{State: unknown, Attempt: attempt})
}

// Expire removes claims older than the retention and returns the requests to send to the
// shard's members.
func (t *Table) Expire(now time.Time) []shard.Request {
	cutoff := now.Add(-t.retention).UnixMilli()
	var requests []shard.Request
	for n := 0; n < maxExpiredPerCall && len(t.byAge) > 0 && t.byAge[0].createdMillis <= cutoff; n++ {
		oldest := t.byAge[0]
		record, ok := t.holder.Get(oldest.key)
		if ok && createdMillis(record) <= cutoff {
			_, sent, err := t.holder.Append(now, oldest.key, nil)
			if err != nil {
				return requests
			}
			requests = append(requests, sent...)
		}
		t.byAge = t.byAge[1:]
	}
	return requests
}

// finish records the outcome of an attempt. An outcome is stored even if the claim no
// longer exists, since it shows that the work ran.
func (t *Table) finish(now time.Time, id WorkID, updated entry) (Reply, error) {
	e, record, known, err := t.lookup(now, id)
	if err != nil {
		return Reply{}, err
	}
	switch {
	case known && (e.Attempt != updated.Attempt || e.State == released):
		return t.reply(record, Refused), nil
	case known && e.State != claimed && e.State != unknown:
		return t.reply(record, Recorded), nil
	}
	updated.CreatedMillis = now.UnixMilli()
	if known {
		updated.CreatedMillis = e.CreatedMillis
	}
	return t.write(now, id, updated, Recorded)
}

// replyExisting returns the reply to a claim for work that has an entry and is not
// granted.
func (t *Table) replyExisting(now time.Time, e entry, record shard.Record) Reply {
	switch e.State {
	case claimed:
		if now.UnixMilli() < e.DeadlineMillis {
			return t.reply(record, Running)
		}
		return t.reply(record, Unknown)
	case answered:
		r := t.reply(record, Answered)
		r.Answer = e.Answer
		return r
	case answerDropped:
		return t.reply(record, AnswerDropped)
	case released:
		return t.reply(record, Refused)
	default:
		return t.reply(record, Unknown)
	}
}

// reply returns a result that depends on a record. The caller must wait for the record
// if it is not yet committed.
func (t *Table) reply(record shard.Record, result Result) Reply {
	r := Reply{Result: result}
	if !t.holder.Committed(record.Version) {
		r.Sequence = record.Version.Sequence
	}
	return r
}

func (t *Table) lookup(now time.Time, id WorkID) (entry, shard.Record, bool, error) {
	if !t.holder.Held(now) {
		return entry{}, shard.Record{}, false, fmt.Errorf("find a claim: %w", shard.ErrNotHeld)
	}
	if err := id.Validate(); err != nil {
		return entry{}, shard.Record{}, false, fmt.Errorf("find a claim: %w", err)
	}
	record, ok := t.holder.Get(id.ShardKey())
	if !ok {
		return entry{}, shard.Record{}, false, nil
	}
	e, err := decode(record)
	return e, record, err == nil, err
}

func (t *Table) write(now time.Time, id WorkID, e entry, result Result) (Reply, error) {
	value, err := cbor.Marshal(e)
	if err != nil {
		return Reply{}, fmt.Errorf("encode a claim: %w", err)
	}
	sequence, requests, err := t.holder.Append(now, id.ShardKey(), value)
	if err != nil {
		return Reply{}, fmt.Errorf("append a claim: %w", err)
	}
	if e.CreatedMillis == now.UnixMilli() {
		t.byAge = append(t.byAge, keyAge{key: id.ShardKey(), createdMillis: e.CreatedMillis})
	}
	return Reply{Result: result, Sequence: sequence, Requests: requests}, nil
}
