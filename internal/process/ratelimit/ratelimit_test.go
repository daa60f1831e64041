package ratelimit_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/ratelimit"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/rate"
)

const (
	account       = "klinik"
	ratePerSecond = 200
	burst         = 40
	grantDuration = 300 * time.Millisecond
	maxWait       = 400 * time.Millisecond
)

var options = []rate.Option{rate.WithGrantDuration(grantDuration), rate.WithRenewInterval(20 * time.Millisecond)}

// staticConfiguration is a configuration that does not change.
type staticConfiguration struct{ snapshot configuration.Snapshot }

func (c staticConfiguration) Current() (configuration.Snapshot, bool) { return c.snapshot, true }

// elections records which node holds the shards of each zone, and its tenure.
type elections struct {
	mu    sync.Mutex
	terms map[string][]term
}

type term struct {
	node   *node
	tenure ratelimit.Tenure
}

// elect ends the current tenure of a zone at from and makes a node the holder after it.
func (e *elections) elect(zone string, n *node, from time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	terms := e.terms[zone]
	for i := range terms {
		terms[i].tenure.Until = from
	}
	tenure := ratelimit.Tenure{Epoch: uint64(len(terms) + 1), From: from, Until: from.Add(time.Hour)}
	e.terms[zone] = append(terms, term{node: n, tenure: tenure})
}

// vacate ends the tenures of a zone now, so that it has no holder.
func (e *elections) vacate(zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.terms[zone] {
		e.terms[zone][i].tenure.Until = time.Now()
	}
}

// current returns the current term of a shard.
func (e *elections) current(shard string) (term, bool) {
	s, err := ratelimit.ParseShard(shard)
	if err != nil {
		return term{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.terms[s.Zone] {
		if now := time.Now(); !now.Before(t.tenure.From) && now.Before(t.tenure.Until) {
			return t, true
		}
	}
	return term{}, false
}

// node is the rate limit service of one node, connected through a real endpoint.
type node struct {
	*ratelimit.Service
	elections *elections
	endpoint  *peer.Endpoint
	stop      func()
}

// Held returns the current tenure of the shard, and whether this node holds it.
func (n *node) Held(shard string) (ratelimit.Tenure, bool) {
	t, ok := n.elections.current(shard)
	return t.tenure, ok && t.node == n
}

// HolderAddress returns the address of the shard's holder.
func (n *node) HolderAddress(shard string) (string, bool) {
	t, ok := n.elections.current(shard)
	if !ok {
		return "", false
	}
	return t.node.endpoint.Address(), true
}

// InvalidateHolder does nothing because the addresses are not cached.
func (n *node) InvalidateHolder(string) {}

// Call sends a message over the endpoint.
func (n *node) Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error) {
	return n.endpoint.Call(ctx, address, peer.Kind(kind), body)
}

// fleet consists of two zones with two nodes each.
type fleet struct {
	*elections
	nodes map[string][]*node
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	is := is.New(t)
	text := fmt.Sprintf("[account %s]\nrate = %d\nburst = %d\n[zone a]\nshare = 0.5\n[zone b]\nshare = 0.5\n", account, ratePerSecond, burst)
	snapshot, err := configuration.Parse("test", []byte(text))
	is.NoErr(err)
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	f := &fleet{elections: &elections{terms: map[string][]term{}}, nodes: map[string][]*node{}}
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			f.nodes[zone] = append(f.nodes[zone], startNode(t, f, authority, fmt.Sprint(zone, i), zone, staticConfiguration{snapshot}))
		}
		f.elect(zone, f.nodes[zone][0], time.Now())
	}
	return f
}

func startNode(t *testing.T, f *fleet, a *identity.Authority, host, zone string, c ratelimit.ConfigurationSource) *node {
	t.Helper()
	is := is.New(t)
	pair, err := a.Issue(identity.Node{Host: host, Zone: zone}, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), time.Hour)
	is.NoErr(err)
	config, err := identity.TLSConfig(a.PEM().Certificate, pair, peer.ALPNProtocol)
	is.NoErr(err)
	n := &node{elections: f.elections}
	n.endpoint, err = peer.Listen("127.0.0.1:0", config)
	is.NoErr(err)
	pool := pond.NewPool(32)
	n.Service = ratelimit.New(ratelimit.Self{Host: host, Zone: zone}, ratelimit.Deps{
		Configuration: c, Holders: n, Transport: n, Pool: pool, Clock: clock.System{},
		Log: event.NewLog(&log.Logger{Handler: json.New(io.Discard), Level: log.ErrorLevel}),
	}, options...)
	n.endpoint.Handle(ratelimit.KindRateRequest, func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
		return n.Handle(ctx, from.Host, body)
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { n.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		running.Wait()
		pool.StopAndWait()
		if err := n.endpoint.Close(); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(n.stop)
	return n
}

// admission is the time interval within which a request was admitted.
type admission struct{ before, after time.Time }

// recorder records admissions.
type recorder struct {
	mu         sync.Mutex
	admissions []admission
}

// sendRequests sends requests to a node from four concurrent callers until the context
// ends.
func (r *recorder) sendRequests(ctx context.Context, n *node, callers *sync.WaitGroup) {
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				before := time.Now()
				if err := n.Take(ctx, account, maxWait); err != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				r.mu.Lock()
				r.admissions = append(r.admissions, admission{before: before, after: time.Now()})
				r.mu.Unlock()
			}
		})
	}
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.admissions)
}

