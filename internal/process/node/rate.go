package node

import (
	"context"

	"github.com/alitto/pond/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/allotment"
	"github.com/bilberryvane/bilberryvane/internal/process/claims"
	"github.com/bilberryvane/bilberryvane/internal/process/ownership"
)

const (
	// rateWorkers bounds the exchanges with holders of the rate that are under way.
	rateWorkers = 64
	// rateMembers is the number of members of a shard of the rate.
	rateMembers = 3
)

// allot makes the part that holds client accounts to their rate.
func (n *Node) allot() {
	n.ratePool = pond.NewPool(rateWorkers, pond.WithQueueSize(rateWorkers), pond.WithNonBlocking(true))
	self := allotment.Self{Host: n.settings.Host.Name, Zone: n.settings.Host.Zone, Address: n.endpoint.Address()}
	n.allotment = allotment.New(self, allotment.Parts{
		Configuration: n.configuration,
		Holders:       rateHolders{n.ownership},
		Sender:        ratePeers{n.endpoint},
		Pool:          n.ratePool,
		Clock:         n.clock,
		Log:           n.log,
	})
	n.endpoint.Handle(allotment.KindAsk, func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		return n.allotment.Handle(ctx, from.Host, body)
	})
	n.metrics.Publish("rate", n.allotment.Metrics())
}

// runRate asks for tokens until the context ends.
func (n *Node) runRate(ctx context.Context) {
	n.allotment.Run(ctx)
	n.ratePool.StopAndWait()
}

// shards returns the shards that the node may have to hold: those of the claims,
// and each zone's share of the rate with all members in that zone.
func (n *Node) shards() []ownership.Spec {
	specs := claims.ShardSpecs()
	snapshot, ok := n.configuration.Current()
	if !ok {
		return specs
	}
	for _, zone := range allotment.Zones(snapshot) {
		members := zone
		if zone == allotment.WholeFleet {
			members = ""
		}
		for _, name := range allotment.Shards(zone) {
			specs = append(specs, ownership.Spec{Name: name, Size: rateMembers, Zone: members})
		}
	}
	return specs
}

// rateHolders tells who holds the shares of the rate.
type rateHolders struct{ *ownership.Service }

// Held returns the node's tenure of a share, if it has begun.
func (h rateHolders) Held(name string) (allotment.Tenure, bool) {
	t, ok := h.Service.Held(name)
	return allotment.Tenure{Epoch: t.Epoch, From: t.From, Until: t.Until}, ok && !t.From.IsZero()
}

// ratePeers sends messages to holders.
type ratePeers struct{ endpoint *peer.Endpoint }

// Call sends a message to another node.
func (p ratePeers) Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error) {
	return p.endpoint.Call(ctx, address, peer.Kind(kind), body)
}
