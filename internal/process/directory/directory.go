// Package directory tells which nodes offer a service. This one asks the seed
// addresses in turn; it serves deployments whose nodes all know each other.
package directory

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
)

// KindHello asks a node who it is and what it offers.
const KindHello peer.Kind = 10

const (
	// pollPeriod is the time between two questions to a seed.
	pollPeriod = 500 * time.Millisecond
	// pollTimeout bounds one question.
	pollTimeout = 400 * time.Millisecond
	// maxPolls bounds the questions under way.
	maxPolls = 16
)

// A Node is what a node says of itself.
type Node struct {
	Host string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Address is the node's peer address.
	Address string `cbor:"3,keyasint"`
	// Service is the service that it offers; empty for none.
	Service string `cbor:"4,keyasint,omitempty"`
	// Leaving says that it takes no new work.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Incarnation is greater after each start of the node.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
}

// A Directory holds the nodes that answered last. It is safe for concurrent use.
type Directory struct {
	endpoint *peer.Endpoint
	seeds    []string

	// mu guards own and nodes.
	mu    sync.RWMutex
	own   Node
	nodes map[string]Node
}

// New returns a Directory for a node and registers its handler.
func New(e *peer.Endpoint, own Node, seeds []string) *Directory {
	d := &Directory{endpoint: e, own: own, seeds: seeds, nodes: map[string]Node{}}
	e.Handle(KindHello, d.hello)
	return d
}

// Offer changes what the own node offers.
func (d *Directory) Offer(service string, leaving bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own.Service = service
	d.own.Leaving = leaving
}

// Run asks the seeds until the context ends.
func (d *Directory) Run(ctx context.Context) {
	pool := pond.NewPool(maxPolls, pond.WithContext(ctx))
	defer pool.StopAndWait()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		group := pool.NewGroup()
		for _, seed := range d.seeds {
			group.Submit(func() { d.poll(ctx, seed) })
		}
		if err := group.Wait(); err != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Nodes returns all nodes known, the own one included.
func (d *Directory) Nodes() []Node {
	d.mu.RLock()
	defer d.mu.RUnlock()
	nodes := []Node{d.own}
	for _, n := range d.nodes {
		nodes = append(nodes, n)
	}
	return nodes
}

func (d *Directory) poll(ctx context.Context, seed string) {
	limited, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	n, err := d.ask(limited, seed)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil || n.Host == d.own.Host {
		delete(d.nodes, seed)
		return
	}
	d.nodes[seed] = n
}

func (d *Directory) ask(ctx context.Context, seed string) (Node, error) {
	body, err := d.endpoint.Call(ctx, seed, KindHello, nil)
	if err != nil {
		return Node{}, fmt.Errorf("ask %s: %w", seed, err)
	}
	var n Node
	if err := peer.Decoder.Unmarshal(body, &n); err != nil {
		return Node{}, fmt.Errorf("read answer of %s: %w", seed, err)
	}
	return n, nil
}

func (d *Directory) hello(context.Context, peer.Identity, []byte) ([]byte, error) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	body, err := cbor.Marshal(d.own)
	if err != nil {
		return nil, fmt.Errorf("encode node: %w", err)
	}
	return body, nil
}
