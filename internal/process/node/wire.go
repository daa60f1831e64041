package node

import (
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
	"github.com/bilberryvane/bilberryvane/internal/process/suspects"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/entry"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/execute"
	"github.com/bilberryvane/bilberryvane/internal/request/forward"
)

// connect opens the endpoint towards other nodes.
func (n *Node) connect() error {
	p := n.settings.Peers
	authority, err := os.ReadFile(p.AuthorityFile)
	if err != nil {
		return fmt.Errorf("%w: read authority: %w", ErrNoPeers, err)
	}
	certificate, err := os.ReadFile(p.CertificateFile)
	if err != nil {
		return fmt.Errorf("%w: read certificate: %w", ErrNoPeers, err)
	}
	privateKey, err := os.ReadFile(p.PrivateKeyFile)
	if err != nil {
		return fmt.Errorf("%w: read private key: %w", ErrNoPeers, err)
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

// join makes the node's part in the membership.
func (n *Node) join() error {
	content, err := os.ReadFile(n.settings.Peers.GroupKeyFile)
	if err != nil {
		return fmt.Errorf("%w: read group key: %w", ErrNoPeers, err)
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
	n.reach()
	n.membership = membership.New(self, membership.Parts{
		Transport: n.endpoint,
		Keys:      groupKeys,
		Table:     n.table,
		Clock:     n.clock,
		Log:       n.log,
		Seeds:     n.settings.Peers.Seeds,
	})
	return nil
}

// wire makes the parts that deal with requests and returns the entry to them.
func (n *Node) wire() *entry.Entry {
	host := n.settings.Host
	n.directory = directory.New(n.membership)
	n.follow()
	n.admission = admitter.New(host.Name, newTargets(n.configuration), n.clock)
	n.strikes = suspects.NewBroadcaster(host.Name, n.membership, n.endpoint)
	watch := suspects.NewFilter(host.Name, n.membership.Self().Incarnation, n.strikes, n.strikes, n.clock, n.log)
	n.endpoint.Handle(suspects.KindStrikes, watch.HandleStrikes)
	n.strikes.Subscribe(watch.HandleRumour)
	n.own()
	executor := execute.New(execute.Deps{
		Host:       host.Name,
		Keys:       n.keys,
		Admission:  n.admission,
		Quarantine: watch,
		Backend:    n.backend,
		Registry:   n.registry,
		Clock:      n.clock,
	})
	n.endpoint.Handle(peer.KindCall, forward.Serve(executor, n.clock))
	chooser := router.New(host.Name, host.Zone, n.membership, watch, n.clock)
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
	if n.local, err = caller.ListenBackend(n.settings.Listen.Backend, limits, e, n); err != nil {
		return fmt.Errorf("listen for the backend server: %w", err)
	}
	if n.operators, err = operator.Listen(n.settings.Listen.Operators, n); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	if n.callers, err = caller.ListenCallers(n.settings.Listen.Callers, limits, e); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

// Record keeps how a request ended.
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
