package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

// meterWindowSeconds is the period over which the meter averages calls per second.
const meterWindowSeconds = 10

// A Meter counts calls to the platform. Each attempt that is sent counts as one call.
// It is an expvar.Var, which the process publishes under the name "platform". It is
// safe for concurrent use. A nil Meter counts nothing.
type Meter struct {
	clock clock.Clock

	// mu guards the fields below.
	mu       sync.Mutex
	totals   map[string]uint64
	failures uint64
	// seconds contains the calls of the most recent seconds, indexed by the Unix time
	// modulo the window.
	seconds [meterWindowSeconds]secondCount
}

// A secondCount is the number of calls in one second of Unix time.
type secondCount struct {
	second int64
	calls  uint64
}

// NewMeter returns a meter with all counts at zero.
func NewMeter(c clock.Clock) *Meter { return &Meter{clock: c, totals: make(map[string]uint64)} }

// Counts are the values of a Meter.
type Counts struct {
	// TableCalls and ObjectCalls are the numbers of attempts since the start.
	TableCalls  uint64 `json:"table-calls"`
	ObjectCalls uint64 `json:"object-calls"`
	// Failures is the number of attempts without a response or with a status of 500 or
	// higher.
	Failures uint64 `json:"failures"`
	// CallsPerSecond is the mean over the last ten complete seconds.
	CallsPerSecond float64 `json:"calls-per-second"`
}

// Counts returns the current values.
func (m *Meter) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now().Unix()
	var recent uint64
	for _, s := range m.seconds {
		if s.second < now && s.second >= now-meterWindowSeconds {
			recent += s.calls
		}
	}
	return Counts{
		TableCalls:     m.totals[serviceTable],
		ObjectCalls:    m.totals[serviceObjects],
		Failures:       m.failures,
		CallsPerSecond: float64(recent) / meterWindowSeconds,
	}
}

// String returns the counts as JSON, as expvar.Var requires.
func (m *Meter) String() string {
	text, err := json.Marshal(m.Counts())
	if err != nil {
		return "{}"
	}
	return string(text)
}

func (m *Meter) record(service string, failed bool) {
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
	s := &m.seconds[now%meterWindowSeconds]
	if s.second != now {
		*s = secondCount{second: now}
	}
	s.calls++
}

// countingTransport is an HTTP transport that counts each attempt.
type countingTransport struct {
	meter   *Meter
	service string
	next    http.RoundTripper
}

// RoundTrip sends one request and counts it.
func (c countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(r)
	c.meter.record(c.service, err != nil || response.StatusCode >= http.StatusInternalServerError)
	if err != nil {
		return nil, fmt.Errorf("send request to the %s: %w", c.service, err)
	}
	return response, nil
}
