// Package measure computes the metrics of a trial from the results of the load and
// the run logs of the backend servers: goodput, recovery time, the worst-served
// client account and wrongful refusals. It also checks that no work was lost or
// executed twice.
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

// recoveryWindow is the length of the windows in which recovery is measured.
const recoveryWindow = 250 * time.Millisecond

// Goodput returns the good responses per second to requests sent in [from, until).
// Targets holds the latency target of each class.
func Goodput(results []load.Result, targets map[string]time.Duration, from, until time.Duration) float64 {
	good := 0
	for _, r := range results {
		if r.Start >= from && r.Start < until && r.Good(targets[r.Class]) {
			good++
		}
	}
	return float64(good) / (until - from).Seconds()
}

// GoodShare returns the fraction of requests sent in [from, until) that got a good
// response, or 1 if none were sent.
func GoodShare(results []load.Result, targets map[string]time.Duration, from, until time.Duration) float64 {
	sent, good := 0, 0
	for _, r := range SentBetween(results, from, until) {
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

// RecoveryTime returns the time from a trigger's end until the share of good
// responses stays at or above the given share: the end of the last window below it.
// It returns false if the share does not recover before until. It uses shares
// because rates vary with the random arrivals.
func RecoveryTime(results []load.Result, targets map[string]time.Duration, end, until time.Duration, share float64) (time.Duration, bool) {
	recovered := end
	for from := end; from+recoveryWindow <= until; from += recoveryWindow {
		if GoodShare(results, targets, from, from+recoveryWindow) < share {
			recovered = from + recoveryWindow
		}
	}
	return recovered - end, recovered+recoveryWindow <= until
}

// An AccountResult holds the results of one client account.
type AccountResult struct {
	Name             string
	Sent             int
	Good             int
	Refused          int
	WrongfulRefusals int
}

// GoodShare returns the fraction of the account's requests that got a good response.
func (a AccountResult) GoodShare() float64 { return float64(a.Good) / math.Max(1, float64(a.Sent)) }

// AccountResults returns the results by account, the lowest good share first. The
// map withinRate holds the accounts that stayed within their rate limit; a rate
// refusal of such an account is wrongful.
func AccountResults(results []load.Result, targets map[string]time.Duration, withinRate map[string]bool) []AccountResult {
	byName := map[string]*AccountResult{}
	for _, r := range results {
		a := byName[r.Account]
		if a == nil {
			a = &AccountResult{Name: r.Account}
			byName[r.Account] = a
		}
		a.Sent++
		switch {
		case r.Good(targets[r.Class]):
			a.Good++
		case r.Reason != "":
			a.Refused++
		}
		if withinRate[r.Account] && (r.Reason == "rate-exceeded" || r.Reason == "rate-unavailable") {
			a.WrongfulRefusals++
		}
	}
	accounts := make([]AccountResult, 0, len(byName))
	for _, a := range byName {
		accounts = append(accounts, *a)
	}
	sort.Slice(accounts, func(i, j int) bool { return accounts[i].GoodShare() < accounts[j].GoodShare() })
	return accounts
}

// Violations checks the responses to callers against the executions by the backend
// servers, and describes each contradiction. The requests of the streams in once may
// be executed at most once; service is the service that the streams call.
func Violations(results []load.Result, runs []fleet.Run, service string, once []string) []string {
	runCounts := map[string]int{}
	for _, r := range runs {
		if r.Service == service {
			runCounts[r.Key]++
		}
	}
	var found []string
	for _, r := range results {
		n := runCounts[r.Key]
		switch {
		case r.WrongResponse:
			found = append(found, fmt.Sprintf("%s: the response belonged to another request", r.Key))
		case slices.Contains(once, r.Stream) && n > 1:
			found = append(found, fmt.Sprintf("%s: executed %d times", r.Key, n))
		case r.Err == nil && r.Status == 200 && n == 0:
			found = append(found, fmt.Sprintf("%s: succeeded, but no backend server executed it", r.Key))
		case slices.Contains(once, r.Stream) && r.Outcome == "not-run" && n > 0:
			found = append(found, fmt.Sprintf("%s: refused as not executed (%s), but it was executed", r.Key, r.Reason))
		}
	}
	return found
}

// CountReasons counts the failed requests: refusals by reason and outcome, other
// failures by status, and requests without a response.
func CountReasons(results []load.Result) map[string]int {
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

// SentBetween returns the results of requests sent in [from, until).
func SentBetween(results []load.Result, from, until time.Duration) []load.Result {
	var found []load.Result
	for _, r := range results {
		if r.Start >= from && r.Start < until {
			found = append(found, r)
		}
	}
	return found
}

// ClassGoodShare returns the fraction of the requests of the given classes that got a
// good response, or 0 if there were none.
func ClassGoodShare(results []load.Result, targets map[string]time.Duration, classes []string) float64 {
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

// WastedShare returns the fraction of executions, over all services of the chain, that
// belong to requests without a good response.
func WastedShare(results []load.Result, runs []fleet.Run, targets map[string]time.Duration) float64 {
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
