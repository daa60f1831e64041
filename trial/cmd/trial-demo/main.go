// Command trial-demo starts a small deployment as processes on loopback, loads
// it, kills a host and stops the platform midway, and prints how it fared. It
// ends with an error if a request was lost or ran twice.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/trial/deployment"
	"github.com/bilberryvane/bilberryvane/trial/fleet"
	"github.com/bilberryvane/bilberryvane/trial/load"
	"github.com/bilberryvane/bilberryvane/trial/measure"
	"github.com/bilberryvane/bilberryvane/trial/scenario"
)

// The course of the demonstration, counted from the start of the load.
const (
	loadTime     = 20 * time.Second
	killAt       = 5 * time.Second
	platformDown = 8 * time.Second
	platformUp   = 14 * time.Second
	// sampleTime is how long latency is measured before the load.
	sampleTime = 3 * time.Second
	// sampleRate is the rate of those requests a second.
	sampleRate = 100.0
)

type arguments struct {
	Seed uint64 `arg:"--seed" default:"20261204" help:"seed of the load's arrival times"`
	Keep bool   `arg:"--keep" help:"keep the directory with the processes' logs"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "demonstration failed:", err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	programs, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find programs: %w", err)
	}
	directory, err := os.MkdirTemp("", "bilberryvane-demo-")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	if a.Keep {
		fmt.Println("logs are in", directory)
	} else {
		defer func() { _ = os.RemoveAll(directory) }()
	}
	f, err := fleet.Start(filepath.Dir(programs), directory, layout(), servers())
	if err != nil {
		return fmt.Errorf("start fleet: %w", err)
	}
	defer f.Stop()
	ctx := context.Background()
	if err := f.WaitReady(ctx, "POST", "/planning/routes", f.Deployment.AccountKeys["depot-nord"]); err != nil {
		return fmt.Errorf("wait for fleet: %w", err)
	}
	fmt.Printf("started %d nodes in %d zones\n", len(f.Hosts), len(f.Deployment.Layout.Zones))
	fmt.Println(scenario.MeasureLatency(ctx, f, sample(f), a.Seed))
	return drive(ctx, f, a.Seed)
}

func sample(f *fleet.Fleet) scenario.LatencyParams {
	return scenario.LatencyParams{
		Service: "stock", Class: "colour-lookup", Path: "/colours",
		Secret: f.Deployment.AccountKeys["depot-nord"], Rate: sampleRate, Duration: sampleTime,
	}
}

func layout() deployment.Layout {
	return deployment.Layout{
		Zones:        []string{"bayern-1", "bayern-2", "bayern-3"},
		HostsPerZone: 2,
		Services: []deployment.Service{
			{Name: "planning", Calls: []string{"stock"}},
			{Name: "stock"},
		},
		Classes: []deployment.Class{
			{Name: "completion", Service: "planning", Method: "POST", PathPrefix: "/completions", Target: 400 * time.Millisecond, Importance: 5},
			{Name: "route-sheet", Service: "planning", Method: "POST", PathPrefix: "/routes", Target: 400 * time.Millisecond, Importance: 4, Idempotent: true},
			{Name: "stock-lookup", Service: "stock", PathPrefix: "/items", Target: 300 * time.Millisecond, Importance: 3, Idempotent: true},
			{Name: "colour-lookup", Service: "stock", PathPrefix: "/colours", Target: 300 * time.Millisecond, Importance: 1, Idempotent: true},
		},
		Accounts: []deployment.Account{
			{Name: "depot-nord", Rate: 400, Burst: 200},
			{Name: "depot-sued", Rate: 200, Burst: 100},
			{Name: "depot-west", Rate: 100, Burst: 50},
			{Name: "depot-laut", Rate: 100, Burst: 50},
		},
	}
}

func servers() map[string]fleet.ServerSpec {
	return map[string]fleet.ServerSpec{
		"planning": {Slots: 20, Connections: 200, ServiceTime: 5 * time.Millisecond, Calls: []string{"/stock/items"}},
		"stock":    {Slots: 20, Connections: 200, ServiceTime: 5 * time.Millisecond},
	}
}

func of(results []load.Result, stream string) []load.Result {
	var found []load.Result
	for _, r := range results {
		if r.Stream == stream {
			found = append(found, r)
		}
	}
	return found
}

func streams(f *fleet.Fleet, lost *fleet.Host) []load.Stream {
	var entries []string
	for _, h := range f.Hosts {
		if h != lost {
			entries = append(entries, h.CallerAddress)
		}
	}
	key := f.Deployment.AccountKeys
	base := load.Stream{Addresses: entries, Method: "POST", Timeout: 3 * time.Second}
	with := func(name, account, class, path string, rate float64, once bool) load.Stream {
		s := base
		s.Name, s.Account, s.Class, s.Path, s.Rate, s.UseIdempotencyKey = name, account, class, path, rate, once
		s.Secret = key[account]
		if once {
			s.MaxRetries = 3
		}
		return s
	}
	return []load.Stream{
		with("completions-nord", "depot-nord", "completion", "/planning/completions", 60, true),
		with("routes-nord", "depot-nord", "route-sheet", "/planning/routes", 150, false),
		with("routes-sued", "depot-sued", "route-sheet", "/planning/routes", 100, false),
		with("completions-west", "depot-west", "completion", "/planning/completions", 30, true),
		with("colours-west", "depot-west", "colour-lookup", "/stock/colours", 40, false),
		with("routes-laut", "depot-laut", "route-sheet", "/planning/routes", 500, false),
	}
}

// drive loads the fleet, breaks it midway and reports.
func drive(ctx context.Context, f *fleet.Fleet, seed uint64) error {
	lost := f.Hosts[len(f.Hosts)-2]
	driver := load.New(seed)
	all := streams(f, lost)
	var running sync.WaitGroup
	for _, s := range all {
		running.Go(func() { driver.Run(ctx, s, loadTime) })
	}
	faults := make(chan error, 1)
	go func() { faults <- breakThings(f, lost) }()
	running.Wait()
	if err := <-faults; err != nil {
		return err
	}
	return report(f, all, driver.Results())
}

func breakThings(f *fleet.Fleet, lost *fleet.Host) error {
	time.Sleep(killAt)
	f.Kill(lost)
	fmt.Printf("at %s host %s was killed\n", killAt, lost.Name)
	time.Sleep(platformDown - killAt)
	if err := f.SetPlatformFaults(`{"down":true}`); err != nil {
		return fmt.Errorf("stop platform: %w", err)
	}
	fmt.Printf("at %s the platform was stopped\n", platformDown)
	time.Sleep(platformUp - platformDown)
	if err := f.SetPlatformFaults(`{"down":false}`); err != nil {
		return fmt.Errorf("start platform: %w", err)
	}
	fmt.Printf("at %s the platform was back\n", platformUp)
	return nil
}

func report(f *fleet.Fleet, all []load.Stream, results []load.Result) error {
	targets := map[string]time.Duration{}
	for _, c := range f.Deployment.Layout.Classes {
		targets[c.Name] = c.Target
	}
	calm := measure.Goodput(results, targets, time.Second, killAt)
	fmt.Printf("goodput: %.0f/s before the faults, %.0f/s in all\n", calm, measure.Goodput(results, targets, time.Second, loadTime))
	recovery, ok := measure.RecoveryTime(results, targets, killAt, platformDown, 0.95*measure.GoodShare(results, targets, time.Second, killAt))
	fmt.Printf("recovery to 95%% after the host was killed: %s (reached: %t)\n", recovery, ok)
	inside := map[string]bool{"depot-nord": true, "depot-sued": true, "depot-west": true}
	wrongful, sent := 0, 0
	for _, a := range measure.AccountResults(results, targets, inside) {
		fmt.Printf("account %-11s sent %5d, in time %5d (%.2f%%), refused %5d, wrongly for its rate %d\n",
			a.Name, a.Sent, a.Good, 100*a.GoodShare(), a.Refused, a.WrongfulRefusals)
		if inside[a.Name] {
			wrongful += a.WrongfulRefusals
			sent += a.Sent
		}
	}
	fmt.Printf("wrongful refusals: %d of %d requests of accounts inside their rate\n", wrongful, sent)
	for reason, n := range measure.CountReasons(results) {
		fmt.Printf("refused %-32s %d\n", reason, n)
	}
	if err := f.BurnReport().WriteText(os.Stdout); err != nil {
		return fmt.Errorf("print burn report: %w", err)
	}
	runs, err := f.Runs()
	if err != nil {
		return fmt.Errorf("read what ran: %w", err)
	}
	var once []string
	for _, s := range all {
		if s.UseIdempotencyKey {
			once = append(once, s.Name)
		}
	}
	found := append(measure.Violations(of(results, "colours-west"), runs, "stock", once),
		measure.Violations(notOf(results, "colours-west"), runs, "planning", once)...)
	for i, v := range found {
		if i < 20 {
			fmt.Println("violation:", v)
		}
	}
	if len(found) > 0 {
		return fmt.Errorf("%d violations", len(found))
	}
	fmt.Println("no request was lost or ran twice")
	return nil
}

func notOf(results []load.Result, stream string) []load.Result {
	var found []load.Result
	for _, r := range results {
		if r.Stream != stream {
			found = append(found, r)
		}
	}
	return found
}
