package ingress_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/ingress"
)

var errStopped = errors.New("the server stops")

// Guards against responses that are lost because the response to an earlier request of their
// connection isn't ready when the server stops.
func TestCancelRequestsDeliversWaitingResponses(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 3)
	s, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
		started <- struct{}{}
		if string(request.Header.RequestURI()) == "/slow" {
			<-ctx.Done()
			response.SetStatusCode(fasthttp.StatusBadGateway)
			response.SetBodyString(context.Cause(ctx).Error())
			return
		}
		echo(ctx, request, response)
	})
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	for range 3 {
		<-started
	}
	is.Equal(string(read(t, reader).Body()), "GET /1 ")
	waitUntil(t, func() bool { return s.Progress() == ingress.Progress{Handled: 1, Waiting: 1} })
	s.CancelRequests(errStopped)
	cancelled, behind := read(t, reader), read(t, reader)
	is.Equal(cancelled.StatusCode(), fasthttp.StatusBadGateway)
	is.Equal(string(cancelled.Body()), errStopped.Error())
	is.True(!cancelled.ConnectionClose())
	is.Equal(string(behind.Body()), "GET /3 ")
	is.True(behind.ConnectionClose())
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
	waitUntil(t, func() bool { return s.Progress() == ingress.Progress{} })
}

// A caller that disconnects isn't told why its requests are cancelled.
func TestCancelRequestsAfterDisconnect(t *testing.T) {
	is := is.New(t)
	started, causes := make(chan struct{}, 1), make(chan error, 1)
	s, conn, _ := serve(t, func(ctx context.Context, _ *fasthttp.Request, _ *fasthttp.Response) {
		started <- struct{}{}
		<-ctx.Done()
		causes <- context.Cause(ctx)
	})
	send(t, conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	conn.Close()
	is.Equal(<-causes, ingress.ErrCallerDisconnected)
	s.CancelRequests(errStopped)
	waitUntil(t, func() bool { return s.Active() == 0 })
}

// Guards against a request that is still arriving when the server stops taking requests and gets no
// response. It is refused, behind the response to an earlier one, whether or not its caller goes on.
func TestStopAnswersArrivingRequests(t *testing.T) {
	for name, c := range map[string]struct {
		arrived, rest string
		complete      bool
	}{
		"complete":           {"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", "", true},
		"length":             {"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", "dy", false},
		"chunks":             {"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", "2\r\ndy\r\n0\r\n\r\n", false},
		"trailer":            {"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\n", "\r\n", false},
		"head":               {"POST /2 HTTP/1.1\r\nHost: a\r\n", "Content-Length: 4\r\n\r\nbody", false},
		"expectation":        {"POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", "body", false},
		"upload that stalls": {"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", "", false},
		"chunks that stall":  {"POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
				if string(request.Header.RequestURI()) == "/1" {
					<-ctx.Done()
					response.SetStatusCode(fasthttp.StatusBadGateway)
				}
				echo(ctx, request, response)
			})
			send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"+c.arrived)
			if c.complete {
				waitUntil(t, func() bool { return s.Progress() == ingress.Progress{Handled: 1, Waiting: 1} })
			} else {
				waitUntil(t, func() bool { return s.Progress() == ingress.Progress{Arriving: 1, Handled: 1} })
			}
			if name == "expectation" {
				response := &fasthttp.Response{}
				is.NoErr(response.Header.Read(reader))
				is.Equal(response.StatusCode(), fasthttp.StatusContinue)
			}
			s.CloseIdle()
			is.Equal(s.Active(), 2)
			send(t, conn, c.rest)
			time.Sleep(50 * time.Millisecond)
			is.Equal(s.Active(), 2) // the refusal waits for the first response
			s.CancelRequests(errStopped)
			first, second := read(t, reader), read(t, reader)
			is.Equal(first.StatusCode(), fasthttp.StatusBadGateway)
			is.True(!first.ConnectionClose())
			is.True(second.ConnectionClose())
			if c.complete {
				is.Equal(string(second.Body()), "POST /2 body")
			} else {
				is.Equal(second.StatusCode(), fasthttp.StatusServiceUnavailable)
				is.True(len(second.Header.Peek("Retry-After")) > 0)
			}
			// A caller that goes on sending doesn't lose the response to a reset.
			send(t, conn, "late")
			_, err := reader.ReadByte()
			is.Equal(err, io.EOF)
			conn.Close()
			waitUntil(t, func() bool { return s.Lingering() == 0 && s.Progress() == ingress.Progress{} && s.HeldBytes() == 0 })
		})
	}
}

