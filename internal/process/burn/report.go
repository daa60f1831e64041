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

// Objective is the share of requests that should be answered within the target.
const Objective = 0.99

// A Report tells how far targets are met on one host or on several together.
type Report struct {
	// Hosts are the hosts whose counts the report holds.
	Hosts []string `json:"hosts"`
	Lines []Line   `json:"lines"`
}

// A Line is the report on one class and client account.
type Line struct {
	Class   string        `json:"class"`
	Account string        `json:"account,omitempty"`
	Target  time.Duration `json:"target"`
	Short   Window        `json:"short"`
	Long    Window        `json:"long"`
}

func (l Line) before(other Line) bool {
	if l.Class != other.Class {
		return l.Class < other.Class
	}
	return l.Account < other.Account
}

// A Window holds the counts of one length of time.
type Window struct {
	// InTime counts the answers within the target, Late those after it.
	InTime uint64 `json:"in-time"`
	Late   uint64 `json:"late"`
	// Refused counts the refusals by reason.
	Refused map[string]uint64 `json:"refused,omitempty"`
}

// Failures returns the results that count against the objective: late answers
// and refusals that are not the caller's doing.
func (w Window) Failures() uint64 {
	failures := w.Late
	for reason, n := range w.Refused {
		if !refusal.Reason(reason).CausedByCaller() {
			failures += n
		}
	}
	return failures
}

// Achieved returns the share of requests that met the target; 1 without requests.
func (w Window) Achieved() float64 {
	total := w.InTime + w.Failures()
	if total == 0 {
		return 1
	}
	return float64(w.InTime) / float64(total)
}

// BurnRate returns how fast the allowed failures are used up: at 1 they just
// last, at 10 they are used up ten times too fast.
func (w Window) BurnRate() float64 { return (1 - w.Achieved()) / (1 - Objective) }

func (w Window) plus(other Window) Window {
	sum := Window{InTime: w.InTime + other.InTime, Late: w.Late + other.Late, Refused: map[string]uint64{}}
	for _, refused := range []map[string]uint64{w.Refused, other.Refused} {
		for reason, n := range refused {
			sum.Refused[reason] += n
		}
	}
	return sum
}

// WithReport returns the report with another one added to it.
func (r Report) WithReport(other Report) Report {
	sum := Report{Hosts: append(slices.Clone(r.Hosts), other.Hosts...), Lines: slices.Clone(r.Lines)}
	for _, l := range other.Lines {
		at := slices.IndexFunc(sum.Lines, func(s Line) bool { return s.Class == l.Class && s.Account == l.Account })
		if at < 0 {
			sum.Lines = append(sum.Lines, l)
			continue
		}
		sum.Lines[at].Short = sum.Lines[at].Short.plus(l.Short)
		sum.Lines[at].Long = sum.Lines[at].Long.plus(l.Long)
	}
	slices.SortFunc(sum.Lines, func(a, b Line) int {
		return strings.Compare(a.Class+"\x00"+a.Account, b.Class+"\x00"+b.Account)
	})
	return sum
}

// WriteText writes the report as a table for reading.
func (r Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "Targets met over the last %s and the last hour, on %d hosts. Objective: %.0f in 100.\n",
		Short, len(r.Hosts), Objective*100)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLASS\tACCOUNT\tTARGET\tIN TIME 5M\tBURN 5M\tIN TIME 1H\tBURN 1H\tREFUSED 1H")
	for _, l := range r.Lines {
		account := l.Account
		if account == "" {
			account = "(open to all)"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.2f%%\t%.1f\t%.2f%%\t%.1f\t%s\n", l.Class, account, l.Target,
			100*l.Short.Achieved(), l.Short.BurnRate(), 100*l.Long.Achieved(), l.Long.BurnRate(), l.Long.refusals())
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write burn report: %w", err)
	}
	return nil
}

// refusals lists the refusals by reason in a fixed order.
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
