package console

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"unicode/utf8"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/retrybudget"
	"github.com/bilberryvane/bilberryvane/internal/process/sidecar"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
	"github.com/bilberryvane/bilberryvane/internal/version/review"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
	userplatform "github.com/bilberryvane/bilberryvane/platform"
)

const (
	// maxConfigurationBytes bounds the size of a configuration that is checked.
	maxConfigurationBytes = 32 << 20
	// standardInput is the name of standard input as a file.
	standardInput = "-"
)

// CheckResult summarizes a valid configuration, or lists the faults of an invalid one.
type CheckResult struct {
	File     string          `json:"file"`
	Services int             `json:"services"`
	Classes  int             `json:"classes"`
	Accounts int             `json:"accounts"`
	Keys     int             `json:"keys"`
	Faults   document.Faults `json:"faults,omitempty"`
}

// WriteText writes a one-line summary of a valid configuration. Faults are printed as
// the command's error.
func (c CheckResult) WriteText(w io.Writer) error {
	if len(c.Faults) > 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "%s is sound: %d services, %d classes, %d client accounts, %d keys\n",
		c.File, c.Services, c.Classes, c.Accounts, c.Keys)
	return err
}

// ReviewResult is the review of a configuration of the users' platform.
type ReviewResult struct {
	File     string `json:"file"`
	Version  uint64 `json:"version"`
	Services int    `json:"services"`
	Routes   int    `json:"routes"`
	Accounts int    `json:"accounts"`
	// Errors are the reasons for which hosts would reject it.
	Errors []string `json:"errors,omitempty"`
	// Findings are parts that are probably not meant.
	Findings []review.Finding `json:"findings,omitempty"`
	// Compared reports whether InForceVersion and Changes are set.
	Compared       bool            `json:"compared"`
	InForceVersion uint64          `json:"in-force-version,omitempty"`
	Changes        []review.Change `json:"changes,omitempty"`
}

// WriteText writes the findings and changes, one on a line, after a summary. Errors are
// printed as the command's error.
func (r ReviewResult) WriteText(w io.Writer) error {
	if len(r.Errors) > 0 {
		return nil
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s is valid: version %d with %d services, %d routes, %d client accounts\n",
		r.File, r.Version, r.Services, r.Routes, r.Accounts)
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "  %s\n", f)
	}
	switch {
	case r.Compared && len(r.Changes) == 0:
		fmt.Fprintf(&b, "nothing differs from version %d, which is in force\n", r.InForceVersion)
	case r.Compared:
		fmt.Fprintf(&b, "%d differences from version %d, which is in force:\n", len(r.Changes), r.InForceVersion)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&b, "  %s\n", c)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// check validates a configuration without applying it. One of the users' platform is a JSON
// object; all others are documents of the product's own format.
func check(ctx context.Context, a CheckArguments, input io.Reader) (Result, error) {
	content, err := readConfiguration(a.File, input)
	if err != nil {
		return rejected(a, err)
	}
	if json.Valid(content) || bytes.HasPrefix(bytes.TrimSpace(content), []byte("{")) {
		return reviewConfiguration(ctx, a, content)
	}
	switch {
	case a.InForce != "" || a.Store != "" || a.NodeSettings != "" || a.Strict:
		err = fmt.Errorf("%s is not a configuration of the users' platform, for which alone --in-force, --store, --node-settings and --strict are: %w", a.File, errBadInput)
		return rejected(a, err)
	case !sectionHead.Match(content):
		return rejected(a, fmt.Errorf("%s is neither a JSON object nor has it a section: %w", a.File, errBadInput))
	}
	return checkDocument(a.File, content)
}

// sectionHead matches a line that begins a section of the product's own format.
var sectionHead = regexp.MustCompile(`(?m)^\s*\[`)

// rejected returns the result for a file that can't be reviewed.
func rejected(a CheckArguments, err error) (Result, error) {
	return ReviewResult{File: a.File, Errors: strings.Split(err.Error(), "\n")}, err
}

// byteOrderMark is what some editors put before a text.
var byteOrderMark = []byte("\xef\xbb\xbf")

// readConfiguration reads a configuration from a file or from standard input.
func readConfiguration(file string, input io.Reader) ([]byte, error) {
	if file != standardInput {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w: %w", errBadInput, err)
		}
		defer f.Close()
		input = f
	}
	content, err := io.ReadAll(io.LimitReader(input, maxConfigurationBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("read configuration: %w: %w", errBadInput, err)
	case len(content) > maxConfigurationBytes:
		return nil, fmt.Errorf("%s is larger than %d MiB: %w", file, maxConfigurationBytes>>20, errBadInput)
	case len(bytes.TrimSpace(content)) == 0:
		return nil, fmt.Errorf("%s is empty: %w", file, errBadInput)
	case bytes.HasPrefix(content, byteOrderMark):
		return nil, fmt.Errorf("%s begins with a byte order mark, which hosts reject: %w", file, errBadInput)
	case !utf8.Valid(content) || bytes.IndexByte(content, 0) >= 0:
		return nil, fmt.Errorf("%s is not text: %w", file, errBadInput)
	}
	return content, nil
}

