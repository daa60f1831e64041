package grantnet

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bilberryvane/bilberryvane/rate"
)

// A Spec describes a fleet.
type Spec struct {
	// Zones is the number of availability zones.
	Zones int
	// SubHolders is the number of sub-holders a zone; entry nodes ask the holder
	// itself where there are none.
	SubHolders int
	// Entries is the number of entry nodes a zone.
	Entries int
	// Limits are those of the client accounts over the whole fleet.
	Limits map[string]rate.Limit
	// TenureDuration is how long a holder's tenure lasts; it is extended at half time.
	TenureDuration time.Duration
	// EntryOptions, SubHolderOptions and HolderOptions set up the ledgers.
	EntryOptions     []rate.Option
	SubHolderOptions []rate.Option
	HolderOptions    []rate.Option
	// NoCrossZoneRequests keeps zones from asking each other.
	NoCrossZoneRequests bool
}

// A Fleet is a network of holders, sub-holders and entry nodes in zones.
type Fleet struct {
	*Network
	// Entries and SubHolders are by zone.
	Entries    [][]*Node
	SubHolders [][]*Node

	spec           Spec
	holders        [][]*holder
	subHolderNodes map[string]*Node
	processes      int
	random         *rand.Rand
}

// A holder is a node with a tenure over a zone's share.
type holder struct {
	node  *Node
	until time.Time
	// deposed holders get no further extension.
	deposed bool
}

// resolverFunc adapts a function to rate.Router.
type resolverFunc func() []string

// Receivers returns the receivers for any account.
func (r resolverFunc) Receivers(string) []string { return r() }

// NewFleet returns a fleet whose holders begin their first tenure now.
func NewFleet(start time.Time, random *rand.Rand, faults Faults, plan Spec) *Fleet {
	f := &Fleet{spec: plan, subHolderNodes: map[string]*Node{}, random: random}
	f.Network = New(start, random, faults, f.resolveName)
	f.Entries = make([][]*Node, plan.Zones)
	f.SubHolders = make([][]*Node, plan.Zones)
	f.holders = make([][]*holder, plan.Zones)
	for z := range plan.Zones {
		f.Elect(z)
		for i := range plan.SubHolders {
			node := f.newNode(z, fmt.Sprintf("sub-holder-%d-%d", z, i))
			f.SubHolders[z] = append(f.SubHolders[z], node)
			f.RestartSubHolder(z, i)
		}
		for i := range plan.Entries {
			node := f.newNode(z, fmt.Sprintf("entry-%d-%d", z, i))
			f.Entries[z] = append(f.Entries[z], node)
			f.RestartEntry(z, i)
		}
	}
	return f
}

// Share returns a zone's share of an account: an equal part.
func (f *Fleet) Share(account string) (rate.Limit, bool) {
	l, ok := f.spec.Limits[account]
	return l.Scale(1 / float64(f.spec.Zones)), ok
}

// Configure changes the limit of an account at all holders.
func (f *Fleet) Configure(account string, limit rate.Limit) {
	f.spec.Limits[account] = limit
	for _, zone := range f.holders {
		for _, h := range zone {
			if h.node.Limiter != nil {
				h.node.Limiter.Configure(f.Now.Add(h.node.ClockOffset))
			}
		}
	}
}

// Elect gives the share of a zone to a new holder, whose tenure begins when that
// of the present one ends. The old one stays reachable.
func (f *Fleet) Elect(zone int) *Node {
	from := f.Now
	for _, h := range f.holders[zone] {
		h.deposed = true
		if h.until.After(from) {
			from = h.until
		}
	}
	node := f.newNode(zone, f.newIdentity(fmt.Sprintf("holder-%d", zone)))
	h := &holder{node: node, until: from.Add(f.spec.TenureDuration)}
	tenure := rate.Tenure{From: from.Add(node.ClockOffset), Until: h.until.Add(node.ClockOffset)}
	lenders := resolverFunc(func() []string { return f.otherZones(zone) })
	node.Limiter = rate.NewHolderLimiter(node.Name, tenure, f, lenders, f.spec.HolderOptions...)
	f.holders[zone] = append(f.holders[zone], h)
	return node
}

