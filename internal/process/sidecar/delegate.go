package sidecar

import (
	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/evacuation"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/process/mesh"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

// A strikePublisher publishes strikes over the mesh, which is created after the parts that
// publish them.
type strikePublisher struct{ node *Node }

// Publish sends strikes to the other hosts of the service.
func (p strikePublisher) Publish(service string, strikes []quarantine.Rumour) error {
	return p.node.mesh.Publish(service, strikes)
}

// A meshDelegate provides the state that the node sends to its peers and handles what
// they send. It implements mesh.Delegate.
type meshDelegate struct{ node *Node }

// ConfigurationVersion returns the version of the active configuration.
func (d meshDelegate) ConfigurationVersion() uint64 { return d.node.configuration.Version() }

// Configuration returns the active configuration in its encoded form, with its version.
func (d meshDelegate) Configuration() (version uint64, content []byte) {
	return d.node.configuration.Content()
}

// ApplyConfiguration applies a configuration received from the node of a host.
func (d meshDelegate) ApplyConfiguration(host string, _ uint64, content []byte) {
	d.node.configuration.adopt(content, host)
}

// Strikes returns the known strikes of requests that crash backend servers.
func (d meshDelegate) Strikes() []quarantine.Rumour { return d.node.suspects.Rumours(maxSentStrikes) }

// HandleStrikes applies the strikes that another host knows.
func (d meshDelegate) HandleStrikes(strikes []quarantine.Rumour) { d.node.suspects.Merge(strikes) }

// Evacuations returns the availability zones that are or were evacuated.
func (d meshDelegate) Evacuations() []evacuation.State { return d.node.evacuations.register.States() }

// EvacuationChanges returns a counter that increases when they change.
func (d meshDelegate) EvacuationChanges() uint64 { return d.node.evacuations.register.Changes() }

// HandleEvacuations applies the evacuations that another host knows.
func (d meshDelegate) HandleEvacuations(host string, states []evacuation.State) {
	d.node.evacuations.merge(states, host)
}

// StoreEra returns the highest known era of the store.
func (d meshDelegate) StoreEra() uint64 { return d.node.eras.Number() }

// HandleStoreEra handles the era of the store that another host knows.
func (d meshDelegate) HandleStoreEra(host string, number uint64) { d.node.eras.Observe(number, host) }

// Demand returns the recent requests per second by client account.
func (d meshDelegate) Demand() map[string]float64 { return d.node.quota.Demand() }

// HandleKnownHosts marks the fleet as known, after another node has sent its list of hosts.
func (d meshDelegate) HandleKnownHosts() { d.node.fleetKnown.Store(true) }

// HandleOwnRecord handles a record of this host that another host holds.
func (d meshDelegate) HandleOwnRecord(h fleet.Host) { d.node.mergeOwnRecord(h) }

// Report returns the demand of root requests on this host.
func (d meshDelegate) Report() admission.HostReport { return d.node.planner.Report() }

// HandleReport records the demand report of another host.
func (d meshDelegate) HandleReport(host string, r admission.HostReport) {
	if h, ok := d.node.directory.Host(host); ok && d.node.evacuations.register.Evacuated(h.Zone) {
		r.Slots, r.Waiting = 0, 0
	}
	d.node.planner.RecordReport(host, r)
}

// Lend takes one request from this host's share of a client account's rate on behalf
// of another host.
func (d meshDelegate) Lend(l mesh.Loan) mesh.LoanReply {
	account, ok := d.account(l.Account)
	if !ok {
		return mesh.LoanReply{}
	}
	loan := d.node.quota.Lend(d.node.clock.Now(), account, l.Rank)
	return mesh.LoanReply{Granted: loan.Granted, Low: loan.Low, RetryAfter: loan.RetryAfter}
}

// HandleReturned puts one request back into this host's share of an account's rate.
func (d meshDelegate) HandleReturned(account string) {
	if a, ok := d.account(account); ok {
		d.node.quota.Return(d.node.clock.Now(), a)
	}
}

// account returns a client account of the active configuration.
func (d meshDelegate) account(name string) (traffic.Account, bool) {
	snapshot := d.node.configuration.Snapshot()
	if snapshot == nil {
		return traffic.Account{}, false
	}
	return snapshot.Account(name)
}

// RateStatements returns what this host states about its parts of the rates.
func (d meshDelegate) RateStatements() quota.Statements { return d.node.quota.State() }

// HandleDemand records the demand per client account at another host, and what it states about
// its parts of the rates.
func (d meshDelegate) HandleDemand(host string, demand map[string]float64, s quota.Statements) {
	d.node.quota.RecordDemand(host, demand, s)
}
