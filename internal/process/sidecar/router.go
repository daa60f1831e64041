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
	// slowStart is the time in which a new host gains its full weight. Cold
	// backend servers here are slow for some seconds.
	slowStart = 2 * time.Second
	// unreachableRetryAfter is when to come back where no host can be reached.
	unreachableRetryAfter = 300 * time.Millisecond
)

// Connections tell which hosts can be reached.
type Connections interface {
	Connected(host string) bool
	// Changes counts the connections that came and went.
	Changes() uint64
}

// A router chooses executing hosts by package routing. It is safe for concurrent use.
type router struct {
	host, zone  string
	directory   *fleet.Directory
	connections Connections
	clock       clock.Clock

	// mu guards services.
	mu       sync.Mutex
	services map[string]*service
}

// A service is what is known of one service's hosts.
type service struct {
	router *routing.Router
	// hosts and links are the changes at the last refresh.
	hosts, links uint64
	backends     map[string]string
}

func newRouter(host, zone string, d *fleet.Directory, c Connections, k clock.Clock) *router {
	return &router{
		host: host, zone: zone, directory: d, connections: c, clock: k,
		services: make(map[string]*service),
	}
}

// Pick returns a host that serves the order's service and is not excluded. It
// implements relay.Router.
func (r *router) Pick(o relay.Order, excluded map[string]bool) (relay.Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := r.service(now, o.Context.Service)
	node, err := s.router.Choose(now, int(o.Context.Importance), excluded)
	if err != nil {
		return relay.Target{}, refusal.New(refusal.NoBackendServer).WithRetryAfter(unreachableRetryAfter)
	}
	return relay.Target{Host: node.Host, Backend: s.backends[node.Host]}, nil
}

// Observe reports how a try ended. It implements relay.Router.
func (r *router) Observe(t relay.Target, o relay.Order, elapsed time.Duration, a exchange.Answer, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := r.service(now, o.Context.Service)
	result := routing.Result{
		Latency:  elapsed,
		Failed:   lost || a.Refusal == nil && a.Status >= 500,
		Reported: a.Load.Host != "",
		Report: routing.Report{
			AdmittedImportance: a.Load.AdmittedImportance,
			QueueDelay:         a.Load.QueueDelay,
			Running:            a.Load.Running,
			FreeSlots:          a.Load.FreeSlots,
		},
	}
	if a.Refusal != nil {
		reason := a.Refusal.Reason
		result.Failed = lost || reason == refusal.BackendLost || reason == refusal.NoBackendServer
		result.Shed = !result.Failed
		if reason == refusal.Leaving {
			s.router.SetLeaving(t.Host)
		}
	}
	s.router.Ended(now, t.Host, result)
}

// service returns a service with the hosts that are known now; mu must be held.
func (r *router) service(now time.Time, name string) *service {
	s, ok := r.services[name]
	if !ok {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		s = &service{router: routing.NewRouter(r.host, r.zone, random, routing.WithSlowStart(slowStart))}
		r.services[name] = s
	}
	hosts, links := r.directory.Changes(), r.connections.Changes()
	if ok && s.hosts == hosts && s.links == links {
		return s
	}
	s.hosts, s.links = hosts, links
	s.backends = make(map[string]string)
	var nodes []routing.Node
	for _, h := range r.directory.Serving(name) {
		if h.Name != r.host && !r.connections.Connected(h.Name) {
			continue
		}
		nodes = append(nodes, routing.Node{Host: h.Name, Zone: h.Zone, Incarnation: uint64(h.Backend.Born)})
		s.backends[h.Name] = h.Backend.ID
	}
	s.router.SetNodes(now, nodes)
	return s
}
