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
)

const patience = 5 * time.Second

type handler struct {
	call   func(ctx context.Context, text string) any
	notice func(text string)
}

func (h handler) Call(ctx context.Context, body []byte) any {
	var text string
	if err := trunk.Decode(body, &text); err != nil {
		return err.Error()
	}
	return h.call(ctx, text)
}

func (h handler) Notice(body []byte) {
	var text string
	if err := trunk.Decode(body, &text); err == nil && h.notice != nil {
		h.notice(text)
	}
}

// pair returns two ends of a trunk; the second one serves with h.
func pair(t *testing.T, h handler, silence time.Duration) (caller, server *trunk.Trunk) {
	t.Helper()
	near, far := connections(t)
	caller, server = trunk.New(near, handler{}, silence), trunk.New(far, h, silence)
	var running sync.WaitGroup
	for _, end := range []*trunk.Trunk{caller, server} {
		running.Go(func() { _ = end.Run() }) // Ends with Close.
	}
	t.Cleanup(func() {
		caller.Close()
		server.Close()
		running.Wait()
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
	body, err := end.Do(ctx, text)
	if err != nil {
		return "", err
	}
	var reply string
	return reply, trunk.Decode(body, &reply)
}

func TestRepliesDontCross(t *testing.T) {
	is := is.New(t)
	caller, _ := pair(t, handler{call: func(_ context.Context, text string) any {
		if strings.HasSuffix(text, "7") {
			time.Sleep(10 * time.Millisecond) // replies come in another order than calls
		}
		return "reply to " + text
	}}, patience)
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

func TestLargeMessagesPass(t *testing.T) {
	is := is.New(t)
	caller, _ := pair(t, handler{call: func(_ context.Context, text string) any { return text }}, patience)
	large := strings.Repeat("x", 3<<20)
	reply, err := do(t.Context(), caller, large)
	is.NoErr(err)
	is.Equal(len(reply), len(large))
}

func TestCancelledCallEndsAtTheOtherNode(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	caller, _ := pair(t, handler{call: func(ctx context.Context, _ string) any {
		close(started)
		<-ctx.Done()
		close(ended)
		return ""
	}}, patience)
	ctx, cancel := context.WithCancelCause(t.Context())
	left := errors.New("caller left")
	go func() {
		<-started
		cancel(left)
	}()
	_, err := do(ctx, caller, "slow")
	is.True(errors.Is(err, left))
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("the call went on after it was cancelled")
	}
}

func TestCallsFailWhenTheTrunkEnds(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	caller, server := pair(t, handler{call: func(ctx context.Context, _ string) any {
		close(started)
		<-ctx.Done()
		return ""
	}}, patience)
	go func() {
		<-started
		server.Close()
	}()
	_, err := do(t.Context(), caller, "slow")
	is.True(errors.Is(err, trunk.ErrClosed)) // it may have run
	is.True(!errors.Is(err, trunk.ErrNotSent))
	_, err = do(t.Context(), caller, "next")
	is.True(errors.Is(err, trunk.ErrNotSent)) // it can't have run
}

// A connection can go dead without a reset.
func TestSilentTrunkEnds(t *testing.T) {
	is := is.New(t)
	near, far := connections(t)
	defer far.Close() // open, but nobody reads or writes
	end := trunk.New(near, handler{}, 100*time.Millisecond)
	ran := make(chan error, 1)
	go func() { ran <- end.Run() }()
	_, err := do(t.Context(), end, "anyone")
	is.True(errors.Is(err, trunk.ErrClosed))
	var timeout net.Error
	is.True(errors.As(<-ran, &timeout) && timeout.Timeout())
}

func TestNoticesKeepATrunkOpen(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var got []string
	caller, server := pair(t, handler{
		call: func(_ context.Context, text string) any { return text },
		notice: func(text string) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, text)
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
	is.Equal(strings.Join(got, ""), "01234567") // in order
}

func TestGarbageEndsTheTrunk(t *testing.T) {
	is := is.New(t)
	near, far := connections(t)
	defer near.Close()
	end := trunk.New(far, handler{call: func(context.Context, string) any { return "" }}, patience)
	ran := make(chan error, 1)
	go func() { ran <- end.Run() }()
	_, err := near.Write([]byte("GET / HTTP/1.1\r\nHost: somebody else\r\n\r\n"))
	is.NoErr(err)
	select {
	case err := <-ran:
		is.True(err != nil) // the length is beyond the bound
	case <-time.After(patience):
		t.Fatal("the trunk goes on after bytes that are no message")
	}
}
