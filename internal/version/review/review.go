// Package review inspects a valid configuration before it is sent: entries that can never
// match, limits that contradict each other, and the difference from the version in force.
// Package traffic rejects what is invalid; a review finds what is valid but probably not
// meant.
package review

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"

	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

// A Kind says what a Finding is about.
type Kind string

// The kinds of findings.
const (
	// NeverMatches is an entry that no request can select.
	NeverMatches Kind = "never-matches"
	// Contradiction is a limit that another one makes meaningless.
	Contradiction Kind = "contradiction"
	// Ignored is a value that nodes read differently than it may be meant, or not at all.
	Ignored Kind = "ignored"
)

// A Finding is one part of a configuration that is probably not meant.
type Finding struct {
	Kind Kind `json:"kind"`
	// Entry names the part, for example `route "orders"`.
	Entry string `json:"entry"`
	// Text is one sentence. It never contains a key.
	Text string `json:"text"`
}

// String returns the finding on one line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Kind, f.Entry, f.Text) }

// Check returns the findings on a configuration, sorted by entry.
func Check(s *traffic.Snapshot) []Finding {
	var r report
	for _, text := range s.Remarks() {
		r.add(Ignored, "configuration", "%s", text)
	}
	if s.Version() == 0 {
		r.add(Ignored, "configuration", "it has no version above 0, so hosts use it only while they have none, and don't pass it on")
	}
	routes := sortedRoutes(s)
	r.checkRoutes(routes)
	r.checkDuplicates(routes)
	r.checkServices(s, routes)
	r.checkAccounts(s, routes)
	r.checkLimits(s.Limits())
	slices.SortFunc(r.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Text, b.Text))
	})
	return r.findings
}

// CheckVersion returns the findings on what next changes of the configuration in force: hosts
// ignore it if its version isn't newer, and routes that required a key are open to all if it
// doesn't contain client accounts any more.
func CheckVersion(inForce, next *traffic.Snapshot) []Finding {
	var findings []Finding
	if next.Version() <= inForce.Version() {
		text := fmt.Sprintf("version %d is not newer than version %d, which is in force, so hosts ignore it", next.Version(), inForce.Version())
		findings = append(findings, Finding{Kind: Ignored, Entry: "configuration", Text: text})
	}
	if inForce.RequiresKeys() && !next.RequiresKeys() {
		text := "the table is missing, so routes that are not open accept requests without a key"
		findings = append(findings, Finding{Kind: Contradiction, Entry: "client accounts", Text: text})
	}
	return findings
}

// A RetryBudget is what nodes may retry at a service in each window: Share retries per request,
// and Reserve retries more.
type RetryBudget struct {
	Share, Reserve float64
}

// alone returns how often a request can be sent again that comes alone in its window. A node
// may round what it has up to a whole retry.
func (b RetryBudget) alone() int { return max(0, int(math.Ceil(b.Reserve+b.Share))) }

// CheckRetries returns a finding for each route that allows a request more attempts than the
// budget if the request comes alone, sorted by entry. Other requests add to the budget unless
// its share is zero.
func CheckRetries(s *traffic.Snapshot, b RetryBudget) []Finding {
	var r report
	for _, route := range sortedRoutes(s) {
		if most := b.alone(); route.MaxAttempts > most+1 {
			r.add(Contradiction, routeEntry(route.Name), "it allows %d attempts, but the retry budget has %d retries for a request that comes alone and adds %g for each other request", route.MaxAttempts, most, b.Share)
		}
	}
	return r.findings
}

// CheckAttempts returns a finding for each route that allows a request more attempts than a
// node ever makes, sorted by entry.
func CheckAttempts(s *traffic.Snapshot, most int) []Finding {
	var r report
	for _, route := range sortedRoutes(s) {
		if route.MaxAttempts > most {
			r.add(Ignored, routeEntry(route.Name), "it allows %d attempts, but hosts never make more than %d", route.MaxAttempts, most)
		}
	}
	return r.findings
}

func sortedRoutes(s *traffic.Snapshot) []traffic.Route {
	return slices.SortedFunc(slices.Values(s.Routes()), func(a, b traffic.Route) int { return cmp.Compare(a.Name, b.Name) })
}

// A report collects findings.
type report struct{ findings []Finding }

func (r *report) add(k Kind, entry, format string, values ...any) {
	r.findings = append(r.findings, Finding{Kind: k, Entry: entry, Text: fmt.Sprintf(format, values...)})
}

func (r *report) checkRoutes(routes []traffic.Route) {
	for _, route := range routes {
		entry := routeEntry(route.Name)
		switch _, _, err := net.SplitHostPort(route.Host); {
		case route.Host == "":
			r.add(NeverMatches, entry, "it has no host, and requests without a host are invalid")
		case err == nil:
			r.add(NeverMatches, entry, "its host %q names a port, which is removed from the host of a request", route.Host)
		case strings.TrimSpace(route.Host) != route.Host:
			r.add(NeverMatches, entry, "its host %q begins or ends with a space", route.Host)
		}
		if strings.ContainsAny(route.PathPrefix, "?# ") {
			r.add(NeverMatches, entry, "its prefix %q contains a character that no path has", route.PathPrefix)
		}
		r.checkSplit(entry, route.Destinations)
		r.checkTimes(entry, route)
	}
}

