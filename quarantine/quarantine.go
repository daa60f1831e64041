// Package quarantine limits requests that crash backend servers. A request that is in
// flight when a backend server crashes gets a strike. A request with one strike is a
// suspect: it runs on one host only, and one suspect at a time, unless the List is
// configured otherwise. A request with as many strikes as the limit is refused. Strikes and
// clearances are sent to other nodes as rumours.
//
// A List is deterministic and has no lock. The caller provides the locking and the
// time, and sends the returned rumours. Package admission handles all other requests.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// StrikeLimit is the default number of strikes at which a request is refused.
	StrikeLimit = 2
	// DefaultRetention is the default time for which strikes and clearances are kept.
	DefaultRetention = time.Hour
	// MaxFingerprints is the maximum number of fingerprints with strikes in a List.
	MaxFingerprints = 4096
	// maxAnswered is the maximum number of fingerprints recorded as answered.
	maxAnswered = 4096
	// maxCrashes is the maximum number of crashes recorded for one fingerprint.
	maxCrashes = 16
)

// A Fingerprint identifies equal requests of one client account.
type Fingerprint struct {
	// Account is the name of the client account.
	Account string `cbor:"1,keyasint,omitempty"`
	// Hash is the hash of the request's service, method, path and body.
	Hash uint64 `cbor:"2,keyasint"`
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(account, service, method, path string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{service, method, path} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Fingerprint{Account: account, Hash: d.Sum64()}
}

// A Crash identifies one crash of a backend server, so that a strike that is received
// twice counts once.
type Crash struct {
	// Host is the host of the backend server.
	Host string `cbor:"1,keyasint"`
	// Incarnation is the incarnation of the host's node.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Number is the number of the crash among those that the node has observed.
	Number uint64 `cbor:"3,keyasint"`
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Number, b.Number),
	)
}

// A Rumour announces a strike, or the clearance of a strike, to other nodes. Rumours may
// arrive in any order and more than once. A clearance always takes precedence over the
// strike of the same crash.
type Rumour struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crash       Crash       `cbor:"2,keyasint"`
	Cleared     bool        `cbor:"3,keyasint,omitempty"`
}

// A Decision states whether a request may run.
type Decision int

// The decisions.
const (
	// Run means that the request may be sent to the backend server.
	Run Decision = iota
	// Busy means that another suspect is running. Retry after that one has finished.
	Busy
	// Quarantined means that the request must be refused as not run.
	Quarantined
)

// An Outcome states how a request ended.
type Outcome int

// The outcomes of a request.
const (
	// OtherOutcome is any outcome that is unrelated to crashes, such as a refusal.
	OtherOutcome Outcome = iota
	// Answered means that the backend server returned a complete answer.
	Answered
	// ConnectionBroken means that the connection broke before the answer was complete.
	ConnectionBroken
)

// An Option configures a List.
type Option func(*List)

// WithRetention sets how long strikes and clearances are kept.
func WithRetention(d time.Duration) Option { return func(l *List) { l.retention = d } }

// WithStrikeLimit sets the number of strikes at which a request is refused.
func WithStrikeLimit(n int) Option { return func(l *List) { l.strikeLimit = n } }

// WithConcurrentSuspects lets suspects run like other requests, also several at a time.
func WithConcurrentSuspects() Option { return func(l *List) { l.concurrentSuspects = true } }

// A List contains the strikes of all nodes as known to one node. Its invariants are:
// a request with as many strikes as the limit is not started on this node; the backend server
// never runs two suspects at the same time, unless that is allowed; a request that was answered has no strike
// from an earlier crash and gets none for the next crash on this node.
//
// A poison request that was never answered crashes at most as many backend servers as it
// was sent to before the first rumour arrived there, or two if it was sent to one only.
// This requires that suspects run only on the host returned by HostFor and that all nodes
// use the same list of hosts.
type List struct {
	host        string
	incarnation uint64
	retention   time.Duration
	strikeLimit int
	// concurrentSuspects reports that suspects may run at the same time.
	concurrentSuspects bool
	// crashes is the number of crashes of the backend server observed by this node.
	crashes  uint64
	records  map[Fingerprint]*record
	inFlight map[uint64]*request
	// runningSuspect is the only suspect that may run now, or nil.
	runningSuspect *request
	answered       recentSet
}

// A record contains the strikes of one fingerprint.
type record struct {
	// strikes maps a crash to whether its strike was cleared.
	strikes map[Crash]bool
	expires time.Time
}

