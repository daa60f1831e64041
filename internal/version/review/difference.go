package review

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

// A Change is one difference between two configurations.
type Change struct {
	// Entry names what is added, removed or changed.
	Entry string `json:"entry"`
	// Text says how, in a few words. It never contains a key.
	Text string `json:"text"`
}

// String returns the change on one line.
func (c Change) String() string { return c.Entry + ": " + c.Text }

// Compare returns what changes if next replaces the configuration in force, sorted by entry.
func Compare(inForce, next *traffic.Snapshot) []Change {
	var changes []Change
	changes = append(changes, compareByName(inForce.Routes(), next.Routes(), "route",
		func(r traffic.Route) string { return r.Name }, routeAspects)...)
	changes = append(changes, compareByName(inForce.Services(), next.Services(), "service",
		func(s traffic.Service) string { return s.Name }, serviceAspects)...)
	changes = append(changes, compareByName(inForce.Accounts(), next.Accounts(), "client account",
		func(a traffic.Account) string { return a.Name }, accountAspects)...)
	for _, a := range next.Accounts() {
		if before, ok := inForce.Account(a.Name); ok {
			changes = append(changes, compareKeys(before, a)...)
		}
	}
	for _, text := range differences(limitAspects(inForce.Limits()), limitAspects(next.Limits())) {
		changes = append(changes, Change{Entry: "limits", Text: text})
	}
	for _, text := range differences(keyAspects(inForce), keyAspects(next)) {
		changes = append(changes, Change{Entry: "client accounts", Text: text})
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Entry, b.Entry), cmp.Compare(a.Text, b.Text))
	})
	return changes
}

// An aspect is a part of an entry, as it is shown to operators.
type aspect struct{ name, value string }

// compareByName compares entries of one kind by their names and aspects.
func compareByName[T any](before, after []T, kind string, name func(T) string, aspects func(T) []aspect) []Change {
	known := make(map[string]T, len(before))
	for _, e := range before {
		known[name(e)] = e
	}
	var changes []Change
	for _, e := range after {
		entry := fmt.Sprintf("%s %q", kind, name(e))
		old, ok := known[name(e)]
		if !ok {
			changes = append(changes, Change{Entry: entry, Text: "added"})
			continue
		}
		delete(known, name(e))
		for _, text := range differences(aspects(old), aspects(e)) {
			changes = append(changes, Change{Entry: entry, Text: text})
		}
	}
	for removed := range known {
		changes = append(changes, Change{Entry: fmt.Sprintf("%s %q", kind, removed), Text: "removed"})
	}
	return changes
}

// differences describes the aspects that differ; both lists have the same names.
func differences(before, after []aspect) []string {
	var texts []string
	for i, a := range after {
		if b := before[i]; a.value != b.value {
			texts = append(texts, fmt.Sprintf("%s was %s, becomes %s", a.name, b.value, a.value))
		}
	}
	return texts
}

func routeAspects(r traffic.Route) []aspect {
	var destinations []string
	for _, d := range r.Destinations {
		destinations = append(destinations, fmt.Sprintf("%s (%g)", d.Service, d.Weight))
	}
	return []aspect{
		{"host", fmt.Sprintf("%q", strings.ToLower(r.Host))},
		{"prefix", fmt.Sprintf("%q", r.PathPrefix)},
		{"split", strings.Join(destinations, ", ")},
		{"repeatable", fmt.Sprint(r.Idempotent)},
		{"open", fmt.Sprint(r.Open)},
		{"timeout", r.Timeout.String()},
		{"target", r.Target.String()},
		{"attempts", fmt.Sprint(r.MaxAttempts)},
		{"priority", fmt.Sprint(r.Priority)},
	}
}

func serviceAspects(s traffic.Service) []aspect {
	return []aspect{
		{"health path", fmt.Sprintf("%q", s.HealthPath)},
		{"connections", fmt.Sprint(s.MaxConnections)},
		{"time for which backend servers are cold", s.ColdTime.String()},
		{"requests a second to a cold backend server", fmt.Sprintf("%g", s.ColdRate)},
	}
}

func accountAspects(a traffic.Account) []aspect {
	priority := "that of the route"
	if a.HasPriority {
		priority = fmt.Sprint(a.Priority)
	}
	return []aspect{
		{"rate", fmt.Sprintf("%g a second", a.Rate)},
		{"burst", fmt.Sprintf("%g", a.Burst)},
		{"priority", priority},
	}
}

func keyAspects(s *traffic.Snapshot) []aspect {
	return []aspect{{"key required", fmt.Sprint(s.RequiresKeys())}}
}

func limitAspects(l traffic.Limits) []aspect {
	return []aspect{
		{"header bytes", fmt.Sprint(l.MaxHeaderBytes)},
		{"body bytes", fmt.Sprint(l.MaxBodyBytes)},
		{"header time", l.HeaderTimeout.String()},
		{"idle time", l.IdleTimeout.String()},
	}
}

// compareKeys counts the keys that change, which are secret.
func compareKeys(before, after traffic.Account) []Change {
	entry := fmt.Sprintf("client account %q", after.Name)
	var changes []Change
	if n := countMissing(after.Keys, before.Keys); n > 0 {
		changes = append(changes, Change{Entry: entry, Text: fmt.Sprintf("keys given: %d", n)})
	}
	if n := countMissing(before.Keys, after.Keys); n > 0 {
		changes = append(changes, Change{Entry: entry, Text: fmt.Sprintf("keys withdrawn: %d", n)})
	}
	return changes
}

// countMissing returns the number of keys that are not among others.
func countMissing(keys, others []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}
