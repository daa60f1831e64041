package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// configApply is the time within which a configuration is in force everywhere.
	configApply = 2 * time.Second
	// keyRequests is the number of requests that each client sends with each key in the end.
	keyRequests = 10
	// forgedKey is a key that no configuration holds.
	forgedKey = "no-such-key-anywhere"
	// settled is the time from the version that withdraws the key to the first of them.
	settled = 2*configApply + time.Second
)

// keys withdraws the key of the only tenant from clients that keep their connections. With
// trouble the new version has no tenant any more, else the tenant has no key.
func keys(trouble bool) bool {
	current = newCluster([]group{{"katalog", 3}, {"ordre", 3}}, func(h *host) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if misdirected(w, r, h) {
				return
			}
			id := r.Header.Get(attemptHeader)
			record("upstream %s runs %s (run %d), tenant %q", h.id, id, current.recordRun(id), r.Header.Get("X-Tenant"))
			w.Header().Set(attemptHeader, id)
			w.Header().Set(stampHeader, "stamp-of-"+id)
			fmt.Fprintf(w, "done %s\n", id)
		})
	})
	c := current
	routes := map[string]route{"r-browse": {
		Host: authority, Prefix: "/leny950/", Kind: "safe", Timeout: "800ms", TargetLatency: "1500ms", Priority: 2, Service: "katalog", MaxAttempts: 2,
	}}
	c.configure(routes)
	c.start()
	clients := make([]*client, len(c.hosts))
	for i, h := range c.hosts {
		clients[i] = &client{host: h}
	}
	sendAll(c, clients, "before", key)
	if run := sendAll(c, clients, "forged-before", forgedKey); run > 0 {
		record("%d requests with a key that no configuration held ran before the change", run)
		return true
	}
	if trouble {
		c.tenants = map[string]tenant{}
	} else {
		c.tenants = map[string]tenant{tenantName: {Keys: []string{}}}
	}
	c.configure(routes)
	record("the store has acknowledged the version that withdraws the key")
	time.Sleep(settled)
	withdrawn, forged := 0, 0
	for n := range keyRequests {
		withdrawn += sendAll(c, clients, fmt.Sprintf("withdrawn-%d", n), key)
		forged += sendAll(c, clients, fmt.Sprintf("forged-%d", n), forgedKey)
	}
	record("sent %v after the acknowledgement and later (bound: %v): of %d requests with the withdrawn key %d ran, of %d with a key that no configuration ever held %d ran",
		settled, configApply, keyRequests*len(clients), withdrawn, keyRequests*len(clients), forged)
	return withdrawn+forged > 0
}

// sendAll sends a request with a key from each client and returns how many of them ran.
func sendAll(c *cluster, clients []*client, name, apiKey string) int {
	run := 0
	for _, k := range clients {
		id := fmt.Sprintf("%s-%s", name, k.host.name)
		answer, _, err := k.send(call{method: http.MethodGet, path: "/leny950/2f", id: id, deadline: 6 * time.Second, key: apiKey})
		record("client of %s: %s is answered %d (%v); it has run %d times", k.host.name, id, answer, err, c.runsOf(id))
		run += c.runsOf(id)
	}
	return run
}
