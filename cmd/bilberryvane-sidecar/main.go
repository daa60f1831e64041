// Command bilberryvane-sidecar runs the node on the users' platform, with one process next
// to each backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/sidecar"
	"github.com/bilberryvane/bilberryvane/platform"
)

// The exit codes of the command.
const (
	exitFailed   = 1
	exitSettings = 2
)

// memoryPercent is the share of the process's memory limit that is set as the memory limit
// of the Go runtime. The rest is reserved for memory that the runtime does not count, such
// as socket buffers.
const memoryPercent = 70

// logFlushTimeout is the time limit at exit for writing the remaining log lines to a slow
// reader.
const logFlushTimeout = 200 * time.Millisecond

type arguments struct {
	Check bool `arg:"--check" help:"check the settings and exit"`
}

// Description returns the description of the command for its help text.
func (arguments) Description() string {
	return "bilberryvane-sidecar is the node of bilberryvane on the users' platform: one process beside each backend server."
}

func main() {
	var a arguments
	arg.MustParse(&a)
	s, err := platform.ReadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if a.Check {
		return
	}
	os.Exit(run(s))
}

func run(s sidecar.Settings) int {
	output := event.NewAsyncWriter(os.Stdout)
	defer output.Close(logFlushTimeout)
	logger := &log.Logger{Handler: json.New(output), Level: log.InfoLevel}
	events := event.NewLog(logger.WithField("node", s.Name))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryPercent / 100)
	err := sidecar.Run(ctx, s, sidecar.Deps{
		Store:              platform.NewStore(s.Store),
		Dialect:            platform.Dialect{},
		Endpoints:          platform.Endpoints{Log: events},
		Decode:             platform.Decode,
		ConfigurationTable: platform.ConfigurationTable,
		ConfigurationKey:   platform.ConfigurationKey,
		EvacuatedZone:      platform.EvacuatedZone,
		Clock:              clock.System{},
		Log:                events,
	}, reload, platform.ReadSettings)
	if err != nil {
		return exitFailed
	}
	return 0
}
