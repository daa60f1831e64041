package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

// meterWindow is the time over which the meter gives calls per second.
const meterWindow = 10

// A Meter counts calls to the platform: each attempt that leaves the process.
// It is an expvar.Var, so that a process publishes it under the name "platform".
// It is safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	clock clock.Clock

	// mu guards the fields below.
	mu       sync.Mutex
	totals   map[string]uint64
	failures uint64
	// seconds holds the calls of the last seconds, by second modulo the window.
	seconds [meterWindow]secondCount
}

// A secondCount is the number of calls in one second of Unix time.
type secondCount struct {
	second int64
	calls  uint64
}

// NewMeter returns a meter with nothing counted.
func NewMeter(c clock.Clock) *Meter { return &Meter{clock: c, totals: make(map[string]uint64)} }

// A Count is what a Meter has seen.
type Count struct {
	// TableCalls and ObjectCalls are attempts since the start.
	TableCalls  uint64 `json:"table-calls"`
	ObjectCalls uint64 `json:"object-calls"`
	// Failures are attempts that got no answer, or an answer of status 500 and up.
	Failures uint64 `json:"failures"`
	// CallsPerSecond is the mean over the last ten whole seconds.
	CallsPerSecond float64 `json:"calls-per-second"`
}

// Count returns what has been counted so far.
func (m *Meter) Count() Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now().Unix()
	var recent uint64
	for _, s := range m.seconds {
		if s.second < now && s.second >= now-meterWindow {
			recent += s.calls
		}
	}
	return Count{
		TableCalls:     m.totals[serviceTable],
		ObjectCalls:    m.totals[serviceObjects],
		Failures:       m.failures,
		CallsPerSecond: float64(recent) / meterWindow,
	}
}

// String returns the count as JSON, as expvar asks.
func (m *Meter) String() string {
	text, err := json.Marshal(m.Count())
	if err != nil {
		return "{}"
	}
	return string(text)
}

func (m *Meter) add(service string, failed bool) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals[service]++
	if failed {
		m.failures++
	}
	now := m.clock.Now().Unix()
	s := &m.seconds[now%meterWindow]
	if s.second != now {
		*s = secondCount{second: now}
	}
	s.calls++
}

// counting counts each attempt that leaves the process.
type counting struct {
	meter   *Meter
	service string
	next    http.RoundTripper
}

// RoundTrip sends one attempt.
func (c counting) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := c.next.RoundTrip(r)
	c.meter.add(c.service, err != nil || answer.StatusCode >= http.StatusInternalServerError)
	if err != nil {
		return nil, fmt.Errorf("send to the %s: %w", c.service, err)
	}
	return answer, nil
}
