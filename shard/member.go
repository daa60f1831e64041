package shard

import (
	"slices"
	"time"
)

// A Member is one host's memory of one shard. It grants leases and stores records
// for the epoch that it is in, and refuses epochs below one that it promised to a
// Seal. A Seal is answered only when the last lease granted has surely ended, so a
// majority of answers means that no holder of a lower epoch is in effect, and that
// no record of it can still become committed.
type Member struct {
	id      MemberID
	terms   Terms
	epoch   Epoch
	attempt AttemptID
	// leaseEnd is when the last lease granted has surely ended.
	leaseEnd time.Time
	records  map[string]Record
	// settled is the sequence up to which all members have the epoch's records.
	settled uint64
	// removed lists the keys whose removal is not yet settled.
	removed []string
	// staged holds copies of epochs that the member has not entered.
	staged map[AttemptID]stagedCopy
	// promised holds the epochs of the attempts that sealed the member.
	promised map[AttemptID]Epoch
	// abandoned holds the attempts whose late Seal must not count.
	abandoned map[AttemptID]Epoch
}

// A stagedCopy can be put in force once all its parts are there.
type stagedCopy struct {
	epoch Epoch
	parts map[int][]Record
	count int
}

// NewMember returns a member without memory. The incarnation of id must be new.
func NewMember(id MemberID, terms Terms) *Member {
	return &Member{
		id:        id,
		terms:     terms,
		records:   map[string]Record{},
		staged:    map[AttemptID]stagedCopy{},
		promised:  map[AttemptID]Epoch{},
		abandoned: map[AttemptID]Epoch{},
	}
}

// ID returns the member's name.
func (m *Member) ID() MemberID { return m.id }

// Epoch returns the epoch that the member is in, or zero.
func (m *Member) Epoch() Epoch { return m.epoch }

// Records returns the number of records held, removals included.
func (m *Member) Records() int { return len(m.records) }

// Outlived takes the row as it was read. If the member is not in the row's group, it
// forgets its records: the epoch that they belong to is over.
func (m *Member) Outlived(row Row) {
	if row.Epoch <= m.epoch || slices.Contains(row.Members, m.id) {
		return
	}
	m.epoch = row.Epoch
	m.attempt = ""
	m.records = map[string]Record{}
	m.removed = nil
	m.forgetBelow()
}

// Handle answers a request at the time now of the member's clock.
func (m *Member) Handle(now time.Time, r Request) Answer {
	if r.To != m.id {
		return r.answer(m.id, NotMember)
	}
	var a Answer
	switch r.Kind {
	case Renew:
		a = m.renew(now, r)
	case Append:
		a = m.append(r)
	case Seal:
		a = m.seal(now, r)
	case Copy:
		a = m.stage(r)
	case Abandon:
		a = m.abandon(r)
	case Release:
		a = m.release(r)
	default:
		a = r.answer(m.id, NotMember)
	}
	a.Highest = m.highest()
	return a
}

// renew grants a lease. The member counts from its receipt, and so longer than the
// holder, which counts from its send.
func (m *Member) renew(now time.Time, r Request) Answer {
	if status := m.admit(r.Epoch, r.Attempt); status != Done {
		return r.answer(m.id, status)
	}
	end := now.Add(m.terms.memberLease())
	if end.After(m.leaseEnd) {
		m.leaseEnd = end
	}
	return r.answer(m.id, Done)
}

func (m *Member) append(r Request) Answer {
	if status := m.admit(r.Epoch, r.Attempt); status != Done {
		return r.answer(m.id, status)
	}
	a := r.answer(m.id, Done)
	for _, record := range r.Records {
		m.store(record)
		a.Stored = append(a.Stored, record.Stamp.Sequence)
	}
	m.settle(r.Settled)
	return a
}

// store keeps the newer version of a key. A settled record was stored before, and
// its removal may be forgotten already, so a late repetition is passed over.
func (m *Member) store(record Record) {
	if record.Stamp.Sequence <= m.settled {
		return
	}
	if held, ok := m.records[record.Key]; ok && !held.Stamp.Less(record.Stamp) {
		return
	}
	m.records[record.Key] = record
	if record.Deleted {
		m.removed = append(m.removed, record.Key)
	}
}

