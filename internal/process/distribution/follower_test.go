package distribution_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
	"github.com/bilberryvane/bilberryvane/member"
	standin "github.com/bilberryvane/bilberryvane/trial/platform"
)

// document returns a configuration with one account that has the named keys.
func document(keys ...string) []byte {
	var b strings.Builder
	b.WriteString("[service orders]\n[account nord]\nrate = 10\nburst = 10\n")
	for _, k := range keys {
		fmt.Fprintf(&b, "[key %s]\naccount = nord\nhash = %s\n", k, key.HashOf(k))
	}
	return []byte(b.String())
}

// start runs a stand-in of the platform and returns it with a registry on it.
func start(t testing.TB) (*standin.Server, *distribution.Registry) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.New()
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := errors.Join(server.Close(), <-done); err != nil {
			t.Error(err)
		}
	})
	url := "http://" + listener.Addr().String()
	endpoint := platform.Endpoint{
		TableURL: url, ObjectsURL: url, Region: "local", AccessKey: "a", SecretKey: "b", TableName: "t", Bucket: "b",
	}
	return server, distribution.NewRegistry(platform.NewTable(endpoint), platform.NewObjects(endpoint))
}

// A network joins followers in one process. It is the Caller, the Directory and
// the Gossip of each.
type network struct {
	registry *distribution.Registry
	pool     pond.Pool
	clock    clock.Clock

	// mu guards nodes and rumours.
	mu      sync.Mutex
	nodes   map[string]*node
	rumours []member.Rumour
}

type node struct {
	*network
	*distribution.Follower
	self distribution.Peer
	stop context.CancelFunc
}

func (n *network) start(host, zone string) *node {
	self := distribution.Peer{Host: host, Zone: zone, Address: host}
	ctx, cancel := context.WithCancel(context.Background())
	d := &node{network: n, self: self, stop: cancel}
	d.Follower = distribution.NewFollower(self, distribution.Parts{
		Source: n.registry, Caller: d, Directory: d, Gossip: d, Pool: n.pool, Clock: n.clock,
		Log:    event.NewLog(&log.Logger{Handler: text.New(io.Discard)}),
		Random: rand.New(rand.NewSource(int64(len(host)))),
	}, distribution.WithKeyBound(time.Minute))
	n.mu.Lock()
	n.nodes[host] = d
	n.mu.Unlock()
	go d.Run(ctx)
	return d
}

func (d *node) Call(ctx context.Context, address string, kind uint16, body []byte) ([]byte, error) {
	d.mu.Lock()
	to, ok := d.nodes[address]
	d.mu.Unlock()
	switch {
	case !ok:
		return nil, errors.New("no such node")
	case kind == distribution.KindAsk:
		return to.HandleAsk(ctx, d.self, body)
	default:
		return to.HandleNotice(ctx, d.self, body)
	}
}

func (d *node) Peers() []distribution.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var peers []distribution.Peer
	for _, other := range d.nodes {
		if other != d {
			peers = append(peers, other.self)
		}
	}
	return peers
}

func (d *node) PublishRumour(r member.Rumour, _ time.Duration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rumours = append(d.rumours, r)
	return nil
}

func (d *node) Subscribe(string, func(string, []byte)) {}

// eventually waits for a condition that must come true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("did not come true: " + what)
		}
	}
}

func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	server, registry := start(t)
	for round := range uint64(10) {
		is := is.New(t)
		server.SetFaults(standin.Faults{LoseAnswers: int64(round)})
		errs := make([]error, 2)
		var wait sync.WaitGroup
		for i, author := range []string{"anna", "bo"} {
			wait.Go(func() {
				change := distribution.Change{
					ID: fmt.Sprintf("%s-%d", author, round), Base: round, Author: author, Content: document(author),
				}
				_, errs[i] = registry.Publish(context.Background(), change)
				for errors.Is(errs[i], platform.ErrUnsettled) || errors.Is(errs[i], platform.ErrUnavailable) {
					_, errs[i] = registry.Publish(context.Background(), change)
				}
			})
		}
		wait.Wait()
		server.SetFaults(standin.Faults{})
		head, err := registry.Head(context.Background())
		is.NoErr(err)
		is.Equal(head.Version, round+1)
		winner, loser := 0, 1
		if head.Author == "bo" {
			winner, loser = 1, 0
		}
		is.NoErr(errs[winner])
		var conflict *distribution.ConflictError
		is.True(errors.As(errs[loser], &conflict))
		is.Equal(conflict.Present, head) // the loser is told what came first
		content, err := registry.Content(context.Background(), head)
		is.NoErr(err)
		is.Equal(content, document(head.Author))
	}
}

