package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/trunk"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
)

const (
	// dialTimeout bounds connection setup. The latency between hosts is a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// dialBackoff is the initial delay before a host is dialed again. It doubles with each
	// attempt up to maxDialBackoff.
	dialBackoff    = 200 * time.Millisecond
	maxDialBackoff = 2 * time.Second
	// dialDeferral is how long the host with the greater name waits for the other
	// one to dial, so that a pair of hosts rarely has two trunks.
	dialDeferral = 500 * time.Millisecond
	// closeTimeout bounds how long a closing node waits for the others to close their ends.
	closeTimeout = 200 * time.Millisecond
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 100 * time.Millisecond
	// maxQuietSmall and maxQuietLarge are the times without data after which a peer is
	// probed. In a small fleet several notices arrive in that time; in a large one the
	// probes keep trunks open that carry nothing else.
	maxQuietSmall = 1200 * time.Millisecond
	maxQuietLarge = 3 * time.Second
	// maxQuietSuspect replaces them for the hosts of a zone of which one stopped to respond
	// within suspectZoneTime.
	maxQuietSuspect = 100 * time.Millisecond
	suspectZoneTime = 500 * time.Millisecond
)

// A link is a trunk to another node.
type link struct {
	mesh  *Mesh
	trunk *trunk.Trunk
	// dialed reports whether this node opened the connection.
	dialed bool
	// host is the peer's host name. On an accepted connection it is empty until the
	// first notice. silent reports that the peer doesn't respond. Both are guarded by
	// Mesh.mu.
	host   string
	silent bool
	// sentRecord is the last record of the own host that was sent. Only the goroutine
	// that sends notices accesses it.
	sentRecord fleet.Host
	// sentStrikes reports that the known strikes were sent when the service of the peer was
	// first known. It is accessed like sentRecord.
	sentStrikes bool
}

// A dialState tracks the attempts to dial a host.
type dialState struct {
	nextDial time.Time
	backoff  time.Duration
	firstDue time.Time
}

func (m *Mesh) accept() {
	for {
		raw, err := m.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			m.log.Emit(event.ListenerStopped, log.Fields{"error": err.Error()})
			time.Sleep(acceptRetryDelay)
			continue
		}
		m.startLink(raw, "")
	}
}

// dialUnconnected dials each host that has no trunk and whose next attempt is due.
func (m *Mesh) dialUnconnected(ctx context.Context) {
	hostChanges, linkChanges := m.directory.Changes(), m.Changes()
	s := &m.schedule
	if s.allConnected && s.hostChanges == hostChanges && s.linkChanges == linkChanges {
		return
	}
	s.allConnected, s.hostChanges, s.linkChanges = true, hostChanges, linkChanges
	own := m.own().Name
	now := m.clock.Now()
	for _, h := range m.directory.Hosts() {
		if h.Name == own || m.Connected(h.Name) {
			continue
		}
		s.allConnected = false
		if m.claimDial(now, own, h.Name) {
			m.tasks.Go(func() { m.dial(ctx, h) })
		}
	}
}

// claimDial reports whether a host is to be dialed now, and if so schedules the next
// attempt.
func (m *Mesh) claimDial(now time.Time, own, host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	d := m.dials[host]
	if d == nil {
		d = &dialState{firstDue: now, backoff: dialBackoff}
		m.dials[host] = d
	}
	if now.Before(d.nextDial) || own > host && now.Sub(d.firstDue) < dialDeferral {
		return false
	}
	d.nextDial = now.Add(dialTimeout + d.backoff)
	d.backoff = min(2*d.backoff, maxDialBackoff)
	return true
}

func (m *Mesh) dial(ctx context.Context, h fleet.Host) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", h.Address)
	if err != nil {
		// The host is dialed again later. Only established trunks are logged.
		return
	}
	m.startLink(raw, h.Name)
}

// startLink runs a trunk over a connection. The host is empty if it is not known yet.
func (m *Mesh) startLink(raw net.Conn, host string) {
	l := &link{mesh: m, dialed: host != ""}
	l.trunk = trunk.New(raw, l, trunk.DefaultIdleTimeout, m.clock)
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		raw.Close()
		return
	}
	m.links[l] = struct{}{}
	m.mu.Unlock()
	if host != "" {
		m.setHost(l, host)
	}
	m.tasks.Go(func() {
		err := l.trunk.Run()
		m.removeLink(l, err)
	})
	m.tasks.Go(func() { m.askHosts(l) })
	m.TriggerNotices()
}

