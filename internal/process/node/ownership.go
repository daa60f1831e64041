package node

import (
	"context"
	"expvar"
	"time"

	"github.com/bilberryvane/bilberryvane/claim"
	"github.com/bilberryvane/bilberryvane/internal/process/claims"
	"github.com/bilberryvane/bilberryvane/internal/process/directory"
	"github.com/bilberryvane/bilberryvane/internal/process/ownership"
	"github.com/bilberryvane/bilberryvane/shard"
)

// handOverTimeout limits the handover of shards when the node leaves.
const handOverTimeout = 5 * time.Second

// setUpOwnership creates the ownership service and the components whose state needs a
// single holder at a time: claims and rate limits.
func (n *Node) setUpOwnership() {
	self := ownership.Node{Host: n.settings.Host.Name, Zone: n.settings.Host.Zone, Address: n.endpoint.Address()}
	n.ownership = ownership.New(self, ownership.Deps{
		Directory: shardDirectory{directory: n.directory},
		Table:     n.table,
		Sender:    n.endpoint,
		Clock:     n.clock,
		Log:       n.log,
		Specs:     n.shardSpecs,
	}, shard.NewConfig())
	n.claims = claims.New(n.ownership, n.endpoint, n.clock, n.log, claim.WithRetention(n.settings.Claims.Retention))
	n.setUpRateLimiter()
	n.endpoint.Handle(ownership.KindMember, n.ownership.HandleMember)
	n.endpoint.Handle(ownership.KindStatus, n.ownership.HandleStatus)
	n.endpoint.Handle(ownership.KindTakeover, n.ownership.HandleTakeover)
	n.endpoint.Handle(claims.KindClaim, n.claims.Handle)
	n.metrics.Publish("shards-held", expvar.Func(func() any { return n.ownership.HeldShards() }))
}

// handOverShards transfers the shards that the node holds to other nodes.
func (n *Node) handOverShards(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	n.ownership.HandOverAll(limited)
}

// shardDirectory provides the ownership service with the available nodes.
type shardDirectory struct{ directory *directory.Directory }

// Nodes returns the available nodes, including this one.
func (d shardDirectory) Nodes() []ownership.Node {
	known := d.directory.Nodes()
	nodes := make([]ownership.Node, 0, len(known))
	for _, k := range known {
		nodes = append(nodes, ownership.Node{Host: k.Host, Zone: k.Zone, Address: k.Address, Leaving: k.Leaving})
	}
	return nodes
}
