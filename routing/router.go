// Package routing chooses the node that executes a call and refuses calls at the
// entry that a downstream service would shed. A Router selects among the nodes of one
// service for one calling node; a Backpressure covers all entries of one node.
//
// The types are deterministic and hold no lock: the caller locks and passes in the
// time and a seeded random source. Package admission computes the loads that nodes
// report; package retry decides whether a call may be retried on another node.
package routing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrNoNode reports that the service has no eligible node.
var ErrNoNode = eris.New("no eligible node")

const (
	// DefaultSubsetSize is the number of nodes used in the local zone.
	DefaultSubsetSize = 16
	// DefaultRemoteSubsetSize is the number of nodes used in each other zone.
	DefaultRemoteSubsetSize = 4
	// DefaultCrossZoneLatency is the added latency of a call to another zone.
	DefaultCrossZoneLatency = time.Millisecond
	// DefaultReportHalfLife is the half-life of the weight of a load report.
	DefaultReportHalfLife = 200 * time.Millisecond
	// DefaultSlowStartWindow is the time in which a new node ramps up to full weight.
	DefaultSlowStartWindow = 5 * time.Second
	// latencyHalfLife is the half-life of a measured latency.
	latencyHalfLife = 3 * time.Second
	// latencySmoothing is the weight of a new sample in the latency's moving average.
	latencySmoothing = 0.2
	// minWeight is the weight of a node at the beginning of slow start.
	minWeight = 0.1
	// minLatency keeps the cost of a node without samples above zero.
	minLatency = 100 * time.Microsecond
	// saturationThreshold is the slot utilization above which other zones are
	// considered: bursts of calls begin to queue, and nearly full backend servers
	// begin to slow down.
	saturationThreshold = 0.75
	// spilloverFactor is the required advantage of another zone, in multiples of the
	// cross-zone latency.
	spilloverFactor = 2
	// plannedPairs is the number of pairs of local nodes that must be saturated before a call
	// leaves that a plan keeps in its zone.
	plannedPairs = 2
)

// A Node is a node that can execute calls on its backend server.
type Node struct {
	Host string
	Zone string
	// Incarnation changes when the host restarts.
	Incarnation uint64
	// Leaving reports that the node accepts no new work.
	Leaving bool
	// Limited reports whether this caller may send it only RequestsPerSecond calls per
	// second while others are eligible.
	Limited           bool
	RequestsPerSecond float64
}

// A LoadReport is the load that a node reports in a response.
type LoadReport struct {
	// AdmittedImportance is the lowest importance that the node admits.
	AdmittedImportance int
	// QueueDelay is how long requests wait in the node's queue.
	QueueDelay time.Duration
	// Running is the number of requests in the node's backend server.
	Running int
	// FreeSlots is the number of further requests that the node can start at once.
	FreeSlots int
}

// A Result is the result of a call to a node.
type Result struct {
	// Latency is the time to the response.
	Latency time.Duration
	// Failed reports that the node was unreachable or lost its backend server. A
	// refusal because of overload is not a failure.
	Failed bool
	// Shed reports that the node refused the call because of overload. The latency
	// of such a call is ignored.
	Shed bool
	// Report is the node's load; it is set if HasReport is true.
	Report    LoadReport
	HasReport bool
}

// An Option changes a Router's settings.
type Option func(*Router)

// WithSubsetSize limits the number of nodes used in the local and each other zone.
func WithSubsetSize(local, remote int) Option {
	return func(r *Router) { r.subsetSize, r.remoteSubsetSize = local, remote }
}

// WithCrossZoneLatency sets the added latency of a call to another zone.
func WithCrossZoneLatency(d time.Duration) Option { return func(r *Router) { r.crossZoneLatency = d } }

// WithSlowStart sets the time in which a new node ramps up to full weight.
func WithSlowStart(d time.Duration) Option { return func(r *Router) { r.slowStart = d } }

// A Router chooses nodes for one service. It never chooses a leaving or excluded
// node and never ejects more than maxEjectedRatio of a zone's nodes. Rendezvous hashing
// selects a bounded subset of the nodes, so the connections of a backend server don't
// grow with the number of callers. Within the subset a Router takes the better of two
// random nodes, so callers with the same outdated reports don't all choose the same
// node.
type Router struct {
	host, zone       string
	random           *rand.Rand
	subsetSize       int
	remoteSubsetSize int
	crossZoneLatency time.Duration
	slowStart        time.Duration
	targets          map[string]*target
	// local and remote are the subsets in use; remote covers all other zones.
	local, remote []*target
}

