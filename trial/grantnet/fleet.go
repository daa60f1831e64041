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
	// SubHolders is the number of sub-holders per zone; without any, entry nodes send
	// their requests to the holder.
	SubHolders int
	// Entries is the number of entry nodes per zone.
	Entries int
	// Limits are the fleet-wide limits by client account.
	Limits map[string]rate.Limit
	// TenureDuration is the length of a holder's tenure; it is extended when at most
	// half of it is left.
	TenureDuration time.Duration
	// EntryOptions, SubHolderOptions and HolderOptions configure the limiters.
	EntryOptions     []rate.Option
	SubHolderOptions []rate.Option
	HolderOptions    []rate.Option
	// NoCrossZoneRequests disables grant requests to other zones.
	NoCrossZoneRequests bool
}

// A Fleet is a network of holders, sub-holders and entry nodes in zones.
type Fleet struct {
	*Network
	// Entries and SubHolders are indexed by zone.
	Entries    [][]*Node
	SubHolders [][]*Node

	spec           Spec
	holders        [][]*holder
	subHolderNodes map[string]*Node
	processes      int
	random         *rand.Rand
}

// A holder is a node with a tenure for the share of a zone.
type holder struct {
	node  *Node
	until time.Time
	// deposed is set once a newer holder was elected; the tenure is no longer extended.
	deposed bool
}

// resolverFunc adapts a function to rate.ReceiverResolver.
type resolverFunc func() []string

// Receivers implements rate.ReceiverResolver, with the same receivers for all accounts.
func (r resolverFunc) Receivers(string) []string { return r() }

// NewFleet returns a fleet in which the first tenure of each holder begins at start.
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

// Share returns the share of a zone in an account's limit, equal for all zones.
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

// Elect adds a new holder for a zone, whose tenure begins when that of the current
// holder ends. The previous holder stays reachable.
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

// Holder returns the most recently elected holder node of a zone.
func (f *Fleet) Holder(zone int) *Node {
	return f.holders[zone][len(f.holders[zone])-1].node
}

// RestartEntry starts a new process without state on an entry node.
func (f *Fleet) RestartEntry(zone, index int) {
	node := f.Entries[zone][index]
	receivers := resolverFunc(func() []string { return append([]string{f.upstreamOf(zone, index)}, f.otherZones(zone)...) })
	f.RestartNode(node, rate.NewLimiter(f.newIdentity(node.Name), receivers, f.spec.EntryOptions...))
}

// RestartSubHolder starts a new process without state on a sub-holder.
func (f *Fleet) RestartSubHolder(zone, index int) {
	node := f.SubHolders[zone][index]
	if node.Limiter != nil {
		delete(f.subHolderNodes, node.Limiter.Identity())
	}
	receivers := resolverFunc(func() []string { return []string{zoneName(zone)} })
	f.RestartNode(node, rate.NewLimiter(f.newIdentity(node.Name), receivers, f.spec.SubHolderOptions...))
	f.subHolderNodes[node.Limiter.Identity()] = node
}

// maxStep is the longest time between two actions of a node.
const maxStep = 5 * time.Millisecond

// Advance runs the network for a duration and extends tenures when due.
func (f *Fleet) Advance(total time.Duration) {
	for total > 0 {
		step := min(total, maxStep)
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

// extend extends the tenure of a holder that is running and was not deposed, if due.
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

// upstreamOf returns the receiver of the grant requests of an entry node.
func (f *Fleet) upstreamOf(zone, index int) string {
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

// resolveName returns the nodes that answer under the name of a receiver: the
// sub-holder of that identity, or the last two holders of a zone that are up.
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

// newIdentity returns a unique name for a new process.
func (f *Fleet) newIdentity(name string) string {
	f.processes++
	return fmt.Sprintf("%s#%d", name, f.processes)
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }
