package console

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
)

const (
	// baseVersionPrefix starts the first line of the output of show configuration. The
	// version that follows is the base of changes to the file.
	baseVersionPrefix = "# base-version: "
	// publishRetryInterval is the time between two attempts to publish.
	publishRetryInterval = 300 * time.Millisecond
	// rolloutPollInterval is the time between two polls of the hosts.
	rolloutPollInterval = 300 * time.Millisecond
	// minRolloutPolls is the least number of polls before a host is reported as lagging.
	// A host that doesn't answer can use up the whole wait in the first poll.
	minRolloutPolls = 2
)

// apply publishes a configuration file and waits until it is in force on all hosts.
func (c *Console) apply(ctx context.Context, a ApplyArguments) (Result, error) {
	content, err := os.ReadFile(a.File)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w: %w", errBadInput, err)
	}
	if result, err := checkDocument(a.File, content); err != nil {
		return result, err
	}
	fileBase, content, err := splitBase(content)
	if err != nil {
		return nil, err
	}
	zones, err := configuredZones(content)
	if err != nil {
		return nil, err
	}
	head, err := c.registry.Head(ctx)
	if err != nil {
		return nil, fmt.Errorf("look up the version in force: %w", err)
	}
	if head.Version > 0 && head.Digest == sha256.Sum256(content) {
		return c.rollout(ctx, ApplyResult{Version: head.Version, Unchanged: true, expectedZones: zones}, a.Wait)
	}
	base := head.Version
	if fileBase != nil {
		base = *fileBase
	}
	if a.Base != nil {
		base = *a.Base
	}
	head, err = c.publish(ctx, base, content, a.Wait)
	if err != nil {
		return nil, err
	}
	return c.rollout(ctx, ApplyResult{Version: head.Version, expectedZones: zones}, a.Wait)
}

// splitBase returns the base version in the first line of a file, or nil, and the
// content without that line.
func splitBase(content []byte) (*uint64, []byte, error) {
	rest, ok := bytes.CutPrefix(content, []byte(baseVersionPrefix))
	if !ok {
		return nil, content, nil
	}
	line, rest, _ := bytes.Cut(rest, []byte("\n"))
	base, err := strconv.ParseUint(string(bytes.TrimSpace(line)), 10, 64)
	if err != nil {
		return nil, nil, fmt.Errorf("read base version %q: %w: %w", line, errBadInput, err)
	}
	return &base, rest, nil
}

// publish publishes the content as the version after base. While the platform doesn't
// answer, it retries the same change for the given time.
func (c *Console) publish(ctx context.Context, base uint64, content []byte, wait time.Duration) (distribution.Head, error) {
	publishCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	change := distribution.Change{
		ID: uuid.NewString(), Base: base, Content: content,
		Author: c.settings.Operator, Published: c.now(),
	}
	ambiguous := false
	for {
		head, err := c.registry.Publish(publishCtx, change)
		ambiguous = ambiguous || errors.Is(err, platform.ErrOutcomeUnknown)
		if !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			return head, err
		}
		select {
		case <-time.After(publishRetryInterval):
		case <-publishCtx.Done():
			if ambiguous {
				err = fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, err)
			}
			return distribution.Head{}, err
		}
	}
}

// ApplyResult is the progress of a change.
type ApplyResult struct {
	// Version is the version that was accepted.
	Version uint64 `json:"version"`
	// Unchanged reports that the newest version already has this content.
	Unchanged bool `json:"unchanged,omitempty"`
	// Hosts is the number of hosts found, Zones the number of zones with a host that
	// answered.
	Hosts int `json:"hosts"`
	Zones int `json:"zones"`
	// SilentZones are the availability zones of the configuration from which no host
	// answers, because they have none or are partitioned off.
	SilentZones []string `json:"silent-zones,omitempty"`
	// Lagging lists the hosts on which the version isn't known to be in force.
	Lagging []HostStatus `json:"lagging"`
	// Elapsed is the time from acceptance until the last poll of the hosts.
	Elapsed time.Duration `json:"elapsed"`
	// expectedZones are the availability zones of the configuration.
	expectedZones []string
}

// configuredZones returns the availability zones of a configuration.
func configuredZones(content []byte) ([]string, error) {
	s, err := configuration.Parse("configuration", content)
	if err != nil {
		return nil, err
	}
	return s.Zones(), nil
}

// done reports whether the version is in force on all hosts of all zones.
func (a ApplyResult) done() bool { return len(a.Lagging) == 0 && len(a.SilentZones) == 0 }

// rollout waits until a version is in force on every host. After the wait it returns
// errLagging and a result that lists the lagging hosts.
func (c *Console) rollout(ctx context.Context, a ApplyResult, wait time.Duration) (ApplyResult, error) {
	accepted := c.now()
	for polls := 1; ; polls++ {
		hosts, err := c.nodes.hosts(ctx)
		a = a.withHosts(hosts)
		a.Elapsed = c.now().Sub(accepted)
		if err == nil && a.done() {
			return a, nil
		}
		if (a.Elapsed >= wait && polls >= minRolloutPolls) || ctx.Err() != nil {
			return a, errors.Join(errLagging, err)
		}
		select {
		case <-time.After(rolloutPollInterval):
		case <-ctx.Done():
		}
	}
}

// withHosts returns the result updated with the status of the hosts.
func (a ApplyResult) withHosts(hosts []HostStatus) ApplyResult {
	zones := make(map[string]bool)
	a.Lagging, a.SilentZones = nil, nil
	for _, h := range hosts {
		if h.Answered {
			zones[h.Zone] = true
		}
		if !h.Answered || h.ConfigurationVersion < a.Version {
			a.Lagging = append(a.Lagging, h)
		}
	}
	for _, zone := range a.expectedZones {
		if !zones[zone] {
			a.SilentZones = append(a.SilentZones, zone)
		}
	}
	a.Hosts, a.Zones = len(hosts), len(zones)
	return a
}

// WriteText writes the version, and the hosts on which it isn't known to be in force.
func (a ApplyResult) WriteText(w io.Writer) error {
	if a.Unchanged {
		fmt.Fprintf(w, "nothing to change: this is version %d\n", a.Version)
	} else {
		fmt.Fprintf(w, "accepted as version %d\n", a.Version)
	}
	if a.Hosts > 0 && a.done() {
		_, err := fmt.Fprintf(w, "in force on all %d hosts in %d availability zones after %s\n",
			a.Hosts, a.Zones, a.Elapsed.Round(time.Millisecond))
		return err
	}
	if a.Hosts == 0 {
		_, err := fmt.Fprintln(w, "no host could be asked whether it is in force")
		return err
	}
	fmt.Fprintf(w, "not known to be in force on %d of %d hosts after %s:\n", len(a.Lagging), a.Hosts, a.Elapsed.Round(time.Millisecond))
	for _, h := range a.Lagging {
		switch {
		case h.Host == "":
			fmt.Fprintf(w, "  address %s: no answer\n", h.Address)
		case !h.Answered:
			fmt.Fprintf(w, "  host %s in availability zone %s: no answer\n", h.Host, h.Zone)
		default:
			fmt.Fprintf(w, "  host %s in availability zone %s: %s\n", h.Host, h.Zone, h.version())
		}
	}
	for _, zone := range a.SilentZones {
		fmt.Fprintf(w, "  availability zone %s: no host answers\n", zone)
	}
	_, err := fmt.Fprintln(w, "Each takes the version up by itself once it can be reached by others; look again with: bilberryvane status")
	return err
}
