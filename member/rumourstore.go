package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times for the expiry of rumours.
const (
	// expiredRetention is how long an expired rumour is retained; no copy of it is in
	// flight for longer.
	expiredRetention = time.Minute
	// expiryPeriod is the time between two scans for expired rumours.
	expiryPeriod = time.Second
)

// rumourStore holds the rumours and their digests.
type rumourStore struct {
	records map[rumourID]*rumourRecord
	buckets [rumourBuckets][]*rumourRecord
	digest  [rumourBuckets]uint64
	// expiring are the records with a limited lifetime.
	expiring []*rumourRecord
	// nextExpiry is the time of the next scan of expiring.
	nextExpiry time.Time
}

// newRumourStore returns an empty store.
func newRumourStore() *rumourStore {
	return &rumourStore{records: make(map[rumourID]*rumourRecord)}
}

// rumourBucket returns the digest bucket of a rumour.
func rumourBucket(id rumourID) int { return int(hashStrings(id.topic, id.key) % rumourBuckets) }

// hashRumour returns the hash of a rumour's identity, version and payload.
func hashRumour(r Rumour) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Topic)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write([]byte{0, byte(r.Version >> 56), byte(r.Version >> 48), byte(r.Version >> 40), byte(r.Version >> 32)})
	_, _ = d.Write([]byte{byte(r.Version >> 24), byte(r.Version >> 16), byte(r.Version >> 8), byte(r.Version)})
	_, _ = d.Write(r.Payload)
	return d.Sum64()
}

// put stores the rumour if it supersedes the stored one and reports whether it did. A
// new rumour is rejected if the store holds limit records.
func (s *rumourStore) put(r Rumour, now time.Time, limit int) bool {
	rec, ok := s.records[r.id()]
	if ok && !r.Supersedes(rec.rumour) {
		return false
	}
	if !ok && len(s.records) >= limit {
		return false
	}
	bucket := rumourBucket(r.id())
	if !ok {
		rec = &rumourRecord{}
		s.records[r.id()] = rec
		if !r.background() {
			s.buckets[bucket] = append(s.buckets[bucket], rec)
		}
	}
	expiring := !rec.expires.IsZero()
	rec.rumour = r
	rec.expired = false
	rec.expires = time.Time{}
	if r.Remaining > 0 {
		rec.expires = now.Add(time.Duration(r.Remaining) * time.Millisecond)
	}
	if !expiring && r.Remaining > 0 {
		s.expiring = append(s.expiring, rec)
	}
	if !r.background() {
		s.updateDigest(rec, hashRumour(r))
	}
	return true
}

// updateDigest replaces the hash of a record in the digest.
func (s *rumourStore) updateDigest(rec *rumourRecord, hash uint64) {
	bucket := rumourBucket(rec.rumour.id())
	s.digest[bucket] ^= rec.hash ^ hash
	rec.hash = hash
}

// get returns a rumour that has not expired.
func (s *rumourStore) get(id rumourID) (*rumourRecord, bool) {
	rec, ok := s.records[id]
	return rec, ok && !rec.expired
}

// expire marks rumours as expired at the end of their lifetime and removes those whose
// retention is over.
func (s *rumourStore) expire(now time.Time) {
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(expiryPeriod)
	kept := s.expiring[:0]
	for _, rec := range s.expiring {
		if rec.expires.IsZero() {
			continue
		}
		if !now.Before(rec.expires.Add(expiredRetention)) {
			s.remove(rec)
			continue
		}
		kept = append(kept, rec)
		if !rec.expired && !now.Before(rec.expires) {
			rec.expired = true
			s.updateDigest(rec, 0)
		}
	}
	clear(s.expiring[len(kept):])
	s.expiring = kept
}

// remove removes a record.
func (s *rumourStore) remove(rec *rumourRecord) {
	id := rec.rumour.id()
	delete(s.records, id)
	bucket := rumourBucket(id)
	for i, r := range s.buckets[bucket] {
		if r == rec {
			s.buckets[bucket] = append(s.buckets[bucket][:i], s.buckets[bucket][i+1:]...)
			return
		}
	}
}

// bucketRecords returns the unexpired rumours of a bucket, sorted by hash.
func (s *rumourStore) bucketRecords(bucket int) []*rumourRecord {
	var found []*rumourRecord
	for _, rec := range s.buckets[bucket] {
		if !rec.expired {
			found = append(found, rec)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].hash < found[j].hash })
	return found
}
