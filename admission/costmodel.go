package admission

// minKnownRuns is the number of runs from which the cost of a route counts as known.
const minKnownRuns = 1.0

// maxCallDepth bounds the traversal of nested calls, in case routes call each other
// in a cycle.
const maxCallDepth = 12

// RouteStats is the recent work of one backend server for the requests of one route.
// Only successful runs count, since a failed run may not have made all its calls.
// The sums decay exponentially with age.
type RouteStats struct {
	Route string `cbor:"1,keyasint"`
	// Runs is the number of runs; SlotSeconds is the total slot time that they used.
	Runs        float64 `cbor:"2,keyasint"`
	SlotSeconds float64 `cbor:"3,keyasint"`
	// Calls is the number of calls that the runs made, by the route of the call.
	Calls map[string]float64 `cbor:"4,keyasint,omitempty"`
}

// A usage is what one request uses of a service, including the calls below it: slot
// time in seconds and the number of requests that reach the service.
type usage struct{ time, requests float64 }

// A costModel estimates what a request of each route uses of each service, from the
// per-run reports of backend servers. The cost of a call chain is known once one
// request of each of its routes has run on any host, and is kept while nothing runs.
type costModel struct {
	// routes holds the latest stats by route and by the service that runs it.
	routes map[string]map[string]RouteStats
	// usages caches the usage by route and service.
	usages map[string]map[string]usage
	// meanRunSeconds is the mean slot time of one request by service.
	meanRunSeconds map[string]float64
}

func newCostModel() *costModel {
	return &costModel{
		routes: make(map[string]map[string]RouteStats), usages: make(map[string]map[string]usage),
		meanRunSeconds: make(map[string]float64),
	}
}

// update replaces the stats of the routes and services that the summaries cover.
func (m *costModel) update(summaries map[string]timedSummary) {
	m.usages = make(map[string]map[string]usage)
	byRoute := make(map[string]map[string]RouteStats)
	byService := make(map[string]RouteStats)
	for _, summary := range summaries {
		for _, s := range summary.Routes {
			if byRoute[s.Route] == nil {
				byRoute[s.Route] = make(map[string]RouteStats)
			}
			byRoute[s.Route][s.Service] = byRoute[s.Route][s.Service].plus(s.RouteStats)
			byService[s.Service] = byService[s.Service].plus(RouteStats{Runs: s.Runs, SlotSeconds: s.SlotSeconds})
		}
	}
	for route, services := range byRoute {
		runs := 0.0
		for _, s := range services {
			runs += s.Runs
		}
		if runs >= minKnownRuns {
			m.routes[route] = services
		}
	}
	for service, s := range byService {
		if s.Runs >= minKnownRuns {
			m.meanRunSeconds[service] = s.SlotSeconds / s.Runs
		}
	}
}

func (s RouteStats) plus(o RouteStats) RouteStats {
	calls := make(map[string]float64, len(s.Calls)+len(o.Calls))
	for route, n := range s.Calls {
		calls[route] = n
	}
	for route, n := range o.Calls {
		calls[route] += n
	}
	return RouteStats{Route: o.Route, Runs: s.Runs + o.Runs, SlotSeconds: s.SlotSeconds + o.SlotSeconds, Calls: calls}
}

// known reports whether runs of a route have been reported.
func (m *costModel) known(route string) bool { return len(m.routes[route]) > 0 }

// mayMakeCalls reports whether requests that run at a service make calls. It returns
// true for a service without reported runs.
func (m *costModel) mayMakeCalls(service string) bool {
	if _, seen := m.meanRunSeconds[service]; !seen {
		return true
	}
	for _, services := range m.routes {
		if len(services[service].Calls) > 0 {
			return true
		}
	}
	return false
}

// usage returns what one request of a route uses of each service.
func (m *costModel) usage(route string) map[string]usage { return m.usageAtDepth(route, 0) }

func (m *costModel) usageAtDepth(route string, depth int) map[string]usage {
	if u, ok := m.usages[route]; ok || depth > maxCallDepth {
		return u
	}
	total := 0.0
	for _, s := range m.routes[route] {
		total += s.Runs
	}
	sum := make(map[string]usage)
	for service, s := range m.routes[route] {
		u := sum[service]
		sum[service] = usage{time: u.time + s.SlotSeconds/total, requests: u.requests + s.Runs/total}
		for called, n := range s.Calls {
			for below, v := range m.usageAtDepth(called, depth+1) {
				u := sum[below]
				sum[below] = usage{time: u.time + v.time*n/total, requests: u.requests + v.requests*n/total}
			}
		}
	}
	m.usages[route] = sum
	return sum
}
