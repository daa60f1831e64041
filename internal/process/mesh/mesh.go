// Package mesh maintains the connections between nodes. It dials the hosts in the
// fleet directory, sends orders and loan requests to them, and exchanges notices,
// which propagate changes even while the platform's store is unavailable.
//
// In a small fleet each node sends its load report to all others. In a large one it sends
// it to the carriers of its availability zone, which exchange summaries (package
// zoneload), so that a node's messages at rest don't grow with the fleet.
package mesh

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/connection/trunk"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/evacuation"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/process/zoneload"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
	"github.com/bilberryvane/bilberryvane/quarantine"
)

const (
	// checkInterval is the time between two checks of the trunks, and for hosts without
	// one.
	checkInterval = 100 * time.Millisecond
	// minTriggerInterval is the least time between two notices that changes trigger.
	minTriggerInterval = 20 * time.Millisecond
)

// errEmptyRequest reports a request without a known operation, which a node of a
// newer version may send.
var errEmptyRequest = errors.New("the request holds neither an order nor a loan")

// A Delegate provides the state that a mesh sends to other nodes, besides its
// host record, and handles the state that they send.
type Delegate interface {
	// ConfigurationVersion returns the version of the configuration in force.
	ConfigurationVersion() uint64
	// Configuration returns that configuration as the operator wrote it, with its version.
	Configuration() (version uint64, content []byte)
	// ApplyConfiguration applies a configuration received from the node of a host.
	ApplyConfiguration(host string, version uint64, content []byte)
	// StoreEra returns the highest known era of the store, or zero if none is known.
	StoreEra() uint64
	// HandleStoreEra handles the era that another host knows.
	HandleStoreEra(host string, era uint64)
	// Demand returns the recent requests per second by client account.
	Demand() map[string]float64
	// RateStatements returns what this host states about its parts of the rates.
	RateStatements() quota.Statements
	// HandleDemand records the demand at another host and what it states about its parts.
	HandleDemand(host string, demand map[string]float64, s quota.Statements)
	// HandleKnownHosts is called after another node has sent the records of all hosts
	// in its directory.
	HandleKnownHosts()
	// HandleOwnRecord handles a record of this host that another host holds. It may be
	// from an earlier process.
	HandleOwnRecord(h fleet.Host)
	// Lend takes one request from this host's share of a client account's rate for
	// another host, if enough is left.
	Lend(l Loan) LoanReply
	// HandleReturned puts one request back into this host's share of an account's rate.
	HandleReturned(account string)
	// Strikes returns the known strikes of requests that crash backend servers, and
	// HandleStrikes handles those that another host knows.
	Strikes() []quarantine.Rumour
	HandleStrikes(strikes []quarantine.Rumour)
	// Evacuations returns the availability zones that are or were evacuated, and
	// EvacuationChanges a counter that increases when they change.
	Evacuations() []evacuation.State
	EvacuationChanges() uint64
	// HandleEvacuations handles the zones that another host knows to be evacuated or taken
	// back.
	HandleEvacuations(host string, states []evacuation.State)
	// Report returns the load report of this host.
	Report() admission.HostReport
	// HandleReport records the load report of another host.
	HandleReport(host string, r admission.HostReport)
}

// An OrderExecutor runs the orders of other nodes.
type OrderExecutor interface {
	Execute(ctx context.Context, o relay.Order) exchange.Answer
}

// A Mesh holds a node's connections to the other nodes. It is safe for concurrent use.
type Mesh struct {
	own       func() fleet.Host
	directory *fleet.Directory
	delegate  Delegate
	executor  OrderExecutor
	loads     *zoneload.Collector
	clock     clock.Clock
	log       event.Log
	listener  net.Listener
	wake      chan struct{}
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	// schedule is accessed only by Run.
	schedule schedule

	// mu guards the fields below.
	mu      sync.Mutex
	closed  bool
	links   map[*link]struct{}
	byHost  map[string]*link
	dials   map[string]*dialState
	changes uint64
	// askedHosts is set once a node was asked for the records of all hosts.
	askedHosts bool
	// checkedAt is when the store was last known to hold no newer configuration, zero if
	// never. checkedHere is set until a check of this node is announced.
	checkedAt   time.Time
	checkedHere bool
	// checkedEra is the store's era at checkedAt.
	checkedEra uint64
	// strikes are to be sent to the hosts of the own service.
	strikes []quarantine.Rumour
	// fetching is set while a configuration is fetched from another node.
	fetching bool
}

// Deps are the dependencies of a Mesh. All fields are required.
type Deps struct {
	// Own returns the node's own record.
	Own       func() fleet.Host
	Directory *fleet.Directory
	Delegate  Delegate
	Executor  OrderExecutor
	Loads     *zoneload.Collector
	Clock     clock.Clock
	Log       event.Log
}

// Listen listens for other nodes on a TCP address and accepts connections. The
// caller starts Run.
func Listen(address string, p Deps) (*Mesh, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for other nodes on %s: %w", address, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Mesh{
		own: p.Own, directory: p.Directory, delegate: p.Delegate, executor: p.Executor, loads: p.Loads, clock: p.Clock, log: p.Log,
		listener: listener, wake: make(chan struct{}, 1), ctx: ctx, cancel: cancel,
		schedule: schedule{silentZones: make(map[string]time.Time)},
		links:    make(map[*link]struct{}), byHost: make(map[string]*link), dials: make(map[string]*dialState),
	}
	m.tasks.Go(m.accept)
	return m, nil
}