// Holder returns the node that was last elected in a zone.
func (f *Fleet) Holder(zone int) *Node {
	return f.holders[zone][len(f.holders[zone])-1].node
}

// RestartEntry gives an entry node a new process without memory.
func (f *Fleet) RestartEntry(zone, index int) {
	node := f.Entries[zone][index]
	receivers := resolverFunc(func() []string { return append([]string{f.above(zone, index)}, f.otherZones(zone)...) })
	f.RestartNode(node, rate.NewLimiter(f.newIdentity(node.Name), receivers, f.spec.EntryOptions...))
}

// RestartSubHolder gives a sub-holder a new process without memory.
func (f *Fleet) RestartSubHolder(zone, index int) {
	node := f.SubHolders[zone][index]
	if node.Limiter != nil {
		delete(f.subHolderNodes, node.Limiter.Identity())
	}
	receivers := resolverFunc(func() []string { return []string{zoneName(zone)} })
	f.RestartNode(node, rate.NewLimiter(f.newIdentity(node.Name), receivers, f.spec.SubHolderOptions...))
	f.subHolderNodes[node.Limiter.Identity()] = node
}

// longestStep is the longest time in which no node acts.
const longestStep = 5 * time.Millisecond

// Advance moves the time, extends the tenures that are due, and lets nodes act.
func (f *Fleet) Advance(total time.Duration) {
	for total > 0 {
		step := min(total, longestStep)
		f.extendAll()
		f.Network.Advance(step)
		total -= step
	}
}

func (f *Fleet) extendAll() {
	for _, zone := range f.holders {
		for _, h := range zone {
			f.extend(h)
		}
	}
}

// extend prolongs the tenure of a holder that runs and was not deposed.
func (f *Fleet) extend(h *holder) {
	paused := f.Now.Before(h.node.PausedUntil)
	if h.deposed || paused || h.node.Limiter == nil || h.until.Sub(f.Now) > f.spec.TenureDuration/2 {
		return
	}
	until := f.Now.Add(f.spec.TenureDuration)
	if h.node.Limiter.Extend(f.Now.Add(h.node.ClockOffset), until.Add(h.node.ClockOffset)) {
		h.until = until
	}
}

// above returns the receiver that an entry node asks.
func (f *Fleet) above(zone, index int) string {
	subs := f.SubHolders[zone]
	for i := range subs {
		node := subs[(index+i)%len(subs)]
		if node.Limiter != nil {
			return node.Limiter.Identity()
		}
	}
	return zoneName(zone)
}

func (f *Fleet) otherZones(zone int) []string {
	if f.spec.NoCrossZoneRequests {
		return nil
	}
	var names []string
	for z := range f.spec.Zones {
		if z != zone {
			names = append(names, zoneName(z))
		}
	}
	return names
}

// resolveName returns the nodes that answer under a receiver's name: for a zone
// all its holders, old ones included, once the newest has begun.
func (f *Fleet) resolveName(receiver string) []*Node {
	if node, ok := f.subHolderNodes[receiver]; ok {
		return []*Node{node}
	}
	var nodes []*Node
	for z := range f.spec.Zones {
		if zoneName(z) != receiver {
			continue
		}
		for _, h := range f.holders[z] {
			if h.node.Limiter != nil {
				nodes = append(nodes, h.node)
			}
		}
	}
	return nodes[max(0, len(nodes)-2):]
}

func (f *Fleet) newNode(zone int, name string) *Node {
	node := &Node{Name: name, Zone: zoneName(zone), ClockOffset: time.Duration(f.random.Intn(1000)) * time.Second}
	f.Add(node)
	return node
}

// newIdentity returns a name for a new process.
func (f *Fleet) newIdentity(name string) string {
	f.processes++
	return fmt.Sprintf("%s#%d", name, f.processes)
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }
