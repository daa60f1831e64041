package membership

import (
	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/member"
)

// logChanges logs the membership changes and the detected pause of one step.
func (m *Membership) logChanges(out member.Output) {
	if out.Frozen > 0 {
		m.log.Emit(event.ProcessFrozen, log.Fields{"seconds": out.Frozen.Seconds()})
	}
	for _, c := range out.Changes {
		if e, ok := eventOf(c); ok {
			m.log.Emit(e, log.Fields{"peer": c.After.Host, "incarnation": c.After.Incarnation})
		}
	}
}

// eventOf returns the event for a change, or false if the change is not logged.
func eventOf(c member.Change) (event.Event, bool) {
	switch {
	case c.Restarted() && c.After.Present():
		return event.PeerRestarted, true
	case c.After.Status == member.Left:
		return event.PeerLeft, true
	case c.After.Status == member.Dead:
		return event.PeerLost, true
	case c.After.Status == member.Suspect:
		return event.PeerSuspected, true
	case c.Before.Host == "" || c.Before.Status == member.Dead:
		return event.PeerJoined, true
	case c.After.Draining && !c.Before.Draining:
		return event.PeerDraining, true
	}
	return event.Event{}, false
}

// logZoneChanges logs zones that became unreachable or reachable.
func (m *Membership) logZoneChanges() {
	for _, z := range m.Zones() {
		m.mu.Lock()
		wasUnreachable := m.unreachableZones[z.Name]
		m.unreachableZones[z.Name] = !z.Reachable
		m.mu.Unlock()
		if wasUnreachable == !z.Reachable {
			continue
		}
		e := event.ZoneReachable
		if !z.Reachable {
			e = event.ZoneUnreachable
		}
		m.log.Emit(e, log.Fields{"peer-zone": z.Name})
	}
}
