// Command trial-backend is a stand-in of a backend server, for trials only.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/bilberryvane/bilberryvane/trial/backend"
)

// drainTime is how long the stand-in still serves after it announced that it leaves.
const drainTime = 3 * time.Second

type arguments struct {
	Service     string        `arg:"--service,required" help:"service that the stand-in runs"`
	Listen      string        `arg:"--listen,required" help:"address to listen on"`
	Node        string        `arg:"--node,required" help:"backend server address of the host's node"`
	Slots       int           `arg:"--slots" default:"10" help:"requests that run at once"`
	Connections int           `arg:"--connections" default:"200" help:"connections that are accepted"`
	ServiceTime time.Duration `arg:"--service-time" default:"5ms" help:"time that a request holds a slot"`
	ColdStart   time.Duration `arg:"--cold-start" help:"time of slow service after the start"`
	Calls       []string      `arg:"--calls" help:"paths of other services to call for each request"`
	Direct      []string      `arg:"--direct" help:"service=address pairs of servers to call straight"`
	Runs        string        `arg:"--runs" help:"file to which each request that is run is noted"`
	Crashes     bool          `arg:"--crashes" help:"let a poisoned request end the process"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// direct groups service=address pairs by service; nil without any.
func direct(pairs []string) map[string][]string {
	if len(pairs) == 0 {
		return nil
	}
	servers := map[string][]string{}
	for _, p := range pairs {
		service, address, _ := strings.Cut(p, "=")
		servers[service] = append(servers[service], address)
	}
	return servers
}

func run(ctx context.Context, a arguments) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	var runs io.Writer
	if a.Runs != "" {
		file, err := os.OpenFile(a.Runs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return fmt.Errorf("open runs: %w", err)
		}
		defer file.Close()
		runs = file
	}
	server, err := backend.Start(running, backend.Settings{
		RunLog: runs, DirectServers: direct(a.Direct),
		Service: a.Service, Listen: a.Listen, Node: a.Node, Slots: a.Slots, Connections: a.Connections,
		ServiceTime: a.ServiceTime, ColdStart: a.ColdStart, Calls: a.Calls, CrashOnPoison: a.Crashes,
	})
	if err != nil {
		return fmt.Errorf("start backend server: %w", err)
	}
	<-ctx.Done()
	server.AnnounceLeaving()
	time.Sleep(drainTime)
	limited, stop := context.WithTimeout(context.Background(), drainTime)
	defer stop()
	return server.Stop(limited)
}
