package member

import "time"

// prober is the state of the failure detector.
type prober struct {
	sequence uint64
	// current is the probe that waits for an ack, or nil.
	current *pendingProbe
	// relays are the indirect probes on behalf of other nodes, by sequence.
	relays map[uint64]relay
}

// pendingProbe is a probe that waits for an ack.
type pendingProbe struct {
	sequence uint64
	target   *record
	// indirectSent is set when the indirect probes have been requested.
	indirectSent bool
	indirectAt   time.Time
	deadline     time.Time
}

// relay is an indirect probe on behalf of another node.
type relay struct {
	requester string
	sequence  uint64
	target    string
	expires   time.Time
}

// probe performs the steps of the failure detector that are due: indirect probes for
// the current probe, its end, and the start of the next one.
func (g *Group) probe(now time.Time) {
	if p := g.probes.current; p != nil {
		g.continueProbe(p, now)
	}
	if now.Before(g.timers.probe) {
		return
	}
	g.timers.probe = now.Add(g.settings.ProbePeriod)
	g.expireRelays(now)
	target := g.roster.probeTarget(g.random)
	if target == nil {
		return
	}
	g.probes.sequence++
	g.probes.current = &pendingProbe{
		sequence:   g.probes.sequence,
		target:     target,
		indirectAt: now.Add(g.settings.ProbeTimeout),
		deadline:   now.Add(g.settings.ProbePeriod - g.settings.ProbeTimeout/2),
	}
	g.ping(target.member, g.probes.sequence)
}

// continueProbe requests indirect probes when the direct ack is late, and marks the
// target suspect if no ack arrives by the deadline.
func (g *Group) continueProbe(p *pendingProbe, now time.Time) {
	if !p.indirectSent && !now.Before(p.indirectAt) {
		p.indirectSent = true
		for _, helper := range g.roster.sample(g.settings.IndirectProbes, g.random, p.target.member.Host) {
			m := g.message(PingRequest)
			m.Sequence = p.sequence
			m.Target = p.target.member.Host
			m.Address = p.target.member.Address
			g.send(helper.member.Address, m)
		}
	}
	if now.Before(p.deadline) {
		return
	}
	g.probes.current = nil
	if p.target.member.Status == Alive {
		g.apply(p.target.member.WithStatus(Suspect), now, true)
	}
}

// ping sends a probe. A suspect target receives the suspicion with it, so that it can
// refute it.
func (g *Group) ping(target Member, sequence uint64) {
	m := g.message(Ping)
	m.Sequence = sequence
	m.Target = target.Host
	if target.Status != Alive {
		m.Members = []Member{target}
	}
	g.piggyback(&m)
	g.send(target.Address, m)
}

// onPing answers a probe of this host. It ignores a probe of another host that
// previously had this address.
func (g *Group) onPing(m Message) {
	if m.Target != g.self.Host {
		return
	}
	reply := g.message(Ack)
	reply.Sequence = m.Sequence
	reply.Target = m.Target
	if rec, ok := g.roster.records[m.From.Host]; ok && rec.member.Supersedes(m.From) {
		reply.Members = []Member{rec.member}
	}
	g.piggyback(&reply)
	g.send(m.From.Address, reply)
}

// onAck ends the current probe if the ack matches it, or forwards the ack of an
// indirect probe.
func (g *Group) onAck(m Message) {
	if p := g.probes.current; p != nil && p.sequence == m.Sequence && p.target.member.Host == m.Target {
		g.probes.current = nil
		return
	}
	r, ok := g.probes.relays[m.Sequence]
	if !ok || r.target != m.Target {
		return
	}
	delete(g.probes.relays, m.Sequence)
	reply := g.message(Ack)
	reply.Sequence = r.sequence
	reply.Target = r.target
	reply.Members = []Member{m.From}
	g.send(r.requester, reply)
}

// onPingRequest starts an indirect probe on behalf of the sender.
func (g *Group) onPingRequest(m Message, now time.Time) {
	g.probes.sequence++
	g.probes.relays[g.probes.sequence] = relay{
		requester: m.From.Address,
		sequence:  m.Sequence,
		target:    m.Target,
		expires:   now.Add(g.settings.ProbePeriod),
	}
	g.ping(Member{Host: m.Target, Address: m.Address}, g.probes.sequence)
}

// expireRelays removes indirect probes that received no ack in time.
func (g *Group) expireRelays(now time.Time) {
	for sequence, r := range g.probes.relays {
		if !now.Before(r.expires) {
			delete(g.probes.relays, sequence)
		}
	}
}

// correctSender sends the stored state of a message's sender back to it if that state
// supersedes the sender's own, so that a member considered dead can refute it. Replies
// to probes already carry that state.
func (g *Group) correctSender(m Message) {
	rec, ok := g.roster.records[m.From.Host]
	if !ok || m.Kind == Ping || m.Kind == PingRequest || !rec.member.Supersedes(m.From) {
		return
	}
	message := g.message(Gossip)
	message.Members = []Member{rec.member}
	g.send(m.From.Address, message)
}