// uncleared returns the number of strikes that are not cleared.
func (r *record) uncleared() int {
	count := 0
	for _, cleared := range r.strikes {
		if !cleared {
			count++
		}
	}
	return count
}

// makeRoom makes room for one more crash by forgetting one whose strike was cleared, and
// reports whether there is room.
func (r *record) makeRoom() bool {
	if len(r.strikes) < maxCrashes {
		return true
	}
	for _, crash := range slices.SortedFunc(maps.Keys(r.strikes), compareCrashes) {
		if r.strikes[crash] {
			delete(r.strikes, crash)
			return true
		}
	}
	return false
}

// A request is a request that was admitted and has not finished.
type request struct {
	fingerprint Fingerprint
	started     bool
	// crashesAtStart is the number of observed crashes when the request was started.
	crashesAtStart uint64
}

// NewList returns an empty List for a node.
func NewList(host string, incarnation uint64, options ...Option) *List {
	l := &List{
		host: host, incarnation: incarnation, retention: DefaultRetention, strikeLimit: StrikeLimit,
		records: make(map[Fingerprint]*record), inFlight: make(map[uint64]*request),
		answered: newRecentSet(maxAnswered),
	}
	for _, o := range options {
		o(l)
	}
	return l
}

// Strikes returns the number of strikes of a fingerprint that are neither cleared nor
// expired.
func (l *List) Strikes(now time.Time, f Fingerprint) int {
	r, ok := l.records[f]
	if !ok || !now.Before(r.expires) {
		return 0
	}
	return r.uncleared()
}

// RefusedFor returns how long a fingerprint with too many strikes is still refused, if no
// further strike is added; zero for others.
func (l *List) RefusedFor(now time.Time, f Fingerprint) time.Duration {
	if l.Strikes(now, f) < l.strikeLimit {
		return 0
	}
	return l.records[f].expires.Sub(now)
}

// Rumours returns rumours of the strikes that are neither cleared nor expired, those of the
// fingerprints with the most strikes first, at most limit.
func (l *List) Rumours(now time.Time, limit int) []Rumour {
	struck := make([]Fingerprint, 0, len(l.records))
	for f := range l.records {
		if l.Strikes(now, f) > 0 {
			struck = append(struck, f)
		}
	}
	slices.SortFunc(struck, func(a, b Fingerprint) int {
		return cmp.Or(
			cmp.Compare(l.records[b].uncleared(), l.records[a].uncleared()),
			cmp.Compare(a.Account, b.Account), cmp.Compare(a.Hash, b.Hash),
		)
	})
	var rumours []Rumour
	for _, f := range struck {
		for _, crash := range slices.SortedFunc(maps.Keys(l.records[f].strikes), compareCrashes) {
			if !l.records[f].strikes[crash] && len(rumours) < limit {
				rumours = append(rumours, Rumour{Fingerprint: f, Crash: crash})
			}
		}
	}
	return rumours
}

// Admit registers a request before it is queued for a slot. A suspect that may run
// excludes other suspects until it finishes. Only a request with the decision Run is
// registered, and only for such a request must the caller call Finish.
func (l *List) Admit(now time.Time, id uint64, f Fingerprint) Decision {
	admitted := &request{fingerprint: f}
	decision := l.decide(now, admitted)
	if decision == Run {
		l.inFlight[id] = admitted
	}
	return decision
}

// Start must be called immediately before the request is sent to the backend server. It
// includes strikes received while the request was queued. If the decision isn't Run, the
// request must not be sent, and the caller must call Finish.
func (l *List) Start(now time.Time, id uint64) Decision {
	q, ok := l.inFlight[id]
	if !ok {
		return Quarantined
	}
	decision := l.decide(now, q)
	q.started = decision == Run
	q.crashesAtStart = l.crashes
	return decision
}

// Finish records the outcome of a request and returns the rumours to send to other nodes.
// A complete answer clears the request's strikes. A broken connection adds a strike,
// unless an equal request was answered on this node since the last equal request whose
// connection broke. Only requests whose own connection broke get a strike, so a
// connection that was merely cut adds no strike to other requests.
func (l *List) Finish(now time.Time, id uint64, outcome Outcome) []Rumour {
	q, ok := l.inFlight[id]
	if !ok {
		return nil
	}
	delete(l.inFlight, id)
	if l.runningSuspect == q {
		l.runningSuspect = nil
	}
	switch {
	case !q.started:
		return nil
	case outcome == Answered:
		l.answered.add(q.fingerprint)
		return l.clear(now, q.fingerprint)
	case outcome == ConnectionBroken && l.answered.has(q.fingerprint):
		l.answered.remove(q.fingerprint)
		return nil
	case outcome == ConnectionBroken:
		r := Rumour{Fingerprint: q.fingerprint, Crash: l.crashFor(q)}
		l.Merge(now, r)
		return []Rumour{r}
	}
	return nil
}

