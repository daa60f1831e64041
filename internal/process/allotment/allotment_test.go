package allotment_test

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
	"github.com/bilberryvane/bilberryvane/internal/process/allotment"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/rate"
)

const (
	account   = "klinik"
	perSecond = 200
	burst     = 40
	duration  = 300 * time.Millisecond
	patience  = 400 * time.Millisecond
)

var options = []rate.Option{rate.WithGrantDuration(duration), rate.WithRenewInterval(20 * time.Millisecond)}

// fixed is a configuration that does not change.
type fixed struct{ snapshot configuration.Snapshot }

// Current returns the configuration.
func (f fixed) Current() (configuration.Snapshot, bool) { return f.snapshot, true }

// elections say which node holds a zone's shards, from when and until when.
type elections struct {
	mu    sync.Mutex
	terms map[string][]term
}

type term struct {
	node   *node
	tenure allotment.Tenure
}

// elect makes a node the holder of a zone once the present tenure has ended.
func (e *elections) elect(zone string, n *node, from time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	terms := e.terms[zone]
	for i := range terms {
		terms[i].tenure.Until = from
	}
	tenure := allotment.Tenure{Epoch: uint64(len(terms) + 1), From: from, Until: from.Add(time.Hour)}
	e.terms[zone] = append(terms, term{node: n, tenure: tenure})
}

// vacate leaves a zone without a holder from now on.
func (e *elections) vacate(zone string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.terms[zone] {
		e.terms[zone][i].tenure.Until = time.Now()
	}
}

// present returns the term of a shard that runs now.
func (e *elections) present(shard string) (term, bool) {
	s, err := allotment.ParseShard(shard)
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

// node is one node's allotment over a real endpoint.
type node struct {
	*allotment.Service
	elections *elections
	endpoint  *peer.Endpoint
	stop      func()
}

// Held returns the tenure if the node holds the shard.
func (n *node) Held(shard string) (allotment.Tenure, bool) {
	t, ok := n.elections.present(shard)
	return t.tenure, ok && t.node == n
}

// HolderAddress returns the address of the shard's holder.
func (n *node) HolderAddress(shard string) (string, bool) {
	t, ok := n.elections.present(shard)
	if !ok {
		return "", false
	}
	return t.node.endpoint.Address(), true
}

// InvalidateHolder does nothing: the elections are always known.
func (n *node) InvalidateHolder(string) {}

// Call sends a message over the endpoint.
func (n *node) Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error) {
	return n.endpoint.Call(ctx, address, peer.Kind(kind), body)
}

// fleet is two zones of two nodes.
type fleet struct {
	*elections
	nodes map[string][]*node
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	is := is.New(t)
	text := fmt.Sprintf("[account %s]\nrate = %d\nburst = %d\n[zone a]\nshare = 0.5\n[zone b]\nshare = 0.5\n", account, perSecond, burst)
	snapshot, err := configuration.Parse("test", []byte(text))
	is.NoErr(err)
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	f := &fleet{elections: &elections{terms: map[string][]term{}}, nodes: map[string][]*node{}}
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			f.nodes[zone] = append(f.nodes[zone], startNode(t, f, authority, fmt.Sprint(zone, i), zone, fixed{snapshot}))
		}
		f.elect(zone, f.nodes[zone][0], time.Now())
	}
	return f
}

