// Package fleet runs a deployment as separate processes on loopback, for trials.
// It starts and ends only processes of its own.
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
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 30 * time.Second
	// readyPoll is the time between two looks whether it is ready.
	readyPoll = 100 * time.Millisecond
	// stopTimeout is how long a process may take to end before it is killed.
	stopTimeout = 20 * time.Second
)

// A Server says how the backend servers of a service behave.
type Server struct {
	Slots       int
	Connections int
	ServiceTime time.Duration
	ColdStart   time.Duration
	// Calls are request paths of other services, called for each request.
	Calls []string
	// Crashes lets a poisoned request end the process.
	Crashes bool
}

// A Host is the two processes of one host.
type Host struct {
	deployment.Host
	node    *exec.Cmd
	backend *exec.Cmd
	// Runs is the file in which the backend server notes what it ran.
	Runs string
}

// A Fleet is a running deployment.
type Fleet struct {
	Deployment *deployment.Deployment
	Hosts      []*Host
	programs   string
	directory  string
	servers    map[string]Server
	platform   *exec.Cmd
	direct     bool
}

// An Option changes how a fleet is started.
type Option func(*Fleet)

// WithDirect starts only the backend servers, which call one another directly.
func WithDirect(direct bool) Option { return func(f *Fleet) { f.direct = direct } }

// Start plans a deployment below a directory and starts its processes with the
// programs of another one. Servers holds the behaviour for each service.
func Start(programs, directory string, l deployment.Layout, servers map[string]Server, options ...Option) (*Fleet, error) {
	d, err := deployment.Plan(directory, l)
	if err != nil {
		return nil, fmt.Errorf("plan deployment: %w", err)
	}
	f := &Fleet{Deployment: d, programs: programs, directory: directory, servers: servers}
	for _, o := range options {
		o(f)
	}
	f.stopOnSignal()
	f.platform, err = f.start("platform", "trial-platform", "--listen", d.Layout.Platform)
	if err != nil {
		return nil, err
	}
	if err := d.Publish(); err != nil {
		f.Stop()
		return nil, err
	}
	for _, h := range d.Hosts {
		host := &Host{Host: h, Runs: filepath.Join(directory, h.Name+".runs")}
		f.Hosts = append(f.Hosts, host)
		if err := f.StartHost(host); err != nil {
			f.Stop()
			return nil, err
		}
	}
	return f, nil
}

// stopOnSignal ends all processes when the trial itself is told to end.
func (f *Fleet) stopOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-told
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
		"--service", h.Service, "--listen", h.Server, "--node", h.Backend, "--runs", h.Runs,
		"--slots", strconv.Itoa(s.Slots), "--connections", strconv.Itoa(s.Connections),
		"--service-time", s.ServiceTime.String(), "--cold-start", s.ColdStart.String(),
	}
	if s.Crashes {
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

// startNode starts the node of a host, unless the fleet has none.
func (f *Fleet) startNode(h *Host) error {
	if f.direct {
		return nil
	}
	var err error
	h.node, err = f.start(h.Name+"-node", "bilberryvaned", h.Settings)
	return err
}

// directAddresses lists all backend servers as service and address.
func (f *Fleet) directAddresses() []string {
	var addresses []string
	for _, h := range f.Deployment.Hosts {
		addresses = append(addresses, h.Service+"="+h.Server)
	}
	return addresses
}

// DirectEntries returns the backend servers that a request path leads to, and the
// path as they know it.
func (f *Fleet) DirectEntries(path string) ([]string, string) {
	var addresses []string
	service := ServiceOf(path)
	for _, h := range f.Deployment.HostsOf(service) {
		addresses = append(addresses, h.Server)
	}
	return addresses, strings.TrimPrefix(path, "/"+service)
}

// ServiceOf returns the service that a request path leads to.
func ServiceOf(path string) string {
	service, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return service
}

// start starts one program; its output goes to a file named after it.
func (f *Fleet) start(name, program string, arguments ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(f.directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
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

// Kill ends both processes of a host at once, as a lost host would.
func (f *Fleet) Kill(h *Host) {
	for _, c := range []*exec.Cmd{h.node, h.backend} {
		kill(c)
	}
	h.node, h.backend = nil, nil
}

// KillBackend ends only the backend server of a host.
func (f *Fleet) KillBackend(h *Host) {
	kill(h.backend)
	h.backend = nil
}

// Freeze stops the processes of a host from running; Thaw lets them go on.
func (f *Fleet) Freeze(h *Host) error { return signalHost(h, syscall.SIGSTOP) }

// Thaw lets the processes of a frozen host go on.
func (f *Fleet) Thaw(h *Host) error { return signalHost(h, syscall.SIGCONT) }

func signalHost(h *Host, s syscall.Signal) error {
	for _, c := range []*exec.Cmd{h.node, h.backend} {
		if err := c.Process.Signal(s); err != nil {
			return fmt.Errorf("signal %s: %w", h.Name, err)
		}
	}
	return nil
}

// Restart replaces the node of a host as operators do: it is told to leave and
// started again when it has ended.
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

// Stop ends all processes.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts {
		f.Kill(h)
	}
	kill(f.platform)
}

// terminate asks a process to end and reports how it did.
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
	_ = c.Process.Kill() // It may have ended already.
	_ = c.Wait()
}

