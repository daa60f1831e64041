package node_test

import (
	"encoding/json"
	"fmt"
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
	"github.com/bilberryvane/bilberryvane/trial/platform"
)

// startClaimFleet starts two hosts in each of three zones, with a platform, and waits
// until each host accepts claimed work.
func startClaimFleet(t *testing.T) (*fleet, *platform.Server) {
	t.Helper()
	server, address := startPlatform(t)
	l := twoServices()
	l.Zones = append(l.Zones, "bayern-3")
	l.PlatformAddress = address
	d, err := deployment.Plan(t.TempDir(), l)
	is.New(t).NoErr(err)
	f := &fleet{t: t, deployment: d, hosts: map[string]*deployment.RunningHost{}, logs: &logBuffer{}, network: partition.New()}
	for _, h := range d.Hosts {
		b := backend.Settings{Service: h.Service, Slots: 16, Connections: 50, ServiceTime: time.Millisecond}
		running, err := d.StartHost(h, b, f.logs, node.WithPeerOptions(f.network.PeerOption(h.PeerAddress)))
		is.New(t).NoErr(err)
		f.hosts[h.Name] = running
	}
	t.Cleanup(func() { f.stopAll() })
	for i, h := range d.Hosts {
		for n := range 16 {
			f.sendUntilFinal(h, fmt.Sprint("first-", i, "-", n))
		}
	}
	return f, server
}

func (f *fleet) stopAll() {
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

// sendCompletion sends a request of the completion class, which isn't idempotent and may
// run only once. The name is its idempotency key.
func (f *fleet) sendCompletion(h deployment.Host, name string) (int, string) {
	f.t.Helper()
	response, body := f.send(h, http.MethodPost, "/planning/completions", f.deployment.AccountKeys["depot-nord"], name,
		map[string]string{"Idempotency-Key": name, "X-Request-Key": name})
	return response.StatusCode, body
}

// sendUntilFinal sends a completion with the same key until the response is final, which
// means that the work isn't reported as not run, still running or refused before the claim.
func (f *fleet) sendUntilFinal(h deployment.Host, name string) (int, string) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		status, body := f.sendCompletion(h, name)
		retry := strings.Contains(body, `"outcome":"not-run"`) || strings.Contains(body, `"reason":"already-running"`) ||
			strings.Contains(body, "it is safe to send it again with that key")
		if !retry {
			return status, body
		}
		if time.Now().After(end) {
			f.t.Fatalf("%s still answers %d %s", h.Name, status, body)
		}
	}
}

// runCounts returns how often each completion ran on all backend servers together.
func (f *fleet) runCounts() map[string]int {
	counts := map[string]int{}
	for _, h := range f.hosts {
		for _, r := range h.Backend.Runs() {
			counts[r.Key]++
		}
	}
	return counts
}

// busiestHolder returns the host that holds the most shards.
func (f *fleet) busiestHolder() deployment.Host {
	f.t.Helper()
	var found deployment.Host
	most := 0
	for _, h := range f.deployment.Hosts {
		var variables struct {
			Held []string `json:"shards-held"`
		}
		if err := json.Unmarshal([]byte(f.hosts[h.Name].Node.Metrics()), &variables); err != nil {
			f.t.Fatal(err)
		}
		if len(variables.Held) > most {
			found, most = h, len(variables.Held)
		}
	}
	if most == 0 {
		f.t.Fatal("no host holds a shard")
	}
	return found
}

func TestClaimedWorkRunsOnceDuringOutageAndHolderLoss(t *testing.T) {
	is := is.New(t)
	f, server := startClaimFleet(t)
	hosts := f.deployment.Hosts

	// A repeated request through any other host gets the stored response.
	status, body := f.sendUntilFinal(hosts[0], "again")
	is.Equal(status, http.StatusOK)
	for _, h := range hosts {
		status, kept := f.sendUntilFinal(h, "again")
		is.Equal(status, http.StatusOK)
		is.Equal(kept, body)
	}

	// During a platform outage, claims are still accepted.
	server.SetFaults(platform.Faults{Down: true})
	time.Sleep(4 * time.Second) // longer than the lease duration
	for i, h := range hosts {
		status, _ := f.sendUntilFinal(h, fmt.Sprint("outage-", i))
		is.Equal(status, http.StatusOK)
	}
	server.SetFaults(platform.Faults{DropResponses: 4})

	// A holder is partitioned between the claims and their completion, until all work is
	// answered.
	partitioned := f.busiestHolder()
	var others []deployment.Host
	for _, h := range hosts {
		if h.Name != partitioned.Name {
			others = append(others, h)
		}
		f.hosts[h.Name].Backend.SetSlowdown(300)
	}
	var sending sync.WaitGroup
	for i := range 32 { // each key is sent twice concurrently, through two hosts
		sending.Go(func() { f.sendCompletion(others[i%len(others)], fmt.Sprint("lost-", i/2)) })
	}
	time.Sleep(100 * time.Millisecond)
	f.network.Isolate(1, partitioned.PeerAddress)
	sending.Wait()
	for i := range 16 {
		for n := range 2 {
			status, body := f.sendUntilFinal(others[(i+n+1)%len(others)], fmt.Sprint("lost-", i))
			if status != http.StatusOK && !strings.Contains(body, `"outcome":"unknown"`) {
				t.Errorf("lost-%d: %d %s", i, status, body)
			}
		}
	}
	f.network.Heal()
	for name, count := range f.runCounts() {
		if count != 1 {
			t.Errorf("%s ran %d times", name, count)
		}
	}
	is.True(len(f.runCounts()) > 100)
}
