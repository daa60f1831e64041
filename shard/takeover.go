package shard

import (
	"slices"
	"time"
)

// A Stage is the progress of a Takeover.
type Stage uint8

// The stages of a Takeover. Won, Lost and Abandoned are final.
const (
	// Reading waits for the row.
	Reading Stage = iota + 1
	// Sealing waits for a majority of the current epoch's members.
	Sealing
	// Copying waits for every member of the new group.
	Copying
	// Writing waits until the outcome of the conditional write is known.
	Writing
	// Won means that the row names this attempt.
	Won
	// Lost means that another attempt won the epoch.
	Lost
	// Abandoned means that the attempt will never write the row.
	Abandoned
)

// An Action is an operation that the caller performs for a Takeover. Exactly one field is
// set.
type Action struct {
	// Send is a request to a member; pass the response to HandleResponse.
	Send *Request
	// Read requests a read of the row; pass the result to HandleRow.
	Read bool
	// Write requests one conditional write; pass the result to HandleWriteResult.
	Write *Write
}

// A Write replaces the row if its revision is unchanged since it was read.
type Write struct {
	Row Row
	// Revision is the expected revision of the row; zero if the row must not exist.
	Revision uint64
}

// A Takeover is one attempt to take over a shard. It reads the row, seals a majority of the
// epoch's members, copies the union of their records to every member of the new group, and
// writes the row once, on the condition that it is unchanged. It seals members only after
// a successful read of the row. If the response to the write is lost, the attempt reads the
// row to find out the outcome, and can't be abandoned until then.
type Takeover struct {
	attempt  AttemptID
	self     MemberID
	group    []MemberID
	config   Config
	stage    Stage
	row      Row
	revision uint64
	sealed   map[MemberID]bool
	gone     map[MemberID]bool
	// lastGone is when a member was last reported as gone.
	lastGone time.Time
	lossy    bool
	merged   map[string]Record
	records  []Record
	// after is the last key that each member has returned; the next page starts after it.
	after map[MemberID]string
	// parts are the records split into messages; copiedParts counts those that each member
	// has stored.
	parts       [][]Record
	copiedParts map[MemberID]int
	lastSend    time.Time
}

// NewTakeover returns a takeover by member self. The attempt ID must be new. The members
// of the group must be live, since each of them has to store the copy.
func NewTakeover(attempt AttemptID, self MemberID, group []MemberID, config Config) *Takeover {
	return &Takeover{
		attempt:     attempt,
		self:        self,
		group:       slices.Clone(group),
		config:      config,
		stage:       Reading,
		sealed:      map[MemberID]bool{},
		gone:        map[MemberID]bool{},
		merged:      map[string]Record{},
		after:       map[MemberID]string{},
		copiedParts: map[MemberID]int{},
	}
}

// Stage returns the progress of the takeover.
func (t *Takeover) Stage() Stage { return t.stage }

// Row returns the row that the takeover writes. It is final from stage Copying on.
func (t *Takeover) Row() Row {
	return Row{Epoch: t.row.Epoch + 1, Attempt: t.attempt, Holder: t.self, Members: t.group, Lossy: t.lossy}
}

// Records returns the initial records of the new epoch.
func (t *Takeover) Records() []Record { return t.records }

// Missing returns the members that have not responded in the current stage.
func (t *Takeover) Missing() []MemberID {
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
			if t.copiedParts[id] < len(t.parts) {
				missing = append(missing, id)
			}
		}
	}
	return missing
}

// Tick returns the actions that are due: the initial read and resends of unanswered
// requests.
func (t *Takeover) Tick(now time.Time) []Action {
	if !t.lastSend.IsZero() && now.Sub(t.lastSend) < t.config.ResendInterval {
		return nil
	}
	if t.stage == Sealing {
		if actions := t.advance(now); len(actions) > 0 {
			return actions
		}
	}
	t.lastSend = now
	switch t.stage {
	case Reading, Writing:
		return []Action{{Read: true}}
	case Sealing, Copying:
		return t.requests()
	default:
		return nil
	}
}

// HandleRow processes the row as read. A row that does not exist has epoch zero and
// revision zero. Failed reads are not reported; Tick repeats them.
func (t *Takeover) HandleRow(now time.Time, row Row, revision uint64) []Action {
	switch t.stage {
	case Reading:
		t.row = row
		t.revision = revision
		t.stage = Sealing
		t.lastSend = now
		if actions := t.advance(now); len(actions) > 0 {
			return actions
		}
		return t.requests()
	case Writing:
		return t.resolveWrite(row, revision)
	default:
		return nil
	}
}

// HandleWriteResult processes the result of the conditional write. The argument applied is
// true only if the write is known to have taken effect. Otherwise the row is read again,
// since an earlier attempt of the same write may have taken effect.
func (t *Takeover) HandleWriteResult(applied bool) []Action {
	if t.stage != Writing {
		return nil
	}
	if applied {
		t.stage = Won
		return nil
	}
	return []Action{{Read: true}}
}

