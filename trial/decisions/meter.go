package decisions

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A logical request is what a client wants, whatever number of tries it takes.
type logical struct {
	account  int
	class    Class
	issued   time.Time
	deadline time.Time
	done     bool
	latency  time.Duration
	// bottleneck is the slot time of the successful try at the last service.
	bottleneck time.Duration
}

// A meter gathers what a run did.
type meter struct {
	sim      *simulation
	logicals []*logical
	useful   time.Duration
	lost     time.Duration
}

func newMeter(s *simulation) *meter { return &meter{sim: s} }

func (m *meter) issued(account int, class Class) *logical {
	l := &logical{
		account: account, class: class, issued: m.sim.now,
		deadline: m.sim.now.Add(timeoutFactor * class.Target),
	}
	m.logicals = append(m.logicals, l)
	return l
}

func (m *meter) succeeded(l *logical, r *request) {
	l.done = true
	l.latency = m.sim.now.Sub(l.issued)
	l.bottleneck = r.bottleneck
	m.useful += r.work
}

func (m *meter) wasted(r *request) { m.lost += r.work }

// A Measurement is the outcome of one run.
type Measurement struct {
	Deployment, Scenario, Policy string
	// Goodput is the slot time of the bottleneck used for requests answered in
	// time during the trigger, per slot time there was or was asked for.
	Goodput float64
	// Recovery is the time from the end of the trigger until 95% of the
	// requests issued in each half second are answered in time.
	Recovery time.Duration
	// Recovered is false if that did not happen before the run ended.
	Recovered bool
	// WorstAccount is the least of what an account got of its max-min share of
	// all answers of each importance, during the trigger. It is meaningless
	// unless Compared, which needs a class of which enough was answered.
	WorstAccount float64
	Compared     bool
	// Important is the part of the most important class that was answered
	// within its target during the trigger, and ImportantP99 its latency.
	Important    float64
	ImportantP99 time.Duration
	// Wasted is the part of all slot time that went to failed tries.
	Wasted float64
}

func (m *meter) measure() Measurement {
	s := m.sim
	from, until := epoch.Add(warmUp), epoch.Add(warmUp+s.scenario.Length)
	during := m.between(from, until)
	result := Measurement{
		Deployment: s.deployment.Name, Scenario: s.scenario.Name, Policy: s.policy.Name(),
		Goodput: m.goodput(during, s.scenario.Length),
		Wasted:  m.lost.Seconds() / (m.lost + m.useful).Seconds(),
	}
	result.WorstAccount, result.Compared = m.worstAccount(during)
	result.Important, result.ImportantP99 = important(during)
	result.Recovery, result.Recovered = m.recovery(until)
	return result
}

func (m *meter) between(from, until time.Time) []*logical {
	var all []*logical
	for _, l := range m.logicals {
		if !l.issued.Before(from) && l.issued.Before(until) {
			all = append(all, l)
		}
	}
	return all
}

func (m *meter) goodput(during []*logical, length time.Duration) float64 {
	s := m.sim
	services := s.deployment.Services
	own := services[len(services)-1].Own.Seconds() * s.scenario.Slowness
	slots := 0.0
	for i, n := range services[len(services)-1].Slots {
		if i == 0 {
			slots += float64(n) / s.scenario.SlowHost
			continue
		}
		slots += float64(n)
	}
	available := slots * length.Seconds()
	offered := float64(len(during)) * own
	good := 0.0
	for _, l := range during {
		if l.done {
			good += own
		}
	}
	return good / min(available, offered)
}

// worstAccount compares, by importance, what accounts got with max-min shares.
func (m *meter) worstAccount(during []*logical) (float64, bool) {
	worst, compared := 1.0, false
	for _, class := range m.sim.deployment.Classes {
		demand := make([]float64, len(m.sim.deployment.Accounts))
		got := make([]float64, len(demand))
		total, asked := 0.0, 0.0
		for _, l := range during {
			if l.class.Importance != class.Importance {
				continue
			}
			demand[l.account]++
			asked++
			if l.done {
				got[l.account]++
				total++
			}
		}
		// A class that is nearly all shed was served only before and after
		// the overload, which says nothing about sharing.
		if total < leastAnswered*asked {
			continue
		}
		compared = true
		for i, share := range maxMin(demand, total) {
			worst = min(worst, got[i]/max(1, share))
		}
	}
	return worst, compared
}

// leastAnswered is the part of a class's requests below which it isn't compared.
const leastAnswered = 0.2

// maxMin shares a total so that no demand is exceeded and the least is greatest.
func maxMin(demand []float64, total float64) []float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(demand[a], demand[b]) })
	shares := make([]float64, len(demand))
	for i, account := range order {
		shares[account] = min(demand[account], total/float64(len(order)-i))
		total -= shares[account]
	}
	return shares
}

func important(during []*logical) (float64, time.Duration) {
	latencies := hdrhistogram.New(1, int64(time.Minute), 3)
	asked, inTime, most := 0, 0, 0
	for _, l := range during {
		most = max(most, l.class.Importance)
	}
	for _, l := range during {
		if l.class.Importance != most {
			continue
		}
		asked++
		if l.done {
			_ = latencies.RecordValue(int64(l.latency))
			if l.latency <= l.class.Target {
				inTime++
			}
		}
	}
	return float64(inTime) / float64(max(1, asked)), time.Duration(latencies.ValueAtQuantile(99))
}

// recovery finds the last half second after the trigger with too few answers.
func (m *meter) recovery(end time.Time) (time.Duration, bool) {
	const step = 250 * time.Millisecond
	recovered := time.Duration(0)
	for at := time.Duration(0); at+2*step <= coolDown; at += step {
		all := m.between(end.Add(at), end.Add(at+2*step))
		done := 0
		for _, l := range all {
			if l.done {
				done++
			}
		}
		if float64(done) < 0.95*float64(len(all)) {
			recovered = at + 2*step
		}
	}
	return recovered, recovered+2*step <= coolDown
}

// Run measures one policy by its name in one scenario.
func Run(d Deployment, sc Scenario, name string, seed uint64) Measurement {
	s := newSimulation(d, sc, policies[name], seed)
	s.run()
	return s.meter.measure()
}

// Policies returns the names of all policies, baselines first.
func Policies() []string { return []string{"no-control", "fixed-limit", "bilberryvane"} }

var policies = map[string]policy{
	"no-control":   uncontrolled{},
	"fixed-limit":  fixed{},
	"bilberryvane": decided{},
}
