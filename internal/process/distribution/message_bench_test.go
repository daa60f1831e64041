package distribution_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/alitto/pond/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
)

// BenchmarkUpdateResponse measures the size of a response that adds one key, and of a
// response with the full configuration, for several numbers of keys.
func BenchmarkUpdateResponse(b *testing.B) {
	for _, size := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("keys=%d", size), func(b *testing.B) { benchmarkResponse(b, size) })
	}
}

func benchmarkResponse(b *testing.B, size int) {
	_, registry := startPlatform(b)
	n := &network{registry: registry, pool: pond.NewPool(4), clock: clock.System{}, nodes: make(map[string]*node)}
	defer n.pool.StopAndWait()
	d := n.startNode("host-0", "zone-0")
	defer d.stop()
	var keys []string
	for i := range size + 1 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	for version := range uint64(2) {
		_, err := registry.Publish(context.Background(), distribution.Change{
			ID: fmt.Sprint(version), Base: version, Content: configurationWith(keys[:uint64(size)+version]...),
		})
		if err != nil {
			b.Fatal(err)
		}
		for d.Snapshot().Version() != version+1 {
		}
	}
	sizes := make([]int, 2)
	for b.Loop() {
		for have := range sizes {
			body, err := cbor.Marshal(distribution.UpdateRequest{Have: uint64(have)})
			if err != nil {
				b.Fatal(err)
			}
			reply, err := d.HandleUpdateRequest(context.Background(), distribution.Peer{}, body)
			if err != nil {
				b.Fatal(err)
			}
			sizes[have] = len(reply)
		}
	}
	b.ReportMetric(float64(sizes[0]), "whole-B")
	b.ReportMetric(float64(sizes[1]), "change-B")
}
