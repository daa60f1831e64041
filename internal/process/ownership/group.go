package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight returns the rendezvous hash of a host for a shard. With rendezvous hashing, the
// loss of a node moves only the shards of that node.
func weight(shardName, host string) uint64 {
	return xxhash.Sum64String(shardName + "\x00" + host)
}

// rankNodes returns the nodes that may hold a shard, in order of preference.
func rankNodes(spec Spec, nodes []Node) []Node {
	eligible := make([]Node, 0, len(nodes))
	for _, n := range nodes {
		if !n.Leaving && (spec.Zone == "" || n.Zone == spec.Zone) {
			eligible = append(eligible, n)
		}
	}
	slices.SortFunc(eligible, func(a, b Node) int {
		return cmp.Compare(weight(spec.Name, b.Host), weight(spec.Name, a.Host))
	})
	return eligible
}

// rankOf returns a host's index among the candidates of a shard, or -1 if it is none.
func rankOf(host string, spec Spec, nodes []Node) int {
	order := rankNodes(spec, nodes)
	order = order[:min(len(order), maxCandidates)]
	return slices.IndexFunc(order, func(n Node) bool { return n.Host == host })
}

// chooseGroup returns the group of a shard: an odd number of nodes, at most spec.Size. It
// takes one node per zone in turn to minimize the number of members in one zone.
func chooseGroup(spec Spec, nodes []Node, excluded map[string]bool) []Node {
	zones := map[string][]Node{}
	var zoneNames []string
	for _, n := range rankNodes(spec, nodes) {
		if excluded[n.Host] {
			continue
		}
		if len(zones[n.Zone]) == 0 {
			zoneNames = append(zoneNames, n.Zone)
		}
		zones[n.Zone] = append(zones[n.Zone], n)
	}
	var group []Node
	for added := true; added && len(group) < spec.Size; {
		added = false
		for _, name := range zoneNames {
			if len(zones[name]) > 0 && len(group) < spec.Size {
				group = append(group, zones[name][0])
				zones[name] = zones[name][1:]
				added = true
			}
		}
	}
	if len(group) > 0 && len(group)%2 == 0 {
		group = group[:len(group)-1]
	}
	return group
}

func findNode(nodes []Node, host string) (Node, bool) {
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.Host == host })
	if i < 0 {
		return Node{}, false
	}
	return nodes[i], true
}
