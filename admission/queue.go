package admission

import (
	"container/heap"
	"slices"
	"time"
)

const (
	// quantum is the cost that an account may start per round.
	quantum = 1.0
	// minCost and maxCost bound the cost of one request.
	minCost, maxCost = 0.1, 10.0
)

// maxDepth is the call depth from which deeper calls are treated alike.
const maxDepth = 31

// An entry is a queued request. A removed entry stays in its containers and is
// skipped there, so that removal needs no search.
type entry struct {
	request Request
	queued  time.Time
	expires time.Time
	removed bool
}

// A Queue holds waiting requests. They are served by importance, then fairly between
// client accounts by deficit round robin, then within an account by depth (deeper
// calls first), then by age. Fairness precedes depth so that an account with deep
// calls can't starve one with new requests.
type Queue struct {
	// levels is sorted by importance, highest first.
	levels []*level
	byID   map[uint64]*entry
	expiry expiryHeap
}

// NewQueue returns an empty Queue.
func NewQueue() *Queue { return &Queue{byID: make(map[uint64]*entry)} }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.byID) }

// Push adds a request that expires at the given time.
func (q *Queue) Push(now time.Time, r Request, expires time.Time) {
	e := &entry{request: r, queued: now, expires: expires}
	q.byID[r.ID] = e
	q.level(r.Importance).push(e)
	heap.Push(&q.expiry, e)
}

// Pop removes and returns the next request to run and the time it was queued. It
// returns false if the queue is empty.
func (q *Queue) Pop() (Request, time.Time, bool) {
	for _, l := range q.levels {
		if e := l.pop(); e != nil {
			delete(q.byID, e.request.ID)
			return e.request, e.queued, true
		}
	}
	return Request{}, time.Time{}, false
}

// Remove removes a request by its ID and reports whether it was waiting.
func (q *Queue) Remove(id uint64) (Request, bool) {
	e, ok := q.byID[id]
	if !ok {
		return Request{}, false
	}
	q.removeEntry(e)
	return e.request, true
}

// PopExpired removes and returns the request that expired first, the least important
// one among those with the same expiry. It returns false if none has expired.
func (q *Queue) PopExpired(now time.Time) (Request, bool) {
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].expires) {
		e := heap.Pop(&q.expiry).(*entry)
		if !e.removed {
			q.removeEntry(e)
			return e.request, true
		}
	}
	return Request{}, false
}

// PopLeastImportant removes and returns the least important request: at the lowest
// waiting importance, of the account with the longest backlog, the newest of its
// shallowest calls. It returns false if no request is less important than bound.
func (q *Queue) PopLeastImportant(bound int) (Request, bool) {
	for _, l := range slices.Backward(q.levels) {
		if l.waiting == 0 {
			continue
		}
		if l.importance >= bound {
			return Request{}, false
		}
		e := l.longestBacklog().newest()
		q.removeEntry(e)
		return e.request, true
	}
	return Request{}, false
}

// NextExpiry returns when the next waiting request expires, and whether any request
// waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	for len(q.expiry) > 0 {
		if !q.expiry[0].removed {
			return q.expiry[0].expires, true
		}
		heap.Pop(&q.expiry)
	}
	return time.Time{}, false
}

// Backlog returns the number of requests of an account that wait at an importance.
func (q *Queue) Backlog(importance int, account string) int {
	for _, l := range q.levels {
		if b, ok := l.backlogs[account]; ok && l.importance == importance {
			return b.waiting
		}
	}
	return 0
}

// Waiting returns the number of requests that wait at an importance or above.
func (q *Queue) Waiting(importance int) int {
	total := 0
	for _, l := range q.levels {
		if l.importance >= importance {
			total += l.waiting
		}
	}
	return total
}

// Delay returns how long the oldest request of the highest waiting importance has
// waited.
func (q *Queue) Delay(now time.Time) time.Duration {
	for _, l := range q.levels {
		if l.waiting > 0 {
			return l.delay(now)
		}
	}
	return 0
}

func (q *Queue) removeEntry(e *entry) {
	delete(q.byID, e.request.ID)
	q.level(e.request.Importance).remove(e)
}

func (q *Queue) level(importance int) *level {
	i, found := slices.BinarySearchFunc(q.levels, importance, func(l *level, target int) int {
		return target - l.importance
	})
	if !found {
		q.levels = slices.Insert(q.levels, i, &level{importance: importance, backlogs: make(map[string]*backlog)})
	}
	return q.levels[i]
}

