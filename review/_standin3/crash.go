package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// crashLimit is the number of crashes after which a request may reach upstreams in
	// retryLimit retries only.
	crashLimit = 3
	retryLimit = 3
	// crashAfter is how long an upstream runs the request until it crashes.
	crashAfter = 100 * time.Millisecond
	// backAfter is the time after which an upstream that crashed is back.
	backAfter = 2 * time.Second
	// returnAfter is the time after which the request comes again, at returnMachines
	// machines at once, and crashRounds how often it comes before and after the kill.
	returnAfter    = 4 * time.Second
	returnMachines = 2
	crashRounds    = 4
	// crashPath is the path of the request that crashes upstreams.
	crashPath = "/puka111/crash"
)

// crash sends an order that crashes each upstream that begins to run it, until it has crashed
// three, and further. With trouble the processes of all machines are killed meanwhile.
func crash(trouble bool) bool {
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	current = newCluster([]group{{"katalog", 3}, {"ordre", 3}, {"lager", 3}, {"pakke", 3}}, func(h *host) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if misdirected(w, r, h) {
				return
			}
			id := r.Header.Get(attemptHeader)
			_, _ = io.Copy(io.Discard, r.Body)
			run := current.recordRun(id)
			if r.URL.Path == crashPath {
				record("upstream %s begins to run %s (run %d)", h.id, id, run)
				mu.Lock()
				arrivals = append(arrivals, time.Now())
				mu.Unlock()
				time.Sleep(crashAfter)
				if h.crash() {
					record("upstream %s crashes", h.id)
					mu.Lock()
					crashes = append(crashes, time.Now())
					mu.Unlock()
				}
				return
			}
			time.Sleep(orderWork)
			w.Header().Set(attemptHeader, id)
			w.Header().Set(stampHeader, "stamp-of-"+id)
			fmt.Fprintf(w, "done %s\n", id)
		})
	})
	c := current
	c.configure(map[string]route{"r-order": {
		Host: authority, Prefix: "/puka111/", Kind: "unsafe", Timeout: "1000ms", TargetLatency: "1500ms", Service: "ordre", MaxAttempts: 2,
	}})
	c.start()
	for round := range crashRounds {
		sendCrashing(c, round)
	}
	if trouble {
		record("the processes of all machines are killed")
		for _, h := range c.hosts {
			h.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(restartDelay + startTime + contact + time.Second)
	for round := range crashRounds {
		sendCrashing(c, crashRounds+round)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < crashLimit {
		record("%d crashes", len(crashes))
		return false
	}
	retries := 0
	for _, a := range arrivals {
		if a.Sub(crashes[crashLimit-1]) > contact {
			retries++
		}
	}
	record("%d arrivals, %d crashes; %d arrivals later than %v after the third crash, %d may be", len(arrivals), len(crashes), retries, contact, retryLimit)
	return retries > retryLimit
}

// sendCrashing sends the order at some machines at once, other ones in each round, and waits
// until it may come again.
func sendCrashing(c *cluster, round int) {
	next := time.Now().Add(returnAfter)
	var all sync.WaitGroup
	for n := range returnMachines {
		h := c.hosts[(round*returnMachines+n)%len(c.hosts)]
		all.Go(func() {
			id := fmt.Sprintf("crash-%d-%d", round, n)
			k := &client{host: h}
			answer, _, err := k.send(call{method: http.MethodPost, path: crashPath, id: id, body: []byte("two bundles"), deadline: 6 * time.Second})
			k.close()
			record("client of %s: %s is answered %d (%v); it has run %d times", h.name, id, answer, err, c.runsOf(id))
		})
	}
	all.Wait()
	time.Sleep(time.Until(next))
}

// crash ends the upstream with all its connections and lets it start again later. It returns
// false if the upstream has ended already.
func (h *host) crash() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent {
		return false
	}
	h.silent = true
	h.server.Close()
	time.AfterFunc(backAfter, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		l, err := net.Listen("tcp", h.upstream.Addr().String())
		if err != nil {
			fatal(err)
		}
		h.upstream, h.server = l, &http.Server{Handler: h.server.Handler}
		h.born, h.sequence, h.silent = time.Now().UnixMilli(), 0, false
		go h.server.Serve(l)
	})
	return true
}