// waitForAdmissions waits until the given number of further requests has been admitted.
func (r *recorder) waitForAdmissions(t *testing.T, more int) {
	t.Helper()
	want := r.count() + more
	for range 6000 {
		if r.count() >= want {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("admitted %d, want %d", r.count(), want)
}

// checkLimit checks that no window of length t has more than burst + rate*t admissions.
// It counts only admissions whose interval lies entirely within the window.
func (r *recorder) checkLimit(t *testing.T) {
	t.Helper()
	for _, first := range r.admissions {
		for _, last := range r.admissions {
			window := last.after.Sub(first.before)
			if window < 0 {
				continue
			}
			count := 0
			for _, a := range r.admissions {
				if !a.before.Before(first.before) && !a.after.After(last.after) {
					count++
				}
			}
			if allowed := burst + ratePerSecond*window.Seconds(); float64(count) > allowed {
				t.Fatalf("admitted %d in %s, allowed %.3f", count, window, allowed)
			}
		}
	}
}

// TestRateLimitDuringHolderTakeover checks that four overloaded nodes stay within
// the rate limit while one holder is killed and another node takes over.
func TestRateLimitDuringHolderTakeover(t *testing.T) {
	f := startFleet(t)
	r := &recorder{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for _, nodes := range f.nodes {
		for _, n := range nodes {
			r.sendRequests(ctx, n, &callers)
		}
	}
	r.waitForAdmissions(t, 150)
	killed := f.nodes["a"][0]
	f.elect("a", f.nodes["a"][1], time.Now().Add(50*time.Millisecond))
	killed.stop()
	r.waitForAdmissions(t, 250)
	cancel()
	callers.Wait()
	r.checkLimit(t)
}

func TestTakeWithoutHoldersIsUnavailable(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	n := f.nodes["a"][1]
	r := &recorder{}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	r.sendRequests(ctx, n, &callers)
	r.waitForAdmissions(t, 10)
	cancel()
	callers.Wait()
	f.vacate("a")
	f.vacate("b")
	var refused refusal.Refusal
	for range 1000 {
		if errors.As(n.Take(t.Context(), account, maxWait), &refused) && refused.Reason == refusal.RateUnavailable {
			break
		}
	}
	is.Equal(refused.Reason, refusal.RateUnavailable)
	is.Equal(refused.Outcome, refusal.NotRun)
	is.True(refused.RetryAfter > 0)
}

func TestHandleRejectsInvalidRequests(t *testing.T) {
	is := is.New(t)
	n := startFleet(t).nodes["a"][0]
	shard := ratelimit.ShardOf("a", account).String()
	grantRequest := rate.GrantRequest{Account: account, Sequence: 1, Need: rate.Token}
	for _, tt := range []struct {
		name    string
		request rate.Request
		want    error
	}{
		{"another host", rate.Request{Sender: "b0#1", Receiver: shard, GrantRequests: []rate.GrantRequest{grantRequest}}, ratelimit.ErrSenderMismatch},
		{"negative", rate.Request{Sender: "a1#1", Receiver: shard, GrantRequests: []rate.GrantRequest{{Account: account, Sequence: 1, Returned: -1}}}, rate.ErrInvalidGrantRequest},
		{"not held", rate.Request{Sender: "a1#1", Receiver: ratelimit.ShardOf("b", account).String(), GrantRequests: []rate.GrantRequest{grantRequest}}, ratelimit.ErrNotHolder},
	} {
		body, err := cbor.Marshal(tt.request)
		is.NoErr(err)
		_, err = n.Handle(t.Context(), "a1", body)
		is.True(errors.Is(err, tt.want)) // the request is rejected
	}
}

// requestToken requests one token from a node on behalf of a host that holds no shard.
func requestToken(t *testing.T, n *node, sender string) rate.Grant {
	t.Helper()
	is := is.New(t)
	grantRequest := rate.GrantRequest{Account: account, Sequence: 1, Need: rate.Token}
	request := rate.Request{Sender: sender, Receiver: ratelimit.ShardOf("a", account).String(), GrantRequests: []rate.GrantRequest{grantRequest}}
	body, err := cbor.Marshal(request)
	is.NoErr(err)
	raw, err := n.Handle(t.Context(), "a9", body)
	is.NoErr(err)
	var reply rate.Reply
	is.NoErr(cbor.Unmarshal(raw, &reply))
	is.Equal(len(reply.Grants), 1)
	return reply.Grants[0]
}

// TestHeldShardKeepsGrantsOnlyInConsecutiveEpochs checks that a process which holds
// the shard again in the next epoch continues with its recorded grants. After a tenure
// of another holder it must wait until that holder's grants expire.
func TestHeldShardKeepsGrantsOnlyInConsecutiveEpochs(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	n, other := f.nodes["a"][0], f.nodes["a"][1]
	requestToken(t, n, "a9#1")
	time.Sleep(2 * grantDuration)
	is.Equal(requestToken(t, n, "a9#2").Tokens, rate.Token)
	f.elect("a", n, time.Now())
	is.Equal(requestToken(t, n, "a9#3").Tokens, rate.Token) // no other holder in between
	f.elect("a", other, time.Now())
	requestToken(t, other, "a9#4")
	f.elect("a", n, time.Now())
	is.Equal(requestToken(t, n, "a9#5").Tokens, rate.Quantity(0)) // grants of the other holder may still be in use
}
