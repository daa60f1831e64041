package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// The bounds of the small site files that the cases use.
const (
	heartbeat = 1500 * time.Millisecond
	contact   = 3 * time.Second
	memoryMB  = 284
)

// A record is the record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// A machine has a node of the project and an upstream beside it.
type machine struct {
	name, zone string
	up         *upstream
	// These are the node's addresses, by the names in the settings template.
	outbound, ready, control, inbound, metrics string
	settings                                   string

	fleet *fleet

	mu       sync.Mutex
	process  *exec.Cmd
	stopping bool
	starts   int
}

// A fleet is a small deployment on loopback addresses.
type fleet struct {
	root, dir string
	record    *record
	store     *store
	machines  []*machine
	done      chan struct{}
}

func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &fleet{root: root, dir: dir, record: rec, store: s, done: make(chan struct{})}, nil
}

var nextPort = 10_000 + os.Getpid()%1_000*19

// freeAddress returns an address on a loopback IP of the machine with the number n.
func freeAddress(n int) string {
	for {
		nextPort++
		address := fmt.Sprintf("127.0.%d.%d:%d", 10+n/200, 1+n%200, nextPort)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
}

// add adds a machine, whose processes start adds.
func (f *fleet) add(zone, service string, slots int, work func(*upstream, http.ResponseWriter, *http.Request)) *machine {
	n := len(f.machines)
	m := &machine{
		name: fmt.Sprintf("sidecar-%s-%d", zone, n+1), zone: zone, fleet: f,
		outbound: freeAddress(n), ready: freeAddress(n), control: freeAddress(n), inbound: freeAddress(n), metrics: freeAddress(n),
	}
	m.up = &upstream{
		id: fmt.Sprintf("i-%04x", 0x7f00+n), service: service, address: freeAddress(n), zone: zone, slots: slots,
		record: f.record, control: m.control, work: work,
	}
	f.machines = append(f.machines, m)
	return m
}

// start starts all machines and waits until they are ready.
func (f *fleet) start() error {
	for _, m := range f.machines {
		if err := m.up.start(); err != nil {
			return err
		}
		if err := m.startNode(true); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		go f.announce(m.up)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(8 * time.Second) // Traffic starts 8 s after the machines do.
	return nil
}

func (f *fleet) announce(u *upstream) {
	for {
		u.announce()
		select {
		case <-f.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

// stop ends all processes of the fleet.
func (f *fleet) stop() {
	close(f.done)
	for _, m := range f.machines {
		m.mu.Lock()
		m.stopping = true
		if m.process != nil {
			_ = m.process.Process.Kill()
		}
		m.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
	_ = os.RemoveAll(f.dir)
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)\}\}`)

// writeSettings fills in the project's template of settings, as the platform does.
func (m *machine) writeSettings(first bool) error {
	template, err := os.ReadFile(filepath.Join(m.fleet.root, "deploy/settings.ini"))
	if err != nil {
		return err
	}
	host, port, _ := strings.Cut(m.metrics, ":")
	values := map[string]string{
		"node-name": m.name, "zone": m.zone, "service": m.up.service, "first-start": fmt.Sprint(first),
		"listen-addrs.outbound": m.outbound, "listen-addrs.ready": m.ready, "listen-addrs.control": m.control,
		"listen-addrs.inbound": m.inbound, "ip": host, "internal-ports.0": port, "app-addr": m.up.address,
		"heartbeat": heartbeat.String(), "platform.address": m.fleet.store.address(), "bounds.drain": "2000ms", "bounds.grace": "6s",
		"bounds.budget-ratio": "0.2", "bounds.budget-extra": "48", "bounds.budget-window": "10s", "bounds.quota-window": "5s",
		"bounds.quota-excess": "0.1", "bounds.quota-slack": "20", "limits.memory-mb": fmt.Sprint(memoryMB),
	}
	var missing error
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
		v, ok := values[strings.Trim(p, "{}")]
		if !ok {
			missing = fmt.Errorf("the template has an unknown placeholder %s", p)
		}
		return v
	})
	if missing != nil {
		return missing
	}
	m.settings = filepath.Join(m.fleet.dir, m.name+".ini")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// startNode starts the node with the command of the deploy file. As the platform does, it
// starts the node again after it has ended, unless the fleet stops.
func (m *machine) startNode(first bool) error {
	if err := m.writeSettings(first); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(m.fleet.root, "target/bilberryvane-sidecar"))
	command.Dir = m.fleet.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BILBERRYVANE_BOOT=" + m.settings}
	command.Stdout, command.Stderr = output, output
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	m.process, m.starts = command, m.starts+1
	m.fleet.record.logf("%s: start %d of the node, process %d", m.name, m.starts, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = output.Close()
		m.fleet.record.logf("%s: the node has ended: %v", m.name, err)
		time.Sleep(500 * time.Millisecond)
		if err := m.startNode(false); err != nil {
			m.fleet.record.logf("%s: the node can't be started: %v", m.name, err)
		}
	}()
	return nil
}

func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fleet.record.logf("%s: signal %v", m.name, s)
	_ = m.process.Process.Signal(s)
}

// isReady asks the node whether it is ready.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// configure writes the operator's configuration, with the limits of the example on the
// platform's pages.
func (f *fleet) configure(routes map[string]any, services ...string) {
	list := map[string]any{}
	for _, s := range services {
		list[s] = map[string]any{"health-path": "/healthcheck", "max-conns": 1204, "protocol": "h1", "tls": false}
	}
	content, _ := json.Marshal(map[string]any{
		"version": 7, "routes": routes, "services": list,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": "15000ms"},
		"tenants": map[string]any{"pulo780": map[string]any{"api-keys": []string{"6wsjnbanfqasnmgkcuyj"}, "rate-per-s": 400, "burst": 400}},
	})
	f.store.put("op", "config", content)
}

func route(prefix, kind, service string, timeout time.Duration, attempts int) map[string]any {
	return map[string]any{
		"host": "hulo84.example", "prefix": prefix, "kind": kind, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()),
		"target-latency": "1500ms", "priority": 0, "service": service, "max-attempts": attempts, "anonymous": false,
	}
}
