package shard

import (
	"slices"
	"time"
)

// A Stage is how far a Taker has come.
type Stage uint8

// The stages of a takeover. Won, Lost and Abandoned are final.
const (
	// Reading waits for the row.
	Reading Stage = iota + 1
	// Sealing waits for a majority of the epoch's members.
	Sealing
	// Copying waits for every member of the new group.
	Copying
	// Writing waits until it is known what became of the conditional write.
	Writing
	// Won means that the row names this attempt.
	Won
	// Lost means that another attempt won the epoch.
	Lost
	// Abandoned means that the attempt will never write the row.
	Abandoned
)

// An Action is what a Taker wants done; exactly one of its fields is set.
type Action struct {
	// Send is a request to a member; its answer goes to Answered.
	Send *Request
	// Read asks for the row; the result goes to RowRead.
	Read bool
	// Write asks for one conditional write; the result goes to Written.
	Write *Write
}

// A Write replaces the row if it still has the revision that was read.
type Write struct {
	Row Row
	// Revision is that of the row to replace; zero if there must be none.
	Revision uint64
}

// A Taker makes one attempt to take a shard: it reads the row, seals a majority of
// the epoch's members, copies the union of their records to every member of the new
// group, and writes the row once, on the condition that it is unchanged. It never
// seals unless the row could just be read. A write whose answer was lost is settled
// by reading back; until then the attempt can't be given up.
type Taker struct {
	attempt  AttemptID
	self     MemberID
	group    []MemberID
	terms    Terms
	stage    Stage
	row      Row
	revision uint64
	sealed   map[MemberID]bool
	gone     map[MemberID]bool
	// goneSince is when the last member of the epoch was proved gone.
	goneSince time.Time
	lossy     bool
	union     map[string]Record
	records   []Record
	// after is for each member the key that the next page of its records follows.
	after map[MemberID]string
	// parts are the records split into messages, copied how many a member has.
	parts    [][]Record
	copied   map[MemberID]int
	repeated time.Time
}

// NewTaker returns a taker for a host. The attempt must be new. The members of the
// group must be live: each has to take the copy.
func NewTaker(attempt AttemptID, self MemberID, group []MemberID, terms Terms) *Taker {
	return &Taker{
		attempt: attempt,
		self:    self,
		group:   slices.Clone(group),
		terms:   terms,
		stage:   Reading,
		sealed:  map[MemberID]bool{},
		gone:    map[MemberID]bool{},
		union:   map[string]Record{},
		after:   map[MemberID]string{},
		copied:  map[MemberID]int{},
	}
}

// Stage returns how far the taker has come.
func (t *Taker) Stage() Stage { return t.stage }

// Row returns the row that the taker writes; it is complete from stage Copying on.
func (t *Taker) Row() Row {
	return Row{Epoch: t.row.Epoch + 1, Attempt: t.attempt, Holder: t.self, Members: t.group, Lossy: t.lossy}
}

// Records returns the records with which the new epoch starts.
func (t *Taker) Records() []Record { return t.records }

// Missing returns the members that have yet to answer in the present stage.
func (t *Taker) Missing() []MemberID {
	var missing []MemberID
	switch t.stage {
	case Sealing:
		for _, id := range t.row.Members {
			if !t.sealed[id] && !t.gone[id] {
				missing = append(missing, id)
			}
		}
	case Copying:
		for _, id := range t.group {
			if t.copied[id] < len(t.parts) {
				missing = append(missing, id)
			}
		}
	}
	return missing
}

// Tick returns what is due: the first read, and repetitions of what was not answered.
func (t *Taker) Tick(now time.Time) []Action {
	if !t.repeated.IsZero() && now.Sub(t.repeated) < t.terms.Resend {
		return nil
	}
	if t.stage == Sealing {
		if actions := t.advance(now); len(actions) > 0 {
			return actions
		}
	}
	t.repeated = now
	switch t.stage {
	case Reading, Writing:
		return []Action{{Read: true}}
	case Sealing, Copying:
		return t.messages()
	default:
		return nil
	}
}

// RowRead takes the row as read. A missing row has epoch zero and revision zero. A
// failed read is not reported; Tick asks again.
func (t *Taker) RowRead(now time.Time, row Row, revision uint64) []Action {
	switch t.stage {
	case Reading:
		t.row = row
		t.revision = revision
		t.stage = Sealing
		t.repeated = now
		if actions := t.advance(now); len(actions) > 0 {
			return actions
		}
		return t.messages()
	case Writing:
		return t.settle(row, revision)
	default:
		return nil
	}
}

// Written takes the result of the conditional write: applied is true only if it is
// known to have taken effect. Anything else is settled by reading back, since an
// earlier repetition may have taken effect.
func (t *Taker) Written(applied bool) []Action {
	if t.stage != Writing {
		return nil
	}
	if applied {
		t.stage = Won
		return nil
	}
	return []Action{{Read: true}}
}

