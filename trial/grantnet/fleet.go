package grantnet

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/bilberryvane/bilberryvane/rate"
)

// A Plan describes a fleet.
type Plan struct {
	// Zones is the number of availability zones.
	Zones int
	// SubHolders is the number of sub-holders a zone; entry nodes ask the holder
	// itself where there are none.
	SubHolders int
	// Entries is the number of entry nodes a zone.
	Entries int
	// Limits are those of the client accounts over the whole fleet.
	Limits map[string]rate.Limit
	// Tenure is how long a holder's tenure lasts; it is extended at half time.
	Tenure time.Duration
	// EntryOptions, SubHolderOptions and HolderOptions set up the ledgers.
	EntryOptions     []rate.Option
	SubHolderOptions []rate.Option
	HolderOptions    []rate.Option
	// NoLoans keeps zones from asking each other.
	NoLoans bool
}

// A Fleet is a network of holders, sub-holders and entry nodes in zones.
type Fleet struct {
	*Network
	// Entries and SubHolders are by zone.
	Entries    [][]*Node
	SubHolders [][]*Node

	plan    Plan
	holders [][]*holder
	names   map[string]*Node
	count   int
	random  *rand.Rand
}

// A holder is a node with a tenure over a zone's share.
type holder struct {
	node  *Node
	until time.Time
	// deposed holders get no further extension.
	deposed bool
}

// routes adapts a function to rate.Router.
type routes func() []string

// Receivers returns the receivers for any account.
func (r routes) Receivers(string) []string { return r() }

// NewFleet returns a fleet whose holders begin their first tenure now.
func NewFleet(start time.Time, random *rand.Rand, faults Faults, plan Plan) *Fleet {
	f := &Fleet{plan: plan, names: map[string]*Node{}, random: random}
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
	l, ok := f.plan.Limits[account]
	return l.Scale(1 / float64(f.plan.Zones)), ok
}

// Configure changes the limit of an account at all holders.
func (f *Fleet) Configure(account string, limit rate.Limit) {
	f.plan.Limits[account] = limit
	for _, zone := range f.holders {
		for _, h := range zone {
			if h.node.Ledger != nil {
				h.node.Ledger.Configure(f.Now.Add(h.node.Offset))
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
	node := f.newNode(zone, f.identity(fmt.Sprintf("holder-%d", zone)))
	h := &holder{node: node, until: from.Add(f.plan.Tenure)}
	tenure := rate.Tenure{From: from.Add(node.Offset), Until: h.until.Add(node.Offset)}
	lenders := routes(func() []string { return f.otherZones(zone) })
	node.Ledger = rate.NewHolderLimiter(node.Name, tenure, f, lenders, f.plan.HolderOptions...)
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
	receivers := routes(func() []string { return append([]string{f.above(zone, index)}, f.otherZones(zone)...) })
	f.Replace(node, rate.NewLimiter(f.identity(node.Name), receivers, f.plan.EntryOptions...))
}

// RestartSubHolder gives a sub-holder a new process without memory.
func (f *Fleet) RestartSubHolder(zone, index int) {
	node := f.SubHolders[zone][index]
	if node.Ledger != nil {
		delete(f.names, node.Ledger.Identity())
	}
	receivers := routes(func() []string { return []string{zoneName(zone)} })
	f.Replace(node, rate.NewLimiter(f.identity(node.Name), receivers, f.plan.SubHolderOptions...))
	f.names[node.Ledger.Identity()] = node
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
	if h.deposed || paused || h.node.Ledger == nil || h.until.Sub(f.Now) > f.plan.Tenure/2 {
		return
	}
	until := f.Now.Add(f.plan.Tenure)
	if h.node.Ledger.Extend(f.Now.Add(h.node.Offset), until.Add(h.node.Offset)) {
		h.until = until
	}
}

// above returns the receiver that an entry node asks.
func (f *Fleet) above(zone, index int) string {
	subs := f.SubHolders[zone]
	for i := range subs {
		node := subs[(index+i)%len(subs)]
		if node.Ledger != nil {
			return node.Ledger.Identity()
		}
	}
	return zoneName(zone)
}

func (f *Fleet) otherZones(zone int) []string {
	if f.plan.NoLoans {
		return nil
	}
	var names []string
	for z := range f.plan.Zones {
		if z != zone {
			names = append(names, zoneName(z))
		}
	}
	return names
}

// resolveName returns the nodes that answer under a receiver's name: for a zone
// all its holders, old ones included, once the newest has begun.
func (f *Fleet) resolveName(receiver string) []*Node {
	if node, ok := f.names[receiver]; ok {
		return []*Node{node}
	}
	var nodes []*Node
	for z := range f.plan.Zones {
		if zoneName(z) != receiver {
			continue
		}
		for _, h := range f.holders[z] {
			if h.node.Ledger != nil {
				nodes = append(nodes, h.node)
			}
		}
	}
	return nodes[max(0, len(nodes)-2):]
}

func (f *Fleet) newNode(zone int, name string) *Node {
	node := &Node{Name: name, Zone: zoneName(zone), Offset: time.Duration(f.random.Intn(1000)) * time.Second}
	f.Add(node)
	return node
}

// identity returns a name for a new process.
func (f *Fleet) identity(name string) string {
	f.count++
	return fmt.Sprintf("%s#%d", name, f.count)
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }
