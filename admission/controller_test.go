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

// A tracker checks the order of importance over a Controller's actions.
type tracker struct {
	t          *rapid.T
	controller *admission.Controller
	now        time.Time
	waiting    map[uint64]admission.Request
	running    map[uint64]admission.Request
	// lowest is the least importance started since each waiting request came.
	lowest map[uint64]int
	// shedAt is when each importance was shed last, since a slot stood idle.
	shedAt map[int]time.Time
}

func (k *tracker) take(a admission.Actions) {
	most := 0
	for _, s := range a.Sheds {
		r := k.waiting[s.ID]
		delete(k.waiting, s.ID)
		if s.Reason != admission.Overloaded {
			continue
		}
		if low, ok := k.lowest[s.ID]; ok && low < r.Importance {
			k.t.Fatalf("importance %d shed after %d was started while it waited", r.Importance, low)
		}
		k.shedAt[r.Importance] = k.now
		most = max(most, r.Importance)
	}
	for _, run := range a.Runs {
		k.run(run)
	}
	for _, r := range k.waiting {
		if r.Importance < most {
			k.t.Fatalf("importance %d waits while %d is shed", r.Importance, most)
		}
	}
	load := k.controller.Load(k.now)
	if len(k.waiting) > 0 && load.Running < 1 {
		k.t.Fatalf("a slot stands idle while %d requests wait", len(k.waiting))
	}
	if len(k.waiting) == 0 && load.FreeSlots > 0 {
		clear(k.shedAt)
	}
}

func (k *tracker) run(run admission.Run) {
	r, ok := k.waiting[run.ID]
	if !ok {
		k.t.Fatalf("request %d was run but did not wait", run.ID)
	}
	delete(k.waiting, run.ID)
	k.running[run.ID] = r
	for importance, at := range k.shedAt {
		if r.Importance < importance && k.now.Before(at.Add(admission.DefaultHold)) {
			k.t.Fatalf("importance %d admitted %v after %d was shed", r.Importance, k.now.Sub(at), importance)
		}
	}
	for id := range k.waiting {
		if low, ok := k.lowest[id]; !ok || r.Importance < low {
			k.lowest[id] = r.Importance
		}
	}
}

// While a request waits and is shed as overloaded, none of lower importance is
// started; none waits after the shed; none is admitted within the hold time
// after it unless a slot stood idle with nothing waiting.
func TestLowerImportanceIsShedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		k := &tracker{
			t:          t,
			controller: admission.New(admission.Capacity{Slots: slots}, admission.WithQueueLength(8)),
			now:        start,
			waiting:    make(map[uint64]admission.Request),
			running:    make(map[uint64]admission.Request),
			lowest:     make(map[uint64]int),
			shedAt:     make(map[int]time.Time),
		}
		next := uint64(0)
		steps := rapid.IntRange(1, 150).Draw(t, "steps")
		for range steps {
			k.now = k.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				k.take(k.controller.Tick(k.now))
			case 1:
				for id := range smallest(k.running) {
					delete(k.running, id)
					k.take(k.controller.Done(k.now, id, admission.Completion{Own: 10 * time.Millisecond}))
				}
			case 2:
				for id := range smallest(k.waiting) {
					if !k.controller.Cancel(id) {
						t.Fatalf("request %d does not wait", id)
					}
					delete(k.waiting, id)
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
				r.Deadline = k.now.Add(2 * r.Target)
				k.waiting[r.ID] = r
				k.take(k.controller.Admit(k.now, r))
			}
		}
	})
}

// smallest returns the entry with the lowest ID, so that runs are repeatable.
func smallest(all map[uint64]admission.Request) map[uint64]admission.Request {
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

// With a lasting backlog, what each account of one importance is given is its
// max-min share of the cost started, within the greatest cost of a request and
// a quantum.
func TestAccountsGetMaxMinShare(t *testing.T) {
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
		given, used := make(map[string]float64), 0.0
		for used < capacity {
			r, _, ok := q.Pop()
			if !ok {
				break
			}
			given[r.Account] += r.Cost
			used += r.Cost
		}
		for account, share := range maxMin(demand, used) {
			if diff := given[account] - share; diff > 2*(3+1) || diff < -2*(3+1) {
				t.Fatalf("account %s was given %.1f, its share is %.1f", account, given[account], share)
			}
		}
	})
}

// maxMin fills demands evenly until the capacity is used.
func maxMin(demand map[string]float64, capacity float64) map[string]float64 {
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

func TestOrderWithinAnAccount(t *testing.T) {
	is := is.New(t)
	q := admission.NewQueue()
	push := func(id uint64, importance, depth int) {
		q.Push(start, admission.Request{ID: id, Account: "a", Importance: importance, Depth: depth}, start.Add(time.Second))
	}
	push(1, 1, 5)
	push(2, 3, 0)
	push(3, 3, 0)
	push(4, 3, 2)
	least, ok := q.PopLeast(3)
	is.True(ok)
	is.Equal(least.ID, uint64(1)) // least important first
	_, ok = q.PopLeast(3)
	is.True(!ok) // none below the bound is left
	least, _ = q.PopLeast(4)
	is.Equal(least.ID, uint64(3)) // newest of the shallowest
	for _, want := range []uint64{4, 2} {
		r, _, _ := q.Pop()
		is.Equal(r.ID, want) // deeper calls first
	}
}

func TestAnnouncementBoundsTheLimit(t *testing.T) {
	is := is.New(t)
	limit := admission.NewLimit(admission.Capacity{})
	limit.Resize(admission.Capacity{Slots: 400})
	is.Equal(limit.Value(), 200) // slow start
	limit.Resize(admission.Capacity{Slots: 400, Connections: 30})
	is.Equal(limit.Value(), 30)
	limit.Resize(admission.Capacity{Slots: 400, Connections: 200})
	is.Equal(limit.Value(), 30) // rises by answers only
}

// A backend server with real slots answers in a time that grows with the
// requests above them; its announcement may claim more.
func TestLimitFindsSlotsAndSurvivesSlowness(t *testing.T) {
	cases := []struct {
		name         string
		announced    int
		real         int
		slowness     time.Duration
		fewest, most int
	}{
		{"honest", 40, 40, 1, 40, 40},
		{"claims four times its slots", 160, 40, 1, 28, 66},
		{"announces nothing", 0, 60, 1, 42, 99},
		{"slowed by ten with its slots unchanged", 40, 40, 10, 30, 40},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			limit := admission.NewLimit(admission.Capacity{Slots: c.announced})
			is.True(limit.Value() < max(c.announced, c.real)) // slow start
			now := start
			random := rand.New(rand.NewPCG(1, 1))
			const calls = 400000
			sum := 0
			for i := range calls {
				service := 10 * time.Millisecond
				if i >= calls/2 {
					service *= c.slowness
				}
				running := limit.Value()
				service = time.Duration(random.ExpFloat64() * float64(service))
				own := service * time.Duration(max(running, c.real)) / time.Duration(c.real)
				now = now.Add(own / time.Duration(running))
				if i >= 3*calls/4 {
					sum += running
				}
				limit.Observe(now, admission.Completion{Own: own}, running)
			}
			mean := sum / (calls / 4)
			is.True(mean >= c.fewest)
			is.True(mean <= c.most)
		})
	}
}
