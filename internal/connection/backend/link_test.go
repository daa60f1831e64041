package backend_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

const testTimeout = 5 * time.Second

// A handler serves one connection. It writes the responses as raw bytes.
type handler func(conn net.Conn, requests *bufio.Reader)

// serve runs the next handler for each accepted connection and repeats the last one. It
// returns the listener's address and a function that counts accepted connections.
func serve(t *testing.T, handlers ...handler) (address string, connections func() int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	accepted := make(chan struct{}, 100)
	go func() {
		for i := 0; ; i++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			handle := handlers[min(i, len(handlers)-1)]
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), func() int { return len(accepted) }
}

// respond reads one request for each text and writes the text as its response.
func respond(texts ...string) handler {
	return func(conn net.Conn, requests *bufio.Reader) {
		for _, text := range texts {
			var request fasthttp.Request
			if request.Read(requests) != nil {
				return
			}
			if _, err := conn.Write([]byte(text)); err != nil {
				return
			}
		}
		_, _ = requests.ReadByte() // waits until the peer closes
	}
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// exchange sends a request and returns the body of the response with the given id.
func exchange(ctx context.Context, l *backend.Link, id, body string) (string, error) {
	return exchangeMethod(ctx, l, "POST", id, body)
}

// exchangeMethod is exchange with another method.
func exchangeMethod(ctx context.Context, l *backend.Link, method, id, body string) (string, error) {
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod(method)
	request.Header.SetRequestURI("/")
	request.Header.SetHost("a")
	request.SetBodyString(body)
	err := l.Exchange(ctx, id, &request, &response, func(r *fasthttp.Response, _ bool) backend.Match {
		switch {
		case string(r.Header.Peek("Id")) != id:
			return backend.Unrelated
		case r.StatusCode() == fasthttp.StatusServiceUnavailable:
			return backend.Rejected
		default:
			return backend.Answered
		}
	})
	return string(response.Body()), err
}

func newLink(address string) *backend.Link { return backend.NewLink(address, 4, clock.System{}) }

func TestLinkReusesConnections(t *testing.T) {
	is := is.New(t)
	address, connections := serve(t, respond(responseText("1", "one"), responseText("2", "two")))
	l := newLink(address)
	defer l.Close()
	body, err := exchange(t.Context(), l, "1", "")
	is.NoErr(err)
	is.Equal(body, "one")
	time.Sleep(50 * time.Millisecond) // long enough for the check before reuse
	body, err = exchange(t.Context(), l, "2", "")
	is.NoErr(err)
	is.Equal(body, "two")
	is.Equal(connections(), 1)
}

// A backend server may first send a late response to an earlier request.
func TestLinkSkipsStaleResponses(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, respond(responseText("0", "late")+responseText("1", "mine")))
	l := newLink(address)
	defer l.Close()
	body, err := exchange(t.Context(), l, "1", "")
	is.NoErr(err)
	is.Equal(body, "mine")
}

// Bytes after a complete response belong to no request, so the connection is closed.
func TestLinkClosesConnectionsWithExtraBytes(t *testing.T) {
	is := is.New(t)
	address, connections := serve(t, respond(responseText("1", "one")+"extra"), respond(responseText("2", "two")))
	l := newLink(address)
	defer l.Close()
	_, err := exchange(t.Context(), l, "1", "")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	body, err := exchange(t.Context(), l, "2", "")
	is.NoErr(err)
	is.Equal(body, "two")
	is.Equal(connections(), 2)
}

func TestLinkFailsOnMalformedResponses(t *testing.T) {
	for name, text := range map[string]string{
		"truncated body":       "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nonly this",
		"truncated chunk":      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nonly this",
		"not HTTP":             "these bytes are no answer\r\n\r\n",
		"empty":                "",
		"only stale responses": responseText("0", "a") + responseText("0", "b") + responseText("0", "c") + responseText("0", "d"),
		"two content lengths":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"truncated header":     "HTTP/1.1 200 OK\r\nId: 1\r\nConte",
		"missing last chunk":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
				var request fasthttp.Request
				if request.Read(requests) == nil {
					_, _ = io.WriteString(conn, text) // the handler returns and closes the connection
				}
			})
			l := newLink(address)
			defer l.Close()
			_, err := exchange(t.Context(), l, "1", "")
			is.True(err != nil)
			is.True(!errors.Is(err, backend.ErrNotSent)) // it may have run
		})
	}
}

