package scenario

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/trial/fleet"
	"github.com/bilberryvane/bilberryvane/trial/load"
	"github.com/bilberryvane/bilberryvane/trial/measure"
)

const (
	// calmTime comes before the trigger, afterTime after its end.
	calmTime  = 8 * time.Second
	afterTime = 10 * time.Second
	// settle is left out at the start, while connections are made.
	settle = 2 * time.Second
	// callerTimeout is how long callers wait for an answer.
	callerTimeout = 2 * time.Second
	// plainResends is how often callers of the baseline, and callers who must not
	// lose their work, send a request again.
	plainResends = 2
	// stormResends is how often callers send again in a retry storm.
	stormResends = 5
	// recoveredShare is the share of calm goodput that counts as recovered.
	recoveredShare = 0.95
)

// A Mode is what stands between callers and backend servers.
type Mode string

// The modes.
const (
	// System is bilberryvane.
	System Mode = "system"
	// Direct is no control: callers and backend servers call backend servers in
	// turn and send again after failures.
	Direct Mode = "direct"
)

// A Scenario is one trigger with its length.
type Scenario struct {
	Name string
	// SurgeFactor multiplies all demand during the trigger; Loud that of one account.
	SurgeFactor  float64
	NoisyAccount string
	// Resends replaces how often callers send again.
	Resends int
	// Begin and End act on the fleet at the trigger's ends; either may be nil.
	Begin, End func(f *fleet.Fleet, u Workload) error
}

// Scenarios returns all scenarios by name in the order of the table.
func Scenarios() []Scenario {
	slow := func(factor int) func(*fleet.Fleet, Workload) error {
		return func(f *fleet.Fleet, u Workload) error { return f.SetSlowdown(u.DeepestService, factor) }
	}
	const slowFactor, surge, loud = 10, 3, 5
	return []Scenario{
		{Name: "calm", SurgeFactor: 1},
		{Name: "surge-3x", SurgeFactor: surge},
		{Name: "deep-service-10x-slower", SurgeFactor: 1, Begin: slow(slowFactor), End: slow(1)},
		{Name: "retry-storm", SurgeFactor: surge, Resends: stormResends},
		{Name: "one-account-5x", SurgeFactor: loud, NoisyAccount: "account-3"},
		{Name: "host-killed", SurgeFactor: 1, Begin: killFront},
		{Name: "rolling-restart", SurgeFactor: 1, Begin: restartAll},
		{Name: "surge-and-slow", SurgeFactor: surge, Begin: slow(slowFactor), End: slow(1)},
	}
}

func killFront(f *fleet.Fleet, u Workload) error {
	for _, h := range f.Hosts {
		if h.Service == u.DeepestService {
			f.Kill(h)
			return nil
		}
	}
	return fmt.Errorf("no host runs %s", u.DeepestService)
}

func restartAll(f *fleet.Fleet, _ Workload) error {
	for _, h := range f.Hosts {
		if err := f.Restart(h); err != nil {
			return err
		}
	}
	return nil
}

// A Row is the measured result of one scenario.
type Row struct {
	User, Scenario string
	Mode           Mode
	Seed           uint64
	// Calm, During and After are goodputs in good answers a second.
	Calm, During, After float64
	// Recovery is the time from the trigger's end until 95% of the calm share of
	// requests is answered in time again.
	Recovery  time.Duration
	Recovered bool
	// Worst and Best are the shares in time of the accounts that kept to their rate.
	Worst, Best float64
	// Important is the share of the important classes in time during the trigger.
	Important float64
	// Wrongful is the share of rate refusals of accounts inside their rate.
	Wrongful float64
	// Wasted is the share of backend runs of the front service without a good answer.
	Wasted     float64
	Violations []string
	Reasons    map[string]int
}

// Run measures one scenario. The trigger lasts for the given time.
func Run(programs, directory string, u Workload, s Scenario, m Mode, seed uint64, trigger time.Duration) (Row, error) {
	f, err := fleet.Start(programs, directory, u.Layout, u.Servers, fleet.WithDirect(m == Direct))
	if err != nil {
		return Row{}, fmt.Errorf("start fleet: %w", err)
	}
	defer f.Stop()
	ctx := context.Background()
	if m == System {
		if err := f.WaitReady(ctx, "POST", u.Flows[1].Path, f.Deployment.AccountKeys[u.Flows[1].Account]); err != nil {
			return Row{}, fmt.Errorf("wait for fleet: %w", err)
		}
	}
	time.Sleep(settle)
	driver := load.New(seed)
	if err := drive(ctx, f, driver, u, s, m, trigger); err != nil {
		return Row{}, err
	}
	return evaluate(f, driver.Results(), u, s, m, seed, trigger)
}

