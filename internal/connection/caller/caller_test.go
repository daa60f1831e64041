package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/caller"
	"github.com/bilberryvane/bilberryvane/internal/request/entry"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// A handlerFunc handles all requests of a test server.
type handlerFunc func(ctx context.Context, in entry.Request) exchange.Answer

// Serve handles the request of a client.
func (f handlerFunc) Serve(ctx context.Context, in entry.Request) exchange.Answer { return f(ctx, in) }

// ServeChild handles the call of a backend server.
func (f handlerFunc) ServeChild(ctx context.Context, in entry.Request) exchange.Answer {
	return f(ctx, in)
}

// startServer starts a server for clients, which is shut down after the test.
func startServer(t *testing.T, f handlerFunc) *caller.Server {
	t.Helper()
	limits := caller.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, MaxConnections: 100}
	server, err := caller.ListenCallers("127.0.0.1:0", limits, f)
	is.New(t).NoErr(err)
	server.Serve()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.Shutdown(ctx) // Only releases the port.
	})
	return server
}

// dial connects to a server and limits the time for which the test waits for answers.
func dial(t *testing.T, s *caller.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	return conn, bufio.NewReader(conn)
}

// readResponse reads a complete response.
func readResponse(r *bufio.Reader) (*http.Response, []byte, error) {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// An answer that is ready must not wait until the next request on its connection is
// answered: if the node stops meanwhile, the caller never gets it.
func TestAnswerIsNotHeldBackForPipelinedRequest(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	server := startServer(t, func(_ context.Context, in entry.Request) exchange.Answer {
		if in.Path == "/slow" {
			<-release
		}
		return exchange.Answer{Status: http.StatusOK, Body: []byte(in.Path)}
	})
	conn, reader := dial(t, server)
	_, err := io.WriteString(conn, "GET /stock/fast HTTP/1.1\r\nHost: x\r\n\r\nGET /stock/slow HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	_, body, err := readResponse(reader)
	is.NoErr(err)
	is.Equal(string(body), "/fast")
}

// A caller must get its whole answer although the node closes the connection without
// reading the requests that were sent behind it, and these must not run.
func TestAnswerSurvivesCloseBeforeUnreadRequests(t *testing.T) {
	const request = "GET /stock/first HTTP/1.1\r\nHost: x\r\n"
	answer := make([]byte, 2<<20)
	unread := "POST /stock/second HTTP/1.1\r\nHost: x\r\nContent-Length: 102400\r\n\r\n" + strings.Repeat("x", 102400)
	tests := []struct {
		name, header string
		leave        bool
	}{
		{name: "Connection: close", header: "Connection: close\r\n"},
		{name: "shutdown", leave: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int32
			started, release := make(chan struct{}, 2), make(chan struct{})
			server := startServer(t, func(context.Context, entry.Request) exchange.Answer {
				ran.Add(1)
				started <- struct{}{}
				<-release
				return exchange.Answer{Status: http.StatusOK, Body: answer}
			})
			conn, reader := dial(t, server)
			var sending sync.WaitGroup
			defer sending.Wait()
			sending.Go(func() { _, _ = io.WriteString(conn, request+tt.header+"\r\n"+unread) })
			<-started
			if tt.leave {
				server.DisableKeepAlives()
			}
			close(release)
			time.Sleep(300 * time.Millisecond) // The node closes the connection meanwhile.
			response, body, err := readResponse(reader)
			is.NoErr(err)
			is.True(response.Close)
			is.Equal(len(body), len(answer))
			is.Equal(int(ran.Load()), 1)
		})
	}
}

// A request that is still running when the shutdown times out must be answered before
// that, with its outcome, not by a closed connection.
func TestShutdownAnswersRequestThatOutlastsIt(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	server := startServer(t, func(ctx context.Context, _ entry.Request) exchange.Answer {
		close(started)
		<-ctx.Done()
		return exchange.Refused(refusal.New(refusal.Cancelled).WithOutcome(refusal.Unknown))
	})
	conn, reader := dial(t, server)
	_, err := io.WriteString(conn, "GET /stock/items HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(ctx) }()
	response, _, err := readResponse(reader)
	is.NoErr(err)
	is.NoErr(ctx.Err())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(caller.OutcomeHeader), string(refusal.Unknown))
	is.Equal(response.Header.Get(caller.ReasonHeader), string(refusal.Leaving))
	is.NoErr(conn.Close())
	is.NoErr(<-shutdown)
}

// An upload that is still arriving when the shutdown times out must be refused before
// that as not run, not by a closed connection.
func TestShutdownRefusesUploadThatOutlastsIt(t *testing.T) {
	is := is.New(t)
	server := startServer(t, func(context.Context, entry.Request) exchange.Answer {
		t.Error("an incomplete request was run")
		return exchange.Answer{Status: http.StatusOK}
	})
	conn, reader := dial(t, server)
	_, err := io.WriteString(conn, "POST /stock/items HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\nincomplete")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond) // The node receives the start of the request.
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	shutdown := make(chan error, 1)
	go func() { shutdown <- server.Shutdown(ctx) }()
	response, _, err := readResponse(reader)
	is.NoErr(err)
	is.NoErr(ctx.Err())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get(caller.OutcomeHeader), string(refusal.NotRun))
	is.Equal(response.Header.Get(caller.ReasonHeader), string(refusal.Leaving))
	is.NoErr(conn.Close())
	is.NoErr(<-shutdown)
}
