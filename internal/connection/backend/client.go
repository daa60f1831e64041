package backend

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/execute"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// TokenHeader carries the request token to the backend server, which returns it with
// its nested calls.
const TokenHeader = "Bilberryvane-Request"

// TimeoutHeader carries the time left until the request's deadline, in milliseconds.
const TimeoutHeader = "Bilberryvane-Timeout-Ms"

// maxResponseBytes limits the body of a response.
const maxResponseBytes = 4 << 20

// A Server is a backend server's announcement of itself.
type Server struct {
	// Service is the service that it implements.
	Service string `json:"service"`
	// Address is its loopback or host address, with the port.
	Address string `json:"address"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `json:"slots"`
	// Connections is the number of concurrent connections that it accepts.
	Connections int `json:"connections"`
	// Draining reports that it accepts no new requests.
	Draining bool `json:"leaving"`
}

// A Client sends requests to the backend server that was set last. It is safe for
// concurrent use.
type Client struct {
	clock clock.Clock

	// mu guards pool and server.
	mu     sync.RWMutex
	pool   *pool
	server Server
}

// NewClient returns a Client without a backend server.
func NewClient(c clock.Clock) *Client { return &Client{clock: c} }

// SetServer sets the backend server of further requests. It keeps the connection pool
// if the address and the number of connections are unchanged.
func (c *Client) SetServer(s Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool != nil && c.server.Address == s.Address && c.server.Connections == s.Connections {
		c.server = s
		return
	}
	if c.pool != nil {
		c.pool.close()
	}
	c.server = s
	c.pool = newPool(s.Address, max(1, s.Connections))
}

// Do sends a request to the backend server and returns the complete response, or a
// refusal that says whether the backend server may have received the request.
func (c *Client) Do(ctx context.Context, r exchange.Request, token string) execute.Result {
	c.mu.RLock()
	p := c.pool
	server := c.server
	c.mu.RUnlock()
	if p == nil || server.Service != r.Context.Service {
		return notSent(refusal.NoBackendServer)
	}
	conn, err := p.get(ctx, c.clock.Now(), r.Context.RequestID)
	if err != nil {
		return notSent(failureReason(ctx))
	}
	// Cancellation closes the connection, which signals the backend server to stop.
	// The connection is not reused.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer, reusable, err := c.exchange(conn, r, token)
	if !stop() {
		reusable = false
	}
	p.put(conn, reusable, c.clock.Now())
	if err != nil {
		return lostResult(ctx, err)
	}
	return execute.Result{Answer: answer, Sent: true}
}

// exchange writes the request and reads the complete response.
func (c *Client) exchange(conn *connection, r exchange.Request, token string) (exchange.Answer, bool, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	c.fillRequest(request, r, token)
	response.SkipBody = r.Method == http.MethodHead
	if err := request.Write(conn.writer); err != nil {
		return exchange.Answer{}, false, fmt.Errorf("write request: %w", err)
	}
	if err := conn.writer.Flush(); err != nil {
		return exchange.Answer{}, false, fmt.Errorf("send request: %w", err)
	}
	if err := readAnswer(conn.reader, response); err != nil {
		return exchange.Answer{}, false, fmt.Errorf("read answer: %w", err)
	}
	return toAnswer(response), !response.ConnectionClose(), nil
}

func (c *Client) fillRequest(request *fasthttp.Request, r exchange.Request, token string) {
	request.Header.SetMethod(r.Method)
	request.SetRequestURI(r.Path)
	request.Header.SetHost(r.Context.Service)
	for _, h := range r.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	left := r.Context.Deadline.Sub(c.clock.Now())
	request.Header.Set(TimeoutHeader, fmt.Sprint(max(0, left.Milliseconds())))
	request.Header.Set(TokenHeader, token)
	if r.Context.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", r.Context.IdempotencyKey)
	}
	request.SetBodyRaw(r.Body)
}

func toAnswer(response *fasthttp.Response) exchange.Answer {
	answer := exchange.Answer{Status: response.StatusCode()}
	for name, value := range response.Header.All() {
		if isForwarded(string(name)) {
			answer.Headers = append(answer.Headers, exchange.Header{Name: string(name), Value: string(value)})
		}
	}
	answer.Body = append(answer.Body, response.Body()...)
	return answer
}

// isForwarded reports whether a header field of a response is forwarded. Fields that
// describe the connection or the backend server are not.
func isForwarded(name string) bool {
	switch name {
	case "Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive", "Date", "Server", TokenHeader:
		return false
	}
	return true
}

func notSent(reason refusal.Reason) execute.Result {
	return execute.Result{Answer: exchange.Refused(refusal.New(reason))}
}

func failureReason(ctx context.Context) refusal.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.DeadlinePassed
	}
	if ctx.Err() != nil {
		return refusal.Cancelled
	}
	return refusal.NoBackendServer
}

// lostResult returns the result of a request without a complete response.
func lostResult(ctx context.Context, err error) execute.Result {
	reason := refusal.BackendLost
	crashed := ctx.Err() == nil
	if !crashed {
		reason = failureReason(ctx)
	}
	r := refusal.New(reason).WithOutcome(refusal.Unknown)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = r.WithDetail("its answer was larger than this system passes on")
		crashed = false
	case errors.Is(err, ErrNoFinalStatus):
		r = r.WithDetail("its answer had no final status")
		crashed = false
	case errors.Is(err, ErrMalformedField):
		r = r.WithDetail("its answer had a malformed header field")
		crashed = false
	}
	return execute.Result{Answer: exchange.Refused(r), Sent: true, Crashed: crashed}
}
