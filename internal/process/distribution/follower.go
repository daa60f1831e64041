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

// The defaults and limits of a Follower.
const (
	// DefaultKeyBound is how long keys are accepted without word that the
	// version held is still that of the platform.
	DefaultKeyBound = 24 * time.Hour
	// callTimeout bounds an ask or a notice.
	callTimeout = time.Second
	// storeTimeout bounds a read of the platform with its repetitions.
	storeTimeout = 4 * time.Second
	// tickInterval is how often the tracker is asked what is due.
	tickInterval = 50 * time.Millisecond
	// ticksPerRefresh is how many ticks pass between two looks at who lives.
	ticksPerRefresh = 10
	// topic and topicKey name the rumour of the version.
	topic    = "configuration"
	topicKey = "version"
)

// Source reads the head and contents from the platform.
type Source interface {
	Head(ctx context.Context) (Head, error)
	Content(ctx context.Context, h Head) ([]byte, error)
}

// Caller sends a message to another node and returns its answer.
type Caller interface {
	Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error)
}

// Directory tells which other nodes live: all of this zone, some of others.
type Directory interface {
	Peers() []Peer
}

// Gossip spreads small rumours between all nodes.
type Gossip interface {
	PublishRumour(r member.Rumour, lifetime time.Duration) error
	Subscribe(topic string, receive func(key string, payload []byte))
}

// Pool runs tasks on the workers of the process.
type Pool interface {
	Go(task func()) error
}

// A holding is one version with its content. It is immutable.
type holding struct {
	head     Head
	content  []byte
	snapshot configuration.Snapshot
}

// A Follower holds the newest configuration that this node could learn of. It is
// safe for concurrent use. Its lock is held for short steps only and never while
// another lock of this package is taken; callers of Snapshot take none.
type Follower struct {
	source    Source
	caller    Caller
	directory Directory
	gossip    Gossip
	pool      Pool
	clock     clock.Clock
	log       event.Log
	keyBound  time.Duration
	offers    *offers

	// held is the version in force; readers load it without a lock.
	held atomic.Pointer[holding]

	// confirmed is the tracker's, for reading without a lock; nil if there is none.
	confirmed atomic.Pointer[time.Time]

	// mu guards the fields below and the order in which versions come into force.
	mu       sync.Mutex
	tracker  *Tracker
	watchers []func(configuration.Snapshot)
}

// An Option changes how a Follower behaves.
type Option func(*Follower)

// WithKeyBound sets how long keys are accepted without word that the version
// held is still that of the platform; 0 stands for no bound.
func WithKeyBound(bound time.Duration) Option { return func(f *Follower) { f.keyBound = bound } }

// Parts are what a Follower works with.
type Parts struct {
	Source    Source
	Caller    Caller
	Directory Directory
	Gossip    Gossip
	Pool      Pool
	Clock     clock.Clock
	Log       event.Log
	// Random chooses peers and spreads waits.
	Random *rand.Rand
}

// NewFollower returns a follower that holds no configuration yet.
func NewFollower(self Peer, p Parts, list ...Option) *Follower {
	f := &Follower{
		source:    p.Source,
		caller:    p.Caller,
		directory: p.Directory,
		gossip:    p.Gossip,
		pool:      p.Pool,
		clock:     p.Clock,
		log:       p.Log,
		keyBound:  DefaultKeyBound,
		offers:    newOffers(),
		tracker:   NewTracker(self, p.Random),
	}
	for _, apply := range list {
		apply(f)
	}
	f.held.Store(&holding{})
	f.gossip.Subscribe(topic, f.receiveRumour)
	return f
}

// Snapshot returns the configuration in force on this node. Its version is 0
// until one has come, and never goes down.
func (f *Follower) Snapshot() configuration.Snapshot { return f.held.Load().snapshot }

// Watch adds a function that is told of each version put in force, in order. It
// must be quick and must not wait for the Follower. It is added before Run.
func (f *Follower) Watch(watch func(configuration.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchers = append(f.watchers, watch)
}

// Current returns the configuration in force on this node and whether there is one.
func (f *Follower) Current() (configuration.Snapshot, bool) {
	s := f.Snapshot()
	return s, s.Version() > 0
}

// Content returns the head and the content of the version in force. The content
// must not be changed.
func (f *Follower) Content() (Head, []byte) {
	held := f.held.Load()
	return held.head, held.content
}

// KeysUsable reports whether keys may be accepted: a node that has been cut off
// for longer than its bound can't know which keys were withdrawn since.
func (f *Follower) KeysUsable() bool {
	if f.keyBound == 0 {
		return true
	}
	at := f.confirmed.Load()
	return at != nil && f.clock.Now().Sub(*at) <= f.keyBound
}

// A Status tells what a node knows of the configuration.
type Status struct {
	// Version is the version in force on the node, 0 for none.
	Version uint64 `json:"version"`
	// Known is the highest version that the node has heard of.
	Known uint64 `json:"known"`
	// Confirmed says that Age has a meaning.
	Confirmed bool `json:"confirmed"`
	// Age is how long ago it was known that no newer version was published.
	Age time.Duration `json:"age"`
}

// Status returns what this node knows of the configuration.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{Version: f.tracker.Held().Version, Known: f.tracker.Known()}
	if at, ok := f.tracker.Confirmed(); ok {
		s.Confirmed = true
		s.Age = max(0, f.clock.Now().Sub(at))
	}
	return s
}

