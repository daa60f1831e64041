package node_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/trial/deployment"
)

const (
	limitedRate  = 60
	limitedBurst = 30
)

// An account that sends several times its rate through all hosts at once gets at most
// burst + rate*t requests admitted in every window. Refusals contain a retry-after time,
// and another account is still served.
func TestAccountRateLimitAcrossHosts(t *testing.T) {
	is := is.New(t)
	l := twoServices()
	l.Accounts = append(l.Accounts, deployment.Account{Name: "depot-sued", Rate: limitedRate, Burst: limitedBurst})
	f := startFleet(t, l)
	type admission struct{ sent, answered time.Time }
	var mu sync.Mutex
	var admitted []admission
	refused := 0
	var senders sync.WaitGroup
	for i := range 4 * len(f.deployment.Hosts) {
		h := f.deployment.Hosts[i%len(f.deployment.Hosts)]
		senders.Go(func() {
			for range 40 {
				sent := time.Now()
				response, body := f.send(h, http.MethodGet, "/stock/items", f.deployment.AccountKeys["depot-sued"], "", nil)
				answered := time.Now()
				mu.Lock()
				if response.StatusCode == http.StatusOK {
					admitted = append(admitted, admission{sent: sent, answered: answered})
				}
				if response.StatusCode == http.StatusTooManyRequests && strings.Contains(body, `"reason":"rate-exceeded"`) &&
					strings.Contains(body, `"retry-after"`) {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	senders.Wait()
	is.True(refused > 0)
	is.True(len(admitted) > limitedBurst/2)
	for _, first := range admitted {
		for _, last := range admitted {
			window := last.answered.Sub(first.sent)
			count := 0
			for _, a := range admitted {
				if !a.sent.Before(first.sent) && !a.answered.After(last.answered) {
					count++
				}
			}
			is.True(window < 0 || float64(count) <= limitedBurst+limitedRate*window.Seconds())
		}
	}
	response, _ := f.send(f.deployment.Hosts[0], http.MethodGet, "/stock/items", f.deployment.AccountKeys["depot-nord"], "", nil)
	is.Equal(response.StatusCode, http.StatusOK)
}
