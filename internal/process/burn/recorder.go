// Package burn measures the burn rate of the service-level objective: how many requests
// of each class and client account are answered within the class's target, and how fast
// the error budget is used up. Package operator serves the report, and the operator's
// tool merges the reports of all hosts.
package burn

import (
	"sort"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

const (
	// ShortWindow is the window for detecting a fast burn.
	ShortWindow = 5 * time.Minute
	// LongWindow is the window for detecting a slow burn.
	LongWindow = time.Hour

	bucketLength  = time.Minute
	windowMinutes = int(LongWindow / bucketLength)
	// maxSeries limits the pairs of class and client account that are counted separately.
	maxSeries = 4096
	// otherAccounts is the account name of the series that count the pairs beyond maxSeries.
	otherAccounts = "other-accounts"
)

// The kinds of results other than refusals, which are counted by reason.
const (
	inTime = "in-time"
	late   = "late"
)

type seriesKey struct{ class, account string }

// A series counts the results of one class and client account by kind and minute.
type series struct {
	target time.Duration
	counts map[string]*minuteCounter
}

// A minuteCounter counts per minute over the long window in a circular buffer.
type minuteCounter struct {
	counts [windowMinutes]uint32
	// minute is the newest minute in counts, in minutes since the Unix epoch.
	minute int64
}

// add increments the count of a minute and clears expired minutes.
func (c *minuteCounter) add(minute int64) {
	c.advance(minute)
	c.counts[minute%int64(windowMinutes)]++
}

func (c *minuteCounter) advance(minute int64) {
	for m := max(c.minute+1, minute-int64(windowMinutes)+1); m <= minute; m++ {
		c.counts[m%int64(windowMinutes)] = 0
	}
	c.minute = max(c.minute, minute)
}

// sum returns the total of the given number of minutes up to now.
func (c *minuteCounter) sum(now int64, minutes int) uint64 {
	var total uint64
	for m := now; m > now-int64(minutes); m-- {
		if m <= c.minute && m > c.minute-int64(windowMinutes) {
			total += uint64(c.counts[m%int64(windowMinutes)])
		}
	}
	return total
}

// A Recorder counts the results of one node. It is safe for concurrent use.
type Recorder struct {
	host  string
	clock clock.Clock

	// mu guards series.
	mu     sync.Mutex
	series map[seriesKey]*series
}

// NewRecorder returns a Recorder without counts.
func NewRecorder(host string, c clock.Clock) *Recorder {
	return &Recorder{host: host, clock: c, series: map[seriesKey]*series{}}
}

// Record counts the result of a request. It ignores nested calls of backend servers,
// which are part of a counted request, and requests without a class.
func (r *Recorder) Record(c call.Context, target, elapsed time.Duration, a exchange.Answer) {
	if c.Depth > 0 || c.Class == "" {
		return
	}
	kind := inTime
	switch {
	case a.Refusal != nil:
		kind = string(a.Refusal.Reason)
	case elapsed > target:
		kind = late
	}
	minute := r.minute()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.getOrCreate(seriesKey{class: c.Class, account: c.Account}, target)
	counter := s.counts[kind]
	if counter == nil {
		counter = &minuteCounter{minute: minute}
		s.counts[kind] = counter
	}
	counter.add(minute)
}

// Report returns the counts of both windows, sorted by class and account.
func (r *Recorder) Report() Report {
	minute := r.minute()
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Hosts: []string{r.host}}
	for k, s := range r.series {
		line := Line{Class: k.class, Account: k.account, Target: s.target}
		line.Short = s.window(minute, int(ShortWindow/bucketLength))
		line.Long = s.window(minute, windowMinutes)
		report.Lines = append(report.Lines, line)
	}
	sort.Slice(report.Lines, func(i, j int) bool { return report.Lines[i].less(report.Lines[j]) })
	return report
}

func (r *Recorder) minute() int64 { return r.clock.Now().Unix() / int64(bucketLength/time.Second) }

// getOrCreate returns the series of a class and account, or that of otherAccounts beyond
// maxSeries. It requires r.mu.
func (r *Recorder) getOrCreate(k seriesKey, target time.Duration) *series {
	s := r.series[k]
	if s == nil && len(r.series) >= maxSeries {
		k.account = otherAccounts
		s = r.series[k]
	}
	if s == nil {
		s = &series{counts: map[string]*minuteCounter{}}
		r.series[k] = s
	}
	s.target = target
	return s
}

func (s *series) window(minute int64, minutes int) Window {
	w := Window{Refused: map[string]uint64{}}
	for kind, counter := range s.counts {
		n := counter.sum(minute, minutes)
		switch {
		case n == 0:
		case kind == inTime:
			w.InTime = n
		case kind == late:
			w.Late = n
		default:
			w.Refused[kind] = n
		}
	}
	return w
}
