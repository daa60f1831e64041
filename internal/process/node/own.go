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

// handOverLimit bounds the handover of shards when the node leaves.
const handOverLimit = 5 * time.Second

// own makes the parts that hold what must be owned once.
func (n *Node) own() {
	self := ownership.Node{Host: n.settings.Host.Name, Zone: n.settings.Host.Zone, Address: n.endpoint.Address()}
	n.ownership = ownership.New(self, ownership.Deps{
		Directory: shardDirectory{directory: n.directory},
		Table:     n.table,
		Sender:    n.endpoint,
		Clock:     n.clock,
		Log:       n.log,
		Specs:     n.shards,
	}, shard.NewConfig())
	n.claims = claims.New(n.ownership, n.endpoint, n.clock, n.log, claim.WithRetention(n.settings.Claims.Retention))
	n.allot()
	n.endpoint.Handle(ownership.KindMember, n.ownership.HandleMember)
	n.endpoint.Handle(ownership.KindStatus, n.ownership.HandleStatus)
	n.endpoint.Handle(ownership.KindTakeover, n.ownership.HandleTakeover)
	n.endpoint.Handle(claims.KindClaim, n.claims.Handle)
	n.metrics.Publish("shards-held", expvar.Func(func() any { return n.ownership.HeldShards() }))
}

// handOver lets other nodes take the shards that this one holds.
func (n *Node) handOver(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	n.ownership.HandOverAll(limited)
}

// shardDirectory tells the shards which nodes are up.
type shardDirectory struct{ directory *directory.Directory }

// Nodes returns the nodes, this one included.
func (d shardDirectory) Nodes() []ownership.Node {
	known := d.directory.Nodes()
	nodes := make([]ownership.Node, 0, len(known))
	for _, k := range known {
		nodes = append(nodes, ownership.Node{Host: k.Host, Zone: k.Zone, Address: k.Address, Leaving: k.Leaving})
	}
	return nodes
}
