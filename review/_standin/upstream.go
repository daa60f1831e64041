package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// An upstream is a stand-in of the application beside a node. It announces itself each
// heartbeat and runs each request that names it.
type upstream struct {
	id, service, address, zone string
	slots                      int
	record                     *record
	// control is the address of the node for announcements.
	control string
	// work runs a request. It may answer, or crash the upstream.
	work func(u *upstream, w http.ResponseWriter, r *http.Request)

	running atomic.Int64

	mu       sync.Mutex
	server   *http.Server
	conns    map[net.Conn]struct{}
	born     int64
	sequence int64
	up       bool
}

// start starts a process of the upstream.
func (u *upstream) start() error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = make(map[net.Conn]struct{})
	u.server = &http.Server{Handler: u, ConnState: u.track, IdleTimeout: 10 * time.Second}
	u.born, u.sequence, u.up = time.Now().UnixMilli(), 0, true
	server := u.server
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (u *upstream) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(u.conns, c)
		return
	}
	u.conns[c] = struct{}{}
}

// crash ends the process: its listener is closed and its connections are reset. It is back
// after the given time, as a new process with the same id.
func (u *upstream) crash(back time.Duration) {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return
	}
	u.up = false
	server, conns := u.server, u.conns
	u.conns = nil
	u.mu.Unlock()
	u.record.logf("upstream %s crashes", u.id)
	for c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = server.Close()
	time.AfterFunc(back, func() {
		if err := u.start(); err != nil {
			u.record.logf("upstream %s can't start: %v", u.id, err)
			return
		}
		u.record.logf("upstream %s is back", u.id)
		u.announce()
	})
}

// announce sends one heartbeat.
func (u *upstream) announce() {
	u.mu.Lock()
	u.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": "serving", "cold-left": "0ms", "sequence": u.sequence, "born": u.born,
	})
	up := u.up
	u.mu.Unlock()
	if !up {
		return
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+u.control+"/api/rpc?call=instances.heartbeat&of="+u.id, "application/json", bytes.NewReader(body))
	if err != nil {
		u.record.logf("heartbeat of %s has no answer: %v", u.id, err)
		return
	}
	_ = response.Body.Close()
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", u.id)
	if r.URL.Path == "/healthcheck" {
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.running.Add(1) > int64(u.slots) {
		u.running.Add(-1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	u.record.logf("upstream %s runs %s %s", u.id, id, r.URL.Path)
	w.Header().Set("X-Response-Stamp", fmt.Sprintf("%s.%s", u.id, id))
	u.work(u, w, r)
}

// answer writes a body of a length.
func answer(w http.ResponseWriter, length int) {
	w.Header().Set("Content-Length", fmt.Sprint(length))
	_, _ = w.Write(bytes.Repeat([]byte("x"), length))
}

// drain reads the body of a request and returns its length.
func drain(r *http.Request) int64 {
	n, _ := io.Copy(io.Discard, r.Body)
	return n
}
