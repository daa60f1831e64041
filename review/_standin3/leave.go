package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The bounds of the settings that the case uses.
const (
	drain   = 2 * time.Second
	contact = 3 * time.Second
)

// The times of the case, from the acknowledgement of the leaving on.
const (
	killAfter      = time.Second
	lateBeatAfter  = 2500 * time.Millisecond
	exitAfter      = 6500 * time.Millisecond
	ordersEndAfter = 8 * time.Second
	// otherDelay is how much later than the process beside the leaving upstream the others
	// are started again, and startTime the most that a start takes.
	otherDelay = 400 * time.Millisecond
	startTime  = 300 * time.Millisecond
	// orderInterval is the time between two orders of a machine, orderWork that of a run.
	orderInterval = 40 * time.Millisecond
	orderWork     = 160 * time.Millisecond
)

// leave lets an upstream leave with a deregister call, which its node acknowledges. With trouble
// the processes of all machines are killed then. A heartbeat that the upstream has sent before it
// left arrives late. The upstream serves for some time and exits.
func leave(trouble bool) bool {
	var mu sync.Mutex
	var acknowledged, inTouch time.Time
	late, cut, sent := 0, 0, make(map[string]time.Time)
	var leaving *host
	current = newCluster([]group{{"katalog", 3}, {"ordre", 3}}, func(h *host) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrived := time.Now()
			if misdirected(w, r, h) {
				return
			}
			id := r.Header.Get(attemptHeader)
			_, _ = io.Copy(io.Discard, r.Body)
			run := current.recordRun(id)
			mu.Lock()
			if h == leaving && !acknowledged.IsZero() {
				since := arrived.Sub(acknowledged)
				counts := since > drain && !sent[id].Before(inTouch)
				if counts {
					late++
				}
				record("upstream %s, which leaves, runs %s (run %d) %.3f s after the acknowledgement, counted: %v", h.id, id, run, since.Seconds(), counts)
			}
			mu.Unlock()
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
	answers := make(map[int]int)
	var clients sync.WaitGroup
	end := make(chan struct{})
	for _, h := range c.hosts {
		clients.Go(func() {
			var all sync.WaitGroup
			defer all.Wait()
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				case <-time.After(orderInterval):
				}
				all.Go(func() {
					id := fmt.Sprintf("o-%s-%d", h.name, n)
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					k := &client{host: h}
					answer, _, err := k.send(call{method: http.MethodPost, path: "/puka111/2f", id: id, body: []byte("two bundles"), deadline: 6 * time.Second})
					k.close()
					mu.Lock()
					defer mu.Unlock()
					answers[answer]++
					if answer != http.StatusOK && c.runsOf(id) > 0 {
						record("client of %s: order %s has run and is answered %d (%v)", h.name, id, answer, err)
						if !sent[id].Before(inTouch) {
							cut++
						}
					}
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	u := c.hosts[3]
	u.pause()
	beat := u.heartbeat() // sent before the upstream leaves, and delayed
	mu.Lock()
	leaving = u
	mu.Unlock()
	if status := u.post("instances.deregister", fmt.Sprintf(`{"born":%d}`, u.born)); status != http.StatusOK {
		fatal(fmt.Errorf("the leaving is answered %d", status))
	}
	mu.Lock()
	acknowledged = time.Now()
	inTouch = acknowledged
	mu.Unlock()
	record("%s has acknowledged that %s leaves", u.name, u.id)
	time.Sleep(killAfter)
	if trouble {
		for _, h := range c.hosts {
			if h != u {
				h.extraDelay = otherDelay
			}
			h.signal(syscall.SIGKILL)
		}
		mu.Lock()
		inTouch = time.Now().Add(restartDelay + otherDelay + startTime + contact)
		mu.Unlock()
		record("the processes of all machines are killed")
	}
	time.Sleep(time.Until(acknowledged.Add(lateBeatAfter)))
	record("a heartbeat of %s from before it left arrives; it is answered %d", u.id, u.post("instances.heartbeat", beat))
	time.Sleep(time.Until(acknowledged.Add(exitAfter)))
	u.server.Close()
	record("%s exits", u.id)
	time.Sleep(time.Until(acknowledged.Add(ordersEndAfter)))
	close(end)
	clients.Wait()
	record("orders by status: %v; orders that reached the leaving upstream later than %v from machines in touch: %d; of these that were sent since, ran and have no answer of an upstream: %d", answers, drain, late, cut)
	return late > 0
}

// pause stops the announcements of the upstream.
func (h *host) pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = true
}

// heartbeat returns the next heartbeat of the upstream.
func (h *host) heartbeat() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":184,"state":"serving","cold-left":"0ms","sequence":%d,"born":%d}`,
		h.service, h.upstream.Addr(), h.zone, h.sequence, h.born)
}

// post sends a call of the upstream to the process beside it and returns the status.
func (h *host) post(name, body string) int {
	k := &http.Client{Timeout: time.Second}
	r, err := k.Post("http://"+h.control+"/api/rpc?call="+name+"&of="+h.id, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return 0
	}
	r.Body.Close()
	return r.StatusCode
}