// HandleResponse processes a member's response.
func (t *Takeover) HandleResponse(now time.Time, resp Response) []Action {
	if resp.Attempt != t.attempt {
		return nil
	}
	if resp.Status == Superseded && (t.stage == Sealing || t.stage == Copying) {
		// The member has a higher epoch, so the row has changed.
		actions, _ := t.Abandon()
		return actions
	}
	if resp.Status != Done {
		return nil
	}
	switch {
	case t.stage == Sealing && resp.Kind == Seal && slices.Contains(t.row.Members, resp.From):
		return t.addPage(now, resp)
	case t.stage == Copying && resp.Kind == Copy && slices.Contains(t.group, resp.From):
		return t.partCopied(now, resp)
	default:
		return nil
	}
}

// addPage merges a page of a member's records. The last page marks the member as sealed.
func (t *Takeover) addPage(now time.Time, resp Response) []Action {
	if t.sealed[resp.From] || resp.After != t.after[resp.From] {
		return nil
	}
	t.merge(resp.Records)
	if resp.More && len(resp.Records) > 0 {
		t.after[resp.From] = resp.Records[len(resp.Records)-1].Key
		return []Action{t.request(Seal, resp.From)}
	}
	t.sealed[resp.From] = true
	return t.advance(now)
}

// partCopied sends the next part to a member, and starts the write after the last part of
// the last member.
func (t *Takeover) partCopied(now time.Time, resp Response) []Action {
	if resp.Part != t.copiedParts[resp.From] {
		return nil
	}
	t.copiedParts[resp.From]++
	if t.copiedParts[resp.From] < len(t.parts) {
		return []Action{t.request(Copy, resp.From)}
	}
	if len(t.Missing()) > 0 {
		return nil
	}
	t.stage = Writing
	t.lastSend = now
	return []Action{t.writeAction()}
}

// MarkGone reports proof that a member has lost its memory, such as a newer incarnation of
// its host. Once all unresponsive members of the epoch are gone and every lease that they
// may have granted has expired, the takeover continues without them. If fewer than a
// majority responded, the row is marked as lossy.
func (t *Takeover) MarkGone(now time.Time, id MemberID) {
	if t.gone[id] {
		return
	}
	t.gone[id] = true
	t.lastGone = now
}

// Abandon cancels the attempt and releases the members that it sealed. It returns false if
// the row may already have been written, in which case the outcome must be resolved first.
func (t *Takeover) Abandon() ([]Action, bool) {
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
		actions = append(actions, t.request(Abandon, id))
	}
	for _, id := range t.group {
		if !slices.Contains(t.row.Members, id) {
			actions = append(actions, t.request(Abandon, id))
		}
	}
	return actions, true
}

// advance moves to stage Copying if enough members are sealed.
func (t *Takeover) advance(now time.Time) []Action {
	if !t.enoughSealed(now) {
		return nil
	}
	t.stage = Copying
	t.lastSend = now
	t.records = withoutDeleted(t.merged)
	t.merged = nil
	t.splitRecords()
	return t.requests()
}

// splitRecords divides the records into messages. There is one even without records.
func (t *Takeover) splitRecords() {
	rest := t.records
	for {
		n := t.config.pageLen(rest)
		t.parts = append(t.parts, rest[:n])
		rest = rest[n:]
		if len(rest) == 0 {
			return
		}
	}
}

func (t *Takeover) enoughSealed(now time.Time) bool {
	members := len(t.row.Members)
	if members == 0 || len(t.sealed) >= Majority(members) {
		return true
	}
	if len(t.Missing()) > 0 || now.Sub(t.lastGone) < t.config.memberLease() {
		return false
	}
	t.lossy = true
	return true
}

// merge keeps the newest version of each key.
func (t *Takeover) merge(records []Record) {
	for _, record := range records {
		if old, ok := t.merged[record.Key]; !ok || old.Version.Less(record.Version) {
			t.merged[record.Key] = record
		}
	}
}

// resolveWrite derives the outcome of the write from the row. If the row is unchanged, the
// write has not taken effect but still may, so it is repeated.
func (t *Takeover) resolveWrite(row Row, revision uint64) []Action {
	switch {
	case row.Attempt == t.attempt:
		t.stage = Won
		return nil
	case revision == t.revision && row.Epoch == t.row.Epoch:
		return []Action{t.writeAction()}
	default:
		t.stage = Lost
		return nil
	}
}

func (t *Takeover) requests() []Action {
	kind := Seal
	if t.stage == Copying {
		kind = Copy
	}
	missing := t.Missing()
	actions := make([]Action, 0, len(missing))
	for _, id := range missing {
		actions = append(actions, t.request(kind, id))
	}
	return actions
}

func (t *Takeover) request(kind Kind, to MemberID) Action {
	r := Request{Kind: kind, To: to, Epoch: t.row.Epoch + 1, Attempt: t.attempt}
	switch kind {
	case Seal:
		r.Previous = t.row.Attempt
		r.After = t.after[to]
	case Copy:
		r.Part = t.copiedParts[to]
		r.Parts = len(t.parts)
		r.Records = t.parts[r.Part]
	}
	return Action{Send: &r}
}

func (t *Takeover) writeAction() Action {
	return Action{Write: &Write{Row: t.Row(), Revision: t.revision}}
}
