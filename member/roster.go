package member

import (
	"encoding/binary"
	"math/rand"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers of buckets in a Digest.
const (
	memberBuckets = 32
	rumourBuckets = 64
)

// record is the stored state of a member of the own zone.
type record struct {
	member Member
	// bridgeScore orders the members for the election of bridges.
	bridgeScore uint64
	// hash is the hash of the member in the digest; zero while it is in no bucket.
	hash uint64
	// deadline is when a suspect is declared dead or a tombstone is removed.
	deadline time.Time
}

// roster holds the members of the own zone, the index of their services and their
// digest.
type roster struct {
	records map[string]*record
	// probeOrder is the probe sequence, reshuffled after each pass. It holds the
	// present members other than self.
	probeOrder []*record
	nextProbe  int
	// tombstones are the dead and left members.
	tombstones []*record
	// suspects are the members with a running suspicion timeout.
	suspects []*record
	services map[string][]*record
	digest   [memberBuckets]uint64
	// generation counts the stored updates.
	generation uint64
	// cachedBridges are the bridges as of bridgesGeneration.
	cachedBridges     []*record
	bridgesGeneration uint64
}

// newRoster returns an empty roster.
func newRoster() *roster {
	return &roster{records: make(map[string]*record), services: make(map[string][]*record)}
}

// hashStrings returns the hash of the strings, each terminated by a zero byte.
func hashStrings(parts ...string) uint64 {
	d := xxhash.New()
	for _, p := range parts {
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// hashMember returns the hash of a member's state. The status is not included, since a
// suspicion is resolved within seconds.
func hashMember(m Member) uint64 {
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], m.Incarnation)
	binary.BigEndian.PutUint64(numbers[8:], m.Revision)
	d := xxhash.New()
	_, _ = d.WriteString(m.Host)
	_, _ = d.Write(numbers[:])
	return d.Sum64()
}

// memberBucket returns the digest bucket of a host.
func memberBucket(host string) int { return int(xxhash.Sum64String(host) % memberBuckets) }

// put stores the state of a member in place of the previous one and returns its record.
// self marks this node's own state, which is never probed.
func (r *roster) put(m Member, self bool, random *rand.Rand) *record {
	rec, ok := r.records[m.Host]
	if !ok {
		rec = &record{bridgeScore: hashStrings("bridge", m.Host)}
		rec.member = m.WithStatus(Dead)
		r.records[m.Host] = rec
	}
	r.generation++
	before := rec.member
	present := ok && before.Present()
	r.updateServices(rec, before, m)
	rec.member = m
	r.updateDigest(rec)
	if self {
		return rec
	}
	if m.Present() && !present {
		r.tombstones = remove(r.tombstones, rec)
		r.addToProbeOrder(rec, random)
	}
	if !m.Present() && (present || !ok) {
		r.removeFromProbeOrder(rec)
		r.tombstones = append(r.tombstones, rec)
	}
	r.suspects = remove(r.suspects, rec)
	if m.Status == Suspect {
		r.suspects = append(r.suspects, rec)
	}
	return rec
}

// addToProbeOrder inserts a record at a random position of the probe order.
func (r *roster) addToProbeOrder(rec *record, random *rand.Rand) {
	at := random.Intn(len(r.probeOrder) + 1)
	r.probeOrder = append(r.probeOrder, rec)
	last := len(r.probeOrder) - 1
	r.probeOrder[at], r.probeOrder[last] = r.probeOrder[last], r.probeOrder[at]
}

// removeFromProbeOrder removes a record from the probe order.
func (r *roster) removeFromProbeOrder(rec *record) {
	i := slices.Index(r.probeOrder, rec)
	if i < 0 {
		return
	}
	last := len(r.probeOrder) - 1
	r.probeOrder[i] = r.probeOrder[last]
	r.probeOrder = r.probeOrder[:last]
}

// removeTombstone removes a tombstone.
func (r *roster) removeTombstone(rec *record) {
	r.tombstones = remove(r.tombstones, rec)
	delete(r.records, rec.member.Host)
}

// probeTarget returns the next member to probe, or nil.
func (r *roster) probeTarget(random *rand.Rand) *record {
	if len(r.probeOrder) == 0 {
		return nil
	}
	if r.nextProbe >= len(r.probeOrder) {
		r.nextProbe = 0
		random.Shuffle(len(r.probeOrder), func(i, j int) { r.probeOrder[i], r.probeOrder[j] = r.probeOrder[j], r.probeOrder[i] })
	}
	rec := r.probeOrder[r.nextProbe]
	r.nextProbe++
	return rec
}

// sample returns up to count distinct random present members other than self and the
// excluded host.
func (r *roster) sample(count int, random *rand.Rand, excluded string) []*record {
	const triesPerMember = 4
	var chosen []*record
	for i := 0; i < count*triesPerMember && len(chosen) < count && len(r.probeOrder) > 0; i++ {
		rec := r.probeOrder[random.Intn(len(r.probeOrder))]
		if rec.member.Host != excluded && !slices.Contains(chosen, rec) {
			chosen = append(chosen, rec)
		}
	}
	return chosen
}

// updateServices updates the index of services after a change of a record.
func (r *roster) updateServices(rec *record, before, after Member) {
	for _, s := range before.Services {
		if before.offers(s) && !after.offers(s) {
			r.services[s] = remove(r.services[s], rec)
		}
		if len(r.services[s]) == 0 {
			delete(r.services, s)
		}
	}
	for _, s := range after.Services {
		if after.offers(s) && !slices.Contains(r.services[s], rec) {
			r.services[s] = append(r.services[s], rec)
		}
	}
}

// updateDigest updates the digest after a change of a record. Tombstones are in no
// bucket, since nodes remove them at different times.
func (r *roster) updateDigest(rec *record) {
	bucket := memberBucket(rec.member.Host)
	r.digest[bucket] ^= rec.hash
	rec.hash = 0
	if rec.member.Present() {
		rec.hash = hashMember(rec.member)
	}
	r.digest[bucket] ^= rec.hash
}

// bucketRecords returns the present members of a bucket, sorted by hash.
func (r *roster) bucketRecords(bucket int) []*record {
	var found []*record
	for _, rec := range r.records {
		if rec.hash != 0 && memberBucket(rec.member.Host) == bucket {
			found = append(found, rec)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].hash < found[j].hash })
	return found
}

// bridges returns the count members with the highest bridge scores among the present
// members that do not drain, highest first. The caller must not modify the result.
func (r *roster) bridges(count int) []*record {
	if r.bridgesGeneration == r.generation {
		return r.cachedBridges
	}
	var best []*record
	for _, rec := range r.records {
		if !rec.member.Present() || rec.member.Draining {
			continue
		}
		at := sort.Search(len(best), func(i int) bool { return best[i].bridgeScore < rec.bridgeScore })
		if at < count {
			best = slices.Insert(best, at, rec)
			best = best[:min(len(best), count)]
		}
	}
	r.cachedBridges = best
	r.bridgesGeneration = r.generation
	return best
}

// remove returns the records without the given one, in the same order.
func remove(records []*record, rec *record) []*record {
	i := slices.Index(records, rec)
	if i < 0 {
		return records
	}
	return slices.Delete(records, i, i+1)
}
