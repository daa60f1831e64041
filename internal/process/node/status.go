package node

import (
	"github.com/bilberryvane/bilberryvane/internal/connection/operator"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// Status returns the node's status for operators.
func (n *Node) Status() operator.Status {
	status := operator.Status{
		Host:    n.settings.Host.Name,
		Zone:    n.settings.Host.Zone,
		Leaving: n.leaving.Load(),
		Running: n.registry.Len(),
	}
	if snapshot, ok := n.configuration.Current(); ok {
		status.ConfigurationVersion = snapshot.Version()
	}
	for _, d := range n.directory.Nodes() {
		if d.Host == status.Host {
			status.Service = d.Service
			continue
		}
		status.Peers = append(status.Peers, operator.Peer{
			Host: d.Host, Zone: d.Zone, Address: d.Address, Service: d.Service, Leaving: d.Leaving,
		})
	}
	return status
}

// FindRefusal returns the refusal of a request if this node still keeps it.
func (n *Node) FindRefusal(requestID string) (refusal.Refusal, bool) {
	return n.refusals.Find(requestID)
}

// BurnReport returns how far the latency targets are met.
func (n *Node) BurnReport() any { return n.burn.Report() }

// Configuration returns the configuration version in force and its content. Both are
// empty if WithConfiguration was used.
func (n *Node) Configuration() operator.Configuration {
	if n.follower == nil {
		return operator.Configuration{}
	}
	head, content := n.follower.Content()
	return operator.Configuration{Version: head.Version, Content: string(content)}
}

// Metrics returns the node's metrics as JSON.
func (n *Node) Metrics() string { return n.metrics.String() }
