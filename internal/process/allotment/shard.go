package allotment

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/rate"
)

// Groups is the number of groups that client accounts are spread over. All nodes
// must agree on it.
const Groups = 8

// WholeFleet stands for the zone of a configuration that gives no zone a share:
// then one share serves all zones.
const WholeFleet = "whole-fleet"

// prefix starts the names of all shards of the rate.
const prefix = "rate-holder"

// A Shard is one zone's share of one group of client accounts. Its holder gives
// out the tokens.
type Shard struct {
	Zone  string
	Group int
}

// ShardOf returns the shard of an account in a zone.
func ShardOf(zone, account string) Shard {
	return Shard{Zone: zone, Group: int(xxhash.Sum64String(account) % Groups)}
}

// ParseShard reads the name of a shard.
func ParseShard(name string) (Shard, error) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 || parts[0] != prefix || parts[1] == "" {
		return Shard{}, fmt.Errorf("%q is not a shard of the rate", name)
	}
	group, err := strconv.Atoi(parts[2])
	if err != nil || group < 0 || group >= Groups {
		return Shard{}, fmt.Errorf("shard %q has no valid group", name)
	}
	return Shard{Zone: parts[1], Group: group}, nil
}

// String returns the name of the shard.
func (s Shard) String() string { return prefix + "/" + s.Zone + "/" + strconv.Itoa(s.Group) }

// Zones returns the zones that own shares under a configuration.
func Zones(s configuration.Snapshot) []string {
	if zones := s.Zones(); len(zones) > 0 {
		return zones
	}
	return []string{WholeFleet}
}

// Shards returns the names of all shards of a zone.
func Shards(zone string) []string {
	names := make([]string, 0, Groups)
	for g := range Groups {
		names = append(names, Shard{Zone: zone, Group: g}.String())
	}
	return names
}

// routes names the shards that an account's tokens come from. It keeps what it
// worked out for a configuration version. It is not safe for concurrent use.
type routes struct {
	configuration Configuration
	zone          string
	// own says that the zone's own shard is asked too, before the others.
	own       bool
	version   uint64
	receivers map[string][]string
}

// Receivers returns the shards to ask for an account.
func (r *routes) Receivers(account string) []string {
	snapshot, ok := r.configuration.Current()
	if !ok {
		return nil
	}
	if r.receivers == nil || snapshot.Version() != r.version {
		r.version = snapshot.Version()
		r.receivers = map[string][]string{}
	}
	names, ok := r.receivers[account]
	if ok {
		return names
	}
	for _, zone := range Zones(snapshot) {
		name := ShardOf(zone, account).String()
		switch {
		case zone != r.zone:
			names = append(names, name)
		case r.own:
			names = append([]string{name}, names...)
		}
	}
	r.receivers[account] = names
	return names
}

// shares gives a holder its zone's share of each account.
type shares struct {
	configuration Configuration
	zone          string
}

// Share returns the zone's share, and false for an unknown account.
func (s shares) Share(account string) (rate.Limit, bool) {
	snapshot, ok := s.configuration.Current()
	if !ok {
		return rate.Limit{}, false
	}
	a, ok := snapshot.Account(account)
	if !ok {
		return rate.Limit{}, false
	}
	limit := rate.NewLimit(a.Rate, a.Burst)
	if s.zone == WholeFleet && len(snapshot.Zones()) == 0 {
		return limit, true
	}
	return limit.Scale(snapshot.ZoneShare(s.zone)), true
}
