package rate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/rate"
)

// splitHosts plays an account's requests at several hosts that tell one another
// their demand once in an interval, unless they are cut off.
type splitHosts struct {
	splits []*rate.Split
	demand []float64
	taken  []time.Time
	cut    map[int]bool
}

func newSplitHosts(now time.Time, perSecond, burst float64, hosts int) *splitHosts {
	s := &splitHosts{demand: make([]float64, hosts), cut: make(map[int]bool)}
	for range hosts {
		s.splits = append(s.splits, rate.NewSplit(now, perSecond, burst, hosts))
	}
	return s
}

func (s *splitHosts) take(now time.Time, host int) bool {
	_, ok := s.splits[host].Take(now, 0)
	if ok {
		s.taken = append(s.taken, now)
	}
	return ok
}

// tell exchanges the demand; a cut host keeps what it knew, as others do of it.
func (s *splitHosts) tell(now time.Time) {
	for i, split := range s.splits {
		if !s.cut[i] {
			s.demand[i] = split.Demand(now)
		}
	}
	for i, split := range s.splits {
		if s.cut[i] {
			continue
		}
		var others []rate.HostDemand
		for j, d := range s.demand {
			if j != i {
				others = append(others, rate.HostDemand{Host: fmt.Sprint(j), Demand: d, Heard: !s.cut[j]})
			}
		}
		split.Share(now, others)
	}
}

// The platform grants a tenth more and 20 requests in each span of five seconds.
func TestSplitHoldsTheRateWhileDemandMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond, burst, span = 50.0, 50.0, 5 * time.Second
		hosts := rapid.IntRange(2, 14).Draw(t, "hosts")
		start := time.Unix(1_700_000_000, 0)
		s := newSplitHosts(start, perSecond, burst, hosts)
		busiest := 0
		for step := range 4000 { // five milliseconds each
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			if step%50 == 0 {
				s.tell(now)
			}
			if step%400 == 0 {
				busiest = rapid.IntRange(0, hosts-1).Draw(t, "busiest")
				s.cut = map[int]bool{rapid.IntRange(0, hosts-1).Draw(t, "cut"): rapid.Bool().Draw(t, "cuts")}
			}
			s.take(now, busiest)
			s.take(now, step%hosts)
		}
		allowed := (perSecond*span.Seconds()+burst)*1.1 + 20
		from := 0
		for i, end := range s.taken {
			for end.Sub(s.taken[from]) > span {
				from++
			}
			if got := i - from + 1; float64(got) > allowed {
				t.Fatalf("%d requests in %v to %v, allowed are %v", got, span, end.Sub(start), allowed)
			}
		}
	})
}

// The pattern: an account asks for two thirds of its rate, unevenly over the hosts.
func TestSplitRefusesFewInsideTheRate(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_700_000_000, 0)
	s := newSplitHosts(start, 150, 150, 14)
	refused, asked := 0, 0
	for step := range 2000 { // ten milliseconds each, one request: 100 a second
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		if step%25 == 0 {
			s.tell(now)
		}
		host := step % 3 // three of the hosts get all
		if step%10 == 9 {
			host = 3 + step/10%11
		}
		asked++
		if !s.take(now, host) {
			refused++
		}
	}
	is.True(refused*100 <= asked) // one in a hundred
}

func TestSplitKeepsTokensForWhatMattersMore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := rate.NewSplit(now, 10, 11, 1)
	for range 6 {
		_, ok := s.Take(now, 0.5)
		is.True(ok)
	}
	_, ok := s.Take(now, 0.5)
	is.True(!ok) // half of the burst is kept
	_, ok = s.Take(now, 0)
	is.True(ok)
	s.Return(now)
	s.Return(now)
	_, ok = s.Take(now, 0.5)
	is.True(ok) // given back by requests that were refused for another reason
}

func TestRefusedCallersAreToldToComeBackOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	s := rate.NewSplit(now, 10, 1, 1)
	for {
		if _, ok := s.Take(now, 0); !ok {
			break
		}
	}
	first, _ := s.Take(now, 0)
	second, _ := s.Take(now, 0)
	is.Equal((second - first).Round(time.Millisecond), 100*time.Millisecond) // a token is there each 100 ms
}
