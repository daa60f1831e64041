package fleet

import "sync"

// A Roster tells which hosts have left, by full reads of the store's table of hosts. A host
// removes its row when it leaves. If the store comes back from a copy, a row can also be
// missing because its host, cut off from the store, hasn't written it again, and the row of a
// host that has left can be there again. A Roster is safe for concurrent use.
type Roster struct {
	// mu guards the fields below.
	mu sync.Mutex
	// era is the store's era of the last read; zero if the store states none.
	era uint64
	// listed are the hosts that had a row in that era.
	listed map[string]bool
	left   map[string]departure
}

// A departure is that of a host's process.
type departure struct {
	incarnation int64
	era         uint64
}

// NewRoster returns a Roster without hosts.
func NewRoster() *Roster {
	return &Roster{listed: make(map[string]bool), left: make(map[string]departure)}
}

// Gone records the hosts that have rows in an era of the store and returns those of the known
// ones that had a row in that era and have none now. Hosts that have said that they leave are
// gone without a row, and so are all in a store that states no era.
func (r *Roster) Gone(era uint64, rows map[string]bool, known []Host) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(rows))
	var gone []Host
	for _, h := range known {
		before := era == r.era && r.listed[h.Name]
		if !rows[h.Name] && (era == 0 || h.Leaving || before) {
			gone = append(gone, h)
		}
		listed[h.Name] = before
	}
	for name := range rows {
		listed[name] = true
	}
	r.era, r.listed = era, listed
	return gone
}

// RecordLeft records that the process of a host has left.
func (r *Roster) RecordLeft(h Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[h.Name] = departure{incarnation: h.Incarnation, era: r.era}
}

// Left reports whether a record that was read in an era of the store is that of a process
// that left in an earlier one.
func (r *Roster) Left(era uint64, h Host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.left[h.Name]
	return ok && era > d.era && h.Incarnation <= d.incarnation
}
