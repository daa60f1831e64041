// Package load is a small open-loop load generator for trials: it sends requests
// at times that don't depend on the responses, and records the result of each. Runs
// are limited in duration and in the number of requests in flight.
package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

const (
	// maxInFlight limits the requests in flight of one stream.
	maxInFlight = 4096
	// maxLatency is the largest latency that a histogram distinguishes.
	maxLatency = time.Minute
	// significantDigits is the number of significant digits of latencies in a histogram.
	significantDigits = 3
)

// A Stream is a sequence of equal requests as a Poisson process of constant rate.
type Stream struct {
	// Name labels the results.
	Name string
	// Addresses are the addresses of the hosts, used in turn.
	Addresses []string
	Method    string
	Path      string
	Secret    string
	Account   string
	Class     string
	// Rate is the mean rate in requests per second.
	Rate float64
	// UseIdempotencyKey makes each request carry an Idempotency-Key.
	UseIdempotencyKey bool
	// Timeout limits the wait for the response to each attempt.
	Timeout time.Duration
	// MaxRetries is the number of immediate retries after a failure or refusal, each at
	// the next address and with the same key.
	MaxRetries int
	// Target is the latency up to which a response counts as goodput.
	Target time.Duration
}

// A Result is the result of one request, including its retries.
type Result struct {
	Stream  string
	Account string
	Class   string
	// Key identifies the request in the run logs of the backend servers.
	Key string
	// Start is the time since the start of the driver.
	Start   time.Duration
	Elapsed time.Duration
	Status  int
	Reason  string
	// Outcome is the outcome stated in a refusal; otherwise empty.
	Outcome string
	// WrongResponse reports that the response belongs to another request.
	WrongResponse bool
	// Err is the error if no response was received.
	Err error
}

// Good reports whether the request got its own successful response within the target.
func (r Result) Good(target time.Duration) bool {
	return r.Err == nil && !r.WrongResponse && r.Status == http.StatusOK && r.Elapsed <= target
}

// A Driver sends streams of requests and records the results.
type Driver struct {
	client *fasthttp.Client
	start  time.Time
	seed   uint64

	// mu guards results.
	mu      sync.Mutex
	results []Result
}

// New returns a Driver whose random arrival times are derived from a seed.
func New(seed uint64) *Driver {
	return &Driver{
		client: &fasthttp.Client{
			MaxConnsPerHost:           maxInFlight,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
			MaxIdleConnDuration:       5 * time.Second,
		},
		start: time.Now(),
		seed:  seed,
	}
}

// Run sends a stream for a duration and returns when all its requests have finished.
func (d *Driver) Run(ctx context.Context, s Stream, duration time.Duration) {
	random := rand.New(rand.NewPCG(d.seed, uint64(len(s.Name))))
	slots := make(chan struct{}, maxInFlight)
	var inFlight sync.WaitGroup
	begin := time.Now()
	next := begin
	for i := 0; time.Since(begin) < duration && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		slots <- struct{}{}
		inFlight.Go(func() {
			defer func() { <-slots }()
			d.send(s, i)
		})
	}
	inFlight.Wait()
}

// Results returns the results of all requests finished so far.
func (d *Driver) Results() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Result(nil), d.results...)
}

// Elapsed returns the time since the driver was created.
func (d *Driver) Elapsed() time.Duration { return time.Since(d.start) }

// send sends one request with its retries and records the result.
func (d *Driver) send(s Stream, i int) {
	start := time.Now()
	r := Result{
		Stream: s.Name, Account: s.Account, Class: s.Class,
		Key: fmt.Sprintf("%s-%d", s.Name, i), Start: start.Sub(d.start),
	}
	refusedCount := 0
	for attempt := 0; ; attempt++ {
		d.sendOnce(s, s.Addresses[(i+attempt)%len(s.Addresses)], &r)
		// If the connection is refused, the request was not sent: a caller with several
		// addresses tries the next one, which does not count as a retry.
		if errors.Is(r.Err, syscall.ECONNREFUSED) && refusedCount < len(s.Addresses) {
			refusedCount++
			attempt--
			i++
			continue
		}
		if r.Status == http.StatusOK || attempt >= s.MaxRetries {
			break
		}
	}
	r.Elapsed = time.Since(start)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, r)
}

func (d *Driver) sendOnce(s Stream, address string, r *Result) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + s.Path)
	request.Header.SetMethod(s.Method)
	request.Header.Set("X-Request-Key", r.Key)
	if s.Secret != "" {
		request.Header.Set("Authorization", "Bearer "+s.Secret)
	}
	if s.UseIdempotencyKey {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	request.SetBodyString(r.Key)
	r.Err = d.client.DoTimeout(request, response, s.Timeout)
	r.Status, r.Reason, r.Outcome, r.WrongResponse = 0, "", "", false
	if r.Err != nil {
		return
	}
	r.Status = response.StatusCode()
	r.Outcome = string(response.Header.Peek("Bilberryvane-Outcome"))
	r.Reason = string(response.Header.Peek("Bilberryvane-Reason"))
	r.WrongResponse = r.Status == http.StatusOK && string(response.Body()) != r.Key
}

// LatencyHistogram returns the histogram of the latencies of successful requests, in
// microseconds.
func LatencyHistogram(results []Result) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	for _, r := range results {
		if r.Err == nil && r.Status == http.StatusOK {
			_ = h.RecordValue(min(r.Elapsed, maxLatency).Microseconds())
		}
	}
	return h
}
