package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The names of the platform's header fields.
const (
	attemptHeader  = "X-Attempt-Id"
	deadlineHeader = "X-Deadline-Ms"
	stampHeader    = "X-Response-Stamp"
	targetHeader   = "X-Target-Instance"
	notRunHeader   = "X-Not-Executed"
)

// The only tenant of the first version and its API key.
const (
	tenantName = "pulo780"
	key        = "6wsjnbanfqasnmgkcuyj"
)

// A tenant is a tenant of the configuration.
type tenant struct {
	Keys          []string `json:"api-keys"`
	Priority      int      `json:"priority"`
	RatePerSecond int      `json:"rate-per-s"`
	Burst         int      `json:"burst"`
}

// A cluster is a small deployment: machines in three zones, the store and the operator.
type cluster struct {
	store  *store
	folder string
	hosts  []*host
	// version is that of the configuration.
	version int
	tenants map[string]tenant
	// runs counts the runs of each request by its id.
	mu   sync.Mutex
	runs map[string]int
}

// zones are the zones of the deployment.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// A group is a service with the number of its machines, which are spread over the zones.
type group struct {
	service  string
	machines int
}

// newCluster makes the machines of the services. Their upstreams serve with handler.
func newCluster(groups []group, handler func(h *host) http.Handler) *cluster {
	s, err := newStore()
	if err != nil {
		fatal(err)
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal(err)
	}
	c := &cluster{
		store: s, folder: folder, runs: make(map[string]int),
		tenants: map[string]tenant{tenantName: {Keys: []string{key}, Priority: 1, RatePerSecond: 2000, Burst: 2000}},
	}
	for _, g := range groups {
		for i := range g.machines {
			service, zone := g.service, zones[i%len(zones)]
			upstream, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				fatal(err)
			}
			h := &host{
				cluster: c, name: fmt.Sprintf("sidecar-%s-%d", service, i+1), zone: zone, service: service,
				id: fmt.Sprintf("i-%s-%d", service, i+1), born: time.Now().UnixMilli(), upstream: upstream,
				outbound: freeAddress(), ready: freeAddress(), control: freeAddress(), inbound: freeAddress(), metrics: freeAddress(),
			}
			h.settings = filepath.Join(folder, h.name+".ini")
			c.hosts = append(c.hosts, h)
			h.server = &http.Server{Handler: handler(h)}
			go h.server.Serve(upstream)
		}
	}
	return c
}

// start starts all processes and returns once they are ready and know all upstreams.
func (c *cluster) start() {
	for _, h := range c.hosts {
		h.start()
		go h.announce()
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range c.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				fatal(fmt.Errorf("%s is not ready", h.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
}

// stop ends all processes.
func (c *cluster) stop() {
	for _, h := range c.hosts {
		h.kill()
	}
	time.Sleep(200 * time.Millisecond)
	os.RemoveAll(c.folder)
}

// A route is a route of the configuration.
type route struct {
	Host          string `json:"host"`
	Prefix        string `json:"prefix"`
	Kind          string `json:"kind"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"target-latency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"max-attempts"`
	Anonymous     bool   `json:"anonymous"`
}

// configure writes a new version of the configuration as the operator does.
func (c *cluster) configure(routes map[string]route) {
	c.version++
	all := make(map[string]any)
	for _, h := range c.hosts {
		all[h.service] = map[string]any{"health-path": "/healthcheck", "max-conns": 1204, "protocol": "h1", "tls": false}
	}
	content, err := json.Marshal(map[string]any{
		"version": c.version, "routes": routes, "services": all,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
		"tenants": c.tenants,
	})
	if err != nil {
		fatal(err)
	}
	c.store.write("op", "config", content)
}

// recordRun counts a run of a request at an upstream.
func (c *cluster) recordRun(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
	return c.runs[id]
}

// runsOf returns how often a request has run.
func (c *cluster) runsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// misdirected answers a request for another instance, and reports whether it was one.
func misdirected(w http.ResponseWriter, r *http.Request, h *host) bool {
	if target := r.Header.Get(targetHeader); target == "" || target == h.id {
		return false
	}
	w.Header().Set("X-Instance-Id", h.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}