// Answered takes a member's answer.
func (t *Taker) Answered(now time.Time, a Answer) []Action {
	if a.Attempt != t.attempt {
		return nil
	}
	if a.Status == Superseded && (t.stage == Sealing || t.stage == Copying) {
		// A member knows of a higher epoch, so the row has changed.
		actions, _ := t.Abandon()
		return actions
	}
	if a.Status != Done {
		return nil
	}
	switch {
	case t.stage == Sealing && a.Kind == Seal && slices.Contains(t.row.Members, a.From):
		return t.pageTaken(now, a)
	case t.stage == Copying && a.Kind == Copy && slices.Contains(t.group, a.From):
		return t.partStored(now, a)
	default:
		return nil
	}
}

// pageTaken keeps a page of a sealed member's records; the last one counts it.
func (t *Taker) pageTaken(now time.Time, a Answer) []Action {
	if t.sealed[a.From] || a.After != t.after[a.From] {
		return nil
	}
	t.merge(a.Records)
	if a.More && len(a.Records) > 0 {
		t.after[a.From] = a.Records[len(a.Records)-1].Key
		return []Action{t.send(Seal, a.From)}
	}
	t.sealed[a.From] = true
	return t.advance(now)
}

// partStored sends the next part to a member; the last one of all leads to the write.
func (t *Taker) partStored(now time.Time, a Answer) []Action {
	if a.Part != t.copied[a.From] {
		return nil
	}
	t.copied[a.From]++
	if t.copied[a.From] < len(t.parts) {
		return []Action{t.send(Copy, a.From)}
	}
	if len(t.Missing()) > 0 {
		return nil
	}
	t.stage = Writing
	t.repeated = now
	return []Action{t.write()}
}

// Gone takes the proof that a member's memory is lost, such as a newer incarnation
// of its host. Once all silent members of the epoch are gone and every lease that
// they may have granted has ended, the takeover goes on without them; if a majority
// of them did not answer, the row says that records may be missing.
func (t *Taker) Gone(now time.Time, id MemberID) {
	if t.gone[id] {
		return
	}
	t.gone[id] = true
	t.goneSince = now
}

// Abandon gives the attempt up and frees the members that it sealed. It reports
// false if the row may already be written, so that the attempt must be settled.
func (t *Taker) Abandon() ([]Action, bool) {
	switch t.stage {
	case Writing:
		return nil, false
	case Reading, Sealing, Copying:
	default:
		return nil, true
	}
	t.stage = Abandoned
	var actions []Action
	for _, id := range t.row.Members {
		actions = append(actions, t.send(Abandon, id))
	}
	for _, id := range t.group {
		if !slices.Contains(t.row.Members, id) {
			actions = append(actions, t.send(Abandon, id))
		}
	}
	return actions, true
}

// advance goes on to copying once enough members are sealed.
func (t *Taker) advance(now time.Time) []Action {
	if !t.enoughSealed(now) {
		return nil
	}
	t.stage = Copying
	t.repeated = now
	t.records = present(t.union)
	t.union = nil
	t.split()
	return t.messages()
}

// split divides the records into messages; there is one even without records.
func (t *Taker) split() {
	rest := t.records
	for {
		n := t.terms.page(rest)
		t.parts = append(t.parts, rest[:n])
		rest = rest[n:]
		if len(rest) == 0 {
			return
		}
	}
}

func (t *Taker) enoughSealed(now time.Time) bool {
	members := len(t.row.Members)
	if members == 0 || len(t.sealed) >= Majority(members) {
		return true
	}
	if len(t.Missing()) > 0 || now.Sub(t.goneSince) < t.terms.memberLease() {
		return false
	}
	t.lossy = true
	return true
}

// merge keeps the newest version of each key.
func (t *Taker) merge(records []Record) {
	for _, record := range records {
		if held, ok := t.union[record.Key]; !ok || held.Stamp.Less(record.Stamp) {
			t.union[record.Key] = record
		}
	}
}

// settle decides by the row what became of the write. An unchanged row means that
// the write has not taken effect, though it still may, so it is sent again.
func (t *Taker) settle(row Row, revision uint64) []Action {
	switch {
	case row.Attempt == t.attempt:
		t.stage = Won
		return nil
	case revision == t.revision && row.Epoch == t.row.Epoch:
		return []Action{t.write()}
	default:
		t.stage = Lost
		return nil
	}
}

func (t *Taker) messages() []Action {
	kind := Seal
	if t.stage == Copying {
		kind = Copy
	}
	missing := t.Missing()
	actions := make([]Action, 0, len(missing))
	for _, id := range missing {
		actions = append(actions, t.send(kind, id))
	}
	return actions
}

func (t *Taker) send(kind Kind, to MemberID) Action {
	r := Request{Kind: kind, To: to, Epoch: t.row.Epoch + 1, Attempt: t.attempt}
	switch kind {
	case Seal:
		r.Previous = t.row.Attempt
		r.After = t.after[to]
	case Copy:
		r.Part = t.copied[to]
		r.Parts = len(t.parts)
		r.Records = t.parts[r.Part]
	}
	return Action{Send: &r}
}

func (t *Taker) write() Action {
	return Action{Write: &Write{Row: t.Row(), Revision: t.revision}}
}
