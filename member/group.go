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
	// ErrPayloadTooLarge reports a payload larger than Settings.MaxPayloadBytes.
	ErrPayloadTooLarge = eris.New("rumour exceeds the payload limit")
	// ErrTopicReserved reports a topic that is reserved for the group.
	ErrTopicReserved = eris.New("rumour topic is reserved")
)

// TickPeriod is the period at which the caller must call Tick.
const TickPeriod = 100 * time.Millisecond

// An OutgoingMessage is a message for the caller to send. The protocol tolerates loss.
type OutgoingMessage struct {
	// Address is the address of the receiver.
	Address string
	// Message is the message to send.
	Message Message
}

// An Output holds the effects of a call of the group.
type Output struct {
	// Messages are the messages to send, in any order.
	Messages []OutgoingMessage
	// Changes are the changes of members of the own zone.
	Changes []Change
	// Rumours are the new rumours of topics that are not reserved, including those
	// that this node published.
	Rumours []Rumour
	// Frozen is how long the process was frozen before this tick, or zero.
	Frozen time.Duration
	// SelfChanged reports that the node's own state changed.
	SelfChanged bool
}

// A Group is one node's view of its zone and of the other zones. It is not safe for
// concurrent use; the caller must serialize all calls.
type Group struct {
	settings Settings
	zone     string
	self     Member
	seeds    []string
	// missingBridges are the addresses of published bridges of the own zone that are
	// not present members.
	missingBridges []string
	random         *rand.Rand
	roster         *roster
	rumours        *rumourStore
	queue          queue
	probes         prober
	zones          zoneTable
	publisher      publisher
	timers         timers
	// joined is set once a sync with a member of the own zone found few differences, or
	// no other member was found within the join timeout. Only a joined node may publish
	// for its zone.
	joined     bool
	started    time.Time
	generation uint64
	// budget and priorityBudget are the bytes of other and of priority entries that may
	// be gossiped now; lastRefill is when they were last refilled.
	budget         int
	priorityBudget int
	lastRefill     time.Time
	out            Output
}

// timers are the times of the next periodic steps.
type timers struct {
	lastTick  time.Time
	probe     time.Time
	gossip    time.Time
	sync      time.Time
	zoneSync  time.Time
	heartbeat time.Time
	// digestsSent counts the digests sent by sendDigests, to rotate the addresses.
	digestsSent int
}

// New returns the group of a node that starts at now. self.Incarnation must be greater
// than that of the host's previous process. Seeds are addresses of nodes in any zone;
// the node's own address is ignored.
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
	g.timers.lastTick = now
	g.lastRefill = now
	g.budget = settings.GossipBurst
	g.priorityBudget = settings.GossipBurst
	g.timers.probe = now.Add(g.jitter(settings.ProbePeriod))
	g.timers.zoneSync = now.Add(g.jitter(settings.CatchUpPeriod))
	return g
}

// AddSeeds adds seed addresses, such as those listed in the table service.
func (g *Group) AddSeeds(addresses ...string) {
	for _, a := range addresses {
		if a != g.self.Address && !slices.Contains(g.seeds, a) {
			g.seeds = append(g.seeds, a)
		}
	}
}

// Self returns the node's own state.
func (g *Group) Self() Member { return g.self }

// Zone returns the availability zone of the node.
func (g *Group) Zone() string { return g.zone }

// Joined reports whether the node's view of its zone is complete, to its knowledge.
func (g *Group) Joined() bool { return g.joined }

// jitter returns a random duration of up to a period, so that nodes do not act in
// lockstep.
func (g *Group) jitter(period time.Duration) time.Duration {
	return time.Duration(g.random.Int63n(int64(period) + 1))
}

// takeOutput returns the collected output and clears it.
func (g *Group) takeOutput() Output {
	out := g.out
	g.out = Output{}
	return out
}

// Tick performs the periodic work that is due at now. The caller must call it every
// TickPeriod.
func (g *Group) Tick(now time.Time) Output {
	if gap := now.Sub(g.timers.lastTick); gap > g.settings.FreezeThreshold {
		g.resetTimeouts(now, gap)
	}
	g.timers.lastTick = now
	g.rumours.expire(now)
	g.expireMembers(now)
	g.updateReachability(now)
	g.probe(now)
	g.sync(now)
	g.publishZone(now)
	g.gossip(now)
	g.gossipToZones(now)
	return g.takeOutput()
}

// resetTimeouts restarts all running timeouts after the process was frozen, since
// messages missed during the freeze are no evidence of failed members or zones.
func (g *Group) resetTimeouts(now time.Time, gap time.Duration) {
	g.out.Frozen = gap
	g.probes.current = nil
	g.timers.probe = now
	g.timers.sync = now
	for _, rec := range g.roster.suspects {
		rec.deadline = now.Add(g.settings.SuspicionTimeout)
	}
	g.zones.resetHeartbeats(now)
}

// expireMembers declares overdue suspects dead and removes expired tombstones.
func (g *Group) expireMembers(now time.Time) {
	for _, rec := range slices.Clone(g.roster.suspects) {
		if !now.Before(rec.deadline) {
			g.apply(rec.member.WithStatus(Dead), now, true)
		}
	}
	for _, rec := range slices.Clone(g.roster.tombstones) {
		if !now.Before(rec.deadline) {
			g.roster.removeTombstone(rec)
		}
	}
}

