// Package fleet runs a deployment as separate processes on loopback, for trials.
// It signals only processes that it started.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/connection/operator"
	"github.com/bilberryvane/bilberryvane/internal/process/burn"
	"github.com/bilberryvane/bilberryvane/trial/deployment"
)

const (
	// readyTimeout limits the wait until a fleet is ready.
	readyTimeout = 30 * time.Second
	// readyPollInterval is the time between readiness checks.
	readyPollInterval = 100 * time.Millisecond
	// stopTimeout is the time after which a process that does not exit is killed.
	stopTimeout = 20 * time.Second
)

// A ServerSpec configures the backend servers of a service.
type ServerSpec struct {
	Slots       int
	Connections int
	ServiceTime time.Duration
	ColdStart   time.Duration
	// Calls are request paths of other services that are called for each request.
	Calls []string
	// CrashOnPoison makes a request with the poison marker in its body end the process.
	CrashOnPoison bool
}

// A Host is a host with its two processes: node and backend server.
type Host struct {
	deployment.Host
	node    *exec.Cmd
	backend *exec.Cmd
	// RunLog is the path of the file to which the backend server logs the requests that
	// it executes.
	RunLog string
}

// A Fleet is a running deployment.
type Fleet struct {
	Deployment *deployment.Deployment
	Hosts      []*Host
	// programs is the directory of the executables, directory that of the
	// deployment's files.
	programs  string
	directory string
	servers   map[string]ServerSpec
	platform  *exec.Cmd
	direct    bool
}

// An Option configures a Fleet.
type Option func(*Fleet)

// WithDirect makes the fleet run without nodes: the backend servers call one
// another directly.
func WithDirect(direct bool) Option { return func(f *Fleet) { f.direct = direct } }

// Start plans a deployment, writes its files to directory and starts its processes
// with the executables in the directory programs. The map servers configures the
// backend servers by service.
func Start(programs, directory string, l deployment.Layout, servers map[string]ServerSpec, options ...Option) (*Fleet, error) {
	d, err := deployment.Plan(directory, l)
	if err != nil {
		return nil, fmt.Errorf("plan deployment: %w", err)
	}
	f := &Fleet{Deployment: d, programs: programs, directory: directory, servers: servers}
	for _, o := range options {
		o(f)
	}
	f.stopOnSignal()
	f.platform, err = f.start("platform", "trial-platform", "--listen", d.Layout.PlatformAddress)
	if err != nil {
		return nil, err
	}
	if err := d.Publish(); err != nil {
		f.Stop()
		return nil, err
	}
	for _, h := range d.Hosts {
		host := &Host{Host: h, RunLog: filepath.Join(directory, h.Name+".runs")}
		f.Hosts = append(f.Hosts, host)
		if err := f.StartHost(host); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// stopOnSignal ends all processes when the trial receives SIGTERM or SIGINT.
func (f *Fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		f.Stop()
		os.Exit(1)
	}()
}

// StartHost starts the processes of a host.
func (f *Fleet) StartHost(h *Host) error {
	if err := f.startNode(h); err != nil {
		return err
	}
	s := f.servers[h.Service]
	arguments := []string{
		"--service", h.Service, "--listen", h.ServerAddress, "--node", h.BackendAddress, "--runs", h.RunLog,
		"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.Connections),
		"--service-time", s.ServiceTime.String(), "--cold-start", s.ColdStart.String(),
	}
	if s.CrashOnPoison {
		arguments = append(arguments, "--crashes")
	}
	if len(s.Calls) > 0 {
		arguments = append(append(arguments, "--calls"), s.Calls...)
	}
	if f.direct {
		arguments = append(append(arguments, "--direct"), f.directAddresses()...)
	}
	var err error
	h.backend, err = f.start(h.Name+"-backend", "trial-backend", arguments...)
	return err
}

// startNode starts the node of a host, unless the fleet runs without nodes.
func (f *Fleet) startNode(h *Host) error {
	if f.direct {
		return nil
	}
	var err error
	h.node, err = f.start(h.Name+"-node", "bilberryvaned", h.SettingsPath)
	return err
}

// directAddresses returns all backend servers in the form service=address.
func (f *Fleet) directAddresses() []string {
	var addresses []string
	for _, h := range f.Deployment.Hosts {
		addresses = append(addresses, h.Service+"="+h.ServerAddress)
	}
	return addresses
}

// DirectRoute returns the addresses of the backend servers for a request path, and
// the path without the service.
func (f *Fleet) DirectRoute(path string) ([]string, string) {
	var addresses []string
	service := ServiceOf(path)
	for _, h := range f.Deployment.HostsOf(service) {
		addresses = append(addresses, h.ServerAddress)
	}
	return addresses, strings.TrimPrefix(path, "/"+service)
}

// ServiceOf returns the service of a request path: its first element.
func ServiceOf(path string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return service
}

// start starts a program and appends its output to the file NAME.log.
func (f *Fleet) start(name, program string, arguments ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(f.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log file of %s: %w", name, err)
	}
	defer out.Close()
	command := exec.Command(filepath.Join(f.programs, program), arguments...)
	command.Stdout = out
	command.Stderr = out
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	return command, nil
}

// Kill kills both processes of a host, to simulate the loss of the host.
func (f *Fleet) Kill(h *Host) {
	for _, c := range []*exec.Cmd{h.node, h.backend} {
		kill(c)
	}
	h.node, h.backend = nil, nil
}

// KillBackend kills only the backend server of a host.
func (f *Fleet) KillBackend(h *Host) {
	kill(h.backend)
	h.backend = nil
}

// Pause suspends the processes of a host with SIGSTOP.
func (f *Fleet) Pause(h *Host) error { return signalHost(h, syscall.SIGSTOP) }

// Resume resumes the processes of a paused host.
func (f *Fleet) Resume(h *Host) error { return signalHost(h, syscall.SIGCONT) }

func signalHost(h *Host, s syscall.Signal) error {
	for _, c := range []*exec.Cmd{h.node, h.backend} {
		if err := c.Process.Signal(s); err != nil {
			return fmt.Errorf("signal %s: %w", h.Name, err)
		}
	}
	return nil
}

// Restart restarts the node of a host as operators do: with SIGTERM, so that it
// shuts down in order, and a new start after its exit. In a fleet without nodes it
// kills the backend server and starts it again.
func (f *Fleet) Restart(h *Host) error {
	if f.direct {
		return f.restartBackend(h)
	}
	if err := terminate(h.node); err != nil {
		return fmt.Errorf("stop node of %s: %w", h.Name, err)
	}
	return f.startNode(h)
}

func (f *Fleet) restartBackend(h *Host) error {
	kill(h.backend)
	return f.StartHost(h)
}

// Stop kills all processes.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts {
		f.Kill(h)
	}
	kill(f.platform)
}

