package console

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
)

// A Result is the output of a command. It is printed by WriteText, or as JSON of its
// exported fields.
type Result interface {
	WriteText(w io.Writer) error
}

// A Console runs one command.
type Console struct {
	settings Settings
	registry *distribution.Registry
	nodes    *nodeClient
	now      func() time.Time
}

// Run runs the command of the arguments and prints its result. If the command returns
// both a result and an error, the result is printed too.
func Run(ctx context.Context, a Arguments, w io.Writer) error {
	if a.Output != "text" && a.Output != "json" {
		return fmt.Errorf("output %q is neither text nor json: %w", a.Output, errBadInput)
	}
	if a.Check != nil && a.Check.JSON {
		a.Output = "json"
	}
	result, err := dispatch(ctx, a)
	if result == nil {
		return err
	}
	if printErr := writeResult(w, a.Output, result); printErr != nil {
		return printErr
	}
	return err
}

func writeResult(w io.Writer, output string, r Result) error {
	if output == "json" {
		if err := json.NewEncoder(w).Encode(r); err != nil {
			return fmt.Errorf("print result: %w", err)
		}
		return nil
	}
	if err := r.WriteText(w); err != nil {
		return fmt.Errorf("print result: %w", err)
	}
	return nil
}

// dispatch runs the command. It reads the settings only for commands that need them.
func dispatch(ctx context.Context, a Arguments) (Result, error) {
	switch {
	case a.Check != nil:
		return check(ctx, *a.Check, os.Stdin)
	case a.Release != nil:
		return release(), nil
	case a.Explain != nil && len(a.Explain.Logs) > 0:
		return explainLogs(*a.Explain, os.Stdin)
	case a.Explain != nil && (a.Explain.Worst || a.Explain.RequestID == ""):
		return nil, fmt.Errorf("explain needs a request's id, or --worst with --log: %w", errBadInput)
	case a.Authority != nil && a.Authority.Init != nil:
		return initAuthority(*a.Authority.Init, time.Now())
	case a.Authority != nil && a.Authority.Issue != nil:
		return issueCertificate(*a.Authority.Issue, time.Now())
	}
	s, err := ReadSettings(a.Settings)
	if err != nil {
		return nil, err
	}
	c := New(s)
	switch {
	case a.Apply != nil:
		return c.apply(ctx, *a.Apply)
	case a.Show != nil:
		return c.show(ctx, *a.Show)
	case a.Keys != nil:
		return c.keys(ctx, *a.Keys)
	case a.Status != nil:
		return c.status(ctx)
	case a.Explain != nil:
		return c.explain(ctx, a.Explain.RequestID)
	case a.Report != nil && a.Report.Burn != nil:
		return c.burn(ctx, a.Report.Burn.Picture)
	default:
		return nil, fmt.Errorf("no command given; see --help: %w", errBadInput)
	}
}

// New returns a Console for the deployment of the settings.
func New(s Settings) *Console {
	timeout := platform.WithTimeout(s.Timeout)
	return &Console{
		settings: s,
		registry: distribution.NewRegistry(platform.NewTable(s.Platform, timeout), platform.NewObjectStore(s.Platform, timeout)),
		nodes:    newNodeClient(s),
		now:      time.Now,
	}
}

// A Release is the version of this program.
type Release struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
}

func release() Release {
	r := Release{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return r
	}
	r.Version = info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			r.Revision = s.Value
		}
	}
	return r
}

// WriteText writes the release on one line.
func (r Release) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "bilberryvane %s %s\n", r.Version, r.Revision)
	return err
}
