// Command _standin plays the cases of the review that are scripts: it starts the project's
// nodes as processes, and plays the platform, the upstreams and the clients beside them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// A play runs a case and reports whether the rule was broken.
type play func(f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"slow-reader": playSlowReader,
	"uploads":     playUploads,
	"leavers":     playLeavers,
	"crasher":     playCrasher,
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _standin slow-reader|uploads|leavers|crasher FOLDER, in the repository's root")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(p play, folder string, trouble bool) int {
	root, err := os.Getwd()
	if err != nil {
		return notRun(err)
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun(err)
	}
	f, err := newFleet(root, rec)
	if err != nil {
		return notRun(err)
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(exitNotRun)
	}()
	rec.logf("trouble: %v", trouble)
	broken, err := p(f, trouble)
	switch {
	case err != nil:
		rec.logf("not run: %v", err)
		return notRun(err)
	case broken:
		rec.logf("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return exitHeld
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "not run:", err)
	return exitNotRun
}
