package mesh

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/trunk"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/process/zoneload"
)

const (
	// noticeInterval is the time between two rounds of notices. In a small fleet each
	// round goes to all nodes.
	noticeInterval = 250 * time.Millisecond
	// smallFleetSize is the number of hosts up to which each sends its report to all.
	smallFleetSize = 24
	// reportRounds is the number of rounds in a large fleet in which a host sends its
	// report to the carriers of its zone once, and a carrier the summaries of all zones
	// to the hosts of its zone.
	reportRounds = 2
	// askTimeout bounds a request for records or a configuration.
	askTimeout = time.Second
)

// A schedule is the state of the exchange of notices.
type schedule struct {
	lastRound time.Time
	rounds    int
	// evacuationChanges is the change count of the evacuations that were sent last.
	evacuationChanges uint64
	// version is the version of the configuration in the last round, and storeEra the era of
	// the store.
	version, storeEra uint64
	// hostChanges and linkChanges are the change counts at which all hosts had a trunk.
	hostChanges, linkChanges uint64
	allConnected             bool
	// strikesHostChanges and strikesLinkChanges are the change counts at which strikes were
	// last sent to all hosts that need them, if strikesSent is set.
	strikesHostChanges, strikesLinkChanges uint64
	strikesSent                            bool
	// silentZones is when a host of a zone last stopped to respond.
	silentZones map[string]time.Time
}

// largeFleet reports whether the fleet is so large that carriers summarize the loads of their
// zones and watch the store for them.
func (m *Mesh) largeFleet() bool { return m.directory.Size() > smallFleetSize }

// exchange sends the own record where it has changed, and the notices that are due. A new
// version of the configuration, a new era of the store and changed evacuations are announced
// at once.
func (m *Mesh) exchange() {
	m.announceRecord()
	m.announceEvacuations()
	m.sendStrikes()
	m.announceStoreCheck()
	now, version, era := m.clock.Now(), m.delegate.ConfigurationVersion(), m.delegate.StoreEra()
	due := now.Sub(m.schedule.lastRound) >= noticeInterval
	changed := version != m.schedule.version || era != m.schedule.storeEra
	if !due && !changed {
		return
	}
	m.schedule.version, m.schedule.storeEra = version, era
	if due {
		m.schedule.lastRound = now
		m.schedule.rounds++
	}
	if !m.largeFleet() {
		report := m.delegate.Report()
		m.send(m.hostLinks(nil), Notice{Demand: m.delegate.Demand(), Rates: m.delegate.RateStatements(), Report: &report})
		return
	}
	m.exchangeSummaries(changed || m.schedule.rounds%reportRounds == 0)
}

// announceRecord sends the own record on each trunk on which it wasn't sent since it
// changed.
func (m *Mesh) announceRecord() {
	own := m.own()
	m.mu.Lock()
	var links []*link
	for l := range m.links {
		if l.sentRecord != own {
			l.sentRecord = own
			links = append(links, l)
		}
	}
	m.mu.Unlock()
	m.send(links, Notice{Host: own})
}

// announceEvacuations sends changed evacuations to all hosts or, in a large fleet, to the
// carriers of the zone, which send them to its hosts and to the carriers of other zones.
func (m *Mesh) announceEvacuations() {
	changes := m.delegate.EvacuationChanges()
	if changes == m.schedule.evacuationChanges {
		return
	}
	m.schedule.evacuationChanges = changes
	if !m.largeFleet() {
		m.send(m.hostLinks(nil), Notice{})
		return
	}
	own := m.own()
	zones := m.reachableByZone()
	receivers := zoneload.Carriers(own.Zone, append(zones[own.Zone], own.Name))
	if slices.Contains(receivers, own.Name) || m.loads.Carries() {
		receivers = append(foreignCarriers(own.Zone, zones), zones[own.Zone]...)
	}
	m.send(m.hostLinks(receivers), Notice{})
}

