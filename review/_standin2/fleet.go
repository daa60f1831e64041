package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
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

	// mu guards nodes and upstreams while the fleet starts.
	mu sync.Mutex
}

// readyTimeout bounds the time until all nodes are ready and know each other. Traffic starts 8 s
// after the machines of the small sites.
const readyTimeout = 20 * time.Second

// startFleet starts the platform's store, the upstreams and the nodes, and waits until all nodes
// are ready. The caller stops the fleet, also after an error, unless it is nil.
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
	f.stopWhenInterrupted()
	for i, p := range places {
		u, err := newUpstream(fmt.Sprintf("i-%s-%d", p.service, i), p.service, 184, p.work, p.answer, r)
		if err != nil {
			return f, err
		}
		n, err := newNode(fmt.Sprintf("machine-%d", i), p.zone, u, folder, r)
		if err != nil {
			return f, err
		}
		if err := n.start(s.address); err != nil {
			return f, err
		}
		f.add(u, n)
		go u.announce(ctx, n.control, p.zone)
	}
	return f, f.awaitReady()
}

func (f *fleet) add(u *upstream, n *node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams, f.nodes = append(f.upstreams, u), append(f.nodes, n)
}

// stopWhenInterrupted ends all processes when this one is told to end.
func (f *fleet) stopWhenInterrupted() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(exitNotRun)
	}()
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
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.stop()
		f.record.add("%s: used %d MB at most, killed for its memory %d times", n.name, n.peak, n.overMemory)
	}
	_ = os.RemoveAll(f.folder) // The folder is temporary anyway.
}

// passedOn reports whether a request was passed on to an upstream.
func (f *fleet) passedOn(id string) bool {
	return slices.ContainsFunc(f.upstreams, func(u *upstream) bool { return u.hasGot(id) })
}
