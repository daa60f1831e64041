package node_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/node"
	"github.com/bilberryvane/bilberryvane/trial/backend"
	"github.com/bilberryvane/bilberryvane/trial/deployment"
	"github.com/bilberryvane/bilberryvane/trial/partition"
)

// A logBuffer collects the log lines of all nodes in a test.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p to the buffer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the collected text.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// A fleet is a small deployment whose nodes run in the test process.
type fleet struct {
	t          *testing.T
	deployment *deployment.Deployment
	hosts      map[string]*deployment.RunningHost
	logs       *logBuffer
	// captured holds all bytes that backend servers received.
	captured *logBuffer
	network  *partition.Network
}

func twoServices() deployment.Layout {
	return deployment.Layout{
		Zones:    []string{"bayern-1", "bayern-2"},
		Services: []deployment.Service{{Name: "planning", Calls: []string{"stock"}}, {Name: "stock"}},
		Classes: []deployment.Class{
			{
				Name: "route-sheet", Service: "planning", Method: "POST", PathPrefix: "/routes",
				Target: 2 * time.Second, Importance: 4, Idempotent: true,
			},
			{
				Name: "stock-lookup", Service: "stock", PathPrefix: "/items",
				Target: 2 * time.Second, Importance: 2, Idempotent: true,
			},
			{
				Name: "colour-lookup", Service: "stock", Method: "GET", PathPrefix: "/colours",
				Target: 2 * time.Second, Importance: 1, Idempotent: true, Open: true,
			},
			{
				Name: "completion", Service: "planning", Method: "POST", PathPrefix: "/completions",
				Target: 2 * time.Second, Importance: 5,
			},
		},
		Accounts:      []deployment.Account{{Name: "depot-nord", Rate: 100_000, Burst: 100_000}},
		HostsPerZone:  1,
		ExtraSettings: "[timing]\ndrain = 600ms\n",
	}
}

func startFleet(t *testing.T, l deployment.Layout) *fleet {
	t.Helper()
	is := is.New(t)
	_, l.PlatformAddress = startPlatform(t)
	d, err := deployment.Plan(t.TempDir(), l)
	is.NoErr(err)
	f := &fleet{t: t, deployment: d, hosts: map[string]*deployment.RunningHost{}, logs: &logBuffer{}, captured: &logBuffer{}, network: partition.New()}
	for _, h := range d.Hosts {
		b := backend.Settings{Service: h.Service, Slots: 8, Connections: 50, ServiceTime: time.Millisecond, Capture: f.captured}
		if h.Service == "planning" {
			b.Calls = []string{"/stock/items"}
		}
		running, err := d.StartHost(h, b, f.logs, node.WithPeerOptions(f.network.PeerOption(h.PeerAddress)))
		is.NoErr(err)
		f.hosts[h.Name] = running
	}
	t.Cleanup(f.stop)
	f.waitReady()
	return f
}

// stop stops all hosts concurrently.
func (f *fleet) stop() {
	http.DefaultClient.CloseIdleConnections()
	var stopping sync.WaitGroup
	for _, h := range f.hosts {
		stopping.Go(func() {
			if err := h.Stop(); err != nil {
				f.t.Errorf("stop %s: %v", h.Host.Name, err)
			}
		})
	}
	stopping.Wait()
}

