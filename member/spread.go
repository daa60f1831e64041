package member

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Publish spreads a rumour to every node of every zone, this one included. A
// version of zero takes the next one by the time and the version held; a lifetime
// of zero keeps the rumour for ever.
func (g *Group) Publish(r Rumour, lifetime time.Duration, now time.Time) (Output, error) {
	if r.internal() {
		return Output{}, fmt.Errorf("publish %s: %w", r.Topic, ErrTopicReserved)
	}
	if len(r.Payload) > g.settings.PayloadLimit {
		return Output{}, fmt.Errorf("publish %d bytes: %w", len(r.Payload), ErrPayloadTooLarge)
	}
	r = r.WithLifetime(lifetime)
	g.originate(r, now)
	return g.take(), nil
}

// originate stores a rumour of this node and hands it to the bridges at once, so
// that other zones need not wait until it reaches one by chance.
func (g *Group) originate(r Rumour, now time.Time) {
	if r.Version == 0 {
		r.Version = uint64(now.UnixMilli())
		if rec, ok := g.rumours.records[r.id()]; ok {
			r.Version = max(r.Version, rec.rumour.Version+1)
		}
	}
	if !g.hear(r, g.zone, now, true) || r.background() {
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

// hear takes in a rumour that came from the given zone and reports whether it was
// new. Those that are new are passed on if spread is set.
func (g *Group) hear(r Rumour, from string, now time.Time, spread bool) bool {
	if len(r.Payload) > g.settings.PayloadLimit || !g.rumours.put(r, now, g.settings.RumourLimit) {
		if r.internal() {
			g.queue.heard(queued{rumour: r.id()})
		}
		return false
	}
	if r.internal() {
		g.learn(r, now)
	} else {
		g.out.Rumours = append(g.out.Rumours, r)
	}
	if spread {
		g.queue.add(queued{rumour: r.id()})
		g.zones.forward(r, from)
	}
	return true
}

// Rumours returns the rumours of a topic in the order of keys.
func (g *Group) Rumours(topic string, now time.Time) []Rumour {
	var found []Rumour
	for id, rec := range g.rumours.records {
		if id.topic == topic && !rec.ended {
			found = append(found, rec.at(now))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// push sends the queued entries to a few random members. Background rumours wait
// until a probe carries them. When much is queued, as after the crash of a rack,
// the budgets make pushes rarer instead of more; preferred entries have their own.
func (g *Group) push(now time.Time) {
	g.refill(now)
	if now.Before(g.timers.push) || !g.urgent() {
		return
	}
	g.timers.push = now.Add(g.settings.PushPeriod)
	for _, rec := range g.roster.sample(g.settings.PushFanout, g.random, "") {
		m := g.message(Gossip)
		header := m.size() + datagramSize
		budget := g.payer(header)
		if budget == nil {
			return
		}
		*budget -= header
		g.fill(&m)
		if len(m.Members)+len(m.Rumours) == 0 {
			*budget += header
			return
		}
		g.send(rec.member.Address, m)
	}
}

// payer returns the budget that the header of a push is taken from: that of the
// preferred entries if there are any, else the other one if it also has room for
// the queued entries or half a message. It returns nil if neither suffices.
func (g *Group) payer(header int) *int {
	if slices.ContainsFunc(g.queue.entries, queued.preferred) && g.preferred >= header+preferredRoom/2 {
		return &g.preferred
	}
	if g.budget >= header+min(g.queue.size(g), g.settings.MessageLimit/2) {
		return &g.budget
	}
	return nil
}

// Sizes in bytes.
const (
	// preferredRoom is what preferred entries may use of a message.
	preferredRoom = 500
	// datagramSize is what a message of its own costs beside its content.
	datagramSize = 60
)

// refill adds to the budgets what the time since the last tick gives.
func (g *Group) refill(now time.Time) {
	gained := int(now.Sub(g.refilled) * time.Duration(g.settings.SpreadRate) / time.Second)
	if gained > 0 {
		g.refilled = now
		g.budget = min(g.budget+gained, g.settings.SpreadBurst)
		g.preferred = min(g.preferred+gained, g.settings.SpreadBurst)
	}
}

// urgent reports whether the queue holds an entry that is not in the background.
func (g *Group) urgent() bool {
	return slices.ContainsFunc(g.queue.entries, func(e queued) bool {
		return e.host != "" || e.rumour.topic != topicHeartbeat
	})
}

// fill adds queued entries to a message up to the size limit and the budgets, the
// least often sent first. Preferred entries go first, so that a configuration or a
// leaving host is not late because many members changed.
func (g *Group) fill(m *Message) {
	room := g.settings.MessageLimit - m.size()
	for _, s := range m.Members {
		room -= s.size()
	}
	g.queue.sort()
	used := g.fillFrom(m, min(room, preferredRoom, g.preferred), true)
	g.preferred -= used
	g.budget -= g.fillFrom(m, min(room-used, g.budget), false)
	g.queue.prune(retransmits(g.settings.RetransmitFactor, len(g.roster.order)))
}

// fillFrom adds queued entries, either the preferred ones or all else, and returns
// their size.
func (g *Group) fillFrom(m *Message, room int, preferred bool) int {
	used := 0
	for i := range g.queue.entries {
		e := &g.queue.entries[i]
		if e.preferred() != preferred {
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
		m.Rumours = append(m.Rumours, g.rumours.records[e.rumour].at(g.timers.last))
	}
	return used
}

// sizeOf returns the size of a queued entry, unless it is no longer held.
func (g *Group) sizeOf(e queued) (int, bool) {
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
