package sidecar

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/process/backendserver"
	"github.com/bilberryvane/bilberryvane/internal/process/demand"
	"github.com/bilberryvane/bilberryvane/internal/process/era"
	"github.com/bilberryvane/bilberryvane/internal/process/retrybudget"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// latencyBounds are the upper bounds of the latency histogram, in milliseconds.
var latencyBounds = [...]int64{1, 2, 5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000}

// counters are the node's request metrics, served as text with one metric per line.
type counters struct {
	answered, inTarget expvar.Int
	refused            *expvar.Map
	latency            [len(latencyBounds) + 1]expvar.Int
	latencySum         expvar.Int
	backendServer      *backendserver.Server
	configuration      *configuration
	evacuations        *evacuations
	eras               *era.Tracker
	zonePlan           *zonePlan
	// checkAge returns the time since the store was last known to hold no newer
	// configuration. It is set before the counters are served.
	checkAge func() time.Duration
	// retries returns the use of the retries, and retryWindows the number of windows in which
	// they are counted. Both are set before the counters are served.
	retries      func() []retrybudget.Usage
	retryWindows func() int
	planner      *demand.Planner
}

func newCounters(s *backendserver.Server, c *configuration, e *evacuations, t *era.Tracker, z *zonePlan, p *demand.Planner) *counters {
	return &counters{
		refused: new(expvar.Map).Init(), backendServer: s, configuration: c, evacuations: e, eras: t, zonePlan: z, planner: p,
	}
}

// Count counts one request. It implements relay.Counter.
func (c *counters) Count(reason refusal.Reason, target, elapsed time.Duration) {
	if reason != "" {
		c.refused.Add(string(reason), 1)
		return
	}
	c.answered.Add(1)
	if elapsed <= target {
		c.inTarget.Add(1)
	}
	ms := elapsed.Milliseconds()
	c.latencySum.Add(ms)
	i := 0
	for i < len(latencyBounds) && ms > latencyBounds[i] {
		i++
	}
	c.latency[i].Add(1)
}

// Serve writes the counters in the Prometheus text exposition format. It
// implements ingress.Handler.
func (c *counters) Serve(_ context.Context, _ *fasthttp.Request, response *fasthttp.Response) {
	var b strings.Builder
	fmt.Fprintf(&b, "bilberryvane_requests_answered_total %d\n", c.answered.Value())
	fmt.Fprintf(&b, "bilberryvane_answers_in_target_total %d\n", c.inTarget.Value())
	c.refused.Do(func(v expvar.KeyValue) {
		fmt.Fprintf(&b, "bilberryvane_requests_refused_total{reason=%q} %s\n", v.Key, v.Value)
	})
	total := int64(0)
	for i, bound := range latencyBounds {
		total += c.latency[i].Value()
		fmt.Fprintf(&b, "bilberryvane_latency_milliseconds_bucket{le=\"%d\"} %d\n", bound, total)
	}
	total += c.latency[len(latencyBounds)].Value()
	fmt.Fprintf(&b, "bilberryvane_latency_milliseconds_bucket{le=\"+Inf\"} %d\n", total)
	fmt.Fprintf(&b, "bilberryvane_latency_milliseconds_sum %d\n", c.latencySum.Value())
	fmt.Fprintf(&b, "bilberryvane_latency_milliseconds_count %d\n", total)
	c.writeReturns(&b)
	c.writeBackendServer(&b)
	c.writeRetries(&b)
	c.writeConfiguration(&b)
	c.writeEvacuations(&b)
	fmt.Fprintf(&b, "bilberryvane_store_era %d\n", c.eras.Number())
	fmt.Fprintf(&b, "bilberryvane_store_restorations_total %d\n", c.eras.Rises())
	c.writeZonePlan(&b)
	response.Header.SetContentType("text/plain; version=0.0.4")
	response.SetBodyString(b.String())
}

