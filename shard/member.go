package shard

import (
	"slices"
	"time"
)

// A Member is one host's replica of a shard. It grants leases and stores records for its
// current epoch, and rejects epochs lower than the one that it promised to a Seal. A Seal
// succeeds only after the last granted lease has expired. A majority of successful Seals
// therefore means that no holder of a lower epoch has a valid lease, and that none of its
// records can still be committed.
type Member struct {
	id      MemberID
	config  Config
	epoch   Epoch
	attempt AttemptID
	// leaseEnd is when the last granted lease has expired, clock drift included.
	leaseEnd time.Time
	records  map[string]Record
	// fullyStored is the sequence number up to which all members have stored the records
	// of the epoch.
	fullyStored uint64
	// pendingDeletes lists the keys whose tombstones some member may not have stored yet.
	pendingDeletes []string
	// staged holds the records of epochs that the member has not entered.
	staged map[AttemptID]stagedCopy
	// promised maps the attempts that sealed the member to their epochs.
	promised map[AttemptID]Epoch
	// abandoned maps abandoned attempts to their epochs, so that a delayed Seal is
	// rejected.
	abandoned map[AttemptID]Epoch
}

// A stagedCopy holds the initial records of an epoch. It can be used once all its parts
// have arrived.
type stagedCopy struct {
	epoch Epoch
	parts map[int][]Record
	count int
}

// NewMember returns a member without records. The incarnation of id must be new.
func NewMember(id MemberID, config Config) *Member {
	return &Member{
		id:        id,
		config:    config,
		records:   map[string]Record{},
		staged:    map[AttemptID]stagedCopy{},
		promised:  map[AttemptID]Epoch{},
		abandoned: map[AttemptID]Epoch{},
	}
}

// ID returns the member's identity.
func (m *Member) ID() MemberID { return m.id }

// Epoch returns the member's epoch, or zero if it has entered none.
func (m *Member) Epoch() Epoch { return m.epoch }

// RecordCount returns the number of stored records, tombstones included.
func (m *Member) RecordCount() int { return len(m.records) }

// ObserveRow processes the row as read from the table. If the row has a higher epoch and
// the member is not in its group, the member drops its records.
func (m *Member) ObserveRow(row Row) {
	if row.Epoch <= m.epoch || slices.Contains(row.Members, m.id) {
		return
	}
	m.epoch = row.Epoch
	m.attempt = ""
	m.records = map[string]Record{}
	m.pendingDeletes = nil
	m.pruneAttempts()
}

// Handle processes a request at time now of the member's clock and returns the response.
func (m *Member) Handle(now time.Time, r Request) Response {
	if r.To != m.id {
		return r.respond(m.id, NotMember)
	}
	var resp Response
	switch r.Kind {
	case Renew:
		resp = m.renew(now, r)
	case Append:
		resp = m.append(r)
	case Seal:
		resp = m.seal(now, r)
	case Copy:
		resp = m.stage(r)
	case Abandon:
		resp = m.abandon(r)
	case Release:
		resp = m.release(r)
	default:
		resp = r.respond(m.id, NotMember)
	}
	resp.HighestEpoch = m.highestEpoch()
	return resp
}

// renew grants a lease. The member counts it from receipt and the holder from sending, so
// the lease ends later at the member than at the holder.
func (m *Member) renew(now time.Time, r Request) Response {
	if status := m.checkEpoch(r.Epoch, r.Attempt); status != Done {
		return r.respond(m.id, status)
	}
	end := now.Add(m.config.memberLease())
	if end.After(m.leaseEnd) {
		m.leaseEnd = end
	}
	return r.respond(m.id, Done)
}

func (m *Member) append(r Request) Response {
	if status := m.checkEpoch(r.Epoch, r.Attempt); status != Done {
		return r.respond(m.id, status)
	}
	resp := r.respond(m.id, Done)
	for _, record := range r.Records {
		m.store(record)
		resp.Stored = append(resp.Stored, record.Version.Sequence)
	}
	m.purgeDeleted(r.FullyStored)
	return resp
}

// store keeps the newer version of a key. Every member has already stored the records up
// to fullyStored and their tombstones may be gone, so resends of them are ignored.
func (m *Member) store(record Record) {
	if record.Version.Sequence <= m.fullyStored {
		return
	}
	if old, ok := m.records[record.Key]; ok && !old.Version.Less(record.Version) {
		return
	}
	m.records[record.Key] = record
	if record.Deleted {
		m.pendingDeletes = append(m.pendingDeletes, record.Key)
	}
}

