package node

import (
	"context"

	"github.com/alitto/pond/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/claims"
	"github.com/bilberryvane/bilberryvane/internal/process/ownership"
	"github.com/bilberryvane/bilberryvane/internal/process/ratelimit"
)

const (
	// rateWorkers limits the concurrent exchanges with holders of rate shards.
	rateWorkers = 64
	// rateShardSize is the number of members of a rate shard.
	rateShardSize = 3
)

// setUpRateLimiter creates the component that limits the request rate of client accounts.
func (n *Node) setUpRateLimiter() {
	n.ratePool = pond.NewPool(rateWorkers, pond.WithQueueSize(rateWorkers), pond.WithNonBlocking(true))
	self := ratelimit.Self{Host: n.settings.Host.Name, Zone: n.settings.Host.Zone, Address: n.endpoint.Address()}
	n.allotment = ratelimit.New(self, ratelimit.Deps{
		Configuration: n.configuration,
		Holders:       rateHolders{n.ownership},
		Transport:     rateTransport{n.endpoint},
		Pool:          n.ratePool,
		Clock:         n.clock,
		Log:           n.log,
	})
	n.endpoint.Handle(ratelimit.KindRateRequest, func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		return n.allotment.Handle(ctx, from.Host, body)
	})
	n.metrics.Publish("rate", n.allotment.Metrics())
}

// runRateLimiter requests tokens from the holders of rate shards until the context ends.
func (n *Node) runRateLimiter(ctx context.Context) {
	n.allotment.Run(ctx)
	n.ratePool.StopAndWait()
}

// shardSpecs returns the specs of all shards that the node may hold: the claim shards
// and the rate shards of each zone. All members of a zone's rate shard are in that zone.
func (n *Node) shardSpecs() []ownership.Spec {
	specs := claims.ShardSpecs()
	snapshot, ok := n.configuration.Current()
	if !ok {
		return specs
	}
	for _, zone := range ratelimit.Zones(snapshot) {
		members := zone
		if zone == ratelimit.AllZones {
			members = ""
		}
		for _, name := range ratelimit.ShardNames(zone) {
			specs = append(specs, ownership.Spec{Name: name, Size: rateShardSize, Zone: members})
		}
	}
	return specs
}

// rateHolders provides the holders of rate shards.
type rateHolders struct{ *ownership.Service }

// Held returns the node's tenure of a rate shard, and whether the tenure has begun.
func (h rateHolders) Held(name string) (ratelimit.Tenure, bool) {
	t, ok := h.Service.Held(name)
	return ratelimit.Tenure{Epoch: t.Epoch, From: t.From, Until: t.Until}, ok && !t.From.IsZero()
}

// rateTransport sends messages to holders of rate shards.
type rateTransport struct{ endpoint *peer.Endpoint }

// Call sends a message to another node and returns the response.
func (p rateTransport) Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error) {
	return p.endpoint.Call(ctx, address, peer.Kind(kind), body)
}
