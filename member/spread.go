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
	r = r.WithRemaining(uint32((lifetime + time.Second - 1) / time.Second))
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
		if id.topic == topic {
			found = append(found, rec.at(now))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// push sends the queued entries to a few random members. Background rumours wait
// until a probe carries them.
func (g *Group) push(now time.Time) {
	if now.Before(g.timers.push) || !g.urgent() {
		return
	}
	g.timers.push = now.Add(g.settings.PushPeriod)
	for _, rec := range g.roster.sample(g.settings.PushFanout, g.random, "") {
		m := g.message(Gossip)
		g.fill(&m)
		if len(m.Members)+len(m.Rumours) > 0 {
			g.send(rec.member.Address, m)
		}
	}
}

// urgent reports whether the queue holds an entry that is not in the background.
func (g *Group) urgent() bool {
	return slices.ContainsFunc(g.queue.entries, func(e queued) bool {
		return e.host != "" || e.rumour.topic != topicHeartbeat
	})
}

// fill adds queued entries to a message up to the size limit, the least often
// sent first.
func (g *Group) fill(m *Message) {
	room := g.settings.MessageLimit - m.size()
	for _, s := range m.Members {
		room -= s.size()
	}
	g.queue.sort()
	now := g.timers.last
	for i := range g.queue.entries {
		e := &g.queue.entries[i]
		if e.host != "" {
			if rec, ok := g.roster.records[e.host]; ok && rec.member.size() <= room {
				m.Members = append(m.Members, rec.member)
				room -= rec.member.size()
			} else if ok {
				continue
			}
			e.sends++
			continue
		}
		rec, ok := g.rumours.records[e.rumour]
		if ok && rec.rumour.size() > room {
			continue
		}
		if ok {
			m.Rumours = append(m.Rumours, rec.at(now))
			room -= rec.rumour.size()
		}
		e.sends++
	}
	g.queue.prune(retransmits(g.settings.RetransmitFactor, len(g.roster.order)))
}
