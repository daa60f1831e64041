package console_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/console"
	"github.com/bilberryvane/bilberryvane/trial/backend"
	"github.com/bilberryvane/bilberryvane/trial/deployment"
	"github.com/bilberryvane/bilberryvane/trial/platform"
)

// A fixture is a running deployment with a settings file of the tool.
type fixture struct {
	t          *testing.T
	deployment *deployment.Deployment
	hosts      []*deployment.RunningHost
	platform   *platform.Server
	settings   string
}

func startDeployment(t *testing.T) *fixture {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	f := &fixture{t: t, platform: platform.New()}
	done := make(chan error, 1)
	go func() { done <- f.platform.Serve(listener) }()
	t.Cleanup(func() {
		if err := errors.Join(f.platform.Close(), <-done); err != nil {
			t.Error(err)
		}
	})
	f.deployment, err = deployment.Plan(t.TempDir(), deployment.Layout{
		Zones:    []string{"bayern-1", "bayern-2"},
		Services: []deployment.Service{{Name: "planning"}, {Name: "stock"}},
		Classes: []deployment.Class{
			{Name: "route-sheet", Service: "planning", PathPrefix: "/routes", Target: 300 * time.Millisecond, Importance: 4, Idempotent: true},
			{Name: "completion", Service: "planning", Method: "POST", PathPrefix: "/completions", Target: time.Second, Importance: 5},
		},
		Accounts:     []deployment.Account{{Name: "depot-nord", Rate: 100, Burst: 100}},
		HostsPerZone: 1, PlatformAddress: listener.Addr().String(), FollowPlatform: true,
		ExtraSettings: "[timing]\ndrain = 100ms\n",
	})
	is.NoErr(err)
	for _, h := range f.deployment.Hosts {
		running, err := f.deployment.StartHost(h, backend.Settings{}, io.Discard)
		is.NoErr(err)
		f.hosts = append(f.hosts, running)
	}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, h := range f.hosts {
			wg.Go(func() { _ = h.Stop() })
		}
		wg.Wait()
	})
	f.settings = f.writeFile("tool.ini", fmt.Sprintf(
		"[platform]\ntable-endpoint = http://%[1]s\nobject-endpoint = http://%[1]s\naccess-key = trial\nsecret-key = trial\n"+
			"[nodes]\noperators = %[2]s\n[operator]\nname = anna\n", listener.Addr(), f.deployment.Hosts[0].OperatorAddress))
	f.waitForPeers()
	return f
}

// waitForPeers waits until the host of the settings lists all other hosts as peers.
func (f *fixture) waitForPeers() {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); len(f.hosts[0].Node.Status().Peers) < len(f.hosts)-1; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("the first host does not list all peers")
		}
	}
}

func (f *fixture) writeFile(name, content string) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// run runs the tool with the arguments and returns its exit code and output.
func (f *fixture) run(command ...string) (int, string) {
	f.t.Helper()
	var a console.Arguments
	parser, err := arg.NewParser(arg.Config{}, &a)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := parser.Parse(append([]string{"--settings", f.settings}, command...)); err != nil {
		f.t.Fatal(err)
	}
	var out bytes.Buffer
	err = console.Run(context.Background(), a, &out)
	if err != nil {
		fmt.Fprintln(&out, err)
	}
	return console.ExitCode(err), out.String()
}

// refusalReasons sends a request to each node and returns the reasons of the refusals.
// The reason for a valid key is no-backend-server, because the hosts have none. Rate
// holders that have just started grant no tokens yet, so refusals for the rate are
// retried.
func (f *fixture) refusalReasons(secret string) []string {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		reasons := f.tryEachNode(secret)
		retry := slices.ContainsFunc(reasons, func(r string) bool { return strings.HasPrefix(r, "rate-") })
		if !retry || time.Now().After(end) {
			return reasons
		}
	}
}

