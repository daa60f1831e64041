package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"time"
)

// A place is a machine of the deployment: its zone and the upstream on it.
type place struct {
	zone, service string
	work          time.Duration
	answer        []byte
}

// A fleet is a running deployment.
type fleet struct {
	store     *store
	nodes     []*node
	upstreams []*upstream
	record    *record
	folder    string
	stopBeats context.CancelFunc
}

// readyTimeout bounds the time until all nodes are ready and know each other. Traffic starts 8 s
// after the machines of the small sites.
const readyTimeout = 20 * time.Second

// startFleet starts the platform's store, the upstreams and the nodes, and waits until all nodes
// are ready.
func startFleet(places []place, configuration string, r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	s.write("op", "config", []byte(configuration))
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{store: s, record: r, folder: folder, stopBeats: cancel}
	for i, p := range places {
		u, err := newUpstream(fmt.Sprintf("i-%s-%d", p.service, i), p.service, 184, p.work, p.answer, r)
		if err != nil {
			return nil, err
		}
		n, err := newNode(fmt.Sprintf("machine-%d", i), p.zone, u, folder, r)
		if err != nil {
			return nil, err
		}
		f.upstreams, f.nodes = append(f.upstreams, u), append(f.nodes, n)
		if err := n.start(s.address); err != nil {
			return f, err
		}
		go u.announce(ctx, n.control, p.zone)
	}
	return f, f.awaitReady()
}

// awaitReady waits until all nodes are ready, and then for some time in which they meet.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(readyTimeout)
	for _, n := range f.nodes {
		for {
			response, err := client.Get("http://" + n.ready + "/api/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return errors.New(n.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	f.record.add("all %d nodes are ready", len(f.nodes))
	return nil
}

// stop ends all processes and removes their files.
func (f *fleet) stop() {
	f.stopBeats()
	for _, n := range f.nodes {
		n.stop()
		f.record.add("%s: used %d MB at most, killed for its memory %d times", n.name, n.peak, n.overMemory)
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(f.folder, keep) // For a reader only.
	}
	_ = os.RemoveAll(f.folder) // The folder is temporary anyway.
}

// passedOn reports whether a request was passed on to an upstream.
func (f *fleet) passedOn(id string) bool {
	return slices.ContainsFunc(f.upstreams, func(u *upstream) bool { return u.hasGot(id) })
}
