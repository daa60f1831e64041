package node

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/ratelimit"
)

const (
	// readyPollInterval is how often a starting node checks whether it is ready.
	readyPollInterval = 10 * time.Millisecond
	// readyTimeout is how long a starting node waits to become ready. After that, a
	// partitioned node serves the requests it can and refuses the others with a reason.
	readyTimeout = 10 * time.Second
)

// serveWhenReady starts serving callers once the node is ready or readyTimeout has
// passed. Before it is ready, the node could do little but refuse requests.
func (n *Node) serveWhenReady(ctx context.Context) {
	started := time.Now()
	for !n.isReady() && time.Since(started) < readyTimeout {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return
		}
	}
	n.callerServer.Serve()
	n.log.Emit(event.NodeServes, log.Fields{
		"host": n.settings.Host.Name, "ready": n.isReady(), "after": time.Since(started).String(),
	})
}

// isReady reports whether the node has a configuration and knows another node and the
// holders of its zone's rate shards.
func (n *Node) isReady() bool {
	snapshot, configured := n.configuration.Current()
	if !configured || len(n.membership.All()) < 2 {
		return false
	}
	zone := n.settings.Host.Zone
	if !slices.Contains(ratelimit.Zones(snapshot), zone) {
		return true
	}
	for _, name := range ratelimit.ShardNames(zone) {
		if _, ok := n.ownership.HolderAddress(name); !ok {
			return false
		}
	}
	return true
}
