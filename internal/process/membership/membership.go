// Package membership runs the gossip protocol of package member over the datagrams of
// the peer endpoint and provides the set of live nodes. It announces the node in the
// table service once per incarnation. The table is not required to join: the seeds in
// the settings are sufficient while it is unreachable.
package membership

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/seal"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/member"
)

const (
	// maxDatagramBytes is the maximum size of a received datagram.
	maxDatagramBytes = 2048
	// maxQueuedOutputs is the capacity of the output queue. If it is full, the oldest
	// output is dropped, which has the same effect as lost datagrams.
	maxQueuedOutputs = 4096
	// rejectLogInterval is the minimum interval between log lines about rejected messages.
	rejectLogInterval = 10 * time.Second
	// workers is the number of goroutines that Run needs.
	workers = 4
)

// A Transport sends and receives datagrams between nodes. Delivery is not guaranteed.
type Transport interface {
	SendDatagram(address string, packet []byte) error
	ReceiveDatagram(ctx context.Context, buffer []byte) (int, error)
}

// A Membership is the local node's membership in the group. It is safe for concurrent
// use.
//
// No other lock is acquired while mu is held. Subscribers and the transport are called
// without it, by a single goroutine and in the order of the group's outputs.
type Membership struct {
	transport   Transport
	keys        seal.Keys
	table       Table
	clock       clock.Clock
	log         event.Log
	outputReady chan struct{}

	// mu guards the fields below.
	mu          sync.Mutex
	group       *member.Group
	outputs     []member.Output
	subscribers map[string][]func(key string, payload []byte)
	// announced is the incarnation last written to the table.
	announced        uint64
	unreachableZones map[string]bool
	// entries is the cached result of All for the generation below.
	entries    []member.DirectoryEntry
	generation uint64
	// rejectLoggedAt is when a rejected message was last logged.
	rejectLoggedAt time.Time
}

// Self identifies the local node.
type Self struct {
	// Host is the unique name of the host. Zone is its availability zone.
	Host, Zone string
	// Address is the node's peer address.
	Address string
}

// Deps are the dependencies of a Membership.
type Deps struct {
	Transport Transport
	Keys      seal.Keys
	// Table stores the node's announcement. If it is nil, the node is not announced.
	Table Table
	Clock clock.Clock
	Log   event.Log
	// Seeds are the peer addresses that the node contacts first.
	Seeds []string
}

// New returns the membership of a node that starts now. The start time in Unix
// milliseconds is its incarnation.
func New(self Self, d Deps, options ...member.Option) *Membership {
	now := d.Clock.Now()
	own := member.Member{Host: self.Host, Address: self.Address, Incarnation: uint64(now.UnixMilli())}
	random := rand.New(rand.NewSource(now.UnixNano()))
	return &Membership{
		transport:        d.Transport,
		keys:             d.Keys,
		table:            d.Table,
		clock:            d.Clock,
		log:              d.Log,
		outputReady:      make(chan struct{}, 1),
		group:            member.New(self.Zone, own, d.Seeds, now, random, options...),
		subscribers:      make(map[string][]func(key string, payload []byte)),
		unreachableZones: make(map[string]bool),
	}
}

// Run executes the protocol until the context ends. It may be called again later; the
// time between the calls is treated as a pause of the process.
func (m *Membership) Run(ctx context.Context) {
	pool := pond.NewPool(workers)
	defer pool.StopAndWait()
	pool.Submit(func() { m.tick(ctx) })
	pool.Submit(func() { m.receive(ctx) })
	pool.Submit(func() { m.dispatch(ctx) })
	pool.Submit(func() { m.announce(ctx) })
}

// step applies one operation to the group at the current time and queues its output.
func (m *Membership) step(apply func(g *member.Group, now time.Time) member.Output) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := apply(m.group, m.clock.Now())
	if len(out.Messages)+len(out.Changes)+len(out.Rumours) == 0 && out.Frozen == 0 {
		return
	}
	if len(m.outputs) == maxQueuedOutputs {
		m.outputs = m.outputs[1:]
	}
	m.outputs = append(m.outputs, out)
	select {
	case m.outputReady <- struct{}{}:
	default:
	}
}

// tick runs the timers of the group.
func (m *Membership) tick(ctx context.Context) {
	ticker := time.NewTicker(member.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.step((*member.Group).Tick)
			m.logZoneChanges()
		case <-ctx.Done():
			return
		}
	}
}

