package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/trial/backend"
	"github.com/bilberryvane/bilberryvane/trial/deployment"
)

// A testServer is a backend server with a handler supplied by the test.
type testServer struct {
	host    deployment.Host
	handler http.HandlerFunc

	mu      sync.Mutex
	http    *http.Server
	stopped bool
}

// startServer starts a backend server for a host whose node runs without one.
func startServer(t *testing.T, h deployment.Host, handler func(*testServer) http.HandlerFunc) {
	t.Helper()
	s := &testServer{host: h}
	s.handler = handler(s)
	s.listen()
	done := make(chan struct{})
	var announcing sync.WaitGroup
	announcing.Go(func() { s.announceUntil(done) })
	t.Cleanup(func() {
		close(done)
		announcing.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stopped = true
		_ = s.http.Close()
	})
}

func (s *testServer) listen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	listener, err := net.Listen("tcp", s.host.ServerAddress)
	if err != nil || s.stopped {
		return
	}
	s.http = &http.Server{Handler: s.handler}
	go func(h *http.Server) { _ = h.Serve(listener) }(s.http)
}

// crash closes all connections, as a process exit does, and starts the server again.
func (s *testServer) crash() {
	s.mu.Lock()
	_ = s.http.Close()
	s.mu.Unlock()
	s.listen()
}

func (s *testServer) announceUntil(done <-chan struct{}) {
	body, _ := json.Marshal(map[string]any{
		"service": s.host.Service, "address": s.host.ServerAddress, "slots": 8, "connections": 50,
	})
	for {
		response, err := http.Post("http://"+s.host.BackendAddress+"/bilberryvane/announce", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-done:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// startFleetWithHandlers starts a fleet in which services with a handler use test servers.
func startFleetWithHandlers(t *testing.T, l deployment.Layout, handlers map[string]func(*testServer) http.HandlerFunc) *fleet {
	t.Helper()
	is := is.New(t)
	_, l.PlatformAddress = startPlatform(t)
	d, err := deployment.Plan(t.TempDir(), l)
	is.NoErr(err)
	f := &fleet{t: t, deployment: d, hosts: map[string]*deployment.RunningHost{}, logs: &logBuffer{}}
	for _, h := range d.Hosts {
		var b backend.Settings
		if handlers[h.Service] == nil {
			b = backend.Settings{Service: h.Service, Slots: 8, Connections: 50, ServiceTime: time.Millisecond}
		}
		if h.Service == "planning" {
			b.Calls = []string{"/stock/items"}
		}
		running, err := d.StartHost(h, b, f.logs)
		is.NoErr(err)
		f.hosts[h.Name] = running
	}
	t.Cleanup(f.stop)
	for _, h := range d.Hosts {
		if handler := handlers[h.Service]; handler != nil {
			startServer(t, h, handler)
		}
	}
	f.waitReady()
	return f
}

func TestOverloadShedsLesserClassFirst(t *testing.T) {
	is := is.New(t)
	l := twoServices()
	l.Classes[1].Target = 400 * time.Millisecond
	l.Classes = append(l.Classes, deployment.Class{
		Name: "stock-order", Service: "stock", PathPrefix: "/orders",
		Target: 400 * time.Millisecond, Importance: 4, Idempotent: true,
	})
	f := startFleet(t, l)
	for _, h := range f.deployment.HostsOf("stock") {
		f.hosts[h.Name].Backend.SetSlowdown(30)
	}
	var lookups, lookupsRefused, ordersRefused atomic.Int32
	send := func(i int, path string) bool {
		h := f.deployment.Hosts[i%len(f.deployment.Hosts)]
		response, body := f.send(h, http.MethodPost, path, f.deployment.AccountKeys["depot-nord"], fmt.Sprint(i), nil)
		if response.StatusCode == http.StatusOK {
			return true
		}
		if !strings.Contains(body, `"outcome":"not-run"`) {
			t.Errorf("%s: %s", path, body)
		}
		return false
	}
	var warmUp sync.WaitGroup // ends the slow start phase
	for i := range 16 {
		warmUp.Go(func() {
			for range 25 {
				send(i, "/stock/items")
			}
		})
	}
	warmUp.Wait()
	stop := make(chan struct{})
	var flood, orders sync.WaitGroup
	for i := range 80 {
		flood.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				lookups.Add(1)
				if !send(i, "/stock/items") {
					lookupsRefused.Add(1)
					time.Sleep(5 * time.Millisecond) // retry delay of an aggressive caller
				}
			}
		})
	}
	for i := range 4 {
		orders.Go(func() {
			for range 40 {
				if !send(i, "/stock/orders") {
					ordersRefused.Add(1)
				}
			}
		})
	}
	orders.Wait()
	close(stop)
	flood.Wait()
	is.Equal(int(ordersRefused.Load()), 0)
	is.True(lookupsRefused.Load() > 0)
	is.True(lookups.Load()-lookupsRefused.Load() > 100) // the remaining capacity serves lookups
}

