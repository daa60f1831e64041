package console

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/bilberryvane/bilberryvane/internal/connection/operator"
	"github.com/bilberryvane/bilberryvane/internal/process/burn"
	"github.com/bilberryvane/bilberryvane/internal/process/burn/chart"
)

// A Status is the state of all hosts.
type Status struct {
	Hosts []HostStatus `json:"hosts"`
}

func (c *Console) status(ctx context.Context) (Result, error) {
	hosts, err := c.nodes.hosts(ctx)
	if err != nil {
		return nil, err
	}
	return Status{Hosts: hosts}, nil
}

// WriteText writes one line for each host.
func (s Status) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tZONE\tSERVICE\tCONFIGURATION\tRUNNING\tSTATE")
	for _, h := range s.Hosts {
		state := "serving"
		switch {
		case !h.Answered:
			state = "no answer"
		case h.Leaving:
			state = "leaving"
		}
		name := h.Host
		if name == "" {
			name = h.Address
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\n", name, orDash(h.Zone), orDash(h.Service), h.version(), h.Running, state)
	}
	return table.Flush()
}

// version describes the version of the configuration on the host.
func (h HostStatus) version() string {
	switch {
	case !h.Answered:
		return "not known"
	case h.ConfigurationVersion == 0:
		return "none"
	default:
		return fmt.Sprintf("version %d", h.ConfigurationVersion)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// RequestExplanation holds the hosts' explanations of one refused request.
type RequestExplanation struct {
	RequestID    string                 `json:"request-id"`
	Explanations []operator.Explanation `json:"explanations"`
}

func (c *Console) explain(ctx context.Context, requestID string) (Result, error) {
	found, err := collect[operator.Explanation](ctx, c.nodes, refusalPath(requestID))
	if err != nil {
		return nil, err
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("no host that answers has refused request %q lately: %w", requestID, errNotFound)
	}
	slices.SortFunc(found, func(a, b operator.Explanation) int { return strings.Compare(a.Host, b.Host) })
	found = slices.CompactFunc(found, func(a, b operator.Explanation) bool { return a.Refusal == b.Refusal })
	return RequestExplanation{RequestID: requestID, Explanations: found}, nil
}

// WriteText writes a sentence for each refusal.
func (e RequestExplanation) WriteText(w io.Writer) error {
	for _, x := range e.Explanations {
		if _, err := fmt.Fprintf(w, "%s\nRefused by host %s, reason %s.\n", x.Sentence, x.Host, x.Reason); err != nil {
			return err
		}
	}
	return nil
}

func (c *Console) burn(ctx context.Context, picture string) (Result, error) {
	reports, err := collect[burn.Report](ctx, c.nodes, operator.BurnPath)
	if err != nil {
		return nil, err
	}
	var all burn.Report
	for _, r := range reports {
		all = all.Merge(r)
	}
	slices.Sort(all.Hosts)
	if picture == "" {
		return all, nil
	}
	file, err := os.Create(picture)
	if err != nil {
		return nil, fmt.Errorf("create picture: %w", err)
	}
	if err := chart.Write(file, all); err != nil {
		file.Close()
		return nil, err
	}
	if err := file.Close(); err != nil {
		return nil, fmt.Errorf("write picture: %w", err)
	}
	return all, nil
}
