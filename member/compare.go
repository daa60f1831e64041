package member

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Bounds of a comparison of two nodes.
const (
	// listingsPerDigest is how many messages answer one Digest.
	listingsPerDigest = 2
	// spreadLimit is up to how many found differences are passed on; more than
	// that means a node that joins or a healed partition, where every node
	// compares by itself.
	spreadLimit = 16
	// distantPerPeriod is about how many members of a zone turn to lost ones in one
	// period, so that these are not overrun, and distantDigests is how many digests
	// each of them sends.
	distantPerPeriod = 8
	distantDigests   = 2
	// seedsPerPeriod is about how many members of a zone turn to a seed in one
	// period while nobody is lost.
	seedsPerPeriod = 2
	// loneDigests is how many digests a node that holds nobody present sends.
	loneDigests = 8
)

// sync starts the comparisons that are due: with a member of the own zone, and,
// by bridges and by nodes that know nobody, with other zones.
func (g *Group) sync(now time.Time) {
	if !g.joined && now.Sub(g.started) >= g.settings.JoinTime && len(g.roster.order) == 0 {
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
	lost := g.lost()
	if len(g.roster.order) == 0 {
		g.sendDistant(slices.Concat(lost, g.seeds), loneDigests)
		return
	}
	switch {
	case !g.joined:
	case len(lost) > 0:
		if g.oneOf(distantPerPeriod) {
			g.sendDistant(lost, distantDigests)
		}
	case g.oneOf(seedsPerPeriod):
		g.sendDistant(g.seeds, 1)
	}
	g.sendDigest(g.roster.sample(1, g.random, "")[0].member.Address)
}

// oneOf reports, at random, whether this node is one of about count nodes of its
// zone that do something.
func (g *Group) oneOf(count int) bool {
	return g.random.Intn(max(1, len(g.roster.order)/count)) == 0
}

// lost returns the addresses by which a healed partition is found: those of members
// held dead, and of bridges that others name but that are not held present.
func (g *Group) lost() []string {
	addresses := slices.Clone(g.peers)
	for _, rec := range g.roster.tombstones {
		if rec.member.Status == Dead {
			addresses = append(addresses, rec.member.Address)
		}
	}
	return addresses
}

// sendDistant sends digests to some of the addresses, each in its turn.
func (g *Group) sendDistant(addresses []string, count int) {
	for range min(count, len(addresses)) {
		g.timers.distant++
		g.sendDigest(addresses[g.timers.distant%len(addresses)])
	}
}

// sendDigest sends the digest of all that this node holds.
func (g *Group) sendDigest(address string) {
	m := g.message(Digest)
	m.MemberDigest = slices.Clone(g.roster.digest[:])
	m.RumourDigest = slices.Clone(g.rumours.digest[:])
	g.send(address, m)
}

// onDigest answers with the hashes of the buckets that differ, as far as they have
// room in a few messages. Members of the own zone go first.
func (g *Group) onDigest(m Message) {
	if len(m.MemberDigest) != memberBuckets || len(m.RumourDigest) != rumourBuckets {
		return
	}
	differing := g.differing(m)
	for i := range listingsPerDigest {
		answer := g.message(Listing)
		answer.Rumours = g.bridgesOf(m.Zone)
		differing = g.fillListing(&answer, differing)
		answer.More = len(differing) > 0
		g.send(m.From.Address, answer)
		if i+1 == listingsPerDigest || !answer.More {
			return
		}
	}
}

// differing returns the buckets in which the sender of a digest holds something
// else, those of members before those of rumours, each kind in random sequence.
func (g *Group) differing(m Message) []Range {
	var found []Range
	if m.Zone == g.zone {
		for i, hash := range m.MemberDigest {
			if hash != g.roster.digest[i] {
				found = append(found, Range{Bucket: uint8(i)})
			}
		}
	}
	members := len(found)
	for i, hash := range m.RumourDigest {
		if hash != g.rumours.digest[i] {
			found = append(found, Range{Rumours: true, Bucket: uint8(i)})
		}
	}
	for _, part := range [][]Range{found[:members], found[members:]} {
		g.random.Shuffle(len(part), func(i, j int) { part[i], part[j] = part[j], part[i] })
	}
	return found
}

// fillListing adds buckets while they have room, and a part of the first one if it
// has none, and returns the rest.
func (g *Group) fillListing(m *Message, differing []Range) []Range {
	room := g.settings.MessageLimit - m.size()
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
			r = g.part(r, limit)
		}
		m.Ranges = append(m.Ranges, r)
		room -= rangeSize + hashSize*len(r.Hashes)
		differing = differing[1:]
	}
	return differing
}

