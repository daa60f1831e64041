// Package evacuation keeps which availability zones the operator has evacuated. The requests
// lie in the platform's store; nodes learn of them from the store and from each other, late,
// repeatedly and in any order. Package mesh passes them on; packages fleet, relay and demand
// apply them.
package evacuation

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// maxZoneBytes is the maximum length of the name of a zone.
	maxZoneBytes = 128
	// maxZones is the maximum number of zones in a Register.
	maxZones = 256
	// rewriteTime is the time that the operator has to write requests again after the store came
	// back from an older copy.
	rewriteTime = 10 * time.Second
)

// Errors of states that are not used.
var (
	// ErrInvalidZone reports that the name of a zone is empty or too long.
	ErrInvalidZone = errors.New("the name of the zone is empty or too long")
	// ErrTooManyZones reports that a Register already holds the maximum number of zones, and none
	// that was taken back before.
	ErrTooManyZones = errors.New("there are too many zones")
)

// A Moment is a transaction of the platform's store.
type Moment struct {
	// Era increases when the store comes back from an older copy. Versions then go back.
	Era uint64 `cbor:"1,keyasint,omitempty"`
	// Version is the number of the transaction in its era.
	Version uint64 `cbor:"2,keyasint"`
}

// After reports whether m is later than o.
func (m Moment) After(o Moment) bool {
	return cmp.Or(cmp.Compare(m.Era, o.Era), cmp.Compare(m.Version, o.Version)) > 0
}

// A State says whether a zone is evacuated since a moment.
type State struct {
	Zone      string `cbor:"1,keyasint"`
	Evacuated bool   `cbor:"2,keyasint,omitempty"`
	Since     Moment `cbor:"3,keyasint"`
}

// newer reports whether s replaces o. At the same moment, an evacuation goes first.
func (s State) newer(o State) bool {
	if s.Since == o.Since {
		return s.Evacuated && !o.Evacuated
	}
	return s.Since.After(o.Since)
}

// older reports whether s is dropped before o. The name decides between states of one moment,
// so that all registers keep the same ones.
func (s State) older(o State) bool {
	if s.Since == o.Since {
		return s.Zone < o.Zone
	}
	return o.Since.After(s.Since)
}

func (s State) validate() error {
	if s.Zone == "" || len(s.Zone) > maxZoneBytes {
		return fmt.Errorf("%d bytes: %w", len(s.Zone), ErrInvalidZone)
	}
	return nil
}

// A Register holds the latest known state of each zone. A zone without a state isn't
// evacuated. If there are too many, the oldest states of zones that were taken back are
// dropped. A Register is safe for concurrent use.
type Register struct {
	// mu guards the fields below.
	mu     sync.Mutex
	states map[string]State
	// read is the moment of the latest full read of the store, if hasRead is set.
	read    Moment
	hasRead bool
	// eraReadAt is when the era of that read was first read.
	eraReadAt time.Time
	changes   uint64
}

// NewRegister returns a Register in which no zone is evacuated.
func NewRegister() *Register { return &Register{states: make(map[string]State)} }

// Merge applies states of single zones and returns the zones that became evacuated or were
// taken back by them. The error says which states are not used; the others are.
func (r *Register) Merge(states ...State) ([]State, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mergeAll(states)
}

// MergeRead applies a full read of the store, which holds all evacuated zones as of a moment.
// Other zones are taken back as of then. If the store came back from an older copy less than
// rewriteTime ago, zones that were evacuated before stay so: their requests were acknowledged,
// and the operator may not have written them again. The results are those of Merge.
func (r *Register) MergeRead(now time.Time, at Moment, evacuated []State) ([]State, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasRead && r.read.After(at) {
		return r.mergeAll(evacuated)
	}
	if !r.hasRead || r.read.Era != at.Era {
		r.eraReadAt = now
	}
	rewritten := now.Sub(r.eraReadAt) >= rewriteTime
	present := make(map[string]bool, len(evacuated))
	for _, s := range evacuated {
		present[s.Zone] = true
	}
	// Zones that are taken back make room for others.
	var changed []State
	for zone, s := range r.states {
		if !s.Evacuated || present[zone] || s.Since.After(at) || s.Since.Era != at.Era && !rewritten {
			continue
		}
		changed = append(changed, r.set(State{Zone: zone, Since: at})...)
	}
	started, err := r.mergeAll(evacuated)
	r.read, r.hasRead = at, true
	return append(changed, started...), err
}

// mergeAll merges states; mu must be held.
func (r *Register) mergeAll(states []State) ([]State, error) {
	var changed []State
	var faults []error
	for _, s := range states {
		c, err := r.merge(s)
		changed = append(changed, c...)
		faults = append(faults, err)
	}
	return changed, errors.Join(faults...)
}

// merge merges a state unless a newer one is known. A full read that is later than the state
// says more about the zone. mu must be held.
func (r *Register) merge(s State) ([]State, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	known, ok := r.states[s.Zone]
	if ok && !s.newer(known) {
		return nil, nil
	}
	if r.hasRead && s.Since.Era == r.read.Era && !s.Since.After(r.read) {
		if known.Evacuated && known.Since.Era == r.read.Era {
			return nil, nil
		}
		// Its sender has to learn that the zone was taken back.
		s = State{Zone: s.Zone, Since: r.read}
	}
	if !ok && !r.makeRoom(s) {
		if !s.Evacuated {
			return nil, nil // The zone isn't evacuated without a state either.
		}
		return nil, fmt.Errorf("zone %q: %w", s.Zone, ErrTooManyZones)
	}
	return r.set(s), nil
}

// makeRoom reports whether there is a place for the state of an unknown zone. If all are used,
// it drops the oldest state of a zone that was taken back, unless s is one that is older. mu
// must be held.
func (r *Register) makeRoom(s State) bool {
	if len(r.states) < maxZones {
		return true
	}
	oldest, found := s, false
	for _, o := range r.states {
		if o.Evacuated {
			continue
		}
		if !found && s.Evacuated || o.older(oldest) {
			oldest, found = o, true
		}
	}
	if found {
		delete(r.states, oldest.Zone)
	}
	return found
}

// set stores a state and returns it if it changes whether its zone is evacuated. mu must be
// held.
func (r *Register) set(s State) []State {
	before := r.states[s.Zone].Evacuated
	r.states[s.Zone] = s
	r.changes++
	if s.Evacuated == before {
		return nil
	}
	return []State{s}
}

// TakeBackDue returns the time from which a full read takes back the zones that were evacuated
// in an earlier era of the store than that of the last read, and false if there are none.
func (r *Register) TakeBackDue() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.states {
		if r.hasRead && s.Evacuated && s.Since.Era < r.read.Era {
			return r.eraReadAt.Add(rewriteTime), true
		}
	}
	return time.Time{}, false
}

// Evacuated reports whether a zone is evacuated.
func (r *Register) Evacuated(zone string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.states[zone].Evacuated
}

// Zones returns the evacuated zones, sorted by name.
func (r *Register) Zones() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zones []string
	for zone, s := range r.states {
		if s.Evacuated {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// States returns the known states, sorted by zone.
func (r *Register) States() []State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.states), func(a, b State) int { return cmp.Compare(a.Zone, b.Zone) })
}

// Changes returns a counter that increases with each change of a state, so that callers can
// detect one.
func (r *Register) Changes() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changes
}