// receive passes authenticated messages to the group.
func (m *Membership) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, err := m.transport.ReceiveDatagram(ctx, buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.log.Emit(event.MembershipEnded, log.Fields{"error": err.Error()})
			}
			return
		}
		message, err := m.open(buffer[:n])
		if err != nil {
			m.logRejected(err)
			continue
		}
		m.step(func(g *member.Group, now time.Time) member.Output { return g.Receive(message, now) })
	}
}

// open authenticates and decodes a datagram.
func (m *Membership) open(packet []byte) (member.Message, error) {
	encoded, err := m.keys.Open(packet)
	if err != nil {
		return member.Message{}, fmt.Errorf("open message: %w", err)
	}
	message, err := member.Decode(encoded, maxDatagramBytes)
	if err != nil {
		return member.Message{}, fmt.Errorf("decode message: %w", err)
	}
	return message, nil
}

// dispatch flushes queued outputs until the context ends.
func (m *Membership) dispatch(ctx context.Context) {
	for {
		select {
		case <-m.outputReady:
		case <-ctx.Done():
			m.flush()
			return
		}
		m.flush()
	}
}

// flush sends the messages of all queued outputs, logs their changes and calls the
// subscribers.
func (m *Membership) flush() {
	m.mu.Lock()
	outputs := m.outputs
	m.outputs = nil
	m.mu.Unlock()
	for _, out := range outputs {
		for _, s := range out.Messages {
			m.send(s)
		}
		m.logChanges(out)
		for _, r := range out.Rumours {
			m.deliver(r)
		}
	}
}

// send seals and sends one message. A failed send is treated as a lost datagram.
func (m *Membership) send(s member.OutgoingMessage) {
	encoded, err := member.Encode(s.Message)
	if err != nil {
		m.logRejected(err)
		return
	}
	// The failure detector detects unreachable addresses.
	_ = m.transport.SendDatagram(s.Address, m.keys.Seal(encoded))
}

// logRejected logs the error of a rejected message, at most once per rejectLogInterval.
func (m *Membership) logRejected(err error) {
	now := m.clock.Now()
	m.mu.Lock()
	due := now.Sub(m.rejectLoggedAt) >= rejectLogInterval
	if due {
		m.rejectLoggedAt = now
	}
	m.mu.Unlock()
	if due {
		m.log.Emit(event.MessageRejected, log.Fields{"error": err.Error()})
	}
}

// deliver calls the subscribers of the topic of a rumour.
func (m *Membership) deliver(r member.Rumour) {
	m.mu.Lock()
	subscribers := m.subscribers[r.Topic]
	m.mu.Unlock()
	for _, s := range subscribers {
		s(r.Key, r.Payload)
	}
}

// Publish distributes a small value to all nodes of all zones, including this one. It
// replaces the earlier value of the topic and key. An invalid value is an error of the
// caller and is logged.
func (m *Membership) Publish(topic, key string, payload []byte) {
	if err := m.PublishRumour(member.Rumour{Topic: topic, Key: key, Payload: payload}, 0); err != nil {
		m.logRejected(err)
	}
}

// PublishRumour distributes a rumour with the version set by the caller. The rumour
// expires after the lifetime. Version 0 selects the next version; lifetime 0 means that
// the rumour does not expire.
func (m *Membership) PublishRumour(r member.Rumour, lifetime time.Duration) error {
	var err error
	m.step(func(g *member.Group, now time.Time) (out member.Output) {
		out, err = g.Publish(r, lifetime, now)
		return out
	})
	if err != nil {
		return fmt.Errorf("publish %s: %w", r.Topic, err)
	}
	return nil
}

// Subscribe registers a callback for the values of a topic. It is called for each value
// that the node already has and for each new one, possibly more than once for the same
// value. It must not block.
func (m *Membership) Subscribe(topic string, callback func(key string, payload []byte)) {
	m.mu.Lock()
	m.subscribers[topic] = append(m.subscribers[topic], callback)
	m.mu.Unlock()
	m.step(func(g *member.Group, now time.Time) member.Output {
		return member.Output{Rumours: g.Rumours(topic, now)}
	})
}

// Advertise sets the service that the host offers; an empty name means none. A draining
// host is removed from all directories until it advertises a service again.
func (m *Membership) Advertise(service string, draining bool) {
	m.step(func(g *member.Group, now time.Time) member.Output {
		if draining {
			return g.Drain(now)
		}
		var services []string
		if service != "" {
			services = []string{service}
		}
		return g.SetServices(services, now)
	})
}

// Leave announces that the process is stopping. Run must still be active to send the
// message.
func (m *Membership) Leave() { m.step((*member.Group).Leave) }