func (f *fixture) tryEachNode(secret string) []string {
	f.t.Helper()
	var reasons []string
	for _, h := range f.hosts {
		request, err := http.NewRequest(http.MethodGet, "http://"+h.Host.CallerAddress+"/planning/routes", nil)
		if err != nil {
			f.t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+secret)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			f.t.Fatal(err)
		}
		var refusal struct {
			Reason    string `json:"reason"`
			RequestID string `json:"request-id"`
		}
		err = json.NewDecoder(response.Body).Decode(&refusal)
		response.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		reasons = append(reasons, refusal.Reason)
		if code, text := f.run("explain", refusal.RequestID); code != 0 || !strings.Contains(text, "It was not run, so it is safe to send again.") {
			f.t.Fatalf("explain gives %d %s", code, text)
		}
	}
	return reasons
}

func (f *fixture) configuration() string {
	f.t.Helper()
	content, err := os.ReadFile(f.deployment.ConfigurationPath)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(content)
}

func TestApplyConfiguration(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t)
	code, out := f.run("apply", f.writeFile("bad.ini", "[class x]\nweight = 1\n"))
	is.Equal(code, console.ExitBadInput)
	is.True(strings.Contains(out, "bad.ini:2: unknown key")) // faults name the file and line
	code, out = f.run("show", "targets")
	is.Equal(code, console.ExitBadInput) // nothing was applied
	is.True(strings.Contains(out, "no configuration has been applied yet"))

	code, out = f.run("apply", f.deployment.ConfigurationPath)
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "accepted as version 1"))
	is.True(strings.Contains(out, "in force on all 4 hosts in 2 availability zones"))
	_, out = f.run("apply", f.deployment.ConfigurationPath)
	is.True(strings.Contains(out, "nothing to change: this is version 1"))

	_, shown := f.run("show", "configuration")
	edited := f.writeFile("edited.ini", strings.Replace(shown, "target = 300ms", "target = 400ms", 1))
	stale := f.writeFile("stale.ini", strings.Replace(shown, "target = 300ms", "target = 500ms", 1))
	f.platform.SetFaults(platform.Faults{DropResponses: 5})
	code, out = f.run("apply", edited)
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "accepted as version 2")) // lost responses neither lose nor repeat a change
	code, out = f.run("apply", stale)
	is.Equal(code, console.ExitConflict)
	is.True(strings.Contains(out, `at version 2 by "anna", not at version 1`))

	f.platform.SetFaults(platform.Faults{Down: true})
	code, _ = f.run("apply", "--wait", "5s", stale)
	is.Equal(code, console.ExitUnreachable)
	code, out = f.run("show", "targets") // the configuration comes from the hosts while the platform is down
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "400ms"))
	f.platform.SetFaults(platform.Faults{})

	is.NoErr(f.hosts[3].Stop())
	stopped := f.hosts[3].Host
	f.hosts = f.hosts[:3]
	code, out = f.run("--output", "json", "status")
	is.Equal(code, console.ExitDone)
	var status console.Status
	is.NoErr(json.Unmarshal([]byte(out), &status))
	for _, h := range status.Hosts {
		is.True(h.Host == stopped.Name || h.ConfigurationVersion == 2)
	}
}

func TestConcurrentAppliesConflict(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t)
	code, _ := f.run("apply", f.deployment.ConfigurationPath)
	is.Equal(code, console.ExitDone)
	_, shown := f.run("show", "configuration")
	codes := make([]int, 4)
	var wg sync.WaitGroup
	for i := range codes {
		file := f.writeFile(fmt.Sprintf("%d.ini", i), shown+fmt.Sprintf("[account a%d]\nrate = 1\nburst = 1\n", i))
		wg.Go(func() { codes[i], _ = f.run("apply", file) })
	}
	wg.Wait()
	counts := map[int]int{}
	for _, c := range codes {
		counts[c]++
	}
	is.Equal(counts, map[int]int{console.ExitDone: 1, console.ExitConflict: 3})
}

