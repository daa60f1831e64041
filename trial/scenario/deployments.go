// Package scenario measures the system under load and faults with real processes.
// It runs models of the deployments of the first two users, with the same seeds
// with bilberryvane and as a baseline without it.
package scenario

import (
	"time"

	"github.com/bilberryvane/bilberryvane/trial/deployment"
	"github.com/bilberryvane/bilberryvane/trial/fleet"
)

// A Flow is the steady load of one client account in one class.
type Flow struct {
	Account string
	Class   string
	Path    string
	// Rate is in requests per second.
	Rate float64
	// UseIdempotencyKey makes each request carry an Idempotency-Key.
	UseIdempotencyKey bool
}

// A Workload is the model of a user's deployment: services, classes, accounts and load.
type Workload struct {
	Name    string
	Layout  deployment.Layout
	Servers map[string]fleet.ServerSpec
	Flows   []Flow
	// FrontService is the first service of the call chain.
	FrontService string
	// DeepestService is the last service of the call chain.
	DeepestService string
	// ImportantClasses are the classes that must meet their latency target under overload.
	ImportantClasses []string
}

// Targets returns the latency target of each class.
func (w Workload) Targets() map[string]time.Duration {
	targets := map[string]time.Duration{}
	for _, c := range w.Layout.Classes {
		targets[c.Name] = c.Target
	}
	return targets
}

// Kastenfarbe is a scaled-down model of Kastenfarbe Zentrale Bayern: four services,
// three of them in a call chain, and eight client accounts with different rates.
func Kastenfarbe() Workload {
	const target = 500 * time.Millisecond
	return Workload{
		Name: "kastenfarbe", FrontService: "planning", DeepestService: "stock",
		ImportantClasses: []string{"completion", "route-sheet"},
		Layout: deployment.Layout{
			Zones:        []string{"bayern-1", "bayern-2", "bayern-3"},
			HostsPerZone: 1,
			Services: []deployment.Service{
				{Name: "planning", Calls: []string{"billing"}},
				{Name: "billing", Calls: []string{"stock"}},
				{Name: "stock"},
				{Name: "reporting"},
			},
			Classes: []deployment.Class{
				{Name: "completion", Service: "planning", Method: "POST", PathPrefix: "/completions", Target: target, Importance: 5},
				{Name: "route-sheet", Service: "planning", Method: "POST", PathPrefix: "/routes", Target: target, Importance: 4, Idempotent: true},
				{Name: "route-preview", Service: "planning", Method: "POST", PathPrefix: "/previews", Target: target, Importance: 1, Idempotent: true},
				{Name: "billing-call", Service: "billing", PathPrefix: "/accounts", Target: target, Importance: 3, Idempotent: true},
				{Name: "stock-lookup", Service: "stock", PathPrefix: "/colours", Target: target, Importance: 2, Idempotent: true},
				{Name: "graffiti-report", Service: "reporting", Method: "POST", PathPrefix: "/reports", Target: target, Importance: 3, Idempotent: true},
			},
			Accounts: accounts([]float64{300, 200, 150, 60, 60, 40, 40, 30}),
		},
		Servers: map[string]fleet.ServerSpec{
			"planning":  {Slots: 16, Connections: 200, ServiceTime: 20 * time.Millisecond, Calls: []string{"/billing/accounts"}},
			"billing":   {Slots: 16, Connections: 200, ServiceTime: 20 * time.Millisecond, Calls: []string{"/stock/colours"}},
			"stock":     {Slots: 10, Connections: 200, ServiceTime: 20 * time.Millisecond},
			"reporting": {Slots: 10, Connections: 200, ServiceTime: 20 * time.Millisecond},
		},
		Flows: []Flow{
			{Account: "account-1", Class: "completion", Path: "/planning/completions", Rate: 60, UseIdempotencyKey: true},
			{Account: "account-1", Class: "route-sheet", Path: "/planning/routes", Rate: 60},
			{Account: "account-2", Class: "route-sheet", Path: "/planning/routes", Rate: 80},
			{Account: "account-3", Class: "route-preview", Path: "/planning/previews", Rate: 90},
			{Account: "account-4", Class: "completion", Path: "/planning/completions", Rate: 25, UseIdempotencyKey: true},
			{Account: "account-5", Class: "route-preview", Path: "/planning/previews", Rate: 25},
			{Account: "account-6", Class: "graffiti-report", Path: "/reporting/reports", Rate: 20},
			{Account: "account-7", Class: "route-preview", Path: "/planning/previews", Rate: 20},
			{Account: "account-8", Class: "route-sheet", Path: "/planning/routes", Rate: 15},
		},
	}
}

