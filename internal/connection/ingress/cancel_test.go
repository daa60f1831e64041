package ingress_test

import (
	"context"
	"errors"
	"io"
	"testing"

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
