package mesh

import "github.com/bilberryvane/bilberryvane/quarantine"

// Publish sends strikes of requests that crash backend servers to the hosts that offer the
// same service as this one. It implements suspects.Publisher and does not block.
func (m *Mesh) Publish(_ string, strikes []quarantine.Rumour) error {
	m.mu.Lock()
	m.strikes = append(m.strikes, strikes...)
	m.mu.Unlock()
	m.TriggerNotices()
	return nil
}

// sendStrikes sends the strikes that are to be published, and all that are known to hosts
// that may not have them: those on a new trunk.
func (m *Mesh) sendStrikes() {
	service := m.own().Backend.Service
	if service == "" {
		return
	}
	s := &m.schedule
	hostChanges, linkChanges := m.directory.Changes(), m.Changes()
	m.mu.Lock()
	published := m.strikes
	m.strikes = nil
	if len(published) == 0 && s.strikesSent && s.strikesHostChanges == hostChanges && s.strikesLinkChanges == linkChanges {
		m.mu.Unlock()
		return
	}
	s.strikesSent, s.strikesHostChanges, s.strikesLinkChanges = true, hostChanges, linkChanges
	var peers, uninformed []*link
	for host, l := range m.byHost {
		if h, ok := m.directory.Host(host); !ok || h.Backend.Service != service {
			continue
		}
		if l.sentStrikes {
			peers = append(peers, l)
		} else {
			l.sentStrikes = true
			uninformed = append(uninformed, l)
		}
	}
	m.mu.Unlock()
	if len(published) > 0 {
		m.send(peers, Notice{Strikes: published})
	}
	if len(uninformed) == 0 {
		return
	}
	if known := m.delegate.Strikes(); len(known) > 0 {
		m.send(uninformed, Notice{Strikes: known})
	}
}
