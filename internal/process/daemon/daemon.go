// Package daemon is the body of the command bilberryvaned: it reads the settings,
// starts a node and shuts it down when told to.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/bilberryvane/bilberryvane/internal/process/node"
	"github.com/bilberryvane/bilberryvane/internal/process/settings"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// The exit codes of the daemon.
const (
	exitFailed   = 1
	exitSettings = 2
)

// Arguments are the command line of the daemon.
type Arguments struct {
	Settings string `arg:"positional,required" help:"file with the node's settings"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Description tells what the command does.
func (Arguments) Description() string {
	return "bilberryvaned is the node of bilberryvane: one process for each backend server host."
}

// Run runs a node until the context ends, then shuts it down.
func Run(ctx context.Context, a Arguments, logs io.Writer) error {
	read, err := readSettings(a.Settings)
	if err != nil || a.Check {
		return err
	}
	logger := &log.Logger{Handler: json.New(logs), Level: log.InfoLevel}
	n, err := node.Start(read, node.WithLogger(logger))
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	<-ctx.Done()
	limited, cancel := context.WithTimeout(context.Background(), read.Timing.Shutdown)
	defer cancel()
	if err := n.Shutdown(limited); err != nil {
		return fmt.Errorf("shut down node: %w", err)
	}
	return nil
}

// ExitCode returns the exit code for an error of Run: 2 for faulty settings, else 1.
func ExitCode(err error) int {
	var faults document.Faults
	if errors.As(err, &faults) {
		return exitSettings
	}
	return exitFailed
}

func readSettings(file string) (settings.Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("read settings: %w", err)
	}
	read, err := settings.Parse(file, content)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return read, nil
}
