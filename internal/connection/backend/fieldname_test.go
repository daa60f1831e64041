package backend_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	requests "github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// malformedFields returns lines of a head that are no header fields, by what is wrong.
func malformedFields() map[string]string {
	lines := map[string]string{
		"no name":                             ": 1",
		"no colon":                            "X-Odd",
		"length, blank before the colon":      "Content-Length : 1",
		"length, blanks before the colon":     "Content-Length  : 1",
		"length, tab before the colon":        "Content-Length\t: 1",
		"length, blank in front":              " Content-Length: 1",
		"length, blank within":                "Content Length: 1",
		"chunked, blank before the colon":     "Transfer-Encoding : chunked",
		"chunked, blank in front":             " Transfer-Encoding: chunked",
		"chunked, tab in front":               "\tTransfer-Encoding: chunked",
		"chunked, blank within":               "Transfer Encoding: chunked",
		"chunked, NUL at the end":             "Transfer-Encoding\x00: chunked",
		"id, blank before the colon":          "Id : 2",
		"line feed in front, then a length":   "\nContent-Length: 1",
		"line feed in front, then two fields": "\nX-Odd: 1\r\nContent-Length: 1",
		"blanks alone":                        "  ",
		"blank after another field":           "X-Odd: 1\r\n 2",
		"blank before the colon, then fold":   "X-Odd : 1\r\n 2",
	}
	for _, b := range []byte("\x00\x01\x02\x03\x04\x05\x06\x07\x08\t\n\x0b\x0c\r\x0e\x0f\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a\x1b\x1c\x1d\x1e\x1f \x7f\x80\xff\"(),/;<=>?@[\\]{}") {
		lines[fmt.Sprintf("%q in front", b)] = string([]byte{b}) + "X-Odd: 1"
		lines[fmt.Sprintf("%q within", b)] = "X" + string([]byte{b}) + "Odd: 1"
		lines[fmt.Sprintf("%q at the end", b)] = "X-Odd" + string([]byte{b}) + ": 1"
	}
	return lines
}

// heads are the heads in which a line may be malformed; %s stands for it. Each is followed by
// the body.
var heads = map[string]string{
	"first field":       "HTTP/1.1 200 OK\r\n%s\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"last field":        "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n%s\r\n\r\n",
	"without a length":  "HTTP/1.1 200 OK\r\nId: 1\r\n%s\r\n\r\n",
	"older version":     "HTTP/1.0 200 OK\r\nId: 1\r\n%s\r\n\r\n",
	"failure":           "HTTP/1.1 500 X\r\nId: 1\r\n%s\r\nContent-Length: 3\r\n\r\n",
	"interim answer":    "HTTP/1.1 103 Early Hints\r\n%s\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n",
	"after interim":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n%s\r\nContent-Length: 3\r\n\r\n",
	"after empty lines": "\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n%s\r\nContent-Length: 3\r\n\r\n",
}

// Guards against answers with malformed header fields that reach the caller, with the field
// or with a body that isn't the backend server's. The parser accepts names with blanks, takes
// a line that begins with one for a part of the line before, and ends the head at a line feed.
func TestLinkFailsOnMalformedFields(t *testing.T) {
	for place, head := range heads {
		t.Run(place, func(t *testing.T) {
			t.Parallel()
			for name, line := range malformedFields() {
				text := fmt.Sprintf(head, line) + "odd"
				address, connections := serve(t, respond(text), respond(responseText("2", "two")))
				l := newLink(address)
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				body, err := exchange(ctx, l, "1", "")
				expired := ctx.Err() != nil
				cancel()
				switch {
				case err == nil:
					t.Errorf("%s: the caller gets body %q of %q", name, body, text)
				case errors.Is(err, backend.ErrNotSent): // it may have run
					t.Errorf("%s: the answer to %q counts as not sent", name, text)
				case expired:
					t.Errorf("%s: the answer %q is read until the deadline", name, text)
				}
				body, err = exchange(t.Context(), l, "2", "")
				if err != nil || body != "two" || connections() != 2 {
					t.Errorf("%s: afterwards %v, body %q, %d connections", name, err, body, connections())
				}
				l.Close()
			}
		})
	}
}

