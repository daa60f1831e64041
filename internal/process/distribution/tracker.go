package distribution

import (
	"cmp"
	"math/rand"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Timing and peer counts of a Tracker.
const (
	// PollInterval is how often a poller reads the head.
	PollInterval = time.Second
	// RequestInterval is how often a node that knows of no newer version sends an
	// update request to a peer.
	RequestInterval = 4 * time.Second
	// CatchUpInterval is how often a node that knows of a newer version sends update
	// requests.
	CatchUpInterval = 100 * time.Millisecond
	// RequestsBeforeStore is the number of unsuccessful update requests after which a
	// node that is not a poller reads the head from the platform.
	RequestsBeforeStore = 5
	// maxStoreBackoff is the upper limit of the exponential backoff between such
	// reads.
	maxStoreBackoff = 8 * time.Second
	// PollersPerZone is the number of nodes in a zone that poll the head.
	PollersPerZone = 3
	// StartupMinPeers is the number of peers that must respond before a node without a
	// configuration installs a version that is not known to be recent.
	StartupMinPeers = 3
	// StartupMaxAge is the age up to which a starting node accepts the first response.
	StartupMaxAge = 2 * time.Second
	// StartupTimeout limits how long a starting node waits for a newer version than
	// the one it was offered.
	StartupTimeout = 2 * time.Second
	// SyncPeers is the number of peers with which a node exchanges versions. They
	// change only with the membership, which keeps the number of connections small.
	SyncPeers = 3
	// remoteSyncPeers is how many of them are in other zones, if there are any.
	remoteSyncPeers = 1
	// maxRequesters limits the number of peers that are notified of a new version
	// because they recently sent an update request. Together with the sync peers they
	// connect all nodes.
	maxRequesters = 8
)

// A Peer is another node in the membership.
type Peer struct {
	Host    string
	Zone    string
	Address string
}

// An Action is a step that the owner of a Tracker must perform.
type Action interface{ isAction() }

// ReadHead instructs the owner to read the head from the platform and call HandleHead.
type ReadHead struct{}

// FetchContent instructs the owner to fetch a content from the platform and call
// HandleContent.
type FetchContent struct{ Head Head }

// RequestUpdate instructs the owner to send an UpdateRequest to a peer and call
// HandleResponse.
type RequestUpdate struct {
	Peer Peer
	Have uint64
}

// NotifyPeer instructs the owner to send a Notice to a peer. No reply is expected.
type NotifyPeer struct {
	Peer    Peer
	Version uint64
}

// Install instructs the owner to activate the content just reported. Only the call
// that reported the content returns it, and only for a version above the one held.
type Install struct{ Head Head }

// ReportStaleHead instructs the owner to report that the platform's head is older than
// the held version.
type ReportStaleHead struct{ Head Head }

func (ReadHead) isAction()        {}
func (FetchContent) isAction()    {}
func (RequestUpdate) isAction()   {}
func (NotifyPeer) isAction()      {}
func (Install) isAction()         {}
func (ReportStaleHead) isAction() {}

// A Tracker decides what one node does to hold the latest configuration. It has no
// clock, goroutine or lock of its own: its owner holds a lock around each call,
// performs the returned actions, and reports the result of each. At most one
// ReadHead, one FetchContent and one RequestUpdate are in progress at a time.
//
// The held version never decreases. It increases only with a content that the owner
// found complete and valid.
type Tracker struct {
	self   Peer
	random *rand.Rand

	// held is the head of the active version on this node.
	held Head
	// confirmedAt is a time before which no version above held was published; zero if
	// none is known.
	confirmedAt time.Time
	// headReadAt is the start time of the head read whose content is being fetched.
	headReadAt time.Time
	// latest is the highest known version, latestSeen the time at which it was first
	// seen.
	latest     uint64
	latestSeen time.Time
	// rejected is the highest version whose content failed validation on this node.
	rejected uint64
	// failedRequests counts consecutive update requests that did not return the latest
	// version.
	failedRequests int
	// storeBackoff is the current backoff between reads of the platform.
	storeBackoff time.Duration

	reading, fetching, requesting        bool
	nextRead, nextRequest, nextStoreRead time.Time
	// While the node holds no version, firstResponse is the time of the first response
	// and responders the hosts that sent one.
	firstResponse time.Time
	responders    map[string]struct{}
	// aheadPeer is a peer that is known to hold a newer version.
	aheadPeer *Peer
	// peers are the live nodes except this one, syncPeers the ones to exchange
	// versions with, and nextPeer is the round-robin index into syncPeers.
	peers     []Peer
	syncPeers []Peer
	nextPeer  int
	poller    bool
	// requesters are the peers that most recently sent an update request, newest last.
	requesters []Peer
}

// NewTracker returns a tracker that holds no version.
func NewTracker(self Peer, random *rand.Rand) *Tracker {
	return &Tracker{self: self, random: random, responders: make(map[string]struct{})}
}

// Latest returns the highest known version, which may be above the held one.
func (t *Tracker) Latest() uint64 { return max(t.latest, t.held.Version) }

// Held returns the head of the active version.
func (t *Tracker) Held() Head { return t.held }

// ConfirmedAt returns the latest time before which no version above the held one was
// published, and whether such a time is known.
func (t *Tracker) ConfirmedAt() (time.Time, bool) { return t.confirmedAt, !t.confirmedAt.IsZero() }

// SetPeers sets the other live nodes: all in this zone and some in other zones.
func (t *Tracker) SetPeers(peers []Peer) {
	t.peers = peers
	t.poller = IsPoller(t.self, peers)
	local := func(p Peer) bool { return p.Zone == t.self.Zone }
	remote := t.rendezvousPeers(SyncPeers, func(p Peer) bool { return !local(p) })
	t.syncPeers = t.rendezvousPeers(SyncPeers-min(remoteSyncPeers, len(remote)), local)
	t.syncPeers = append(t.syncPeers, remote[:min(len(remote), SyncPeers-len(t.syncPeers))]...)
	t.requesters = slices.DeleteFunc(t.requesters, func(a Peer) bool {
		return !slices.ContainsFunc(peers, func(p Peer) bool { return p.Host == a.Host })
	})
}

// rendezvousPeers selects up to count matching peers by rendezvous hashing: those with
// the lowest hashes over the names of this host and the peer.
func (t *Tracker) rendezvousPeers(count int, match func(Peer) bool) []Peer {
	type rankedPeer struct {
		peer Peer
		hash uint64
	}
	var lowest []rankedPeer
	for _, p := range t.peers {
		if !match(p) {
			continue
		}
		r := rankedPeer{peer: p, hash: xxhash.Sum64String(t.self.Host + " " + p.Host)}
		i, _ := slices.BinarySearchFunc(lowest, r, func(a, b rankedPeer) int { return cmp.Compare(a.hash, b.hash) })
		if i < count {
			lowest = slices.Insert(lowest, i, r)[:min(len(lowest)+1, count)]
		}
	}
	found := make([]Peer, 0, len(lowest))
	for _, r := range lowest {
		found = append(found, r.peer)
	}
	return found
}

// Tick returns the actions that are due at the given time.
func (t *Tracker) Tick(now time.Time) []Action {
	var actions []Action
	if a, ok := t.dueRequest(now); ok {
		actions = append(actions, a)
	}
	if t.reading || t.fetching || now.Before(t.nextRead) {
		return actions
	}
	if !t.poller && !t.needsStoreRead(now) {
		return actions
	}
	t.reading = true
	t.nextRead = now.Add(t.jitter(PollInterval))
	return append(actions, ReadHead{})
}

// needsStoreRead reports whether the node must read the platform because peers have
// not returned the latest version. It applies a backoff, so that a fleet without a
// configuration doesn't read the platform all at once.
func (t *Tracker) needsStoreRead(now time.Time) bool {
	if t.upToDate() || (len(t.peers) > 0 && t.failedRequests < RequestsBeforeStore) || now.Before(t.nextStoreRead) {
		return false
	}
	t.storeBackoff = min(maxStoreBackoff, max(PollInterval, 2*t.storeBackoff))
	t.nextStoreRead = now.Add(t.jitter(t.storeBackoff))
	return true
}

// upToDate reports whether no newer version is known that could be activated.
func (t *Tracker) upToDate() bool {
	return t.held.Version > 0 && (t.latest <= t.held.Version || t.latest == t.rejected)
}

// dueRequest returns the update request that is due, if any.
func (t *Tracker) dueRequest(now time.Time) (RequestUpdate, bool) {
	if t.requesting || now.Before(t.nextRequest) || (len(t.peers) == 0 && t.aheadPeer == nil) {
		return RequestUpdate{}, false
	}
	interval := RequestInterval
	if !t.upToDate() {
		interval = CatchUpInterval
	}
	t.nextRequest = now.Add(t.jitter(interval))
	t.requesting = true
	if t.aheadPeer != nil {
		peer := *t.aheadPeer
		t.aheadPeer = nil
		return RequestUpdate{Peer: peer, Have: t.held.Version}, true
	}
	return RequestUpdate{Peer: t.pickPeer(), Have: t.held.Version}, true
}

// pickPeer returns the sync peers in round-robin order, or a random peer once all sync
// peers have failed to return the latest version.
func (t *Tracker) pickPeer() Peer {
	if t.failedRequests > len(t.syncPeers) && !t.upToDate() {
		return t.peers[t.random.Intn(len(t.peers))]
	}
	t.nextPeer++
	return t.syncPeers[t.nextPeer%len(t.syncPeers)]
}

// HandleHead handles the result of a head read that started at began. If ok is false
// the read failed.
func (t *Tracker) HandleHead(began time.Time, h Head, ok bool) []Action {
	t.reading = false
	if ok && t.latest > h.Version && t.latestSeen.Before(began) {
		// The platform has no such version, so it was never published.
		t.latest = max(h.Version, t.held.Version)
	}
	switch {
	case !ok:
		return nil
	case h.Version < t.held.Version:
		return []Action{ReportStaleHead{Head: h}}
	case h.Version == t.held.Version:
		t.confirm(began)
		return nil
	}
	t.latest = max(t.latest, h.Version)
	if t.fetching || h.Version == t.rejected {
		return nil
	}
	t.fetching = true
	t.headReadAt = began
	return []Action{FetchContent{Head: h}}
}

// HandleContent handles the result of a content fetch from the platform. If ok is
// false the content could not be fetched or is invalid.
func (t *Tracker) HandleContent(h Head, ok bool) []Action {
	t.fetching = false
	if !ok {
		return nil
	}
	actions := t.install(h)
	if h.Version <= t.held.Version {
		t.confirm(t.headReadAt)
	}
	return actions
}

// MarkRejected records that the complete content of a version failed validation on
// this node.
func (t *Tracker) MarkRejected(h Head) { t.rejected = max(t.rejected, h.Version) }

// HandleResponse handles a peer's response to an update request that was sent at the
// given time. Valid means that the content of the offered version is available and
// passed validation. Answered is false after any failure.
func (t *Tracker) HandleResponse(now, sent time.Time, from Peer, r UpdateResponse, valid, answered bool) []Action {
	t.requesting = false
	if !answered {
		t.failedRequests++
		return nil
	}
	var actions []Action
	if valid && r.Head.Version > t.held.Version && t.acceptable(now, from, r) {
		actions = t.install(r.Head)
	} else {
		t.failedRequests++
	}
	if r.Confirmed && r.Head.Version <= t.held.Version {
		// The responder was up to date Age before its reply, which it sent after sent.
		t.confirm(sent.Add(-r.Age))
	}
	return actions
}

// acceptable reports whether a node may install the version of a response. A node that
// holds no version may have held a newer one before its restart, so it doesn't accept
// the first response of a lagging peer.
func (t *Tracker) acceptable(now time.Time, from Peer, r UpdateResponse) bool {
	if t.held.Version > 0 || (r.Confirmed && r.Age <= StartupMaxAge) {
		return true
	}
	if t.firstResponse.IsZero() {
		t.firstResponse = now
	}
	t.responders[from.Host] = struct{}{}
	t.latest = max(t.latest, r.Head.Version)
	if now.Sub(t.firstResponse) >= StartupTimeout {
		return true
	}
	return r.Head.Version == t.latest && len(t.responders) >= min(StartupMinPeers, len(t.peers))
}

// ObserveVersion records that a version may exist, and the peer that holds it, if
// known. The next Tick requests it.
func (t *Tracker) ObserveVersion(now time.Time, version uint64, from *Peer) {
	if version <= t.held.Version || version == t.rejected {
		return
	}
	if version > t.latest {
		t.latest = version
		t.latestSeen = now
		t.failedRequests = 0
		t.nextRequest = now
	}
	if from != nil && t.aheadPeer == nil {
		t.aheadPeer = from
		t.nextRequest = now
	}
}

// HandleRequest records that a peer requested an update and which version it holds.
// The peer is notified of new versions while it is among the most recent requesters.
func (t *Tracker) HandleRequest(now time.Time, from Peer, have uint64) {
	if from.Address == "" {
		return
	}
	t.requesters = slices.DeleteFunc(t.requesters, func(a Peer) bool { return a.Host == from.Host })
	t.requesters = append(t.requesters, from)
	if len(t.requesters) > maxRequesters {
		t.requesters = t.requesters[1:]
	}
	t.ObserveVersion(now, have, &from)
}

// install moves to a newer version and notifies sync peers and requesters.
func (t *Tracker) install(h Head) []Action {
	if h.Version <= t.held.Version {
		return nil
	}
	t.held = h
	t.latest = max(t.latest, h.Version)
	t.failedRequests = 0
	t.storeBackoff = 0
	actions := []Action{Install{Head: h}}
	for _, p := range t.syncPeers {
		actions = append(actions, NotifyPeer{Peer: p, Version: h.Version})
	}
	for _, p := range t.requesters {
		if !slices.Contains(t.syncPeers, p) {
			actions = append(actions, NotifyPeer{Peer: p, Version: h.Version})
		}
	}
	return actions
}

func (t *Tracker) confirm(at time.Time) {
	if at.After(t.confirmedAt) {
		t.confirmedAt = at
	}
}

// jitter varies a delay by up to 10% either way, so that nodes don't act in lockstep.
func (t *Tracker) jitter(wait time.Duration) time.Duration {
	const fraction = 5
	spread := wait / fraction
	return wait - spread/2 + time.Duration(t.random.Int63n(int64(spread)))
}

// IsPoller reports whether a node polls the head for its zone: the pollers are the
// PollersPerZone live hosts of the zone with the lowest hashes.
func IsPoller(self Peer, peers []Peer) bool {
	own := xxhash.Sum64String(self.Host)
	lower := 0
	for _, p := range peers {
		if p.Zone != self.Zone || p.Host == self.Host {
			continue
		}
		if xxhash.Sum64String(p.Host) < own {
			lower++
		}
	}
	return lower < PollersPerZone
}