// drive sends the steady demand throughout and the trigger's extra demand on top.
func drive(ctx context.Context, f *fleet.Fleet, d *load.Driver, u Workload, s Scenario, m Mode, trigger time.Duration) error {
	total := calmTime + trigger + afterTime
	var running sync.WaitGroup
	for i, flow := range u.Flows {
		stream := toStream(f, u, flow, m, s.Resends, fmt.Sprintf("%s-%s-%d", flow.Account, flow.Class, i))
		running.Go(func() { d.Run(ctx, stream, total) })
		if s.SurgeFactor <= 1 || (s.NoisyAccount != "" && s.NoisyAccount != flow.Account) {
			continue
		}
		extra := stream
		extra.Name += "-extra"
		extra.Rate *= s.SurgeFactor - 1
		running.Go(func() {
			time.Sleep(calmTime)
			d.Run(ctx, extra, trigger)
		})
	}
	err := act(f, u, s, trigger)
	running.Wait()
	return err
}

func act(f *fleet.Fleet, u Workload, s Scenario, trigger time.Duration) error {
	time.Sleep(calmTime)
	begun := time.Now()
	if s.Begin != nil {
		if err := s.Begin(f, u); err != nil {
			return fmt.Errorf("begin %s: %w", s.Name, err)
		}
	}
	time.Sleep(trigger - time.Since(begun))
	if s.End != nil {
		if err := s.End(f, u); err != nil {
			return fmt.Errorf("end %s: %w", s.Name, err)
		}
	}
	return nil
}

func toStream(f *fleet.Fleet, u Workload, flow Flow, m Mode, resends int, name string) load.Stream {
	s := load.Stream{
		Name: name, Account: flow.Account, Class: flow.Class, Method: "POST", Path: flow.Path,
		Secret: f.Deployment.AccountKeys[flow.Account], Rate: flow.Rate, UseIdempotencyKey: flow.UseIdempotencyKey,
		Timeout: callerTimeout, Target: u.Targets()[flow.Class], Addresses: f.CallerAddresses(""), MaxRetries: resends,
	}
	if m == Direct {
		s.Addresses, s.Path = f.DirectRoute(flow.Path)
		s.MaxRetries = max(plainResends, resends)
	}
	if flow.UseIdempotencyKey {
		s.MaxRetries = max(plainResends, resends)
	}
	return s
}

// evaluate turns the results into a row.
func evaluate(f *fleet.Fleet, results []load.Result, u Workload, s Scenario, m Mode, seed uint64, trigger time.Duration) (Row, error) {
	targets := u.Targets()
	end := calmTime + trigger
	row := Row{User: u.Name, Scenario: s.Name, Mode: m, Seed: seed}
	row.Calm = measure.Goodput(results, targets, settle, calmTime)
	row.During = measure.Goodput(results, targets, calmTime+time.Second, end)
	row.After = measure.Goodput(results, targets, end+afterTime/2, end+afterTime)
	calmShare := measure.GoodShare(results, targets, settle, calmTime)
	row.Recovery, row.Recovered = measure.RecoveryTime(results, targets, end, end+afterTime, recoveredShare*calmShare)
	row.Reasons = measure.CountReasons(results)
	rates(&row, results, u, s)
	triggered := measure.SentBetween(results, calmTime, end)
	row.Important = measure.ClassGoodShare(triggered, targets, u.ImportantClasses)
	runs, err := f.Runs()
	if err != nil {
		return Row{}, fmt.Errorf("read what ran: %w", err)
	}
	row.Wasted = measure.WastedShare(results, runs, targets)
	if m == System {
		row.Violations = violations(results, runs, u)
	}
	return row, nil
}

// rates fills in how the accounts fared that kept to their rate.
func rates(row *Row, results []load.Result, u Workload, s Scenario) {
	inside := map[string]bool{}
	for _, a := range u.Layout.Accounts {
		inside[a.Name] = s.SurgeFactor <= 1 || (s.NoisyAccount != "" && s.NoisyAccount != a.Name)
	}
	row.Worst, row.Best = 1, 0
	wrongful, sent := 0, 0
	for _, a := range measure.AccountResults(results, u.Targets(), inside) {
		if s.NoisyAccount == a.Name {
			continue
		}
		row.Worst = min(row.Worst, a.Share())
		row.Best = max(row.Best, a.Share())
		if inside[a.Name] {
			wrongful += a.WrongfulRefusals
			sent += a.Sent
		}
	}
	row.Wrongful = float64(wrongful) / float64(max(1, sent))
}

// violations checks the flows of each service against what its servers ran.
func violations(results []load.Result, runs []fleet.Run, u Workload) []string {
	once := map[string]bool{}
	service := map[string]string{}
	for _, flow := range u.Flows {
		once[flow.Class] = flow.UseIdempotencyKey
		service[flow.Class] = fleet.ServiceOf(flow.Path)
	}
	byService := map[string][]load.Result{}
	var onceStreams []string
	for _, r := range results {
		byService[service[r.Class]] = append(byService[service[r.Class]], r)
		if once[r.Class] {
			onceStreams = append(onceStreams, r.Stream)
		}
	}
	var found []string
	for name, own := range byService {
		found = append(found, measure.Violations(own, runs, name, unique(onceStreams))...)
	}
	return found
}

func unique(names []string) []string {
	seen := map[string]bool{}
	var kept []string
	for _, n := range names {
		if !seen[n] {
			seen[n] = true
			kept = append(kept, n)
		}
	}
	return kept
}
