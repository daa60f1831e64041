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

// A bench is a running deployment with the tool's settings for it.
type bench struct {
	t          *testing.T
	deployment *deployment.Deployment
	hosts      []*deployment.Running
	platform   *platform.Server
	settings   string
}

func start(t *testing.T) *bench {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	b := &bench{t: t, platform: platform.New()}
	done := make(chan error, 1)
	go func() { done <- b.platform.Serve(listener) }()
	t.Cleanup(func() {
		if err := errors.Join(b.platform.Close(), <-done); err != nil {
			t.Error(err)
		}
	})
	b.deployment, err = deployment.Plan(t.TempDir(), deployment.Layout{
		Zones:    []string{"bayern-1", "bayern-2"},
		Services: []deployment.Service{{Name: "planning"}, {Name: "stock"}},
		Classes: []deployment.Class{
			{Name: "route-sheet", Service: "planning", PathPrefix: "/routes", Target: 300 * time.Millisecond, Importance: 4, Idempotent: true},
			{Name: "completion", Service: "planning", Method: "POST", PathPrefix: "/completions", Target: time.Second, Importance: 5},
		},
		Accounts: []deployment.Account{{Name: "depot-nord", Rate: 100, Burst: 100}},
		Hosts:    1, Platform: listener.Addr().String(), Follow: true,
		Extra: "[timing]\ndrain = 100ms\n",
	})
	is.NoErr(err)
	for _, h := range b.deployment.Hosts {
		running, err := b.deployment.StartHost(h, backend.Settings{}, io.Discard)
		is.NoErr(err)
		b.hosts = append(b.hosts, running)
	}
	t.Cleanup(func() {
		var stopping sync.WaitGroup
		for _, h := range b.hosts {
			stopping.Go(func() { _ = h.Stop() })
		}
		stopping.Wait()
	})
	b.settings = b.file("tool.ini", fmt.Sprintf(
		"[platform]\ntable-endpoint = http://%[1]s\nobject-endpoint = http://%[1]s\naccess-key = trial\nsecret-key = trial\n"+
			"[nodes]\noperators = %[2]s\n[operator]\nname = anna\n", listener.Addr(), b.deployment.Hosts[0].Operators))
	b.waitPeers()
	return b
}

// waitPeers waits until the host of the settings knows all others.
func (b *bench) waitPeers() {
	b.t.Helper()
	for end := time.Now().Add(20 * time.Second); len(b.hosts[0].Node.Status().Peers) < len(b.hosts)-1; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatal("the hosts don't know each other")
		}
	}
}

