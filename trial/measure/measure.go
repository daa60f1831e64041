// Package measure turns the results of a load and the backend servers' records
// into the project's measures: goodput, recovery time, the worst-served client
// account, wrongful refusals, and proofs that no work was lost or run twice.
package measure

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/bilberryvane/bilberryvane/trial/fleet"
	"github.com/bilberryvane/bilberryvane/trial/load"
)

// window is the length of the windows that recovery is measured in.
const window = 250 * time.Millisecond

// Goodput returns the good answers a second between two times of a load.
func Goodput(results []load.Result, targets map[string]time.Duration, from, until time.Duration) float64 {
	good := 0
	for _, r := range results {
		if r.Start >= from && r.Start < until && r.Good(targets[r.Class]) {
			good++
		}
	}
	return float64(good) / (until - from).Seconds()
}

// Share returns the part of the requests sent between two times that were
// answered right and in time; 1 where none were sent.
func Share(results []load.Result, targets map[string]time.Duration, from, until time.Duration) float64 {
	sent, good := 0, 0
	for _, r := range Between(results, from, until) {
		sent++
		if r.Good(targets[r.Class]) {
			good++
		}
	}
	if sent == 0 {
		return 1
	}
	return float64(good) / float64(sent)
}

// Recovery returns how long after a trigger's end the share of good answers was
// back at the given one for good: the end of the last window below it. False if
// it never was. Shares, unlike rates, are not moved by the chance of arrivals.
func Recovery(results []load.Result, targets map[string]time.Duration, end, until time.Duration, share float64) (time.Duration, bool) {
	recovered := end
	for from := end; from+window <= until; from += window {
		if Share(results, targets, from, from+window) < share {
			recovered = from + window
		}
	}
	return recovered - end, recovered+window <= until
}

// An Account is how one client account fared.
type Account struct {
	Name     string
	Sent     int
	Good     int
	Refused  int
	Wrongful int
}

// Share returns the part of the account's requests that were answered in time.
func (a Account) Share() float64 { return float64(a.Good) / math.Max(1, float64(a.Sent)) }

// Accounts returns how each account fared, the worst-served first. Inside tells
// which accounts kept to their rate; a rate refusal of such a one is wrongful.
func Accounts(results []load.Result, targets map[string]time.Duration, inside map[string]bool) []Account {
	byName := map[string]*Account{}
	for _, r := range results {
		a := byName[r.Account]
		if a == nil {
			a = &Account{Name: r.Account}
			byName[r.Account] = a
		}
		a.Sent++
		switch {
		case r.Good(targets[r.Class]):
			a.Good++
		case r.Reason != "":
			a.Refused++
		}
		if inside[r.Account] && (r.Reason == "rate-exceeded" || r.Reason == "rate-unavailable") {
			a.Wrongful++
		}
	}
	accounts := make([]Account, 0, len(byName))
	for _, a := range byName {
		accounts = append(accounts, *a)
	}
	sort.Slice(accounts, func(i, j int) bool { return accounts[i].Share() < accounts[j].Share() })
	return accounts
}

// Violations compares what callers were told with what the backend servers ran.
// Once names the streams whose requests may run at most once; service is the one
// that the streams call.
func Violations(results []load.Result, runs []fleet.Run, service string, once []string) []string {
	ran := map[string]int{}
	for _, r := range runs {
		if r.Service == service {
			ran[r.Key]++
		}
	}
	var found []string
	for _, r := range results {
		n := ran[r.Key]
		switch {
		case r.Wrong:
			found = append(found, fmt.Sprintf("%s: the answer belonged to another request", r.Key))
		case slices.Contains(once, r.Stream) && n > 1:
			found = append(found, fmt.Sprintf("%s: ran %d times", r.Key, n))
		case r.Err == nil && r.Status == 200 && n == 0:
			found = append(found, fmt.Sprintf("%s: answered, but no backend server ran it", r.Key))
		case slices.Contains(once, r.Stream) && r.Outcome == "not-run" && n > 0:
			found = append(found, fmt.Sprintf("%s: refused as not run (%s), but it ran", r.Key, r.Reason))
		}
	}
	return found
}

// Reasons counts the refusals by reason, and requests without an answer.
func Reasons(results []load.Result) map[string]int {
	counts := map[string]int{}
	for _, r := range results {
		switch {
		case r.Err != nil:
			counts["no-answer"]++
		case r.Reason != "":
			counts[r.Reason+"/"+r.Outcome]++
		case r.Status != 200:
			counts[fmt.Sprintf("status-%d", r.Status)]++
		}
	}
	return counts
}

// Between returns the results of requests sent between two times of a load.
func Between(results []load.Result, from, until time.Duration) []load.Result {
	var found []load.Result
	for _, r := range results {
		if r.Start >= from && r.Start < until {
			found = append(found, r)
		}
	}
	return found
}

// InTime returns the share of the requests of some classes answered in time.
func InTime(results []load.Result, targets map[string]time.Duration, classes []string) float64 {
	sent, good := 0, 0
	for _, r := range results {
		if !slices.Contains(classes, r.Class) {
			continue
		}
		sent++
		if r.Good(targets[r.Class]) {
			good++
		}
	}
	return float64(good) / math.Max(1, float64(sent))
}

// Wasted returns the share of backend runs done for requests that got no good
// answer, over all services of the chain.
func Wasted(results []load.Result, runs []fleet.Run, targets map[string]time.Duration) float64 {
	good := map[string]bool{}
	for _, r := range results {
		good[r.Key] = r.Good(targets[r.Class])
	}
	wasted, total := 0, 0
	for _, r := range runs {
		isGood, known := good[r.Key]
		if !known {
			continue
		}
		total++
		if !isGood {
			wasted++
		}
	}
	return float64(wasted) / math.Max(1, float64(total))
}