func TestFollowersHoldWhatIsPublishedThroughOutages(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	server, registry := start(t)
	n := &network{registry: registry, pool: pond.NewPool(64), clock: clock.System{}, nodes: make(map[string]*node)}
	defer n.pool.StopAndWait()
	var nodes []*node
	for i := range 6 {
		nodes = append(nodes, n.start(fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%2)))
	}
	defer func() {
		for _, d := range nodes {
			d.stop()
		}
	}()
	inForce := func(version uint64) func() bool {
		return func() bool {
			for _, d := range nodes {
				if d.Snapshot().Version() != version {
					return false
				}
			}
			return true
		}
	}
	_, err := registry.Publish(ctx, distribution.Change{ID: "1", Content: document("a", "b")})
	is.NoErr(err)
	eventually(t, "version 1 is in force", inForce(1))
	_, err = registry.Publish(ctx, distribution.Change{ID: "2", Base: 1, Content: document("b")})
	is.NoErr(err)
	eventually(t, "version 2 is in force", inForce(2))
	for _, d := range nodes {
		is.True(!d.Snapshot().KeyActive("a") && d.Snapshot().KeyActive("b"))
		is.True(d.KeysUsable())
	}
	eventually(t, "each node has spread both versions", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.rumours) == 2*len(nodes)
	})
	n.mu.Lock()
	counts := map[string]int{}
	for _, r := range n.rumours {
		counts[fmt.Sprintf("%d %x", r.Version, r.Payload)]++
	}
	is.Equal(counts, map[string]int{"1 a10101": len(nodes), "2 a10102": len(nodes)}) // one rumour for each version, not one for each node
	n.mu.Unlock()
	_, err = registry.Publish(ctx, distribution.Change{ID: "3", Base: 2, Content: []byte("[service")})
	is.True(err != nil) // a faulty document isn't accepted
	server.SetFaults(standin.Faults{Down: true})
	nodes[0].stop()
	nodes[0] = n.start("host-0", "zone-0")
	is.Equal(nodes[0].Snapshot().Version(), uint64(0))
	eventually(t, "the restarted node has it from its peers", inForce(2))
}

// A node whose peers and platform are out of reach trusts its keys up to its bound.
func TestKeysAreUsableUpToBound(t *testing.T) {
	is := is.New(t)
	server, registry := start(t)
	_, err := registry.Publish(context.Background(), distribution.Change{ID: "1", Content: document("a")})
	is.NoErr(err)
	fake := clock.NewFake(time.Unix(1000, 0))
	n := &network{registry: registry, pool: pond.NewPool(8), clock: fake, nodes: make(map[string]*node)}
	defer n.pool.StopAndWait()
	d := n.start("host-0", "zone-0")
	defer d.stop()
	is.True(!d.KeysUsable())
	eventually(t, "version 1 is in force", func() bool { return d.KeysUsable() && d.Snapshot().Version() == 1 })
	server.SetFaults(standin.Faults{Down: true})
	fake.Advance(59 * time.Second)
	is.True(d.KeysUsable())
	fake.Advance(2 * time.Second)
	is.True(!d.KeysUsable())
	is.True(d.Snapshot().KeyActive("a")) // the version itself stays
	server.SetFaults(standin.Faults{})
	fake.Advance(2 * time.Second)
	eventually(t, "the platform confirms the version", d.KeysUsable)
}

// A peer that is one change behind is sent little more than the change.
func TestOfferHoldsOnlyTheChange(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	_, registry := start(t)
	n := &network{registry: registry, pool: pond.NewPool(8), clock: clock.System{}, nodes: make(map[string]*node)}
	defer n.pool.StopAndWait()
	d := n.start("host-0", "zone-0")
	defer d.stop()
	var keys []string
	for i := range 1000 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	for version := range uint64(2) {
		_, err := registry.Publish(ctx, distribution.Change{
			ID: fmt.Sprint(version), Base: version, Content: document(keys[:999+version]...),
		})
		is.NoErr(err)
		eventually(t, "the version is in force", func() bool { return d.Snapshot().Version() == version+1 })
	}
	ask := func(have uint64) distribution.Offer {
		body, err := cbor.Marshal(distribution.Ask{Have: have})
		is.NoErr(err)
		answer, err := d.HandleAsk(ctx, distribution.Peer{}, body)
		is.NoErr(err)
		var offer distribution.Offer
		is.NoErr(cbor.Unmarshal(answer, &offer))
		return offer
	}
	change := ask(1)
	content, err := change.Open(document(keys[:999]...))
	is.NoErr(err)
	is.Equal(content, document(keys...))
	is.True(len(change.Packed) < 400)
	_, err = change.Open(document(keys[:998]...))
	is.True(err != nil) // another base gives no content
	all := ask(0)
	content, err = all.Open(nil)
	is.NoErr(err)
	is.Equal(content, document(keys...))
	is.Equal(len(ask(2).Packed), 0)
}

// FuzzAnswer feeds a follower what a peer could send.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(_ *testing.T, body []byte) {
		var offer distribution.Offer
		if err := cbor.Unmarshal(body, &offer); err == nil {
			_, _ = offer.Open(document("a"))
		}
		d := distribution.NewFollower(distribution.Peer{}, distribution.Parts{
			Gossip: &node{}, Clock: clock.System{}, Random: rand.New(rand.NewSource(1)),
		})
		_, _ = d.HandleAsk(context.Background(), distribution.Peer{}, body)
	})
}