// setHost records the host at the other end of a link.
func (m *Mesh) setHost(l *link, host string) {
	m.mu.Lock()
	_, open := m.links[l]
	if !open || l.host == host {
		m.mu.Unlock()
		return
	}
	l.host = host
	delete(m.dials, host)
	current := m.byHost[host]
	if current == nil || l.preferredTo(current, m.own().Name) {
		m.byHost[host] = l
		m.changes++
	}
	m.mu.Unlock()
	if current == nil {
		m.log.Emit(event.TrunkUp, log.Fields{"peer": host})
	}
}

// preferredTo reports whether l is used instead of another link to the same host. If
// both respond, it is the one that the host with the smaller name opened, so that both
// ends choose the same. Mesh.mu must be held.
func (l *link) preferredTo(other *link, own string) bool {
	if l.silent != other.silent {
		return other.silent
	}
	if l.dialed == other.dialed {
		return true // newer
	}
	return l.dialed == (own < l.host)
}

func (m *Mesh) removeLink(l *link, err error) {
	m.mu.Lock()
	delete(m.links, l)
	host := l.host
	lost := m.byHost[host] == l
	if lost {
		delete(m.byHost, host)
		m.changes++
		for other := range m.links {
			if current := m.byHost[host]; other.host == host && (current == nil || other.preferredTo(current, m.own().Name)) {
				m.byHost[host] = other
				lost = false
			}
		}
	}
	m.mu.Unlock()
	if lost || host == "" {
		m.log.Emit(event.TrunkDown, log.Fields{"peer": host, "error": fmt.Sprint(err)})
	}
}

// checkLinks probes peers that have been quiet, and records which ones don't respond. If
// one doesn't, all hosts of its zone are probed, because the zone may be cut off.
func (m *Mesh) checkLinks() {
	longest := maxQuietSmall
	if m.largeFleet() {
		longest = maxQuietLarge
	}
	now := m.clock.Now()
	m.mu.Lock()
	links := make(map[*link]string, len(m.links))
	for l := range m.links {
		links[l] = l.host
	}
	m.mu.Unlock()
	for l, host := range links {
		zone := m.zoneOf(host)
		maxQuiet := longest
		if now.Sub(m.schedule.silentZones[zone]) < suspectZoneTime {
			maxQuiet = maxQuietSuspect
		}
		if l.trunk.Check(maxQuiet) && zone != "" {
			m.schedule.silentZones[zone] = now
		}
		m.setSilent(l, l.trunk.Silent())
	}
}

// zoneOf returns the availability zone of a host, or "" if it is not known.
func (m *Mesh) zoneOf(host string) string {
	h, _ := m.directory.Host(host)
	return h.Zone
}

// setSilent records whether the peer of a link responds.
func (m *Mesh) setSilent(l *link, silent bool) {
	m.mu.Lock()
	changed := l.silent != silent
	if changed {
		l.silent = silent
		m.changes++
		if current := m.byHost[l.host]; current != nil && current != l && l.preferredTo(current, m.own().Name) {
			m.byHost[l.host] = l
		}
	}
	host := l.host
	m.mu.Unlock()
	if changed {
		m.log.Emit(event.TrunkSilent, log.Fields{"peer": host, "silent": silent})
	}
}

// call sends a request on a link and reads its reply.
func (l *link) call(ctx context.Context, r request, reply any, abandonable bool) error {
	body, err := l.trunk.Do(ctx, r, abandonable)
	if err != nil {
		return err
	}
	return trunk.Decode(body, reply)
}

// HandleCall implements trunk.Handler.
func (l *link) HandleCall(ctx context.Context, body []byte) any {
	m := l.mesh
	var r request
	err := trunk.Decode(body, &r)
	if err == nil && r.Order == nil && r.Loan == nil && r.Configuration == nil && !r.Hosts {
		err = errEmptyRequest
	}
	switch {
	case err != nil:
		m.log.Emit(event.NoticeUnreadable, log.Fields{"error": err.Error(), "kind": "request"})
		return relay.DecodeRefusal(err)
	case r.Loan != nil:
		return m.delegate.Lend(*r.Loan)
	case r.Configuration != nil:
		version, content := m.delegate.Configuration()
		if version <= *r.Configuration {
			return configurationReply{}
		}
		return configurationReply{Version: version, Content: content}
	case r.Hosts:
		return hostsReply{Hosts: m.directory.Hosts()}
	default:
		r.Order.Context = r.Order.Context.WithLocalDeadline(m.clock.Now())
		return m.executor.Execute(ctx, *r.Order)
	}
}