func (b *bench) file(name, content string) string {
	b.t.Helper()
	path := filepath.Join(b.t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// run runs the tool with a command line and returns its exit code and output.
func (b *bench) run(command ...string) (int, string) {
	b.t.Helper()
	var a console.Arguments
	parser, err := arg.NewParser(arg.Config{}, &a)
	if err != nil {
		b.t.Fatal(err)
	}
	if err := parser.Parse(append([]string{"--settings", b.settings}, command...)); err != nil {
		b.t.Fatal(err)
	}
	var out bytes.Buffer
	err = console.Run(context.Background(), a, &out)
	if err != nil {
		fmt.Fprintln(&out, err)
	}
	return console.ExitCode(err), out.String()
}

// ask sends a request to every node and returns the reasons of their refusals. A
// key that works gets as far as no-backend-server, for there is none.
// ask sends a request to each node and returns the reasons for which they refuse it.
// The holders of the rate of a fleet that just started give no tokens yet; such
// refusals are waited out, as callers do.
func (b *bench) ask(secret string) []string {
	b.t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(200 * time.Millisecond) {
		reasons := b.askOnce(secret)
		waiting := slices.ContainsFunc(reasons, func(r string) bool { return strings.HasPrefix(r, "rate-") })
		if !waiting || time.Now().After(end) {
			return reasons
		}
	}
}

func (b *bench) askOnce(secret string) []string {
	b.t.Helper()
	var reasons []string
	for _, h := range b.hosts {
		request, err := http.NewRequest(http.MethodGet, "http://"+h.Host.Callers+"/planning/routes", nil)
		if err != nil {
			b.t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+secret)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			b.t.Fatal(err)
		}
		var refusal struct {
			Reason    string `json:"reason"`
			RequestID string `json:"request-id"`
		}
		err = json.NewDecoder(response.Body).Decode(&refusal)
		response.Body.Close()
		if err != nil {
			b.t.Fatal(err)
		}
		reasons = append(reasons, refusal.Reason)
		if code, text := b.run("explain", refusal.RequestID); code != 0 || !strings.Contains(text, "It was not run, so it is safe to send again.") {
			b.t.Fatalf("explain gives %d %s", code, text)
		}
	}
	return reasons
}

func (b *bench) content() string {
	b.t.Helper()
	content, err := os.ReadFile(b.deployment.Configuration)
	if err != nil {
		b.t.Fatal(err)
	}
	return string(content)
}

func TestOperatorAppliesConfigurations(t *testing.T) {
	is := is.New(t)
	b := start(t)
	code, out := b.run("apply", b.file("bad.ini", "[class x]\nweight = 1\n"))
	is.Equal(code, console.ExitBadInput)
	is.True(strings.Contains(out, "bad.ini:2: unknown key")) // each fault with file and line
	code, out = b.run("show", "targets")
	is.Equal(code, console.ExitBadInput) // nothing was applied
	is.True(strings.Contains(out, "no configuration has been applied yet"))

	code, out = b.run("apply", b.deployment.Configuration)
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "accepted as version 1"))
	is.True(strings.Contains(out, "in force on all 4 hosts in 2 availability zones"))
	_, out = b.run("apply", b.deployment.Configuration)
	is.True(strings.Contains(out, "nothing to change: this is version 1"))

	_, shown := b.run("show", "configuration")
	edited := b.file("edited.ini", strings.Replace(shown, "target = 300ms", "target = 400ms", 1))
	stale := b.file("stale.ini", strings.Replace(shown, "target = 300ms", "target = 500ms", 1))
	b.platform.SetFaults(platform.Faults{LoseAnswers: 5})
	code, out = b.run("apply", edited)
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "accepted as version 2")) // lost answers neither lose nor repeat a change
	code, out = b.run("apply", stale)
	is.Equal(code, console.ExitConflict)
	is.True(strings.Contains(out, `at version 2 by "anna", not at version 1`))

	b.platform.SetFaults(platform.Faults{Down: true})
	code, _ = b.run("apply", "--wait", "5s", stale)
	is.Equal(code, console.ExitUnreachable)
	code, out = b.run("show", "targets") // the hosts know while the platform is down
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "400ms"))
	b.platform.SetFaults(platform.Faults{})

	is.NoErr(b.hosts[3].Stop())
	lost := b.hosts[3].Host
	b.hosts = b.hosts[:3]
	code, out = b.run("--output", "json", "status")
	is.Equal(code, console.ExitDone)
	var status console.Status
	is.NoErr(json.Unmarshal([]byte(out), &status))
	for _, h := range status.Hosts {
		is.True(h.Host == lost.Name || h.ConfigurationVersion == 2)
	}
}

func TestRacingOperatorsOneWins(t *testing.T) {
	is := is.New(t)
	b := start(t)
	code, _ := b.run("apply", b.deployment.Configuration)
	is.Equal(code, console.ExitDone)
	_, shown := b.run("show", "configuration")
	codes := make([]int, 4)
	var racing sync.WaitGroup
	for i := range codes {
		file := b.file(fmt.Sprintf("%d.ini", i), shown+fmt.Sprintf("[account a%d]\nrate = 1\nburst = 1\n", i))
		racing.Go(func() { codes[i], _ = b.run("apply", file) })
	}
	racing.Wait()
	counts := map[int]int{}
	for _, c := range codes {
		counts[c]++
	}
	is.Equal(counts, map[int]int{console.ExitDone: 1, console.ExitConflict: 3})
}

