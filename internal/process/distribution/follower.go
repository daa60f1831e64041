package distribution

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/member"
)

// Defaults and limits of a Follower.
const (
	// DefaultMaxOffline is how long keys are accepted without confirmation that the
	// held version is the platform's latest.
	DefaultMaxOffline = 24 * time.Hour
	// callTimeout limits an update request or a notice.
	callTimeout = time.Second
	// storeTimeout limits a read of the platform including retries.
	storeTimeout = 4 * time.Second
	// tickInterval is how often Tracker.Tick is called.
	tickInterval = 50 * time.Millisecond
	// ticksPerRefresh is the number of ticks between two refreshes of the live peers.
	ticksPerRefresh = 10
	// rumourTopic and rumourKey identify the rumour that carries the version.
	rumourTopic = "configuration"
	rumourKey   = "version"
)

// Source reads the head and contents from the platform.
type Source interface {
	Head(ctx context.Context) (Head, error)
	Content(ctx context.Context, h Head) ([]byte, error)
}

// Transport sends a message to another node and returns its reply.
type Transport interface {
	Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error)
}

// PeerLister lists the other live nodes: all in this zone and some in other zones.
type PeerLister interface {
	Peers() []Peer
}

// Gossip spreads small rumours between all nodes.
type Gossip interface {
	PublishRumour(r member.Rumour, lifetime time.Duration) error
	Subscribe(topic string, receive func(key string, payload []byte))
}

// Pool runs tasks on the worker goroutines of the process.
type Pool interface {
	Go(task func()) error
}

// A heldVersion is one version with its content. It is immutable.
type heldVersion struct {
	head     Head
	content  []byte
	snapshot configuration.Snapshot
}

// A Follower holds the latest configuration that this node could obtain. It is safe
// for concurrent use. Its lock is held only briefly and never while another lock of
// this package is acquired; Snapshot acquires no lock.
type Follower struct {
	source     Source
	transport  Transport
	peers      PeerLister
	gossip     Gossip
	pool       Pool
	clock      clock.Clock
	log        event.Log
	maxOffline time.Duration
	deltas     *deltaCache

	// held is the active version; readers load it without a lock.
	held atomic.Pointer[heldVersion]

	// confirmedAt is a copy of the tracker's value for lock-free reads; nil if there
	// is none.
	confirmedAt atomic.Pointer[time.Time]

	// mu guards the fields below and serializes the activation of versions.
	mu       sync.Mutex
	tracker  *Tracker
	watchers []func(configuration.Snapshot)
}

// An Option configures a Follower.
type Option func(*Follower)

// WithMaxOffline sets how long keys are accepted without confirmation that the held
// version is the platform's latest; 0 means no limit.
func WithMaxOffline(d time.Duration) Option { return func(f *Follower) { f.maxOffline = d } }

// Deps are the dependencies of a Follower.
type Deps struct {
	Source    Source
	Transport Transport
	Peers     PeerLister
	Gossip    Gossip
	Pool      Pool
	Clock     clock.Clock
	Log       event.Log
	// Random is used for peer selection and jitter.
	Random *rand.Rand
}

// NewFollower returns a follower that holds no configuration yet.
func NewFollower(self Peer, d Deps, options ...Option) *Follower {
	f := &Follower{
		source:     d.Source,
		transport:  d.Transport,
		peers:      d.Peers,
		gossip:     d.Gossip,
		pool:       d.Pool,
		clock:      d.Clock,
		log:        d.Log,
		maxOffline: DefaultMaxOffline,
		deltas:     newDeltaCache(),
		tracker:    NewTracker(self, d.Random),
	}
	for _, apply := range options {
		apply(f)
	}
	f.held.Store(&heldVersion{})
	f.gossip.Subscribe(rumourTopic, f.handleRumour)
	return f
}

// Snapshot returns the active configuration on this node. Its version is 0 until one
// has been received, and never decreases.
func (f *Follower) Snapshot() configuration.Snapshot { return f.held.Load().snapshot }

// Watch adds a callback for each version that becomes active, in order of versions.
// The callback must be quick and must not wait for the Follower. Watch must be called
// before Run.
func (f *Follower) Watch(watch func(configuration.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers = append(f.watchers, watch)
}

// Current returns the active configuration on this node and whether there is one.
func (f *Follower) Current() (configuration.Snapshot, bool) {
	s := f.Snapshot()
	return s, s.Version() > 0
}

// Content returns the head and the content of the active version. The content must not
// be modified.
func (f *Follower) Content() (Head, []byte) {
	held := f.held.Load()
	return held.head, held.content
}

// KeysUsable reports whether keys may be accepted. A node that has been cut off for
// longer than its limit can't know which keys have been withdrawn since.
func (f *Follower) KeysUsable() bool {
	if f.maxOffline == 0 {
		return true
	}
	at := f.confirmedAt.Load()
	return at != nil && f.clock.Now().Sub(*at) <= f.maxOffline
}

// A Status is the configuration status of a node.
type Status struct {
	// Version is the active version on the node, 0 for none.
	Version uint64 `json:"version"`
	// Latest is the highest version known to the node.
	Latest uint64 `json:"known"`
	// Confirmed reports whether Age is set.
	Confirmed bool `json:"confirmed"`
	// Age is the time since the held version was last confirmed as the latest.
	Age time.Duration `json:"age"`
}

// Status returns the configuration status of this node.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Version: f.tracker.Held().Version, Latest: f.tracker.Latest()}
	if at, ok := f.tracker.ConfirmedAt(); ok {
		s.Confirmed = true
		s.Age = max(0, f.clock.Now().Sub(at))
	}
	return s
}

