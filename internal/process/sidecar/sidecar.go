// Package sidecar assembles a node on the users' platform and manages it from start
// to shutdown. It uses the same algorithms as package node: admission, routing, retry
// and rate. The differences are in the environment: hosts discover each other through
// the platform's store, each attempt of a caller has its own id, and package platform
// translates the names on the wire.
package sidecar

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/connection/ingress"
	"github.com/bilberryvane/bilberryvane/internal/process/admitter"
	"github.com/bilberryvane/bilberryvane/internal/process/backendserver"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/demand"
	"github.com/bilberryvane/bilberryvane/internal/process/era"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/process/lifetime"
	"github.com/bilberryvane/bilberryvane/internal/process/mesh"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/process/retrybudget"
	"github.com/bilberryvane/bilberryvane/internal/process/suspects"
	"github.com/bilberryvane/bilberryvane/internal/process/zoneload"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

const (
	// maintenanceInterval is the time between two checks of the backend server and of
	// the split of the rates.
	maintenanceInterval = 100 * time.Millisecond
	// sampleInterval is the time between two samples of demand.
	sampleInterval = 200 * time.Millisecond
	// hostsPollInterval is the time between two reads of the hosts table. It can be
	// long, because a starting node finds the other hosts in the table and notifies
	// all of them.
	hostsPollInterval = 20 * time.Second
	// strikeLimit is the number of backend servers that a request may crash before it is
	// held back. It is the number that the users' platform allows.
	strikeLimit = 3
	// maxSentStrikes bounds the strikes that are sent to a node that has restarted.
	maxSentStrikes = 512
	// maxBackendConnections limits the connections to the backend server. It is above
	// the slot counts of the backend servers that the node is designed for.
	maxBackendConnections = 512
)

// Endpoints provides a deployment's handlers for the readiness and announcements
// addresses.
type Endpoints interface {
	// Readiness returns the handler that reports whether the node accepts new requests.
	Readiness(ready func() bool) ingress.Handler
	// Announcements returns the handler that passes the backend server's announcements
	// to a.
	Announcements(a Announcer) ingress.Handler
}

// Deps are the dependencies of a node besides its settings. All are required.
type Deps struct {
	Store     Store
	Dialect   relay.Dialect
	Endpoints Endpoints
	Decode    Decoder
	// ConfigurationTable and ConfigurationKey identify the row of the configuration.
	ConfigurationTable, ConfigurationKey string
	// EvacuatedZone returns the availability zone that the row with a key of that table
	// evacuates, and false if the key is that of another row.
	EvacuatedZone func(key string) (zone string, ok bool)
	Clock         clock.Clock
	Log           event.Log
}