// Address returns the address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Run dials hosts, checks the trunks and sends notices until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.checkLinks()
			m.dialUnconnected(ctx)
			m.exchange()
		case <-m.wake:
			m.exchange()
			time.Sleep(minTriggerInterval)
		}
	}
}

// TriggerNotices makes Run announce a change of the own record or of the configuration
// without waiting for the interval. It does not block.
func (m *Mesh) TriggerNotices() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Replying returns the number of nodes that wait for a reply of this one.
func (m *Mesh) Replying() int {
	replying := 0
	for _, l := range m.openLinks() {
		if l.trunk.Replying() {
			replying++
		}
	}
	return replying
}

// Close closes the listener and all trunks, and waits for their goroutines. Nodes that
// respond receive what was written to them.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.cancel()
	m.listener.Close()
	m.mu.Unlock()
	for _, l := range m.openLinks() {
		l.trunk.CloseWrite()
	}
	ended := make(chan struct{})
	go func() {
		m.tasks.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return
	case <-time.After(closeTimeout):
	}
	for _, l := range m.openLinks() {
		l.trunk.Close()
	}
	<-ended
}

func (m *Mesh) openLinks() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.links))
}

// Connected reports whether there is a trunk to a host that responds.
func (m *Mesh) Connected(host string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.byHost[host]
	return l != nil && !l.silent
}

// Changes returns a counter that increases when a host is connected or
// disconnected, so that callers can detect a change.
func (m *Mesh) Changes() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes
}

// RoundTrips returns the median round trip to the hosts of each availability zone, by zone. Zones
// without a host that has answered a probe are missing.
func (m *Mesh) RoundTrips() map[string]time.Duration {
	m.mu.Lock()
	links := maps.Clone(m.byHost)
	m.mu.Unlock()
	all := make(map[string][]time.Duration)
	for host, l := range links {
		if d, ok := l.trunk.RoundTrip(); ok {
			zone := m.zoneOf(host)
			all[zone] = append(all[zone], d)
		}
	}
	medians := make(map[string]time.Duration, len(all))
	for zone, times := range all {
		slices.Sort(times)
		medians[zone] = times[len(times)/2]
	}
	return medians
}

// Covered reports whether other hosts of the zone watch the store for this one: the carriers
// of a large fleet.
func (m *Mesh) Covered() bool { return m.largeFleet() && !m.isCarrier() }

// isCarrier reports whether this host should carry the summary of its zone.
func (m *Mesh) isCarrier() bool {
	own := m.own()
	return slices.Contains(zoneload.Carriers(own.Zone, append(m.reachableByZone()[own.Zone], own.Name)), own.Name)
}

// Send sends an order to a host and returns its answer. An order that must not run twice
// is sent only once the host is known to respond. It implements relay.Transport.
func (m *Mesh) Send(ctx context.Context, host string, o relay.Order) (exchange.Answer, error) {
	var answer exchange.Answer
	once := !o.Context.Idempotent
	if err := m.roundTrip(ctx, host, request{Order: &o}, &answer, once); err != nil {
		return exchange.Answer{}, fmt.Errorf("order to host %s: %w", host, err)
	}
	return answer, nil
}

// Borrow asks a host for one request of its share of a client account's rate. After
// an error it is unknown whether the host granted the loan.
func (m *Mesh) Borrow(ctx context.Context, host string, l Loan) (LoanReply, error) {
	var reply LoanReply
	if err := m.roundTrip(ctx, host, request{Loan: &l}, &reply, false); err != nil {
		return LoanReply{}, fmt.Errorf("request loan from host %s: %w", host, err)
	}
	return reply, nil
}

// GiveBack returns to a host one request of a client account's rate that it granted. If
// the host can't be reached, the request is lost to the account.
func (m *Mesh) GiveBack(host, account string) {
	m.mu.Lock()
	l := m.byHost[host]
	m.mu.Unlock()
	if l != nil {
		// A trunk that fails to send closes itself, which is logged.
		_ = l.trunk.Notify(Notice{Protocol: ProtocolVersion, Host: fleet.Host{Name: m.own().Name}, Returned: []string{account}})
	}
}

// Hosts returns the hosts to which there is a trunk, in no particular order.
func (m *Mesh) Hosts() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	hosts := slices.Collect(maps.Keys(m.byHost))
	return slices.DeleteFunc(hosts, func(h string) bool { return m.byHost[h].silent })
}

// roundTrip sends a request to a host and reads its reply. once states that the request
// must not be sent to another host unless this one can't have received it.
func (m *Mesh) roundTrip(ctx context.Context, host string, r request, reply any, once bool) error {
	m.mu.Lock()
	l := m.byHost[host]
	m.mu.Unlock()
	if l == nil {
		return fmt.Errorf("no connection: %w", trunk.ErrNotSent)
	}
	if once {
		if err := l.trunk.Confirm(ctx); err != nil {
			return fmt.Errorf("confirm that the host responds: %w", err)
		}
	}
	return l.call(ctx, r, reply, !once)
}