// storeConfirmed copies the tracker's confirmation time for lock-free reads. The
// caller holds mu.
func (f *Follower) storeConfirmed() {
	if at, ok := f.tracker.ConfirmedAt(); ok {
		f.confirmedAt.Store(&at)
	}
}

// ObserveVersion records that a version exists. Requests and responses of other nodes
// carry their versions.
func (f *Follower) ObserveVersion(version uint64) {
	if version <= f.held.Load().head.Version {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.ObserveVersion(f.clock.Now(), version, nil)
}

// Run follows the configuration until the context is cancelled.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		if tick%ticksPerRefresh == 0 {
			f.refreshPeers()
		}
		f.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshPeers passes the live peers to the tracker.
func (f *Follower) refreshPeers() {
	peers := f.peers.Peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.SetPeers(peers)
}

// step performs the actions that are due.
func (f *Follower) step(ctx context.Context) {
	f.mu.Lock()
	actions := f.tracker.Tick(f.clock.Now())
	f.mu.Unlock()
	f.perform(ctx, actions)
}

// perform starts the actions that need I/O.
func (f *Follower) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ReadHead:
			f.runTask(ctx, storeTimeout, f.readHead)
		case FetchContent:
			f.runTask(ctx, storeTimeout, func(ctx context.Context) { f.fetchContent(ctx, a.Head) })
		case RequestUpdate:
			f.runTask(ctx, callTimeout, func(ctx context.Context) { f.requestUpdate(ctx, a) })
		case NotifyPeer:
			f.runTask(ctx, callTimeout, func(ctx context.Context) { f.notify(ctx, a) })
		case ReportStaleHead:
			f.log.Emit(event.ConfigurationBehind, log.Fields{"version": a.Head.Version})
		}
	}
}

// runTask runs a task on the pool. If the pool rejects the task the process is
// shutting down, so the error is only logged.
func (f *Follower) runTask(ctx context.Context, timeout time.Duration, task func(context.Context)) {
	err := f.pool.Go(func() {
		taskCtx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		task(taskCtx)
	})
	if err != nil {
		f.log.Emit(event.ConfigurationTaskRefused, log.Fields{"error": err.Error()})
	}
}

func (f *Follower) readHead(ctx context.Context) {
	began := f.clock.Now()
	head, err := f.source.Head(ctx)
	if err != nil {
		f.log.Emit(event.ConfigurationHeadUnread, log.Fields{"error": err.Error()})
	}
	f.mu.Lock()
	actions := f.tracker.HandleHead(began, head, err == nil)
	f.storeConfirmed()
	f.mu.Unlock()
	f.perform(context.WithoutCancel(ctx), actions)
}

func (f *Follower) fetchContent(ctx context.Context, head Head) {
	content, err := f.source.Content(ctx, head)
	if err != nil {
		f.log.Emit(event.ConfigurationUnfetched, log.Fields{"version": head.Version, "error": err.Error()})
	}
	next := f.parse(head, content, err == nil)
	f.mu.Lock()
	actions := f.tracker.HandleContent(head, next != nil)
	f.install(next, actions)
	f.storeConfirmed()
	f.mu.Unlock()
	f.perform(context.WithoutCancel(ctx), actions)
}

// requestUpdate sends an UpdateRequest and handles the response.
func (f *Follower) requestUpdate(ctx context.Context, a RequestUpdate) {
	base := f.held.Load()
	sent := f.clock.Now()
	response, err := f.sendUpdateRequest(ctx, a.Peer.Address, UpdateRequest{Have: base.head.Version})
	var next *heldVersion
	if err == nil && response.Head.Version > base.head.Version {
		next = f.unpack(response, base)
	}
	f.mu.Lock()
	actions := f.tracker.HandleResponse(f.clock.Now(), sent, a.Peer, response, next != nil, err == nil)
	f.install(next, actions)
	f.storeConfirmed()
	f.mu.Unlock()
	f.perform(context.WithoutCancel(ctx), actions)
}

func (f *Follower) sendUpdateRequest(ctx context.Context, address string, request UpdateRequest) (UpdateResponse, error) {
	body, err := cbor.Marshal(request)
	if err != nil {
		return UpdateResponse{}, fmt.Errorf("encode update request: %w", err)
	}
	reply, err := f.transport.Call(ctx, address, KindUpdateRequest, body)
	if err != nil {
		return UpdateResponse{}, fmt.Errorf("request configuration from peer: %w", err)
	}
	var response UpdateResponse
	if err := decode(reply, &response); err != nil {
		return UpdateResponse{}, fmt.Errorf("decode update response: %w", err)
	}
	return response, nil
}

