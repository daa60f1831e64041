package node

import (
	"context"
	"expvar"
	"math/rand"

	"github.com/alitto/pond/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/directory"
	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/internal/process/withdrawal"
	"github.com/bilberryvane/bilberryvane/internal/request/entry"
)

// configurationWorkers limits the concurrent configuration exchanges with other nodes.
const configurationWorkers = 16

// ConfigurationSource provides the configuration version in force at the node.
type ConfigurationSource interface {
	entry.Configuration
	withdrawal.ConfigurationSource
}

// setUpConfiguration creates the key checker and, unless WithConfiguration set a source,
// the follower that keeps the configuration up to date.
func (n *Node) setUpConfiguration() {
	if n.configuration != nil {
		n.keys = withdrawal.NewKeyChecker(n.configuration)
		return
	}
	n.followerPool = pond.NewPool(configurationWorkers)
	peers := configurationPeers{endpoint: n.endpoint, directory: n.directory, host: n.settings.Host.Name}
	self := distribution.Peer{Host: n.settings.Host.Name, Zone: n.settings.Host.Zone, Address: n.endpoint.Address()}
	n.follower = distribution.NewFollower(self, distribution.Deps{
		Source:    distribution.NewRegistry(n.table, n.objects),
		Transport: peers,
		Peers:     peers,
		Gossip:    n.membership,
		Pool:      n.followerPool,
		Clock:     n.clock,
		Log:       n.log,
		Random:    rand.New(rand.NewSource(n.clock.Now().UnixNano())),
	}, distribution.WithMaxOffline(n.settings.Keys.MaxOffline))
	n.configuration = n.follower
	n.keys = withdrawal.NewKeyChecker(n.follower)
	n.follower.Watch(n.keys.Update)
	n.endpoint.Handle(peer.Kind(distribution.KindUpdateRequest), peers.handler(n.follower.HandleUpdateRequest))
	n.endpoint.Handle(peer.Kind(distribution.KindNotice), peers.handler(n.follower.HandleNotice))
	n.metrics.Publish("configuration", expvar.Func(func() any { return n.follower.Status() }))
}

// setUpPlatform creates the platform clients, which are shared within the node. They
// open no connection until first use.
func (n *Node) setUpPlatform() {
	s := n.settings.Platform
	endpoint := platform.Endpoint{
		TableURL:   s.TableEndpoint,
		ObjectsURL: s.ObjectEndpoint,
		Region:     s.Region,
		AccessKey:  s.AccessKey,
		SecretKey:  s.SecretKey,
		TableName:  s.Table,
		Bucket:     s.Bucket,
	}
	meter := platform.NewMeter(n.clock)
	n.metrics.Publish("platform", meter)
	options := []platform.Option{platform.WithTimeout(s.Timeout), platform.WithMeter(meter)}
	n.table = platform.NewTable(endpoint, options...)
	n.objects = platform.NewObjectStore(endpoint, options...)
}

// configurationPeers implements the follower's Transport and Peers.
type configurationPeers struct {
	endpoint  *peer.Endpoint
	directory *directory.Directory
	host      string
}

// Call sends a message to another node and returns the response.
func (p configurationPeers) Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error) {
	return p.endpoint.Call(ctx, address, peer.Kind(kind), body)
}

// Peers returns the other nodes.
func (p configurationPeers) Peers() []distribution.Peer {
	var peers []distribution.Peer
	for _, d := range p.directory.Nodes() {
		if d.Host != p.host {
			peers = append(peers, distribution.Peer{Host: d.Host, Zone: d.Zone, Address: d.Address})
		}
	}
	return peers
}

// handler adapts a handler of the follower to the peer endpoint. It adds the sender's
// address from the directory; the address is empty if the sender isn't listed there.
func (p configurationPeers) handler(
	handle func(context.Context, distribution.Peer, []byte) ([]byte, error),
) peer.Handler {
	return func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		sender := distribution.Peer{Host: from.Host, Zone: from.Zone}
		for _, known := range p.Peers() {
			if known.Host == from.Host {
				sender.Address = known.Address
			}
		}
		return handle(ctx, sender, body)
	}
}
