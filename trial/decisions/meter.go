package decisions

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A logicalRequest is a request of a client, including all its attempts.
type logicalRequest struct {
	account  int
	class    Class
	issued   time.Time
	deadline time.Time
	done     bool
	latency  time.Duration
	// bottleneck is the slot time at the last service of the successful attempt.
	bottleneck time.Duration
}

// A recorder records the requests of a run and the slot time they used.
type recorder struct {
	sim      *simulation
	logicals []*logicalRequest
	useful   time.Duration
	lost     time.Duration
}

func newMeter(s *simulation) *recorder { return &recorder{sim: s} }

func (m *recorder) issued(account int, class Class) *logicalRequest {
	l := &logicalRequest{
		account: account, class: class, issued: m.sim.now,
		deadline: m.sim.now.Add(timeoutFactor * class.Target),
	}
	m.logicals = append(m.logicals, l)
	return l
}

func (m *recorder) succeeded(l *logicalRequest, r *request) {
	l.done = true
	l.latency = m.sim.now.Sub(l.issued)
	l.bottleneck = r.bottleneck
	m.useful += r.work
}

func (m *recorder) wasted(r *request) { m.lost += r.work }

// A Measurement is the result of one run.
type Measurement struct {
	Deployment, Scenario, Policy string
	// Goodput is the slot time of the bottleneck for requests issued during the trigger
	// and answered before their deadline, divided by the smaller of the available
	// and the offered slot time.
	Goodput float64
	// Recovery is the time from the end of the trigger until at least 95% of the
	// requests issued in each half second are answered before their deadline.
	Recovery time.Duration
	// Recovered is false if there was no recovery before the end of the run.
	Recovered bool
	// WorstAccount is the smallest ratio of the answers of an account to its max-min
	// fair share of all answers of the same importance, during the trigger. It is
	// valid only if Compared is set: if enough requests of some class were answered.
	WorstAccount float64
	Compared     bool
	// Important is the fraction of requests of the highest importance that were
	// answered within their target during the trigger, and ImportantP99 the 99th
	// percentile of the latency of those answered.
	Important    float64
	ImportantP99 time.Duration
	// Wasted is the fraction of all slot time used by failed attempts.
	Wasted float64
}

func (m *recorder) measure() Measurement {
	s := m.sim
	from, until := epoch.Add(warmUp), epoch.Add(warmUp+s.scenario.Duration)
	during := m.between(from, until)
	result := Measurement{
		Deployment: s.deployment.Name, Scenario: s.scenario.Name, Policy: s.policy.Name(),
		Goodput: m.goodput(during, s.scenario.Duration),
		Wasted:  m.lost.Seconds() / (m.lost + m.useful).Seconds(),
	}
	result.WorstAccount, result.Compared = m.worstAccount(during)
	result.Important, result.ImportantP99 = important(during)
	result.Recovery, result.Recovered = m.recovery(until)
	return result
}

func (m *recorder) between(from, until time.Time) []*logicalRequest {
	var all []*logicalRequest
	for _, l := range m.logicals {
		if !l.issued.Before(from) && l.issued.Before(until) {
			all = append(all, l)
		}
	}
	return all
}

func (m *recorder) goodput(during []*logicalRequest, length time.Duration) float64 {
	s := m.sim
	services := s.deployment.Services
	own := services[len(services)-1].SelfTime.Seconds() * s.scenario.Slowness
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

// worstAccount returns the smallest ratio of answers to max-min fair share over all
// accounts and importances, and whether any class was compared.
func (m *recorder) worstAccount(during []*logicalRequest) (float64, bool) {
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
		// A class with nearly all requests shed was served only before and after
		// the overload, so its answers don't reflect sharing.
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

// leastAnswered is the minimum fraction of answered requests for a class to be compared.
const leastAnswered = 0.2

// maxMin returns the max-min fair shares of a total, none above its demand.
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

func important(during []*logicalRequest) (float64, time.Duration) {
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

// recovery returns the end of the last half second after the trigger with too few
// answers, relative to the end of the trigger, and whether the run recovered.
func (m *recorder) recovery(end time.Time) (time.Duration, bool) {
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

// Run measures the named policy in one scenario.
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
