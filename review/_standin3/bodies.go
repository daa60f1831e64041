package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadBytes is the size of an order's body. The configuration allows 64 MiB.
	uploadBytes = 17 << 20
	// uploadWork is how long an upstream works on an order once it has read it. The site file
	// says 940 ms at most.
	uploadWork = 800 * time.Millisecond
	// waves is the number of rounds of orders.
	waves = 3
	// waveTime is the time from one round to the next.
	waveTime = 25 * time.Second
	// uploaders is the number of clients of a machine that send one order in each round.
	uploaders = 2
	// browseWork is how long an upstream works on a request for the catalogue.
	browseWork = 120 * time.Millisecond
	// browsers is the number of clients of a machine that browse the catalogue.
	browsers = 8
	// lostAllowed is the number of requests that a machine may leave without an answer.
	lostAllowed = 3
)

// bodies sends orders with large bodies from two clients of each machine. With trouble the orders
// of all clients come at the same time, else one after another. Other clients browse the
// catalogue on kept connections. The platform kills each process that exceeds its memory.
func bodies(trouble bool) bool {
	current = newCluster([]group{{"katalog", 3}, {"ordre", 3}, {"lager", 3}, {"pakke", 3}}, func(h *host) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if misdirected(w, r, h) {
				return
			}
			id, work := r.Header.Get(attemptHeader), browseWork
			n, err := io.Copy(io.Discard, r.Body)
			run := current.recordRun(id)
			if h.service == "ordre" {
				work = uploadWork
				record("upstream %s runs order %s (run %d), body of %d bytes (%v)", h.id, id, run, n, err)
			}
			time.Sleep(work)
			w.Header().Set(attemptHeader, id)
			w.Header().Set(stampHeader, "stamp-of-"+id)
			fmt.Fprintf(w, "done %s\n", id)
		})
	})
	c := current
	c.configure(map[string]route{
		"r-browse": {Host: authority, Prefix: "/leny950/", Kind: "safe", Timeout: "800ms", TargetLatency: "1500ms", Priority: 2, Service: "katalog", MaxAttempts: 2},
		"r-order":  {Host: authority, Prefix: "/puka111/", Kind: "unsafe", Timeout: "5s", TargetLatency: "1500ms", Service: "ordre", MaxAttempts: 2},
	})
	c.start()
	watch := watchMemory(c)
	lost := browseAll(c)
	body := bytes.Repeat([]byte("photo of a cot sheet "), uploadBytes/21+1)[:uploadBytes]
	answers := make(map[int]int)
	var mu sync.Mutex
	for wave := range waves {
		next := time.Now().Add(waveTime)
		var all sync.WaitGroup
		for i := range uploaders * len(c.hosts) {
			h := c.hosts[i%len(c.hosts)]
			id := fmt.Sprintf("%08x%08x", wave, i)
			order := func() {
				k := &client{host: h}
				answer, _, err := k.send(call{method: http.MethodPost, path: "/puka111/2f", id: id, body: body, deadline: 6 * time.Second})
				k.close()
				record("client of %s: order %s is answered %d (%v); it has run %d times", h.name, id, answer, err, c.runsOf(id))
				mu.Lock()
				defer mu.Unlock()
				answers[answer]++
			}
			if trouble {
				all.Go(order)
			} else {
				order()
			}
		}
		all.Wait()
		time.Sleep(time.Until(next))
	}
	return report(c, watch, lost, answers)
}

// report records the results and reports whether a machine has lost more requests than allowed.
func report(c *cluster, watch *memoryWatch, lost map[*host]*atomic.Int64, answers map[int]int) bool {
	broken, kills := false, 0
	for _, h := range c.hosts {
		peak, killed := watch.of(h)
		kills += killed
		record("%s: at most %d MB of private memory, killed for its memory %d times; %d requests for the catalogue were passed on and their kept connection closed without an answer",
			h.name, peak, killed, lost[h].Load())
		broken = broken || lost[h].Load() > lostAllowed
	}
	record("orders by status: %v; processes killed for their memory: %d", answers, kills)
	return broken
}

// browseAll starts the clients that browse, and returns the number of the requests of each
// machine that ran and whose kept connection was closed without an answer.
func browseAll(c *cluster) map[*host]*atomic.Int64 {
	lost := make(map[*host]*atomic.Int64)
	for _, h := range c.hosts {
		lost[h] = &atomic.Int64{}
		for i := range browsers {
			go func() {
				k := &client{host: h}
				for n := 0; ; n++ {
					id := fmt.Sprintf("b-%s-%d-%d", h.name, i, n)
					kept := k.conn != nil && k.served > 0
					_, _, err := k.send(call{method: http.MethodGet, path: "/leny950/2f", id: id, deadline: 6 * time.Second})
					if err == nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					if kept && c.runsOf(id) > 0 {
						record("LOST: %s passed %s on to an upstream, which ran it, and its kept connection ended without an answer: %v", h.name, id, err)
						lost[h].Add(1)
					}
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
	}
	return lost
}

// A memoryWatch kills processes that exceed their memory, as the platform does.
type memoryWatch struct {
	mu          sync.Mutex
	peak, kills map[*host]int
}

// of returns the largest private memory of a machine's process in MiB, and how often it was
// killed.
func (w *memoryWatch) of(h *host) (peak, kills int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak[h], w.kills[h]
}

// watchMemory starts to watch the processes of a cluster. Private memory without files and
// without what the kernel holds for sockets is less than what the platform counts.
func watchMemory(c *cluster) *memoryWatch {
	w := &memoryWatch{peak: make(map[*host]int), kills: make(map[*host]int)}
	go func() {
		for ; ; time.Sleep(5 * time.Millisecond) {
			for _, h := range c.hosts {
				pid, mb := h.privateMB()
				w.mu.Lock()
				w.peak[h] = max(w.peak[h], mb)
				exceeds := mb > memoryMB
				if exceeds {
					w.kills[h]++
				}
				w.mu.Unlock()
				if exceeds {
					record("the process of %s (pid %d) uses %d MB, more than %d: the platform kills it", h.name, pid, mb, memoryMB)
					h.signal(syscall.SIGKILL)
					time.Sleep(20 * time.Millisecond)
				}
			}
		}
	}()
	return w
}