// Receive handles one message that arrived at now.
func (g *Group) Receive(m Message, now time.Time) Output {
	local := m.Zone == g.zone
	if local {
		if m.From.Host == g.self.Host {
			return g.takeOutput()
		}
		g.apply(m.From, now, true)
	} else {
		g.zones.addContact(m.Zone, m.From, now)
	}
	g.merge(m, now)
	switch m.Kind {
	case Ping:
		g.onPing(m)
	case Ack:
		g.onAck(m)
	case PingRequest:
		g.onPingRequest(m, now)
	case Digest:
		g.onDigest(m)
	case HashList:
		g.onHashList(m, now)
	case EntryRequest:
		g.onEntryRequest(m, now)
	case Gossip, Entries:
	}
	if local {
		g.correctSender(m)
	}
	return g.takeOutput()
}

// merge applies the member updates and rumours of a message. If the message belongs to
// a sync, it replies with the newer version of members that are outdated at the sender.
func (g *Group) merge(m Message, now time.Time) {
	rebroadcast := m.Kind != Entries || m.Rebroadcast
	var newer []Member
	if m.Zone == g.zone {
		for _, s := range m.Members {
			if g.apply(s, now, rebroadcast) {
				continue
			}
			newer = g.handleKnown(newer, s, m.Kind)
		}
	}
	for _, r := range m.Rumours {
		g.applyRumour(r, m.Zone, now, rebroadcast)
	}
	if len(newer) > 0 {
		g.sendEntries(m.From.Address, newer, nil)
	}
}

// handleKnown handles an update that is not new. An equal one counts as a send by this
// node. If an older one arrives in a sync, the stored member is appended to newer.
func (g *Group) handleKnown(newer []Member, received Member, kind Kind) []Member {
	rec, ok := g.roster.records[received.Host]
	if !ok {
		return newer
	}
	if !rec.member.Supersedes(received) {
		g.queue.countReceived(queueEntry{host: received.Host})
		return newer
	}
	if kind == Entries {
		return append(newer, rec.member)
	}
	return newer
}

// apply applies an update of a member of the own zone and reports whether it was new.
// If rebroadcast is set, a new update is gossiped.
func (g *Group) apply(m Member, now time.Time, rebroadcast bool) bool {
	if m.Host == "" || m.Host == g.self.Host {
		return g.applySelf(m, now)
	}
	rec, ok := g.roster.records[m.Host]
	if ok && !m.Supersedes(rec.member) {
		return false
	}
	if !ok && (!m.Present() || len(g.roster.records) >= g.settings.MaxMembers) {
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
	g.publisher.memberChanged(before, m, now.Add(g.settings.SettleDelay))
	if rebroadcast {
		g.queue.add(queueEntry{host: m.Host, leaving: m.leaving()})
	}
	return true
}

// applySelf handles an update of this node that another node sent. One that supersedes
// the node's own state is refuted with a greater revision. A greater incarnation, left
// by a previous process whose clock was ahead, is refuted with a still greater one.
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
	g.setSelf(next, now)
	return true
}

// RaiseIncarnation raises the node's incarnation above the given one, which a previous
// process of the host used.
func (g *Group) RaiseIncarnation(incarnation uint64, now time.Time) Output {
	if incarnation >= g.self.Incarnation {
		next := g.self.WithRevision(0)
		next.Incarnation = incarnation + 1
		g.setSelf(next, now)
	}
	return g.takeOutput()
}

// setSelf replaces the node's own state and gossips it.
func (g *Group) setSelf(next Member, now time.Time) {
	before := g.self
	g.self = next
	g.roster.put(next, true, g.random)
	g.publisher.memberChanged(before, next, now.Add(g.settings.SettleDelay))
	g.queue.add(queueEntry{host: next.Host, leaving: next.leaving()})
	g.out.SelfChanged = true
}

// SetServices sets the services that the host offers and ends a drain. It has no effect
// if the services are the same and the host does not drain.
func (g *Group) SetServices(services []string, now time.Time) Output {
	next := g.self.WithServices(services).WithDraining(false).WithRevision(g.self.Revision + 1)
	if sameServices(g.self, next) && !g.self.Draining || g.self.Status == Left {
		return g.takeOutput()
	}
	g.setSelf(next, now)
	return g.takeOutput()
}

// Drain announces that the host takes no new work, so that every directory removes it.
// Since the node has the other members that offer its services, it also publishes their
// new summaries itself; other zones need not wait for the zone's publisher.
func (g *Group) Drain(now time.Time) Output {
	if g.self.Draining {
		return g.takeOutput()
	}
	g.setSelf(g.self.WithDraining(true).WithRevision(g.self.Revision+1), now)
	if g.joined {
		services := slices.Clone(g.self.Services)
		sort.Strings(services)
		for _, s := range services {
			g.publishSummary(s, now)
		}
	}
	g.announce(g.self)
	return g.takeOutput()
}

// Leave announces that the process ends. The caller must send the output and then stop.
func (g *Group) Leave(now time.Time) Output {
	g.setSelf(g.self.WithStatus(Left).WithRevision(g.self.Revision+1), now)
	g.announce(g.self)
	return g.takeOutput()
}

// announce immediately sends an update to the bridges and some random members.
func (g *Group) announce(m Member) {
	const randomReceivers = 6
	receivers := g.roster.sample(randomReceivers, g.random, "")
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
	g.out.Messages = append(g.out.Messages, OutgoingMessage{Address: address, Message: m})
}
