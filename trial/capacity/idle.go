package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/bilberryvane/bilberryvane/trial/deployment"
	"github.com/bilberryvane/bilberryvane/trial/fleet"
	"github.com/bilberryvane/bilberryvane/trial/scenario"
)

// Parameters of the measurement of idle processes.
const (
	warmUp       = 15 * time.Second
	idleTime     = 15 * time.Second
	daemonName   = "bilberryvaned"
	clockTicks   = 100
	pageSize     = 4096
	fieldsOfStat = 24
)

// Idle measures whole processes that get no requests, by the nodes of a deployment
// in three zones. It needs the programs beside its own.
func Idle(w io.Writer) error {
	series := []Series{
		{Name: "resident bytes of an idle node's process", Per: "node"},
		{Name: "processor microseconds per second of an idle node's process", Per: "node"},
	}
	for _, hosts := range []int{1, 2, 4} {
		points, err := measureIdle(hosts)
		if err != nil {
			return fmt.Errorf("measure idle processes: %w", err)
		}
		for i, p := range points {
			series[i].Points = append(series[i].Points, p)
		}
	}
	return WriteTable(w, "Idle processes", series)
}

// measureIdle starts a deployment and returns the means over its nodes.
func measureIdle(hosts int) ([]Point, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find programs: %w", err)
	}
	directory, err := os.MkdirTemp("", "bilberryvane-capacity-")
	if err != nil {
		return nil, fmt.Errorf("make directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(directory) }()
	u := scenario.LatencyWorkload()
	u.Layout.HostsPerZone = hosts
	u.Layout.Services = []deployment.Service{{Name: "stock"}}
	f, err := fleet.Start(filepath.Dir(program), directory, u.Layout, u.Servers)
	if err != nil {
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	defer f.Stop()
	if err := f.WaitReady(context.Background(), "GET", "/stock/colours", f.Deployment.AccountKeys["account-1"]); err != nil {
		return nil, fmt.Errorf("wait for fleet: %w", err)
	}
	time.Sleep(warmUp)
	before, err := daemons()
	if err != nil {
		return nil, err
	}
	time.Sleep(idleTime)
	after, err := daemons()
	if err != nil {
		return nil, err
	}
	nodes := float64(len(after))
	var resident, used float64
	for id, p := range after {
		resident += p.resident
		used += (p.used - before[id].used).Seconds() / idleTime.Seconds()
	}
	return []Point{
		{Size: nodes, Value: resident / nodes},
		{Size: nodes, Value: used / nodes * float64(time.Second/time.Microsecond)},
	}, nil
}

// process is what the kernel tells of a process.
type process struct {
	used     time.Duration
	resident float64
}

// daemons returns the nodes that this process started.
func daemons() (map[string]process, error) {
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		return nil, fmt.Errorf("list processes: %w", err)
	}
	found := make(map[string]process)
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			continue // The process has ended.
		}
		fields := strings.Fields(string(content))
		if len(fields) < fieldsOfStat || fields[1] != "("+daemonName+")" || fields[3] != strconv.Itoa(os.Getpid()) {
			continue
		}
		ticks := parse(fields[13]) + parse(fields[14])
		found[fields[0]] = process{
			used:     time.Duration(ticks) * time.Second / clockTicks,
			resident: parse(fields[23]) * pageSize,
		}
	}
	return found, nil
}

// parse reads a number of the kernel's.
func parse(text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return value
}
