package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// weight ranks a host for a shard: rendezvous hashing, so that the loss of a node
// moves only what it had.
func weight(shardName, host string) uint64 {
	return xxhash.Sum64String(shardName + "\x00" + host)
}

// ordered returns the nodes that may hold a shard, the best first.
func ordered(spec Spec, nodes []Node) []Node {
	fit := make([]Node, 0, len(nodes))
	for _, n := range nodes {
		if !n.Leaving && (spec.Zone == "" || n.Zone == spec.Zone) {
			fit = append(fit, n)
		}
	}
	slices.SortFunc(fit, func(a, b Node) int {
		return cmp.Compare(weight(spec.Name, b.Host), weight(spec.Name, a.Host))
	})
	return fit
}

// rankOf returns the place of a host among the candidates of a shard, or -1.
func rankOf(host string, spec Spec, nodes []Node) int {
	order := ordered(spec, nodes)
	order = order[:min(len(order), candidates)]
	return slices.IndexFunc(order, func(n Node) bool { return n.Host == host })
}

// choose returns the group of a shard: an odd number of nodes up to the spec's size,
// one of each zone in turn, so that a zone has as few members as can be.
func choose(spec Spec, nodes []Node, excluded map[string]bool) []Node {
	zones := map[string][]Node{}
	var names []string
	for _, n := range ordered(spec, nodes) {
		if excluded[n.Host] {
			continue
		}
		if len(zones[n.Zone]) == 0 {
			names = append(names, n.Zone)
		}
		zones[n.Zone] = append(zones[n.Zone], n)
	}
	var group []Node
	for taken := true; taken && len(group) < spec.Size; {
		taken = false
		for _, name := range names {
			if len(zones[name]) > 0 && len(group) < spec.Size {
				group = append(group, zones[name][0])
				zones[name] = zones[name][1:]
				taken = true
			}
		}
	}
	if len(group) > 0 && len(group)%2 == 0 {
		group = group[:len(group)-1]
	}
	return group
}

func find(nodes []Node, host string) (Node, bool) {
	i := slices.IndexFunc(nodes, func(n Node) bool { return n.Host == host })
	if i < 0 {
		return Node{}, false
	}
	return nodes[i], true
}
