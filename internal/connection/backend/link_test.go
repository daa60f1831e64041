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

const linkPatience = 5 * time.Second

// A script answers the requests of one connection after the other as bytes.
type script func(conn net.Conn, requests *bufio.Reader)

// listenScript serves each connection by the next script; the last one repeats.
func listenScript(t *testing.T, scripts ...script) (address string, connections func() int) {
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
			play := scripts[min(i, len(scripts)-1)]
			go func() {
				defer conn.Close()
				play(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), func() int { return len(accepted) }
}

// answers reads one request for each text and answers with it.
func answers(texts ...string) script {
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
		_, _ = requests.ReadByte() // waits for the other side to close
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// exchange sends a request with an id and returns the answer's body.
func exchange(ctx context.Context, l *backend.Link, id, body string) (string, error) {
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetMethod("POST")
	request.Header.SetRequestURI("/")
	request.Header.SetHost("a")
	request.SetBodyString(body)
	err := l.Exchange(ctx, &request, &response, func(r *fasthttp.Response) bool {
		return string(r.Header.Peek("Id")) == id
	})
	return string(response.Body()), err
}

func newLink(address string) *backend.Link { return backend.NewLink(address, 4, clock.System{}) }

func TestLinkKeepsConnections(t *testing.T) {
	is := is.New(t)
	address, connections := listenScript(t, answers(answer("1", "one"), answer("2", "two")))
	l := newLink(address)
	defer l.Close()
	body, err := exchange(t.Context(), l, "1", "")
	is.NoErr(err)
	is.Equal(body, "one")
	time.Sleep(50 * time.Millisecond) // long enough to be looked at before it is used again
	body, err = exchange(t.Context(), l, "2", "")
	is.NoErr(err)
	is.Equal(body, "two")
	is.Equal(connections(), 1)
}

// A backend server may send a late answer to an earlier request first.
func TestLinkSkipsAnswersToOtherRequests(t *testing.T) {
	is := is.New(t)
	address, _ := listenScript(t, answers(answer("0", "late")+answer("1", "mine")))
	l := newLink(address)
	defer l.Close()
	body, err := exchange(t.Context(), l, "1", "")
	is.NoErr(err)
	is.Equal(body, "mine")
}

// Bytes after a whole answer belong to no request.
func TestLinkDropsConnectionsWithExtraBytes(t *testing.T) {
	is := is.New(t)
	address, connections := listenScript(t, answers(answer("1", "one")+"extra"), answers(answer("2", "two")))
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

func TestLinkFailsOnBrokenAnswers(t *testing.T) {
	for name, text := range map[string]string{
		"cut short":        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nonly this",
		"cut in a chunk":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nonly this",
		"not an answer":    "these bytes are no answer\r\n\r\n",
		"nothing":          "",
		"only other's":     answer("0", "a") + answer("0", "b") + answer("0", "c") + answer("0", "d"),
		"two lengths":      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"cut in a header":  "HTTP/1.1 200 OK\r\nId: 1\r\nConte",
		"early chunks end": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := listenScript(t, func(conn net.Conn, requests *bufio.Reader) {
				var request fasthttp.Request
				if request.Read(requests) == nil {
					_, _ = io.WriteString(conn, text) // the connection ends here
				}
			})
			l := newLink(address)
			defer l.Close()
			_, err := exchange(t.Context(), l, "1", "")
			is.True(err != nil)
			is.True(!errors.Is(err, backend.ErrNotHanded)) // it may have run
		})
	}
}

func TestLinkTakesAnswersThatEndWithTheConnection(t *testing.T) {
	is := is.New(t)
	address, _ := listenScript(t, func(conn net.Conn, requests *bufio.Reader) {
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

// An answer without a length that ends with a reset is not complete.
func TestLinkFailsOnAnswersThatEndWithAReset(t *testing.T) {
	is := is.New(t)
	address, _ := listenScript(t, func(conn net.Conn, requests *bufio.Reader) {
		var request fasthttp.Request
		if request.Read(requests) != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0) // the close becomes a reset
	})
	l := newLink(address)
	defer l.Close()
	_, err := exchange(t.Context(), l, "1", "")
	is.True(err != nil)
}

func TestLinkPassesOverConnectionsThatWereClosed(t *testing.T) {
	is := is.New(t)
	address, connections := listenScript(t,
		func(conn net.Conn, requests *bufio.Reader) {
			var request fasthttp.Request
			if request.Read(requests) == nil {
				_, _ = io.WriteString(conn, answer("1", "one")) // and closes without saying so
			}
		},
		answers(answer("2", "two")))
	l := newLink(address)
	defer l.Close()
	_, err := exchange(t.Context(), l, "1", "")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	body, err := exchange(t.Context(), l, "2", "")
	is.NoErr(err) // a request on the closed connection would have had an unknown outcome
	is.Equal(body, "two")
	is.Equal(connections(), 2)
}

// A backend server may answer before it has read a long body. The rest of the
// body must not be followed by another request on that connection.
func TestLinkTakesEarlyAnswersToLongBodies(t *testing.T) {
	is := is.New(t)
	address, connections := listenScript(t,
		func(conn net.Conn, requests *bufio.Reader) {
			if _, err := requests.ReadString('\n'); err != nil {
				return
			}
			_, _ = io.WriteString(conn, answer("1", "early"))
			time.Sleep(200 * time.Millisecond)
			_, _ = io.Copy(io.Discard, requests)
		},
		answers(answer("2", "two")))
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

func TestLinkCutsTheConnectionOfACancelledRequest(t *testing.T) {
	is := is.New(t)
	got, cut := make(chan struct{}), make(chan struct{})
	address, _ := listenScript(t, func(_ net.Conn, requests *bufio.Reader) {
		var request fasthttp.Request
		if request.Read(requests) != nil {
			return
		}
		close(got)
		_, _ = requests.ReadByte()
		close(cut)
	})
	l := newLink(address)
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	_, err := exchange(ctx, l, "1", "")
	is.True(err != nil)
	is.True(!errors.Is(err, backend.ErrNotHanded))
	select {
	case <-cut:
	case <-time.After(linkPatience):
		t.Fatal("the backend server was not told")
	}
}

func TestLinkSaysWhenNothingWasHandedOver(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	l := newLink(address)
	defer l.Close()
	_, err = exchange(t.Context(), l, "1", "")
	is.True(errors.Is(err, backend.ErrNotHanded))
	is.True(errors.Is(err, backend.ErrUnreachable))
}
