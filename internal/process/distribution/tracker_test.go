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

// step is the time step of the simulation.
const step = 10 * time.Millisecond

// A simNode is one node of the simulated fleet.
type simNode struct {
	self        distribution.Peer
	tracker     *distribution.Tracker
	incarnation int
}

// A delivery is a message or a response in transit.
type delivery struct {
	at  time.Time
	run func()
}

// A fleet runs trackers over a fake network, a fake platform and a fake clock.
type fleet struct {
	t           interface{ Fatalf(string, ...any) }
	random      *rand.Rand
	now         time.Time
	nodes       []*simNode
	inFlight    []delivery
	head        uint64
	storeDown   bool
	partitioned map[string]bool
	lossRate    float64
	headReads   int
}

func newFleet(t interface{ Fatalf(string, ...any) }, seed int64, zones, perZone int) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), partitioned: map[string]bool{}}
	for z := range zones {
		for h := range perZone {
			f.nodes = append(f.nodes, &simNode{self: distribution.Peer{
				Host: fmt.Sprintf("host-%d-%d", z, h), Zone: fmt.Sprintf("zone-%d", z), Address: "x",
			}})
		}
	}
	for i := range f.nodes {
		f.restart(i)
	}
	return f
}

// restart replaces the tracker of a node with one that holds no version.
func (f *fleet) restart(i int) {
	m := f.nodes[i]
	m.incarnation++
	m.tracker = distribution.NewTracker(m.self, rand.New(rand.NewSource(f.random.Int63())))
	m.tracker.SetPeers(f.peers(m))
}

func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(step) {
		due := f.inFlight
		f.inFlight = nil
		for _, d := range due {
			if d.at.After(f.now) {
				f.inFlight = append(f.inFlight, d)
				continue
			}
			d.run()
		}
		for _, m := range f.nodes {
			f.perform(m, m.tracker.Tick(f.now))
		}
	}
}

func (f *fleet) peers(m *simNode) []distribution.Peer {
	var peers []distribution.Peer
	for _, other := range f.nodes {
		if other != m {
			peers = append(peers, other.self)
		}
	}
	return peers
}

// schedule calls run after a random delay unless the node restarts first.
func (f *fleet) schedule(m *simNode, run func()) {
	incarnation := m.incarnation
	wait := time.Duration(1+f.random.Intn(5)) * step
	f.inFlight = append(f.inFlight, delivery{at: f.now.Add(wait), run: func() {
		if m.incarnation == incarnation {
			run()
		}
	}})
}

func (f *fleet) reachable(a, b *simNode) bool {
	return (a.self.Zone == b.self.Zone || (!f.partitioned[a.self.Zone] && !f.partitioned[b.self.Zone])) && f.random.Float64() >= f.lossRate
}

func (f *fleet) perform(m *simNode, actions []distribution.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case distribution.ReadHead:
			f.headReads++
			began, ok, head := f.now, !f.storeDown && !f.partitioned[m.self.Zone], distribution.Head{Version: f.head}
			f.schedule(m, func() { f.perform(m, m.tracker.HandleHead(began, head, ok)) })
		case distribution.FetchContent:
			ok := !f.storeDown && !f.partitioned[m.self.Zone]
			f.schedule(m, func() { f.checkInstall(m, func() []distribution.Action { return m.tracker.HandleContent(a.Head, ok) }) })
		case distribution.RequestUpdate:
			f.requestUpdate(m, a)
		case distribution.NotifyPeer:
			to := f.find(a.Peer)
			if f.reachable(m, to) {
				f.schedule(to, func() { to.tracker.ObserveVersion(f.now, a.Version, &m.self) })
			}
		}
	}
}

func (f *fleet) requestUpdate(m *simNode, a distribution.RequestUpdate) {
	to, sent := f.find(a.Peer), f.now
	answered := f.reachable(m, to)
	response := distribution.UpdateResponse{Head: to.tracker.Held()}
	if at, ok := to.tracker.ConfirmedAt(); ok {
		response.Confirmed, response.Age = true, f.now.Sub(at)
	}
	if answered {
		to.tracker.HandleRequest(f.now, m.self, a.Have)
	}
	f.schedule(m, func() {
		f.checkInstall(m, func() []distribution.Action {
			return m.tracker.HandleResponse(f.now, sent, a.Peer, response, answered, answered)
		})
	})
}

// checkInstall checks that the version of a node only increases, and never exceeds the
// published head.
func (f *fleet) checkInstall(m *simNode, change func() []distribution.Action) {
	before := m.tracker.Held().Version
	actions := change()
	for _, a := range actions {
		if i, ok := a.(distribution.Install); ok && (i.Head.Version <= before || i.Head.Version > f.head) {
			f.t.Fatalf("%s moved from version %d to %d, the head is at version %d", m.self.Host, before, i.Head.Version, f.head)
		}
	}
	if m.tracker.Held().Version < before {
		f.t.Fatalf("%s went back from version %d to %d", m.self.Host, before, m.tracker.Held().Version)
	}
	f.perform(m, actions)
}