func TestConcurrentKeyEdits(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t)
	code, _ := f.run("apply", f.deployment.ConfigurationPath)
	is.Equal(code, console.ExitDone)
	created := make([]console.GiveResult, 3)
	var wg sync.WaitGroup
	for i := range created {
		wg.Go(func() {
			code, out := f.run("--output", "json", "keys", "give", "depot-nord", fmt.Sprintf("tablet-%d", i))
			is.Equal(code, console.ExitDone)
			is.NoErr(json.Unmarshal([]byte(out), &created[i]))
		})
	}
	wg.Wait()
	for _, g := range created {
		is.Equal(f.refusalReasons(g.Key), []string{"no-backend-server", "no-backend-server", "no-backend-server", "no-backend-server"})
	}
	code, out := f.run("keys", "withdraw", "tablet-1")
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "in force on all 4 hosts"))
	is.Equal(f.refusalReasons(created[1].Key), []string{"unknown-key", "unknown-key", "unknown-key", "unknown-key"})
	is.Equal(f.refusalReasons(created[2].Key)[0], "no-backend-server")
	code, out = f.run("keys", "list")
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "tablet-0") && !strings.Contains(out, "tablet-1"))
	is.True(!strings.Contains(out, created[0].Key)) // a key is shown only when it is created
	code, _ = f.run("keys", "withdraw", "tablet-1")
	is.Equal(code, console.ExitBadInput)
	code, _ = f.run("keys", "give", "nobody", "tablet-9")
	is.Equal(code, console.ExitBadInput)
	code, _ = f.run("explain", "no-such-request")
	is.Equal(code, console.ExitNotFound)
	picture := filepath.Join(t.TempDir(), "burn.png")
	code, out = f.run("report", "burn", "--picture", picture)
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "route-sheet"))
	content, err := os.ReadFile(picture)
	is.NoErr(err)
	is.True(bytes.HasPrefix(content, []byte("\x89PNG")))
}

func TestApplyReportsLaggingHosts(t *testing.T) {
	is := is.New(t)
	f := startDeployment(t)
	address := f.writeFile("tool2.ini", "[platform]\ntable-endpoint = http://127.0.0.1:9\nobject-endpoint = http://127.0.0.1:9\naccess-key = a\nsecret-key = b\n")
	code, _ := (&fixture{t: t, settings: address}).run("apply", f.deployment.ConfigurationPath)
	is.Equal(code, console.ExitUnreachable)
	silent := listenSilent(t)
	text, err := os.ReadFile(f.settings)
	is.NoErr(err)
	f.settings = f.writeFile("tool.ini", strings.Replace(string(text), "[nodes]\noperators = ", "timeout = 500ms\n[nodes]\noperators = "+silent+", ", 1))
	code, out := f.run("apply", "--wait", "5s", f.deployment.ConfigurationPath)
	is.Equal(code, console.ExitLagging)
	is.True(strings.Contains(out, "not known to be in force on 1 of 5 hosts"))
	is.True(strings.Contains(out, "address "+silent+": no answer")) // and no other host is listed
	is.True(!strings.Contains(out, "  host "))
	withZone := f.configuration() + "[zone bayern-3]\nshare = 0\n"
	code, out = f.run("apply", "--wait", "1s", f.writeFile("zone.ini", withZone))
	is.Equal(code, console.ExitLagging)
	is.True(strings.Contains(out, "availability zone bayern-3: no host answers"))
}

// listenSilent returns the address of a listener that never answers.
func listenSilent(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

func TestDocsMatchSettingsAndExitCodes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATORS.md")
	is.NoErr(err)
	settings, exits := console.MarkdownTables()
	is.True(strings.Contains(string(page), settings)) // the table of settings
	is.True(strings.Contains(string(page), exits))    // the table of exit codes
}

func TestAuthorityIssuesCertificates(t *testing.T) {
	is := is.New(t)
	f := &fixture{t: t}
	directory := t.TempDir()
	code, _ := f.run("authority", "init", "--directory", directory)
	is.Equal(code, console.ExitDone)
	code, _ = f.run("authority", "init", "--directory", directory)
	is.Equal(code, console.ExitBadInput) // an authority is not overwritten
	code, _ = f.run("authority", "issue", "--directory", directory, "--address", "10.0.0.7", "host-7", "herning-1")
	is.Equal(code, console.ExitDone)
	for _, name := range []string{"authority.key", "group.key", "host-7.key"} {
		info, err := os.Stat(filepath.Join(directory, name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	}
	code, _ = f.run("authority", "issue", "--directory", directory, "--address", "somewhere", "host-8", "herning-1")
	is.Equal(code, console.ExitBadInput)
}