func startNode(t *testing.T, f *fleet, a *identity.Authority, host, zone string, c allotment.Configuration) *node {
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
	n.Service = allotment.New(allotment.Self{Host: host, Zone: zone}, allotment.Parts{
		Configuration: c, Holders: n, Sender: n, Pool: pool, Clock: clock.System{},
		Log: event.NewLog(&log.Logger{Handler: json.New(io.Discard), Level: log.ErrorLevel}),
	}, options...)
	n.endpoint.Handle(allotment.KindAsk, func(ctx context.Context, from peer.Identity, body []byte) ([]byte, error) {
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

// admission is the interval in which a request was admitted.
type admission struct{ before, after time.Time }

// trace collects admissions.
type trace struct {
	mu         sync.Mutex
	admissions []admission
}

// load sends requests to a node from several callers until the context ends.
func (r *trace) load(ctx context.Context, n *node, callers *sync.WaitGroup) {
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				before := time.Now()
				if err := n.Take(ctx, account, patience); err != nil {
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

func (r *trace) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.admissions)
}

// await waits until more requests were admitted.
func (r *trace) await(t *testing.T, more int) {
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

// check compares every window with burst + rate*t. Only what was surely admitted
// within a window counts.
func (r *trace) check(t *testing.T) {
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
			if allowed := burst + perSecond*window.Seconds(); float64(count) > allowed {
				t.Fatalf("admitted %d in %s, allowed %.3f", count, window, allowed)
			}
		}
	}
}

// TestRateHoldsThroughTakeover overloads four nodes while a holder is killed and
// another one takes over.
func TestRateHoldsThroughTakeover(t *testing.T) {
	f := startFleet(t)
	r := &trace{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for _, nodes := range f.nodes {
		for _, n := range nodes {
			r.load(ctx, n, &callers)
		}
	}
	r.await(t, 150)
	killed := f.nodes["a"][0]
	f.elect("a", f.nodes["a"][1], time.Now().Add(50*time.Millisecond))
	killed.stop()
	r.await(t, 250)
	cancel()
	callers.Wait()
	r.check(t)
}

func TestUnreachableHolderIsNamed(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	n := f.nodes["a"][1]
	r := &trace{}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	r.load(ctx, n, &callers)
	r.await(t, 10)
	cancel()
	callers.Wait()
	f.vacate("a")
	f.vacate("b")
	var refused refusal.Refusal
	for range 1000 {
		if errors.As(n.Take(t.Context(), account, patience), &refused) && refused.Reason == refusal.RateUnavailable {
			break
		}
	}
	is.Equal(refused.Reason, refusal.RateUnavailable)
	is.Equal(refused.Outcome, refusal.NotRun)
	is.True(refused.RetryAfter > 0)
}

func TestForgedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	n := startFleet(t).nodes["a"][0]
	shard := allotment.ShardOf("a", account).String()
	ask := rate.GrantRequest{Account: account, Sequence: 1, Need: rate.Token}
	for _, tt := range []struct {
		name    string
		request rate.Request
		want    error
	}{
		{"another host", rate.Request{Sender: "b0#1", Receiver: shard, GrantRequests: []rate.GrantRequest{ask}}, allotment.ErrForged},
		{"negative", rate.Request{Sender: "a1#1", Receiver: shard, GrantRequests: []rate.GrantRequest{{Account: account, Sequence: 1, Returned: -1}}}, rate.ErrInvalidGrantRequest},
		{"not held", rate.Request{Sender: "a1#1", Receiver: allotment.ShardOf("b", account).String(), GrantRequests: []rate.GrantRequest{ask}}, allotment.ErrNotHolder},
	} {
		body, err := cbor.Marshal(tt.request)
		is.NoErr(err)
		_, err = n.Handle(t.Context(), "a1", body)
		is.True(errors.Is(err, tt.want)) // the request is refused
	}
}

// fetch asks a node, as a host that holds nothing, for one token.
func fetch(t *testing.T, n *node, sender string) rate.Grant {
	t.Helper()
	is := is.New(t)
	ask := rate.GrantRequest{Account: account, Sequence: 1, Need: rate.Token}
	request := rate.Request{Sender: sender, Receiver: allotment.ShardOf("a", account).String(), GrantRequests: []rate.GrantRequest{ask}}
	body, err := cbor.Marshal(request)
	is.NoErr(err)
	raw, err := n.Handle(t.Context(), "a9", body)
	is.NoErr(err)
	var reply rate.Reply
	is.NoErr(cbor.Unmarshal(raw, &reply))
	is.Equal(len(reply.Grants), 1)
	return reply.Grants[0]
}

// TestSeatGoesOnOnlyIfNobodyElseHeldIt: the same process in the next epoch still
// knows its grants; after another holder it has to wait for that one's.
func TestSeatGoesOnOnlyIfNobodyElseHeldIt(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	n, other := f.nodes["a"][0], f.nodes["a"][1]
	fetch(t, n, "a9#1")
	time.Sleep(2 * duration)
	is.Equal(fetch(t, n, "a9#2").Tokens, rate.Token)
	f.elect("a", n, time.Now())
	is.Equal(fetch(t, n, "a9#3").Tokens, rate.Token) // nobody else held it
	f.elect("a", other, time.Now())
	fetch(t, other, "a9#4")
	f.elect("a", n, time.Now())
	is.Equal(fetch(t, n, "a9#5").Tokens, rate.Quantity(0)) // the other's grants may be in effect
}
