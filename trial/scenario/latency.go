package scenario

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/trial/fleet"
	"github.com/bilberryvane/bilberryvane/trial/load"
)

// A Sample says how latency is measured.
type Sample struct {
	Service, Class, Path, Secret string
	// Rate is in requests a second, straight and through the system each.
	Rate   float64
	Length time.Duration
}

// A Latency compares calls through the system with calls straight to a backend
// server at the same time.
type Latency struct {
	DirectMedian, DirectTail   time.Duration
	ThroughMedian, ThroughTail time.Duration
	Requests                   int64
}

// Added returns what the system adds to the latency of 99 in 100 calls.
func (l Latency) Added() time.Duration { return l.ThroughTail - l.DirectTail }

// String returns the comparison as a line of text.
func (l Latency) String() string {
	return fmt.Sprintf("latency p50/p99 of %d calls: direct %s/%s, through the system %s/%s, added at p99 %s (target 1.6ms)",
		l.Requests, l.DirectMedian, l.DirectTail, l.ThroughMedian, l.ThroughTail, l.Added())
}

// SampleLatency measures latency at a load far below saturation. Callers enter at
// hosts that do not offer the service, so that each call passes two nodes.
func SampleLatency(ctx context.Context, f *fleet.Fleet, s Sample, seed uint64) Latency {
	driver := load.New(seed)
	direct := load.Stream{
		Name: "direct", Class: s.Class, Method: http.MethodGet, Path: s.Path, Rate: s.Rate, Timeout: time.Second,
	}
	through := direct
	through.Name, through.Path, through.Secret = "through", "/"+s.Service+s.Path, s.Secret
	through.Entries = nil
	for _, h := range f.Deployment.HostsOf(s.Service) {
		direct.Entries = append(direct.Entries, h.Server)
	}
	for _, h := range f.Deployment.Hosts {
		if h.Service != s.Service {
			through.Entries = append(through.Entries, h.Callers)
		}
	}
	var streams sync.WaitGroup
	for _, stream := range []load.Stream{direct, through} {
		streams.Go(func() { driver.Run(ctx, stream, s.Length) })
	}
	streams.Wait()
	byStream := map[string][]load.Result{}
	for _, r := range driver.Results() {
		byStream[r.Stream] = append(byStream[r.Stream], r)
	}
	straight, system := load.Latencies(byStream["direct"]), load.Latencies(byStream["through"])
	const median, tail = 50, 99
	micro := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return Latency{
		DirectMedian: micro(straight.ValueAtQuantile(median)), DirectTail: micro(straight.ValueAtQuantile(tail)),
		ThroughMedian: micro(system.ValueAtQuantile(median)), ThroughTail: micro(system.ValueAtQuantile(tail)),
		Requests: system.TotalCount(),
	}
}
