// Command trial-decisions measures the decision packages under load in a small
// queueing model, against baselines, and prints one line per run.
package main

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/trial/decisions"
)

type arguments struct {
	Seed       uint64 `arg:"--seed" default:"1" help:"seed of all random draws"`
	Scenario   string `arg:"--scenario" help:"run only this scenario"`
	Policy     string `arg:"--policy" help:"run only this policy"`
	Deployment string `arg:"--deployment" help:"run only this deployment"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "deployment\tscenario\tpolicy\tgoodput\trecovery\tworst-account\timportant-in-target\timportant-p99\twasted")
	for _, d := range decisions.Deployments() {
		for _, sc := range decisions.Scenarios() {
			for _, policy := range decisions.Policies() {
				if a.wants(d.Name, sc.Name, policy) {
					writeLine(w, decisions.Run(d, sc, policy, a.Seed))
				}
			}
		}
	}
	if err := w.Flush(); err != nil {
		os.Exit(1)
	}
}

func (a arguments) wants(deployment, scenario, policy string) bool {
	return slices.Contains([]string{"", deployment}, a.Deployment) &&
		slices.Contains([]string{"", scenario}, a.Scenario) &&
		slices.Contains([]string{"", policy}, a.Policy)
}

func writeLine(w *tabwriter.Writer, m decisions.Measurement) {
	recovery := m.Recovery.Round(10 * time.Millisecond).String()
	if !m.Recovered {
		recovery = "not in " + recovery
	}
	worst := "none answered"
	if m.Compared {
		worst = fmt.Sprintf("%.2f", m.WorstAccount)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%.1f%%\t%s\t%s\t%.1f%%\t%s\t%.1f%%\n",
		m.Deployment, m.Scenario, m.Policy, 100*m.Goodput, recovery, worst,
		100*m.Important, m.ImportantP99.Round(time.Millisecond), 100*m.Wasted)
}
