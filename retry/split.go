package retry

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// minServiceShare is the part of the budget that each service may always use.
	minServiceShare = 1.0 / 30
	// minWanted is the fraction of a service's requests from which wanted retries are
	// planned for.
	minWanted = 0.001
	// wantedMargin is applied to the wanted retries. A request whose retry is not allowed
	// ends, so more may be wanted than is seen.
	wantedMargin = 2.0
)

// A Use is the recent use of retries at a service, each as a fraction of its requests.
type Use struct {
	// Made is the fraction of retries made in the last window. Calls of retried requests
	// don't count.
	Made float64
	// Wanted is the fraction of retries that were wanted lately, whether they were allowed
	// or not.
	Wanted float64
}

// Split divides the retries that the calls of a chain may have among the services of the
// chain. A retry repeats all calls below it, so the retries per request at a service are
// the sum of the shares of that service and of all services above it. Split keeps that sum
// within total for each service, for any failures: what a service doesn't want goes to
// others, less what it has used in the last window. Services at the end of chains come
// first, since their retries repeat no other call.
//
// above holds, for each service, the services whose requests lead to calls to it. The
// result is the share of retries per request, by service.
func Split(total float64, uses map[string]Use, above map[string]map[string]bool) map[string]float64 {
	s := &split{
		total: total, chains: make(map[string][]chain, len(uses)), sums: make(map[string]float64, len(uses)),
		claims: make(map[string]float64, len(uses)), shares: make(map[string]float64, len(uses)),
	}
	for service, u := range uses {
		s.addChains(service, uses, above)
		s.claim(service, math.Max(total*minServiceShare, u.Made))
		s.shares[service] = total * minServiceShare
	}
	deepestFirst := slices.SortedFunc(maps.Keys(uses), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(above[b]), len(above[a])), cmp.Compare(a, b))
	})
	for _, service := range deepestFirst {
		if wanted := uses[service].Wanted; wanted >= minWanted {
			s.grant(service, wantedMargin*wanted)
		}
	}
	for _, service := range deepestFirst {
		s.grant(service, total)
	}
	return s.shares
}

// MinShare returns the share that each service may always use.
func MinShare(total float64) float64 { return total * minServiceShare }

// A split is the state of Split. claims are the shares that are granted or used up.
type split struct {
	total float64
	// chains are those on which a service is, and sums the sums of the claims on a chain, by the
	// service at its end.
	chains map[string][]chain
	sums   map[string]float64
	claims map[string]float64
	shares map[string]float64
}

// A chain ends at a service. levels is how often another service may be on it: twice if its
// requests lead to calls to itself.
type chain struct {
	end    string
	levels float64
}

// addChains sets the chains of a service.
func (s *split) addChains(service string, uses map[string]Use, above map[string]map[string]bool) {
	levels := 1.0
	if above[service][service] {
		levels = 2
	}
	for end := range uses {
		if end == service || above[end][service] {
			s.chains[service] = append(s.chains[service], chain{end, levels})
		}
	}
}

// claim raises the claim of a service.
func (s *split) claim(service string, share float64) {
	more := share - s.claims[service]
	if more <= 0 {
		return
	}
	s.claims[service] = share
	for _, c := range s.chains[service] {
		s.sums[c.end] += c.levels * more
	}
}

// grant raises the share of a service to the limit, as far as the claims of the others on
// its chains allow.
func (s *split) grant(service string, limit float64) {
	room := s.total
	for _, c := range s.chains[service] {
		room = math.Min(room, (s.total-s.sums[c.end])/c.levels+s.claims[service])
	}
	s.shares[service] = math.Max(s.shares[service], math.Min(limit, room))
	s.claim(service, s.shares[service])
}
