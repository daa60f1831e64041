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
	// calmDuration is the time before the trigger, afterDuration that after its end.
	calmDuration  = 8 * time.Second
	afterDuration = 10 * time.Second
	// warmup is the time at the start that is not measured, because connections are
	// still being opened.
	warmup = 2 * time.Second
	// callerTimeout is the timeout of callers for each attempt.
	callerTimeout = 2 * time.Second
	// defaultRetries is the number of retries by callers of the baseline, and by callers
	// that use an Idempotency-Key because they must not lose work.
	defaultRetries = 2
	// stormRetries is the number of retries by callers in a retry storm.
	stormRetries = 5
	// recoveredFraction is the fraction of the good share before the trigger that counts
	// as recovered.
	recoveredFraction = 0.95
)

// A Mode selects what is between callers and backend servers.
type Mode string

// The modes.
const (
	// System means that all calls go through bilberryvane.
	System Mode = "system"
	// Direct means no overload control: callers and backend servers call backend
	// servers round robin and retry after failures.
	Direct Mode = "direct"
)

// A Scenario is a trigger: a change of the load, a fault, or both.
type Scenario struct {
	Name string
	// SurgeFactor multiplies the load during the trigger: that of NoisyAccount if it is
	// set, otherwise that of all accounts.
	SurgeFactor  float64
	NoisyAccount string
	// MaxRetries is the number of retries by callers that have no higher default.
	MaxRetries int
	// Begin and End inject and remove a fault at the start and the end of the trigger.
	// Either may be nil.
	Begin, End func(f *fleet.Fleet, w Workload) error
}

// Scenarios returns all scenarios in the order in which they are reported.
func Scenarios() []Scenario {
	slow := func(factor int) func(*fleet.Fleet, Workload) error {
		return func(f *fleet.Fleet, w Workload) error { return f.SetSlowdown(w.DeepestService, factor) }
	}
	const slowFactor, surge, noisy = 10, 3, 5
	return []Scenario{
		{Name: "calm", SurgeFactor: 1},
		{Name: "surge-3x", SurgeFactor: surge},
		{Name: "deep-service-10x-slower", SurgeFactor: 1, Begin: slow(slowFactor), End: slow(1)},
		{Name: "retry-storm", SurgeFactor: surge, MaxRetries: stormRetries},
		{Name: "one-account-5x", SurgeFactor: noisy, NoisyAccount: "account-3"},
		{Name: "host-killed", SurgeFactor: 1, Begin: killDeepestHost},
		{Name: "rolling-restart", SurgeFactor: 1, Begin: restartAll},
		{Name: "surge-and-slow", SurgeFactor: surge, Begin: slow(slowFactor), End: slow(1)},
	}
}

func killDeepestHost(f *fleet.Fleet, w Workload) error {
	for _, h := range f.Hosts {
		if h.Service == w.DeepestService {
			f.Kill(h)
			return nil
		}
	}
	return fmt.Errorf("no host of service %s", w.DeepestService)
}

func restartAll(f *fleet.Fleet, _ Workload) error {
	for _, h := range f.Hosts {
		if err := f.Restart(h); err != nil {
			return err
		}
	}
	return nil
}

// A Result is the measured result of one scenario.
type Result struct {
	Workload, Scenario string
	Mode               Mode
	Seed               uint64
	// CalmGoodput, TriggerGoodput and AfterGoodput are in good responses per second:
	// before, during and after the trigger.
	CalmGoodput, TriggerGoodput, AfterGoodput float64
	// RecoveryTime is the time from the trigger's end until the good share is back at 95%
	// of that before the trigger.
	RecoveryTime time.Duration
	Recovered    bool
	// WorstShare and BestShare are the lowest and highest good share of the accounts
	// other than the noisy one.
	WorstShare, BestShare float64
	// ImportantShare is the good share of the important classes during the trigger.
	ImportantShare float64
	// WrongfulShare is the fraction of requests of accounts within their rate limit that
	// were refused because of the rate.
	WrongfulShare float64
	// WastedShare is the fraction of executions, over all services of the chain, that belong
	// to requests without a good response.
	WastedShare float64
	Violations  []string
	Reasons     map[string]int
}

// Run measures one scenario. The parameter trigger is the trigger's duration.
func Run(programs, directory string, w Workload, s Scenario, m Mode, seed uint64, trigger time.Duration) (Result, error) {
	f, err := fleet.Start(programs, directory, w.Layout, w.Servers, fleet.WithDirect(m == Direct))
	if err != nil {
		return Result{}, fmt.Errorf("start fleet: %w", err)
	}
	defer f.Stop()
	ctx := context.Background()
	if m == System {
		if err := f.WaitReady(ctx, "POST", w.Flows[1].Path, f.Deployment.AccountKeys[w.Flows[1].Account]); err != nil {
			return Result{}, fmt.Errorf("wait for fleet: %w", err)
		}
	}
	time.Sleep(warmup)
	driver := load.New(seed)
	if err := generateLoad(ctx, f, driver, w, s, m, trigger); err != nil {
		return Result{}, err
	}
	return evaluate(f, driver.Results(), w, s, m, seed, trigger)
}