// A backend server that retries its failed call in a loop can't cause more attempts than
// the attempt limit of the root request.
func TestAttemptLimitAcrossChain(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int32
	var failing atomic.Bool
	tokens := make(chan string, 1)
	release := make(chan struct{})
	f := startFleetWithHandlers(t, twoServices(), map[string]func(*testServer) http.HandlerFunc{
		"stock": func(*testServer) http.HandlerFunc {
			return func(w http.ResponseWriter, _ *http.Request) {
				ran.Add(1)
				w.WriteHeader(http.StatusInternalServerError)
			}
		},
		"planning": func(*testServer) http.HandlerFunc {
			return func(_ http.ResponseWriter, r *http.Request) {
				if failing.Load() {
					tokens <- r.Header.Get("Bilberryvane-Request")
					<-release
				}
			}
		},
	})
	planning := f.deployment.HostsOf("planning")[0]
	failing.Store(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.send(planning, http.MethodPost, "/planning/routes", f.deployment.AccountKeys["depot-nord"], "", nil)
	}()
	token := <-tokens
	last := ""
	for range 300 {
		request, err := http.NewRequest(http.MethodPost, "http://"+planning.BackendAddress+"/stock/items", nil)
		is.NoErr(err)
		request.Header.Set("Bilberryvane-Request", token)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		text, err := io.ReadAll(response.Body)
		is.NoErr(err)
		_ = response.Body.Close()
		last = string(text)
	}
	close(release)
	<-done
	is.True(ran.Load() > 0)
	is.True(ran.Load() <= 127) // the call to the planning service used 1 of 128
	is.True(strings.Contains(last, "attempts-used-up"))
}

// waitForHosts waits until every node knows the given number of hosts of a service.
func (f *fleet) waitForHosts(service string, hosts int) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		fewest := hosts
		for _, h := range f.hosts {
			status := h.Node.Status()
			known := 0
			if status.Service == service {
				known++
			}
			for _, p := range status.Peers {
				if p.Service == service {
					known++
				}
			}
			fewest = min(fewest, known)
		}
		if fewest == hosts {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("a node knows %d hosts of %s, want %d", fewest, service, hosts)
		}
	}
}

// A request that crashes every backend server that runs it is sent repeatedly through all
// nodes, once the nodes have discovered each other. It must crash at most two servers, and
// other requests must still be served.
func TestPoisonRequestCrashesAtMostTwoServers(t *testing.T) {
	is := is.New(t)
	l := twoServices()
	l.HostsPerZone = 2
	var crashes atomic.Int32
	f := startFleetWithHandlers(t, l, map[string]func(*testServer) http.HandlerFunc{"stock": func(s *testServer) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			if strings.Contains(string(body), "poison") {
				crashes.Add(1)
				s.crash()
			}
		}
	}})
	f.waitForHosts("stock", 4)
	secret := f.deployment.AccountKeys["depot-nord"]
	stop := make(chan struct{})
	var background sync.WaitGroup
	for i := range 4 {
		background.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					f.send(f.deployment.Hosts[i], http.MethodPost, "/stock/items", secret, fmt.Sprint("innocent", i), nil)
				}
			}
		})
	}
	for range 3 {
		for _, h := range f.deployment.Hosts {
			response, _ := f.send(h, http.MethodPost, "/stock/items", secret, "poison", nil)
			is.True(response.StatusCode != http.StatusOK)
		}
	}
	close(stop)
	background.Wait()
	is.True(crashes.Load() >= 1)
	is.True(crashes.Load() <= 2)
	_, body := f.send(f.deployment.Hosts[0], http.MethodPost, "/stock/items", secret, "poison", nil)
	is.True(strings.Contains(body, `"reason":"quarantined"`))
	is.True(strings.Contains(body, `"outcome":"not-run"`))
	for i := range 4 {
		response, _ := f.send(f.deployment.Hosts[i], http.MethodPost, "/stock/items", secret, fmt.Sprint("innocent", i), nil)
		is.Equal(response.StatusCode, http.StatusOK)
	}
}