// unpack returns the version in a response, or nil if the content is corrupt or
// invalid.
func (f *Follower) unpack(r UpdateResponse, base *heldVersion) *heldVersion {
	var baseContent []byte
	if r.Base == base.head.Version {
		baseContent = base.content
	}
	content, err := r.Unpack(baseContent)
	if err != nil {
		f.log.Emit(event.ConfigurationUnfetched, log.Fields{"version": r.Head.Version, "error": err.Error()})
	}
	return f.parse(r.Head, content, err == nil)
}

// parse parses a complete content. An invalid version is recorded, so that it isn't
// fetched repeatedly.
func (f *Follower) parse(head Head, content []byte, ok bool) *heldVersion {
	if !ok {
		return nil
	}
	snapshot, err := configuration.Parse("configuration", content)
	if err != nil {
		f.log.Emit(event.ConfigurationRejected, log.Fields{"version": head.Version, "error": err.Error()})
		f.mu.Lock()
		f.tracker.MarkRejected(head)
		f.mu.Unlock()
		return nil
	}
	return &heldVersion{head: head, content: content, snapshot: snapshot.WithVersion(head.Version)}
}

// install activates a version if the actions include Install. The caller holds mu, so
// versions are activated in order.
func (f *Follower) install(next *heldVersion, actions []Action) {
	if !slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(Install); return ok }) {
		return
	}
	f.held.Store(next)
	f.deltas.add(next.head, next.content)
	for _, watch := range f.watchers {
		watch(next.snapshot)
	}
	f.log.Emit(event.ConfigurationInForce, log.Fields{"version": next.head.Version, "author": next.head.Author})
	f.publishRumour(next.head.Version)
}

// publishRumour publishes a version through gossip. The rumour's own version is that
// of the configuration, so that the rumours of all nodes are identical.
func (f *Follower) publishRumour(version uint64) {
	payload, err := cbor.Marshal(Notice{Version: version})
	if err == nil {
		err = f.gossip.PublishRumour(member.Rumour{Topic: rumourTopic, Key: rumourKey, Version: version, Payload: payload}, 0)
	}
	if err != nil {
		f.log.Emit(event.ConfigurationNoticeLost, log.Fields{"error": err.Error()})
	}
}

// notify sends a Notice to a peer. If it is lost, the peer's next update request
// returns the version.
func (f *Follower) notify(ctx context.Context, a NotifyPeer) {
	body, err := cbor.Marshal(Notice{Version: a.Version})
	if err != nil {
		return
	}
	if _, err := f.transport.Call(ctx, a.Peer.Address, KindNotice, body); err != nil {
		f.log.Emit(event.ConfigurationNoticeLost, log.Fields{"host": a.Peer.Host, "error": err.Error()})
	}
}

// HandleUpdateRequest responds to a peer with the held version if that is newer than
// the peer's.
func (f *Follower) HandleUpdateRequest(_ context.Context, from Peer, body []byte) ([]byte, error) {
	var request UpdateRequest
	if err := decode(body, &request); err != nil {
		return nil, err
	}
	held := f.held.Load()
	response := UpdateResponse{Head: held.head}
	now := f.clock.Now()
	f.mu.Lock()
	f.tracker.HandleRequest(now, from, request.Have)
	if at, ok := f.tracker.ConfirmedAt(); ok && f.tracker.Held().Version == held.head.Version {
		response.Confirmed = true
		response.Age = max(0, now.Sub(at))
	}
	f.mu.Unlock()
	if held.head.Version > request.Have {
		var err error
		response.Base, response.Packed, err = f.deltas.pack(held.head, held.content, request.Have)
		if err != nil {
			return nil, fmt.Errorf("pack version %d: %w", held.head.Version, err)
		}
	}
	reply, err := cbor.Marshal(response)
	if err != nil {
		return nil, fmt.Errorf("encode offer: %w", err)
	}
	return reply, nil
}

// HandleNotice handles a Notice from a peer.
func (f *Follower) HandleNotice(ctx context.Context, from Peer, body []byte) ([]byte, error) {
	var notice Notice
	if err := decode(body, &notice); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.tracker.ObserveVersion(f.clock.Now(), notice.Version, callablePeer(from))
	f.mu.Unlock()
	f.step(context.WithoutCancel(ctx))
	return nil, nil
}

// handleRumour handles a version received through gossip.
func (f *Follower) handleRumour(_ string, payload []byte) {
	var notice Notice
	if err := decode(payload, &notice); err == nil {
		f.ObserveVersion(notice.Version)
	}
}

// callablePeer returns the peer, or nil if its address is unknown.
func callablePeer(p Peer) *Peer {
	if p.Address == "" {
		return nil
	}
	return &p
}
