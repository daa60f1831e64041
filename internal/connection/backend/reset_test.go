package backend_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	requests "github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// upload is larger than the buffers of a connection in the kernel, so that a backend server
// that doesn't read it keeps its node writing.
var upload = strings.Repeat("x", 16<<20)

// answerEarly answers before it has read the upload, and then ends the connection.
func answerEarly(text string, end func(conn *net.TCPConn)) handler {
	return func(conn net.Conn, requests *bufio.Reader) {
		if conn.(*net.TCPConn).SetReadBuffer(64<<10) != nil {
			return
		}
		if _, err := requests.ReadString('\n'); err != nil {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		end(conn.(*net.TCPConn))
	}
}

func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) } // closing sends a reset

// resetAnswers are answers whose connection is reset during the upload. complete reports
// whether the bytes before the reset are a whole answer.
var resetAnswers = []struct {
	name, text string
	complete   bool
}{
	{"no length", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", false},
	{"no length, no body", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", false},
	{"no length, close", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\npart", false},
	{"no length, older version", "HTTP/1.0 200 OK\r\nId: 1\r\n\r\npart", false},
	{"no length, after an interim answer", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", false},
	{"no length, failure", "HTTP/1.1 500 X\r\nId: 1\r\n\r\npart", false},
	{"part of a length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\npart", false},
	{"part of the chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
	{"length", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole", true},
	{"chunks", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
}

// Guards against a part of an answer that reaches the caller as a whole one: the kernel
// reports a reset to one system call only, and after a write that got it a read finds the
// end of the stream.
func TestLinkFailsOnConnectionResetDuringUpload(t *testing.T) {
	const uploads = 8 // either a read or a write gets the reset
	for _, c := range resetAnswers {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, _ := serve(t, answerEarly(c.text, reset))
			l := backend.NewLink(address, uploads, clock.System{})
			defer l.Close()
			var bodies [uploads]string
			var errs [uploads]error
			var calls sync.WaitGroup
			for i := range uploads {
				calls.Go(func() { bodies[i], errs[i] = exchange(t.Context(), l, "1", upload) })
			}
			calls.Wait()
			passedOn := 0
			for i, err := range errs {
				if err == nil {
					passedOn++
					is.True(!c.complete || bodies[i] == "whole")
				}
				is.True(!errors.Is(err, backend.ErrNotSent)) // it may have run
			}
			switch {
			case c.complete:
				is.Equal(passedOn, uploads)
			case passedOn > 0:
				t.Fatalf("the caller gets %d of %d parts as whole answers", passedOn, uploads)
			}
		})
	}
}

// An answer without a length is complete if the backend server ends the stream without a
// reset, also when it doesn't read the rest of the upload.
func TestLinkAcceptsEarlyResponsesDelimitedByClose(t *testing.T) {
	ends := map[string]func(conn *net.TCPConn){
		"upload unread": func(conn *net.TCPConn) {
			if conn.CloseWrite() == nil {
				time.Sleep(100 * time.Millisecond)
			}
		},
		"upload read": func(conn *net.TCPConn) {
			if conn.CloseWrite() == nil {
				_, _ = io.Copy(io.Discard, conn) // until the node closes
			}
		},
		"reset after the end": func(conn *net.TCPConn) {
			if conn.CloseWrite() == nil {
				_ = conn.SetLinger(0) // closing sends a reset
			}
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, connections := serve(t, answerEarly("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nto the end", end), respond(responseText("2", "two")))
			l := newLink(address)
			defer l.Close()
			body, err := exchange(t.Context(), l, "1", upload)
			is.NoErr(err)
			is.Equal(body, "to the end")
			body, err = exchange(t.Context(), l, "2", "")
			is.NoErr(err)
			is.Equal(body, "two")
			is.Equal(connections(), 2)
		})
	}
}

// The same for the node with the product's own interface, which sends the whole upload before
// it reads.
func TestClientFailsOnConnectionResetDuringUpload(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, answerEarly("HTTP/1.1 200 OK\r\n\r\npart", reset))
	client := backend.NewClient(clock.System{})
	client.SetServer(backend.Server{Service: "back", Address: address, Slots: 1, Connections: 1})
	result := client.Do(t.Context(), requests.Request{
		Context: call.Context{Service: "back", RequestID: "1", Deadline: time.Now().Add(testTimeout)},
		Method:  "POST", Path: "/", Body: []byte(upload),
	}, "token")
	is.True(result.Answer.Refusal != nil)
	is.Equal(result.Answer.Refusal.Outcome, refusal.Unknown)
	is.True(result.Sent)
}