func (r *report) checkSplit(entry string, destinations []traffic.Destination) {
	total := 0.0
	for _, d := range destinations {
		total += d.Weight
	}
	if total == 0 {
		r.add(Contradiction, entry, "no service of its split has a weight above zero; all requests go to the last one")
		return
	}
	seen := make(map[string]bool, len(destinations))
	for _, d := range destinations {
		if d.Weight == 0 {
			r.add(NeverMatches, entry, "service %q has the weight zero and gets no requests", d.Service)
		}
		if seen[d.Service] {
			r.add(Ignored, entry, "service %q is listed twice; its weights are added", d.Service)
		}
		seen[d.Service] = true
	}
}

func (r *report) checkTimes(entry string, route traffic.Route) {
	switch {
	case route.Timeout < 0:
		r.add(Ignored, entry, "its timeout of %s is negative and does not apply", route.Timeout)
	case route.Timeout > 0 && route.Target > route.Timeout:
		r.add(Contradiction, entry, "its target of %s is later than its timeout of %s", route.Target, route.Timeout)
	}
	if route.Target <= 0 {
		r.add(Contradiction, entry, "it has no target, so its requests are never in time")
	}
	if route.MaxAttempts < 1 {
		r.add(Ignored, entry, "it allows %d attempts; one is made all the same", route.MaxAttempts)
	}
	if route.Priority < 0 {
		r.add(Ignored, entry, "its priority %d is above the highest, which is 0", route.Priority)
	}
}

// checkDuplicates finds routes that select the same requests.
func (r *report) checkDuplicates(routes []traffic.Route) {
	first := make(map[string]string, len(routes))
	for _, route := range routes {
		key := strings.ToLower(route.Host) + route.PathPrefix
		if other, ok := first[key]; ok {
			r.add(NeverMatches, routeEntry(route.Name), "route %q has the same host and prefix and is used instead", other)
			continue
		}
		first[key] = route.Name
	}
}

func (r *report) checkServices(s *traffic.Snapshot, routes []traffic.Route) {
	used := make(map[string]bool)
	for _, route := range routes {
		for _, d := range route.Destinations {
			used[d.Service] = true
		}
	}
	for _, service := range s.Services() {
		entry := fmt.Sprintf("service %q", service.Name)
		if !used[service.Name] {
			r.add(NeverMatches, entry, "no route leads to it")
		}
		if service.MaxConnections < 0 {
			r.add(Ignored, entry, "its number of connections, %d, is negative", service.MaxConnections)
		}
	}
}

func (r *report) checkAccounts(s *traffic.Snapshot, routes []traffic.Route) {
	allOpen := len(routes) > 0 && !slices.ContainsFunc(routes, func(route traffic.Route) bool { return !route.Open })
	closed := s.RequiresKeys() && len(routes) > 0 && !allOpen
	if closed && len(s.Accounts()) == 0 {
		r.add(NeverMatches, "client accounts", "there are none, so no request on a route that is not open is accepted")
	}
	for _, a := range s.Accounts() {
		entry := fmt.Sprintf("client account %q", a.Name)
		switch {
		case len(a.Keys) == 0:
			r.add(NeverMatches, entry, "it has no key, so none of its requests is accepted")
		case allOpen:
			r.add(NeverMatches, entry, "all routes are open, so no request needs its keys")
		}
		r.checkKeys(entry, a.Keys)
		switch {
		case a.Rate < 0:
			r.add(Ignored, entry, "its rate of %g a second is negative and limits nothing", a.Rate)
		case a.Rate == 0 && a.Burst > 0:
			r.add(Contradiction, entry, "it has a burst of %g and no rate, so nothing is limited", a.Burst)
		case a.Rate > 0 && a.Burst < 1:
			r.add(Contradiction, entry, "it may send %g requests a second, but its burst of %g has no room for one", a.Rate, a.Burst)
		}
		if a.HasPriority && a.Priority < 0 {
			r.add(Ignored, entry, "its priority %d is above the highest, which is 0", a.Priority)
		}
	}
}

// checkKeys names keys by their position only, as they are secret.
func (r *report) checkKeys(entry string, keys []string) {
	seen := make(map[string]int, len(keys))
	for i, k := range keys {
		if k == "" || strings.TrimSpace(k) != k {
			r.add(NeverMatches, entry, "key %d is empty, or begins or ends with a space", i+1)
		}
		if earlier, ok := seen[k]; ok {
			r.add(Ignored, entry, "keys %d and %d are the same", earlier+1, i+1)
			continue
		}
		seen[k] = i
	}
}

func (r *report) checkLimits(l traffic.Limits) {
	const entry = "limits"
	if l.MaxHeaderBytes <= 0 {
		r.add(Contradiction, entry, "they allow no bytes of header")
	}
	if l.MaxBodyBytes < 0 {
		r.add(Contradiction, entry, "they allow %d bytes of body", l.MaxBodyBytes)
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		r.add(Contradiction, entry, "the time for a header, %s, is longer than the idle time after which a connection is closed, %s", l.HeaderTimeout, l.IdleTimeout)
	}
}

func routeEntry(name string) string { return fmt.Sprintf("route %q", name) }