// exchangeSummaries sends the report of this host to the carriers of its zone. If other
// hosts report to this one, it sends the summary of the zone to the carriers of other
// zones. If all is set, it also sends the summaries of all zones to the hosts of its own.
func (m *Mesh) exchangeSummaries(all bool) {
	own := m.own()
	zones := m.reachableByZone()
	report := m.delegate.Report()
	carriers := zoneload.Carriers(own.Zone, append(zones[own.Zone], own.Name))
	if all {
		m.send(m.hostLinks(carriers), Notice{ZoneReport: &report})
	}
	if !slices.Contains(carriers, own.Name) && !m.loads.Carries() {
		return
	}
	if err := m.loads.RecordReport(own.Name, report); err != nil {
		m.log.Emit(event.NoticeUnreadable, log.Fields{"error": err.Error(), "kind": "own report"})
	}
	summary, ok := m.loads.Summarize()
	if !ok {
		return
	}
	m.send(m.hostLinks(foreignCarriers(own.Zone, zones)), Notice{Summaries: []zoneload.Summary{summary}, StoreCheck: m.storeCheck()})
	if all {
		m.send(m.hostLinks(zones[own.Zone]), Notice{Summaries: m.loads.Summaries(), StoreCheck: m.storeCheck()})
	}
}

// foreignCarriers returns the carriers of the other zones.
func foreignCarriers(own string, zones map[string][]string) []string {
	var carriers []string
	for zone, hosts := range zones {
		if zone != own {
			carriers = append(carriers, zoneload.Carriers(zone, hosts)...)
		}
	}
	return carriers
}

// reachableByZone returns the hosts that respond and don't leave, by zone.
func (m *Mesh) reachableByZone() map[string][]string {
	zones := make(map[string][]string)
	for _, name := range m.Hosts() {
		if h, ok := m.directory.Host(name); ok && !h.Leaving {
			zones[h.Zone] = append(zones[h.Zone], name)
		}
	}
	return zones
}

// hostLinks returns the links to hosts that respond; of all hosts if hosts is nil.
func (m *Mesh) hostLinks(hosts []string) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	var links []*link
	if hosts == nil {
		for _, l := range m.byHost {
			links = append(links, l)
		}
		return links
	}
	for _, h := range hosts {
		if l := m.byHost[h]; l != nil && !l.silent {
			links = append(links, l)
		}
	}
	return links
}

// send sends a notice, with the name of this host, the version of its configuration and the
// evacuations that it knows, on links.
// era of the store, on links.
func (m *Mesh) send(links []*link, n Notice) {
	if len(links) == 0 {
		return
	}
	n.Protocol, n.Version, n.StoreEra = ProtocolVersion, m.delegate.ConfigurationVersion(), m.delegate.StoreEra()
	n.Evacuations = m.delegate.Evacuations()
	if n.Host.Name == "" {
		n.Host.Name = m.own().Name
	}
	encoded, err := trunk.EncodeNotice(n)
	if err != nil {
		m.log.Emit(event.NoticeUnreadable, log.Fields{"error": err.Error(), "kind": "own notice"})
		return
	}
	for _, l := range links {
		// A trunk that fails to send closes itself, which is logged.
		_ = l.trunk.NotifyEncoded(encoded)
	}
}

// askHosts asks the node at the other end of a new link for the records of all hosts,
// unless another node has sent them. The store has them too, but may be away, and the own
// record of an earlier process may be newer at other nodes.
func (m *Mesh) askHosts(l *link) {
	m.mu.Lock()
	claimed := !m.askedHosts
	m.askedHosts = true
	m.mu.Unlock()
	if !claimed {
		return
	}
	ctx, cancel := context.WithTimeout(m.ctx, askTimeout)
	defer cancel()
	var reply hostsReply
	if err := l.call(ctx, request{Hosts: true}, &reply, true); err != nil {
		// Another node is asked when the next link is opened.
		m.mu.Lock()
		m.askedHosts = false
		m.mu.Unlock()
		return
	}
	for _, h := range reply.Hosts {
		if err := h.Validate(m.clock.Now()); err != nil {
			m.log.Emit(event.NoticeUnreadable, log.Fields{"error": err.Error(), "kind": "host record"})
			continue
		}
		m.mergeRecord(h, "peer")
	}
	m.delegate.HandleKnownHosts()
}