// settle forgets removals that every member has stored.
func (m *Member) settle(sequence uint64) {
	if sequence <= m.settled {
		return
	}
	m.settled = sequence
	kept := m.removed[:0]
	for _, key := range m.removed {
		record := m.records[key]
		switch {
		case !record.Deleted:
		case record.Stamp.Sequence > sequence:
			kept = append(kept, key)
		default:
			delete(m.records, key)
		}
	}
	m.removed = kept
}

// seal promises first, so that no further lease is granted, and then waits for the
// last lease granted.
func (m *Member) seal(now time.Time, r Request) Answer {
	_, abandoned := m.abandoned[r.Attempt]
	if r.Epoch <= m.epoch || r.Epoch < m.highestPromise() || abandoned {
		return r.answer(m.id, Superseded)
	}
	if !m.enter(r.Epoch-1, r.Previous) {
		return r.answer(m.id, NotMember)
	}
	m.promised[r.Attempt] = r.Epoch
	if now.Before(m.leaseEnd) {
		a := r.answer(m.id, Waiting)
		a.Wait = m.leaseEnd.Sub(now)
		return a
	}
	// The records can't change between pages: appends are refused by the promise.
	a := r.answer(m.id, Done)
	rest := sorted(m.records)
	if r.After != "" {
		rest = slices.DeleteFunc(rest, func(record Record) bool { return record.Key <= r.After })
	}
	n := m.terms.page(rest)
	a.Records = rest[:n]
	a.More = n < len(rest)
	return a
}

// stage keeps the records of an epoch aside until its holder is heard of.
func (m *Member) stage(r Request) Answer {
	_, abandoned := m.abandoned[r.Attempt]
	if r.Epoch <= m.epoch || r.Epoch < m.highestPromise() || abandoned {
		return r.answer(m.id, Superseded)
	}
	copied, ok := m.staged[r.Attempt]
	if !ok {
		copied = stagedCopy{epoch: r.Epoch, parts: map[int][]Record{}, count: r.Parts}
		m.staged[r.Attempt] = copied
	}
	copied.parts[r.Part] = r.Records
	return r.answer(m.id, Done)
}

func (m *Member) abandon(r Request) Answer {
	delete(m.promised, r.Attempt)
	delete(m.staged, r.Attempt)
	if r.Epoch > m.epoch {
		m.abandoned[r.Attempt] = r.Epoch
	}
	return r.answer(m.id, Done)
}

func (m *Member) release(r Request) Answer {
	if m.epoch == r.Epoch && m.attempt == r.Attempt {
		m.leaseEnd = time.Time{}
	}
	return r.answer(m.id, Done)
}

// admit checks a message of an epoch's holder and enters the epoch if it is new.
func (m *Member) admit(epoch Epoch, attempt AttemptID) Status {
	if epoch < m.epoch || epoch < m.highestPromise() {
		return Superseded
	}
	if !m.enter(epoch, attempt) {
		return NotMember
	}
	return Done
}

// enter reports whether the member is in the epoch of an attempt that is known to
// have won it, and puts the attempt's copy in force if it was kept aside till now.
func (m *Member) enter(epoch Epoch, attempt AttemptID) bool {
	if m.epoch == epoch {
		return m.attempt == attempt
	}
	copied, ok := m.staged[attempt]
	if !ok || epoch < m.epoch || copied.epoch != epoch || len(copied.parts) < copied.count {
		return false
	}
	m.epoch = epoch
	m.attempt = attempt
	m.settled = 0
	m.removed = nil
	m.records = map[string]Record{}
	for _, records := range copied.parts {
		for _, record := range records {
			m.records[record.Key] = record
		}
	}
	m.forgetBelow()
	return true
}

// forgetBelow drops what concerns epochs that can't come any more.
func (m *Member) forgetBelow() {
	for attempt, copied := range m.staged {
		if copied.epoch <= m.epoch {
			delete(m.staged, attempt)
		}
	}
	for attempt, epoch := range m.promised {
		if epoch <= m.epoch {
			delete(m.promised, attempt)
		}
	}
	for attempt, epoch := range m.abandoned {
		if epoch <= m.epoch {
			delete(m.abandoned, attempt)
		}
	}
}

func (m *Member) highestPromise() Epoch {
	var highest Epoch
	for _, epoch := range m.promised {
		highest = max(highest, epoch)
	}
	return highest
}

func (m *Member) highest() Epoch { return max(m.epoch, m.highestPromise()) }
