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

// A LatencyParams configures a latency measurement.
type LatencyParams struct {
	Service, Class, Path, Secret string
	// Rate is in requests per second, for each of the two streams.
	Rate     float64
	Duration time.Duration
}

// A LatencyResult compares the latency of calls through the system with that of
// concurrent direct calls to the backend servers.
type LatencyResult struct {
	DirectP50, DirectP99 time.Duration
	SystemP50, SystemP99 time.Duration
	Requests             int64
}

// AddedP99 returns the difference of the 99th percentiles: the latency added by the system.
func (l LatencyResult) AddedP99() time.Duration { return l.SystemP99 - l.DirectP99 }

// String returns the comparison as one line of text.
func (l LatencyResult) String() string {
	return fmt.Sprintf("latency p50/p99 of %d calls: direct %s/%s, through the system %s/%s, added at p99 %s (target 1.6ms)",
		l.Requests, l.DirectP50, l.DirectP99, l.SystemP50, l.SystemP99, l.AddedP99())
}

// MeasureLatency measures latency. The rate should be far below saturation. Callers
// use hosts of other services, so that each call passes through two nodes.
func MeasureLatency(ctx context.Context, f *fleet.Fleet, s LatencyParams, seed uint64) LatencyResult {
	driver := load.New(seed)
	direct := load.Stream{
		Name: "direct", Class: s.Class, Method: http.MethodGet, Path: s.Path, Rate: s.Rate, Timeout: time.Second,
	}
	through := direct
	through.Name, through.Path, through.Secret = "through", "/"+s.Service+s.Path, s.Secret
	through.Addresses = nil
	for _, h := range f.Deployment.HostsOf(s.Service) {
		direct.Addresses = append(direct.Addresses, h.ServerAddress)
	}
	for _, h := range f.Deployment.Hosts {
		if h.Service != s.Service {
			through.Addresses = append(through.Addresses, h.CallerAddress)
		}
	}
	var streams sync.WaitGroup
	for _, stream := range []load.Stream{direct, through} {
		streams.Go(func() { driver.Run(ctx, stream, s.Duration) })
	}
	streams.Wait()
	byStream := map[string][]load.Result{}
	for _, r := range driver.Results() {
		byStream[r.Stream] = append(byStream[r.Stream], r)
	}
	directLatency, systemLatency := load.LatencyHistogram(byStream["direct"]), load.LatencyHistogram(byStream["through"])
	const median, tail = 50, 99
	microseconds := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
	return LatencyResult{
		DirectP50: microseconds(directLatency.ValueAtQuantile(median)), DirectP99: microseconds(directLatency.ValueAtQuantile(tail)),
		SystemP50: microseconds(systemLatency.ValueAtQuantile(median)), SystemP99: microseconds(systemLatency.ValueAtQuantile(tail)),
		Requests: systemLatency.TotalCount(),
	}
}
