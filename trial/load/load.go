// Package load is a small open-loop load driver for trials: it sends requests at
// fixed times, whatever the answers, and tells how each ended. Its loops are
// bounded in time and in requests under way.
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
	// maxUnderway bounds the requests under way for one stream.
	maxUnderway = 4096
	// longest is the longest latency that is told apart.
	longest = time.Minute
	// digits is the number of significant digits of latencies.
	digits = 3
)

// A Stream is a flow of like requests at a steady rate.
type Stream struct {
	// Name labels the results.
	Name string
	// Entries are the addresses to send to, each in turn.
	Entries []string
	Method  string
	Path    string
	Secret  string
	Account string
	Class   string
	// Rate is in requests a second.
	Rate float64
	// Once makes each request carry an Idempotency-Key.
	Once bool
	// Timeout is how long an answer is waited for.
	Timeout time.Duration
	// Resends is how often a request that got no answer or was refused is sent
	// again at once, each time to another entry, under the same key.
	Resends int
	// Target is the time within which an answer counts for goodput.
	Target time.Duration
}

// A Result is how one request ended.
type Result struct {
	Stream  string
	Account string
	Class   string
	// Key names the request in the backend servers' record of what they ran.
	Key string
	// Start counts from the start of the load.
	Start   time.Duration
	Elapsed time.Duration
	Status  int
	Reason  string
	// Outcome is that of the refusal; empty for an answer.
	Outcome string
	// Wrong says that the answer belonged to another request.
	Wrong bool
	// Err is set when no answer came.
	Err error
}

// Good reports whether the request was answered right and in time.
func (r Result) Good(target time.Duration) bool {
	return r.Err == nil && !r.Wrong && r.Status == http.StatusOK && r.Elapsed <= target
}

// A Driver sends streams of requests.
type Driver struct {
	client *fasthttp.Client
	start  time.Time
	seed   uint64

	// mu guards results.
	mu      sync.Mutex
	results []Result
}

// New returns a Driver whose choices follow from a seed.
func New(seed uint64) *Driver {
	return &Driver{
		client: &fasthttp.Client{
			MaxConnsPerHost:           maxUnderway,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
			MaxIdleConnDuration:       5 * time.Second,
		},
		start: time.Now(),
		seed:  seed,
	}
}

// Run sends a stream for a time and returns when all its requests have ended.
func (d *Driver) Run(ctx context.Context, s Stream, duration time.Duration) {
	random := rand.New(rand.NewPCG(d.seed, uint64(len(s.Name))))
	slots := make(chan struct{}, maxUnderway)
	var underway sync.WaitGroup
	begin := time.Now()
	next := begin
	for i := 0; time.Since(begin) < duration && ctx.Err() == nil; i++ {
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second)))
		slots <- struct{}{}
		underway.Go(func() {
			defer func() { <-slots }()
			d.send(s, i)
		})
	}
	underway.Wait()
}

// Results returns how all requests ended so far.
func (d *Driver) Results() []Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]Result(nil), d.results...)
}

// Elapsed returns the time since the driver was made.
func (d *Driver) Elapsed() time.Duration { return time.Since(d.start) }

// send sends one request, and again as often as the stream allows.
func (d *Driver) send(s Stream, i int) {
	start := time.Now()
	r := Result{
		Stream: s.Name, Account: s.Account, Class: s.Class,
		Key: fmt.Sprintf("%s-%d", s.Name, i), Start: start.Sub(d.start),
	}
	refused := 0
	for try := 0; ; try++ {
		d.once(s, s.Entries[(i+try)%len(s.Entries)], &r)
		// A host that takes no connection was not sent the request: any caller with
		// more than one address goes on to the next.
		if errors.Is(r.Err, syscall.ECONNREFUSED) && refused < len(s.Entries) {
			refused++
			try--
			i++
			continue
		}
		if r.Status == http.StatusOK || try >= s.Resends {
			break
		}
	}
	r.Elapsed = time.Since(start)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, r)
}

func (d *Driver) once(s Stream, address string, r *Result) {
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
	if s.Once {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	request.SetBodyString(r.Key)
	r.Err = d.client.DoTimeout(request, response, s.Timeout)
	r.Status, r.Reason, r.Outcome, r.Wrong = 0, "", "", false
	if r.Err != nil {
		return
	}
	r.Status = response.StatusCode()
	r.Outcome = string(response.Header.Peek("Bilberryvane-Outcome"))
	r.Reason = string(response.Header.Peek("Bilberryvane-Reason"))
	r.Wrong = r.Status == http.StatusOK && string(response.Body()) != r.Key
}

// Latencies returns the histogram of the latencies of answered requests, in
// microseconds.
func Latencies(results []Result) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, longest.Microseconds(), digits)
	for _, r := range results {
		if r.Err == nil && r.Status == http.StatusOK {
			_ = h.RecordValue(min(r.Elapsed, longest).Microseconds())
		}
	}
	return h
}