// NewRouter returns a Router without nodes for a caller on a host and in a zone.
func NewRouter(host, zone string, random *rand.Rand, options ...Option) *Router {
	r := &Router{
		host: host, zone: zone, random: random,
		subsetSize: DefaultSubsetSize, remoteSubsetSize: DefaultRemoteSubsetSize,
		crossZoneLatency: DefaultCrossZoneLatency, slowStart: DefaultSlowStartWindow,
		targets: make(map[string]*target),
	}
	for _, o := range options {
		o(r)
	}
	return r
}

// SetNodes replaces the nodes of the service. The nodes of the first call start with
// full weight, later ones with slow start.
func (r *Router) SetNodes(now time.Time, nodes []Node) {
	first := len(r.targets) == 0
	next := make(map[string]*target, len(nodes))
	byZone := make(map[string][]*target)
	for _, n := range nodes {
		t, ok := r.targets[n.Host]
		if !ok || t.node.Incarnation != n.Incarnation {
			t = &target{slowStartAt: now, rank: rank(r.host, n.Host)}
			if first {
				t.slowStartAt = now.Add(-r.slowStart)
			}
		}
		t.setLimit(now, n, r.random.Float64())
		t.node = n
		next[n.Host] = t
		if !n.Leaving {
			byZone[n.Zone] = append(byZone[n.Zone], t)
		}
	}
	r.targets = next
	r.local, r.remote = nil, nil
	for zone, targets := range byZone {
		slices.SortFunc(targets, func(a, b *target) int { return cmp.Compare(b.rank, a.rank) })
		if zone == r.zone {
			r.local = targets[:min(len(targets), r.subsetSize)]
			continue
		}
		r.remote = append(r.remote, targets[:min(len(targets), r.remoteSubsetSize)]...)
	}
	slices.SortFunc(r.remote, func(a, b *target) int { return cmp.Compare(b.rank, a.rank) })
}

// SetLeaving excludes a node immediately, before the next SetNodes.
func (r *Router) SetLeaving(host string) {
	if t, ok := r.targets[host]; ok {
		t.node.Leaving = true
	}
	isLeaving := func(t *target) bool { return t.node.Leaving }
	r.local = slices.DeleteFunc(r.local, isLeaving)
	r.remote = slices.DeleteFunc(r.remote, isLeaving)
}

// Choose returns a node for a call of an importance, other than the excluded hosts.
// The caller must report the end of the call with Done. It returns ErrNoNode if no
// node is left.
func (r *Router) Choose(now time.Time, importance int, excluded map[string]bool) (Node, error) {
	return r.choose(now, importance, excluded, spillover{pairs: 1, allowed: func(*target, *target) bool { return true }})
}

// choose returns a node of the local zone unless the one that it would take is saturated.
func (r *Router) choose(now time.Time, importance int, excluded map[string]bool, s spillover) (Node, error) {
	chosen := r.pick(now, importance, r.eligible(now, r.local, excluded), r.eligible(now, r.remote, excluded), s)
	if chosen == nil {
		// All nodes are ejected or have had their calls; such a node is better than none.
		chosen = r.pick(now, importance, notEjected(now, r.local, excluded), notEjected(now, r.remote, excluded), s)
	}
	if chosen == nil {
		// All nodes are ejected; an ejected node is better than none.
		chosen = r.pick(now, importance, notExcluded(r.local, excluded), notExcluded(r.remote, excluded), s)
	}
	if chosen == nil {
		return Node{}, ErrNoNode
	}
	chosen.outstanding++
	chosen.takeCall()
	return chosen.node, nil
}

// A spillover says when a call may go to another zone.
type spillover struct {
	// pairs is the number of pairs of local targets that must be saturated.
	pairs int
	// allowed reports whether a saturated local target may be left for one of another zone.
	allowed func(near, far *target) bool
}

// A Leave is what a plan for all zones says of a call for one service.
type Leave struct {
	// Zone is the zone to which the call goes; empty if it stays.
	Zone string
	// Room are the zones that take more calls than the plan sends there.
	Room map[string]bool
}

