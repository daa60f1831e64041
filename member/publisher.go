package member

import (
	"bytes"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// publisher is the state of the node that publishes the services of its zone: the first
// of the zone's bridges. While views of the zone differ, several nodes may publish. The
// rumour version then decides which summary is kept, and the remaining publisher
// corrects it.
type publisher struct {
	active bool
	// dueAt is the time when the summary of a service is next compared with the view of
	// the zone; the empty key is the list of bridges.
	dueAt map[string]time.Time
}

// schedule schedules the comparison of a service's summary for the given time or
// earlier.
func (s *publisher) schedule(service string, at time.Time) {
	if s.dueAt == nil {
		s.dueAt = make(map[string]time.Time)
	}
	if current, ok := s.dueAt[service]; !ok || at.Before(current) {
		s.dueAt[service] = at
	}
}

// memberChanged schedules the bridges and the summaries that the change of a member
// affects.
func (s *publisher) memberChanged(before, after Member, at time.Time) {
	s.schedule("", at)
	if before.Present() && after.Present() && before.Draining == after.Draining &&
		before.Incarnation == after.Incarnation && sameServices(before, after) {
		return
	}
	for _, service := range before.Services {
		s.schedule(service, at)
	}
	for _, service := range after.Services {
		s.schedule(service, at)
	}
}

// scheduleCorrection schedules the summary or the bridges that a rumour has published
// for this zone, in case the rumour is another node's and differs from this node's view.
func (s *publisher) scheduleCorrection(r Rumour, service string, at time.Time) {
	if s.active && !r.background() {
		s.schedule(service, at)
	}
}

// sameServices reports whether both have the same services in the same order.
func sameServices(a, b Member) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	for i := range a.Services {
		if a.Services[i] != b.Services[i] {
			return false
		}
	}
	return true
}

// publishZone performs the work of the zone's publisher that is due, if this node is
// the publisher.
func (g *Group) publishZone(now time.Time) {
	first := g.roster.bridges(g.settings.Bridges)
	if !g.joined || len(first) == 0 || first[0].member.Host != g.self.Host {
		g.publisher.active = false
		clear(g.publisher.dueAt)
		return
	}
	if !g.publisher.active {
		g.publisher.active = true
		g.scheduleAll(now.Add(g.settings.SettleDelay))
	}
	var services []string
	for service, at := range g.publisher.dueAt {
		if !now.Before(at) {
			services = append(services, service)
		}
	}
	sort.Strings(services)
	for _, service := range services {
		delete(g.publisher.dueAt, service)
		if service == "" {
			g.publishBridges(now)
			continue
		}
		g.publishSummary(service, now)
	}
	if !now.Before(g.timers.heartbeat) {
		g.timers.heartbeat = now.Add(g.settings.HeartbeatPeriod)
		g.publish(Rumour{Topic: topicHeartbeat, Key: g.zone}, now)
	}
}

// scheduleAll schedules the bridges and every service that the zone offers or has a
// summary for.
func (g *Group) scheduleAll(at time.Time) {
	g.publisher.schedule("", at)
	for service := range g.roster.services {
		g.publisher.schedule(service, at)
	}
	prefix := g.zone + "/"
	for id := range g.rumours.records {
		if id.topic == topicSummary && len(id.key) > len(prefix) && id.key[:len(prefix)] == prefix {
			g.publisher.schedule(id.key[len(prefix):], at)
		}
	}
}

// publishSummary publishes the zone's summary of a service if it differs from the
// published one.
func (g *Group) publishSummary(service string, now time.Time) {
	offering := append([]*record(nil), g.roster.services[service]...)
	sort.Slice(offering, func(i, j int) bool {
		a, b := offering[i].member.Host, offering[j].member.Host
		return hashStrings(service, a) < hashStrings(service, b)
	})
	value := summary{Count: uint32(len(offering))}
	for _, rec := range offering[:min(len(offering), g.settings.SummaryNodes)] {
		value.Nodes = append(value.Nodes, contactOf(rec.member))
	}
	id := rumourID{topic: topicSummary, key: g.zone + "/" + service}
	current, published := g.rumours.records[id]
	if !published && value.Count == 0 {
		return
	}
	payload := g.encodeContacts(&value.Nodes, func() any { return value })
	if published && bytes.Equal(current.rumour.Payload, payload) {
		return
	}
	r := Rumour{Topic: id.topic, Key: id.key, Payload: payload}
	if value.Count == 0 {
		r = r.WithLifetime(g.settings.TombstoneLifetime)
	}
	g.publish(r, now)
}

// publishBridges publishes the zone's bridges if they differ from the published ones.
func (g *Group) publishBridges(now time.Time) {
	var contacts []Contact
	for _, rec := range g.roster.bridges(g.settings.Bridges) {
		contacts = append(contacts, contactOf(rec.member))
	}
	payload := g.encodeContacts(&contacts, func() any { return contacts })
	current, published := g.rumours.records[rumourID{topic: topicBridges, key: g.zone}]
	if published && bytes.Equal(current.rumour.Payload, payload) {
		return
	}
	g.publish(Rumour{Topic: topicBridges, Key: g.zone, Payload: payload}, now)
}

// encodeContacts encodes a value, removing contacts from the end until the payload
// limit is met.
func (g *Group) encodeContacts(contacts *[]Contact, value func() any) []byte {
	for {
		payload, err := cbor.Marshal(value())
		if err == nil && len(payload) <= g.settings.MaxPayloadBytes || len(*contacts) == 0 {
			return payload
		}
		*contacts = (*contacts)[:len(*contacts)-1]
	}
}

// contactOf returns the contact of a member.
func contactOf(m Member) Contact {
	return Contact{Host: m.Host, Address: m.Address, Incarnation: m.Incarnation}
}