// Entries returns the addresses for callers of all hosts, or of those in a zone.
func (f *Fleet) Entries(zone string) []string {
	var addresses []string
	for _, h := range f.Hosts {
		if zone == "" || h.Zone == zone {
			addresses = append(addresses, h.Callers)
		}
	}
	return addresses
}

// WaitReady waits until a request succeeds at every node.
func (f *Fleet) WaitReady(ctx context.Context, method, path, secret string) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, h := range f.Hosts {
		if err := waitAnswered(limited, method, "http://"+h.Callers+path, secret); err != nil {
			return fmt.Errorf("%s is not ready: %w", h.Name, err)
		}
	}
	return nil
}

func waitAnswered(ctx context.Context, method, url, secret string) error {
	for {
		status, body, err := ask(ctx, method, url, secret)
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err, fmt.Errorf("status %d: %s", status, body))
		}
	}
}

func ask(ctx context.Context, method, url, secret string) (int, string, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return 0, "", fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("ask %s: %w", url, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", fmt.Errorf("read answer: %w", err)
	}
	return response.StatusCode, string(body), nil
}

// Fault sets the platform stand-in's faults; see package platform under trial.
func (f *Fleet) Fault(body string) error {
	url := "http://" + f.Deployment.Layout.Platform + "/trial/faults"
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

// Slow multiplies the service time of a service's backend servers.
func (f *Fleet) Slow(service string, factor int) error {
	for _, h := range f.Hosts {
		if h.Service != service || h.backend == nil {
			continue
		}
		url := fmt.Sprintf("http://%s/trial/slow?factor=%d", h.Server, factor)
		response, err := http.Get(url)
		if err != nil {
			return fmt.Errorf("slow %s: %w", h.Name, err)
		}
		response.Body.Close()
	}
	return nil
}

// Burn adds up the burn reports of all nodes that answer.
func (f *Fleet) Burn() burn.Report {
	var sum burn.Report
	for _, h := range f.Hosts {
		response, err := http.Get("http://" + h.Operators + operator.BurnPath)
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

// A Run is one request that a backend server ran.
type Run struct {
	Key     string `json:"key"`
	Path    string `json:"path"`
	Service string `json:"service"`
	Status  int    `json:"status"`
}

// Runs returns what all backend servers ran, those that were killed included.
func (f *Fleet) Runs() ([]Run, error) {
	var all []Run
	for _, h := range f.Hosts {
		content, err := os.ReadFile(h.Runs)
		if err != nil {
			return nil, fmt.Errorf("read runs of %s: %w", h.Name, err)
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
