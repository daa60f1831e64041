// Command trial-capacity measures the slopes that docs/CAPACITY.md works with and
// prints them as Markdown tables.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/trial/capacity"
)

// arguments are those of the command line.
type arguments struct {
	Parts []string `arg:"positional" help:"parts to measure; all if none is given"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Measures how state, traffic and processor time grow with the size of a deployment."
}

// part is one group of measurements.
type part struct {
	name    string
	measure func(io.Writer) error
}

// parts are all measurements in the order of docs/CAPACITY.md.
func parts() []part {
	return []part{
		{name: "membership", measure: capacity.Membership},
		{name: "directory", measure: capacity.Directory},
		{name: "transport", measure: capacity.Transport},
		{name: "configuration", measure: capacity.Configuration},
		{name: "rates", measure: capacity.Grants},
		{name: "shards", measure: capacity.Shards},
		{name: "decisions", measure: capacity.Decisions},
		{name: "idle", measure: capacity.Idle},
	}
}

func main() {
	var a arguments
	arg.MustParse(&a)
	for _, p := range parts() {
		if len(a.Parts) > 0 && !slices.Contains(a.Parts, p.name) {
			continue
		}
		if err := p.measure(os.Stdout); err != nil {
			fmt.Fprintf(os.Stderr, "measure %s: %v\n", p.name, err)
			os.Exit(1)
		}
	}
}
