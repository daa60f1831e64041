package burn_test

import (
	"bytes"
	"image/png"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/internal/process/burn"
	"github.com/bilberryvane/bilberryvane/internal/process/burn/chart"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

const target = 100 * time.Millisecond

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func record(r *burn.Recorder, class, account string, elapsed time.Duration, reason refusal.Reason) {
	answer := exchange.Answer{Status: 200}
	if reason != "" {
		answer = exchange.Refused(refusal.New(reason))
	}
	r.Record(call.Context{Class: class, Account: account}, target, elapsed, answer)
}

func TestReportCountsFailures(t *testing.T) {
	is := is.New(t)
	r := burn.NewRecorder("host-1", clock.NewFake(start))
	for range 97 {
		record(r, "order", "nord", target, "")
	}
	record(r, "order", "nord", target+1, "")
	record(r, "order", "nord", 0, refusal.Overloaded)
	record(r, "order", "nord", 0, refusal.DeadlinePassed)
	record(r, "order", "nord", 0, refusal.RateExceeded) // caused by the caller
	r.Record(call.Context{Class: "order", Account: "nord", Depth: 1}, target, time.Hour, exchange.Answer{})
	report := r.Report()
	is.Equal(len(report.Lines), 1)
	is.Equal(report.Lines[0].Short.Failures(), uint64(3))
	is.True(report.Lines[0].Short.BurnRate() > 2.99 && report.Lines[0].Short.BurnRate() < 3.01)
	var text bytes.Buffer
	is.NoErr(report.WriteText(&text))
	is.True(strings.Contains(text.String(), "rate-exceeded 1"))
	is.True(strings.Contains(text.String(), "97.00%"))
	var picture bytes.Buffer
	is.NoErr(chart.Write(&picture, report))
	_, err := png.Decode(&picture)
	is.NoErr(err)
}

// Both windows count exactly the results of their own minutes, at any arrival times.
func TestWindowsExpireOldCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewFake(start)
		r := burn.NewRecorder("host-1", c)
		var at []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			c.Advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "seconds")) * time.Second)
			record(r, "order", "nord", 0, "")
			at = append(at, c.Now())
		}
		c.Advance(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Second)
		var short, long uint64
		now := c.Now().Unix() / 60
		for _, a := range at {
			if age := now - a.Unix()/60; age < 60 {
				long++
				if age < 5 {
					short++
				}
			}
		}
		line := r.Report().Lines[0]
		if line.Short.InTime != short || line.Long.InTime != long {
			t.Fatalf("got %d and %d, want %d and %d", line.Short.InTime, line.Long.InTime, short, long)
		}
	})
}

func TestMergeReports(t *testing.T) {
	is := is.New(t)
	a, b := burn.NewRecorder("a", clock.NewFake(start)), burn.NewRecorder("b", clock.NewFake(start))
	record(a, "order", "nord", 0, "")
	record(b, "order", "nord", 0, refusal.Overloaded)
	record(b, "browse", "west", 0, "")
	sum := a.Report().Merge(b.Report())
	is.Equal(sum.Hosts, []string{"a", "b"})
	is.Equal(len(sum.Lines), 2)
	is.Equal(sum.Lines[0].Class, "browse")
	is.Equal(sum.Lines[1].Long.InTime, uint64(1))
	is.Equal(sum.Lines[1].Long.Refused["overloaded"], uint64(1))
}
