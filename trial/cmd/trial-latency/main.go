// Command trial-latency measures what the system adds to the latency of a call,
// against direct calls in the same run, at rising rates below saturation.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/trial/fleet"
	"github.com/bilberryvane/bilberryvane/trial/scenario"
)

type arguments struct {
	Rates  []float64     `arg:"--rate" help:"calls a second, straight and through the system each; default 100 300 600"`
	Length time.Duration `arg:"--length" default:"10s" help:"length of each measurement"`
	Seed   uint64        `arg:"--seed" default:"20261204"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if len(a.Rates) == 0 {
		a.Rates = []float64{100, 300, 600}
	}
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
	directory, err := os.MkdirTemp("", "bilberryvane-latency-")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	u := scenario.LatencyWorkload()
	f, err := fleet.Start(filepath.Dir(programs), directory, u.Layout, u.Servers)
	if err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	defer f.Stop()
	ctx := context.Background()
	secret := f.Deployment.AccountKeys["account-1"]
	if err := f.WaitReady(ctx, "GET", "/stock/colours", secret); err != nil {
		return fmt.Errorf("wait for fleet: %w", err)
	}
	for _, rate := range a.Rates {
		s := scenario.LatencyParams{Service: "stock", Class: "lookup", Path: "/colours", Secret: secret, Rate: rate, Duration: a.Length}
		fmt.Printf("%4.0f/s: %s\n", rate, scenario.MeasureLatency(ctx, f, s, a.Seed))
	}
	return nil
}