func TestLinkAcceptsResponsesDelimitedByClose(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		var request fasthttp.Request
		if request.Read(requests) == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end")
		}
	})
	l := newLink(address)
	defer l.Close()
	body, err := exchange(t.Context(), l, "1", "")
	is.NoErr(err)
	is.Equal(body, "to the end")
}

// A response without a length that ends with a connection reset is incomplete.
func TestLinkFailsOnConnectionReset(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
		var request fasthttp.Request
		if request.Read(requests) != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0) // closing sends a reset
	})
	l := newLink(address)
	defer l.Close()
	_, err := exchange(t.Context(), l, "1", "")
	is.True(err != nil)
}

func TestLinkSkipsClosedConnections(t *testing.T) {
	is := is.New(t)
	address, connections := serve(t,
		func(conn net.Conn, requests *bufio.Reader) {
			var request fasthttp.Request
			if request.Read(requests) == nil {
				_, _ = io.WriteString(conn, responseText("1", "one")) // then closes without a Connection: close header
			}
		},
		respond(responseText("2", "two")))
	l := newLink(address)
	defer l.Close()
	_, err := exchange(t.Context(), l, "1", "")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	body, err := exchange(t.Context(), l, "2", "")
	is.NoErr(err) // a request on the closed connection would fail with an unknown outcome
	is.Equal(body, "two")
	is.Equal(connections(), 2)
}

// A backend server may respond before it has read a long body. The connection can't
// carry another request after the unread rest of the body.
func TestLinkAcceptsEarlyResponses(t *testing.T) {
	is := is.New(t)
	address, connections := serve(t,
		func(conn net.Conn, requests *bufio.Reader) {
			if _, err := requests.ReadString('\n'); err != nil {
				return
			}
			_, _ = io.WriteString(conn, responseText("1", "early"))
			time.Sleep(200 * time.Millisecond)
			_, _ = io.Copy(io.Discard, requests)
		},
		respond(responseText("2", "two")))
	l := newLink(address)
	defer l.Close()
	body, err := exchange(t.Context(), l, "1", strings.Repeat("x", 16<<20))
	is.NoErr(err)
	is.Equal(body, "early")
	body, err = exchange(t.Context(), l, "2", "")
	is.NoErr(err)
	is.Equal(body, "two")
	is.Equal(connections(), 2)
}

func TestLinkClosesConnectionOnCancel(t *testing.T) {
	is := is.New(t)
	received, closed := make(chan struct{}), make(chan struct{})
	address, _ := serve(t, func(_ net.Conn, requests *bufio.Reader) {
		var request fasthttp.Request
		if request.Read(requests) != nil {
			return
		}
		close(received)
		_, _ = requests.ReadByte()
		close(closed)
	})
	l := newLink(address)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-received
		cancel()
	}()
	_, err := exchange(ctx, l, "1", "")
	is.True(err != nil)
	is.True(!errors.Is(err, backend.ErrNotSent))
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the connection was not closed")
	}
}

func TestLinkReportsUnreachableBackend(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	l := newLink(address)
	defer l.Close()
	_, err = exchange(t.Context(), l, "1", "")
	is.True(errors.Is(err, backend.ErrNotSent))
	is.True(errors.Is(err, backend.ErrUnreachable))
}

// cutAnswers are answers, each with the length of its head.
var cutAnswers = map[string]string{
	"content length": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
	"chunked":        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"no length":      "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nbody",
	"no body":        "HTTP/1.1 204 No Content\r\nId: 1\r\nX-Last: value\r\n\r\n",
	"empty":          "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\nX-Last: value\r\n\r\n",
	"interim":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody",
}

// Guards against an answer that breaks off in its head and is taken as a complete one with
// an empty or short body.
func TestLinkFailsOnAnswersCutAnywhereInTheHead(t *testing.T) {
	for name, text := range cutAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			head := strings.LastIndex(text, "\r\n\r\n") + 4
			if name == "chunked" {
				head = len(text)
			}
			for cut := range head {
				address, _ := serve(t, func(conn net.Conn, requests *bufio.Reader) {
					var request fasthttp.Request
					if request.Read(requests) == nil {
						_, _ = io.WriteString(conn, text[:cut]) // the handler returns and closes the connection
					}
				})
				l := newLink(address)
				body, err := exchange(t.Context(), l, "1", "")
				l.Close()
				if err == nil {
					t.Errorf("cut after %q: body %q", text[:cut], body)
				}
				is.True(!errors.Is(err, backend.ErrNotSent)) // it may have run
			}
		})
	}
}