// ChooseBy returns a node by a plan. A call that leaves goes to the given zone if a node there
// accepts it. Otherwise it is like Choose, but looks at more nodes of the local zone, and leaves a
// busy one only for zones with room; one that refuses is left for any zone.
func (r *Router) ChooseBy(now time.Time, l Leave, importance int, excluded map[string]bool) (Node, error) {
	if l.Zone != "" {
		there := slices.DeleteFunc(r.eligible(now, r.remote, excluded), func(t *target) bool { return t.node.Zone != l.Zone })
		if chosen := r.pickOfTwo(now, there, importance); chosen != nil && !chosen.refuses(now, importance) {
			chosen.outstanding++
			chosen.takeCall()
			return chosen.node, nil
		}
	}
	return r.choose(now, importance, excluded, spillover{pairs: plannedPairs, allowed: func(near, far *target) bool {
		return l.Room[far.node.Zone] || near.refuses(now, importance)
	}})
}

// pick returns a target of the local zone unless one of another zone is clearly
// better; nil if there is none.
func (r *Router) pick(now time.Time, importance int, local, remote []*target, s spillover) *target {
	var near *target
	for range s.pairs {
		other := r.pickOfTwo(now, local, importance)
		if other != nil && !r.saturated(now, other, importance) {
			return other
		}
		if near == nil || r.cost(now, other, importance) < r.cost(now, near, importance) {
			near = other
		}
	}
	if near != nil {
		remote = slices.DeleteFunc(remote, func(t *target) bool { return !s.allowed(near, t) })
	}
	far := r.pickOfTwo(now, remote, importance)
	if r.spillsOver(now, near, far, importance) {
		return far
	}
	return near
}

// Done records the result of a call to a chosen node.
func (r *Router) Done(now time.Time, host string, result Result) {
	t, ok := r.targets[host]
	if !ok {
		return
	}
	t.outstanding = max(0, t.outstanding-1)
	t.record(now, result)
	if t.isOutlier() && r.canEject(now, t) {
		t.eject(now)
	}
}

// eligible returns the targets that are neither excluded nor ejected and may get a call.
func (r *Router) eligible(now time.Time, targets []*target, excluded map[string]bool) []*target {
	return slices.DeleteFunc(notEjected(now, targets, excluded), func(t *target) bool { return !t.mayGetCall(now) })
}

// notEjected returns the targets that are neither excluded nor ejected.
func notEjected(now time.Time, targets []*target, excluded map[string]bool) []*target {
	return slices.DeleteFunc(notExcluded(targets, excluded), func(t *target) bool { return t.ejected(now) })
}

// notExcluded returns the targets that are not excluded.
func notExcluded(targets []*target, excluded map[string]bool) []*target {
	var kept []*target
	for _, t := range targets {
		if !excluded[t.node.Host] {
			kept = append(kept, t)
		}
	}
	return kept
}

// pickOfTwo returns the cheaper of two random targets; nil if there is none.
func (r *Router) pickOfTwo(now time.Time, targets []*target, importance int) *target {
	if len(targets) == 0 {
		return nil
	}
	a := r.random.IntN(len(targets))
	if len(targets) == 1 {
		return targets[a]
	}
	b := r.random.IntN(len(targets) - 1)
	if b >= a {
		b++
	}
	if r.cost(now, targets[b], importance) < r.cost(now, targets[a], importance) {
		return targets[b]
	}
	return targets[a]
}

// saturated reports whether a call would wait or be refused at a target.
func (r *Router) saturated(now time.Time, t *target, importance int) bool {
	return t.refuses(now, importance) || t.queueDelay(now) > spilloverFactor*r.crossZoneLatency || t.utilization(now) > saturationThreshold
}

func (r *Router) spillsOver(now time.Time, local, remote *target, importance int) bool {
	if local == nil || remote == nil {
		return local == nil
	}
	if t := remote; t.refuses(now, importance) {
		return false
	}
	gain := r.cost(now, local, importance) - r.cost(now, remote, importance)
	return gain > spilloverFactor*r.crossZoneLatency
}

// cost returns the expected latency of a call, higher for new and for busy targets.
func (r *Router) cost(now time.Time, t *target, importance int) time.Duration {
	expected := t.queueDelay(now) + max(minLatency, t.decayedLatency(now))
	busy := 1 + t.utilization(now)
	cost := float64(expected) * busy / r.slowStartWeight(now, t)
	if t.refuses(now, importance) {
		cost += float64(refusalPenalty)
	}
	return time.Duration(cost)
}

func (r *Router) slowStartWeight(now time.Time, t *target) float64 {
	if t.node.Limited {
		return 1
	}
	age := float64(now.Sub(t.slowStartAt)) / float64(max(1, r.slowStart))
	return math.Min(1, math.Max(minWeight, age))
}

// rank returns the rendezvous hash of a node for a caller.
func rank(caller, host string) uint64 { return xxhash.Sum64String(caller + "\x00" + host) }
