package lifetime_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/lifetime"
)

// newGate returns a gate of a node that ends in five seconds, after 94 requests of 100 ms and
// 6 of 4 s.
func newGate() (*lifetime.Gate, *clock.Fake) {
	c := clock.NewFake(time.Unix(1000, 0))
	g := lifetime.NewGate(c)
	for i := range 100 {
		took := 100 * time.Millisecond
		if i < 6 {
			took = 4 * time.Second
		}
		g.Record("r", took)
	}
	return g, c
}

// A leaving node must not start work that may run only once and would probably be cut.
func TestLeavingNodeRefusesRequestsThatOutlastIt(t *testing.T) {
	is := is.New(t)
	g, c := newGate()
	is.True(g.Accept("r", false)) // the node does not leave
	g.Leave(c.Now().Add(5 * time.Second))
	is.True(g.Accept("r", false))
	c.Advance(2 * time.Second)
	is.True(!g.Accept("r", false)) // six in 100 take longer than the remaining 3 s
	is.True(g.Accept("r", true))   // may be sent again after a cut
	is.True(g.Accept("unknown", false))
	c.Advance(2950 * time.Millisecond)
	is.True(!g.Accept("r", true))
}

// Durations that are no longer typical don't count.
func TestOldDurationsAreForgotten(t *testing.T) {
	is := is.New(t)
	g, c := newGate()
	for range 3 {
		c.Advance(10 * time.Second)
		g.Record("r", 100*time.Millisecond)
	}
	g.Leave(c.Now().Add(time.Second))
	is.True(g.Accept("r", false))
}
