package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is the limit of a machine of the small deployments.
	memoryMB = 284
	// heartbeat is the time between two announcements of an upstream.
	heartbeat = 1500 * time.Millisecond
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
)

// A host is a machine with an upstream and the process of the system beside it.
type host struct {
	cluster  *cluster
	name     string
	zone     string
	service  string
	id       string
	born     int64
	settings string
	// outbound, ready, control and inbound are the addresses of the system's process.
	outbound, ready, control, inbound, metrics string
	upstream                                   net.Listener
	server                                     *http.Server

	// mu guards the fields below.
	mu       sync.Mutex
	process  *exec.Cmd
	starts   int
	stopping bool
	// sequence is that of the last heartbeat; silent is set once the upstream sends none.
	sequence int
	silent   bool
	// extraDelay is added to the delay after which the process is started again.
	extraDelay time.Duration
}

// The ports for the addresses of processes lie below those that the kernel gives to outgoing
// connections, so that none is taken between two starts of a process.
const (
	firstPort = 12000
	portSpan  = 16000
)

// nextPort is the offset of the port that is tried next.
var nextPort = rand.IntN(portSpan)

// freeAddress returns a loopback address whose port is free, another one at each call.
func freeAddress() string {
	for range portSpan {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		nextPort = (nextPort + 1) % portSpan
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	fatal(errors.New("no port is free"))
	return ""
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}`)
	fieldPattern   = regexp.MustCompile(`\{\{[^}]*\}\}`)
)

// render fills in the template of the deploy file.
func render(template string, fields map[string]string) string {
	text := sectionPattern.ReplaceAllString(template, "")
	return fieldPattern.ReplaceAllStringFunc(text, func(f string) string { return fields[strings.Trim(f, "{}")] })
}

// writeSettings writes the settings file as the platform does at each start.
func (h *host) writeSettings() {
	template, err := os.ReadFile("deploy/settings.ini")
	if err != nil {
		fatal(err)
	}
	text := render(string(template), map[string]string{
		"node-name": h.name, "zone": h.zone, "service": h.service, "first-start": strconv.FormatBool(h.starts == 0),
		"listen-addrs.outbound": h.outbound, "listen-addrs.ready": h.ready, "listen-addrs.control": h.control, "listen-addrs.inbound": h.inbound,
		"ip": "127.0.0.1", "internal-ports.0": strings.TrimPrefix(h.metrics, "127.0.0.1:"),
		"app-addr": h.upstream.Addr().String(), "heartbeat": heartbeat.String(), "platform.address": h.cluster.store.address(),
		"bounds.drain": "2000ms", "bounds.grace": grace.String(), "bounds.budget-ratio": "0.2", "bounds.budget-extra": "48", "bounds.budget-window": "10s",
		"bounds.quota-window": "5s", "bounds.quota-excess": "0.1", "bounds.quota-slack": "20", "limits.memory-mb": strconv.Itoa(memoryMB),
	})
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		fatal(err)
	}
}

// start starts the process of the system with the command of the deploy file.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeSettings()
	h.starts++
	output, err := os.OpenFile(filepath.Join(h.cluster.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal(err)
	}
	p := exec.Command("target/bilberryvane-sidecar")
	p.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BILBERRYVANE_BOOT=" + h.settings}
	p.Stdout, p.Stderr = output, output
	if err := p.Start(); err != nil {
		fatal(err)
	}
	h.process = p
	go h.await(p, output)
}

// await restarts a process that has ended, unless the case is over.
func (h *host) await(p *exec.Cmd, output *os.File) {
	_ = p.Wait()
	output.Close()
	h.mu.Lock()
	again := h.process == p && !h.stopping
	h.mu.Unlock()
	record("process of %s (pid %d) has ended: %v", h.name, p.Process.Pid, p.ProcessState)
	if again {
		time.Sleep(restartDelay + h.extraDelay)
		h.start()
	}
}

// signal sends a signal to the current process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// kill ends the process for good.
func (h *host) kill() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.signal(syscall.SIGKILL)
}

// privateMB returns the id of the current process and its private memory in MiB.
func (h *host) privateMB() (pid, mb int) {
	h.mu.Lock()
	p := h.process
	h.mu.Unlock()
	if p == nil {
		return 0, 0
	}
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	if err != nil {
		return p.Process.Pid, 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "RssAnon:" {
			kb, _ := strconv.Atoi(fields[1])
			return p.Process.Pid, kb >> 10
		}
	}
	return p.Process.Pid, 0
}

// announce sends announcements of the upstream until the case ends or it pauses.
func (h *host) announce() {
	for ; ; time.Sleep(heartbeat) {
		h.mu.Lock()
		silent := h.silent
		h.mu.Unlock()
		if !silent {
			h.post("instances.heartbeat", h.heartbeat())
		}
	}
}

// isReady asks the process whether it is ready.
func (h *host) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	r, err := client.Get("http://" + h.ready + "/api/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
