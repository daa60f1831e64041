package sidecar

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/evacuation"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
)

const (
	// coveredTakeBackDelay is how long a host that others watch the store for waits for them to
	// take back a zone.
	coveredTakeBackDelay = 500 * time.Millisecond
	// takeBackInterval is the least time between two reads to take zones back.
	takeBackInterval = time.Second
)

// evacuations applies the operator's evacuations of availability zones to this node.
type evacuations struct {
	register  *evacuation.Register
	gate      *evacuation.Gate
	zone      string
	directory *fleet.Directory
	clock     clock.Clock
	log       event.Log
	onChange  func()
	// onTakeBack is called before requests may reach the backend server again.
	onTakeBack func()

	// takeBackReadAt is when the table was last read to take zones back. It is used by one
	// goroutine.
	takeBackReadAt time.Time

	// applying is held while the register is read and applied, so that an older state doesn't
	// replace a newer one.
	applying sync.Mutex
}

func newEvacuations(zone string, d *fleet.Directory, c clock.Clock, l event.Log, onChange func()) *evacuations {
	return &evacuations{
		register: evacuation.NewRegister(), gate: evacuation.NewGate(),
		zone: zone, directory: d, clock: c, log: l, onChange: onChange,
	}
}

// applySnapshot applies all rows of the table that holds the evacuations. zoneOf returns the
// zone that a key evacuates.
func (e *evacuations) applySnapshot(rows Rows, zoneOf func(string) (string, bool)) {
	changed, err := e.register.MergeRead(e.clock.Now(), evacuation.Moment{Era: rows.Era.Number, Version: rows.Version}, evacuationStates(rows, zoneOf))
	e.applied(changed, err, "store")
}

// applyChanges applies changed rows of that table.
func (e *evacuations) applyChanges(rows Rows, zoneOf func(string) (string, bool)) {
	e.merge(evacuationStates(rows, zoneOf), "store")
}

// takeBackDue reports whether a full read is due because it takes back zones that were evacuated
// in an earlier era of the store. covered reports whether others watch the store for this host.
func (e *evacuations) takeBackDue(covered func() bool) bool {
	now := e.clock.Now()
	at, ok := e.register.TakeBackDue()
	if !ok || now.Before(at) || now.Sub(e.takeBackReadAt) < takeBackInterval {
		return false
	}
	if now.Before(at.Add(coveredTakeBackDelay)) && covered() {
		return false
	}
	e.takeBackReadAt = now
	return true
}

// merge applies states from the store or from the host with the name.
func (e *evacuations) merge(states []evacuation.State, from string) {
	changed, err := e.register.Merge(states...)
	e.applied(changed, err, from)
}

// evacuationStates returns the states of zones in rows. The value of a row doesn't matter: the
// request lies in its key.
func evacuationStates(rows Rows, zoneOf func(string) (string, bool)) []evacuation.State {
	var states []evacuation.State
	for _, r := range rows.Rows {
		if zone, ok := zoneOf(r.Key); ok {
			states = append(states, evacuation.State{
				Zone: zone, Evacuated: !r.Removed, Since: evacuation.Moment{Era: rows.Era.Number, Version: r.Version},
			})
		}
	}
	return states
}

// applied applies the register after zones have changed, and logs the changes and the fault of
// states that are not used.
func (e *evacuations) applied(changed []evacuation.State, fault error, from string) {
	if fault != nil {
		e.log.Emit(event.EvacuationIgnored, log.Fields{"error": fault.Error(), "from": from})
	}
	if len(changed) == 0 {
		return
	}
	e.applying.Lock()
	e.directory.SetEvacuated(e.register.Zones())
	evacuated := e.register.Evacuated(e.zone)
	if !evacuated && e.gate.Evacuated() {
		e.onTakeBack()
	}
	e.gate.Set(evacuated)
	e.applying.Unlock()
	e.onChange()
	for _, s := range changed {
		what := event.ZoneTakenBack
		if s.Evacuated {
			what = event.ZoneEvacuated
		}
		e.log.Emit(what, log.Fields{
			"zone": s.Zone, "hosts": e.directory.ZoneSize(s.Zone), "era": s.Since.Era, "version": s.Since.Version, "from": from,
		})
	}
}