// Kjaersgaard is a scaled-down model of Kjærsgaard Vuggelinned: four services, three
// of them in a call chain, and eight client accounts with different rates.
func Kjaersgaard() Workload {
	const target = 600 * time.Millisecond
	return Workload{
		Name: "kjaersgaard", FrontService: "catalogue", DeepestService: "packing",
		ImportantClasses: []string{"order"},
		Layout: deployment.Layout{
			Zones:        []string{"herning-1", "herning-2", "herning-3"},
			HostsPerZone: 1,
			Services: []deployment.Service{
				{Name: "catalogue", Calls: []string{"stock"}},
				{Name: "orders", Calls: []string{"stock"}},
				{Name: "stock", Calls: []string{"packing"}},
				{Name: "packing"},
			},
			Classes: []deployment.Class{
				{Name: "order", Service: "orders", Method: "POST", PathPrefix: "/orders", Target: target, Importance: 5},
				{Name: "browse", Service: "catalogue", Method: "POST", PathPrefix: "/bundles", Target: target, Importance: 2, Idempotent: true},
				{Name: "stock-check", Service: "stock", PathPrefix: "/fabric", Target: target, Importance: 3, Idempotent: true},
				{Name: "next-fold", Service: "packing", PathPrefix: "/folds", Target: target, Importance: 4, Idempotent: true},
			},
			Accounts: accounts([]float64{350, 250, 100, 60, 60, 40, 40, 30}),
		},
		Servers: map[string]fleet.ServerSpec{
			"catalogue": {Slots: 14, Connections: 300, ServiceTime: 20 * time.Millisecond, Calls: []string{"/stock/fabric"}},
			"orders":    {Slots: 14, Connections: 300, ServiceTime: 20 * time.Millisecond, Calls: []string{"/stock/fabric"}},
			"stock":     {Slots: 14, Connections: 300, ServiceTime: 20 * time.Millisecond, Calls: []string{"/packing/folds"}},
			"packing":   {Slots: 10, Connections: 300, ServiceTime: 20 * time.Millisecond},
		},
		Flows: []Flow{
			{Account: "account-1", Class: "order", Path: "/orders/orders", Rate: 70, UseIdempotencyKey: true},
			{Account: "account-1", Class: "browse", Path: "/catalogue/bundles", Rate: 70},
			{Account: "account-2", Class: "browse", Path: "/catalogue/bundles", Rate: 110},
			{Account: "account-3", Class: "order", Path: "/orders/orders", Rate: 45, UseIdempotencyKey: true},
			{Account: "account-4", Class: "browse", Path: "/catalogue/bundles", Rate: 25},
			{Account: "account-5", Class: "order", Path: "/orders/orders", Rate: 25, UseIdempotencyKey: true},
			{Account: "account-6", Class: "next-fold", Path: "/packing/folds", Rate: 18},
			{Account: "account-7", Class: "browse", Path: "/catalogue/bundles", Rate: 18},
			{Account: "account-8", Class: "order", Path: "/orders/orders", Rate: 14, UseIdempotencyKey: true},
		},
	}
}

// accounts returns numbered accounts with the given rates. The burst is the number of
// requests in half a second.
func accounts(rates []float64) []deployment.Account {
	named := make([]deployment.Account, 0, len(rates))
	for i, rate := range rates {
		named = append(named, deployment.Account{Name: accountName(i), Rate: rate, Burst: rate / 2})
	}
	return named
}

func accountName(i int) string { return "account-" + string(rune('1'+i)) }

// LatencyWorkload is a deployment with spare capacity for measuring latency.
// Callers send requests for one service to the hosts of another one, so that each
// request passes through two nodes.
func LatencyWorkload() Workload {
	return Workload{
		Name: "latency",
		Layout: deployment.Layout{
			Zones:        []string{"zone-1", "zone-2", "zone-3"},
			HostsPerZone: 1,
			Services:     []deployment.Service{{Name: "stock"}, {Name: "front"}},
			Classes: []deployment.Class{
				{Name: "lookup", Service: "stock", PathPrefix: "/colours", Target: 300 * time.Millisecond, Importance: 3, Idempotent: true},
			},
			Accounts: accounts([]float64{5000}),
		},
		Servers: map[string]fleet.ServerSpec{
			"stock": {Slots: 50, Connections: 200, ServiceTime: 5 * time.Millisecond},
			"front": {Slots: 1, Connections: 1, ServiceTime: time.Millisecond},
		},
	}
}