// A Node is a running node. Start creates it; Shutdown stops it and waits.
type Node struct {
	settings      Settings
	deps          Deps
	clock         clock.Clock
	log           event.Log
	directory     *fleet.Directory
	record        *hostRecord
	configuration *configuration
	// configurations watches the table of the configuration.
	configurations *watcher
	eras           *era.Tracker
	roster         *fleet.Roster
	quota          *quota.Quota
	planner        *demand.Planner
	evacuations    *evacuations
	backend        *backendserver.Server
	admission      *admitter.Admitter
	suspects       *suspects.Filter
	counters       *counters
	zonePlan       *zonePlan
	// entryGate and executionGate decide which requests of callers, and which orders, a
	// leaving node accepts.
	entryGate, executionGate *lifetime.Gate
	loads                    *zoneload.Collector
	mesh                     *mesh.Mesh
	callers                  *ingress.Server
	readiness                *ingress.Server
	announcements            *ingress.Server
	metrics                  *ingress.Server
	leaving                  atomic.Bool
	// applying is held while the state of the backend server is read and applied, so that
	// an older state doesn't replace a newer one.
	applying sync.Mutex
	// fleetKnown is set once the store or another node has provided the list of hosts.
	fleetKnown atomic.Bool
	// grace is the grace period of the settings in nanoseconds; a reload can change it.
	grace  atomic.Int64
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start creates a node and starts serving.
func Start(s Settings, d Deps) (*Node, error) {
	n := &Node{
		settings: s, deps: d, clock: d.Clock, log: d.Log,
		directory: fleet.NewDirectory(), quota: quota.New(s.Name, s.Zone, s.FirstStart, s.RateTolerance, d.Clock),
		planner: demand.New(s.Name, s.Retries.usable(), d.Clock),
	}
	n.entryGate, n.executionGate = lifetime.NewGate(d.Clock), lifetime.NewGate(d.Clock)
	n.grace.Store(int64(s.Grace))
	n.configuration = &configuration{decode: d.Decode, log: d.Log, onChange: n.configurationChanged}
	n.eras, n.roster = era.NewTracker(n.restored, d.Log), fleet.NewRoster()
	n.configurations = &watcher{
		store: d.Store, table: d.ConfigurationTable, log: d.Log,
		onSnapshot: n.applySnapshot, onChange: n.applyChanges,
		fleetSize: n.directory.Size, eras: n.eras, superseded: make(chan struct{}),
		monitor: &storeMonitor{name: "configuration", log: d.Log},
	}
	n.record = &hostRecord{
		directory: n.directory, store: d.Store, log: d.Log, eras: n.eras, unregistered: true,
		wake: make(chan struct{}, 1), registered: make(chan struct{}, 1),
		monitor:       &storeMonitor{name: "record", log: d.Log},
		row:           hostRow{Host: fleet.Host{Name: s.Name, Zone: s.Zone, Address: s.Peers, Incarnation: d.Clock.Now().UnixMilli()}},
		storedChanged: make(chan struct{}), onConflict: func(r Row) { n.mergeOwnRow(r) },
	}
	n.zonePlan = newZonePlan(s.Zone, s.ZonePlan, d.Log)
	n.evacuations = newEvacuations(s.Zone, n.directory, d.Clock, d.Log, n.notifyPeers)
	n.loads = zoneload.New(s.Name, s.Zone, n.record.Host().Incarnation, d.Clock)
	n.backend = backendserver.New(backendserver.Settings{
		Address: s.Backend, Service: s.Service, Connections: maxBackendConnections, DrainTime: s.Drain, AnnounceInterval: s.AnnounceInterval,
		BoundedWhenCold: s.ColdTolerance.Excess > 0,
	}, d.Clock, d.Log, n.applyBackend)
	n.evacuations.onTakeBack = func() { n.backend.AssumeCold("its zone is taken back") }
	n.counters = newCounters(n.backend, n.configuration, n.evacuations, n.eras, n.zonePlan, n.planner)
	n.admission = admitter.New(s.Name, n.configuration, d.Clock, admission.WithFixedLimit())
	if err := n.listen(); err != nil {
		n.close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.run(ctx)
	n.record.update(func(*hostRow) {})
	n.log.Emit(event.NodeStarted, log.Fields{
		"host": s.Name, "zone": s.Zone, "service": s.Service, "incarnation": n.record.Host().Incarnation,
	})
	return n, nil
}

// listen opens the listeners, the one for callers last.
func (n *Node) listen() error {
	running := relay.NewRunningRequests()
	strikes := quarantine.NewList(n.settings.Name, uint64(n.record.Host().Incarnation),
		quarantine.WithStrikeLimit(strikeLimit), quarantine.WithConcurrentSuspects())
	n.suspects = suspects.NewFilter(n.settings.Name, strikes, strikePublisher{n}, n.clock, n.log)
	executor := relay.NewExecutor(relay.ExecutorDeps{
		Host: n.settings.Name, BackendServer: n.backend, Quarantine: n.suspects, Admission: n.admission, Lifetime: n.executionGate, Evacuation: n.evacuations.gate, Running: running, Usage: n.planner,
		Dialect: n.deps.Dialect, Clock: n.clock, Log: n.log,
	})
	var err error
	n.mesh, err = mesh.Listen(n.settings.Peers, mesh.Deps{
		Own: n.record.Host, Directory: n.directory, Delegate: meshDelegate{n}, Executor: executor, Loads: n.loads, Clock: n.clock, Log: n.log,
	})
	if err != nil {
		return fmt.Errorf("listen for nodes: %w", err)
	}
	n.counters.checkAge = n.mesh.StoreCheckAge
	budget := retrybudget.New(n.settings.Retries.usable(), n.directory.Size, n.planner, n.clock)
	n.counters.retries, n.counters.retryWindows = budget.Usage, budget.Windows
	sender := relay.NewSender(relay.SenderDeps{
		Host:   n.settings.Name,
		Router: newRouter(n.settings.Name, n.settings.Zone, n.directory, n.mesh, n.configuration.coldRate, n.zonePlan, n.clock),
		Budget: budget,
		Local:  executor, Transport: n.mesh, Promises: n.deps.Dialect, Clock: n.clock, Log: n.log,
	})
	entry := relay.NewEntry(relay.EntryDeps{
		Host: n.settings.Name, Service: n.settings.Service, Configuration: n.configuration, RateLimiter: NewRateLimiter(n.settings.Name, n.quota, stayingHosts{n.mesh, n.directory}, n.clock), RootAdmitter: n.planner, Lifetime: n.entryGate,
		Sender: sender, Running: running, Dialect: n.deps.Dialect, Clock: n.clock, Log: n.log, Counter: n.counters,
	})
	for _, l := range []struct {
		server  **ingress.Server
		address string
		handler ingress.Handler
	}{
		{&n.announcements, n.settings.Announcements, n.deps.Endpoints.Announcements(announcer{n})},
		{&n.readiness, n.settings.Readiness, n.deps.Endpoints.Readiness(n.ready)},
		{&n.metrics, n.settings.Metrics, n.counters},
		{&n.callers, n.settings.Callers, entry},
	} {
		if l.address == "" {
			continue
		}
		if *l.server, err = ingress.Listen(l.address, l.handler, n.limits, ingress.WithMaxHeldBytes(n.settings.maxHeldBodyBytes())); err != nil {
			return fmt.Errorf("open listener: %w", err)
		}
	}
	return nil
}

// run starts the node's background tasks.
func (n *Node) run(ctx context.Context) {
	hosts := &poller{
		store: n.deps.Store, table: hostsTable, interval: hostsPollInterval, refresh: n.record.registered,
		covered: n.mesh.Covered, onSnapshot: n.syncHosts, eras: n.eras, monitor: &storeMonitor{name: "hosts", log: n.log},
	}
	n.configurations.checks = n.mesh
	n.tasks.Go(func() { n.mesh.Run(ctx) })
	n.tasks.Go(func() { hosts.run(ctx) })
	n.tasks.Go(func() { n.configurations.run(ctx) })
	n.tasks.Go(func() { n.configurations.runChecks(ctx) })
	n.tasks.Go(func() { n.record.run(ctx) })
	n.tasks.Go(func() { n.maintain(ctx) })
}

// applySnapshot applies all rows of the table of the configuration. Evacuations come first, so
// that a node that starts knows them before it serves.
func (n *Node) applySnapshot(rows Rows) bool {
	n.evacuations.applySnapshot(rows, n.deps.EvacuatedZone)
	return n.applyConfiguration(rows.Rows)
}

// applyChanges applies changed rows of that table.
func (n *Node) applyChanges(rows Rows) bool {
	n.evacuations.applyChanges(rows, n.deps.EvacuatedZone)
	return n.applyConfiguration(rows.Rows)
}

// restored writes and reads again what the store held in its earlier era.
func (n *Node) restored() {
	n.record.restored()
	n.configurations.restored()
	n.notifyPeers()
}

// applyConfiguration applies the configuration if rows contain its row, and reports whether
// the last one in them is valid.
func (n *Node) applyConfiguration(rows []Row) bool {
	valid := true
	for _, row := range rows {
		if row.Key == n.deps.ConfigurationKey && !row.Removed {
			valid = n.configuration.adopt(row.Value, "store")
		}
	}
	return valid
}

// maintain periodically checks the backend server and the evacuations, splits the rates and
// samples demand until ctx is done.
func (n *Node) maintain(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	var sampled time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.backend.CheckAnnouncements()
		n.splitRates()
		if n.evacuations.takeBackDue(n.mesh.Covered) {
			n.configurations.readAgain()
		}
		if now := n.clock.Now(); now.Sub(sampled) >= sampleInterval {
			sampled = now
			n.sampleDemand()
		}
	}
}

// Peer returns the record of a host.
func (n *Node) Peer(host string) (fleet.Host, bool) { return n.directory.Host(host) }

// splitRates splits the account rates among the hosts. It does nothing until the fleet
// is known.
func (n *Node) splitRates() {
	if !n.fleetKnown.Load() {
		return
	}
	var others []quota.Member
	for _, h := range n.directory.Hosts() {
		if !h.Leaving && h.Name != n.settings.Name {
			others = append(others, quota.Member{Host: h.Name, Zone: h.Zone, Reachable: n.mesh.Connected(h.Name)})
		}
	}
	n.quota.Rebalance(others, n.record.Host().Leaving)
}

// sampleDemand records the slots of the backend server and the waiting requests. The
// backend server counts as having no slots while it doesn't serve or its zone is evacuated,
// and no more than it needs for its request limit, or for what it may get while it is cold.
func (n *Node) sampleDemand() {
	b := n.backend.Backend()
	slots := 0.0
	if b.ID != "" && b.State == fleet.Serving {
		slots = float64(b.Slots)
	}
	if n.evacuations.gate.Evacuated() {
		slots = 0
	}
	if status := n.backend.Status(); status.Limited {
		slots = min(slots, n.planner.SlotsForRate(status.RequestLimit))
	}
	if limit, ok := n.coldLimit(b); ok {
		slots = min(slots, n.planner.ColdSlots(b.Service, limit.PerSecond))
	}
	if summaries := n.loads.Summaries(); len(summaries) > 0 {
		for i, s := range summaries {
			if n.evacuations.register.Evacuated(s.Zone) {
				summaries[i].Load = s.Load.WithoutSlots()
			}
		}
		n.planner.UseSummaries(n.settings.Zone, summaries)
		n.zonePlan.update(summaries, n.takesRequests, n.mesh.RoundTrips, n.planner.AdmittedShare)
	} else {
		n.planner.UseReports()
		n.zonePlan.update(nil, n.takesRequests, n.mesh.RoundTrips, n.planner.AdmittedShare)
	}
	n.planner.Sample(b.Service, slots, n.admission.Waiting())
}

// takesRequests reports whether an availability zone isn't evacuated.
func (n *Node) takesRequests(zone string) bool { return !n.evacuations.register.Evacuated(zone) }

// ready reports whether the node accepts new requests: it has a configuration and is
// not leaving.
func (n *Node) ready() bool { return !n.leaving.Load() && n.configuration.Snapshot() != nil }

// defaultLimits apply until a configuration is received.
var defaultLimits = ingress.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
}