// noteConfirmed makes the tracker's time readable without a lock. The caller
// holds mu.
func (f *Follower) noteConfirmed() {
	if at, ok := f.tracker.Confirmed(); ok {
		f.confirmed.Store(&at)
	}
}

// Heard tells the follower that a version exists, as requests and answers of
// other nodes carry it.
func (f *Follower) Heard(version uint64) {
	if version <= f.held.Load().head.Version {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.Heard(f.clock.Now(), version, nil)
}

// Run follows the configuration until the context ends.
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

// refreshPeers takes over which nodes live.
func (f *Follower) refreshPeers() {
	peers := f.directory.Peers()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.SetPeers(peers)
}

// step does what is due now.
func (f *Follower) step(ctx context.Context) {
	f.mu.Lock()
	actions := f.tracker.Tick(f.clock.Now())
	f.mu.Unlock()
	f.perform(ctx, actions)
}

// perform starts the actions that need input or output.
func (f *Follower) perform(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case ReadHead:
			f.start(ctx, storeTimeout, f.readHead)
		case FetchContent:
			f.start(ctx, storeTimeout, func(ctx context.Context) { f.fetch(ctx, a.Head) })
		case AskPeer:
			f.start(ctx, callTimeout, func(ctx context.Context) { f.ask(ctx, a) })
		case NotifyPeer:
			f.start(ctx, callTimeout, func(ctx context.Context) { f.notify(ctx, a) })
		case ReportBehind:
			f.log.Emit(event.ConfigurationBehind, log.Fields{"version": a.Head.Version})
		}
	}
}

// start runs a task on the pool. Where the pool takes no more tasks the process
// is ending, so nothing is left to do.
func (f *Follower) start(ctx context.Context, timeout time.Duration, task func(context.Context)) {
	err := f.pool.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		task(bounded)
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
	actions := f.tracker.HeadRead(began, head, err == nil)
	f.noteConfirmed()
	f.mu.Unlock()
	f.perform(context.WithoutCancel(ctx), actions)
}

func (f *Follower) fetch(ctx context.Context, head Head) {
	content, err := f.source.Content(ctx, head)
	if err != nil {
		f.log.Emit(event.ConfigurationUnfetched, log.Fields{"version": head.Version, "error": err.Error()})
	}
	next := f.read(head, content, err == nil)
	f.mu.Lock()
	actions := f.tracker.ContentFetched(head, next != nil)
	f.install(next, actions)
	f.noteConfirmed()
	f.mu.Unlock()
	f.perform(context.WithoutCancel(ctx), actions)
}

// ask sends an Ask and takes in the offer that answers it.
func (f *Follower) ask(ctx context.Context, a AskPeer) {
	base := f.held.Load()
	sent := f.clock.Now()
	offer, err := f.callAsk(ctx, a.Peer.Address, Ask{Have: base.head.Version})
	var next *holding
	if err == nil && offer.Head.Version > base.head.Version {
		next = f.open(offer, base)
	}
	f.mu.Lock()
	actions := f.tracker.PeerAnswered(f.clock.Now(), sent, a.Peer, offer, next != nil, err == nil)
	f.install(next, actions)
	f.noteConfirmed()
	f.mu.Unlock()
	f.perform(context.WithoutCancel(ctx), actions)
}

func (f *Follower) callAsk(ctx context.Context, address string, ask Ask) (Offer, error) {
	body, err := cbor.Marshal(ask)
	if err != nil {
		return Offer{}, fmt.Errorf("encode ask: %w", err)
	}
	answer, err := f.caller.Call(ctx, address, KindAsk, body)
	if err != nil {
		return Offer{}, fmt.Errorf("ask peer for its configuration: %w", err)
	}
	var offer Offer
	if err := decode(answer, &offer); err != nil {
		return Offer{}, fmt.Errorf("read offer: %w", err)
	}
	return offer, nil
}

