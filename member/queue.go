package member

import (
	"math"
	"sort"
)

// queued is an entry that this node still passes on. The value itself is looked
// up when it is sent, so that the newest one travels.
type queued struct {
	host   string
	rumour rumourID
	// leaving says that the statement takes a host out of the directories.
	leaving  bool
	sends    int
	sequence int
}

// preferred reports whether a budget of their own is kept for entries of this kind:
// rumours of other packages, and hosts that take no new work.
func (e queued) preferred() bool {
	return e.leaving || e.host == "" && !Rumour{Topic: e.rumour.topic}.internal()
}

// queue holds the entries to pass on, the least often sent first.
type queue struct {
	entries  []queued
	sequence int
}

// add puts an entry in the queue as never sent.
func (q *queue) add(entry queued) {
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

// heard counts an entry that another node sent as if this node had: what many
// pass on already needs less of it. Preferred entries are sent in full number.
func (q *queue) heard(entry queued) {
	for i, e := range q.entries {
		if e.host == entry.host && e.rumour == entry.rumour {
			if !e.preferred() {
				q.entries[i].sends++
			}
			return
		}
	}
}

// size returns the size of all entries.
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

// prune removes the entries that were sent often enough.
func (q *queue) prune(limit int) {
	kept := q.entries[:0]
	for _, e := range q.entries {
		if e.sends < limit {
			kept = append(kept, e)
		}
	}
	q.entries = kept
}

// leastRetransmits is how often a node of a small zone passes an entry on, so that
// a member is hardly ever missed by all.
const leastRetransmits = 12

// retransmits returns how often a node passes an entry on in a zone of the given
// size: the logarithm makes it likely that each member hears of it.
func retransmits(factor, members int) int {
	return max(leastRetransmits, factor*int(math.Ceil(math.Log10(float64(members+2)))))
}
