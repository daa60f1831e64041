// Package metrics counts the requests of a node as expvar variables. Each node has
// its own map, so that tests can run several nodes in one process.
package metrics

import (
	"expvar"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

// Metrics are the counters of one node. They are safe for concurrent use.
type Metrics struct {
	root     *expvar.Map
	answered expvar.Int
	refused  expvar.Map
	inTarget expvar.Int
	late     expvar.Int
}

// New returns counters set to zero.
func New() *Metrics {
	m := &Metrics{root: new(expvar.Map).Init()}
	m.refused.Init()
	m.root.Set("requests-answered", &m.answered)
	m.root.Set("requests-refused", &m.refused)
	m.root.Set("answers-in-target", &m.inTarget)
	m.root.Set("answers-late", &m.late)
	return m
}

// Publish adds a variable of another component of the node.
func (m *Metrics) Publish(name string, v expvar.Var) { m.root.Set(name, v) }

// Record counts one answer or refusal.
func (m *Metrics) Record(_ call.Context, target, elapsed time.Duration, a exchange.Answer) {
	if a.Refusal != nil {
		m.refused.Add(string(a.Refusal.Reason), 1)
		return
	}
	m.answered.Add(1)
	if elapsed <= target {
		m.inTarget.Add(1)
		return
	}
	m.late.Add(1)
}

// String returns all variables as JSON.
func (m *Metrics) String() string { return m.root.String() }