func TestKeysAreGivenAndWithdrawnWhileOthersChange(t *testing.T) {
	is := is.New(t)
	b := start(t)
	code, _ := b.run("apply", b.deployment.Configuration)
	is.Equal(code, console.ExitDone)
	given := make([]console.Given, 3)
	var racing sync.WaitGroup
	for i := range given {
		racing.Go(func() {
			code, out := b.run("--output", "json", "keys", "give", "depot-nord", fmt.Sprintf("tablet-%d", i))
			is.Equal(code, console.ExitDone)
			is.NoErr(json.Unmarshal([]byte(out), &given[i]))
		})
	}
	racing.Wait()
	for _, g := range given {
		is.Equal(b.ask(g.Key), []string{"no-backend-server", "no-backend-server", "no-backend-server", "no-backend-server"})
	}
	code, out := b.run("keys", "withdraw", "tablet-1")
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "in force on all 4 hosts"))
	is.Equal(b.ask(given[1].Key), []string{"unknown-key", "unknown-key", "unknown-key", "unknown-key"})
	is.Equal(b.ask(given[2].Key)[0], "no-backend-server")
	code, out = b.run("keys", "list")
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "tablet-0") && !strings.Contains(out, "tablet-1"))
	is.True(!strings.Contains(out, given[0].Key)) // a key is shown once
	code, _ = b.run("keys", "withdraw", "tablet-1")
	is.Equal(code, console.ExitBadInput)
	code, _ = b.run("keys", "give", "nobody", "tablet-9")
	is.Equal(code, console.ExitBadInput)
	code, _ = b.run("explain", "no-such-request")
	is.Equal(code, console.ExitNotFound)
	picture := filepath.Join(t.TempDir(), "burn.png")
	code, out = b.run("report", "burn", "--picture", picture)
	is.Equal(code, console.ExitDone)
	is.True(strings.Contains(out, "route-sheet"))
	content, err := os.ReadFile(picture)
	is.NoErr(err)
	is.True(bytes.HasPrefix(content, []byte("\x89PNG")))
}

func TestLaggingHostsAreNamed(t *testing.T) {
	is := is.New(t)
	b := start(t)
	address := b.file("tool2.ini", "[platform]\ntable-endpoint = http://127.0.0.1:9\nobject-endpoint = http://127.0.0.1:9\naccess-key = a\nsecret-key = b\n")
	code, _ := (&bench{t: t, settings: address}).run("apply", b.deployment.Configuration)
	is.Equal(code, console.ExitUnreachable)
	quiet := silent(t)
	text, err := os.ReadFile(b.settings)
	is.NoErr(err)
	b.settings = b.file("tool.ini", strings.Replace(string(text), "[nodes]\noperators = ", "timeout = 500ms\n[nodes]\noperators = "+quiet+", ", 1))
	code, out := b.run("apply", "--wait", "5s", b.deployment.Configuration)
	is.Equal(code, console.ExitLagging)
	is.True(strings.Contains(out, "not known to be in force on 1 of 5 hosts"))
	is.True(strings.Contains(out, "address "+quiet+": no answer")) // and no other is named
	is.True(!strings.Contains(out, "  host "))
	zone := b.content() + "[zone bayern-3]\nshare = 0\n"
	code, out = b.run("apply", "--wait", "1s", b.file("zone.ini", zone))
	is.Equal(code, console.ExitLagging)
	is.True(strings.Contains(out, "availability zone bayern-3: no host answers"))
}

// silent returns the address of a listener that never answers.
func silent(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

func TestPageMatchesSettingsAndExitCodes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/OPERATORS.md")
	is.NoErr(err)
	settings, exits := console.Document()
	is.True(strings.Contains(string(page), settings)) // docs/OPERATORS.md holds the table of settings
	is.True(strings.Contains(string(page), exits))    // and that of exit codes
}

func TestAuthorityIssuesCertificates(t *testing.T) {
	is := is.New(t)
	b := &bench{t: t}
	directory := t.TempDir()
	code, _ := b.run("authority", "init", "--directory", directory)
	is.Equal(code, console.ExitDone)
	code, _ = b.run("authority", "init", "--directory", directory)
	is.Equal(code, console.ExitBadInput) // an authority is not overwritten
	code, _ = b.run("authority", "issue", "--directory", directory, "--address", "10.0.0.7", "host-7", "herning-1")
	is.Equal(code, console.ExitDone)
	for _, name := range []string{"authority.key", "group.key", "host-7.key"} {
		info, err := os.Stat(filepath.Join(directory, name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	}
	code, _ = b.run("authority", "issue", "--directory", directory, "--address", "somewhere", "host-8", "herning-1")
	is.Equal(code, console.ExitBadInput)
}
