package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/ingress"
)

const testTimeout = 5 * time.Second

type handler func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response)

func (h handler) Serve(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
	h(ctx, request, response)
}

func limits() ingress.Limits {
	return ingress.Limits{HeaderBytes: 4096, BodyBytes: 10_000, HeaderTimeout: time.Second, IdleTimeout: 2 * time.Second}
}

// echo responds with the method, the URI and the body.
func echo(_ context.Context, request *fasthttp.Request, response *fasthttp.Response) {
	response.SetBodyString(fmt.Sprintf("%s %s %s", request.Header.Method(), request.Header.RequestURI(), request.Body()))
}

func serve(t *testing.T, h handler) (*ingress.Server, net.Conn, *bufio.Reader) {
	t.Helper()
	s, err := ingress.Listen("127.0.0.1:0", h, limits)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	conn, reader := dial(t, s)
	return s, conn, reader
}

func dial(t *testing.T, s *ingress.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, reader *bufio.Reader) *fasthttp.Response {
	t.Helper()
	response := &fasthttp.Response{}
	if err := response.Read(reader); err != nil {
		t.Fatal(err)
	}
	return response
}

func TestPipelinedRequestsRunConcurrentlyWithOrderedResponses(t *testing.T) {
	is := is.New(t)
	second := make(chan struct{})
	_, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
		if string(request.Header.RequestURI()) == "/1" {
			select {
			case <-second: // the first request waits until the second one is served
			case <-ctx.Done():
			}
		} else {
			close(second)
		}
		echo(ctx, request, response)
	})
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(string(read(t, reader).Body()), "GET /1 ")
	is.Equal(string(read(t, reader).Body()), "GET /2 ")
}

func TestCallerDisconnectCancelsRequests(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{}, 2)
	causes := make(chan error, 2)
	_, conn, _ := serve(t, func(ctx context.Context, _ *fasthttp.Request, _ *fasthttp.Response) {
		started <- struct{}{}
		<-ctx.Done()
		causes <- context.Cause(ctx)
	})
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	<-started
	conn.Close()
	for range 2 {
		select {
		case err := <-causes:
			is.True(errors.Is(err, ingress.ErrCallerDisconnected))
		case <-time.After(testTimeout):
			t.Fatal("request still running after its caller disconnected")
		}
	}
}

func TestRequestBodies(t *testing.T) {
	is := is.New(t)
	_, conn, reader := serve(t, echo)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nwhole")
	is.Equal(string(read(t, reader).Body()), "POST /a whole")
	send(t, conn, "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nchu\r\n3\r\nnks\r\n0\r\n\r\n")
	is.Equal(string(read(t, reader).Body()), "POST /b chunks")
	send(t, conn, "POST /c HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.True(strings.HasPrefix(line, "HTTP/1.1 100"))
	_, err = reader.ReadString('\n')
	is.NoErr(err)
	send(t, conn, "ok")
	is.Equal(string(read(t, reader).Body()), "POST /c ok")
}

// Guards against request smuggling: the body of a GET request must be read as its body,
// not as the next request.
func TestRequestInBodyIsNotServed(t *testing.T) {
	is := is.New(t)
	_, conn, reader := serve(t, echo)
	inner := "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	send(t, conn, fmt.Sprintf("GET /outer HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner))
	send(t, conn, "GET /next HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(string(read(t, reader).Body()), "GET /outer "+inner)
	is.Equal(string(read(t, reader).Body()), "GET /next ")
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"two lengths":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"length not a number": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\nab", 400},
		"negative length":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\nab", 400},
		"two codings":         {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
		"unknown coding":      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\nab", 400},
		"broken chunk":        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n", 400},
		"space before colon":  {"GET / HTTP/1.1\r\nHost: a\r\nX-A : b\r\n\r\n", 400},
		"two hosts":           {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
		"large headers":       {"GET / HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("a", 6000) + "\r\n\r\n", 431},
		"large body":          {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n", 413},
		"large chunks":        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n" + strings.Repeat("a", 20000) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			served := make(chan struct{}, 4)
			_, conn, reader := serve(t, func(context.Context, *fasthttp.Request, *fasthttp.Response) { served <- struct{}{} })
			send(t, conn, c.text)
			response := read(t, reader)
			is.Equal(response.StatusCode(), c.status)
			is.True(response.ConnectionClose())
			_, err := reader.ReadByte()
			is.Equal(err, io.EOF)
			is.Equal(len(served), 0)
		})
	}
}

// Guards against request smuggling: a request with both Content-Length and chunked
// encoding must either be rejected or end where the last chunk ends.
func TestContentLengthWithChunkedEncoding(t *testing.T) {
	is := is.New(t)
	_, conn, reader := serve(t, echo)
	send(t, conn, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n")
	response := read(t, reader)
	if response.StatusCode() == fasthttp.StatusBadRequest {
		is.True(response.ConnectionClose())
		return
	}
	is.Equal(string(response.Body()), "POST /a ")
}

func TestDrainClosesAfterLastResponse(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}, 2), make(chan struct{})
	s, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
		started <- struct{}{}
		<-release
		echo(ctx, request, response)
	})
	send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	<-started
	s.Drain()
	is.Equal(s.Active(), 2)
	close(release)
	first, second := read(t, reader), read(t, reader)
	is.True(!first.ConnectionClose()) // the second request is still in flight
	is.True(second.ConnectionClose())
	is.Equal(string(second.Body()), "GET /2 ")
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF)
}