func (n *Node) limits() ingress.Limits {
	s := n.configuration.Snapshot()
	if s == nil {
		return defaultLimits
	}
	l := s.Limits()
	return ingress.Limits{
		HeaderBytes: l.MaxHeaderBytes, BodyBytes: l.MaxBodyBytes,
		HeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	}
}

// applyBackend applies the state of the backend server to the admission of requests, and
// publishes it if the announced part has changed.
func (n *Node) applyBackend() {
	n.applying.Lock()
	defer n.applying.Unlock()
	b, departures, status := n.backend.Backend(), n.backend.Departures(), n.backend.Status()
	capacity := admission.Capacity{
		Slots: b.Slots, Connections: maxBackendConnections, Limited: status.Limited, RequestsPerSecond: status.RequestLimit,
	}
	if limit, ok := n.coldLimit(b); ok {
		capacity = capacity.WithColdLimit(limit)
	}
	n.admission.SetCapacity(capacity)
	if row := n.record.current(); b == row.Backend && slices.Equal(departures, row.Departures) {
		return
	}
	n.record.update(func(r *hostRow) { r.Backend, r.Departures = b, departures })
	n.notifyPeers()
}

// coldLimit returns what the backend server may get, and whether it is bounded because it is
// cold. Until the node has a configuration, its rate counts as zero.
func (n *Node) coldLimit(b fleet.Backend) (admission.ColdLimit, bool) {
	if !b.Cold {
		return admission.ColdLimit{}, false
	}
	rate, tolerance := n.configuration.coldRate(b.Service), n.settings.ColdTolerance
	bounded := rate > 0 || n.configuration.Version() == 0
	return admission.ColdLimit{PerSecond: rate, Excess: tolerance.Excess, Slack: tolerance.Slack}, bounded
}

// configurationChanged applies a new configuration to the backend server, and schedules a
// notice to the other nodes.
func (n *Node) configurationChanged() {
	n.applyBackend()
	n.notifyPeers()
}

// notifyPeers schedules a notice to the other nodes.
func (n *Node) notifyPeers() {
	if n.mesh != nil {
		n.mesh.TriggerNotices()
	}
}
