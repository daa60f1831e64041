// Package node assembles the components of a node and manages them from start to
// shutdown. The component packages describe what each component does.
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
	"github.com/bilberryvane/bilberryvane/internal/process/ratelimit"
	"github.com/bilberryvane/bilberryvane/internal/process/refusals"
	"github.com/bilberryvane/bilberryvane/internal/process/settings"
	"github.com/bilberryvane/bilberryvane/internal/process/strikes"
	"github.com/bilberryvane/bilberryvane/internal/process/withdrawal"
	"github.com/bilberryvane/bilberryvane/internal/request/registry"
)

// maxRefusals is the number of recent refusals that a node keeps for FindRefusal.
const maxRefusals = 20_000

// ErrNoPeerCredentials reports that a certificate, private key or group key file for
// the connection to peers can't be read.
var ErrNoPeerCredentials = eris.New("peer certificates are missing")

// A Node is a running node, created by Start and stopped by Shutdown.
// Lock order: Node.mu is acquired before locks of the components, which never call back
// into the node.
type Node struct {
	settings      settings.Settings
	clock         clock.Clock
	log           event.Log
	configuration ConfigurationSource
	// table and objects are the platform clients.
	table   *platform.Table
	objects *platform.ObjectStore
	// follower is nil if WithConfiguration was used.
	follower          *distribution.Follower
	followerPool      pond.Pool
	keys              *withdrawal.KeyChecker
	endpoint          *peer.Endpoint
	peerOptions       []peer.Option
	registry          *registry.Registry
	backend           *backend.Client
	admission         *admitter.Admitter
	strikeBroadcaster *strikes.Broadcaster
	membership        *membership.Membership
	directory         *directory.Directory
	ownership         *ownership.Service
	claims            *claims.Service
	allotment         *ratelimit.Service
	ratePool          pond.Pool
	refusals          *refusals.Log
	metrics           *metrics.Metrics
	burn              *burn.Recorder
	callerServer      *caller.Server
	localServer       *caller.Server
	operatorServer    *operator.Server
	tasks             sync.WaitGroup
	cancel            context.CancelFunc
	leaving           atomic.Bool

	// mu guards lastAnnouncement.
	mu               sync.Mutex
	lastAnnouncement announcement
}

// An announcement is what the backend server reported, with the time of receipt.
type announcement struct {
	server     backend.Server
	receivedAt time.Time
}

// An Option configures a node.
type Option func(*Node)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(n *Node) { n.clock = c } }

// WithLogger sets the logger.
func WithLogger(l log.Interface) Option { return func(n *Node) { n.log = event.NewLog(l) } }

// WithConfiguration sets the configuration source, which replaces the follower that
// fetches the configuration from the platform and from peers.
func WithConfiguration(c ConfigurationSource) Option {
	return func(n *Node) { n.configuration = c }
}

// WithPeerOptions adds options for the peer endpoint.
func WithPeerOptions(o ...peer.Option) Option {
	return func(n *Node) { n.peerOptions = append(n.peerOptions, o...) }
}

// Start creates a node, opens its listeners and starts its background tasks.
func Start(s settings.Settings, options ...Option) (*Node, error) {
	n := &Node{
		settings: s,
		clock:    clock.System{},
		log:      event.NewLog(log.Log),
		registry: registry.New(),
		refusals: refusals.NewLog(maxRefusals),
		metrics:  metrics.New(),
	}
	for _, o := range options {
		o(n)
	}
	n.backend = backend.NewClient(n.clock)
	n.burn = burn.NewRecorder(s.Host.Name, n.clock)
	if err := n.listenPeers(); err != nil {
		return nil, err
	}
	if err := n.setUpMembership(); err != nil {
		_ = n.endpoint.Close() // The earlier error is returned instead.
		return nil, err
	}
	if err := n.listen(n.setUpRequestHandling()); err != nil {
		_ = n.endpoint.Close() // The earlier error is returned instead.
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
	n.tasks.Go(func() { n.runRateLimiter(ctx) })
	if n.follower != nil {
		n.tasks.Go(func() {
			n.follower.Run(ctx)
			n.followerPool.StopAndWait()
		})
	}
}

// Addresses holds the listen addresses of a running node.
type Addresses struct {
	Callers, Peers, Backend, Operators string
}

// Addresses returns the listen addresses of the node.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Callers:   n.callerServer.Address(),
		Peers:     n.endpoint.Address(),
		Backend:   n.localServer.Address(),
		Operators: n.operatorServer.Address(),
	}
}

// Shutdown announces to other nodes that this one is leaving, completes the requests in
// flight and stops the node. It returns an error if the context ends before that.
func (n *Node) Shutdown(ctx context.Context) error {
	n.log.Emit(event.NodeLeaving, log.Fields{"host": n.settings.Host.Name})
	n.leaving.Store(true)
	n.advertise()
	n.callerServer.DisableKeepAlives()
	n.localServer.DisableKeepAlives()
	if err := n.waitDrainPeriod(ctx); err != nil {
		return err
	}
	if err := n.callerServer.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down caller listener: %w", err)
	}
	if err := n.endpoint.Drain(ctx); err != nil {
		return fmt.Errorf("drain peer endpoint: %w", err)
	}
	if err := n.waitIdle(ctx); err != nil {
		return err
	}
	n.handOverShards(ctx)
	n.membership.Leave()
	n.cancel()
	n.tasks.Wait()
	if err := n.localServer.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down backend listener: %w", err)
	}
	if err := n.operatorServer.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down operator listener: %w", err)
	}
	n.strikeBroadcaster.Close()
	if err := n.endpoint.Close(); err != nil {
		return fmt.Errorf("close peer endpoint: %w", err)
	}
	n.log.Emit(event.NodeStopped, log.Fields{"host": n.settings.Host.Name})
	return nil
}

// waitDrainPeriod waits for the drain period, in which other nodes receive the
// announcement that this one is leaving.
func (n *Node) waitDrainPeriod(ctx context.Context) error {
	select {
	case <-time.After(n.settings.Timing.Drain):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for drain period: %w", ctx.Err())
	}
}

// idlePollInterval is how often a leaving node checks whether calls are still running.
const idlePollInterval = 10 * time.Millisecond

// waitIdle waits until no call runs on the backend server.
func (n *Node) waitIdle(ctx context.Context) error {
	for n.registry.Len() > 0 || n.admission.Load().Running > 0 {
		select {
		case <-time.After(idlePollInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait for %d running calls: %w", n.registry.Len(), ctx.Err())
		}
	}
	return nil
}
