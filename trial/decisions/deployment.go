// Package decisions measures the decision packages in a small discrete-event queueing
// model: clients, entry nodes, three chained services with slots, and one of several
// policies at each host. It does not model a real cluster: messages are neither lost
// nor reordered, and hosts don't fail.
package decisions

import "time"

// A Class is a class of root requests.
type Class struct {
	Name       string
	Importance int
	Target     time.Duration
	// Share is the fraction of all root requests, from 0 to 1.
	Share float64
	// Path is the chain of called services, outermost first.
	Path []string
}

// A Service is a service with its backend servers.
type Service struct {
	Name string
	// Slots is the number of slots of each backend server.
	Slots []int
	// SelfTime is the mean time in a backend server, excluding nested calls.
	SelfTime time.Duration
}

// A Deployment is the modelled services, classes and client accounts of a trial.
type Deployment struct {
	Name     string
	Services []Service
	Classes  []Class
	// Accounts is the fraction of the load of each client account.
	Accounts []float64
	// ClientDelay and ZoneDelay are one-way network delays.
	ClientDelay, ZoneDelay time.Duration
}

// accountSizes is the fraction of the load of eight client accounts, a few of them large.
var accountSizes = []float64{0.30, 0.25, 0.15, 0.10, 0.08, 0.06, 0.04, 0.02}

// Deployments returns the two deployments that trials run on. The last service
// of each is the bottleneck.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "kastenfarbe",
			Services: []Service{
				{Name: "planning", Slots: []int{150, 120, 100, 60}, SelfTime: 10 * time.Millisecond},
				{Name: "stock", Slots: []int{150, 80, 60, 40}, SelfTime: 10 * time.Millisecond},
				{Name: "billing", Slots: []int{60, 40, 20}, SelfTime: 40 * time.Millisecond},
			},
			Classes: []Class{
				{"completion", 5, 600 * time.Millisecond, 0.2, []string{"planning", "stock", "billing"}},
				{"route-sheet", 3, 800 * time.Millisecond, 0.4, []string{"planning", "stock", "billing"}},
				{"colour-lookup", 1, time.Second, 0.4, []string{"planning", "billing"}},
			},
			Accounts:    accountSizes,
			ClientDelay: time.Millisecond / 2,
			ZoneDelay:   time.Millisecond / 4,
		},
		{
			Name: "kjaersgaard",
			Services: []Service{
				{Name: "catalogue", Slots: []int{160, 140, 120}, SelfTime: 10 * time.Millisecond},
				{Name: "orders", Slots: []int{120, 100, 90}, SelfTime: 10 * time.Millisecond},
				{Name: "stock", Slots: []int{50, 40, 40}, SelfTime: 40 * time.Millisecond},
			},
			Classes: []Class{
				{"order", 5, 800 * time.Millisecond, 0.2, []string{"catalogue", "orders", "stock"}},
				{"packing", 3, 800 * time.Millisecond, 0.3, []string{"orders", "stock"}},
				{"lookup", 1, 600 * time.Millisecond, 0.5, []string{"catalogue", "stock"}},
			},
			Accounts:    accountSizes,
			ClientDelay: 4 * time.Millisecond,
			ZoneDelay:   time.Millisecond / 4,
		},
	}
}

// A Scenario is an overload trigger between two phases of normal load.
type Scenario struct {
	Name string
	// Duration is how long the trigger lasts.
	Duration time.Duration
	// LoadFactor multiplies the total load, LargestAccountFactor that
	// of the largest client account.
	LoadFactor, LargestAccountFactor float64
	// Slowness multiplies the self time of the last service, SlowHost only that of
	// its first backend server.
	Slowness, SlowHost float64
	// AggressiveRetries makes clients retry more often, after a short constant delay
	// instead of an exponential backoff.
	AggressiveRetries bool
}

// Scenarios returns the scenarios of the trials.
func Scenarios() []Scenario {
	calm := Scenario{LoadFactor: 1, LargestAccountFactor: 1, Slowness: 1, SlowHost: 1}
	surge, slow, storm, loud, host := calm, calm, calm, calm, calm
	surge.Name, surge.Duration, surge.LoadFactor = "surge-3x", 30*time.Second, 3
	slow.Name, slow.Duration, slow.Slowness = "deep-slow-10x", 15*time.Second, 10
	storm.Name, storm.Duration, storm.LoadFactor, storm.AggressiveRetries = "retry-storm", 10*time.Second, 2, true
	loud.Name, loud.Duration, loud.LargestAccountFactor = "account-5x", 15*time.Second, 5
	host.Name, host.Duration, host.SlowHost = "slow-host-10x", 15*time.Second, 10
	return []Scenario{surge, slow, storm, loud, host}
}

const (
	// calmLoad is the load outside of the trigger, as a fraction of the bottleneck's capacity.
	calmLoad = 0.7
	// warmUp and coolDown are the phases of normal load before and after the trigger.
	warmUp, coolDown = 5 * time.Second, 12 * time.Second
	// timeoutFactor is the client timeout as a multiple of the latency target of the class.
	timeoutFactor = 2
	// zones is the number of availability zones.
	zones = 3
)

// capacity returns the requests per second that the last service can run.
func (d Deployment) capacity() float64 {
	last := d.Services[len(d.Services)-1]
	return float64(d.slots()) / last.SelfTime.Seconds()
}

// slots returns the total slots of the last service.
func (d Deployment) slots() int {
	total := 0
	for _, n := range d.Services[len(d.Services)-1].Slots {
		total += n
	}
	return total
}
