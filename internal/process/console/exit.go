package console

import (
	"errors"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// The exit codes of the tool, as docs/OPERATORS.md lists them.
const (
	ExitDone = 0
	// ExitFailed means a failure without a code of its own, or findings of a strict check.
	ExitFailed = 1
	// ExitBadInput means that the input is invalid and nothing was applied.
	ExitBadInput = 2
	// ExitConflict means that another change was published first and nothing was applied.
	ExitConflict = 3
	// ExitLagging means that the change was accepted but isn't known to be in force on
	// every host.
	ExitLagging = 4
	// ExitUnreachable means that the platform or the hosts can't be reached and
	// nothing was applied.
	ExitUnreachable = 5
	// ExitUnsettled means that it is unknown whether the change was accepted.
	ExitUnsettled = 6
	// ExitNotFound means that nothing was found.
	ExitNotFound = 7
)

// exitMeanings describes the exit codes, indexed by code.
var exitMeanings = []string{
	ExitDone:        "done",
	ExitFailed:      "failed for a reason without a code of its own, or a strict check found something that is probably not meant",
	ExitBadInput:    "bad input; nothing was applied",
	ExitConflict:    "another change was published first; nothing was applied, and the message names the version in force",
	ExitLagging:     "accepted, but not yet known to be in force on every host; the message names the hosts and availability zones",
	ExitUnreachable: "the platform or the hosts can't be reached; nothing was applied",
	ExitUnsettled:   "unknown whether the change was accepted, because the platform's responses were lost; run the command again",
	ExitNotFound:    "nothing was found",
}

// MarkdownTables returns the tables of the tool's settings and exit codes in
// docs/OPERATORS.md. A test compares that page with them.
func MarkdownTables() (settings, exits string) {
	var b strings.Builder
	b.WriteString("| code | meaning |\n| --- | --- |\n")
	for code, meaning := range exitMeanings {
		fmt.Fprintf(&b, "| %d | %s |\n", code, meaning)
	}
	return settingsSpecs.Markdown(), b.String()
}

// The errors that have exit codes of their own.
var (
	errBadInput    = eris.New("bad input")
	errLagging     = eris.New("the change is accepted, but not yet in force on every host")
	errUnreachable = eris.New("no host could be reached")
	errNotFound    = eris.New("nothing found")
	// errFindings reports that a strict check found parts that are probably not meant.
	errFindings = eris.New("some of the configuration is probably not meant")
)

// ExitCode returns the exit code for an error of Run.
func ExitCode(err error) int {
	var faults document.Faults
	var conflict *distribution.ConflictError
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &faults), errors.Is(err, errBadInput), errors.Is(err, configuration.ErrKeyExists),
		errors.Is(err, configuration.ErrKeyNotFound), errors.Is(err, configuration.ErrAccountNotFound):
		return ExitBadInput
	case errors.As(err, &conflict), errors.Is(err, platform.ErrConflict):
		return ExitConflict
	case errors.Is(err, errLagging):
		return ExitLagging
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return ExitUnsettled
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, errUnreachable):
		return ExitUnreachable
	case errors.Is(err, errNotFound):
		return ExitNotFound
	default:
		return ExitFailed
	}
}
