package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bilberryvane/bilberryvane/retry"
)

const (
	// plannedSlotShare is the share of a service's slots that the plan allocates. The
	// rest absorbs bursts, so that queues stay short.
	plannedSlotShare = 0.92
	// minAdmittedShare of a class is always admitted, so that its cost stays known.
	minAdmittedShare = 0.005
	// minRootCost is the slot time in seconds per root request from which a class
	// counts as using a service.
	minRootCost = 0.0005
	// smallFlowShare is the share of a group's demand up to which less important flows
	// together count as small. They are allocated with the group, which loses at most
	// this share.
	smallFlowShare = 0.15
	// minRejectedShare is the share of rejected calls from which retries are planned.
	minRejectedShare = 0.05
	// minSuccessChance is the chance of success without retries below which a root
	// request is refused instead of being admitted without retries.
	minSuccessChance = 0.2
	// minAcceptedShare is the lower bound of the accepted share of calls when the
	// expected retries per call are computed.
	minAcceptedShare = 0.1
	// drainSeconds is the time in which the queued requests are to be served, in
	// addition to new requests.
	drainSeconds = 1.0
	// saturatedQueueRatio is the number of queued requests per slot above which a
	// service counts as saturated; they wait for half of a typical run.
	saturatedQueueRatio = 0.5
	// capacityStepDown lowers the capacity factor of a service that stays saturated,
	// down to minCapacityFactor; capacityStepUp raises it again.
	capacityStepDown  = 0.02
	capacityStepUp    = 0.05
	minCapacityFactor = 0.7
	// reportTTL is the age at which a summary expires.
	reportTTL = 3 * time.Second
)

// A Flow is the root requests of one class and importance. Requests of a class differ
// in importance if their client accounts do.
type Flow struct {
	Class string `cbor:"1,keyasint"`
	// Importance ranks the flow; higher is admitted first.
	Importance int `cbor:"2,keyasint"`
}

// A FlowDemand is the recent demand of a flow at one host.
type FlowDemand struct {
	Flow Flow `cbor:"1,keyasint"`
	// Offered is the rate in requests per second. FirstAttempts is the rate of those
	// that were not refused before.
	Offered       float64 `cbor:"2,keyasint"`
	FirstAttempts float64 `cbor:"3,keyasint"`
}

// A Plan computes the share of the root requests of each flow to admit, so that the
// resulting calls do not exceed the slots of any service along the call chains. It
// handles overload of a small service at the end of long call chains, where the demand
// is a multiple of the capacity: refusing requests there would waste all work done
// above it and would hit classes at random instead of by importance.
//
// The cost of a class is the slot time that one root request uses at each service,
// including the calls below it. It is summed along the call chains from the per-run
// reports of all hosts. All hosts therefore compute the same plan, and an overload,
// which makes requests fail partway, does not distort the cost.
//
// If backend servers reject some of the calls although they have free slots, calls
// need retries, which are bounded for the fleet. The plan assigns the retries to the
// most important flows. Other flows are admitted without retries, unless they make so
// many calls that one of them would almost certainly fail.
//
// A Plan is deterministic and holds no lock.
type Plan struct {
	retries retryPlan
	// summaries holds the latest summary by its origin: a host or an availability zone.
	summaries map[string]timedSummary
	costs     *costModel
	// capacityFactors scales the planned capacity, by service.
	capacityFactors map[string]float64
	admittedShares  map[Flow]float64
	retryShares     map[Flow]float64
	// bottlenecks is the service that limits a flow which is not fully admitted.
	bottlenecks map[Flow]string
}

type timedSummary struct {
	Summary
	at time.Time
}

// NewPlan returns a Plan that admits everything.
func NewPlan(b RetryBounds) *Plan {
	return &Plan{
		retries:         retryPlan{bounds: b, windows: make(map[string]*retry.Window)},
		costs:           newCostModel(),
		summaries:       make(map[string]timedSummary),
		capacityFactors: make(map[string]float64),
		admittedShares:  make(map[Flow]float64),
		retryShares:     make(map[Flow]float64),
		bottlenecks:     make(map[Flow]string),
	}
}

// Report replaces the summary of an origin, such as a host or an availability zone. The
// caller ensures that no host is in the summaries of two origins.
func (p *Plan) Report(now time.Time, origin string, s Summary) {
	p.summaries[origin] = timedSummary{s, now}
}

// Forget removes the summary of an origin.
func (p *Plan) Forget(origin string) { delete(p.summaries, origin) }

// AdmittedShare returns the share of the root requests of a flow to admit, from 0 to 1.
func (p *Plan) AdmittedShare(f Flow) float64 {
	if share, ok := p.admittedShares[f]; ok {
		return share
	}
	return 1
}

// Bottleneck returns the service that limits a flow; empty if the flow is fully
// admitted.
func (p *Plan) Bottleneck(f Flow) string { return p.bottlenecks[f] }

// RetryShare returns the share of the admitted root requests of a flow whose calls
// may be retried, from 0 to 1.
func (p *Plan) RetryShare(f Flow) float64 {
	if share, ok := p.retryShares[f]; ok {
		return share
	}
	return 1
}

