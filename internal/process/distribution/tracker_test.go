package distribution_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
)

// step is the time by which the fake fleet moves on.
const step = 10 * time.Millisecond

// A participant is one node of the fake fleet.
type participant struct {
	self    distribution.Peer
	tracker *distribution.Tracker
	life    int
}

// A delivery is a message or an answer under way.
type delivery struct {
	at  time.Time
	run func()
}

// A fleet runs trackers over a fake network, a fake platform and a fake clock.
type fleet struct {
	t       interface{ Fatalf(string, ...any) }
	random  *rand.Rand
	now     time.Time
	members []*participant
	transit []delivery
	head    uint64
	down    bool
	cut     map[string]bool
	loss    float64
	reads   int
}

func newFleet(t interface{ Fatalf(string, ...any) }, seed int64, zones, perZone int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), cut: map[string]bool{}}
	for z := range zones {
		for h := range perZone {
			f.members = append(f.members, &participant{self: distribution.Peer{
				Host: fmt.Sprintf("host-%d-%d", z, h), Zone: fmt.Sprintf("zone-%d", z), Address: "x",
			}})
		}
	}
	for i := range f.members {
		f.restart(i)
	}
	return f
}

// restart replaces a node by one that remembers nothing.
func (f *fleet) restart(i int) {
	m := f.members[i]
	m.life++
	m.tracker = distribution.NewTracker(m.self, rand.New(rand.NewSource(f.random.Int63())))
	m.tracker.SetPeers(f.peers(m))
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		due := f.transit
		f.transit = nil
		for _, d := range due {
			if d.at.After(f.now) {
				f.transit = append(f.transit, d)
				continue
			}
			d.run()
		}
		for _, m := range f.members {
			f.perform(m, m.tracker.Tick(f.now))
		}
	}
}

func (f *fleet) peers(m *participant) []distribution.Peer {
	var peers []distribution.Peer
	for _, other := range f.members {
		if other != m {
			peers = append(peers, other.self)
		}
	}
	return peers
}

// later runs a step of a node that has not been restarted until then.
func (f *fleet) later(m *participant, run func()) {
	life := m.life
	wait := time.Duration(1+f.random.Intn(5)) * step
	f.transit = append(f.transit, delivery{at: f.now.Add(wait), run: func() {
		if m.life == life {
			run()
		}
	}})
}

func (f *fleet) reachable(a, b *participant) bool {
	return (a.self.Zone == b.self.Zone || (!f.cut[a.self.Zone] && !f.cut[b.self.Zone])) && f.random.Float64() >= f.loss
}

func (f *fleet) perform(m *participant, actions []distribution.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case distribution.ReadHead:
			f.reads++
			began, ok, head := f.now, !f.down && !f.cut[m.self.Zone], distribution.Head{Version: f.head}
			f.later(m, func() { f.perform(m, m.tracker.HeadRead(began, head, ok)) })
		case distribution.FetchContent:
			ok := !f.down && !f.cut[m.self.Zone]
			f.later(m, func() { f.installs(m, func() []distribution.Action { return m.tracker.ContentFetched(a.Head, ok) }) })
		case distribution.AskPeer:
			f.ask(m, a)
		case distribution.NotifyPeer:
			to := f.find(a.Peer)
			if f.reachable(m, to) {
				f.later(to, func() { to.tracker.Heard(f.now, a.Version, &m.self) })
			}
		}
	}
}

func (f *fleet) ask(m *participant, a distribution.AskPeer) {
	to, sent := f.find(a.Peer), f.now
	answered := f.reachable(m, to)
	offer := distribution.Offer{Head: to.tracker.Held()}
	if at, ok := to.tracker.Confirmed(); ok {
		offer.Confirmed, offer.Age = true, f.now.Sub(at)
	}
	if answered {
		to.tracker.Asked(f.now, m.self, a.Have)
	}
	f.later(m, func() {
		f.installs(m, func() []distribution.Action {
			return m.tracker.PeerAnswered(f.now, sent, a.Peer, offer, answered, answered)
		})
	})
}

// installs checks that a node that moves moves up, and to what was published.
func (f *fleet) installs(m *participant, change func() []distribution.Action) {
	before := m.tracker.Held().Version
	actions := change()
	for _, a := range actions {
		if i, ok := a.(distribution.Install); ok && (i.Head.Version <= before || i.Head.Version > f.head) {
			f.t.Fatalf("%s moved from version %d to %d, the head is at %d", m.self.Host, before, i.Head.Version, f.head)
		}
	}
	if m.tracker.Held().Version < before {
		f.t.Fatalf("%s fell from version %d to %d", m.self.Host, before, m.tracker.Held().Version)
	}
	f.perform(m, actions)
}

func (f *fleet) find(p distribution.Peer) *participant {
	i := slices.IndexFunc(f.members, func(m *participant) bool { return m.self.Host == p.Host })
	return f.members[i]
}

