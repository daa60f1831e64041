package sidecar

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
	"github.com/bilberryvane/bilberryvane/routing"
)

const (
	// slowStart is the time over which the weight of a new host rises to its full
	// value. Backend servers are slow for a few seconds after a cold start.
	slowStart = 2 * time.Second
	// unreachableRetryAfter is the retry-after delay of a refusal for which no host
	// was reachable.
	unreachableRetryAfter = 300 * time.Millisecond
)

// Connections report which hosts are reachable.
type Connections interface {
	Connected(host string) bool
	// Changes returns the number of connections opened and closed so far.
	Changes() uint64
}

// A router selects the host that executes a request, using package routing. It is
// safe for concurrent use.
type router struct {
	host, zone  string
	directory   *fleet.Directory
	connections Connections
	// coldRate returns the requests per second that a cold backend server of a service may
	// get from all hosts; zero if they are not bounded.
	coldRate func(service string) float64
	plan     *zonePlan
	clock    clock.Clock

	// mu guards the fields below.
	mu            sync.Mutex
	services      map[string]*serviceRouter
	requestLimits *fleet.RequestLimits
}

// A serviceRouter balances the requests of one service over its hosts.
type serviceRouter struct {
	router *routing.Router
	// hostChanges and connectionChanges are the change counts of the directory and of
	// the connections at the last refresh.
	hostChanges, connectionChanges uint64
	backends                       map[string]string
}

func newRouter(host, zone string, d *fleet.Directory, c Connections, coldRate func(service string) float64, p *zonePlan, k clock.Clock) *router {
	return &router{
		host: host, zone: zone, directory: d, connections: c, coldRate: coldRate, plan: p, clock: k,
		services: make(map[string]*serviceRouter), requestLimits: fleet.NewRequestLimits(),
	}
}

// Pick returns a host that serves the order's service and is not excluded. It
// implements relay.Router.
func (r *router) Pick(o relay.Order, excluded map[string]bool) (relay.Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := r.service(now, o.Context.Service)
	node, err := r.choose(now, s.router, o, excluded)
	if err != nil {
		return relay.Target{}, refusal.New(refusal.NoBackendServer).WithRetryAfter(unreachableRetryAfter)
	}
	id := s.backends[node.Host]
	return relay.Target{Host: node.Host, Backend: id, Status: r.requestLimits.Status(node.Host, id)}, nil
}

// choose returns a node by the plan of what leaves the zone, or by the load of single hosts while
// there is none.
func (r *router) choose(now time.Time, service *routing.Router, o relay.Order, excluded map[string]bool) (routing.Node, error) {
	if l, ok := r.plan.leave(o.Context.Service); ok {
		return service.ChooseBy(now, l, int(o.Context.Importance), excluded)
	}
	return service.Choose(now, int(o.Context.Importance), excluded)
}

// Observe records the result of an attempt. It implements relay.Router.
func (r *router) Observe(t relay.Target, o relay.Order, elapsed time.Duration, a exchange.Answer, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := r.service(now, o.Context.Service)
	result := routing.Result{
		Latency:   elapsed,
		Failed:    lost || a.Refusal == nil && a.Status >= 500,
		HasReport: a.Load.Host != "",
		Report: routing.LoadReport{
			AdmittedImportance: a.Load.AdmittedImportance,
			QueueDelay:         a.Load.QueueDelay,
			Running:            a.Load.Running,
			FreeSlots:          a.Load.FreeSlots,
		},
	}
	if a.Refusal != nil {
		reason := a.Refusal.Reason
		result.Failed = lost || reason == refusal.BackendLost || reason == refusal.NoBackendServer
		result.Shed = !result.Failed && reason != refusal.Quarantined
		if reason == refusal.Leaving {
			s.router.SetLeaving(t.Host)
		}
	}
	if a.Load.Host != "" {
		r.requestLimits.Record(t.Host, a.Backend, a.Refusal == nil)
	}
	if a.Backend.Status.Leaving {
		r.directory.MarkDraining(t.Host, a.Backend.ID, a.Backend.Born)
	}
	s.router.Done(now, t.Host, result)
}

// coldShare returns the requests per second that this host may send to a cold backend server
// of a zone, and whether they are bounded. The hosts of its own zone share them evenly.
func (r *router) coldShare(zone, service string) (limited bool, perSecond float64) {
	rate := r.coldRate(service)
	if rate == 0 {
		return false, 0
	}
	if zone != r.zone {
		return true, 0
	}
	return true, rate / float64(max(1, r.directory.ZoneSize(zone)))
}

// service returns the router of a service, refreshed with the current hosts and
// connections; mu must be held.
func (r *router) service(now time.Time, name string) *serviceRouter {
	s, ok := r.services[name]
	if !ok {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		s = &serviceRouter{router: routing.NewRouter(r.host, r.zone, random, routing.WithSlowStart(slowStart))}
		r.services[name] = s
	}
	hostChanges, connectionChanges := r.directory.Changes(), r.connections.Changes()
	if ok && s.hostChanges == hostChanges && s.connectionChanges == connectionChanges {
		return s
	}
	s.hostChanges, s.connectionChanges = hostChanges, connectionChanges
	s.backends = make(map[string]string)
	var nodes []routing.Node
	for _, h := range r.directory.Serving(name) {
		if h.Name != r.host && !r.connections.Connected(h.Name) {
			continue
		}
		node := routing.Node{Host: h.Name, Zone: h.Zone, Incarnation: uint64(h.Backend.Born)}
		if h.Backend.Cold {
			node.Limited, node.RequestsPerSecond = r.coldShare(h.Zone, name)
		}
		nodes = append(nodes, node)
		s.backends[h.Name] = h.Backend.ID
	}
	s.router.SetNodes(now, nodes)
	return s
}