// purgeDeleted drops the tombstones that all members have stored.
func (m *Member) purgeDeleted(sequence uint64) {
	if sequence <= m.fullyStored {
		return
	}
	m.fullyStored = sequence
	kept := m.pendingDeletes[:0]
	for _, key := range m.pendingDeletes {
		record := m.records[key]
		switch {
		case !record.Deleted:
		case record.Version.Sequence > sequence:
			kept = append(kept, key)
		default:
			delete(m.records, key)
		}
	}
	m.pendingDeletes = kept
}

// seal first promises the epoch, so that no further lease is granted, and then waits for
// the last granted lease to expire.
func (m *Member) seal(now time.Time, r Request) Response {
	_, abandoned := m.abandoned[r.Attempt]
	if r.Epoch <= m.epoch || r.Epoch < m.highestPromised() || abandoned {
		return r.respond(m.id, Superseded)
	}
	if !m.enterEpoch(r.Epoch-1, r.Previous) {
		return r.respond(m.id, NotMember)
	}
	m.promised[r.Attempt] = r.Epoch
	if now.Before(m.leaseEnd) {
		resp := r.respond(m.id, Waiting)
		resp.Wait = m.leaseEnd.Sub(now)
		return resp
	}
	// The records don't change between pages: the promise makes the member reject appends.
	resp := r.respond(m.id, Done)
	rest := sortedByKey(m.records)
	if r.After != "" {
		rest = slices.DeleteFunc(rest, func(record Record) bool { return record.Key <= r.After })
	}
	n := m.config.pageLen(rest)
	resp.Records = rest[:n]
	resp.More = n < len(rest)
	return resp
}

// stage stores the records of an epoch until the first message of its holder arrives.
func (m *Member) stage(r Request) Response {
	_, abandoned := m.abandoned[r.Attempt]
	if r.Epoch <= m.epoch || r.Epoch < m.highestPromised() || abandoned {
		return r.respond(m.id, Superseded)
	}
	copied, ok := m.staged[r.Attempt]
	if !ok {
		copied = stagedCopy{epoch: r.Epoch, parts: map[int][]Record{}, count: r.Parts}
		m.staged[r.Attempt] = copied
	}
	copied.parts[r.Part] = r.Records
	return r.respond(m.id, Done)
}

func (m *Member) abandon(r Request) Response {
	delete(m.promised, r.Attempt)
	delete(m.staged, r.Attempt)
	if r.Epoch > m.epoch {
		m.abandoned[r.Attempt] = r.Epoch
	}
	return r.respond(m.id, Done)
}

func (m *Member) release(r Request) Response {
	if m.epoch == r.Epoch && m.attempt == r.Attempt {
		m.leaseEnd = time.Time{}
	}
	return r.respond(m.id, Done)
}

// checkEpoch validates a holder's message and enters its epoch if that is new.
func (m *Member) checkEpoch(epoch Epoch, attempt AttemptID) Status {
	if epoch < m.epoch || epoch < m.highestPromised() {
		return Superseded
	}
	if !m.enterEpoch(epoch, attempt) {
		return NotMember
	}
	return Done
}

// enterEpoch reports whether the member is in the epoch of an attempt that is known to have
// won it. It activates the staged records of the attempt if necessary.
func (m *Member) enterEpoch(epoch Epoch, attempt AttemptID) bool {
	if m.epoch == epoch {
		return m.attempt == attempt
	}
	copied, ok := m.staged[attempt]
	if !ok || epoch < m.epoch || copied.epoch != epoch || len(copied.parts) < copied.count {
		return false
	}
	m.epoch = epoch
	m.attempt = attempt
	m.fullyStored = 0
	m.pendingDeletes = nil
	m.records = map[string]Record{}
	for _, records := range copied.parts {
		for _, record := range records {
			m.records[record.Key] = record
		}
	}
	m.pruneAttempts()
	return true
}

// pruneAttempts drops the state of attempts for past epochs and the current one.
func (m *Member) pruneAttempts() {
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

func (m *Member) highestPromised() Epoch {
	var highest Epoch
	for _, epoch := range m.promised {
		highest = max(highest, epoch)
	}
	return highest
}

func (m *Member) highestEpoch() Epoch { return max(m.epoch, m.highestPromised()) }
