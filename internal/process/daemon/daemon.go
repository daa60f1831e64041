// Package daemon implements the command bilberryvaned. It reads the settings, starts a node
// and shuts it down when the context ends.
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

// The exit codes of the command.
const (
	exitFailed   = 1
	exitSettings = 2
)

// Arguments are the command-line arguments of bilberryvaned.
type Arguments struct {
	Settings string `arg:"positional,required" help:"file with the node's settings"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Description returns the description of the command for its help text.
func (Arguments) Description() string {
	return "bilberryvaned is the node of bilberryvane: one process for each backend server host."
}

// Run runs a node until the context ends and then shuts it down within the time limit in
// its settings. With Check set it only checks the settings.
func Run(ctx context.Context, a Arguments, logs io.Writer) error {
	s, err := readSettings(a.Settings)
	if err != nil || a.Check {
		return err
	}
	logger := &log.Logger{Handler: json.New(logs), Level: log.InfoLevel}
	n, err := node.Start(s, node.WithLogger(logger))
	if err != nil {
		return fmt.Errorf("start node: %w", err)
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.Timing.ShutdownTimeout)
	defer cancel()
	if err := n.Shutdown(shutdownCtx); err != nil {
		return fmt.Errorf("shut down node: %w", err)
	}
	return nil
}

// ExitCode returns the exit code for an error of Run: 2 for invalid settings, else 1.
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
	s, err := settings.Parse(file, content)
	if err != nil {
		return settings.Settings{}, fmt.Errorf("check settings: %w", err)
	}
	return s, nil
}
