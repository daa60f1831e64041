// Package burn keeps the service-level burn: how many requests of each class and
// client account were answered within the class's target, and how fast the
// allowed share of failures is being used up. Package operator serves the
// report; the operators' tool adds up the reports of all hosts.
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
	// Short is the window in which a fast burn shows.
	Short = 5 * time.Minute
	// Long is the window in which a slow burn shows.
	Long = time.Hour

	bucketLength = time.Minute
	buckets      = int(Long / bucketLength)
	// maxSeries bounds the pairs of class and client account that are told apart.
	maxSeries = 4096
	// otherAccounts stands for the client accounts beyond that.
	otherAccounts = "other-accounts"
)

// The kinds of result that are counted beside the reasons for refusals.
const (
	inTime = "in-time"
	late   = "late"
)

type seriesKey struct{ class, account string }

// A series counts the results of one class and client account by minute.
type series struct {
	target time.Duration
	counts map[string]*ring
}

// A ring counts by minute over the long window.
type ring struct {
	counts [buckets]uint32
	// minute is the last minute that was counted in.
	minute int64
}

// add counts one in a minute and forgets the minutes that fell out of the window.
func (r *ring) add(minute int64) {
	r.advance(minute)
	r.counts[minute%int64(buckets)]++
}

func (r *ring) advance(minute int64) {
	for m := max(r.minute+1, minute-int64(buckets)+1); m <= minute; m++ {
		r.counts[m%int64(buckets)] = 0
	}
	r.minute = max(r.minute, minute)
}

// sum returns the count of the last minutes.
func (r *ring) sum(now int64, minutes int) uint64 {
	var total uint64
	for m := now; m > now-int64(minutes); m-- {
		if m <= r.minute && m > r.minute-int64(buckets) {
			total += uint64(r.counts[m%int64(buckets)])
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

// Record counts how a request ended. Calls that backend servers make count with
// the request that they belong to.
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
	s := r.find(seriesKey{class: c.Class, account: c.Account}, target)
	counted := s.counts[kind]
	if counted == nil {
		counted = &ring{minute: minute}
		s.counts[kind] = counted
	}
	counted.add(minute)
}

// Report returns the counts of both windows.
func (r *Recorder) Report() Report {
	minute := r.minute()
	r.mu.Lock()
	defer r.mu.Unlock()
	report := Report{Hosts: []string{r.host}}
	for k, s := range r.series {
		line := Line{Class: k.class, Account: k.account, Target: s.target}
		line.Short = s.window(minute, int(Short/bucketLength))
		line.Long = s.window(minute, buckets)
		report.Lines = append(report.Lines, line)
	}
	sort.Slice(report.Lines, func(i, j int) bool { return report.Lines[i].before(report.Lines[j]) })
	return report
}

func (r *Recorder) minute() int64 { return r.clock.Now().Unix() / int64(bucketLength/time.Second) }

// find returns the series of a class and account; mu must be held.
func (r *Recorder) find(k seriesKey, target time.Duration) *series {
	s := r.series[k]
	if s == nil && len(r.series) >= maxSeries {
		k.account = otherAccounts
		s = r.series[k]
	}
	if s == nil {
		s = &series{counts: map[string]*ring{}}
		r.series[k] = s
	}
	s.target = target
	return s
}

func (s *series) window(minute int64, minutes int) Window {
	w := Window{Refused: map[string]uint64{}}
	for kind, counted := range s.counts {
		n := counted.sum(minute, minutes)
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