// CostKnown reports whether the cost of a class is known. Until then its requests
// count as costing nothing.
func (p *Plan) CostKnown(class string) bool { return p.costs.known(class) }

// RetryLimit returns the limit of the retries at a service.
func (p *Plan) RetryLimit(service string) RetryLimit { return p.retries.limit(service) }

// Cost returns the slot time in seconds that a root request of a class uses at a
// service.
func (p *Plan) Cost(class, service string) float64 { return p.costs.usage(class)[service].time }

// MeanRunSeconds returns the mean slot time in seconds of one request at a service, and
// whether it is known.
func (p *Plan) MeanRunSeconds(service string) (float64, bool) {
	seconds, ok := p.costs.meanRunSeconds[service]
	return seconds, ok
}

// Update recomputes the plan. It must be called at a constant interval of a few
// hundred milliseconds.
func (p *Plan) Update(now time.Time) {
	for origin, s := range p.summaries {
		if now.Sub(s.at) > reportTTL {
			delete(p.summaries, origin)
		}
	}
	p.costs.update(p.summaries)
	t := p.aggregate()
	p.retries.update(now, t, p.costs)
	p.retries.rank(t, p.costs)
	p.adjustCapacity(t)
	p.allocate(t)
}

// totals is the aggregate of the reports of all hosts.
type totals struct {
	slots, waiting map[string]float64
	// dispatched and rejected are calls per second by service: all calls dispatched to
	// backend servers, and those that the backend servers rejected.
	dispatched, rejected map[string]float64
	// wantedRetries and retries are per second, by service.
	wantedRetries, retries map[string]float64
	offered, firstAttempts map[Flow]float64
}

// aggregate sums the reports of all hosts.
func (p *Plan) aggregate() totals {
	t := totals{
		slots: make(map[string]float64), waiting: make(map[string]float64),
		dispatched: make(map[string]float64), rejected: make(map[string]float64),
		wantedRetries: make(map[string]float64), retries: make(map[string]float64),
		offered: make(map[Flow]float64), firstAttempts: make(map[Flow]float64),
	}
	for _, s := range p.summaries {
		for _, l := range s.Services {
			t.slots[l.Service] += l.Slots
			t.waiting[l.Service] += l.Waiting
			t.dispatched[l.Service] += l.Dispatched
			t.rejected[l.Service] += l.Rejected
		}
		for _, rr := range s.Retries {
			t.wantedRetries[rr.Service] += rr.Wanted
			t.retries[rr.Service] += rr.Made
		}
		for _, d := range s.Demand {
			t.offered[d.Flow] += d.Offered
			t.firstAttempts[d.Flow] += d.FirstAttempts
		}
	}
	return t
}

// rejectedShare returns the share of the calls to a service that are rejected.
func (t totals) rejectedShare(service string) float64 {
	if t.dispatched[service] == 0 {
		return 0
	}
	return t.rejected[service] / t.dispatched[service]
}

func (t totals) saturated(service string) bool {
	return t.waiting[service] > saturatedQueueRatio*t.slots[service]
}

// adjustCapacity lowers the planned capacity of services that stay saturated despite
// the plan, and raises it again for the others.
func (p *Plan) adjustCapacity(t totals) {
	for service := range t.slots {
		factor, ok := p.capacityFactors[service]
		if !ok {
			factor = 1
		}
		if t.saturated(service) {
			factor -= capacityStepDown
		} else {
			factor += capacityStepUp
		}
		p.capacityFactors[service] = math.Min(1, math.Max(minCapacityFactor, factor))
	}
}

// allocate assigns the slots of all services to the flows, the most important first.
// Flows of the same importance get the same share of the remaining slots of each
// service.
func (p *Plan) allocate(t totals) {
	left := p.available(t)
	p.admittedShares = make(map[Flow]float64, len(t.offered))
	p.retryShares = make(map[Flow]float64, len(t.offered))
	p.bottlenecks = make(map[Flow]string)
	groups := groupByImportance(t.offered)
	for i := range groups {
		group := p.mergeSmallFlows(t, left, groups, i)
		needed := p.demand(t.offered, t, left, group)
		taken := make(map[resource]float64)
		for _, f := range group {
			slotShare, bottleneck := p.affordableShare(t, f.Class, left, needed, false)
			retryable, retryBottleneck := p.affordableShare(t, f.Class, left, needed, true)
			retried := math.Min(slotShare, retryable)
			p.retryShares[f] = retried / slotShare
			p.admittedShares[f] = slotShare
			if p.successWithoutRetries(t, f.Class) < minSuccessChance {
				p.admittedShares[f], p.retryShares[f] = math.Max(minAdmittedShare, retried), 1
				bottleneck = cmp.Or(retryBottleneck, bottleneck)
			}
			if bottleneck != "" {
				p.bottlenecks[f] = bottleneck
			}
			for r := range left {
				share := p.admittedShares[f]
				if r.retries {
					share = retried
				}
				taken[r] += share * t.offered[f] * p.demandPerRequest(t, f.Class, r)
			}
		}
		for r, amount := range taken {
			left[r] = math.Max(0, left[r]-amount)
		}
	}
}