// HandleNotice implements trunk.Handler.
func (l *link) HandleNotice(body []byte) {
	m := l.mesh
	var n Notice
	if err := trunk.Decode(body, &n); err != nil || n.Protocol != ProtocolVersion || n.Host.Name == "" {
		m.log.Emit(event.NoticeUnreadable, log.Fields{"error": fmt.Sprint(err), "protocol": n.Protocol})
		return
	}
	m.setHost(l, n.Host.Name)
	m.mergeRecord(n.Host, n.Host.Name)
	for _, account := range n.Returned {
		m.delegate.HandleReturned(account)
	}
	m.delegate.HandleStoreEra(n.Host.Name, n.StoreEra)
	if len(n.Evacuations) > 0 {
		// They come before the check, which says that nothing is newer in the store.
		m.delegate.HandleEvacuations(n.Host.Name, n.Evacuations)
	}
	if n.Version > m.delegate.ConfigurationVersion() {
		m.fetchConfiguration(l, n.Host.Name)
	} else {
		m.handleStoreCheck(n.StoreCheck, n.StoreEra)
	}
	if n.Demand != nil || n.Rates.Process != 0 {
		m.delegate.HandleDemand(n.Host.Name, n.Demand, n.Rates)
	}
	if len(n.Strikes) > 0 {
		m.delegate.HandleStrikes(n.Strikes)
	}
	m.handleLoads(n)
}

// handleLoads records the loads in a notice. Those that are not valid are logged and
// dropped.
func (m *Mesh) handleLoads(n Notice) {
	var faults []error
	if n.Report != nil {
		if err := n.Report.Validate(); err != nil {
			faults = append(faults, fmt.Errorf("report of host %s: %w", n.Host.Name, err))
		} else {
			m.delegate.HandleReport(n.Host.Name, *n.Report)
		}
	}
	if n.ZoneReport != nil {
		switch h, ok := m.directory.Host(n.Host.Name); {
		case !ok || h.Zone != m.own().Zone:
			faults = append(faults, fmt.Errorf("report of host %s: %w", n.Host.Name, zoneload.ErrForeignZone))
		case h.Leaving:
			m.loads.Forget(h.Name)
		default:
			faults = append(faults, m.loads.RecordReport(h.Name, *n.ZoneReport))
		}
	}
	for _, s := range n.Summaries {
		carrier, _ := m.directory.Host(s.Carrier)
		if err := m.loads.RecordSummary(s, carrier.Zone, m.directory.ZoneSize(s.Zone)); !errors.Is(err, zoneload.ErrStale) {
			faults = append(faults, err)
		}
	}
	if err := errors.Join(faults...); err != nil {
		m.log.Emit(event.NoticeUnreadable, log.Fields{"error": err.Error(), "from": n.Host.Name, "kind": "load"})
	}
}

// fetchConfiguration fetches the configuration of a host's node that has a newer one, unless
// one is being fetched. If that fails, the next notice of a node tries again.
func (m *Mesh) fetchConfiguration(l *link, host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fetching || m.closed {
		return
	}
	m.fetching = true
	m.tasks.Go(func() {
		defer func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.fetching = false
		}()
		ctx, cancel := context.WithTimeout(m.ctx, askTimeout)
		defer cancel()
		version := m.delegate.ConfigurationVersion()
		called := m.clock.Now()
		var reply configurationReply
		if err := l.call(ctx, request{Configuration: &version}, &reply, true); err != nil {
			m.log.Emit(event.ConfigurationUnfetched, log.Fields{
				"from": host, "error": err.Error(), "took": m.clock.Now().Sub(called).String(),
			})
			return
		}
		if len(reply.Content) > 0 {
			m.delegate.ApplyConfiguration(host, reply.Version, reply.Content)
		}
	})
}

// mergeRecord merges the record of a host into the directory; from is its source.
func (m *Mesh) mergeRecord(h fleet.Host, from string) {
	if h.Name == m.own().Name {
		m.delegate.HandleOwnRecord(h)
		return
	}
	if m.directory.Merge(h) {
		m.log.Emit(event.HostChanged, log.Fields{
			"peer": h.Name, "backend-server": h.Backend.ID, "state": h.Backend.State, "leaving": h.Leaving,
			"incarnation": h.Incarnation, "revision": h.Revision, "from": from,
		})
	}
}