func (f *fleet) find(p distribution.Peer) *simNode {
	i := slices.IndexFunc(f.nodes, func(m *simNode) bool { return m.self.Host == p.Host })
	return f.nodes[i]
}

// The version of each node only increases under any combination of faults, and every
// node holds the latest version within five seconds after the faults have ended.
func TestAllNodesConvergeOnLatestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.Int64().Draw(t, "seed"), 3, rapid.IntRange(1, 4).Draw(t, "hosts"))
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				f.head++ // a change is accepted even if no node can reach the platform
			case 1:
				f.storeDown = !f.storeDown
			case 2:
				zone := fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(t, "zone"))
				f.partitioned[zone] = !f.partitioned[zone]
			case 3:
				f.restart(rapid.IntRange(0, len(f.nodes)-1).Draw(t, "host"))
			case 4:
				f.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			}
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
		}
		f.storeDown, f.lossRate, f.partitioned = false, 0, map[string]bool{}
		f.run(5 * time.Second)
		for _, m := range f.nodes {
			if held := m.tracker.Held().Version; held != f.head {
				t.Fatalf("%s holds version %d, the head is at version %d", m.self.Host, held, f.head)
			}
		}
		f.headReads = 0
		f.run(10 * time.Second)
		if limit := 3 * distribution.PollersPerZone * 13; f.headReads > limit {
			t.Fatalf("%d reads of the platform in 10 s without faults, want at most %d", f.headReads, limit)
		}
	})
}

// A node that restarts while the platform is unreachable may have held a newer version
// than the first peer that responds, so it queries several peers and waits up to
// StartupTimeout for the newest version.
func TestStartingNodeSkipsLaggingPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	response := func(version uint64, age time.Duration) distribution.UpdateResponse {
		return distribution.UpdateResponse{Head: distribution.Head{Version: version}, Confirmed: true, Age: age}
	}
	peers := []distribution.Peer{{Host: "a"}, {Host: "b"}, {Host: "c"}, {Host: "d"}}
	type exchange struct {
		peer     int
		response distribution.UpdateResponse
		after    time.Duration
		held     uint64
	}
	for name, steps := range map[string][]exchange{
		"fresh":      {{0, response(4, time.Second), 0, 4}},
		"newest":     {{0, response(4, time.Hour), 0, 0}, {1, response(5, time.Hour), 0, 0}, {2, response(4, time.Hour), 0, 0}, {1, response(5, time.Hour), 0, 5}},
		"same peer":  {{0, response(4, time.Hour), 0, 0}, {0, response(4, time.Hour), 0, 0}, {0, response(4, time.Hour), 0, 0}},
		"impatience": {{0, response(4, time.Hour), 0, 0}, {0, response(4, time.Hour), distribution.StartupTimeout, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := distribution.NewTracker(distribution.Peer{Host: "self"}, rand.New(rand.NewSource(1)))
			tracker.SetPeers(peers)
			for _, a := range steps {
				tracker.HandleResponse(now.Add(a.after), now, peers[a.peer], a.response, true, true)
				is.New(t).Equal(tracker.Held().Version, a.held)
			}
		})
	}
}

// A node stops requesting a version once the platform shows that it does not exist.
func TestUnpublishedVersionIsDropped(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3, 2, 5)
	f.head = 2
	f.run(5 * time.Second)
	f.nodes[0].tracker.ObserveVersion(f.now, 1<<62, nil)
	is.Equal(f.nodes[0].tracker.Latest(), uint64(1<<62))
	f.run(12 * time.Second)
	is.Equal(f.nodes[0].tracker.Latest(), uint64(2))
}

// The confirmation time becomes old only on nodes that are cut off from the platform.
func TestConfirmationAgesOnlyWhenPartitioned(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 2, 4)
	f.head = 1
	f.run(10 * time.Second)
	f.partitioned["zone-0"] = true
	f.run(30 * time.Second)
	for _, m := range f.nodes {
		at, ok := m.tracker.ConfirmedAt()
		is.True(ok)
		age := f.now.Sub(at)
		if m.self.Zone == "zone-0" {
			is.True(age > 25*time.Second) // the zone was cut off
		} else {
			is.True(age < 15*time.Second) // the pollers' confirmations reach all nodes
		}
	}
}

// With 10% message loss a change is active on every node within three seconds of its
// acceptance.
func TestChangeReachesAllNodesWithinThreeSeconds(t *testing.T) {
	f := newFleet(t, 7, 3, 30)
	f.lossRate = 0.1
	f.run(5 * time.Second)
	slowest := time.Duration(0)
	for range 20 {
		f.head++
		accepted := f.now
		for !f.allHold(f.head) {
			f.run(step)
		}
		slowest = max(slowest, f.now.Sub(accepted))
		f.run(time.Duration(f.random.Intn(1000)) * time.Millisecond)
	}
	t.Logf("the slowest of 20 changes took %s to reach %d nodes", slowest, len(f.nodes))
	is.New(t).True(slowest <= 3*time.Second)
}

// allHold reports whether all nodes hold a version.
func (f *fleet) allHold(version uint64) bool {
	return !slices.ContainsFunc(f.nodes, func(m *simNode) bool { return m.tracker.Held().Version != version })
}
