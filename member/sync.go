package member

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Limits of the anti-entropy sync between two nodes.
const (
	// hashListsPerDigest is the maximum number of replies to one Digest.
	hashListsPerDigest = 2
	// rebroadcastLimit is the number of differences from which entries are no longer
	// gossiped. So many differences mean a joining node or a healed partition, in which
	// case every node syncs by itself.
	rebroadcastLimit = 16
	// lostSyncsPerPeriod is the approximate number of members of a zone that sync with
	// lost members in one period; it is bounded so that the lost members are not
	// overloaded. digestsPerLostSync is the number of digests that each of them sends.
	lostSyncsPerPeriod = 8
	digestsPerLostSync = 2
	// seedSyncsPerPeriod is the approximate number of members of a zone that sync with
	// a seed in one period while no member is lost.
	seedSyncsPerPeriod = 2
	// isolatedDigests is the number of digests per period from a node that has no other
	// present member.
	isolatedDigests = 8
)

// sync starts an anti-entropy sync when it is due: with a member of the own zone, and
// at times with lost members or seeds. A node without any other present member syncs
// only with the latter.
func (g *Group) sync(now time.Time) {
	if !g.joined && now.Sub(g.started) >= g.settings.JoinTimeout && len(g.roster.probeOrder) == 0 {
		g.joined = true
	}
	if now.Before(g.timers.sync) {
		return
	}
	period := g.settings.SyncPeriod
	if !g.joined {
		period = g.settings.CatchUpPeriod
	}
	g.timers.sync = now.Add(period/2 + g.jitter(period))
	lost := g.lostAddresses()
	if len(g.roster.probeOrder) == 0 {
		g.sendDigests(slices.Concat(lost, g.seeds), isolatedDigests)
		return
	}
	switch {
	case !g.joined:
	case len(lost) > 0:
		if g.selected(lostSyncsPerPeriod) {
			g.sendDigests(lost, digestsPerLostSync)
		}
	case g.selected(seedSyncsPerPeriod):
		g.sendDigests(g.seeds, 1)
	}
	g.sendDigest(g.roster.sample(1, g.random, "")[0].member.Address)
}

// selected reports whether this node is one of about count randomly selected nodes of
// its zone.
func (g *Group) selected(count int) bool {
	return g.random.Intn(max(1, len(g.roster.probeOrder)/count)) == 0
}

// lostAddresses returns the addresses used to detect a healed partition: those of dead
// members, and those of the zone's published bridges that are not present members.
func (g *Group) lostAddresses() []string {
	addresses := slices.Clone(g.missingBridges)
	for _, rec := range g.roster.tombstones {
		if rec.member.Status == Dead {
			addresses = append(addresses, rec.member.Address)
		}
	}
	return addresses
}

// sendDigests sends digests to up to count of the addresses, in rotation.
func (g *Group) sendDigests(addresses []string, count int) {
	for range min(count, len(addresses)) {
		g.timers.digestsSent++
		g.sendDigest(addresses[g.timers.digestsSent%len(addresses)])
	}
}

// sendDigest sends the digest of this node's members and rumours.
func (g *Group) sendDigest(address string) {
	m := g.message(Digest)
	m.MemberDigest = slices.Clone(g.roster.digest[:])
	m.RumourDigest = slices.Clone(g.rumours.digest[:])
	g.send(address, m)
}

// onDigest replies with the hashes of the buckets that differ, as far as they fit into
// a few messages. Members of the own zone come first.
func (g *Group) onDigest(m Message) {
	if len(m.MemberDigest) != memberBuckets || len(m.RumourDigest) != rumourBuckets {
		return
	}
	differing := g.differingBuckets(m)
	for i := range hashListsPerDigest {
		reply := g.message(HashList)
		reply.Rumours = g.bridgeRumour(m.Zone)
		differing = g.fillHashList(&reply, differing)
		reply.More = len(differing) > 0
		g.send(m.From.Address, reply)
		if i+1 == hashListsPerDigest || !reply.More {
			return
		}
	}
}