// writeReturns writes the metrics of callers who were asked to come back.
func (c *counters) writeReturns(b *strings.Builder) {
	r := c.planner.ReturnCounts()
	fmt.Fprintf(b, "bilberryvane_returns_promised_total %d\n", r.Promised)
	fmt.Fprintf(b, "bilberryvane_returns_unplaced_total %d\n", r.Unplaced)
	fmt.Fprintf(b, "bilberryvane_returns_admitted_total %d\n", r.Admitted)
	fmt.Fprintf(b, "bilberryvane_returns_refused_again_total %d\n", r.RefusedAgain)
}

// writeBackendServer writes the metrics of the backend server on this host. There is no
// request limit while the backend server states none.
func (c *counters) writeBackendServer(b *strings.Builder) {
	usage := c.backendServer.Usage()
	fmt.Fprintf(b, "bilberryvane_backend_server_requests_total %d\n", usage.Sent)
	fmt.Fprintf(b, "bilberryvane_backend_server_retries_total %d\n", usage.Retried)
	fmt.Fprintf(b, "bilberryvane_backend_server_limited_requests_total %d\n", usage.SentWhileLimited)
	fmt.Fprintf(b, "bilberryvane_backend_server_cold_requests_total %d\n", usage.SentWhileCold)
	cold := 0
	if c.backendServer.Backend().Cold {
		cold = 1
	}
	fmt.Fprintf(b, "bilberryvane_backend_server_cold %d\n", cold)
	if status := c.backendServer.Status(); status.Limited {
		fmt.Fprintf(b, "bilberryvane_backend_server_request_limit %g\n", status.RequestLimit)
	}
}

// writeRetries writes the metrics of the retries at each service to which the node has
// retried a request or wanted to, and the number of windows in which they are counted.
func (c *counters) writeRetries(b *strings.Builder) {
	for _, u := range c.retries() {
		fmt.Fprintf(b, "bilberryvane_retries_total{service=%q,result=\"allowed\"} %d\n", u.Service, u.Allowed)
		fmt.Fprintf(b, "bilberryvane_retries_total{service=%q,result=\"denied\"} %d\n", u.Service, u.Denied)
		fmt.Fprintf(b, "bilberryvane_retry_share{service=%q} %.4f\n", u.Service, u.Share)
	}
	fmt.Fprintf(b, "bilberryvane_retry_windows %d\n", c.retryWindows())
}

// writeConfiguration writes the metrics of the configuration. The age of the last check is
// missing until there is one.
func (c *counters) writeConfiguration(b *strings.Builder) {
	fmt.Fprintf(b, "bilberryvane_configuration_version %d\n", c.configuration.Version())
	if age := c.checkAge(); age < math.MaxInt64 {
		fmt.Fprintf(b, "bilberryvane_configuration_check_age_seconds %.3f\n", age.Seconds())
	}
}

// writeEvacuations writes the metrics of evacuated availability zones.
func (c *counters) writeEvacuations(b *strings.Builder) {
	for _, zone := range c.evacuations.register.Zones() {
		fmt.Fprintf(b, "bilberryvane_zone_evacuated{zone=%q} 1\n", zone)
	}
	fmt.Fprintf(b, "bilberryvane_evacuation_refusals_total %d\n", c.evacuations.gate.Refused())
}

// writeZonePlan writes which part of the requests for a service leaves the zone of this host by
// the plan, to which zone, and the seconds that callers win.
func (c *counters) writeZonePlan(b *strings.Builder) {
	shares := c.zonePlan.leaving()
	for _, service := range slices.Sorted(maps.Keys(shares)) {
		for _, s := range shares[service] {
			fmt.Fprintf(b, "bilberryvane_zone_leaving_ratio{service=%q,to=%q} %.3f\n", service, s.Zone, s.Part)
			fmt.Fprintf(b, "bilberryvane_zone_leaving_gain_seconds{service=%q,to=%q} %.4f\n", service, s.Zone, s.Gain.Seconds())
		}
	}
}