// part returns a random part of a large bucket.
func (g *Group) part(r Range, limit int) Range {
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

// bridgesOf returns the rumour of the bridges of another zone, which leads a node
// of that zone to its members.
func (g *Group) bridgesOf(zone string) []Rumour {
	rec, ok := g.rumours.records[rumourID{topic: topicBridges, key: zone}]
	if !ok || zone == g.zone {
		return nil
	}
	return []Rumour{rec.rumour}
}

// bucketHashes returns the hashes of a bucket in their order.
func (g *Group) bucketHashes(r Range) []uint64 {
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

// onListing sends what the other lacks, asks for what this node lacks, and sets
// the time of the next comparison by how much that was.
func (g *Group) onListing(m Message, now time.Time) {
	want := g.message(Want)
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
		g.sendHashes(m.From.Address, r, surplus, now)
		if len(missing) > 0 {
			want.Ranges = append(want.Ranges, Range{Rumours: r.Rumours, Bucket: r.Bucket, Hashes: missing})
		}
	}
	if len(want.Ranges) > 0 {
		g.send(m.From.Address, want)
	}
	if m.More || differences >= spreadLimit {
		g.timers.sync = earlier(g.timers.sync, now.Add(g.catchUpPeriod()))
	}
	partial := m.More && len(m.Ranges) > 0 && !m.Ranges[len(m.Ranges)-1].Rumours
	if m.Zone == g.zone && !partial && members < spreadLimit {
		g.joined = true
	}
}

// catchUpPeriod returns the time between two comparisons of a node that lacks
// much. Once it knows its zone it takes longer, to stay within its share of the
// network.
func (g *Group) catchUpPeriod() time.Duration {
	const joinedFactor = 6
	if g.joined {
		return joinedFactor * g.settings.CatchUpPeriod
	}
	return g.settings.CatchUpPeriod
}

// onWant sends the entries that the other asked for.
func (g *Group) onWant(m Message, now time.Time) {
	for _, r := range m.Ranges {
		if !r.Rumours && m.Zone != g.zone {
			continue
		}
		hashes := slices.Clone(r.Hashes)
		slices.Sort(hashes)
		g.sendHashes(m.From.Address, r, hashes, now)
	}
}

// sendHashes sends the entries of a bucket with the given sorted hashes.
func (g *Group) sendHashes(address string, r Range, hashes []uint64, now time.Time) {
	if len(hashes) == 0 {
		return
	}
	var members []Member
	var rumours []Rumour
	if r.Rumours {
		for _, rec := range g.rumours.bucketRecords(int(r.Bucket) % rumourBuckets) {
			if contains(hashes, rec.hash) {
				rumours = append(rumours, rec.at(now))
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
	spread := len(members)+len(rumours) < spreadLimit
	for len(members)+len(rumours) > 0 {
		m := g.message(Entries)
		m.Spread = spread
		room := g.settings.MessageLimit - m.size()
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

// contains reports whether the sorted hashes hold one.
func contains(hashes []uint64, hash uint64) bool {
	_, found := slices.BinarySearch(hashes, hash)
	return found
}

// subtract returns the hashes of a, sorted, that the sorted b does not hold.
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