func TestIdleTimeoutDoesNotApplyWhileServing(t *testing.T) {
	is := is.New(t)
	_, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
		select {
		case <-time.After(limits().IdleTimeout + 500*time.Millisecond):
		case <-ctx.Done():
		}
		echo(ctx, request, response)
	})
	send(t, conn, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	is.Equal(string(read(t, reader).Body()), "GET /slow ")
	_, err := reader.ReadByte()
	is.Equal(err, io.EOF) // closed after the idle timeout
}

func TestHeadResponseHasNoBody(t *testing.T) {
	is := is.New(t)
	_, conn, reader := serve(t, echo)
	send(t, conn, "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n")
	head := &fasthttp.Response{SkipBody: true}
	is.NoErr(head.Read(reader))
	is.Equal(string(read(t, reader).Body()), "GET /b ")
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not reached")
		}
	}
}

// Many slow uploads at once: the memory for bodies is bounded, what does not fit is
// refused before its body is sent, and a refused caller may come back.
func TestSlowUploadsShareMemory(t *testing.T) {
	is := is.New(t)
	const uploads, size, limit = 1000, 10_000, 100 * 10_000
	s, err := ingress.Listen("127.0.0.1:0", handler(echo), limits, ingress.WithMaxHeldBytes(limit))
	is.NoErr(err)
	defer s.Close()
	statuses := make(chan int, uploads)
	finish := make(chan struct{})
	for range uploads {
		conn, reader := dial(t, s)
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nfirst", size)
		is.NoErr(err)
		go func() {
			refused := make(chan struct{})
			go func() {
				select {
				case <-finish:
					// A refused caller may find the connection closed.
					_, _ = conn.Write(make([]byte, size-len("first")))
				case <-refused:
				}
			}()
			var response fasthttp.Response
			if err := response.Read(reader); err != nil {
				statuses <- 0
				return
			}
			close(refused)
			if response.StatusCode() == fasthttp.StatusServiceUnavailable && len(response.Header.Peek("Retry-After")) == 0 {
				statuses <- 0
				return
			}
			statuses <- response.StatusCode()
		}()
	}
	count := make(map[int]int)
	for range uploads - limit/size {
		count[<-statuses]++
	}
	is.Equal(count[fasthttp.StatusServiceUnavailable], uploads-limit/size)
	is.Equal(s.HeldBytes(), int64(limit))
	close(finish)
	for range limit / size {
		count[<-statuses]++
	}
	is.Equal(count[fasthttp.StatusOK], limit/size)
	waitUntil(t, func() bool { return s.HeldBytes() == 0 }) // released after the response
}

// A body in chunks is counted while it arrives; one that is broken off is released.
func TestChunkedUploadsShareMemory(t *testing.T) {
	is := is.New(t)
	s, err := ingress.Listen("127.0.0.1:0", handler(echo), limits, ingress.WithMaxHeldBytes(6000))
	is.NoErr(err)
	defer s.Close()
	chunk := "7d0\r\n" + strings.Repeat("x", 2000) + "\r\n"
	head := "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	broken, _ := dial(t, s)
	_, err = io.WriteString(broken, head+chunk+chunk)
	is.NoErr(err)
	waitUntil(t, func() bool { return s.HeldBytes() >= 4000 })
	late, reader := dial(t, s)
	_, err = io.WriteString(late, head+chunk+chunk)
	is.NoErr(err)
	var response fasthttp.Response
	is.NoErr(response.Read(reader))
	is.Equal(response.StatusCode(), fasthttp.StatusServiceUnavailable)
	broken.Close()
	waitUntil(t, func() bool { return s.HeldBytes() == 0 })
	again, reader := dial(t, s)
	_, err = io.WriteString(again, head+chunk+"0\r\n\r\n")
	is.NoErr(err)
	is.NoErr(response.Read(reader))
	is.Equal(response.StatusCode(), fasthttp.StatusOK)
}

// Guards against an idle timeout that includes the time in which a request was served.
func TestIdleTimeoutStartsAfterResponse(t *testing.T) {
	for name, work := range map[string]time.Duration{"shorter": limits().IdleTimeout - 200*time.Millisecond, "longer": limits().IdleTimeout + 200*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, conn, reader := serve(t, func(ctx context.Context, request *fasthttp.Request, response *fasthttp.Response) {
				select {
				case <-time.After(work):
				case <-ctx.Done():
				}
				echo(ctx, request, response)
			})
			is.NoErr(conn.SetDeadline(time.Now().Add(slowTimeout)))
			send(t, conn, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
			read(t, reader)
			answered := time.Now()
			_, err := reader.ReadByte()
			is.Equal(err, io.EOF)
			is.True(time.Since(answered) >= limits().IdleTimeout-50*time.Millisecond)
			is.True(time.Since(answered) < limits().IdleTimeout+time.Second)
		})
	}
}