// terminate sends SIGTERM to a process and waits for its exit. It returns an error
// if the process fails.
func terminate(c *exec.Cmd) error {
	if err := c.Process.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("signal: %w", err)
	}
	timer := time.AfterFunc(stopTimeout, func() { _ = c.Process.Kill() })
	defer timer.Stop()
	if err := c.Wait(); err != nil {
		return fmt.Errorf("wait: %w", err)
	}
	return nil
}

func kill(c *exec.Cmd) {
	if c == nil || c.Process == nil {
		return
	}
	_ = c.Process.Kill() // The process may have exited already.
	_ = c.Wait()
}

// CallerAddresses returns the addresses for callers of all hosts, or of the hosts of
// a zone if it is not empty.
func (f *Fleet) CallerAddresses(zone string) []string {
	var addresses []string
	for _, h := range f.Hosts {
		if zone == "" || h.Zone == zone {
			addresses = append(addresses, h.CallerAddress)
		}
	}
	return addresses
}

// WaitReady waits until a request succeeds at every node.
func (f *Fleet) WaitReady(ctx context.Context, method, path, secret string) error {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range f.Hosts {
		if err := waitOK(readyCtx, method, "http://"+h.CallerAddress+path, secret); err != nil {
			return fmt.Errorf("wait until %s is ready: %w", h.Name, err)
		}
	}
	return nil
}

func waitOK(ctx context.Context, method, url, secret string) error {
	for {
		status, body, err := sendRequest(ctx, method, url, secret)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err, fmt.Errorf("status %d: %s", status, body))
		}
	}
}

func sendRequest(ctx context.Context, method, url, secret string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0, "", fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("send request to %s: %w", url, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", fmt.Errorf("read response: %w", err)
	}
	return response.StatusCode, string(body), nil
}

// SetPlatformFaults sets the faults of the fake platform. The body is a JSON encoded
// platform.Faults of the trial packages.
func (f *Fleet) SetPlatformFaults(body string) error {
	url := "http://" + f.Deployment.Layout.PlatformAddress + "/trial/faults"
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		return fmt.Errorf("set faults: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("set faults: status %d", response.StatusCode)
	}
	return nil
}

// SetSlowdown multiplies the service time of a service's backend servers by a factor.
func (f *Fleet) SetSlowdown(service string, factor int) error {
	for _, h := range f.Hosts {
		if h.Service != service || h.backend == nil {
			continue
		}
		url := fmt.Sprintf("http://%s/trial/slow?factor=%d", h.ServerAddress, factor)
		response, err := http.Get(url)
		if err != nil {
			return fmt.Errorf("slow %s: %w", h.Name, err)
		}
		response.Body.Close()
	}
	return nil
}

// BurnReport returns the sum of the burn reports of all nodes that respond.
func (f *Fleet) BurnReport() burn.Report {
	var sum burn.Report
	for _, h := range f.Hosts {
		response, err := http.Get("http://" + h.OperatorAddress + operator.BurnPath)
		if err != nil {
			continue
		}
		var report burn.Report
		if err := json.NewDecoder(response.Body).Decode(&report); err == nil {
			sum = sum.Merge(report)
		}
		response.Body.Close()
	}
	return sum
}

// A Run is the execution of one request by a backend server.
type Run struct {
	Key     string `json:"key"`
	Path    string `json:"path"`
	Service string `json:"service"`
	Status  int    `json:"status"`
}

// Runs returns the executions of all backend servers, including killed ones.
func (f *Fleet) Runs() ([]Run, error) {
	var all []Run
	for _, h := range f.Hosts {
		content, err := os.ReadFile(h.RunLog)
		if err != nil {
			return nil, fmt.Errorf("read run log of %s: %w", h.Name, err)
		}
		for line := range strings.Lines(string(content)) {
			var r Run
			if err := json.Unmarshal([]byte(line), &r); err == nil {
				all = append(all, r)
			}
		}
	}
	return all, nil
}
