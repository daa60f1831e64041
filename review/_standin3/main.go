// Command standin3 plays the scripts of the third review against the real program. It stands
// in for the platform's store, the operator, the upstreams and the clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is the longest time that a case may take.
const maxTime = 110 * time.Second

var (
	recordMu   sync.Mutex
	recordFile *os.File
	startedAt  = time.Now()
	// current is the cluster that fatal has to stop.
	current *cluster
)

// record writes a line to the record of the case.
func record(format string, values ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%8.3f s  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// fatal ends a case that can't run.
func fatal(err error) {
	record("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	if current != nil {
		current.stop()
	}
	os.Exit(exitNotRun)
}

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file to write")
	flag.Parse()
	cases := map[string]func(trouble bool) (broken bool){"status": status, "bodies": bodies, "fields": fields, "leave": leave, "keys": keys, "crash": crash}
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		os.Exit(exitNotRun)
	}
	var err error
	if recordFile, err = os.Create(*path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { fatal(fmt.Errorf("ended by %v", <-ended)) }()
	time.AfterFunc(maxTime, func() { fatal(errors.New("it takes too long")) })
	broken := play(os.Getenv("TROUBLE") != "0")
	current.stop()
	if broken {
		record("the rule was broken")
		os.Exit(exitBroken)
	}
	record("the rule held")
	os.Exit(exitHeld)
}
