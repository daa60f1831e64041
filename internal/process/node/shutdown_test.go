package node_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/trial/deployment"
)

// A node that shuts down must answer each request that it has passed on to another node:
// with that node's answer, or with an unknown outcome if the shutdown times out first.
func TestShutdownAnswersForwardedRequests(t *testing.T) {
	type result struct {
		status       int
		outcome, err string
		at           time.Time
	}
	is := is.New(t)
	started := make(chan struct{}, 2)
	f := startFleetWithHandlers(t, twoServices(), map[string]func(*testServer) http.HandlerFunc{
		"planning": func(*testServer) http.HandlerFunc {
			return func(_ http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/routes/") {
					wait, _ := time.ParseDuration(strings.TrimPrefix(r.URL.Path, "/routes/"))
					started <- struct{}{}
					time.Sleep(wait)
				}
			}
		},
	})
	send := func(h deployment.Host, wait string) <-chan result {
		done := make(chan result, 1)
		go func() {
			request, _ := http.NewRequest(http.MethodPost, "http://"+h.CallerAddress+"/planning/routes/"+wait, nil)
			request.Header.Set("Authorization", "Bearer "+f.deployment.AccountKeys["depot-nord"])
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				done <- result{err: err.Error(), at: time.Now()}
				return
			}
			_ = response.Body.Close()
			done <- result{status: response.StatusCode, outcome: response.Header.Get("Bilberryvane-Outcome"), at: time.Now()}
		}()
		return done
	}
	leaving := f.deployment.HostsOf("stock")[0]
	answered, outlasting := send(leaving, "1500ms"), send(leaving, "8s")
	<-started
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	shutdownErr := f.hosts[leaving.Name].Node.Shutdown(ctx)
	stopped := time.Now()
	got := <-answered
	is.Equal(got.err, "")
	is.Equal(got.status, http.StatusOK)
	is.True(got.at.Before(stopped))
	got = <-outlasting
	is.Equal(got.err, "")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(got.outcome, "unknown")
	is.True(got.at.Before(stopped))
	is.NoErr(shutdownErr)
	delete(f.hosts, leaving.Name)
}
