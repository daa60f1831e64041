package burn

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// Objective is the fraction of requests that should be answered within the target.
const Objective = 0.99

// A Report holds the counts of one host, or the sums of several hosts.
type Report struct {
	// Hosts lists the hosts that are counted.
	Hosts []string `json:"hosts"`
	Lines []Line   `json:"lines"`
}

// A Line holds the counts of one class and client account.
type Line struct {
	Class   string        `json:"class"`
	Account string        `json:"account,omitempty"`
	Target  time.Duration `json:"target"`
	Short   Window        `json:"short"`
	Long    Window        `json:"long"`
}

func (l Line) less(other Line) bool {
	if l.Class != other.Class {
		return l.Class < other.Class
	}
	return l.Account < other.Account
}

// A Window holds the counts over the short or the long window.
type Window struct {
	// InTime counts the responses within the target, Late those after it.
	InTime uint64 `json:"in-time"`
	Late   uint64 `json:"late"`
	// Refused counts the refusals by reason.
	Refused map[string]uint64 `json:"refused,omitempty"`
}

// Failures returns the number of results that count against the objective: late
// responses, and refusals that the caller didn't cause.
func (w Window) Failures() uint64 {
	failures := w.Late
	for reason, n := range w.Refused {
		if !refusal.Reason(reason).CausedByCaller() {
			failures += n
		}
	}
	return failures
}

// SuccessRatio returns the fraction of requests that met the target, or 1 without
// requests. Refusals that the caller caused don't count.
func (w Window) SuccessRatio() float64 {
	total := w.InTime + w.Failures()
	if total == 0 {
		return 1
	}
	return float64(w.InTime) / float64(total)
}

// BurnRate returns the rate at which the error budget is used up: 1 uses exactly the
// budget that the objective allows, 10 ten times as much.
func (w Window) BurnRate() float64 { return (1 - w.SuccessRatio()) / (1 - Objective) }

func (w Window) add(other Window) Window {
	sum := Window{InTime: w.InTime + other.InTime, Late: w.Late + other.Late, Refused: map[string]uint64{}}
	for _, refused := range []map[string]uint64{w.Refused, other.Refused} {
		for reason, n := range refused {
			sum.Refused[reason] += n
		}
	}
	return sum
}

// Merge returns the sum of two reports.
func (r Report) Merge(other Report) Report {
	sum := Report{Hosts: append(slices.Clone(r.Hosts), other.Hosts...), Lines: slices.Clone(r.Lines)}
	for _, l := range other.Lines {
		i := slices.IndexFunc(sum.Lines, func(s Line) bool { return s.Class == l.Class && s.Account == l.Account })
		if i < 0 {
			sum.Lines = append(sum.Lines, l)
			continue
		}
		sum.Lines[i].Short = sum.Lines[i].Short.add(l.Short)
		sum.Lines[i].Long = sum.Lines[i].Long.add(l.Long)
	}
	slices.SortFunc(sum.Lines, func(a, b Line) int {
		return strings.Compare(a.Class+"\x00"+a.Account, b.Class+"\x00"+b.Account)
	})
	return sum
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "Targets met over the last %s and the last hour, on %d hosts. Objective: %.0f in 100.\n",
		ShortWindow, len(r.Hosts), Objective*100)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLASS\tACCOUNT\tTARGET\tIN TIME 5M\tBURN 5M\tIN TIME 1H\tBURN 1H\tREFUSED 1H")
	for _, l := range r.Lines {
		account := l.Account
		if account == "" {
			account = "(open to all)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.2f%%\t%.1f\t%.2f%%\t%.1f\t%s\n", l.Class, account, l.Target,
			100*l.Short.SuccessRatio(), l.Short.BurnRate(), 100*l.Long.SuccessRatio(), l.Long.BurnRate(), l.Long.refusals())
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write burn report: %w", err)
	}
	return nil
}

// refusals formats the refusals, sorted by reason.
func (w Window) refusals() string {
	if len(w.Refused) == 0 {
		return "none"
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(w.Refused)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, w.Refused[reason]))
	}
	return strings.Join(parts, ", ")
}