// open returns the version in an offer, or nil if it can't be had or used.
func (f *Follower) open(o Offer, base *holding) *holding {
	var baseContent []byte
	if o.Base == base.head.Version {
		baseContent = base.content
	}
	content, err := o.Open(baseContent)
	if err != nil {
		f.log.Emit(event.ConfigurationUnfetched, log.Fields{"version": o.Head.Version, "error": err.Error()})
	}
	return f.read(o.Head, content, err == nil)
}

// read parses a content that came whole. One that is not valid here is noted, so
// that it isn't fetched again and again.
func (f *Follower) read(head Head, content []byte, whole bool) *holding {
	if !whole {
		return nil
	}
	snapshot, err := configuration.Parse("configuration", content)
	if err != nil {
		f.log.Emit(event.ConfigurationRejected, log.Fields{"version": head.Version, "error": err.Error()})
		f.mu.Lock()
		f.tracker.Rejected(head)
		f.mu.Unlock()
		return nil
	}
	return &holding{head: head, content: content, snapshot: snapshot.WithVersion(head.Version)}
}

// install puts a version in force if the tracker says so. The caller holds mu,
// so versions come into force in their order.
func (f *Follower) install(next *holding, actions []Action) {
	if !slices.ContainsFunc(actions, func(a Action) bool { _, ok := a.(Install); return ok }) {
		return
	}
	f.held.Store(next)
	f.offers.keep(next.head, next.content)
	for _, watch := range f.watchers {
		watch(next.snapshot)
	}
	f.log.Emit(event.ConfigurationInForce, log.Fields{"version": next.head.Version, "author": next.head.Author})
	f.spread(next.head.Version)
}

// spread hands a version to gossip. The rumour's own version is that of the
// configuration, so that the rumours of all nodes are one and the same.
func (f *Follower) spread(version uint64) {
	payload, err := cbor.Marshal(Notice{Version: version})
	if err == nil {
		err = f.gossip.PublishRumour(member.Rumour{Topic: topic, Key: topicKey, Version: version, Payload: payload}, 0)
	}
	if err != nil {
		f.log.Emit(event.ConfigurationNoticeLost, log.Fields{"error": err.Error()})
	}
}

// notify tells a peer of a version. A notice that is lost is made good by the
// peer's next ask.
func (f *Follower) notify(ctx context.Context, a NotifyPeer) {
	body, err := cbor.Marshal(Notice{Version: a.Version})
	if err != nil {
		return
	}
	if _, err := f.caller.Call(ctx, a.Peer.Address, KindNotice, body); err != nil {
		f.log.Emit(event.ConfigurationNoticeLost, log.Fields{"host": a.Peer.Host, "error": err.Error()})
	}
}

// HandleAsk answers the Ask of a peer with what is newer than the peer's version.
func (f *Follower) HandleAsk(_ context.Context, from Peer, body []byte) ([]byte, error) {
	var ask Ask
	if err := decode(body, &ask); err != nil {
		return nil, err
	}
	held := f.held.Load()
	offer := Offer{Head: held.head}
	now := f.clock.Now()
	f.mu.Lock()
	f.tracker.Asked(now, from, ask.Have)
	if at, ok := f.tracker.Confirmed(); ok && f.tracker.Held().Version == held.head.Version {
		offer.Confirmed = true
		offer.Age = max(0, now.Sub(at))
	}
	f.mu.Unlock()
	if held.head.Version > ask.Have {
		var err error
		offer.Base, offer.Packed, err = f.offers.pack(held.head, held.content, ask.Have)
		if err != nil {
			return nil, fmt.Errorf("pack version %d: %w", held.head.Version, err)
		}
	}
	answer, err := cbor.Marshal(offer)
	if err != nil {
		return nil, fmt.Errorf("encode offer: %w", err)
	}
	return answer, nil
}

// HandleNotice takes in the Notice of a peer.
func (f *Follower) HandleNotice(ctx context.Context, from Peer, body []byte) ([]byte, error) {
	var notice Notice
	if err := decode(body, &notice); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.tracker.Heard(f.clock.Now(), notice.Version, addressed(from))
	f.mu.Unlock()
	f.step(context.WithoutCancel(ctx))
	return nil, nil
}

// receiveRumour takes in a version from gossip.
func (f *Follower) receiveRumour(_ string, payload []byte) {
	var notice Notice
	if err := decode(payload, &notice); err == nil {
		f.Heard(notice.Version)
	}
}

// addressed returns the peer if it can be called back.
func addressed(p Peer) *Peer {
	if p.Address == "" {
		return nil
	}
	return &p
}
