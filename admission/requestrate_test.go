package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/admission"
)

const (
	ratedTarget = 400 * time.Millisecond
	ratedTick   = 5 * time.Millisecond
)

// A ratedServer is a backend server with many slots that limits its requests per second.
type ratedServer struct {
	controller *admission.Controller
	now        time.Time
	lastID     uint64
	importance map[uint64]int
	starts     []time.Time
	// started and shed count requests by importance.
	started, shed map[int]int
}

func newRatedServer(perSecond float64) *ratedServer {
	return &ratedServer{
		controller: admission.New(limitedCapacity(perSecond), admission.WithFixedLimit()), now: start,
		importance: make(map[uint64]int), started: make(map[int]int), shed: make(map[int]int),
	}
}

func limitedCapacity(perSecond float64) admission.Capacity {
	return admission.Capacity{Slots: 200, Limited: true, RequestsPerSecond: perSecond}
}

// arrive sends requests of an importance. They run in no time.
func (s *ratedServer) arrive(requests, importance int) {
	for range requests {
		s.lastID++
		s.importance[s.lastID] = importance
		s.apply(s.controller.Admit(s.now, admission.Request{
			ID: s.lastID, Account: "depot", Importance: importance, Target: ratedTarget, Deadline: s.now.Add(5 * time.Second),
		}))
	}
}

func (s *ratedServer) apply(a admission.Actions) {
	for _, r := range a.Runs {
		s.starts = append(s.starts, s.now)
		s.started[s.importance[r.ID]]++
		s.apply(s.controller.Done(s.now, r.ID, admission.Completion{SelfTime: time.Millisecond}))
	}
	for _, d := range a.Sheds {
		s.shed[s.importance[d.ID]]++
	}
}

// step advances the time by one tick.
func (s *ratedServer) step() {
	s.now = s.now.Add(ratedTick)
	s.apply(s.controller.Tick(s.now))
}

// maxStarts returns the largest number of starts in a span.
func (s *ratedServer) maxStarts(span time.Duration) int {
	most, first := 0, 0
	for i, at := range s.starts {
		for at.Sub(s.starts[first]) > span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// A backend server that accepts few requests per second gets them in bursts, from many
// nodes, and restates its limit.
func TestStartsStayWithinRequestsPerSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 60).Draw(t, "perSecond")
		s := newRatedServer(perSecond)
		for range rapid.IntRange(1, 30).Draw(t, "bursts") {
			s.arrive(rapid.IntRange(0, 40).Draw(t, "arrivals"), rapid.IntRange(1, 3).Draw(t, "importance"))
			if rapid.Bool().Draw(t, "restated") {
				s.controller.SetCapacity(limitedCapacity(perSecond))
			}
			for range rapid.IntRange(0, 200).Draw(t, "ticks") {
				s.step()
			}
		}
		span := 4 * time.Second
		if allowed := 1.5*perSecond*span.Seconds() + 5; float64(s.maxStarts(span)) > allowed {
			t.Fatalf("%d requests were started in %v at %v per second", s.maxStarts(span), span, perSecond)
		}
	})
}

// Sustained overload of a limited backend server: twice as many requests as it accepts,
// half of them important.
func TestImportantRequestsUseTheRequestsPerSecond(t *testing.T) {
	is := is.New(t)
	const perSecond = 40
	s := newRatedServer(perSecond)
	for range 2000 { // 10 s, of which one request of each importance arrives every 25 ms
		s.step()
		if s.now.Sub(start)%(25*time.Millisecond) == 0 {
			s.arrive(1, 2)
			s.arrive(1, 1)
		}
	}
	is.True(s.started[2] >= 380) // nearly all of 400
	is.True(s.shed[1] > 300)
	is.Equal(s.shed[2], 0)
}

// A backend server that accepts no requests at all gets a few, so that the end of its
// limit shows in its answers.
func TestBackendServerThatAcceptsNoneIsStillTried(t *testing.T) {
	is := is.New(t)
	s := newRatedServer(0)
	for range 2000 { // 10 s
		s.step()
		s.arrive(1, 1)
	}
	is.True(len(s.starts) >= 4)
	is.True(s.maxStarts(4*time.Second) <= 5)
}

func TestEndOfRequestLimitStartsQueuedRequests(t *testing.T) {
	is := is.New(t)
	s := newRatedServer(2)
	s.arrive(20, 1)
	is.Equal(len(s.starts), 0)
	is.Equal(s.controller.Load(s.now).FreeSlots, 0) // free slots can't be used
	s.controller.SetCapacity(admission.Capacity{Slots: 200})
	s.step()
	is.Equal(len(s.starts), 20)
	is.Equal(s.controller.Load(s.now).FreeSlots, 200)
}

func ExampleCapacity() {
	c := admission.New(admission.Capacity{Slots: 16, Limited: true, RequestsPerSecond: 50}, admission.WithFixedLimit())
	now := time.Unix(0, 0)
	admit := func(id uint64) int {
		return len(c.Admit(now, admission.Request{ID: id, Importance: 1, Target: time.Second, Deadline: now.Add(time.Minute)}).Runs)
	}
	fmt.Println(admit(1)) // the first limit begins without a burst
	now = now.Add(20 * time.Millisecond)
	fmt.Println(len(c.Tick(now).Runs))
	// Output:
	// 0
	// 1
}

// Some backend servers of a service limit their requests and others have room: a request
// must not spend its time in the queue of a limited one.
func TestRequestsLeaveLimitedBackendServerSoon(t *testing.T) {
	is := is.New(t)
	s := newRatedServer(10)
	s.arrive(8, 1)
	is.True(s.controller.Load(s.now).QueueDelay >= 800*time.Millisecond) // what the next one would wait for
	for range 11 {                                                       // 55 ms
		s.step()
	}
	is.Equal(s.started[1]+s.shed[1], 8)
	is.Equal(s.controller.Load(s.now).Waiting, 0)
}
