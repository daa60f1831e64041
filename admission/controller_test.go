package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A checker checks that a Controller's actions respect the order of importance.
type checker struct {
	t          *rapid.T
	controller *admission.Controller
	now        time.Time
	waiting    map[uint64]admission.Request
	running    map[uint64]admission.Request
	// lowestStarted is the lowest importance started while each request waited, by ID.
	lowestStarted map[uint64]int
	// shedAt is when each importance was last shed. It is cleared when a slot is idle
	// and no request waits.
	shedAt map[int]time.Time
}

func (c *checker) apply(a admission.Actions) {
	highestShed := 0
	for _, s := range a.Sheds {
		r := c.waiting[s.ID]
		delete(c.waiting, s.ID)
		if s.Reason != admission.Overloaded {
			continue
		}
		if low, ok := c.lowestStarted[s.ID]; ok && low < r.Importance {
			c.t.Fatalf("importance %d was shed after %d was started while it was queued", r.Importance, low)
		}
		c.shedAt[r.Importance] = c.now
		highestShed = max(highestShed, r.Importance)
	}
	for _, run := range a.Runs {
		c.run(run)
	}
	for _, r := range c.waiting {
		if r.Importance < highestShed {
			c.t.Fatalf("importance %d is queued although %d was shed", r.Importance, highestShed)
		}
	}
	load := c.controller.Load(c.now)
	if len(c.waiting) > 0 && load.Running < 1 {
		c.t.Fatalf("no request runs while %d are queued", len(c.waiting))
	}
	if len(c.waiting) == 0 && load.FreeSlots > 0 {
		clear(c.shedAt)
	}
}

func (c *checker) run(run admission.Run) {
	r, ok := c.waiting[run.ID]
	if !ok {
		c.t.Fatalf("request %d was run but is not queued", run.ID)
	}
	delete(c.waiting, run.ID)
	c.running[run.ID] = r
	for importance, at := range c.shedAt {
		if r.Importance < importance && c.now.Before(at.Add(admission.DefaultHoldTime)) {
			c.t.Fatalf("importance %d admitted %v after %d was shed", r.Importance, c.now.Sub(at), importance)
		}
	}
	for id := range c.waiting {
		if low, ok := c.lowestStarted[id]; !ok || r.Importance < low {
			c.lowestStarted[id] = r.Importance
		}
	}
}

// When a request is shed as overloaded, no request of lower importance was started
// while it was queued, none is queued afterwards, and none is admitted within the hold
// time unless a slot was idle with an empty queue.
func TestLowerImportanceIsShedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		c := &checker{
			t:             t,
			controller:    admission.New(admission.Capacity{Slots: slots}, admission.WithQueueLength(8)),
			now:           start,
			waiting:       make(map[uint64]admission.Request),
			running:       make(map[uint64]admission.Request),
			lowestStarted: make(map[uint64]int),
			shedAt:        make(map[int]time.Time),
		}
		next := uint64(0)
		steps := rapid.IntRange(1, 150).Draw(t, "steps")
		for range steps {
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				c.apply(c.controller.Tick(c.now))
			case 1:
				for id := range lowestID(c.running) {
					delete(c.running, id)
					c.apply(c.controller.Done(c.now, id, admission.Completion{SelfTime: 10 * time.Millisecond}))
				}
			case 2:
				for id := range lowestID(c.waiting) {
					if !c.controller.Cancel(id) {
						t.Fatalf("request %d is not queued", id)
					}
					delete(c.waiting, id)
				}
			default:
				next++
				r := admission.Request{
					ID:         next,
					Account:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Importance: rapid.IntRange(1, 5).Draw(t, "importance"),
					Depth:      rapid.IntRange(0, 2).Draw(t, "depth"),
					Target:     time.Duration(rapid.IntRange(10, 400).Draw(t, "target")) * time.Millisecond,
				}
				r.Deadline = c.now.Add(2 * r.Target)
				c.waiting[r.ID] = r
				c.apply(c.controller.Admit(c.now, r))
			}
		}
	})
}

// lowestID returns the entry with the lowest ID, so that runs are reproducible.
func lowestID(all map[uint64]admission.Request) map[uint64]admission.Request {
	best := uint64(0)
	for id := range all {
		if best == 0 || id < best {
			best = id
		}
	}
	if best == 0 {
		return nil
	}
	return map[uint64]admission.Request{best: all[best]}
}

