package admission

import (
	"math"
	"time"

	"github.com/bilberryvane/bilberryvane/retry"
)

const (
	// maxIntervalSeconds bounds the time between two updates for which the reported rates
	// are counted.
	maxIntervalSeconds = 1.0
	// minWantedRate is the rate of requests below which wanted retries are not divided by
	// it.
	minWantedRate = 1.0
	// plannedRetryShare is the share of the rate of retries that lasts for a window which the
	// plan allocates. The rest is for calls that need more retries than expected, and for the
	// time until the plan sees that.
	plannedRetryShare = 0.85
	// taperSeconds is the least time over which the retries that are left in the window are
	// planned. It makes their rate fall before none is left.
	taperSeconds = 2.0
	// foreseenRetries is the number of retries per call for which the plan chooses in advance
	// the flows whose calls are retried.
	foreseenRetries = 1.0
	// unknownReserveShare is the part of the fixed number of retries that may be used at a
	// service of which nothing is known.
	unknownReserveShare = 0.25
)

// A RetryLimit is the limit of the retries at a service.
type RetryLimit struct {
	// Share is the number of retries allowed per request.
	Share float64
	// ReserveShare is the part, from 0 to 1, of the fleet's fixed number of retries that
	// may be used for each route.
	ReserveShare float64
	// PerRoute says that the limit holds for the requests of each route of the service:
	// they make different numbers of calls, which a retry repeats.
	PerRoute bool
	// Selection selects the requests to which Share applies. It is nil while nothing is
	// known of the service.
	Selection *retry.Selection
	// Importance is the least importance of the flows whose calls could be retried if half of
	// all calls to the service were turned away.
	Importance int
}

// RetryBounds are the bounds of the fleet's retries at each service.
type RetryBounds struct {
	// Share is the maximum number of retries per request, and Reserve the number that is
	// allowed in addition in each window of the given length.
	Share, Reserve float64
	Window         time.Duration
}

// A RetryRate is the rate of retries that a host wants to send to a service and of those
// that it sends, per second.
type RetryRate struct {
	Service string  `cbor:"1,keyasint"`
	Wanted  float64 `cbor:"2,keyasint"`
	Made    float64 `cbor:"3,keyasint,omitempty"`
}

// A retryPlan divides the fleet's retries among the services.
type retryPlan struct {
	bounds RetryBounds
	// windows counts the accepted requests and the retries of the fleet, by service.
	windows map[string]*retry.Window
	limits  map[string]RetryLimit
	// rates are the retries per second that can be planned, by service.
	rates   map[string]float64
	updated time.Time
}

// update counts what was reported since the last update and recomputes the limits.
func (rp *retryPlan) update(now time.Time, t totals, m *costModel) {
	seconds := math.Min(maxIntervalSeconds, math.Max(0, now.Sub(rp.updated).Seconds()))
	rp.updated = now
	above := m.servicesAbove()
	uses := make(map[string]retry.Use, len(t.slots))
	for service := range t.slots {
		w, ok := rp.windows[service]
		if !ok {
			w = retry.NewWindow(rp.bounds.Window)
			rp.windows[service] = w
		}
		accepted := math.Max(0, t.dispatched[service]-t.rejected[service])
		w.RecordRequests(now, accepted*seconds)
		w.RecordRetries(now, t.retries[service]*seconds)
		made, requests := w.Retries(now)
		uses[service] = retry.Use{
			Made:   math.Min(rp.bounds.Share, made/math.Max(1, requests)),
			Wanted: t.wantedRetries[service] / math.Max(minWantedRate, accepted),
		}
	}
	shares := retry.Split(rp.bounds.Share, uses, above)
	rp.limits = make(map[string]RetryLimit, len(shares))
	rp.rates = make(map[string]float64, len(shares))
	for service, share := range shares {
		w := rp.windows[service]
		reserveShare := m.reserveShare(service, above)
		reserve := reserveShare * rp.bounds.Reserve
		limit := retry.Limit{Share: share, TotalShare: rp.bounds.Share, Reserve: reserve}
		rp.rates[service] = math.Min(plannedRetryShare*w.SustainedRate(now, limit), math.Max(0, w.Room(now, limit))/taperSeconds)
		selection := w.Select(now)
		rp.limits[service] = RetryLimit{
			Share: share, ReserveShare: reserveShare,
			PerRoute: m.mayMakeCalls(service), Selection: &selection,
		}
	}
}

// rank sets the importance in the limits.
func (rp *retryPlan) rank(t totals, m *costModel) {
	groups := groupByImportance(t.offered)
	for service, l := range rp.limits {
		needed := 0.0
		for _, group := range groups {
			l.Importance = group[0].Importance
			for _, f := range group {
				needed += foreseenRetries * t.offered[f] * m.usage(f.Class)[service].requests
			}
			if needed > rp.rates[service] {
				break
			}
		}
		rp.limits[service] = l
	}
}

// rate returns the retries per second at a service that can be planned.
func (rp *retryPlan) rate(service string) float64 { return rp.rates[service] }

// limit returns the limit at a service. Nothing is known of any service until the first
// reports arrive.
func (rp *retryPlan) limit(service string) RetryLimit {
	if l, ok := rp.limits[service]; ok {
		return l
	}
	return RetryLimit{Share: retry.MinShare(rp.bounds.Share), ReserveShare: unknownReserveShare, PerRoute: true}
}

// servicesAbove returns, for each service, the services whose requests lead to calls to it.
func (m *costModel) servicesAbove() map[string]map[string]bool {
	above := make(map[string]map[string]bool)
	for _, services := range m.routes {
		for caller, s := range services {
			for called, n := range s.Calls {
				for below, u := range m.usage(called) {
					if n*u.requests == 0 {
						continue
					}
					if above[below] == nil {
						above[below] = make(map[string]bool)
					}
					above[below][caller] = true
				}
			}
		}
	}
	return above
}

// reserveShare returns the part of the fixed number of retries that may be used for each
// route at a service. A retry there costs as many retries at a service below as one request
// makes calls to it, and each service on a chain has the same part.
func (m *costModel) reserveShare(service string, above map[string]map[string]bool) float64 {
	levels, calls, routes := 1+len(above[service]), 1.0, 1
	for below, callers := range above {
		if callers[service] {
			levels = max(levels, 1+len(above[below]))
		}
	}
	if m.mayMakeCalls(service) {
		routes = 0
		for _, services := range m.routes {
			s, ok := services[service]
			if !ok {
				continue
			}
			routes++
			for called, n := range s.Calls {
				for _, u := range m.usage(called) {
					calls = math.Max(calls, n/math.Max(minKnownRuns, s.Runs)*u.requests)
				}
			}
		}
	}
	return 1 / (float64(levels) * calls * float64(max(1, routes)))
}