// demand returns the total demand for each resource of flows at the given rates.
func (p *Plan) demand(rates map[Flow]float64, t totals, left map[resource]float64, flows []Flow) map[resource]float64 {
	needed := make(map[resource]float64)
	for _, f := range flows {
		for r := range left {
			needed[r] += rates[f] * p.demandPerRequest(t, f.Class, r)
		}
	}
	return needed
}

// mergeSmallFlows returns the group at index at, extended by the less important flows
// with a small demand for the resources that the group exhausts. These flows get the
// share of the group instead of what the group leaves, because refusing all of their
// requests would free almost nothing for the group. Their demand excludes repeated
// attempts of refused requests, which stop once the requests are admitted. They are
// removed from their own groups.
func (p *Plan) mergeSmallFlows(t totals, left map[resource]float64, groups [][]Flow, at int) []Flow {
	merged := slices.Clone(groups[at])
	needed := p.demand(t.firstAttempts, t, left, merged)
	small := make(map[resource]float64)
	for i := at + 1; i < len(groups); i++ {
		groups[i] = slices.DeleteFunc(slices.Clone(groups[i]), func(f Flow) bool {
			demand := p.demand(t.firstAttempts, t, left, []Flow{f})
			merges := false
			for r, amount := range demand {
				if p.demandPerRequest(t, f.Class, r) < minRootCost || needed[r] == 0 {
					continue
				}
				if small[r]+amount > smallFlowShare*needed[r] {
					return false
				}
				merges = merges || needed[r]+small[r]+amount > left[r]
			}
			if merges {
				for r, amount := range demand {
					small[r] += amount
				}
				merged = append(merged, f)
			}
			return merges
		})
	}
	return merged
}

// A resource is allocated among root requests: the slots of a service, or the retries
// of calls to it.
type resource struct {
	service string
	retries bool
}

// available returns the available amount of each resource. Retries are limited only
// where backend servers reject calls although they have free slots.
func (p *Plan) available(t totals) map[resource]float64 {
	all := make(map[resource]float64, len(t.slots))
	for service, slots := range t.slots {
		backlogSlots := t.waiting[service] * p.costs.meanRunSeconds[service] / drainSeconds
		all[resource{service: service}] = math.Max(0, plannedSlotShare*p.capacityFactors[service]*slots-backlogSlots)
		if t.rejectedShare(service) >= minRejectedShare {
			all[resource{service, true}] = p.retries.rate(service)
		}
	}
	return all
}

// demandPerRequest returns the demand of one root request of a class for a resource.
// If a share of the calls is rejected, each call needs a proportional number of
// retries on average.
func (p *Plan) demandPerRequest(t totals, class string, r resource) float64 {
	if !r.retries {
		return p.Cost(class, r.service)
	}
	rejected := t.rejectedShare(r.service)
	return p.requestsPerRoot(class, r.service) * rejected / math.Max(minAcceptedShare, 1-rejected)
}

// requestsPerRoot returns the number of requests that reach a service for one root
// request of a class.
func (p *Plan) requestsPerRoot(class, service string) float64 {
	return p.costs.usage(class)[service].requests
}

// successWithoutRetries returns the probability that a root request of a class
// succeeds if none of its calls is retried.
func (p *Plan) successWithoutRetries(t totals, class string) float64 {
	chance := 1.0
	for service := range t.slots {
		if rejected := t.rejectedShare(service); rejected >= minRejectedShare {
			chance *= math.Pow(1-rejected, p.requestsPerRoot(class, service))
		}
	}
	return chance
}

// affordableShare returns the share of a class that the scarcest resource allows, and
// the service of that resource. It considers either slots or retries.
func (p *Plan) affordableShare(t totals, class string, left, needed map[resource]float64, retries bool) (float64, string) {
	share, bottleneck := 1.0, ""
	for r, amount := range left {
		if r.retries != retries {
			continue
		}
		if p.demandPerRequest(t, class, r) >= minRootCost && needed[r] > amount {
			if affordable := amount / needed[r]; affordable < share {
				share, bottleneck = affordable, r.service
			}
		}
	}
	if retries {
		return share, bottleneck
	}
	return math.Max(minAdmittedShare, share), bottleneck
}

// groupByImportance returns the flows grouped by importance, the highest first.
func groupByImportance(offered map[Flow]float64) [][]Flow {
	flows := make([]Flow, 0, len(offered))
	for f := range offered {
		flows = append(flows, f)
	}
	slices.SortFunc(flows, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(b.Importance, a.Importance), cmp.Compare(a.Class, b.Class))
	})
	var all [][]Flow
	for i, f := range flows {
		if i == 0 || f.Importance != flows[i-1].Importance {
			all = append(all, nil)
		}
		all[len(all)-1] = append(all[len(all)-1], f)
	}
	return all
}
