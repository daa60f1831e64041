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

// configurationWith returns a configuration with one account that has the named keys.
func configurationWith(keys ...string) []byte {
	var b strings.Builder
	b.WriteString("[service orders]\n[account nord]\nrate = 10\nburst = 10\n")
	for _, k := range keys {
		fmt.Fprintf(&b, "[key %s]\naccount = nord\nhash = %s\n", k, key.HashOf(k))
	}
	return []byte(b.String())
}

// startPlatform starts a fake platform and returns it with a registry that uses it.
func startPlatform(t testing.TB) (*standin.Server, *distribution.Registry) {
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
	return server, distribution.NewRegistry(platform.NewTable(endpoint), platform.NewObjectStore(endpoint))
}

// A network connects followers in one process.
type network struct {
	registry *distribution.Registry
	pool     pond.Pool
	clock    clock.Clock

	// mu guards nodes and rumours.
	mu      sync.Mutex
	nodes   map[string]*node
	rumours []member.Rumour
}

// A node is one follower and its Transport, PeerLister and Gossip.
type node struct {
	*network
	*distribution.Follower
	self distribution.Peer
	stop context.CancelFunc
}

func (n *network) startNode(host, zone string) *node {
	self := distribution.Peer{Host: host, Zone: zone, Address: host}
	ctx, cancel := context.WithCancel(context.Background())
	d := &node{network: n, self: self, stop: cancel}
	d.Follower = distribution.NewFollower(self, distribution.Deps{
		Source: n.registry, Transport: d, Peers: d, Gossip: d, Pool: n.pool, Clock: n.clock,
		Log:    event.NewLog(&log.Logger{Handler: text.New(io.Discard)}),
		Random: rand.New(rand.NewSource(int64(len(host)))),
	}, distribution.WithMaxOffline(time.Minute))
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
	case kind == distribution.KindUpdateRequest:
		return to.HandleUpdateRequest(ctx, d.self, body)
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

// waitFor fails the test if the condition doesn't hold within 20 seconds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

func TestConcurrentPublishesConflict(t *testing.T) {
	server, registry := startPlatform(t)
	for round := range uint64(10) {
		is := is.New(t)
		server.SetFaults(standin.Faults{DropResponses: int64(round)})
		errs := make([]error, 2)
		var wait sync.WaitGroup
		for i, author := range []string{"anna", "bo"} {
			wait.Go(func() {
				change := distribution.Change{
					ID: fmt.Sprintf("%s-%d", author, round), Base: round, Author: author, Content: configurationWith(author),
				}
				_, errs[i] = registry.Publish(context.Background(), change)
				for errors.Is(errs[i], platform.ErrOutcomeUnknown) || errors.Is(errs[i], platform.ErrUnavailable) {
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
		is.Equal(conflict.CurrentHead, head) // the error contains the head that was published first
		content, err := registry.Content(context.Background(), head)
		is.NoErr(err)
		is.Equal(content, configurationWith(head.Author))
	}
}

func TestFollowersActivatePublishedVersions(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	server, registry := startPlatform(t)
	n := &network{registry: registry, pool: pond.NewPool(64), clock: clock.System{}, nodes: make(map[string]*node)}
	defer n.pool.StopAndWait()
	var nodes []*node
	for i := range 6 {
		nodes = append(nodes, n.startNode(fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%2)))
	}
	defer func() {
		for _, d := range nodes {
			d.stop()
		}
	}()
	allActive := func(version uint64) func() bool {
		return func() bool {
			for _, d := range nodes {
				if d.Snapshot().Version() != version {
					return false
				}
			}
			return true
		}
	}
	_, err := registry.Publish(ctx, distribution.Change{ID: "1", Content: configurationWith("a", "b")})
	is.NoErr(err)
	waitFor(t, "version 1 is active", allActive(1))
	_, err = registry.Publish(ctx, distribution.Change{ID: "2", Base: 1, Content: configurationWith("b")})
	is.NoErr(err)
	waitFor(t, "version 2 is active", allActive(2))
	for _, d := range nodes {
		is.True(!d.Snapshot().KeyActive("a") && d.Snapshot().KeyActive("b"))
		is.True(d.KeysUsable())
	}
	waitFor(t, "each node has published a rumour for both versions", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.rumours) == 2*len(nodes)
	})
	n.mu.Lock()
	counts := map[string]int{}
	for _, r := range n.rumours {
		counts[fmt.Sprintf("%d %x", r.Version, r.Payload)]++
	}
	is.Equal(counts, map[string]int{"1 a10101": len(nodes), "2 a10102": len(nodes)}) // the rumours of all nodes are identical
	n.mu.Unlock()
	_, err = registry.Publish(ctx, distribution.Change{ID: "3", Base: 2, Content: []byte("[service")})
	is.True(err != nil) // an invalid configuration is rejected
	server.SetFaults(standin.Faults{Down: true})
	nodes[0].stop()
	nodes[0] = n.startNode("host-0", "zone-0")
	is.Equal(nodes[0].Snapshot().Version(), uint64(0))
	waitFor(t, "the restarted node has fetched version 2 from its peers", allActive(2))
}

// A node that can reach neither peers nor the platform accepts keys up to its limit.
func TestKeysUsableUntilMaxOffline(t *testing.T) {
	is := is.New(t)
	server, registry := startPlatform(t)
	_, err := registry.Publish(context.Background(), distribution.Change{ID: "1", Content: configurationWith("a")})
	is.NoErr(err)
	fake := clock.NewFake(time.Unix(1000, 0))
	n := &network{registry: registry, pool: pond.NewPool(8), clock: fake, nodes: make(map[string]*node)}
	defer n.pool.StopAndWait()
	d := n.startNode("host-0", "zone-0")
	defer d.stop()
	is.True(!d.KeysUsable())
	waitFor(t, "version 1 is active", func() bool { return d.KeysUsable() && d.Snapshot().Version() == 1 })
	server.SetFaults(standin.Faults{Down: true})
	fake.Advance(59 * time.Second)
	is.True(d.KeysUsable())
	fake.Advance(2 * time.Second)
	is.True(!d.KeysUsable())
	is.True(d.Snapshot().KeyActive("a")) // the version stays active
	server.SetFaults(standin.Faults{})
	fake.Advance(2 * time.Second)
	waitFor(t, "the platform confirms the version", d.KeysUsable)
}

// The response to a peer that is one version behind contains little more than the change.
func TestUpdateResponseContainsOnlyDelta(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	_, registry := startPlatform(t)
	n := &network{registry: registry, pool: pond.NewPool(8), clock: clock.System{}, nodes: make(map[string]*node)}
	defer n.pool.StopAndWait()
	d := n.startNode("host-0", "zone-0")
	defer d.stop()
	var keys []string
	for i := range 1000 {
		keys = append(keys, fmt.Sprintf("key-%d", i))
	}
	for version := range uint64(2) {
		_, err := registry.Publish(ctx, distribution.Change{
			ID: fmt.Sprint(version), Base: version, Content: configurationWith(keys[:999+version]...),
		})
		is.NoErr(err)
		waitFor(t, "the version is active", func() bool { return d.Snapshot().Version() == version+1 })
	}
	request := func(have uint64) distribution.UpdateResponse {
		body, err := cbor.Marshal(distribution.UpdateRequest{Have: have})
		is.NoErr(err)
		reply, err := d.HandleUpdateRequest(ctx, distribution.Peer{}, body)
		is.NoErr(err)
		var response distribution.UpdateResponse
		is.NoErr(cbor.Unmarshal(reply, &response))
		return response
	}
	delta := request(1)
	content, err := delta.Unpack(configurationWith(keys[:999]...))
	is.NoErr(err)
	is.Equal(content, configurationWith(keys...))
	is.True(len(delta.Packed) < 400)
	_, err = delta.Unpack(configurationWith(keys[:998]...))
	is.True(err != nil) // Unpack fails with another base
	full := request(0)
	content, err = full.Unpack(nil)
	is.NoErr(err)
	is.Equal(content, configurationWith(keys...))
	is.Equal(len(request(2).Packed), 0)
}

// FuzzAnswer decodes arbitrary message bodies as responses and requests.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0x01})
	f.Fuzz(func(_ *testing.T, body []byte) {
		var response distribution.UpdateResponse
		if err := cbor.Unmarshal(body, &response); err == nil {
			_, _ = response.Unpack(configurationWith("a"))
		}
		d := distribution.NewFollower(distribution.Peer{}, distribution.Deps{
			Gossip: &node{}, Clock: clock.System{}, Random: rand.New(rand.NewSource(1)),
		})
		_, _ = d.HandleUpdateRequest(context.Background(), distribution.Peer{}, body)
	})
}
