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
	var lost int
	switch name {
	case "slow":
		lost, err = runSlow(r, trouble)
	default:
		err = fmt.Errorf("no case %q", name)
	}
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.add("%d requests were lost; the rule allows %d", lost, allowedLost)
	fmt.Printf("%d requests were lost; the rule allows %d\n", lost, allowedLost)
	if lost > allowedLost {
		return exitBroken
	}
	return exitHeld
}
