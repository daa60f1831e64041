// Package node puts the parts of a node together and owns them from start to
// shutdown. Each part is made in a file of its own; what a part does is told by
// its package.
package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"
	"github.com/rotisserie/eris"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/connection/caller"
	"github.com/bilberryvane/bilberryvane/internal/connection/operator"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/process/admitter"
	"github.com/bilberryvane/bilberryvane/internal/process/allotment"
	"github.com/bilberryvane/bilberryvane/internal/process/burn"
	"github.com/bilberryvane/bilberryvane/internal/process/claims"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/directory"
	"github.com/bilberryvane/bilberryvane/internal/process/distribution"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/membership"
	"github.com/bilberryvane/bilberryvane/internal/process/metrics"
	"github.com/bilberryvane/bilberryvane/internal/process/ownership"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/internal/process/refusals"
	"github.com/bilberryvane/bilberryvane/internal/process/settings"
	"github.com/bilberryvane/bilberryvane/internal/process/suspects"
	"github.com/bilberryvane/bilberryvane/internal/process/withdrawal"
	"github.com/bilberryvane/bilberryvane/internal/request/registry"
)

// keptRefusals is the number of refusals that a node can explain.
const keptRefusals = 20_000

// ErrNoPeers reports a node that was started without peer certificates.
var ErrNoPeers = eris.New("peer certificates are missing")

// A Node is one running node. Start makes it; Shutdown ends it and waits.
// Lock order: Node.mu, then the locks inside its parts; parts never call back.
type Node struct {
	settings      settings.Settings
	clock         clock.Clock
	log           event.Log
	configuration Configuration
	// table and objects are the clients of the platform.
	table   *platform.Table
	objects *platform.Objects
	// follower is nil where the configuration was given by an option.
	follower    *distribution.Follower
	followPool  pond.Pool
	keys        *withdrawal.KeyChecker
	endpoint    *peer.Endpoint
	peerOptions []peer.Option
	registry    *registry.Registry
	backend     *backend.Client
	admission   *admitter.Admitter
	strikes     *suspects.Broadcaster
	membership  *membership.Membership
	directory   *directory.Directory
	ownership   *ownership.Service
	claims      *claims.Service
	allotment   *allotment.Service
	ratePool    pond.Pool
	refusals    *refusals.Log
	metrics     *metrics.Metrics
	burn        *burn.Recorder
	callers     *caller.Server
	local       *caller.Server
	operators   *operator.Server
	tasks       sync.WaitGroup
	cancel      context.CancelFunc
	leaving     atomic.Bool

	// mu guards announced.
	mu        sync.Mutex
	announced announcement
}

// An announcement is what the backend server last said, and when.
type announcement struct {
	server backend.Server
	at     time.Time
}

// An Option changes how a node is made.
type Option func(*Node)

// WithClock makes the node use another clock.
func WithClock(c clock.Clock) Option { return func(n *Node) { n.clock = c } }

// WithLogger makes the node log through another logger.
func WithLogger(l log.Interface) Option { return func(n *Node) { n.log = event.NewLog(l) } }

// WithConfiguration makes the node use a source of configurations in place of
// the platform and its peers.
func WithConfiguration(c Configuration) Option {
	return func(n *Node) { n.configuration = c }
}

// WithPeerOptions changes how the endpoint towards other nodes is opened.
func WithPeerOptions(o ...peer.Option) Option {
	return func(n *Node) { n.peerOptions = append(n.peerOptions, o...) }
}

// Start makes a node and begins to serve.
func Start(s settings.Settings, options ...Option) (*Node, error) {
	n := &Node{
		settings: s,
		clock:    clock.System{},
		log:      event.NewLog(log.Log),
		registry: registry.New(),
		refusals: refusals.NewLog(keptRefusals),
		metrics:  metrics.New(),
	}
	for _, o := range options {
		o(n)
	}
	n.backend = backend.NewClient(n.clock)
	n.burn = burn.NewRecorder(s.Host.Name, n.clock)
	if err := n.connect(); err != nil {
		return nil, err
	}
	if err := n.join(); err != nil {
		_ = n.endpoint.Close() // The first error is returned.
		return nil, err
	}
	if err := n.listen(n.wire()); err != nil {
		_ = n.endpoint.Close() // The first error is returned.
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.run(ctx)
	n.log.Emit(event.NodeStarted, log.Fields{"host": s.Host.Name, "zone": s.Host.Zone})
	return n, nil
}

// run starts the node's background tasks.
func (n *Node) run(ctx context.Context) {
	n.tasks.Go(func() { n.membership.Run(ctx) })
	n.tasks.Go(func() { n.watchBackend(ctx) })
	n.tasks.Go(func() { n.serveWhenReady(ctx) })
	n.tasks.Go(func() { n.ownership.Run(ctx) })
	n.tasks.Go(func() { n.claims.Run(ctx) })
	n.tasks.Go(func() { n.runRate(ctx) })
	if n.follower != nil {
		n.tasks.Go(func() {
			n.follower.Run(ctx)
			n.followPool.StopAndWait()
		})
	}
}

// Addresses are the addresses that a running node listens on.
type Addresses struct {
	Callers, Peers, Backend, Operators string
}

// Addresses returns the addresses that the node listens on.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.callers.Address(),
		Peers:     n.endpoint.Address(),
		Backend:   n.local.Address(),
		Operators: n.operators.Address(),
	}
}

// Shutdown lets other nodes know that this one leaves, answers what is in flight
// and ends the node. It returns an error if that took longer than the context allows.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Emit(event.NodeLeaving, log.Fields{"host": n.settings.Host.Name})
	n.leaving.Store(true)
	n.offer()
	n.callers.DisableKeepAlives()
	n.local.DisableKeepAlives()
	if err := n.drain(ctx); err != nil {
		return err
	}
	if err := n.callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down callers: %w", err)
	}
	if err := n.endpoint.Drain(ctx); err != nil {
		return fmt.Errorf("drain peers: %w", err)
	}
	if err := n.idle(ctx); err != nil {
		return err
	}
	n.handOver(ctx)
	n.membership.Leave()
	n.cancel()
	n.tasks.Wait()
	if err := n.local.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down local listener: %w", err)
	}
	if err := n.operators.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down operators: %w", err)
	}
	n.strikes.Close()
	if err := n.endpoint.Close(); err != nil {
		return fmt.Errorf("close peers: %w", err)
	}
	n.log.Emit(event.NodeStopped, log.Fields{"host": n.settings.Host.Name})
	return nil
}

// drain waits until other nodes have had time to learn that this one leaves.
func (n *Node) drain(ctx context.Context) error {
	select {
	case <-time.After(n.settings.Timing.Drain):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	}
}

// idlePoll is how often a leaving node looks whether calls are still running.
const idlePoll = 10 * time.Millisecond

// idle waits until no call is running on the backend server.
func (n *Node) idle(ctx context.Context) error {
	for n.registry.Len() > 0 || n.admission.Load().Running > 0 {
		select {
		case <-time.After(idlePoll):
		case <-ctx.Done():
			return fmt.Errorf("wait for %d running calls: %w", n.registry.Len(), ctx.Err())
		}
	}
	return nil
}