// A level holds the waiting requests of one importance, by account.
type level struct {
	importance int
	backlogs   map[string]*backlog
	// ring holds the non-empty backlogs in round robin order.
	ring    []*backlog
	waiting int
}

func (l *level) push(e *entry) {
	b, ok := l.backlogs[e.request.Account]
	if !ok {
		b = &backlog{account: e.request.Account}
		l.backlogs[e.request.Account] = b
		l.ring = append(l.ring, b)
	}
	b.push(e)
	l.waiting++
}

// pop removes and returns the next entry by deficit round robin: the account at the
// head of the ring starts requests until their cost exceeds its deficit.
func (l *level) pop() *entry {
	for len(l.ring) > 0 {
		b := l.ring[0]
		if !b.quantumGranted {
			b.deficit += quantum
			b.quantumGranted = true
		}
		e := b.next()
		cost := costOf(e.request)
		if b.deficit < cost {
			b.quantumGranted = false
			l.ring = append(l.ring[1:], b)
			continue
		}
		b.deficit -= cost
		l.remove(e)
		return e
	}
	return nil
}

// remove marks an entry as removed, at any position.
func (l *level) remove(e *entry) {
	e.removed = true
	l.waiting--
	b := l.backlogs[e.request.Account]
	b.waiting--
	if b.waiting == 0 {
		l.deleteBacklog(b)
	}
}

// deleteBacklog deletes an empty backlog.
func (l *level) deleteBacklog(b *backlog) {
	delete(l.backlogs, b.account)
	l.ring = slices.DeleteFunc(l.ring, func(other *backlog) bool { return other == b })
}

// longestBacklog returns the backlog with the most waiting requests; on a tie, the
// one that is served last. The level must not be empty.
func (l *level) longestBacklog() *backlog {
	longest := l.ring[0]
	for _, b := range l.ring[1:] {
		if b.waiting >= longest.waiting {
			longest = b
		}
	}
	return longest
}

func (l *level) delay(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, b := range l.ring {
		oldest = max(oldest, b.delay(now))
	}
	return oldest
}

// A backlog holds the waiting requests of one account at one importance, by depth.
type backlog struct {
	account string
	// deficit is the cost that the account may start before it gets the next quantum.
	deficit float64
	// quantumGranted reports whether the quantum of the current round was added to
	// the deficit.
	quantumGranted bool
	byDepth        [][]*entry
	waiting        int
}

func (b *backlog) push(e *entry) {
	depth := min(max(e.request.Depth, 0), maxDepth)
	for len(b.byDepth) <= depth {
		b.byDepth = append(b.byDepth, nil)
	}
	b.byDepth[depth] = append(b.byDepth[depth], e)
	b.waiting++
}

// next returns the oldest of the deepest entries without removing it. The backlog
// must not be empty.
func (b *backlog) next() *entry {
	for depth := len(b.byDepth) - 1; depth >= 0; depth-- {
		b.dropRemoved(depth)
		if fifo := b.byDepth[depth]; len(fifo) > 0 {
			return fifo[0]
		}
	}
	return nil
}

// newest returns the newest of the shallowest entries without removing it. The
// backlog must not be empty.
func (b *backlog) newest() *entry {
	for depth, fifo := range b.byDepth {
		for len(fifo) > 0 && fifo[len(fifo)-1].removed {
			fifo = fifo[:len(fifo)-1]
		}
		b.byDepth[depth] = fifo
		if len(fifo) > 0 {
			return fifo[len(fifo)-1]
		}
	}
	return nil
}

func (b *backlog) delay(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for depth := range b.byDepth {
		b.dropRemoved(depth)
		if fifo := b.byDepth[depth]; len(fifo) > 0 {
			oldest = max(oldest, now.Sub(fifo[0].queued))
		}
	}
	return oldest
}

// dropRemoved drops removed entries from the head of the FIFO at a depth.
func (b *backlog) dropRemoved(depth int) {
	fifo := b.byDepth[depth]
	for len(fifo) > 0 && fifo[0].removed {
		fifo[0] = nil
		fifo = fifo[1:]
	}
	b.byDepth[depth] = fifo
}

// An expiryHeap orders entries by expiry, then least important first.
type expiryHeap []*entry

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool {
	if h[i].expires.Equal(h[j].expires) {
		return h[i].request.Importance < h[j].request.Importance
	}
	return h[i].expires.Before(h[j].expires)
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// costOf returns the cost of a request for fair sharing; 1 if none is given.
func costOf(r Request) float64 {
	if r.Cost <= 0 {
		return 1
	}
	return min(max(r.Cost, minCost), maxCost)
}