// waitReady waits until every node serves a request that calls both services.
func (f *fleet) waitReady() {
	f.t.Helper()
	for _, h := range f.deployment.Hosts {
		for attempt := 0; ; attempt++ {
			response, _ := f.send(h, http.MethodPost, "/planning/routes", f.deployment.AccountKeys["depot-nord"], "", nil)
			if response.StatusCode == http.StatusOK {
				break
			}
			if attempt == 200 {
				f.t.Fatalf("%s is not ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (f *fleet) send(h deployment.Host, method, path, secret, body string, headers map[string]string) (*http.Response, string) {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+h.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	if secret != "" {
		request.Header.Set("Authorization", "Bearer "+secret)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response, string(text)
}

func TestRequestTraversesServiceChain(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, twoServices())
	secret := f.deployment.AccountKeys["depot-nord"]
	for _, h := range f.deployment.Hosts {
		body := "route of " + h.Name
		response, text := f.send(h, http.MethodPost, "/planning/routes/7?day=2", secret, body,
			map[string]string{"X-Request-Key": h.Name})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(text, body)
		is.Equal(response.Header.Get("X-Request-Key"), h.Name)
	}
}

// No backend server, log line, metric or operator page may contain a key, in whichever
// header the caller sends it and whatever the outcome of the request is.
func TestKeyIsNotForwardedOrExposed(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, twoServices())
	secret := f.deployment.AccountKeys["depot-nord"]
	entry := f.deployment.Hosts[0]
	for _, headers := range []map[string]string{
		{"X-Request-Key": "seen"},
		{"Proxy-Authorization": "Bearer " + secret},
		{"Cookie": "key=" + secret},
		{"authorization": "Basic " + secret},
	} {
		f.send(entry, http.MethodPost, "/planning/routes", secret, "", headers)
		f.send(entry, http.MethodPost, "/planning/completions", secret, "", headers)
		f.send(entry, http.MethodPost, "/lager/x", secret, "", headers)
	}
	is.True(strings.Contains(f.captured.String(), "seen")) // checks that captured is filled
	is.True(!strings.Contains(f.captured.String(), secret))
	is.True(!strings.Contains(f.logs.String(), secret))
	for _, path := range []string{"/operator/status", "/operator/burn", "/debug/vars"} {
		response, err := http.Get("http://" + entry.OperatorAddress + path)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		response.Body.Close()
		is.True(!strings.Contains(string(body), secret))
	}
}

func TestRefusalReasonsAndStatuses(t *testing.T) {
	f := startFleet(t, twoServices())
	secret := f.deployment.AccountKeys["depot-nord"]
	tests := []struct {
		name, method, path, secret string
		headers                    map[string]string
		wantStatus                 int
		wantReason                 string
	}{
		{name: "missing key", method: "POST", path: "/planning/routes", wantStatus: 401, wantReason: "missing-key"},
		{name: "unknown key", method: "POST", path: "/planning/routes", secret: "bbv-x", wantStatus: 401, wantReason: "unknown-key"},
		{name: "unknown service", method: "POST", path: "/lager/x", secret: secret, wantStatus: 404, wantReason: "unknown-service"},
		{name: "unknown class", method: "DELETE", path: "/planning/routes", secret: secret, wantStatus: 404, wantReason: "unknown-class"},
		{name: "no idempotency key", method: "POST", path: "/planning/completions", secret: secret, wantStatus: 400, wantReason: "missing-idempotency-key"},
		{
			name: "bad timeout", method: "POST", path: "/planning/routes", secret: secret,
			headers: map[string]string{"Bilberryvane-Timeout-Ms": "soon"}, wantStatus: 400, wantReason: "bad-request",
		},
		{
			name: "large header", method: "POST", path: "/planning/routes", secret: secret,
			headers: map[string]string{"X-Large": strings.Repeat("x", 64<<10)}, wantStatus: 413, wantReason: "request-too-large",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			response, body := f.send(f.deployment.Hosts[0], tt.method, tt.path, tt.secret, "", tt.headers)
			is.Equal(response.StatusCode, tt.wantStatus)
			is.True(strings.Contains(body, `"reason":"`+tt.wantReason+`"`))
			is.True(strings.Contains(body, `"outcome":"not-run"`))
			is.Equal(response.Header.Get("Bilberryvane-Outcome"), "not-run")
		})
	}
}

func TestOpenClassNeedsNoKey(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, twoServices())
	response, _ := f.send(f.deployment.Hosts[0], http.MethodGet, "/stock/colours", "", "", nil)
	is.Equal(response.StatusCode, http.StatusOK)
}

func TestUnknownRequestTokenIsRefused(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, twoServices())
	request, err := http.NewRequest(http.MethodPost, "http://"+f.deployment.Hosts[0].BackendAddress+"/stock/items", nil)
	is.NoErr(err)
	request.Header.Set("Bilberryvane-Request", "guessed")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusForbidden)
}

func TestShutdownCompletesInFlightRequests(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, twoServices())
	leaving := f.deployment.HostsOf("planning")[0]
	entry := f.deployment.HostsOf("stock")[1]
	secret := f.deployment.AccountKeys["depot-nord"]
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var mu sync.Mutex
	failures := map[string]int{}
	answered := 0
	for range 8 {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				response, body := f.send(entry, http.MethodPost, "/planning/routes", secret, "x", nil)
				mu.Lock()
				answered++
				if response.StatusCode != http.StatusOK {
					failures[body]++
				}
				mu.Unlock()
			}
		})
	}
	is.NoErr(f.hosts[leaving.Name].Stop())
	delete(f.hosts, leaving.Name)
	close(stop)
	senders.Wait()
	is.True(answered > 0)
	is.Equal(len(failures), 0)
}

// During a partition, nodes on both sides keep serving requests with the backend servers
// they can reach.
func TestPartitionedZoneKeepsServing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, twoServices())
	secret := f.deployment.AccountKeys["depot-nord"]
	for _, h := range f.deployment.Hosts {
		if h.Zone == "bayern-2" {
			f.network.Isolate(1, h.PeerAddress)
		}
	}
	for range 40 {
		for _, h := range f.deployment.Hosts {
			response, body := f.send(h, http.MethodPost, "/planning/routes", secret, h.Name, nil)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, h.Name)
		}
	}
	f.network.Heal()
	f.waitReady()
}