// Versions only go up on each node in every mix of faults, and once the faults
// have ended every node holds the newest within five seconds.
func TestEveryNodeComesToHoldNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.Int64().Draw(t, "seed"), 3, rapid.IntRange(1, 4).Draw(t, "hosts"))
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				f.head++ // a change is accepted, whatever the nodes can reach
			case 1:
				f.down = !f.down
			case 2:
				zone := fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(t, "zone"))
				f.cut[zone] = !f.cut[zone]
			case 3:
				f.restart(rapid.IntRange(0, len(f.members)-1).Draw(t, "host"))
			case 4:
				f.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			}
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		}
		f.down, f.loss, f.cut = false, 0, map[string]bool{}
		f.run(5 * time.Second)
		for _, m := range f.members {
			if held := m.tracker.Held().Version; held != f.head {
				t.Fatalf("%s holds version %d, the head is at %d", m.self.Host, held, f.head)
			}
		}
		f.reads = 0
		f.run(10 * time.Second)
		if most := 3 * distribution.Pollers * 13; f.reads > most {
			t.Fatalf("%d reads of the platform in 10 s of calm, want %d at most", f.reads, most)
		}
	})
}

// A node that starts with the platform out of reach may have held more than the
// first peer does, so it hears several, and waits a while for the newest.
func TestStartingNodePassesOverPeerThatLags(t *testing.T) {
	now := time.Unix(1000, 0)
	offer := func(version uint64, age time.Duration) distribution.Offer {
		return distribution.Offer{Head: distribution.Head{Version: version}, Confirmed: true, Age: age}
	}
	peers := []distribution.Peer{{Host: "a"}, {Host: "b"}, {Host: "c"}, {Host: "d"}}
	type answer struct {
		peer  int
		offer distribution.Offer
		after time.Duration
		held  uint64
	}
	for name, answers := range map[string][]answer{
		"fresh":      {{0, offer(4, time.Second), 0, 4}},
		"newest":     {{0, offer(4, time.Hour), 0, 0}, {1, offer(5, time.Hour), 0, 0}, {2, offer(4, time.Hour), 0, 0}, {1, offer(5, time.Hour), 0, 5}},
		"same peer":  {{0, offer(4, time.Hour), 0, 0}, {0, offer(4, time.Hour), 0, 0}, {0, offer(4, time.Hour), 0, 0}},
		"impatience": {{0, offer(4, time.Hour), 0, 0}, {0, offer(4, time.Hour), distribution.StartPatience, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := distribution.NewTracker(distribution.Peer{Host: "self"}, rand.New(rand.NewSource(1)))
			tracker.SetPeers(peers)
			for _, a := range answers {
				tracker.PeerAnswered(now.Add(a.after), now, peers[a.peer], a.offer, true, true)
				is.New(t).Equal(tracker.Held().Version, a.held)
			}
		})
	}
}

// A version that the platform does not know of is not looked for for ever.
func TestVersionThatDoesNotExistIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 2, 5)
	f.head = 2
	f.run(5 * time.Second)
	f.members[0].tracker.Heard(f.now, 1<<62, nil)
	is.Equal(f.members[0].tracker.Known(), uint64(1<<62))
	f.run(12 * time.Second)
	is.Equal(f.members[0].tracker.Known(), uint64(2))
}

// A node knows how long it has been without word from the platform.
func TestConfirmedGrowsOldOnlyWhenCutOff(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2, 4)
	f.head = 1
	f.run(10 * time.Second)
	f.cut["zone-0"] = true
	f.run(30 * time.Second)
	for _, m := range f.members {
		at, ok := m.tracker.Confirmed()
		is.True(ok)
		age := f.now.Sub(at)
		if m.self.Zone == "zone-0" {
			is.True(age > 25*time.Second) // the zone was cut off
		} else {
			is.True(age < 15*time.Second) // word comes through the pollers
		}
	}
}

// With messages lost now and then, a change is in force on every node within
// three seconds of its acceptance.
func TestChangeIsInForceWithinThreeSeconds(t *testing.T) {
	f := newFleet(t, 7, 3, 30)
	f.loss = 0.1
	f.run(5 * time.Second)
	slowest := time.Duration(0)
	for range 20 {
		f.head++
		accepted := f.now
		for !f.holds(f.head) {
			f.run(step)
		}
		slowest = max(slowest, f.now.Sub(accepted))
		f.run(time.Duration(f.random.Intn(1000)) * time.Millisecond)
	}
	t.Logf("the slowest of 20 changes took %s to reach %d nodes", slowest, len(f.members))
	is.New(t).True(slowest <= 3*time.Second)
}

// holds reports whether all nodes hold a version.
func (f *fleet) holds(version uint64) bool {
	return !slices.ContainsFunc(f.members, func(m *participant) bool { return m.tracker.Held().Version != version })
}
