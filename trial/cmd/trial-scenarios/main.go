// Command trial-scenarios runs the scenarios on real processes and prints the
// table of docs/MEASUREMENTS.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/trial/scenario"
)

type arguments struct {
	User    []string      `arg:"--user,separate" help:"kastenfarbe, kjaersgaard; default both"`
	Only    []string      `arg:"--only,separate" help:"names of scenarios; default all"`
	Mode    []string      `arg:"--mode,separate" help:"system, direct; default both"`
	Seed    uint64        `arg:"--seed" default:"20261204"`
	Trigger time.Duration `arg:"--trigger" default:"30s" help:"length of the trigger"`
	Details bool          `arg:"--details" help:"print refusals by reason and violations"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	programs, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find programs: %w", err)
	}
	fmt.Println("| user | scenario | mode | calm/s | during/s | after/s | recovery | worst/best account | important in time | wrongful | wasted | violations |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	broken := 0
	for _, u := range []scenario.Workload{scenario.Kastenfarbe(), scenario.Kjaersgaard()} {
		for _, s := range scenario.Scenarios() {
			for _, m := range []scenario.Mode{scenario.System, scenario.Direct} {
				if !wanted(a.User, u.Name) || !wanted(a.Only, s.Name) || !wanted(a.Mode, string(m)) {
					continue
				}
				row, err := one(filepath.Dir(programs), a, u, s, m)
				if err != nil {
					return fmt.Errorf("%s %s %s: %w", u.Name, s.Name, m, err)
				}
				broken += len(row.Violations)
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d requests were lost, ran twice or were refused untruly", broken)
	}
	return nil
}

func one(programs string, a arguments, u scenario.Workload, s scenario.Scenario, m scenario.Mode) (scenario.Result, error) {
	directory, err := os.MkdirTemp("", "bilberryvane-scenario-")
	if err != nil {
		return scenario.Result{}, fmt.Errorf("make directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	row, err := scenario.Run(programs, directory, u, s, m, a.Seed, a.Trigger)
	if err != nil {
		return scenario.Result{}, err
	}
	printRow(row, a.Details)
	return row, nil
}

func printRow(r scenario.Result, details bool) {
	recovery := r.RecoveryTime.String()
	if !r.Recovered {
		recovery = "not reached"
	}
	const percent = 100
	fmt.Printf("| %s | %s | %s | %.0f | %.0f | %.0f | %s | %.1f%% / %.1f%% | %.1f%% | %.2f%% | %.1f%% | %d |\n",
		r.Workload, r.Scenario, r.Mode, r.CalmGoodput, r.TriggerGoodput, r.AfterGoodput, recovery, percent*r.WorstShare, percent*r.BestShare,
		percent*r.ImportantShare, percent*r.WrongfulShare, percent*r.WastedShare, len(r.Violations))
	if !details {
		return
	}
	fmt.Println("  refusals:", r.Reasons)
	for i, v := range r.Violations {
		if i < 10 {
			fmt.Println("  violation:", v)
		}
	}
}

func wanted(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
