package ingress_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/ingress"
)

// largeBody is larger than the receive buffer of dialSlow, so that a reset loses a part of it.
var largeBody = bytes.Repeat([]byte("x"), 80_000)

// slowTimeout bounds a test that takes seconds to read its responses.
const slowTimeout = 30 * time.Second

// dialSlow connects as a caller whose small receive buffer leaves responses in the server's
// send buffer until it reads them.
func dialSlow(t *testing.T, s *ingress.Server) net.Conn {
	t.Helper()
	conn, _ := dial(t, s)
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(slowTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

const getLarge = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n"

// closingConnections are the ways in which the server closes a connection whose caller hasn't
// read the response to getLarge yet.
var closingConnections = map[string]func(t *testing.T, s *ingress.Server, conn net.Conn){
	"planned stop": func(t *testing.T, s *ingress.Server, conn net.Conn) {
		s.Drain()
		send(t, conn, getLarge)
	},
	"idle connection of a planned stop": func(_ *testing.T, s *ingress.Server, _ net.Conn) { s.CloseIdle() },
	"idle timeout":                      func(*testing.T, *ingress.Server, net.Conn) {},
	"close requested by the caller": func(t *testing.T, _ *ingress.Server, conn net.Conn) {
		send(t, conn, "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	},
	"malformed request": func(t *testing.T, _ *ingress.Server, conn net.Conn) { send(t, conn, "no request\r\n\r\n") },
	"body too large": func(t *testing.T, _ *ingress.Server, conn net.Conn) {
		send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n")
	},
	"headers too large": func(t *testing.T, _ *ingress.Server, conn net.Conn) {
		send(t, conn, "GET / HTTP/1.1\r\nHost: a\r\nX-A: "+strings.Repeat("a", 6000)+"\r\n\r\n")
	},
	"no memory for the body": func(t *testing.T, _ *ingress.Server, conn net.Conn) {
		send(t, conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n")
	},
	"headers too late": func(t *testing.T, _ *ingress.Server, conn net.Conn) { send(t, conn, "GET /never") },
}

// Guards against a closing connection that resets callers which go on sending before they
// have read their responses: the rest of the responses was lost.
func TestClosingConnectionDeliversUnreadResponses(t *testing.T) {
	for name, closeConnection := range closingConnections {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var served atomic.Int64
			serveLarge := func(_ context.Context, _ *fasthttp.Request, response *fasthttp.Response) {
				response.SetBody(largeBody)
				served.Add(1)
			}
			limits := func() ingress.Limits {
				return ingress.Limits{HeaderBytes: 4096, BodyBytes: 10_000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
			}
			s, err := ingress.Listen("127.0.0.1:0", handler(serveLarge), limits, ingress.WithMaxHeldBytes(8000))
			is.NoErr(err)
			defer s.Close()
			conn := dialSlow(t, s)
			send(t, conn, getLarge)
			waitUntil(t, func() bool { return served.Load() == 1 && s.Active() == 0 })
			closeConnection(t, s, conn)
			waitUntil(t, func() bool { return s.Lingering() == 1 })
			time.Sleep(700 * time.Millisecond)
			send(t, conn, getLarge)
			time.Sleep(50 * time.Millisecond)
			send(t, conn, getLarge)
			received, err := io.ReadAll(conn)
			is.NoErr(err) // a reset is an error
			is.True(bytes.Count(received, []byte("x")) >= len(largeBody))
			conn.Close()
			waitUntil(t, func() bool { return s.Lingering() == 0 })
		})
	}
}

// Guards against a server that takes requests until its end because a caller always has one
// in flight: after CloseIdle only the requests taken before are answered, the last one with
// Connection: close.
func TestCloseIdleEndsPipelining(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 3), make(chan struct{})
	s, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
		started <- struct{}{}
		select {
		case <-release:
		case <-ctx.Done():
		}
		echo(ctx, request, response)
	})
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	<-started
	s.CloseIdle()
	send(t, conn, "GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	select {
	case <-started:
		t.Fatal("a request that was sent after CloseIdle is served")
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	first, second := read(t, reader), read(t, reader)
	is.True(!first.ConnectionClose())
	is.Equal(string(second.Body()), "GET /2 ")
	is.True(second.ConnectionClose())
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
	conn.Close()
	waitUntil(t, func() bool { return s.Lingering() == 0 })
}

// A caller that disconnects while the server takes no more requests cancels those in flight.
func TestDisconnectAfterCloseIdleCancelsRequests(t *testing.T) {
	is := is.New(t)
	started, causes := make(chan struct{}, 1), make(chan error, 1)
	s, conn, _ := serve(t, func(ctx context.Context, _ *fasthttp.Request, _ *fasthttp.Response) {
		started <- struct{}{}
		<-ctx.Done()
		causes <- context.Cause(ctx)
	})
	send(t, conn, getLarge)
	<-started
	s.CloseIdle()
	send(t, conn, getLarge)
	conn.Close()
	select {
	case err := <-causes:
		is.True(errors.Is(err, ingress.ErrCallerDisconnected))
	case <-time.After(testTimeout):
		t.Fatal("the request is still running after its caller disconnected")
	}
}

// Guards against a connection that is closed because it seems idle, while a response that is
// read slowly is still being sent.
func TestConnectionIsNotIdleWhileResponseIsSent(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 16<<20) // more than the kernel buffers
	for name, c := range map[string]struct {
		request   string
		interrupt func(s *ingress.Server)
	}{
		"planned stop":                  {getLarge, (*ingress.Server).CloseIdle},
		"idle timeout":                  {getLarge, func(*ingress.Server) {}},
		"idle timeout, final response":  {"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", func(*ingress.Server) {}},
		"planned stop, pipelined again": {getLarge + getLarge, (*ingress.Server).CloseIdle},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var served atomic.Int64
			serveLarge := func(_ context.Context, _ *fasthttp.Request, response *fasthttp.Response) {
				response.SetBodyRaw(body)
				served.Add(1)
			}
			limits := func() ingress.Limits {
				return ingress.Limits{HeaderBytes: 4096, BodyBytes: 10_000, HeaderTimeout: time.Second, IdleTimeout: 300 * time.Millisecond}
			}
			s, err := ingress.Listen("127.0.0.1:0", handler(serveLarge), limits)
			is.NoErr(err)
			defer s.Close()
			conn, _ := dial(t, s)
			is.NoErr(conn.SetDeadline(time.Now().Add(slowTimeout)))
			send(t, conn, c.request)
			requests := int64(bytes.Count([]byte(c.request), []byte("GET")))
			waitUntil(t, func() bool { return served.Load() == requests })
			time.Sleep(100 * time.Millisecond)
			c.interrupt(s)
			time.Sleep(600 * time.Millisecond)
			send(t, conn, getLarge) // may be served or not
			received, err := io.ReadAll(conn)
			is.NoErr(err) // a reset is an error
			is.True(int64(bytes.Count(received, []byte("x"))) >= requests*int64(len(body)))
		})
	}
}
