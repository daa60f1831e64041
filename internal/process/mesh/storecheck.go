package mesh

import (
	"math"
	"time"
)

// A StoreCheck is a check that the platform's store holds no newer configuration than the
// sender of a notice has, made by the sender or by another host. It holds for the moment of
// the check only. The receiver has to know its age, also if the sender was paused or the
// notice was delayed, so both ways to tell the age are sent, and the greater age counts.
type StoreCheck struct {
	// Age is the age of the check when the notice was sent, by the sender's clock.
	Age time.Duration `cbor:"1,keyasint"`
	// At is the time of the check in Unix milliseconds by the sender's clock.
	At int64 `cbor:"2,keyasint"`
}

// RecordStoreCheck records that this node has checked that the store holds no newer
// configuration, with a call that began at a time, and announces it.
func (m *Mesh) RecordStoreCheck(at time.Time) {
	era := m.delegate.StoreEra()
	m.mu.Lock()
	m.checkedHere = m.recordCheck(at, era) || m.checkedHere
	m.mu.Unlock()
	m.TriggerNotices()
}

// recordCheck records a check in an era of the store and reports whether no later one of that
// era is known. mu must be held.
func (m *Mesh) recordCheck(at time.Time, era uint64) bool {
	latest := era != m.checkedEra || at.After(m.checkedAt)
	if latest {
		m.checkedAt, m.checkedEra = at, era
	}
	return latest
}

// StoreCheckAge returns the time since the store was last known to hold no newer
// configuration. If the process was paused, its monotonic clock may not count the pause,
// so the wall clock is read too. A check of an earlier era of the store doesn't count.
func (m *Mesh) StoreCheckAge() time.Duration {
	era := m.delegate.StoreEra()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checkedAt.IsZero() || m.checkedEra != era {
		return math.MaxInt64
	}
	now := m.clock.Now()
	return max(now.Sub(m.checkedAt), now.Round(0).Sub(m.checkedAt.Round(0)))
}

// storeCheck returns the last check for a notice, or the zero value if there is none.
func (m *Mesh) storeCheck() StoreCheck {
	age := m.StoreCheckAge()
	if age == math.MaxInt64 {
		return StoreCheck{}
	}
	return StoreCheck{Age: age, At: m.clock.Now().Add(-age).UnixMilli()}
}

// handleStoreCheck records the check of a notice whose version is not newer than that of this
// node, unless its sender doesn't know the current era of the store.
func (m *Mesh) handleStoreCheck(c StoreCheck, era uint64) {
	if c == (StoreCheck{}) || c.Age < 0 || era != m.delegate.StoreEra() {
		return
	}
	now := m.clock.Now()
	age := max(c.Age, now.Round(0).Sub(time.UnixMilli(c.At)))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordCheck(now.Add(-age), era)
}

// announceStoreCheck sends a new check of this node to all hosts or, in a large fleet, to the
// hosts of its zone and the carriers of the others, so that they need not make their own.
func (m *Mesh) announceStoreCheck() {
	m.mu.Lock()
	announce := m.checkedHere
	m.checkedHere = false
	m.mu.Unlock()
	switch {
	case !announce:
		return
	case !m.largeFleet():
		m.send(m.hostLinks(nil), Notice{StoreCheck: m.storeCheck()})
		return
	}
	own := m.own().Zone
	zones := m.reachableByZone()
	m.send(m.hostLinks(append(foreignCarriers(own, zones), zones[own]...)), Notice{StoreCheck: m.storeCheck()})
}
