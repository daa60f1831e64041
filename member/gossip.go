package member

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Publish gossips a rumour to every node of every zone, including this node. If the
// version is zero, the next one is derived from the current time and the stored
// version. If the lifetime is zero, the rumour never expires.
func (g *Group) Publish(r Rumour, lifetime time.Duration, now time.Time) (Output, error) {
	if r.reserved() {
		return Output{}, fmt.Errorf("publish %s: %w", r.Topic, ErrTopicReserved)
	}
	if len(r.Payload) > g.settings.MaxPayloadBytes {
		return Output{}, fmt.Errorf("publish %d bytes: %w", len(r.Payload), ErrPayloadTooLarge)
	}
	r = r.WithLifetime(lifetime)
	g.publish(r, now)
	return g.takeOutput(), nil
}

// publish stores a rumour of this node and immediately sends it to the bridges, so that
// its delivery to other zones does not depend on random gossip reaching a bridge.
func (g *Group) publish(r Rumour, now time.Time) {
	if r.Version == 0 {
		r.Version = uint64(now.UnixMilli())
		if rec, ok := g.rumours.records[r.id()]; ok {
			r.Version = max(r.Version, rec.rumour.Version+1)
		}
	}
	if !g.applyRumour(r, g.zone, now, true) || r.background() {
		return
	}
	for _, b := range g.roster.bridges(g.settings.Bridges) {
		if b.member.Host == g.self.Host {
			continue
		}
		m := g.message(Gossip)
		m.Rumours = []Rumour{r}
		g.send(b.member.Address, m)
	}
}

// applyRumour applies a rumour received from the given zone and reports whether it was
// new. If rebroadcast is set, a new rumour is gossiped.
func (g *Group) applyRumour(r Rumour, from string, now time.Time, rebroadcast bool) bool {
	if len(r.Payload) > g.settings.MaxPayloadBytes || !g.rumours.put(r, now, g.settings.MaxRumours) {
		if r.reserved() {
			g.queue.countReceived(queueEntry{rumour: r.id()})
		}
		return false
	}
	if r.reserved() {
		g.applyZoneRumour(r, now)
	} else {
		g.out.Rumours = append(g.out.Rumours, r)
	}
	if rebroadcast {
		g.queue.add(queueEntry{rumour: r.id()})
		g.zones.enqueue(r, from)
	}
	return true
}

// Rumours returns the unexpired rumours of a topic, sorted by key.
func (g *Group) Rumours(topic string, now time.Time) []Rumour {
	var found []Rumour
	for id, rec := range g.rumours.records {
		if id.topic == topic && !rec.expired {
			found = append(found, rec.snapshot(now))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// gossip sends the queued entries to a few random members. Background rumours alone
// cause no message; they are piggybacked on others. If many entries are queued, such as
// after the crash of a rack, the budgets reduce the rate of messages; priority entries
// have their own budget.
func (g *Group) gossip(now time.Time) {
	g.refillBudgets(now)
	if now.Before(g.timers.gossip) || !g.urgent() {
		return
	}
	g.timers.gossip = now.Add(g.settings.GossipPeriod)
	for _, rec := range g.roster.sample(g.settings.GossipFanout, g.random, "") {
		m := g.message(Gossip)
		header := m.size() + datagramOverhead
		budget := g.headerBudget(header)
		if budget == nil {
			return
		}
		*budget -= header
		g.piggyback(&m)
		if len(m.Members)+len(m.Rumours) == 0 {
			*budget += header
			return
		}
		g.send(rec.member.Address, m)
	}
}

// headerBudget returns the budget to charge for the header of a gossip message: the
// priority budget if priority entries are queued and it suffices, otherwise the other
// budget if it also covers the queued entries or half a message. It returns nil if
// neither suffices.
func (g *Group) headerBudget(header int) *int {
	if slices.ContainsFunc(g.queue.entries, queueEntry.hasPriority) && g.priorityBudget >= header+maxPriorityBytes/2 {
		return &g.priorityBudget
	}
	if g.budget >= header+min(g.queue.size(g), g.settings.MaxMessageBytes/2) {
		return &g.budget
	}
	return nil
}

// Sizes in bytes.
const (
	// maxPriorityBytes is the maximum size of the priority entries in one message.
	maxPriorityBytes = 500
	// datagramOverhead is the overhead of a separate datagram beside the message.
	datagramOverhead = 60
)

// refillBudgets refills the budgets at the gossip rate for the time since the last
// refill.
func (g *Group) refillBudgets(now time.Time) {
	gained := int(now.Sub(g.lastRefill) * time.Duration(g.settings.GossipRate) / time.Second)
	if gained > 0 {
		g.lastRefill = now
		g.budget = min(g.budget+gained, g.settings.GossipBurst)
		g.priorityBudget = min(g.priorityBudget+gained, g.settings.GossipBurst)
	}
}

// urgent reports whether the queue holds an entry other than a background rumour.
func (g *Group) urgent() bool {
	return slices.ContainsFunc(g.queue.entries, func(e queueEntry) bool {
		return e.host != "" || e.rumour.topic != topicHeartbeat
	})
}

// piggyback adds queued entries to a message up to the size limit and the budgets,
// those with the fewest sends first. Priority entries come before all others, so that a
// configuration or a leaving host is not delayed when many members change.
func (g *Group) piggyback(m *Message) {
	room := g.settings.MaxMessageBytes - m.size()
	for _, s := range m.Members {
		room -= s.size()
	}
	g.queue.sort()
	used := g.appendQueued(m, min(room, maxPriorityBytes, g.priorityBudget), true)
	g.priorityBudget -= used
	g.budget -= g.appendQueued(m, min(room-used, g.budget), false)
	g.queue.prune(retransmits(g.settings.RetransmitFactor, len(g.roster.probeOrder)))
}

// appendQueued adds queued entries, either those with priority or all others, and
// returns their size in bytes.
func (g *Group) appendQueued(m *Message, room int, priority bool) int {
	used := 0
	for i := range g.queue.entries {
		e := &g.queue.entries[i]
		if e.hasPriority() != priority {
			continue
		}
		size, ok := g.sizeOf(*e)
		if ok && size > room-used {
			continue
		}
		e.sends++
		if !ok {
			continue
		}
		used += size
		if e.host != "" {
			m.Members = append(m.Members, g.roster.records[e.host].member)
			continue
		}
		m.Rumours = append(m.Rumours, g.rumours.records[e.rumour].snapshot(g.timers.lastTick))
	}
	return used
}

// sizeOf returns the size of a queued entry in bytes, or false if it is no longer
// stored.
func (g *Group) sizeOf(e queueEntry) (int, bool) {
	if e.host != "" {
		rec, ok := g.roster.records[e.host]
		if !ok {
			return 0, false
		}
		return rec.member.size(), true
	}
	rec, ok := g.rumours.get(e.rumour)
	if !ok {
		return 0, false
	}
	return rec.rumour.size(), true
}
