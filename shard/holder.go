package shard

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotHeld is returned for a write when the holder has no valid lease.
var ErrNotHeld = eris.New("the shard is not held")

// maxBatch is the maximum number of records resent in one message.
const maxBatch = 256

// A Holder acts for a shard in one epoch. It holds the shard while a majority of the
// members have granted it a lease that is still valid, by its own clock and counted from
// the sending of the renewal. A Holder that was paused finds its lease expired. The
// availability of the table does not affect a Holder.
type Holder struct {
	row     Row
	config  Config
	started time.Time
	// renewSent is the send time of the latest renewal that each member granted.
	renewSent []time.Time
	records   map[string]Record
	sequence  uint64
	pending   map[uint64]*pendingRecord
	// fullyStored is the sequence number up to which all members have stored the records.
	fullyStored uint64
	lastRenew   time.Time
	lastResend  time.Time
	released    bool
	superseded  bool
}

type pendingRecord struct {
	record Record
	// stored reports for each member whether it has stored the record.
	stored      []bool
	storedCount int
	committed   bool
}

// NewHolder returns the holder of an epoch that a Takeover won. It has no lease yet.
func NewHolder(now time.Time, row Row, records []Record, config Config) *Holder {
	h := &Holder{
		row:       row,
		config:    config,
		started:   now,
		renewSent: make([]time.Time, len(row.Members)),
		records:   make(map[string]Record, len(records)),
		pending:   map[uint64]*pendingRecord{},
	}
	for _, record := range records {
		h.records[record.Key] = record
	}
	return h
}

// Row returns the row of the holder's epoch.
func (h *Holder) Row() Row { return h.row }

// Held reports whether the lease is valid at time now. Check it right before each side
// effect, after all operations that may block.
func (h *Holder) Held(now time.Time) bool { return now.Before(h.LeaseEnd()) }

// LeaseEnd returns when the lease expires unless it is renewed. It is zero if there is
// no lease.
func (h *Holder) LeaseEnd() time.Time {
	if h.released || len(h.renewSent) == 0 {
		return time.Time{}
	}
	sent := slices.Clone(h.renewSent)
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	granted := sent[Majority(len(sent))-1]
	if granted.IsZero() {
		return time.Time{}
	}
	return granted.Add(h.config.LeaseDuration)
}

// Superseded reports whether a member has returned a higher epoch, which means that the
// row should be read again.
func (h *Holder) Superseded() bool { return h.superseded }

// Get returns the newest version of a key, which may not be committed yet.
func (h *Holder) Get(key string) (Record, bool) {
	record, ok := h.records[key]
	return record, ok && !record.Deleted
}

// Records returns the newest version of each key, ordered by key.
func (h *Holder) Records() []Record { return withoutDeleted(h.records) }

// Committed reports whether a version is committed. Versions of earlier epochs always are,
// since they were copied to every member before the epoch began.
func (h *Holder) Committed(v Version) bool {
	if v.Epoch < h.row.Epoch {
		return true
	}
	p, ok := h.pending[v.Sequence]
	return !ok || p.committed
}

// PendingCount returns the number of records that some member has not stored yet.
func (h *Holder) PendingCount() int { return len(h.pending) }

// Tick returns the lease renewals and resends that are due.
func (h *Holder) Tick(now time.Time) []Request {
	if h.released {
		return nil
	}
	var requests []Request
	if h.lastRenew.IsZero() || now.Sub(h.lastRenew) >= h.config.RenewInterval {
		h.lastRenew = now
		for _, id := range h.row.Members {
			r := h.request(Renew, id)
			r.Sent = now.Sub(h.started)
			requests = append(requests, r)
		}
	}
	if now.Sub(h.lastResend) >= h.config.ResendInterval {
		h.lastResend = now
		requests = append(requests, h.resends()...)
	}
	return requests
}

// Append writes a value, or deletes the key if value is nil. It returns the sequence
// number that HandleResponse reports once the record is committed, and ErrNotHeld without
// a valid lease.
func (h *Holder) Append(now time.Time, key string, value []byte) (uint64, []Request, error) {
	if !h.Held(now) {
		return 0, nil, ErrNotHeld
	}
	h.sequence++
	record := Record{
		Key:     key,
		Value:   value,
		Deleted: value == nil,
		Version: Version{Epoch: h.row.Epoch, Sequence: h.sequence},
	}
	h.records[key] = record
	h.pending[h.sequence] = &pendingRecord{record: record, stored: make([]bool, len(h.row.Members))}
	requests := make([]Request, 0, len(h.row.Members))
	for _, id := range h.row.Members {
		r := h.request(Append, id)
		r.Records = []Record{record}
		r.FullyStored = h.fullyStored
		requests = append(requests, r)
	}
	return h.sequence, requests, nil
}

// HandleResponse processes a member's response and returns the sequence numbers of the
// records that it commits. A committed record is never lost, even if another host holds
// the shard by now.
func (h *Holder) HandleResponse(resp Response) []uint64 {
	i := slices.Index(h.row.Members, resp.From)
	if i < 0 || resp.Attempt != h.row.Attempt {
		return nil
	}
	if resp.HighestEpoch > h.row.Epoch {
		h.superseded = true
	}
	if resp.Status != Done {
		return nil
	}
	switch resp.Kind {
	case Renew:
		if sent := h.started.Add(resp.Sent); sent.After(h.renewSent[i]) {
			h.renewSent[i] = sent
		}
	case Append:
		return h.markStored(i, resp.Stored)
	}
	return nil
}

// Release gives up the lease permanently and returns requests that notify the members, so
// that the next holder does not have to wait for the lease to expire.
func (h *Holder) Release() []Request {
	h.released = true
	requests := make([]Request, 0, len(h.row.Members))
	for _, id := range h.row.Members {
		requests = append(requests, h.request(Release, id))
	}
	return requests
}

func (h *Holder) markStored(member int, sequences []uint64) []uint64 {
	var committed []uint64
	for _, sequence := range sequences {
		p, ok := h.pending[sequence]
		if !ok || p.stored[member] {
			continue
		}
		p.stored[member] = true
		p.storedCount++
		if !p.committed && p.storedCount >= Majority(len(p.stored)) {
			p.committed = true
			committed = append(committed, sequence)
		}
	}
	h.trimPending()
	return committed
}

// trimPending drops the leading records that all members have stored, and the tombstones
// among them.
func (h *Holder) trimPending() {
	for {
		p, ok := h.pending[h.fullyStored+1]
		if !ok || p.storedCount < len(p.stored) {
			return
		}
		h.fullyStored++
		delete(h.pending, h.fullyStored)
		if p.record.Deleted && h.records[p.record.Key].Version == p.record.Version {
			delete(h.records, p.record.Key)
		}
	}
}

// resends returns one batch of missing records per member, oldest first.
func (h *Holder) resends() []Request {
	if len(h.pending) == 0 {
		return nil
	}
	var requests []Request
	for i, id := range h.row.Members {
		r := h.request(Append, id)
		r.FullyStored = h.fullyStored
		for sequence := h.fullyStored + 1; sequence <= h.sequence && len(r.Records) < maxBatch; sequence++ {
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