// differingBuckets returns the buckets whose hash differs from that in a digest: those
// of members before those of rumours, each kind in random order.
func (g *Group) differingBuckets(m Message) []BucketRange {
	var found []BucketRange
	if m.Zone == g.zone {
		for i, hash := range m.MemberDigest {
			if hash != g.roster.digest[i] {
				found = append(found, BucketRange{Bucket: uint8(i)})
			}
		}
	}
	members := len(found)
	for i, hash := range m.RumourDigest {
		if hash != g.rumours.digest[i] {
			found = append(found, BucketRange{Rumours: true, Bucket: uint8(i)})
		}
	}
	for _, part := range [][]BucketRange{found[:members], found[members:]} {
		g.random.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
	return found
}

// fillHashList adds buckets to a message while they fit, or a part of the first one if
// that does not fit, and returns the remaining buckets.
func (g *Group) fillHashList(m *Message, differing []BucketRange) []BucketRange {
	room := g.settings.MaxMessageBytes - m.size()
	for _, r := range m.Rumours {
		room -= r.size()
	}
	for len(differing) > 0 {
		r := differing[0]
		limit := (room - rangeSize) / hashSize
		r.Hashes = g.bucketHashes(r)
		r.High = math.MaxUint64
		if len(r.Hashes) > limit && len(m.Ranges) > 0 {
			break
		}
		if len(r.Hashes) > limit {
			r = g.randomSubrange(r, limit)
		}
		m.Ranges = append(m.Ranges, r)
		room -= rangeSize + hashSize*len(r.Hashes)
		differing = differing[1:]
	}
	return differing
}

// randomSubrange returns a random range of limit consecutive hashes of a large bucket.
func (g *Group) randomSubrange(r BucketRange, limit int) BucketRange {
	start := g.random.Intn(len(r.Hashes) - limit + 1)
	if start > 0 {
		r.Low = r.Hashes[start]
	}
	if start+limit < len(r.Hashes) {
		r.High = r.Hashes[start+limit-1]
	}
	r.Hashes = r.Hashes[start : start+limit]
	return r
}

// bridgeRumour returns the rumour with the bridges of another zone, by which a node of
// that zone finds the members of its zone.
func (g *Group) bridgeRumour(zone string) []Rumour {
	rec, ok := g.rumours.records[rumourID{topic: topicBridges, key: zone}]
	if !ok || zone == g.zone {
		return nil
	}
	return []Rumour{rec.rumour}
}

// bucketHashes returns the hashes of a bucket in ascending order.
func (g *Group) bucketHashes(r BucketRange) []uint64 {
	var hashes []uint64
	if r.Rumours {
		for _, rec := range g.rumours.bucketRecords(int(r.Bucket) % rumourBuckets) {
			hashes = append(hashes, rec.hash)
		}
		return hashes
	}
	for _, rec := range g.roster.bucketRecords(int(r.Bucket) % memberBuckets) {
		hashes = append(hashes, rec.hash)
	}
	return hashes
}

// onHashList sends the entries that the sender lacks, requests those that this node
// lacks, and brings the next sync forward if there were many differences.
func (g *Group) onHashList(m Message, now time.Time) {
	request := g.message(EntryRequest)
	differences, members := 0, 0
	for _, r := range m.Ranges {
		if !r.Rumours && m.Zone != g.zone {
			continue
		}
		theirs := slices.Clone(r.Hashes)
		slices.Sort(theirs)
		ours := g.bucketHashes(r)
		missing := subtract(theirs, ours)
		surplus := slices.DeleteFunc(subtract(ours, theirs), func(hash uint64) bool {
			return hash < r.Low || hash > r.High
		})
		differences += len(missing) + len(surplus)
		if !r.Rumours {
			members += len(missing) + len(surplus)
		}
		g.sendEntriesByHash(m.From.Address, r, surplus, now)
		if len(missing) > 0 {
			request.Ranges = append(request.Ranges, BucketRange{Rumours: r.Rumours, Bucket: r.Bucket, Hashes: missing})
		}
	}
	if len(request.Ranges) > 0 {
		g.send(m.From.Address, request)
	}
	if m.More || differences >= rebroadcastLimit {
		g.timers.sync = earlier(g.timers.sync, now.Add(g.catchUpPeriod()))
	}
	partial := m.More && len(m.Ranges) > 0 && !m.Ranges[len(m.Ranges)-1].Rumours
	if m.Zone == g.zone && !partial && members < rebroadcastLimit {
		g.joined = true
	}
}

// catchUpPeriod returns the time between two syncs of a node that lacks many entries.
// It is longer once the node has joined, to limit the network load.
func (g *Group) catchUpPeriod() time.Duration {
	const joinedFactor = 6
	if g.joined {
		return joinedFactor * g.settings.CatchUpPeriod
	}
	return g.settings.CatchUpPeriod
}

// onEntryRequest sends the requested entries.
func (g *Group) onEntryRequest(m Message, now time.Time) {
	for _, r := range m.Ranges {
		if !r.Rumours && m.Zone != g.zone {
			continue
		}
		hashes := slices.Clone(r.Hashes)
		slices.Sort(hashes)
		g.sendEntriesByHash(m.From.Address, r, hashes, now)
	}
}

// sendEntriesByHash sends the entries of a bucket with the given sorted hashes.
func (g *Group) sendEntriesByHash(address string, r BucketRange, hashes []uint64, now time.Time) {
	if len(hashes) == 0 {
		return
	}
	var members []Member
	var rumours []Rumour
	if r.Rumours {
		for _, rec := range g.rumours.bucketRecords(int(r.Bucket) % rumourBuckets) {
			if contains(hashes, rec.hash) {
				rumours = append(rumours, rec.snapshot(now))
			}
		}
	} else {
		for _, rec := range g.roster.bucketRecords(int(r.Bucket) % memberBuckets) {
			if contains(hashes, rec.hash) {
				members = append(members, rec.member)
			}
		}
	}
	g.sendEntries(address, members, rumours)
}

// sendEntries sends entries in as many messages as they need.
func (g *Group) sendEntries(address string, members []Member, rumours []Rumour) {
	rebroadcast := len(members)+len(rumours) < rebroadcastLimit
	for len(members)+len(rumours) > 0 {
		m := g.message(Entries)
		m.Rebroadcast = rebroadcast
		room := g.settings.MaxMessageBytes - m.size()
		for len(members) > 0 && members[0].size() <= room {
			m.Members = append(m.Members, members[0])
			room -= members[0].size()
			members = members[1:]
		}
		for len(members) == 0 && len(rumours) > 0 && rumours[0].size() <= room {
			m.Rumours = append(m.Rumours, rumours[0])
			room -= rumours[0].size()
			rumours = rumours[1:]
		}
		if len(m.Members)+len(m.Rumours) == 0 {
			return
		}
		g.send(address, m)
	}
}

// contains reports whether the sorted hashes contain the given one.
func contains(hashes []uint64, hash uint64) bool {
	_, found := slices.BinarySearch(hashes, hash)
	return found
}

// subtract returns the hashes in a that are not in b; both must be sorted.
func subtract(a, b []uint64) []uint64 {
	var rest []uint64
	for _, hash := range a {
		at := sort.Search(len(b), func(i int) bool { return b[i] >= hash })
		if at == len(b) || b[at] != hash {
			rest = append(rest, hash)
		}
	}
	return rest
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