// crashFor returns the crash that ended a request. Requests that were started between
// the same two crashes were ended by the same crash.
func (l *List) crashFor(q *request) Crash {
	l.crashes = max(l.crashes, q.crashesAtStart+1)
	return Crash{Host: l.host, Incarnation: l.incarnation, Number: q.crashesAtStart + 1}
}

// Merge applies a rumour from another node and reports whether it changed the List.
func (l *List) Merge(now time.Time, m Rumour) bool {
	r, ok := l.records[m.Fingerprint]
	if !ok || !now.Before(r.expires) {
		l.evict(now)
		r = &record{strikes: make(map[Crash]bool)}
		l.records[m.Fingerprint] = r
	}
	cleared, known := r.strikes[m.Crash]
	if known && (cleared || !m.Cleared) || !known && !r.makeRoom() {
		return false
	}
	r.strikes[m.Crash] = m.Cleared
	r.expires = now.Add(l.retention)
	return true
}

// decide returns whether a request may run. It makes a suspect the running one if there
// is none.
func (l *List) decide(now time.Time, q *request) Decision {
	switch strikes := l.Strikes(now, q.fingerprint); {
	case strikes >= l.strikeLimit:
		return Quarantined
	case strikes == 0 || l.concurrentSuspects || l.runningSuspect == q:
		return Run
	case l.runningSuspect != nil:
		return Busy
	}
	l.runningSuspect = q
	return Run
}

func (l *List) clear(now time.Time, f Fingerprint) []Rumour {
	r, ok := l.records[f]
	if !ok {
		return nil
	}
	var rumours []Rumour
	for _, crash := range slices.SortedFunc(maps.Keys(r.strikes), compareCrashes) {
		if r.strikes[crash] {
			continue
		}
		r.strikes[crash] = true
		r.expires = now.Add(l.retention)
		rumours = append(rumours, Rumour{Fingerprint: f, Crash: crash, Cleared: true})
	}
	return rumours
}

// evict removes expired records if the List is full. If it is still full, evict removes
// the record with the fewest strikes, and among those the one that expires first.
func (l *List) evict(now time.Time) {
	if len(l.records) < MaxFingerprints {
		return
	}
	var victim Fingerprint
	var least *record
	for f, r := range l.records {
		if !now.Before(r.expires) {
			delete(l.records, f)
			continue
		}
		if least == nil || r.uncleared() < least.uncleared() || r.uncleared() == least.uncleared() && r.expires.Before(least.expires) {
			victim, least = f, r
		}
	}
	if len(l.records) >= MaxFingerprints {
		delete(l.records, victim)
	}
}

// HostFor returns the host on which a suspect runs, selected by rendezvous hashing, or an
// empty string if there are no hosts. Nodes with the same list of hosts select the same
// host.
func HostFor(f Fingerprint, hosts []string) string {
	best, bestWeight := "", uint64(0)
	for _, host := range hosts {
		d := xxhash.NewWithSeed(f.Hash)
		_, _ = d.WriteString(f.Account)
		_, _ = d.Write([]byte{0})
		_, _ = d.WriteString(host)
		if weight := d.Sum64(); best == "" || weight > bestWeight {
			best, bestWeight = host, weight
		}
	}
	return best
}

// A recentSet contains the most recently added fingerprints.
type recentSet struct {
	ring []Fingerprint
	next int
	set  map[Fingerprint]bool
}

func newRecentSet(size int) recentSet {
	return recentSet{ring: make([]Fingerprint, 0, size), set: make(map[Fingerprint]bool)}
}

func (r *recentSet) has(f Fingerprint) bool { return r.set[f] }

func (r *recentSet) remove(f Fingerprint) { delete(r.set, f) }

func (r *recentSet) add(f Fingerprint) {
	if r.set[f] {
		return
	}
	r.set[f] = true
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, f)
		return
	}
	delete(r.set, r.ring[r.next])
	r.ring[r.next] = f
	r.next = (r.next + 1) % len(r.ring)
}
