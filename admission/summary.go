package admission

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
)

// A HostReport describes the root requests that reach a host and the use of its
// backend server.
type HostReport struct {
	// Service is the service of the host's backend server. Slots is the number of its
	// usable slots; zero while it accepts no requests.
	Service string  `cbor:"1,keyasint"`
	Slots   float64 `cbor:"2,keyasint"`
	// Routes is the recent work of the backend server, by route.
	Routes []RouteStats `cbor:"3,keyasint,omitempty"`
	// Waiting is the mean number of requests that wait for a slot.
	Waiting float64 `cbor:"4,keyasint,omitempty"`
	// Demand is the demand of the flows at the host.
	Demand []FlowDemand `cbor:"5,keyasint,omitempty"`
	// Dispatched is the rate of requests dispatched to the backend server, per second.
	// RejectedShare is the share of them that it rejected without running them.
	Dispatched    float64 `cbor:"6,keyasint,omitempty"`
	RejectedShare float64 `cbor:"7,keyasint,omitempty"`
	// Retries are the retries that the host sends.
	Retries []RetryRate `cbor:"8,keyasint,omitempty"`
}

// A Summary is the sum of the reports of some hosts. It is what a Plan needs of them, and
// grows with the services and flows but not with the hosts.
type Summary struct {
	// Hosts is the number of hosts.
	Hosts    int            `cbor:"1,keyasint"`
	Services []ServiceLoad  `cbor:"2,keyasint,omitempty"`
	Routes   []ServiceStats `cbor:"3,keyasint,omitempty"`
	Demand   []FlowDemand   `cbor:"4,keyasint,omitempty"`
	// Retries are the retries that the hosts send, by service.
	Retries []RetryRate `cbor:"5,keyasint,omitempty"`
}

// WithoutSlots returns the summary of hosts whose backend servers accept no requests, so that
// none wait there.
func (s Summary) WithoutSlots() Summary {
	s.Services = slices.Clone(s.Services)
	for i := range s.Services {
		s.Services[i].Slots, s.Services[i].Waiting = 0, 0
	}
	return s
}

// A ServiceLoad is the sum of the loads of the backend servers of a service.
type ServiceLoad struct {
	Service string  `cbor:"1,keyasint"`
	Slots   float64 `cbor:"2,keyasint"`
	Waiting float64 `cbor:"3,keyasint,omitempty"`
	// Dispatched and Rejected are requests per second.
	Dispatched float64 `cbor:"4,keyasint,omitempty"`
	Rejected   float64 `cbor:"5,keyasint,omitempty"`
}

// A ServiceStats is the recent work of the backend servers of a service for a route.
type ServiceStats struct {
	Service    string `cbor:"1,keyasint"`
	RouteStats `cbor:"2,keyasint"`
}

// Summarize returns the sum of reports.
func Summarize(reports ...HostReport) Summary {
	type routeKey struct{ service, route string }
	services := make(map[string]ServiceLoad)
	routes := make(map[routeKey]RouteStats)
	demand := make(map[Flow]FlowDemand)
	retries := make(map[string]RetryRate)
	for _, r := range reports {
		l := services[r.Service]
		services[r.Service] = ServiceLoad{
			Service: r.Service, Slots: l.Slots + r.Slots, Waiting: l.Waiting + r.Waiting,
			Dispatched: l.Dispatched + r.Dispatched, Rejected: l.Rejected + r.Dispatched*r.RejectedShare,
		}
		for _, rr := range r.Retries {
			sum := retries[rr.Service]
			retries[rr.Service] = RetryRate{Service: rr.Service, Wanted: sum.Wanted + rr.Wanted, Made: sum.Made + rr.Made}
		}
		for _, s := range r.Routes {
			key := routeKey{r.Service, s.Route}
			routes[key] = routes[key].plus(s)
		}
		for _, d := range r.Demand {
			sum := demand[d.Flow]
			demand[d.Flow] = FlowDemand{Flow: d.Flow, Offered: sum.Offered + d.Offered, FirstAttempts: sum.FirstAttempts + d.FirstAttempts}
		}
	}
	s := Summary{Hosts: len(reports)}
	for _, l := range services {
		s.Services = append(s.Services, l)
	}
	for key, stats := range routes {
		s.Routes = append(s.Routes, ServiceStats{Service: key.service, RouteStats: stats})
	}
	for _, d := range demand {
		s.Demand = append(s.Demand, d)
	}
	for _, rr := range retries {
		s.Retries = append(s.Retries, rr)
	}
	s.sort()
	return s
}

// sort puts the parts of a summary into a fixed order.
func (s Summary) sort() {
	slices.SortFunc(s.Retries, func(a, b RetryRate) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(s.Services, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(s.Routes, func(a, b ServiceStats) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Route, b.Route))
	})
	slices.SortFunc(s.Demand, func(a, b FlowDemand) int {
		return cmp.Or(cmp.Compare(b.Flow.Importance, a.Flow.Importance), cmp.Compare(a.Flow.Class, b.Flow.Class))
	})
}

// maxReportedValue bounds each number of a report or summary. A larger one is absurd: no
// service has as many slots or requests.
const maxReportedValue = 1e9

var errAbsurdValue = errors.New("the value is negative, too large or not a number")

// Validate checks a report that another host sent.
func (r HostReport) Validate() error {
	if r.RejectedShare < 0 || r.RejectedShare > 1 {
		return fmt.Errorf("rejected share %v: %w", r.RejectedShare, errAbsurdValue)
	}
	return Summarize(r).Validate()
}

// Validate checks a summary that another host sent.
func (s Summary) Validate() error {
	for _, l := range s.Services {
		if err := checkValues(l.Slots, l.Waiting, l.Dispatched, l.Rejected); err != nil {
			return fmt.Errorf("load of service %q: %w", l.Service, err)
		}
	}
	for _, r := range s.Routes {
		if err := checkValues(r.Runs, r.SlotSeconds); err != nil {
			return fmt.Errorf("work for route %q: %w", r.Route, err)
		}
		for called, n := range r.Calls {
			if err := checkValues(n); err != nil {
				return fmt.Errorf("calls of route %q to %q: %w", r.Route, called, err)
			}
		}
	}
	for _, rr := range s.Retries {
		if err := checkValues(rr.Wanted, rr.Made); err != nil {
			return fmt.Errorf("retries at service %q: %w", rr.Service, err)
		}
	}
	for _, d := range s.Demand {
		if err := checkValues(d.Offered, d.FirstAttempts); err != nil {
			return fmt.Errorf("demand of class %q: %w", d.Flow.Class, err)
		}
	}
	return nil
}

func checkValues(values ...float64) error {
	for _, v := range values {
		if math.IsNaN(v) || v < 0 || v > maxReportedValue {
			return fmt.Errorf("value %v: %w", v, errAbsurdValue)
		}
	}
	return nil
}
