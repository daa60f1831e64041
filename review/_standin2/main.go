// Command standin2 plays the cases of the second review that aren't days of the bench: it
// starts the system's own program beside stand-ins of the platform's store, the upstreams and
// the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// The exit codes of the command.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A testCase is a case of the review.
type testCase struct {
	// run plays the case, with its disruption if trouble is set, and counts what breaks the rule.
	run     func(r *record, trouble bool) (int, error)
	what    string
	allowed int
}

var cases = map[string]testCase{
	"slow": {runSlow, "orders that were passed on ended without an answer", allowedLost},
	"hup":  {runHUP, "requests ran with a key withdrawn more than config-apply before", 0},
	"ids":  {runIDs, "requests ran with another tenant than that of their key", 0},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	found, err := c.run(r, trouble)
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	result := fmt.Sprintf("%d %s; the rule allows %d", found, c.what, c.allowed)
	r.add("%s", result)
	fmt.Println(result)
	if found > c.allowed {
		return exitBroken
	}
	return exitHeld
}
