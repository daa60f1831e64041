// Package router selects the nodes that execute a node's calls. Package routing decides
// for each service; this package adds locking, the nodes from the membership, and the
// placement of suspect requests, which package suspects decides.
package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/forward"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/member"
	"github.com/bilberryvane/bilberryvane/routing"
)

// maxNodeAge is the time after which the nodes of a service are read again.
const maxNodeAge = 100 * time.Millisecond

// A Directory provides the nodes that accept calls.
type Directory interface {
	// Nodes returns the nodes that accept new requests for a service.
	Nodes(service string) []member.Node
}

// Suspects decides the placement of requests that may crash backend servers.
type Suspects interface {
	// SuspectHost returns the only host on which the request may run, empty if there is
	// none. It returns false if the request may run on any host.
	SuspectHost(c call.Context, hosts []string) (string, bool)
}

// A Router selects nodes, based on the load that their answers report. It is safe for
// concurrent use.
type Router struct {
	host, zone string
	directory  Directory
	suspects   Suspects
	clock      clock.Clock

	// mu guards services and seeds.
	mu       sync.Mutex
	services map[string]*service
	seeds    *rand.Rand
}

// A service holds the routing state and the nodes of a service.
type service struct {
	router    *routing.Router
	refreshed time.Time
	addresses map[string]string
	hosts     []string
}

// New returns a Router for the calls of a host.
func New(host, zone string, d Directory, s Suspects, c clock.Clock) *Router {
	return &Router{
		host: host, zone: zone, directory: d, suspects: s, clock: c,
		services: make(map[string]*service),
		seeds:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Pick returns a node that offers the call's service and is not excluded. The error is a
// refusal.Refusal.
func (r *Router) Pick(c call.Context, excluded []string) (forward.Target, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := r.service(now, c.Service)
	if host, ok := r.suspects.SuspectHost(c, s.hosts); ok {
		if host == "" || slices.Contains(excluded, host) {
			return forward.Target{}, refusal.New(refusal.Quarantined)
		}
		return r.target(s, host), nil
	}
	hosts := make(map[string]bool, len(excluded))
	for _, host := range excluded {
		hosts[host] = true
	}
	node, err := s.router.Choose(now, int(c.Importance), hosts)
	if err != nil {
		return forward.Target{}, refusal.New(refusal.NoBackendServer)
	}
	return r.target(s, node.Host), nil
}

// Observe records the result of an attempt.
func (r *Router) Observe(t forward.Target, c call.Context, o forward.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := r.service(now, c.Service)
	result := routing.Result{
		Latency:   o.Elapsed,
		HasReport: o.Answer.Load.Host != "",
		Report: routing.LoadReport{
			AdmittedImportance: o.Answer.Load.AdmittedImportance,
			QueueDelay:         o.Answer.Load.QueueDelay,
			Running:            o.Answer.Load.Running,
			FreeSlots:          o.Answer.Load.FreeSlots,
		},
	}
	if refused := o.Answer.Refusal; refused != nil {
		result.Failed = o.Lost || refused.Reason == refusal.BackendLost || refused.Reason == refusal.NoBackendServer
		result.Shed = !result.Failed
		if refused.Reason == refusal.Leaving {
			s.router.SetLeaving(t.Host)
		}
	}
	s.router.Done(now, t.Host, result)
}

func (r *Router) target(s *service, host string) forward.Target {
	if host == r.host {
		return forward.Target{Host: host}
	}
	return forward.Target{Host: host, Address: s.addresses[host]}
}

// service returns the state of a service and refreshes its nodes if they are older than
// maxNodeAge. mu must be held.
func (r *Router) service(now time.Time, name string) *service {
	s, ok := r.services[name]
	if !ok {
		random := rand.New(rand.NewPCG(r.seeds.Uint64(), r.seeds.Uint64()))
		s = &service{router: routing.NewRouter(r.host, r.zone, random)}
		r.services[name] = s
	}
	if ok && now.Sub(s.refreshed) < maxNodeAge {
		return s
	}
	s.refreshed = now
	s.addresses = make(map[string]string)
	s.hosts = nil
	var nodes []routing.Node
	for _, n := range r.directory.Nodes(name) {
		nodes = append(nodes, routing.Node{Host: n.Host, Zone: n.Zone, Incarnation: n.Incarnation})
		s.addresses[n.Host] = n.Address
		s.hosts = append(s.hosts, n.Host)
	}
	s.router.SetNodes(now, nodes)
	return s
}