// With a persistent backlog, each account of one importance receives its max-min fair
// share of the started cost, within twice the sum of the maximum request cost and the
// quantum.
func TestAccountsGetMaxMinFairShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admission.NewQueue()
		accounts := []string{"a", "b", "c", "d"}
		demand := make(map[string]float64)
		id, total := uint64(0), 0.0
		for _, account := range accounts {
			count := rapid.IntRange(0, 60).Draw(t, "demand")
			cost := rapid.Float64Range(0.5, 3).Draw(t, "cost")
			for range count {
				id++
				depth := rapid.IntRange(0, 3).Draw(t, "depth")
				q.Push(start, admission.Request{ID: id, Account: account, Importance: 3, Cost: cost, Depth: depth}, start.Add(time.Hour))
				demand[account] += cost
				total += cost
			}
		}
		capacity := rapid.Float64Range(0, total).Draw(t, "capacity")
		served, used := make(map[string]float64), 0.0
		for used < capacity {
			r, _, ok := q.Pop()
			if !ok {
				break
			}
			served[r.Account] += r.Cost
			used += r.Cost
		}
		for account, share := range maxMinShares(demand, used) {
			if diff := served[account] - share; diff > 2*(3+1) || diff < -2*(3+1) {
				t.Fatalf("account %s received a cost of %.1f, its fair share is %.1f", account, served[account], share)
			}
		}
	})
}

// maxMinShares fills the demands evenly until the capacity is used.
func maxMinShares(demand map[string]float64, capacity float64) map[string]float64 {
	shares := make(map[string]float64)
	const step = 0.01
	for left := capacity; left > step; {
		before := left
		for account, wanted := range demand {
			if shares[account]+step <= wanted && left > 0 {
				shares[account] += step
				left -= step
			}
		}
		if left == before {
			break
		}
	}
	return shares
}

func TestQueueOrderWithinAccount(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue()
	push := func(id uint64, importance, depth int) {
		q.Push(start, admission.Request{ID: id, Account: "a", Importance: importance, Depth: depth}, start.Add(time.Second))
	}
	push(1, 1, 5)
	push(2, 3, 0)
	push(3, 3, 0)
	push(4, 3, 2)
	least, ok := q.PopLeastImportant(3)
	is.True(ok)
	is.Equal(least.ID, uint64(1)) // least important first
	_, ok = q.PopLeastImportant(3)
	is.True(!ok) // no request below the bound is left
	least, _ = q.PopLeastImportant(4)
	is.Equal(least.ID, uint64(3)) // newest of the shallowest
	for _, want := range []uint64{4, 2} {
		r, _, _ := q.Pop()
		is.Equal(r.ID, want) // deeper calls first
	}
}

func TestAnnouncedCapacityBoundsLimit(t *testing.T) {
	is := is.New(t)
	limit := admission.NewLimit(admission.Capacity{})
	limit.SetCapacity(admission.Capacity{Slots: 400})
	is.Equal(limit.Value(), 200) // slow start
	limit.SetCapacity(admission.Capacity{Slots: 400, Connections: 30})
	is.Equal(limit.Value(), 30)
	limit.SetCapacity(admission.Capacity{Slots: 400, Connections: 200})
	is.Equal(limit.Value(), 30) // only completions raise the limit
}

// The simulated backend server has a number of actual slots, above which its self time
// grows in proportion to concurrency. It may announce a different number of slots.
func TestLimitConvergesToActualSlots(t *testing.T) {
	cases := []struct {
		name             string
		announced        int
		actual           int
		slowdown         time.Duration
		minMean, maxMean int
	}{
		{"announces its slots", 40, 40, 1, 40, 40},
		{"announces four times its slots", 160, 40, 1, 28, 66},
		{"announces nothing", 0, 60, 1, 42, 99},
		{"slows down tenfold with its slots unchanged", 40, 40, 10, 30, 40},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			limit := admission.NewLimit(admission.Capacity{Slots: c.announced})
			is.True(limit.Value() < max(c.announced, c.actual)) // slow start
			now := start
			random := rand.New(rand.NewPCG(1, 1))
			const requests = 400000
			sum := 0
			for i := range requests {
				service := 10 * time.Millisecond
				if i >= requests/2 {
					service *= c.slowdown
				}
				running := limit.Value()
				service = time.Duration(random.ExpFloat64() * float64(service))
				selfTime := service * time.Duration(max(running, c.actual)) / time.Duration(c.actual)
				now = now.Add(selfTime / time.Duration(running))
				if i >= 3*requests/4 {
					sum += running
				}
				limit.Observe(now, admission.Completion{SelfTime: selfTime}, running)
			}
			mean := sum / (requests / 4)
			is.True(mean >= c.minMean)
			is.True(mean <= c.maxMean)
		})
	}
}
