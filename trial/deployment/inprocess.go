package deployment

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/bilberryvane/bilberryvane/internal/process/node"
	"github.com/bilberryvane/bilberryvane/internal/process/settings"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/trial/backend"
)

// A Fixed is a configuration that does not change.
type Fixed struct{ snapshot configuration.Snapshot }

// Current returns the configuration.
func (f Fixed) Current() (configuration.Snapshot, bool) { return f.snapshot, true }

// KeysUsable reports that the keys are always trusted.
func (f Fixed) KeysUsable() bool { return true }

// ObserveVersion ignores that another version exists.
func (f Fixed) ObserveVersion(uint64) {}

// A Running is one host whose node and backend server run in this process.
type Running struct {
	Host    Host
	Node    *node.Node
	Backend *backend.Server
	cancel  context.CancelFunc
}

// Stop shuts the node down and then ends the backend server.
func (r *Running) Stop() error {
	r.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := r.Node.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down node: %w", err)
	}
	if r.Backend == nil {
		return nil
	}
	if err := r.Backend.Stop(ctx); err != nil {
		return fmt.Errorf("stop backend server: %w", err)
	}
	return nil
}

// StartHost starts the node of a host in this process, and its backend server if
// its settings name a service. The node logs to the given writer.
func (d *Deployment) StartHost(h Host, b backend.Settings, logs io.Writer, options ...node.Option) (*Running, error) {
	content, err := os.ReadFile(h.Settings)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	read, err := settings.Parse(h.Settings, content)
	if err != nil {
		return nil, fmt.Errorf("check settings: %w", err)
	}
	logger := &log.Logger{Handler: json.New(logs), Level: log.InfoLevel}
	options = append([]node.Option{node.WithLogger(logger)}, options...)
	if !d.Layout.Follow {
		source, err := d.Source()
		if err != nil {
			return nil, err
		}
		options = append([]node.Option{node.WithConfiguration(source)}, options...)
	}
	started, err := node.Start(read, options...)
	if err != nil {
		return nil, fmt.Errorf("start node %s: %w", h.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &Running{Host: h, Node: started, cancel: cancel}
	if b.Service == "" {
		return running, nil
	}
	b.Listen = h.Server
	b.Node = h.Backend
	running.Backend, err = backend.Start(ctx, b)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start backend server of %s: %w", h.Name, err)
	}
	return running, nil
}

// Source returns the deployment's configuration as version 1.
func (d *Deployment) Source() (Fixed, error) {
	content, err := os.ReadFile(d.Configuration)
	if err != nil {
		return Fixed{}, fmt.Errorf("read configuration: %w", err)
	}
	snapshot, err := configuration.Parse(d.Configuration, content)
	if err != nil {
		return Fixed{}, fmt.Errorf("check configuration: %w", err)
	}
	return Fixed{snapshot: snapshot.WithVersion(1)}, nil
}
