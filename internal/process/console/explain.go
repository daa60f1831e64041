package console

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/bilberryvane/bilberryvane/internal/process/trail"
)

// timeLayout is the format of the times of log lines in the output.
const timeLayout = "15:04:05.000"

// LogExplanation is the explanation of one request's refusal from logs.
type LogExplanation struct {
	trail.Explanation
	Unreadable      int    `json:"unreadable-lines"`
	FirstUnreadable string `json:"first-unreadable,omitempty"`
}

// WriteText writes the cause, then the steps of the request in order of time.
func (t LogExplanation) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "Request %s\n%s\n\n", t.Request, t.Cause); err != nil {
		return err
	}
	for _, s := range t.Steps {
		if _, err := fmt.Fprintf(w, "%s  %s: %s\n", s.At.Format(timeLayout), s.Node, s.Text); err != nil {
			return err
		}
	}
	return writeUnreadable(w, t.Unreadable, t.FirstUnreadable)
}

// Causes lists the causes of refusals with their numbers of requests.
type Causes struct {
	Causes          []trail.Cause `json:"causes"`
	Unreadable      int           `json:"unreadable-lines"`
	FirstUnreadable string        `json:"first-unreadable,omitempty"`
}

// WriteText writes a line for each cause.
func (c Causes) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUESTS\tNODES\tREASON\tOUTCOME\tROUTE\tFROM\tTO\tFOR EXAMPLE")
	for _, x := range c.Causes {
		fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", x.Requests, x.Nodes, x.Reason, x.Outcome, x.Route,
			x.First.Format(timeLayout), x.Last.Format(timeLayout), x.Example)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return writeUnreadable(w, c.Unreadable, c.FirstUnreadable)
}

func writeUnreadable(w io.Writer, count int, first string) error {
	if count == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\n%d lines could not be read and were left out, the first of them: %s\n", count, first)
	return err
}

// explainLogs explains one refused request from log files, or lists the causes of all
// refusals.
func explainLogs(a ExplainArguments, stdin io.Reader) (Result, error) {
	if a.Worst == (a.RequestID != "") {
		return nil, fmt.Errorf("explain needs either a request's id or --worst: %w", errBadInput)
	}
	var t trail.Log
	for _, path := range a.Logs {
		if err := readLog(&t, path, stdin); err != nil {
			return nil, err
		}
	}
	if a.Worst {
		return Causes{Causes: t.TopCauses(), Unreadable: t.Unreadable, FirstUnreadable: t.FirstUnreadable}, nil
	}
	story, ok := t.Explain(a.RequestID)
	if !ok {
		return nil, fmt.Errorf("no line of %d files names a refusal of request %q (%d lines unreadable): %w",
			len(a.Logs), a.RequestID, t.Unreadable, errNotFound)
	}
	return LogExplanation{Explanation: story, Unreadable: t.Unreadable, FirstUnreadable: t.FirstUnreadable}, nil
}

func readLog(t *trail.Log, path string, stdin io.Reader) error {
	if path == "-" {
		return t.Read(stdin, "standard input")
	}
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	// The error is ignored because the file is only read.
	defer func() { _ = file.Close() }()
	return t.Read(file, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
}
