package member

import (
	"math"
	"sort"
)

// queueEntry is a member or rumour that this node still gossips. Its value is looked up
// when it is sent, so that the newest version is sent.
type queueEntry struct {
	host   string
	rumour rumourID
	// leaving is set for an update that removes a host from the directories.
	leaving  bool
	sends    int
	sequence int
}

// hasPriority reports whether the entry uses the priority budget: rumours of other
// packages, and hosts that take no new work.
func (e queueEntry) hasPriority() bool {
	return e.leaving || e.host == "" && !Rumour{Topic: e.rumour.topic}.reserved()
}

// queue holds the entries to gossip, those with the fewest sends first.
type queue struct {
	entries  []queueEntry
	sequence int
}

// add enqueues an entry with no sends, replacing an earlier one for the same value.
func (q *queue) add(entry queueEntry) {
	q.sequence++
	entry.sequence = q.sequence
	for i, e := range q.entries {
		if e.host == entry.host && e.rumour == entry.rumour {
			q.entries[i] = entry
			return
		}
	}
	q.entries = append(q.entries, entry)
}

// countReceived counts an entry received from another node as one send by this node,
// since an entry that many nodes gossip needs fewer sends from each. Priority entries
// are not counted; they get the full number of sends.
func (q *queue) countReceived(entry queueEntry) {
	for i, e := range q.entries {
		if e.host == entry.host && e.rumour == entry.rumour {
			if !e.hasPriority() {
				q.entries[i].sends++
			}
			return
		}
	}
}

// size returns the total size of the entries in bytes.
func (q *queue) size(g *Group) int {
	total := 0
	for _, e := range q.entries {
		size, _ := g.sizeOf(e)
		total += size
	}
	return total
}

// sort orders the entries by sends, then by age.
func (q *queue) sort() {
	sort.Slice(q.entries, func(i, j int) bool {
		a, b := q.entries[i], q.entries[j]
		if a.sends != b.sends {
			return a.sends < b.sends
		}
		return a.sequence < b.sequence
	})
}

// prune removes the entries that were sent at least limit times.
func (q *queue) prune(limit int) {
	kept := q.entries[:0]
	for _, e := range q.entries {
		if e.sends < limit {
			kept = append(kept, e)
		}
	}
	q.entries = kept
}

// minRetransmits is the number of sends per entry in a small zone; it makes it unlikely
// that a member receives the entry from no node.
const minRetransmits = 12

// retransmits returns the number of times that a node sends an entry in a zone of the
// given size. It grows with the logarithm of the size, which makes it likely that the
// entry reaches every member.
func retransmits(factor, members int) int {
	return max(minRetransmits, factor*int(math.Ceil(math.Log10(float64(members+2)))))
}