// respondAndClose is respond with one text, after which the connection ends.
func respondAndClose(text string) handler {
	return func(conn net.Conn, reader *bufio.Reader) {
		var request fasthttp.Request
		if request.Read(reader) == nil {
			_, _ = io.WriteString(conn, text) // the handler returns and closes the connection
		}
	}
}

// All names and values of HTTP are still accepted.
func TestLinkPassesOnWellFormedFields(t *testing.T) {
	for name, line := range map[string]string{
		"all characters of a name": "!#$%&'*+-.^_`|~0189AZaz: 1",
		"one character":            "X: 1",
		"empty value":              "X-Odd:",
		"blank value":              "X-Odd: \t ",
		"no blank after the colon": "X-Odd:1",
		"blanks in the value":      "X-Odd:  a b\tc  ",
		"colons in the value":      "X-Odd: a:b : c",
		"bytes above 127":          "X-Odd: \xc3\xa4\xff",
		"two of a name":            "X-Odd: 1\r\nX-Odd: 2",
	} {
		for place, head := range heads {
			t.Run(name+", "+place, func(t *testing.T) {
				is := is.New(t)
				text := fmt.Sprintf(head, line) + "odd"
				address, _ := serve(t, respondAndClose(text))
				l := newLink(address)
				defer l.Close()
				body, err := exchange(t.Context(), l, "1", "")
				is.NoErr(err)
				is.Equal(body, "odd")
			})
		}
	}
}

// A malformed field in a trailer changes neither the body nor the header fields, because
// trailers aren't passed on.
func TestMalformedTrailersAreNotPassedOn(t *testing.T) {
	for name, line := range malformedFields() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := serve(t, respond("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n"+line+"\r\n\r\n"))
			l := newLink(address)
			defer l.Close()
			var request fasthttp.Request
			var response fasthttp.Response
			request.Header.SetRequestURI("/")
			request.Header.SetHost("a")
			err := l.Exchange(t.Context(), "1", &request, &response, func(*fasthttp.Response, bool) backend.Match { return backend.Answered })
			is.True(!errors.Is(err, backend.ErrNotSent)) // it may have run
			if err != nil {
				return
			}
			is.Equal(string(response.Body()), "odd")
			is.Equal(string(response.Header.Peek("Id")), "1")
			for field := range response.Header.All() {
				switch string(field) {
				case "Content-Type", "Id", "Trailer", "Transfer-Encoding": // the last two concern one connection
				default:
					t.Errorf("the caller gets the field %q", field)
				}
			}
		})
	}
}

// A head that arrives in pieces is judged as a whole.
func TestLinkReadsHeadsInPieces(t *testing.T) {
	for line, accepted := range map[string]bool{"X-Odd: 1": true, "X-Odd : 1": false, "X Odd: 1": false, "\nX-Odd: 1": false} {
		t.Run(line, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := serve(t, respondInPieces(fmt.Sprintf(heads["last field"], line)+"odd"))
			l := newLink(address)
			defer l.Close()
			body, err := exchange(t.Context(), l, "1", "")
			is.Equal(err == nil, accepted)
			is.True(!accepted || body == "odd")
		})
	}
}

// The same for the node with the product's own interface. The backend server has not crashed.
func TestClientFailsOnMalformedFields(t *testing.T) {
	for name, line := range malformedFields() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, _ := serve(t, respond(fmt.Sprintf(heads["last field"], line)+"odd"))
			client := backend.NewClient(clock.System{})
			client.SetServer(backend.Server{Service: "back", Address: address, Slots: 1, Connections: 1})
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			result := client.Do(ctx, requests.Request{
				Context: call.Context{Service: "back", RequestID: "1", Deadline: time.Now().Add(testTimeout)}, Method: "GET", Path: "/",
			}, "token")
			if result.Answer.Refusal == nil {
				t.Fatalf("the caller gets %d, header %v, body %q", result.Answer.Status, result.Answer.Headers, result.Answer.Body)
			}
			is.Equal(result.Answer.Refusal.Outcome, refusal.Unknown)
			is.True(result.Sent)
			is.True(!result.Crashed)
		})
	}
}