func checkDocument(file string, content []byte) (Result, error) {
	s, err := configuration.Parse(file, content)
	var faults document.Faults
	if errors.As(err, &faults) {
		return CheckResult{File: file, Faults: faults}, faults
	}
	if err != nil {
		return nil, fmt.Errorf("check configuration: %w", err)
	}
	return CheckResult{
		File: file, Services: len(s.Services()), Classes: len(s.Classes()),
		Accounts: len(s.Accounts()), Keys: len(s.Keys()),
	}, nil
}

// reviewConfiguration checks a configuration of the users' platform as its hosts do, reviews
// it and compares it with the one in force, if one is named.
func reviewConfiguration(ctx context.Context, a CheckArguments, content []byte) (Result, error) {
	next, err := userplatform.Decode(content)
	if err != nil {
		if line := faultyLine(content, err); line > 0 {
			err = fmt.Errorf("line %d: %w", line, err)
		}
		return ReviewResult{File: a.File, Errors: strings.Split(err.Error(), "\n")}, fmt.Errorf("check %s: %w: %w", a.File, errBadInput, err)
	}
	r := ReviewResult{
		File: a.File, Version: next.Version(), Services: len(next.Services()), Routes: len(next.Routes()),
		Accounts: len(next.Accounts()), Findings: append(review.Check(next), review.CheckAttempts(next, relay.MaxTries)...),
	}
	inForce, err := configurationInForce(ctx, a)
	if err != nil {
		return rejected(a, err)
	}
	if a.NodeSettings != "" {
		budget, err := retryBudget(a.NodeSettings)
		if err != nil {
			return rejected(a, err)
		}
		r.Findings = append(r.Findings, review.CheckRetries(next, budget)...)
	}
	if inForce != nil {
		r.Compared, r.InForceVersion = true, inForce.Version()
		r.Changes = review.Compare(inForce, next)
		r.Findings = append(r.Findings, review.CheckVersion(inForce, next)...)
	}
	if a.Strict && len(r.Findings) > 0 {
		return r, fmt.Errorf("%s has %d findings: %w", a.File, len(r.Findings), errFindings)
	}
	return r, nil
}

// faultyLine returns the line on which JSON is malformed, or zero if the error isn't about that.
func faultyLine(content []byte, err error) int {
	var offset int64
	var malformed *json.SyntaxError
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &malformed):
		offset = malformed.Offset
	case errors.As(err, &mistyped):
		offset = mistyped.Offset
	default:
		return 0
	}
	return 1 + bytes.Count(content[:min(offset, int64(len(content)))], []byte("\n"))
}

// retryBudget returns the retry budget that a node with a settings file uses.
func retryBudget(file string) (review.RetryBudget, error) {
	content, err := readConfiguration(file, nil)
	if err != nil {
		return review.RetryBudget{}, err
	}
	s, err := sidecar.ParseSettings(file, content)
	if err != nil {
		return review.RetryBudget{}, fmt.Errorf("check the settings of the node: %w", err)
	}
	b := retrybudget.Usable(admission.RetryBounds{Share: s.Retries.Share, Reserve: float64(s.Retries.Reserve), Window: s.Retries.Window})
	return review.RetryBudget{Share: b.Share, Reserve: b.Reserve}, nil
}

// configurationInForce returns the configuration to compare with, or nil if none is named.
func configurationInForce(ctx context.Context, a CheckArguments) (*traffic.Snapshot, error) {
	var content []byte
	switch {
	case a.InForce != "" && a.Store != "":
		return nil, fmt.Errorf("--in-force and --store exclude each other: %w", errBadInput)
	case a.InForce == standardInput:
		return nil, fmt.Errorf("only the configuration to check can come from standard input: %w", errBadInput)
	case a.InForce != "":
		read, err := readConfiguration(a.InForce, nil)
		if err != nil {
			return nil, err
		}
		content = read
	case a.Store != "":
		rows, err := userplatform.NewStore(a.Store).Read(ctx, userplatform.ConfigurationTable)
		if err != nil {
			return nil, fmt.Errorf("read the configuration in force: %w: %w", errUnreachable, err)
		}
		for _, row := range rows.Rows {
			if row.Key == userplatform.ConfigurationKey {
				content = row.Value
			}
		}
		if content == nil {
			return nil, fmt.Errorf("the store at %s holds no configuration: %w", a.Store, errNotFound)
		}
	default:
		return nil, nil
	}
	s, err := userplatform.Decode(content)
	if err != nil {
		return nil, fmt.Errorf("decode the configuration in force: %w: %w", errBadInput, err)
	}
	return s, nil
}
