// Command trial-rate measures, on a fake network with fixed seeds, how many
// requests the client account rate refuses although they were within it, and how
// many messages a holder hears. It prints a table.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/rate"
)

type arguments struct {
	Seed     int64         `arg:"--seed" default:"20261204" help:"seed of all random choices"`
	Duration time.Duration `arg:"--duration" default:"30s" help:"simulated time of each scenario"`
	Variant  string        `arg:"--variant" help:"measure only this variant"`
	FanIn    bool          `arg:"--fan-in" help:"measure the messages at the holder instead"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	if a.FanIn {
		printFanIn(w, a)
	} else {
		printRefusals(w, a)
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func printRefusals(w *tabwriter.Writer, a arguments) {
	fmt.Fprintln(w, "scenario\tvariant\trequests\twrongful\tshare %\tlongest ms\twait p99 ms\tloud used %\t")
	for _, s := range scenarios {
		for _, v := range variants {
			if a.Variant != "" && a.Variant != v.name {
				continue
			}
			r := newTrial(rand.New(rand.NewSource(a.Seed)), v).run(s, a.Duration)
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%d\t%.1f\t%.1f\t\n", s.name, v.name, r.requests, r.wrongful,
				100*float64(r.wrongful)/float64(max(1, r.requests)), r.longest.Milliseconds(),
				float64(r.wait.Microseconds())/1000, 100*r.loudUsed)
		}
	}
}

// fanInSizes are entry nodes and sub-holders of one zone.
var fanInSizes = []struct{ entries, subHolders int }{{30, 0}, {100, 0}, {100, 10}, {400, 20}, {1500, 40}}

// fanInCycle is the cycle and pace of entry nodes and sub-holders when many
// hosts share one account.
const fanInCycle = 400 * time.Millisecond

func printFanIn(w *tabwriter.Writer, a arguments) {
	fmt.Fprintln(w, "entry nodes\tsub-holders\tholder messages/s\tsub-holder messages/s\trequests\twrongful %\tlongest ms\t")
	for _, size := range fanInSizes {
		r := measureFanIn(a.Seed, size.entries, size.subHolders, a.Duration)
		fmt.Fprintf(w, "%d\t%d\t%.1f\t%.1f\t%d\t%.3f\t%d\t\n", size.entries, size.subHolders, r.holderMessages,
			r.subHolderMessages, r.requests, 100*float64(r.wrongful)/float64(max(1, r.requests)), r.longest.Milliseconds())
	}
}

// options returns the settings of ledgers with a cycle and a pace.
func options(cycle, pace time.Duration) []rate.Option {
	return []rate.Option{rate.WithRenewInterval(cycle), rate.WithMinRequestInterval(pace)}
}
