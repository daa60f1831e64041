package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// program is the command of deploy/system.toml, which is started in the repository's root.
	program = "target/bilberryvane-sidecar"
	// settingsVariable names the variable that holds the path of the settings.
	settingsVariable = "BILBERRYVANE_BOOT"
	// memoryMB is memory-mb of the small sites. The platform kills a process that exceeds it.
	memoryMB = 284
	// memoryCheckInterval is the time between two looks at the memory of a process.
	memoryCheckInterval = 20 * time.Millisecond
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	healthPath   = "/healthcheck"
)

// A node is a process of the system on one machine, with the platform that starts it, kills it
// if it exceeds its memory, and starts it again.
type node struct {
	name, zone, service                                 string
	outbound, ready, control, inbound, metrics, appAddr string
	folder                                              string
	record                                              *record

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool
	// peak is the most memory that was seen, overMemory how often the process was killed for it.
	peak, overMemory int
	done             sync.WaitGroup
}

// The ports of the nodes are below the range from which the system assigns ports to outgoing
// connections, so that no connection takes one between its choice and its use.
const (
	firstPort = 12_000
	portCount = 18_000
)

// nextPort is the offset of the port that is tried next.
var nextPort = rand.IntN(portCount)

// freeAddresses returns loopback addresses that nothing listens on. It is called by one goroutine.
func freeAddresses(n int) ([]string, error) {
	var all []string
	for range portCount {
		nextPort = (nextPort + 1) % portCount
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+nextPort))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listener.Close()
		if all = append(all, address); len(all) == n {
			return all, nil
		}
	}
	return nil, errNoPort
}

var errNoPort = errors.New("no free port")

func newNode(name, zone string, u *upstream, folder string, r *record) (*node, error) {
	a, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	return &node{
		name: name, zone: zone, service: u.service, outbound: a[0], ready: a[1], control: a[2], inbound: a[3], metrics: a[4],
		appAddr: u.address, folder: folder, record: r,
	}, nil
}

// settings returns the settings as the platform fills in deploy/settings.ini.
func (n *node) settings(storeAddress string, firstStart bool) string {
	return fmt.Sprintf(`[host]
name = %s
zone = %s
service = %s
first-start = %t
[listen]
callers = %s
readiness = %s
announcements = %s
peers = %s
metrics = %s
[backend-server]
address = %s
announce-interval = %s
[store]
address = %s
[timing]
drain = 2000ms
grace = 6s
[retries]
share = 0.2
reserve = 48
window = 10s
[rates]
window = 5s
excess = 0.1
slack = 20
[cold]
[limits]
memory-mb = %d
`, n.name, n.zone, n.service, firstStart, n.outbound, n.ready, n.control, n.inbound, n.metrics, n.appAddr, heartbeat, storeAddress, memoryMB)
}

// start starts the process and keeps it running until stop is called.
func (n *node) start(storeAddress string) error {
	if err := n.startProcess(storeAddress, true); err != nil {
		return err
	}
	n.done.Go(func() {
		for {
			_ = n.command.Wait() // The state is read from ProcessState.
			n.mu.Lock()
			stopped := n.stopped
			n.mu.Unlock()
			n.record.add("%s: its process has ended: %v", n.name, n.command.ProcessState)
			if stopped {
				return
			}
			time.Sleep(restartDelay)
			if err := n.startProcess(storeAddress, false); err != nil {
				n.record.add("%s: not started again: %v", n.name, err)
				return
			}
		}
	})
	return nil
}

func (n *node) startProcess(storeAddress string, firstStart bool) error {
	settings := filepath.Join(n.folder, n.name+".ini")
	if err := os.WriteFile(settings, []byte(n.settings(storeAddress, firstStart)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + settings}
	command.Stdout, command.Stderr = output, output
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	n.command = command
	go n.watchMemory(command.Process)
	return nil
}

// changeSettings writes settings with another address of the store and sends SIGHUP.
func (n *node) changeSettings(storeAddress string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := os.WriteFile(filepath.Join(n.folder, n.name+".ini"), []byte(n.settings(storeAddress, false)), 0o600); err != nil {
		return err
	}
	n.record.add("%s: the address of the store in its settings is now %s, and it gets SIGHUP", n.name, storeAddress)
	return n.command.Process.Signal(syscall.SIGHUP)
}

// watchMemory kills the process once it exceeds its memory.
func (n *node) watchMemory(p *os.Process) {
	for {
		used, ok := memoryOf(p.Pid)
		if !ok {
			return
		}
		n.mu.Lock()
		n.peak = max(n.peak, used)
		over := used > memoryMB && !n.stopped
		if over {
			n.overMemory++
		}
		n.mu.Unlock()
		if over {
			n.record.add("%s: %d MB exceed memory-mb = %d, the platform kills the process", n.name, used, memoryMB)
			_ = p.Kill() // It may have ended.
			return
		}
		time.Sleep(memoryCheckInterval)
	}
}

// memoryOf returns the memory of a process in MB, without pages of files, and false once the
// process has ended.
func memoryOf(pid int) (int, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024, err == nil
		}
	}
	return 0, false
}

// stop ends the process.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	_ = n.command.Process.Signal(syscall.SIGKILL) // It may have ended.
	n.mu.Unlock()
	n.done.Wait()
}
