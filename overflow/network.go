package overflow

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bilberryvane/bilberryvane/admission"
)

// A work is the sum of the recent runs of a route or service.
type work struct{ runs, seconds float64 }

func (w work) plus(runs, seconds float64) work { return work{w.runs + runs, w.seconds + seconds} }

// mean returns the time of a run; zero if there was none.
func (w work) mean() float64 {
	if w.runs == 0 {
		return 0
	}
	return w.seconds / w.runs
}

// A network is what the sums of all zones tell of the requests and their calls.
type network struct {
	zones []Zone
	// roots are the admitted root requests per second by zone and route.
	roots map[string]map[string]float64
	// places is the number of runs of each route by service, calls the number of calls of a run
	// by route.
	places, calls map[string]map[string]float64
	// local is the work of a service by zone, all that of all zones.
	local map[string]map[string]work
	all   map[string]work
	// services come after those that call them.
	services []string
}

func newNetwork(zones []Zone, admitted func(admission.Flow) float64) *network {
	n := &network{
		zones: zones, roots: make(map[string]map[string]float64), places: make(map[string]map[string]float64),
		calls: make(map[string]map[string]float64), local: make(map[string]map[string]work), all: make(map[string]work),
	}
	runs := make(map[string]float64)
	for _, z := range zones {
		n.roots[z.Name] = make(map[string]float64)
		n.local[z.Name] = make(map[string]work)
		for _, d := range z.Load.Demand {
			n.roots[z.Name][d.Flow.Class] += d.Offered * admitted(d.Flow)
		}
		for _, r := range z.Load.Routes {
			n.local[z.Name][r.Service] = n.local[z.Name][r.Service].plus(r.Runs, r.SlotSeconds)
			n.all[r.Service] = n.all[r.Service].plus(r.Runs, r.SlotSeconds)
			runs[r.Route] += r.Runs
			add(n.places, r.Route, r.Service, r.Runs)
			for called, count := range r.Calls {
				add(n.calls, r.Route, called, count)
			}
		}
	}
	for route, total := range runs {
		for _, parts := range []map[string]float64{n.places[route], n.calls[route]} {
			for key := range parts {
				parts[key] /= max(total, 1e-9)
			}
		}
	}
	n.order()
	return n
}

func add(m map[string]map[string]float64, key, part string, x float64) {
	if m[key] == nil {
		m[key] = make(map[string]float64)
	}
	m[key][part] += x
}

// order sorts the services by the least number of calls between a root request and them.
func (n *network) order() {
	depths := make(map[string]int)
	routes := make(map[string]bool)
	for _, roots := range n.roots {
		for route := range roots {
			routes[route] = true
		}
	}
	for depth := range maxDepth {
		next := make(map[string]bool)
		for route := range routes {
			for service := range n.places[route] {
				if _, ok := depths[service]; !ok {
					depths[service] = depth
				}
			}
			for called := range n.calls[route] {
				next[called] = true
			}
		}
		routes = next
	}
	n.services = slices.SortedFunc(maps.Keys(depths), func(a, b string) int {
		return cmp.Or(cmp.Compare(depths[a], depths[b]), cmp.Compare(a, b))
	})
}

// loads returns the loads of a service in all zones if requests leave zones by the shares. The
// calls of a request start in the zone in which it runs.
func (n *network) loads(service string, shares map[direction]Share) []load {
	demand := make(map[string]float64)
	starting := n.roots
	for range maxDepth {
		next := make(map[string]map[string]float64)
		for zone, routes := range starting {
			for route, rate := range routes {
				for place, part := range n.places[route] {
					if place == service {
						demand[zone] += rate * part
					}
					n.start(next, route, rate*part, direction{service: place, from: zone}, shares)
				}
			}
		}
		starting = next
	}
	var all []load
	for _, z := range n.zones {
		l := load{zone: z.Name, demand: demand[z.Name], usable: z.Usable, roundTrip: z.RoundTrip, seconds: n.local[z.Name][service].mean()}
		if l.seconds == 0 {
			l.seconds = n.all[service].mean()
		}
		for _, s := range z.Load.Services {
			if s.Service == service {
				l.slots = s.Slots
			}
		}
		if l.seconds > 0 {
			l.capacity = l.slots / l.seconds
		}
		all = append(all, l)
	}
	return all
}

// start adds the calls of a route's requests, of which some run in other zones.
func (n *network) start(next map[string]map[string]float64, route string, rate float64, d direction, shares map[direction]Share) {
	stays := 1.0
	for _, z := range n.zones {
		d.to = z.Name
		part := shares[d].Part
		stays -= part
		for called, count := range n.calls[route] {
			add(next, z.Name, called, rate*part*count)
		}
	}
	for called, count := range n.calls[route] {
		add(next, d.from, called, rate*max(0, stays)*count)
	}
}
