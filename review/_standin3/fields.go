package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// A kind is a kind of request with its rate.
type kind struct {
	name, service, method, repeatable string
	perSecond                         float64
}

// kinds are the requests on the first routes, at a fifth of the rates of the site file, and added
// those on a route that is added later.
var (
	kinds = []kind{
		{"route-sheet", "rounds", http.MethodGet, "safe", 237.0 / 5},
		{"job-complete", "ledger", http.MethodPost, "unsafe", 84.4 / 5},
		{"colour-lookup", "palette", http.MethodGet, "safe", 96.4 / 5},
	}
	added = kind{"photo-receipt", "watch", http.MethodPost, "unsafe", 56.2 / 5}
)

// fieldsTime is how long the requests of the case are sent.
const fieldsTime = 30 * time.Second

const (
	// leastShare is the share of the service of requests on the first routes that those on
	// routes added later must get.
	leastShare = 0.25
	// settleTime is the time from the version that adds a route to the first request on it. The
	// platform allows 2 s.
	settleTime = 4 * time.Second
)

// A tally counts the requests of a kind.
type tally struct{ sent, served, ranUnanswered int }

// fields adds a route and sends requests on all routes from the clients of all machines in turn.
// With trouble the answers to requests on the new route have a header field with a byte above
// ASCII.
func fields(trouble bool) bool {
	file := "Schaltkasten.jpeg"
	if trouble {
		file = "Schaltk\xe4sten.jpeg" // ISO 8859-1
	}
	current = newCluster([]group{{"rounds", 4}, {"ledger", 3}, {"palette", 4}, {"watch", 3}}, func(h *host) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if misdirected(w, r, h) {
				return
			}
			id := r.Header.Get(attemptHeader)
			_, _ = io.Copy(io.Discard, r.Body)
			record("upstream %s runs %s (run %d) and answers 200", h.id, id, current.recordRun(id))
			time.Sleep(24 * time.Millisecond)
			w.Header().Set(attemptHeader, id)
			w.Header().Set(stampHeader, "stamp-of-"+id)
			if h.service == "watch" {
				w.Header().Set("Content-Disposition", `inline; filename="`+file+`"`)
			}
			fmt.Fprintf(w, "done %s\n", id)
		})
	})
	c := current
	routes := make(map[string]route)
	for _, k := range kinds {
		routes["r-"+k.name] = k.route()
	}
	c.configure(routes)
	c.start()
	routes["r-"+added.name] = added.route()
	c.configure(routes)
	time.Sleep(settleTime)
	tallies := make(map[string]*tally)
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, k := range append(kinds, added) {
		t := &tally{}
		tallies[k.name] = t
		all.Go(func() {
			var requests sync.WaitGroup
			defer requests.Wait()
			for i := range int(k.perSecond * fieldsTime.Seconds()) {
				requests.Go(func() {
					answer, runs := sendOne(c, k, i)
					mu.Lock()
					defer mu.Unlock()
					t.sent++
					if answer == http.StatusOK {
						t.served++
					} else if runs > 0 {
						t.ranUnanswered++
					}
				})
				time.Sleep(time.Duration(float64(time.Second) / k.perSecond))
			}
		})
	}
	all.Wait()
	return starved(tallies)
}

// route returns the route of the requests of a kind.
func (k kind) route() route {
	return route{
		Host: authority, Prefix: "/" + k.name + "/", Kind: k.repeatable, Timeout: "1000ms", TargetLatency: "400ms", Service: k.service, MaxAttempts: 2,
	}
}

// sendOne sends the i-th request of a kind and returns the status of its answer, and how often it
// has run.
func sendOne(c *cluster, k kind, i int) (answer, runs int) {
	h := c.hosts[i%len(c.hosts)]
	id := fmt.Sprintf("%s-%d", k.name, i)
	sender := &client{host: h}
	defer sender.close()
	answer, _, err := sender.send(call{method: k.method, path: "/" + k.name + "/2f", id: id, deadline: 1500 * time.Millisecond})
	runs = c.runsOf(id)
	record("client of %s: %s is answered %d (%v); it has run %d times", h.name, id, answer, err, runs)
	return answer, runs
}

// starved records the results and reports whether the requests on the added route are served less
// than a quarter as often as those on the first routes.
func starved(tallies map[string]*tally) bool {
	var first tally
	for _, k := range kinds {
		t := tallies[k.name]
		first.sent += t.sent
		first.served += t.served
		record("%s: %d sent, %d served", k.name, t.sent, t.served)
	}
	t := tallies[added.name]
	share, firstShare := float64(t.served)/float64(t.sent), float64(first.served)/float64(first.sent)
	record("%s, on the added route: %d sent, %d served (%.3f; on the first routes %.3f), %d ran and have no answer of an upstream",
		added.name, t.sent, t.served, share, firstShare, t.ranUnanswered)
	return share < leastShare*firstShare
}
