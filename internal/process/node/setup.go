package node

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/caller"
	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/operator"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/connection/seal"
	"github.com/bilberryvane/bilberryvane/internal/process/admitter"
	"github.com/bilberryvane/bilberryvane/internal/process/directory"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/membership"
	"github.com/bilberryvane/bilberryvane/internal/process/pressure"
	"github.com/bilberryvane/bilberryvane/internal/process/retries"
	"github.com/bilberryvane/bilberryvane/internal/process/router"
	"github.com/bilberryvane/bilberryvane/internal/process/strikes"
	"github.com/bilberryvane/bilberryvane/internal/process/suspects"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/entry"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/execute"
	"github.com/bilberryvane/bilberryvane/internal/request/forward"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

// listenPeers opens the peer endpoint.
func (n *Node) listenPeers() error {
	p := n.settings.Peers
	authority, err := os.ReadFile(p.AuthorityFile)
	if err != nil {
		return fmt.Errorf("%w: read authority: %w", ErrNoPeerCredentials, err)
	}
	certificate, err := os.ReadFile(p.CertificateFile)
	if err != nil {
		return fmt.Errorf("%w: read certificate: %w", ErrNoPeerCredentials, err)
	}
	privateKey, err := os.ReadFile(p.PrivateKeyFile)
	if err != nil {
		return fmt.Errorf("%w: read private key: %w", ErrNoPeerCredentials, err)
	}
	pair := identity.KeyPair{Certificate: certificate, PrivateKey: privateKey}
	tlsConfig, err := identity.TLSConfig(authority, pair, peer.ALPNProtocol)
	if err != nil {
		return fmt.Errorf("set up peer authentication: %w", err)
	}
	n.endpoint, err = peer.Listen(n.settings.Listen.Peers, tlsConfig, n.peerOptions...)
	if err != nil {
		return fmt.Errorf("open peer endpoint: %w", err)
	}
	return nil
}

// setUpMembership creates the platform clients and the membership component.
func (n *Node) setUpMembership() error {
	content, err := os.ReadFile(n.settings.Peers.GroupKeyFile)
	if err != nil {
		return fmt.Errorf("%w: read group key: %w", ErrNoPeerCredentials, err)
	}
	groupKeys, err := seal.ParseKeys(content)
	if err != nil {
		return fmt.Errorf("set up membership: %w", err)
	}
	self := membership.Self{
		Host:    n.settings.Host.Name,
		Zone:    n.settings.Host.Zone,
		Address: n.endpoint.Address(),
	}
	n.setUpPlatform()
	n.membership = membership.New(self, membership.Deps{
		Transport: n.endpoint,
		Keys:      groupKeys,
		Table:     n.table,
		Clock:     n.clock,
		Log:       n.log,
		Seeds:     n.settings.Peers.Seeds,
	})
	return nil
}

// setUpRequestHandling creates the components that process requests and returns the
// entry point for requests from callers.
func (n *Node) setUpRequestHandling() *entry.Entry {
	host := n.settings.Host
	n.directory = directory.New(n.membership)
	n.setUpConfiguration()
	n.admission = admitter.New(host.Name, newClassTargets(n.configuration), n.clock)
	n.strikeBroadcaster = strikes.NewBroadcaster(host.Name, n.membership, n.endpoint)
	list := quarantine.NewList(host.Name, n.membership.Self().Incarnation)
	filter := suspects.NewFilter(host.Name, list, n.strikeBroadcaster, n.clock, n.log, suspects.WithHosts(n.strikeBroadcaster))
	n.endpoint.Handle(strikes.KindStrikes, func(_ context.Context, _ peer.Identity, body []byte) ([]byte, error) {
		return nil, filter.MergeEncoded(body)
	})
	n.strikeBroadcaster.Subscribe(func(payload []byte) {
		_ = filter.MergeEncoded(payload) // Ignore rumours that can't be decoded.
	})
	n.setUpOwnership()
	executor := execute.New(execute.Deps{
		Host:       host.Name,
		Keys:       n.keys,
		Admission:  n.admission,
		Quarantine: filter,
		Backend:    n.backend,
		Registry:   n.registry,
		Clock:      n.clock,
	})
	n.endpoint.Handle(peer.KindCall, forward.Serve(executor, n.clock))
	chooser := router.New(host.Name, host.Zone, n.membership, filter, n.clock)
	forwarder := forward.New(chooser, retries.New(n.clock), executor, n.endpoint, n.clock)
	return entry.New(entry.Deps{
		Host:          host.Name,
		Configuration: n.configuration,
		Backpressure:  pressure.NewGate(n.clock),
		RateLimiter:   n.allotment,
		Claims:        n.claims,
		Forwarder:     forwarder,
		Recorder:      n,
		Registry:      n.registry,
		Clock:         n.clock,
	})
}

// listen opens the listeners for callers, the backend server and operators.
func (n *Node) listen(e *entry.Entry) error {
	limits := caller.Limits{
		MaxHeaderBytes: n.settings.Limits.MaxHeaderBytes,
		MaxBodyBytes:   n.settings.Limits.MaxBodyBytes,
		MaxConnections: n.settings.Limits.MaxCallerConnections,
	}
	var err error
	if n.localServer, err = caller.ListenBackend(n.settings.Listen.Backend, limits, e, n); err != nil {
		return fmt.Errorf("open backend listener: %w", err)
	}
	if n.operatorServer, err = operator.Listen(n.settings.Listen.Operators, n); err != nil {
		return fmt.Errorf("open operator listener: %w", err)
	}
	if n.callerServer, err = caller.ListenCallers(n.settings.Listen.Callers, limits, e); err != nil {
		return fmt.Errorf("open caller listener: %w", err)
	}
	return nil
}

// Record adds the outcome of a request to the metrics and the burn report. It logs
// refusals and keeps them for FindRefusal.
func (n *Node) Record(c call.Context, target, elapsed time.Duration, a exchange.Answer) {
	n.metrics.Record(c, target, elapsed, a)
	n.burn.Record(c, target, elapsed, a)
	if a.Refusal == nil {
		return
	}
	n.refusals.Add(*a.Refusal)
	n.log.Emit(event.RequestRefused, log.Fields{
		"request-id": c.RequestID,
		"account":    c.Account,
		"class":      a.Refusal.Class,
		"reason":     a.Refusal.Reason,
		"outcome":    a.Refusal.Outcome,
		"host":       a.Refusal.Host,
	})
}