// generateLoad sends the steady load throughout and the additional load during the
// trigger.
func generateLoad(ctx context.Context, f *fleet.Fleet, d *load.Driver, w Workload, s Scenario, m Mode, trigger time.Duration) error {
	total := calmDuration + trigger + afterDuration
	var running sync.WaitGroup
	for i, flow := range w.Flows {
		stream := newStream(f, w, flow, m, s.MaxRetries, fmt.Sprintf("%s-%s-%d", flow.Account, flow.Class, i))
		running.Go(func() { d.Run(ctx, stream, total) })
		if s.SurgeFactor <= 1 || (s.NoisyAccount != "" && s.NoisyAccount != flow.Account) {
			continue
		}
		extra := stream
		extra.Name += "-extra"
		extra.Rate *= s.SurgeFactor - 1
		running.Go(func() {
			time.Sleep(calmDuration)
			d.Run(ctx, extra, trigger)
		})
	}
	err := runTrigger(f, w, s, trigger)
	running.Wait()
	return err
}

func runTrigger(f *fleet.Fleet, w Workload, s Scenario, trigger time.Duration) error {
	time.Sleep(calmDuration)
	begun := time.Now()
	if s.Begin != nil {
		if err := s.Begin(f, w); err != nil {
			return fmt.Errorf("begin %s: %w", s.Name, err)
		}
	}
	time.Sleep(trigger - time.Since(begun))
	if s.End != nil {
		if err := s.End(f, w); err != nil {
			return fmt.Errorf("end %s: %w", s.Name, err)
		}
	}
	return nil
}

func newStream(f *fleet.Fleet, w Workload, flow Flow, m Mode, maxRetries int, name string) load.Stream {
	s := load.Stream{
		Name: name, Account: flow.Account, Class: flow.Class, Method: "POST", Path: flow.Path,
		Secret: f.Deployment.AccountKeys[flow.Account], Rate: flow.Rate, UseIdempotencyKey: flow.UseIdempotencyKey,
		Timeout: callerTimeout, Target: w.Targets()[flow.Class], Addresses: f.CallerAddresses(""), MaxRetries: maxRetries,
	}
	if m == Direct {
		s.Addresses, s.Path = f.DirectRoute(flow.Path)
		s.MaxRetries = max(defaultRetries, maxRetries)
	}
	if flow.UseIdempotencyKey {
		s.MaxRetries = max(defaultRetries, maxRetries)
	}
	return s
}

// evaluate computes the metrics of a scenario.
func evaluate(f *fleet.Fleet, results []load.Result, w Workload, s Scenario, m Mode, seed uint64, trigger time.Duration) (Result, error) {
	targets := w.Targets()
	end := calmDuration + trigger
	result := Result{Workload: w.Name, Scenario: s.Name, Mode: m, Seed: seed}
	result.CalmGoodput = measure.Goodput(results, targets, warmup, calmDuration)
	result.TriggerGoodput = measure.Goodput(results, targets, calmDuration+time.Second, end)
	result.AfterGoodput = measure.Goodput(results, targets, end+afterDuration/2, end+afterDuration)
	calmShare := measure.GoodShare(results, targets, warmup, calmDuration)
	result.RecoveryTime, result.Recovered = measure.RecoveryTime(results, targets, end, end+afterDuration, recoveredFraction*calmShare)
	result.Reasons = measure.CountReasons(results)
	addAccountShares(&result, results, w, s)
	triggered := measure.SentBetween(results, calmDuration, end)
	result.ImportantShare = measure.ClassGoodShare(triggered, targets, w.ImportantClasses)
	runs, err := f.Runs()
	if err != nil {
		return Result{}, fmt.Errorf("read run logs: %w", err)
	}
	result.WastedShare = measure.WastedShare(results, runs, targets)
	if m == System {
		result.Violations = violations(results, runs, w)
	}
	return result, nil
}

// addAccountShares sets the fields that depend on the results by account.
func addAccountShares(result *Result, results []load.Result, w Workload, s Scenario) {
	withinRate := map[string]bool{}
	for _, a := range w.Layout.Accounts {
		withinRate[a.Name] = s.SurgeFactor <= 1 || (s.NoisyAccount != "" && s.NoisyAccount != a.Name)
	}
	result.WorstShare, result.BestShare = 1, 0
	wrongful, sent := 0, 0
	for _, a := range measure.AccountResults(results, w.Targets(), withinRate) {
		if s.NoisyAccount == a.Name {
			continue
		}
		result.WorstShare = min(result.WorstShare, a.GoodShare())
		result.BestShare = max(result.BestShare, a.GoodShare())
		if withinRate[a.Name] {
			wrongful += a.WrongfulRefusals
			sent += a.Sent
		}
	}
	result.WrongfulShare = float64(wrongful) / float64(max(1, sent))
}

// violations checks the responses of each service against the executions of its
// backend servers.
func violations(results []load.Result, runs []fleet.Run, w Workload) []string {
	once := map[string]bool{}
	service := map[string]string{}
	for _, flow := range w.Flows {
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
