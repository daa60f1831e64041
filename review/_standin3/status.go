package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

// promises reports whether a status tells the client that a request hasn't run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

const (
	// orders is the number of orders of the case.
	orders = 60
	// failedEvery makes one of so many orders fail with trouble.
	failedEvery = 5
)

// status sends orders, which may run once, to upstreams that run each of them. With trouble
// some fail there with status 503 and without X-Not-Executed. A client sends an order once more
// after a status that promises that it has not run.
func status(trouble bool) bool {
	booked := make(map[string]int) // runs of each order over all its attempts, guarded by the cluster
	current = newCluster([]group{{"katalog", 3}, {"ordre", 3}}, func(h *host) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if misdirected(w, r, h) {
				return
			}
			id, number := r.Header.Get(attemptHeader), 0
			_, _ = fmt.Fscanf(r.Body, "order %d", &number)
			_, _ = io.Copy(io.Discard, r.Body)
			run := current.recordRun(id)
			current.mu.Lock()
			booked[fmt.Sprintf("order %d", number)]++
			first := booked[fmt.Sprintf("order %d", number)] == 1
			current.mu.Unlock()
			answer := http.StatusOK
			if trouble && first && number%failedEvery == 0 {
				answer = http.StatusServiceUnavailable
			}
			record("upstream %s runs attempt %s of order %d (run %d) and answers %d without %s", h.id, id, number, run, answer, notRunHeader)
			w.Header().Set(attemptHeader, id)
			w.Header().Set(stampHeader, "stamp-of-"+id)
			w.WriteHeader(answer)
			fmt.Fprintf(w, "order %d\n", number)
		})
	})
	c := current
	c.configure(map[string]route{"r-order": {
		Host: authority, Prefix: "/puka111/", Kind: "unsafe", Timeout: "1000ms", TargetLatency: "1500ms", Service: "ordre", MaxAttempts: 2,
	}})
	c.start()
	untrue := 0
	for number := range orders {
		for attempt := 1; attempt <= 2; attempt++ {
			k := &client{host: c.hosts[number%len(c.hosts)]}
			id := fmt.Sprintf("%08x%08x", number, attempt)
			answer, _, err := k.send(call{method: http.MethodPost, path: "/puka111/2f", id: id, body: fmt.Appendf(nil, "order %d", number), deadline: 6 * time.Second})
			k.close()
			ran := c.runsOf(id)
			record("client of %s: attempt %s of order %d is answered %d (%v); it has run %d times", k.host.name, id, number, answer, err, ran)
			if promises(answer) && ran > 0 {
				record("REFUSED: status %d of attempt %s says that it has not run and never will", answer, id)
				untrue++
			}
			if !promises(answer) {
				break
			}
		}
	}
	twice := 0
	for _, n := range booked {
		if n > 1 {
			twice++
		}
	}
	record("%d of %d orders: attempts answered as not run, though they had; %d orders were booked twice", untrue, orders, twice)
	return untrue > 0
}
