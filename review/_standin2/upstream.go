package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// An upstream is a stand-in for an application upstream: it answers requests that name it,
// after some work, and sends heartbeats to the node of its machine.
type upstream struct {
	id, service, address string
	slots                chan struct{}
	work                 time.Duration
	// answer is the body of each answer.
	answer []byte
	record *record
	born   int64

	// mu guards the fields below.
	mu sync.Mutex
	// arrived holds the ids of the requests that were passed on to it, and tenants the X-Tenant
	// of those that ran.
	arrived map[string]bool
	tenants map[string]string
}

func newUpstream(id, service string, slots int, work time.Duration, answer []byte, r *record) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		id: id, service: service, address: listener.Addr().String(), slots: make(chan struct{}, slots),
		work: work, answer: answer, record: r, born: time.Now().UnixMilli(), arrived: make(map[string]bool), tenants: make(map[string]string),
	}
	go func() { _ = http.Serve(listener, u) }() // It ends with the process.
	return u, nil
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", u.id)
	if r.URL.Path == healthPath {
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.arrive(id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // The caller has closed the connection.
	}
	left, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		left = int(time.Minute.Milliseconds())
	}
	queued := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer queued.Stop()
	select {
	case u.slots <- struct{}{}:
	case <-queued.C:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	u.mu.Lock()
	u.tenants[id] = r.Header.Get("X-Tenant")
	u.mu.Unlock()
	if r.Method == http.MethodPost {
		u.record.add("order %s runs at %s", id, u.id)
	}
	time.Sleep(u.work)
	w.Header().Set("X-Response-Stamp", "stamp-"+u.id)
	w.Header().Set("Content-Length", strconv.Itoa(len(u.answer)))
	_, _ = w.Write(u.answer) // An error means that the node has closed the connection.
}

// arrive records that a request was passed on.
func (u *upstream) arrive(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrived[id] = true
}

// hasGot reports whether a request was passed on to the upstream.
func (u *upstream) hasGot(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.arrived[id]
}

// tenantsOf returns the X-Tenant of the requests that ran, by their ids.
func (u *upstream) tenantsOf() map[string]string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.tenants)
}

// announce sends heartbeats to the control address of the own machine until ctx ends.
func (u *upstream) announce(ctx context.Context, control, zone string) {
	client := &http.Client{Timeout: time.Second}
	for sequence := 1; ctx.Err() == nil; sequence++ {
		body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"serving","cold-left":"0ms","sequence":%d,"born":%d}`,
			u.service, u.address, zone, cap(u.slots), sequence, u.born)
		response, err := client.Post("http://"+control+"/api/rpc?call=instances.heartbeat&of="+u.id, "application/json", bytes.NewReader(body))
		if err == nil {
			response.Body.Close()
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}
