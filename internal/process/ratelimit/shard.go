package ratelimit

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/rate"
)

// GroupCount is the number of groups that client accounts are hashed into. It must be
// the same on all nodes.
const GroupCount = 8

// AllZones replaces the zone name if the configuration assigns no zone shares. All
// zones then use one common share.
const AllZones = "whole-fleet"

// shardPrefix is the first component of the names of all rate shards.
const shardPrefix = "rate-holder"

// A Shard is one zone's share of the limits of one group of client accounts. Its holder
// grants the tokens.
type Shard struct {
	Zone  string
	Group int
}

// ShardOf returns the shard of an account in a zone.
func ShardOf(zone, account string) Shard {
	return Shard{Zone: zone, Group: int(xxhash.Sum64String(account) % GroupCount)}
}

// ParseShard parses the name of a shard.
func ParseShard(name string) (Shard, error) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 || parts[0] != shardPrefix || parts[1] == "" {
		return Shard{}, fmt.Errorf("%q is not the name of a rate shard", name)
	}
	group, err := strconv.Atoi(parts[2])
	if err != nil || group < 0 || group >= GroupCount {
		return Shard{}, fmt.Errorf("shard %q has no valid group", name)
	}
	return Shard{Zone: parts[1], Group: group}, nil
}

// String returns the name of the shard.
func (s Shard) String() string { return shardPrefix + "/" + s.Zone + "/" + strconv.Itoa(s.Group) }

// Zones returns the zones that have shares in a configuration.
func Zones(s configuration.Snapshot) []string {
	if zones := s.Zones(); len(zones) > 0 {
		return zones
	}
	return []string{AllZones}
}

// ShardNames returns the names of all shards of a zone.
func ShardNames(zone string) []string {
	names := make([]string, 0, GroupCount)
	for g := range GroupCount {
		names = append(names, Shard{Zone: zone, Group: g}.String())
	}
	return names
}

// shardSelector selects the shards that provide an account's tokens. It caches the
// result for the current configuration version. It is not safe for concurrent use.
type shardSelector struct {
	configuration ConfigurationSource
	zone          string
	// own adds the shard of the zone itself, before the others.
	own       bool
	version   uint64
	receivers map[string][]string
}

// Receivers returns the names of the shards to send an account's grant requests to.
func (s *shardSelector) Receivers(account string) []string {
	snapshot, ok := s.configuration.Current()
	if !ok {
		return nil
	}
	if s.receivers == nil || snapshot.Version() != s.version {
		s.version = snapshot.Version()
		s.receivers = map[string][]string{}
	}
	names, ok := s.receivers[account]
	if ok {
		return names
	}
	for _, zone := range Zones(snapshot) {
		name := ShardOf(zone, account).String()
		switch {
		case zone != s.zone:
			names = append(names, name)
		case s.own:
			names = append([]string{name}, names...)
		}
	}
	s.receivers[account] = names
	return names
}

// shares returns the zone's share of each account's limit to a holder.
type shares struct {
	configuration ConfigurationSource
	zone          string
}

// Share returns the zone's share of an account's limit, or false if the account is
// unknown.
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
	if s.zone == AllZones && len(snapshot.Zones()) == 0 {
		return limit, true
	}
	return limit.Scale(snapshot.ZoneShare(s.zone)), true
}