// Guards against an empty line behind a request that counts as the start of another one, whose
// timeout cancelled the requests in service.
func TestEmptyLinesBetweenRequestsAreIgnored(t *testing.T) {
	is := is.New(t)
	s, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
		select {
		case <-time.After(limits().HeaderTimeout + 300*time.Millisecond):
		case <-ctx.Done():
			response.SetStatusCode(fasthttp.StatusBadGateway)
		}
		echo(ctx, request, response)
	})
	send(t, conn, "\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n\r\n\n")
	is.Equal(read(t, reader).StatusCode(), fasthttp.StatusOK)
	waitUntil(t, func() bool { return s.Active() == 0 })
	send(t, conn, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(string(read(t, reader).Body()), "GET /2 ")
}

// A request that begins to arrive after the server has stopped taking requests isn't served.
func TestRequestAfterCloseIdleIsUnread(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 2)
	s, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
		started <- struct{}{}
		<-ctx.Done()
		echo(ctx, request, response)
	})
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	s.CloseIdle()
	send(t, conn, "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo")
	s.CancelRequests(errStopped)
	is.True(read(t, reader).ConnectionClose())
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
	waitUntil(t, func() bool { return s.Active() == 0 })
	is.Equal(len(started), 0)
}

// Guards against requests that run although their responses are dropped, because an earlier one
// on their connection asked to close it. Input behind it isn't read as a request.
func TestRequestsBehindCloseAreNotServed(t *testing.T) {
	for name, behind := range map[string]string{
		"request":   "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n",
		"malformed": "no request\r\n\r\n",
		"upload":    "POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo",
		"nothing":   "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served, release := make(chan string, 3), make(chan struct{})
			s, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
				served <- string(request.Header.RequestURI())
				select {
				case <-release:
				case <-ctx.Done():
				}
				echo(ctx, request, response)
			})
			send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"+behind)
			<-served
			<-served
			waitUntil(t, func() bool { return s.Progress() == ingress.Progress{Handled: 2} })
			time.Sleep(50 * time.Millisecond) // a request behind them would have started
			close(release)
			first, last := read(t, reader), read(t, reader)
			is.Equal(string(first.Body()), "GET /1 ")
			is.Equal(string(last.Body()), "GET /2 ")
			is.True(last.ConnectionClose())
			_, err := reader.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(len(served), 0)
			conn.Close()
			waitUntil(t, func() bool { return s.Lingering() == 0 })
		})
	}
}

// A caller that disconnects after its last request cancels it.
func TestDisconnectAfterLastRequestCancelsIt(t *testing.T) {
	is := is.New(t)
	started, causes := make(chan struct{}, 1), make(chan error, 1)
	_, conn, _ := serve(t, func(ctx context.Context, _ *fasthttp.Request, _ *fasthttp.Response) {
		started <- struct{}{}
		<-ctx.Done()
		causes <- context.Cause(ctx)
	})
	send(t, conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	<-started
	conn.Close()
	is.Equal(<-causes, ingress.ErrCallerDisconnected)
}

// Guards against responses that are dropped because their caller has closed its sending side. Its
// requests that are still running are cancelled.
func TestHalfClosedCallerGetsResponses(t *testing.T) {
	is := is.New(t)
	s, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
		if string(request.Header.RequestURI()) == "/slow" {
			<-ctx.Done()
			response.SetStatusCode(fasthttp.StatusBadGateway)
		}
		echo(ctx, request, response)
	})
	send(t, conn, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	waitUntil(t, func() bool { return s.Progress() == ingress.Progress{Handled: 1, Waiting: 1} })
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	is.Equal(read(t, reader).StatusCode(), fasthttp.StatusBadGateway)
	is.Equal(string(read(t, reader).Body()), "GET /2 ")
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
	is.Equal(s.Active(), 0)
}
