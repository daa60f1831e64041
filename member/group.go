package member

import (
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of Publish.
var (
	// ErrPayloadTooLarge is returned for a rumour above Settings.PayloadLimit.
	ErrPayloadTooLarge = eris.New("rumour exceeds the payload limit")
	// ErrTopicReserved is returned for a topic that the group uses itself.
	ErrTopicReserved = eris.New("rumour topic is reserved")
)

// TickPeriod is how often the caller calls Tick.
const TickPeriod = 100 * time.Millisecond

// A Send asks the caller to send a message to an address. Loss is tolerated.
type Send struct {
	// Address is the receiver.
	Address string
	// Message is what to send.
	Message Message
}

// An Output is what a call of the group asks of its caller.
type Output struct {
	// Sends are messages to send in any sequence.
	Sends []Send
	// Changes are new statements about members of the own zone.
	Changes []Change
	// Rumours are new values of the topics of others, own ones included.
	Rumours []Rumour
	// Frozen is how long the process stood still before this tick, or zero.
	Frozen time.Duration
	// Revised says that the node's own statement changed.
	Revised bool
}

// A Group is what one node holds of its zone and of the other zones. It is not
// safe for concurrent use: the caller serializes all calls.
type Group struct {
	settings Settings
	zone     string
	self     Member
	seeds    []string
	// peers are addresses of the own zone's bridges that are not held present.
	peers   []string
	random  *rand.Rand
	roster  *roster
	rumours *rumourStore
	queue   queue
	probes  prober
	zones   zoneTable
	speaker speaker
	timers  timers
	// joined says that a member of the own zone has answered a digest with few
	// differences, so that this node's view may stand for its zone.
	joined     bool
	started    time.Time
	generation uint64
	// budget and preferred are how many bytes of entries may be passed on now, the
	// latter of preferred ones; refilled is when they were raised.
	budget    int
	preferred int
	refilled  time.Time
	out       Output
}

// timers are the times of the next periodic steps.
type timers struct {
	last      time.Time
	probe     time.Time
	push      time.Time
	sync      time.Time
	abroad    time.Time
	heartbeat time.Time
	// distant counts the digests sent to distant addresses.
	distant int
}

// New returns the group of a node that starts at now. self.Incarnation must be
// greater than that of the host's earlier process. Seeds are addresses of any
// nodes, of the own zone or others; the own address among them is left out.
func New(zone string, self Member, seeds []string, now time.Time, random *rand.Rand, options ...Option) *Group {
	settings := defaults()
	for _, o := range options {
		o(&settings)
	}
	g := &Group{
		settings: settings, zone: zone, self: self, random: random,
		roster: newRoster(), rumours: newRumourStore(), started: now,
		probes: prober{relays: make(map[uint64]relay)},
		zones:  newZoneTable(),
	}
	g.AddSeeds(seeds...)
	g.roster.put(self, true, random)
	g.timers.last = now
	g.refilled = now
	g.budget = settings.SpreadBurst
	g.preferred = settings.SpreadBurst
	g.timers.probe = now.Add(g.jitter(settings.ProbePeriod))
	g.timers.abroad = now.Add(g.jitter(settings.CatchUpPeriod))
	return g
}

// AddSeeds adds addresses of nodes, such as those that the table service lists.
func (g *Group) AddSeeds(addresses ...string) {
	for _, a := range addresses {
		if a != g.self.Address && !slices.Contains(g.seeds, a) {
			g.seeds = append(g.seeds, a)
		}
	}
}

// Self returns the node's present statement about itself.
func (g *Group) Self() Member { return g.self }

// Zone returns the availability zone of the node.
func (g *Group) Zone() string { return g.zone }

// Joined reports whether the node's view of its zone is complete as far as the
// node can tell.
func (g *Group) Joined() bool { return g.joined }

// jitter returns a random part of a period, so that nodes do not act in step.
func (g *Group) jitter(period time.Duration) time.Duration {
	return time.Duration(g.random.Int63n(int64(period) + 1))
}

// take returns the collected output.
func (g *Group) take() Output {
	out := g.out
	g.out = Output{}
	return out
}

// Tick performs what is due at now. The caller calls it every TickPeriod.
func (g *Group) Tick(now time.Time) Output {
	if gap := now.Sub(g.timers.last); gap > g.settings.FreezeBound {
		g.resume(now, gap)
	}
	g.timers.last = now
	g.rumours.expire(now)
	g.expireMembers(now)
	g.watchZones(now)
	g.probe(now)
	g.sync(now)
	g.speak(now)
	g.push(now)
	g.pushAbroad(now)
	return g.take()
}

// resume starts all running timeouts again after the process stood still: what
// it missed meanwhile is no evidence against others.
func (g *Group) resume(now time.Time, gap time.Duration) {
	g.out.Frozen = gap
	g.probes.current = nil
	g.timers.probe = now
	g.timers.sync = now
	for _, rec := range g.roster.suspects {
		rec.deadline = now.Add(g.settings.SuspicionTimeout)
	}
	g.zones.extend(now)
}

// expireMembers declares suspects dead and forgets old tombstones.
func (g *Group) expireMembers(now time.Time) {
	for _, rec := range slices.Clone(g.roster.suspects) {
		if !now.Before(rec.deadline) {
			g.apply(rec.member.WithStatus(Dead), now, true)
		}
	}
	for _, rec := range slices.Clone(g.roster.tombstones) {
		if !now.Before(rec.deadline) {
			g.roster.forget(rec)
		}
	}
}

// Receive handles one message that arrived at now.
func (g *Group) Receive(m Message, now time.Time) Output {
	local := m.Zone == g.zone
	if local {
		if m.From.Host == g.self.Host {
			return g.take()
		}
		g.apply(m.From, now, true)
	} else {
		g.zones.meet(m.Zone, m.From, now)
	}
	g.absorb(m, now)
	switch m.Kind {
	case Ping:
		g.onPing(m)
	case Ack:
		g.onAck(m)
	case PingRequest:
		g.onPingRequest(m, now)
	case Digest:
		g.onDigest(m)
	case Listing:
		g.onListing(m, now)
	case Want:
		g.onWant(m, now)
	case Gossip, Entries:
	}
	if local {
		g.inform(m)
	}
	return g.take()
}

// absorb takes in the statements and rumours of a message. Entries that the
// sender holds in an older form are answered with the newer one when the message
// belongs to a comparison.
func (g *Group) absorb(m Message, now time.Time) {
	spread := m.Kind != Entries || m.Spread
	var newer []Member
	if m.Zone == g.zone {
		for _, s := range m.Members {
			if g.apply(s, now, spread) {
				continue
			}
			newer = g.compareHeld(newer, s, m.Kind)
		}
	}
	for _, r := range m.Rumours {
		g.hear(r, m.Zone, now, spread)
	}
	if len(newer) > 0 {
		g.sendEntries(m.From.Address, newer, nil)
	}
}

// compareHeld handles a statement that is not new: an equal one counts as passed
// on, and in a comparison an older one is answered with the one held.
func (g *Group) compareHeld(newer []Member, received Member, kind Kind) []Member {
	rec, ok := g.roster.records[received.Host]
	if !ok {
		return newer
	}
	if !rec.member.Supersedes(received) {
		g.queue.heard(queued{host: received.Host})
		return newer
	}
	if kind == Entries {
		return append(newer, rec.member)
	}
	return newer
}

// apply takes in one statement about a member of the own zone and reports whether
// it was new. Those that are new are passed on if spread is set.
func (g *Group) apply(m Member, now time.Time, spread bool) bool {
	if m.Host == "" || m.Host == g.self.Host {
		return g.applySelf(m, now)
	}
	rec, ok := g.roster.records[m.Host]
	if ok && !m.Supersedes(rec.member) {
		return false
	}
	if !ok && (!m.Present() || len(g.roster.records) >= g.settings.MemberLimit) {
		return false
	}
	var before Member
	if ok {
		before = rec.member
	}
	rec = g.roster.put(m, false, g.random)
	switch m.Status {
	case Suspect:
		rec.deadline = now.Add(g.settings.SuspicionTimeout)
	case Dead, Left:
		rec.deadline = now.Add(g.settings.TombstoneLifetime)
	case Alive:
	}
	g.out.Changes = append(g.out.Changes, Change{Before: before, After: m})
	g.speaker.memberChanged(before, m, now.Add(g.settings.SettleTime))
	if spread {
		g.queue.add(queued{host: m.Host, leaving: m.leaving()})
	}
	return true
}

// applySelf answers a statement about this node itself. A false one is refuted by
// a greater revision; a greater incarnation, left behind by a process whose clock
// was ahead, is surpassed.
func (g *Group) applySelf(m Member, now time.Time) bool {
	if m.Host == "" || g.self.Status == Left {
		return false
	}
	if !m.Supersedes(g.self) {
		return false
	}
	next := g.self.WithRevision(m.Revision + 1)
	if m.Incarnation > g.self.Incarnation {
		next.Incarnation = m.Incarnation + 1
		next.Revision = 0
	}
	g.revise(next, now)
	return true
}

// Surpass raises the node's incarnation above one that the host had before.
func (g *Group) Surpass(incarnation uint64, now time.Time) Output {
	if incarnation >= g.self.Incarnation {
		next := g.self.WithRevision(0)
		next.Incarnation = incarnation + 1
		g.revise(next, now)
	}
	return g.take()
}

// revise replaces the node's own statement and spreads it.
func (g *Group) revise(next Member, now time.Time) {
	before := g.self
	g.self = next
	g.roster.put(next, true, g.random)
	g.speaker.memberChanged(before, next, now.Add(g.settings.SettleTime))
	g.queue.add(queued{host: next.Host, leaving: next.leaving()})
	g.out.Revised = true
}

// SetServices changes the services that the host offers and ends a drain; the same
// ones again change nothing.
func (g *Group) SetServices(services []string, now time.Time) Output {
	next := g.self.WithServices(services).WithDraining(false).WithRevision(g.self.Revision + 1)
	if sameServices(g.self, next) && !g.self.Draining || g.self.Status == Left {
		return g.take()
	}
	g.revise(next, now)
	return g.take()
}

// Drain announces that the host takes no new work. Its services leave every
// directory: the node tells its zone and, since it knows the others that offer
// them, publishes their summaries itself, so that other zones need not wait.
func (g *Group) Drain(now time.Time) Output {
	if g.self.Draining {
		return g.take()
	}
	g.revise(g.self.WithDraining(true).WithRevision(g.self.Revision+1), now)
	if g.joined {
		services := slices.Clone(g.self.Services)
		sort.Strings(services)
		for _, s := range services {
			g.publishSummary(s, now)
		}
	}
	g.announce(g.self)
	return g.take()
}

// Leave announces the end of the process. The caller sends the output and stops.
func (g *Group) Leave(now time.Time) Output {
	g.revise(g.self.WithStatus(Left).WithRevision(g.self.Revision+1), now)
	g.announce(g.self)
	return g.take()
}

// announce sends a statement to the bridges and some others at once.
func (g *Group) announce(m Member) {
	const witnesses = 6
	receivers := g.roster.sample(witnesses, g.random, "")
	for _, b := range g.roster.bridges(g.settings.Bridges) {
		if b.member.Host != g.self.Host && !slices.Contains(receivers, b) {
			receivers = append(receivers, b)
		}
	}
	for _, rec := range receivers {
		message := g.message(Gossip)
		message.Members = []Member{m}
		g.send(rec.member.Address, message)
	}
}

// message returns a message of the given kind from this node.
func (g *Group) message(kind Kind) Message {
	return Message{Format: formatVersion, Kind: kind, Zone: g.zone, From: g.self}
}

// send adds a message to the output.
func (g *Group) send(address string, m Message) {
	g.out.Sends = append(g.out.Sends, Send{Address: address, Message: m})
}
