package shard

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotHeld is returned for a write while the lease is not held.
var ErrNotHeld = eris.New("the shard is not held")

// maxBatch is the largest number of records sent again in one message.
const maxBatch = 256

// A Holder acts for a shard in one epoch. It is in effect while a majority of its
// members granted a lease that has not ended, counted by its own clock from the
// sending of the renewal. A Holder that was paused finds its lease ended. Nothing
// that happens to the table matters to it.
type Holder struct {
	row   Row
	terms Terms
	begin time.Time
	// sent is for each member when the latest renewal was sent that it granted.
	sent     []time.Time
	records  map[string]Record
	sequence uint64
	pending  map[uint64]*pendingRecord
	// settled is the sequence up to which every member stored all records.
	settled    uint64
	renewed    time.Time
	resent     time.Time
	released   bool
	superseded bool
}

type pendingRecord struct {
	record Record
	// stored is for each member whether it has the record.
	stored    []bool
	count     int
	committed bool
}

// NewHolder returns the holder of an epoch that a Taker won, not yet in effect.
func NewHolder(now time.Time, row Row, records []Record, terms Terms) *Holder {
	h := &Holder{
		row:     row,
		terms:   terms,
		begin:   now,
		sent:    make([]time.Time, len(row.Members)),
		records: make(map[string]Record, len(records)),
		pending: map[uint64]*pendingRecord{},
	}
	for _, record := range records {
		h.records[record.Key] = record
	}
	return h
}

// Row returns the row of the holder's epoch.
func (h *Holder) Row() Row { return h.row }

// Held reports whether the holder is in effect at the time now. Check it at the
// moment of each effect, after everything that may block.
func (h *Holder) Held(now time.Time) bool { return now.Before(h.LeaseEnd()) }

// LeaseEnd returns when the lease ends unless it is renewed.
func (h *Holder) LeaseEnd() time.Time {
	if h.released || len(h.sent) == 0 {
		return time.Time{}
	}
	sent := slices.Clone(h.sent)
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	granted := sent[Majority(len(sent))-1]
	if granted.IsZero() {
		return time.Time{}
	}
	return granted.Add(h.terms.Lease)
}

// Superseded reports whether a member told of a higher epoch, so that the row
// should be read again.
func (h *Holder) Superseded() bool { return h.superseded }

// Get returns the newest version of a key, which may not be committed yet.
func (h *Holder) Get(key string) (Record, bool) {
	record, ok := h.records[key]
	return record, ok && !record.Deleted
}

// Records returns the newest version of every key, in the order of the keys.
func (h *Holder) Records() []Record { return present(h.records) }

// Committed reports whether a version that the holder knows is committed. Versions
// of earlier epochs are, since the epoch began with them at every member.
func (h *Holder) Committed(s Stamp) bool {
	if s.Epoch < h.row.Epoch {
		return true
	}
	p, ok := h.pending[s.Sequence]
	return !ok || p.committed
}

// Pending returns the number of records that some member has not yet stored.
func (h *Holder) Pending() int { return len(h.pending) }

// Tick returns the renewals and repetitions that are due.
func (h *Holder) Tick(now time.Time) []Request {
	if h.released {
		return nil
	}
	var requests []Request
	if h.renewed.IsZero() || now.Sub(h.renewed) >= h.terms.Renew {
		h.renewed = now
		for _, id := range h.row.Members {
			r := h.request(Renew, id)
			r.Sent = now.Sub(h.begin)
			requests = append(requests, r)
		}
	}
	if now.Sub(h.resent) >= h.terms.Resend {
		h.resent = now
		requests = append(requests, h.repetitions()...)
	}
	return requests
}

// Append writes a value, or removes the key if value is nil, and returns the sequence
// under which Answered will report it as committed.
func (h *Holder) Append(now time.Time, key string, value []byte) (uint64, []Request, error) {
	if !h.Held(now) {
		return 0, nil, ErrNotHeld
	}
	h.sequence++
	record := Record{
		Key:     key,
		Value:   value,
		Deleted: value == nil,
		Stamp:   Stamp{Epoch: h.row.Epoch, Sequence: h.sequence},
	}
	h.records[key] = record
	h.pending[h.sequence] = &pendingRecord{record: record, stored: make([]bool, len(h.row.Members))}
	requests := make([]Request, 0, len(h.row.Members))
	for _, id := range h.row.Members {
		r := h.request(Append, id)
		r.Records = []Record{record}
		r.Settled = h.settled
		requests = append(requests, r)
	}
	return h.sequence, requests, nil
}

// Answered takes a member's answer and returns the sequences of the records that
// became committed by it. A committed record is never forgotten, whoever holds the
// shard by now.
func (h *Holder) Answered(a Answer) []uint64 {
	i := slices.Index(h.row.Members, a.From)
	if i < 0 || a.Attempt != h.row.Attempt {
		return nil
	}
	if a.Highest > h.row.Epoch {
		h.superseded = true
	}
	if a.Status != Done {
		return nil
	}
	switch a.Kind {
	case Renew:
		if sent := h.begin.Add(a.Sent); sent.After(h.sent[i]) {
			h.sent[i] = sent
		}
	case Append:
		return h.stored(i, a.Stored)
	}
	return nil
}

// Release ends the holder's effect for good and tells its members, so that the next
// holder need not wait for the lease.
func (h *Holder) Release() []Request {
	h.released = true
	requests := make([]Request, 0, len(h.row.Members))
	for _, id := range h.row.Members {
		requests = append(requests, h.request(Release, id))
	}
	return requests
}

func (h *Holder) stored(member int, sequences []uint64) []uint64 {
	var committed []uint64
	for _, sequence := range sequences {
		p, ok := h.pending[sequence]
		if !ok || p.stored[member] {
			continue
		}
		p.stored[member] = true
		p.count++
		if !p.committed && p.count >= Majority(len(p.stored)) {
			p.committed = true
			committed = append(committed, sequence)
		}
	}
	h.settle()
	return committed
}

// settle forgets the records that every member stored, in the order of their
// sequences, and the keys that they removed.
func (h *Holder) settle() {
	for {
		p, ok := h.pending[h.settled+1]
		if !ok || p.count < len(p.stored) {
			return
		}
		h.settled++
		delete(h.pending, h.settled)
		if p.record.Deleted && h.records[p.record.Key].Stamp == p.record.Stamp {
			delete(h.records, p.record.Key)
		}
	}
}

// repetitions returns one batch of missing records for each member, oldest first.
func (h *Holder) repetitions() []Request {
	if len(h.pending) == 0 {
		return nil
	}
	var requests []Request
	for i, id := range h.row.Members {
		r := h.request(Append, id)
		r.Settled = h.settled
		for sequence := h.settled + 1; sequence <= h.sequence && len(r.Records) < maxBatch; sequence++ {
			if p, ok := h.pending[sequence]; ok && !p.stored[i] {
				r.Records = append(r.Records, p.record)
			}
		}
		if len(r.Records) > 0 {
			requests = append(requests, r)
		}
	}
	return requests
}

func (h *Holder) request(kind Kind, to MemberID) Request {
	return Request{Kind: kind, To: to, Epoch: h.row.Epoch, Attempt: h.row.Attempt}
}
