package node

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/allotment"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
)

const (
	// readyPoll is how often a starting node looks whether it is ready.
	readyPoll = 10 * time.Millisecond
	// readyTimeout is how long callers wait for that at the most. A node that is
	// cut off then serves what it can, and refuses the rest with its reason.
	readyTimeout = 10 * time.Second
)

// serveWhenReady begins to answer callers once the node can do more than refuse
// them.
func (n *Node) serveWhenReady(ctx context.Context) {
	started := time.Now()
	for !n.ready() && time.Since(started) < readyTimeout {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return
		}
	}
	n.callers.Serve()
	n.log.Emit(event.NodeServes, log.Fields{
		"host": n.settings.Host.Name, "ready": n.ready(), "after": time.Since(started).String(),
	})
}

// ready reports whether the node holds a configuration, knows another node and the
// holders of its zone's rate.
func (n *Node) ready() bool {
	snapshot, configured := n.configuration.Current()
	if !configured || len(n.membership.All()) < 2 {
		return false
	}
	zone := n.settings.Host.Zone
	if !slices.Contains(allotment.Zones(snapshot), zone) {
		return true
	}
	for _, name := range allotment.Shards(zone) {
		if _, ok := n.ownership.HolderAddress(name); !ok {
			return false
		}
	}
	return true
}
