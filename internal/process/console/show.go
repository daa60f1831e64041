package console

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/connection/operator"
	"github.com/bilberryvane/bilberryvane/internal/version/class"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
)

func (c *Console) show(ctx context.Context, a ShowArguments) (Result, error) {
	s, content, err := c.current(ctx)
	if err != nil {
		return nil, err
	}
	switch {
	case a.Targets != nil:
		return targetsOf(s), nil
	case a.Configuration != nil:
		return Configuration{Version: s.Version(), Content: string(content)}, nil
	default:
		return nil, fmt.Errorf("show needs targets or configuration: %w", errBadInput)
	}
}

// current returns the newest configuration on the platform or, while the platform is
// unreachable, the newest that the hosts of the settings hold.
func (c *Console) current(ctx context.Context) (configuration.Snapshot, []byte, error) {
	head, content, err := c.published(ctx)
	version := head.Version
	if err != nil && !errors.Is(err, errBadInput) {
		var newest operator.Configuration
		newest, err = c.newestFromHosts(ctx)
		version, content = newest.Version, []byte(newest.Content)
	}
	if err != nil {
		return configuration.Snapshot{}, nil, err
	}
	s, err := configuration.Parse("configuration", content)
	if err != nil {
		return configuration.Snapshot{}, nil, fmt.Errorf("read version %d: %w", version, err)
	}
	return s.WithVersion(version), content, nil
}

// newestFromHosts returns the newest configuration that a host of the settings holds.
func (c *Console) newestFromHosts(ctx context.Context) (operator.Configuration, error) {
	answers := make([]operator.Configuration, len(c.nodes.seeds))
	c.nodes.forEach(c.nodes.seeds, func(i int, address string) {
		_ = c.nodes.get(ctx, address, operator.ConfigurationPath, &answers[i]) // another host may answer
	})
	var newest operator.Configuration
	for _, a := range answers {
		if a.Version > newest.Version {
			newest = a
		}
	}
	if newest.Version == 0 {
		return newest, fmt.Errorf("ask hosts for their configuration: %w", errUnreachable)
	}
	return newest, nil
}

// Configuration is the content of one version.
type Configuration struct {
	Version uint64 `json:"version"`
	Content string `json:"content"`
}

// WriteText writes the content so that it can be edited and applied again. The version
// in the first line lets apply detect a conflicting change.
func (c Configuration) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s%d\n%s", baseVersionPrefix, c.Version, c.Content)
	return err
}

// Targets lists the request classes with their targets.
type Targets struct {
	Version uint64   `json:"version"`
	Classes []Target `json:"classes"`
}

// A Target is the latency target of a class, with the requests that it applies to.
type Target struct {
	Class      string        `json:"class"`
	Service    string        `json:"service"`
	Method     string        `json:"method,omitempty"`
	PathPrefix string        `json:"path-prefix"`
	Target     time.Duration `json:"target"`
	Importance int           `json:"importance"`
	Idempotent bool          `json:"idempotent"`
	Open       bool          `json:"open"`
}

// targetsOf lists the classes of a configuration in decreasing order of importance.
func targetsOf(s configuration.Snapshot) Targets {
	t := Targets{Version: s.Version()}
	for _, c := range s.Classes() {
		t.Classes = append(t.Classes, Target{
			Class: c.Name, Service: c.Service, Method: c.Method, PathPrefix: c.PathPrefix, Target: c.Target,
			Importance: int(c.Importance), Idempotent: c.Idempotent, Open: c.Open,
		})
	}
	slices.SortStableFunc(t.Classes, func(a, b Target) int { return cmp.Compare(b.Importance, a.Importance) })
	return t
}

// WriteText writes one line for each class.
func (t Targets) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "Version %d. When capacity runs short, the work at the bottom of this list is refused first.\n", t.Version)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CLASS\tSERVICE\tREQUESTS\tANSWERED WITHIN\tIMPORTANCE\tMAY RUN TWICE\tNEEDS A KEY")
	for _, c := range t.Classes {
		method := c.Method
		if method == "" {
			method = "any"
		}
		fmt.Fprintf(table, "%s\t%s\t%s %s\t%s\t%d of %d\t%s\t%s\n", c.Class, c.Service, method, c.PathPrefix,
			c.Target, c.Importance, class.MaxImportance, yesNo(c.Idempotent), yesNo(!c.Open))
	}
	return table.Flush()
}

func yesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
