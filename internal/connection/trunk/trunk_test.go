package trunk_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/trunk"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
)

const testTimeout = 5 * time.Second

type handler struct {
	call   func(ctx context.Context, text string) any
	notice func(text string)
}

func (h handler) HandleCall(ctx context.Context, body []byte) any {
	var text string
	if err := trunk.Decode(body, &text); err != nil {
		return err.Error()
	}
	return h.call(ctx, text)
}

func (h handler) HandleNotice(body []byte) {
	var text string
	if err := trunk.Decode(body, &text); err == nil && h.notice != nil {
		h.notice(text)
	}
}

// pair returns both ends of a trunk; server handles calls with h.
func pair(t *testing.T, h handler, idleTimeout time.Duration) (caller, server *trunk.Trunk) {
	t.Helper()
	near, far := connections(t)
	caller, server = trunk.New(near, handler{}, idleTimeout, clock.System{}), trunk.New(far, h, idleTimeout, clock.System{})
	var tasks sync.WaitGroup
	for _, end := range []*trunk.Trunk{caller, server} {
		tasks.Go(func() { _ = end.Run() }) // Returns after Close.
	}
	t.Cleanup(func() {
		caller.Close()
		server.Close()
		tasks.Wait()
	})
	return caller, server
}

func connections(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			accepted <- conn
		}
	}()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return near, <-accepted
}

func do(ctx context.Context, end *trunk.Trunk, text string) (string, error) {
	body, err := end.Do(ctx, text, false)
	if err != nil {
		return "", err
	}
	var reply string
	return reply, trunk.Decode(body, &reply)
}

func TestRepliesMatchCalls(t *testing.T) {
	is := is.New(t)
	caller, _ := pair(t, handler{call: func(_ context.Context, text string) any {
		if strings.HasSuffix(text, "7") {
			time.Sleep(10 * time.Millisecond) // replies arrive in a different order than calls
		}
		return "reply to " + text
	}}, testTimeout)
	var calls sync.WaitGroup
	failures := make(chan error, 200)
	for i := range 200 {
		calls.Go(func() {
			text := fmt.Sprint(i)
			reply, err := do(t.Context(), caller, text)
			if err != nil || reply != "reply to "+text {
				failures <- fmt.Errorf("call %s got %q: %w", text, reply, err)
			}
		})
	}
	calls.Wait()
	is.Equal(len(failures), 0)
}

func TestLargeMessage(t *testing.T) {
	is := is.New(t)
	caller, _ := pair(t, handler{call: func(_ context.Context, text string) any { return text }}, testTimeout)
	large := strings.Repeat("x", 3<<20)
	reply, err := do(t.Context(), caller, large)
	is.NoErr(err)
	is.Equal(len(reply), len(large))
}

func TestCancelReachesPeer(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	caller, _ := pair(t, handler{call: func(ctx context.Context, _ string) any {
		close(started)
		<-ctx.Done()
		close(ended)
		return ""
	}}, testTimeout)
	ctx, cancel := context.WithCancelCause(t.Context())
	errCancelled := errors.New("caller disconnected")
	go func() {
		<-started
		cancel(errCancelled)
	}()
	_, err := do(ctx, caller, "slow")
	is.True(errors.Is(err, errCancelled))
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("call still running after it was cancelled")
	}
}

func TestCallsFailWhenTrunkCloses(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	caller, server := pair(t, handler{call: func(ctx context.Context, _ string) any {
		close(started)
		<-ctx.Done()
		return ""
	}}, testTimeout)
	go func() {
		<-started
		server.Close()
	}()
	_, err := do(t.Context(), caller, "slow")
	is.True(errors.Is(err, trunk.ErrClosed)) // the peer may have run it
	is.True(!errors.Is(err, trunk.ErrNotSent))
	_, err = do(t.Context(), caller, "next")
	is.True(errors.Is(err, trunk.ErrNotSent)) // the peer can't have run it
}

// A connection can fail without a reset, so a trunk that receives nothing must close.
func TestIdleTrunkCloses(t *testing.T) {
	is := is.New(t)
	near, far := connections(t)
	defer far.Close() // stays open, but nothing reads or writes
	end := trunk.New(near, handler{}, 100*time.Millisecond, clock.System{})
	ran := make(chan error, 1)
	go func() { ran <- end.Run() }()
	_, err := do(t.Context(), end, "anyone")
	is.True(errors.Is(err, trunk.ErrClosed))
	var timeout net.Error
	is.True(errors.As(<-ran, &timeout) && timeout.Timeout())
}

func TestNoticesKeepTrunkOpen(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var received []string
	caller, server := pair(t, handler{
		call: func(_ context.Context, text string) any { return text },
		notice: func(text string) {
			mu.Lock()
			defer mu.Unlock()
			received = append(received, text)
		},
	}, 400*time.Millisecond)
	for i := range 8 {
		is.NoErr(caller.Notify(fmt.Sprint(i)))
		is.NoErr(server.Notify("back"))
		time.Sleep(100 * time.Millisecond)
	}
	reply, err := do(t.Context(), caller, "still there")
	is.NoErr(err)
	is.Equal(reply, "still there")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(strings.Join(received, ""), "01234567") // in order
}

func TestInvalidInputClosesTrunk(t *testing.T) {
	is := is.New(t)
	near, far := connections(t)
	defer near.Close()
	end := trunk.New(far, handler{call: func(context.Context, string) any { return "" }}, testTimeout, clock.System{})
	ran := make(chan error, 1)
	go func() { ran <- end.Run() }()
	_, err := near.Write([]byte("GET / HTTP/1.1\r\nHost: somebody else\r\n\r\n"))
	is.NoErr(err)
	select {
	case err := <-ran:
		is.True(err != nil) // the length exceeds the maximum
	case <-time.After(testTimeout):
		t.Fatal("trunk still open after invalid input")
	}
}

// A slowReader reads from a connection with a pause before each read.
type slowReader struct {
	net.Conn
	pause time.Duration
}

// Read implements io.Reader.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Conn.Read(p)
}

// CloseWrite closes the write side.
func (r slowReader) CloseWrite() error { return r.Conn.(*net.TCPConn).CloseWrite() }

// Guards against a node that ends after it has written a reply, and resets the connection
// because the other node goes on sending.
func TestCloseWriteDeliversReplies(t *testing.T) {
	is := is.New(t)
	near, far := connections(t)
	reply := strings.Repeat("x", 2<<20)
	caller := trunk.New(slowReader{near, 2 * time.Millisecond}, handler{}, testTimeout, clock.System{})
	server := trunk.New(far, handler{call: func(context.Context, string) any { return reply }}, testTimeout, clock.System{})
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = caller.Run() }) // Returns once the server has closed its side.
	tasks.Go(func() { _ = server.Run() }) // Returns once the caller has closed.
	result := make(chan error, 1)
	tasks.Go(func() {
		body, err := caller.Do(t.Context(), "call", false)
		var text string
		if err == nil {
			err = trunk.Decode(body, &text)
		}
		if err == nil && text != reply {
			err = errors.New("the reply is incomplete")
		}
		result <- err
	})
	for !server.Replying() {
		time.Sleep(time.Millisecond)
	}
	for server.Replying() {
		time.Sleep(time.Millisecond)
	}
	server.CloseWrite()
	for caller.Notify("notice") == nil {
		time.Sleep(time.Millisecond) // until the caller has received the end
	}
	is.NoErr(<-result)
	tasks.Wait()
}
