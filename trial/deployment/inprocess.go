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

// A FixedConfiguration is a configuration source that never changes.
type FixedConfiguration struct{ snapshot configuration.Snapshot }

// Current returns the configuration and true.
func (f FixedConfiguration) Current() (configuration.Snapshot, bool) { return f.snapshot, true }

// KeysUsable returns true: the keys never expire.
func (f FixedConfiguration) KeysUsable() bool { return true }

// ObserveVersion ignores newer versions.
func (f FixedConfiguration) ObserveVersion(uint64) {}

// A RunningHost is a host whose node and backend server run in this process.
type RunningHost struct {
	Host    Host
	Node    *node.Node
	Backend *backend.Server
	cancel  context.CancelFunc
}

// Stop shuts down the node and then the backend server.
func (r *RunningHost) Stop() error {
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

// StartHost starts the node of a host in this process, and also its backend server
// if b.Service is set. The node logs to logs.
func (d *Deployment) StartHost(h Host, b backend.Settings, logs io.Writer, options ...node.Option) (*RunningHost, error) {
	content, err := os.ReadFile(h.SettingsPath)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	parsed, err := settings.Parse(h.SettingsPath, content)
	if err != nil {
		return nil, fmt.Errorf("parse settings: %w", err)
	}
	logger := &log.Logger{Handler: json.New(logs), Level: log.InfoLevel}
	options = append([]node.Option{node.WithLogger(logger)}, options...)
	if !d.Layout.FollowPlatform {
		source, err := d.LoadConfiguration()
		if err != nil {
			return nil, err
		}
		options = append([]node.Option{node.WithConfiguration(source)}, options...)
	}
	started, err := node.Start(parsed, options...)
	if err != nil {
		return nil, fmt.Errorf("start node %s: %w", h.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &RunningHost{Host: h, Node: started, cancel: cancel}
	if b.Service == "" {
		return running, nil
	}
	b.Listen = h.ServerAddress
	b.Node = h.BackendAddress
	running.Backend, err = backend.Start(ctx, b)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("start backend server of %s: %w", h.Name, err)
	}
	return running, nil
}

// LoadConfiguration reads the deployment's configuration file as version 1.
func (d *Deployment) LoadConfiguration() (FixedConfiguration, error) {
	content, err := os.ReadFile(d.ConfigurationPath)
	if err != nil {
		return FixedConfiguration{}, fmt.Errorf("read configuration: %w", err)
	}
	snapshot, err := configuration.Parse(d.ConfigurationPath, content)
	if err != nil {
		return FixedConfiguration{}, fmt.Errorf("parse configuration: %w", err)
	}
	return FixedConfiguration{snapshot: snapshot.WithVersion(1)}, nil
}
