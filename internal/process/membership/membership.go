// Package membership runs package member over the peer endpoint's datagrams and
// tells the other parts of the node which nodes are up. It announces the node to
// the table service once per incarnation; while the table can't be reached, the
// seeds of the settings suffice.
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
	// datagramLimit bounds a received datagram in bytes.
	datagramLimit = 2048
	// outputLimit bounds the outputs that wait to be sent; beyond it the oldest
	// are dropped, as lost datagrams are.
	outputLimit = 4096
	// rejectPeriod is the least time between two log lines of rejected messages.
	rejectPeriod = 10 * time.Second
	// loops is the number of workers that Run needs.
	loops = 4
)

// A Transport sends and receives datagrams between nodes. It may lose them.
type Transport interface {
	SendDatagram(address string, packet []byte) error
	ReceiveDatagram(ctx context.Context, buffer []byte) (int, error)
}

// A Membership is the node's part in the group. It is safe for concurrent use.
//
// Lock order: mu, then nothing. Subscribers and the transport are called without
// it, by one worker and in the sequence of the group's outputs.
type Membership struct {
	transport Transport
	keys      seal.Keys
	table     Table
	clock     clock.Clock
	log       event.Log
	ready     chan struct{}

	// mu guards the fields below.
	mu          sync.Mutex
	group       *member.Group
	outputs     []member.Output
	subscribers map[string][]func(key string, payload []byte)
	// announced is the incarnation that the table holds.
	announced   uint64
	unreachable map[string]bool
	// entries is what All returned last, of the generation below.
	entries    []member.DirectoryEntry
	generation uint64
	// rejected is when a rejected message was last logged.
	rejected time.Time
}

// Self says who the node is.
type Self struct {
	// Host is the unique name of the host; Zone its availability zone.
	Host, Zone string
	// Address is the node's peer address.
	Address string
}

// Parts are what a Membership needs.
type Parts struct {
	Transport Transport
	Keys      seal.Keys
	// Table announces the node; nil leaves that out.
	Table Table
	Clock clock.Clock
	Log   event.Log
	// Seeds are peer addresses to start from.
	Seeds []string
}

// New returns the membership of a node that starts now.
func New(self Self, p Parts, options ...member.Option) *Membership {
	now := p.Clock.Now()
	own := member.Member{Host: self.Host, Address: self.Address, Incarnation: uint64(now.UnixMilli())}
	random := rand.New(rand.NewSource(now.UnixNano()))
	return &Membership{
		transport:   p.Transport,
		keys:        p.Keys,
		table:       p.Table,
		clock:       p.Clock,
		log:         p.Log,
		ready:       make(chan struct{}, 1),
		group:       member.New(self.Zone, own, p.Seeds, now, random, options...),
		subscribers: make(map[string][]func(key string, payload []byte)),
		unreachable: make(map[string]bool),
	}
}

// Run takes part in the group until the context ends. It may be called again
// later: the time between counts as one in which the process stood still.
func (m *Membership) Run(ctx context.Context) {
	pool := pond.NewPool(loops)
	defer pool.StopAndWait()
	pool.Submit(func() { m.tick(ctx) })
	pool.Submit(func() { m.receive(ctx) })
	pool.Submit(func() { m.dispatch(ctx) })
	pool.Submit(func() { m.announce(ctx) })
}

// step lets the group take one step at the present time and queues its output.
func (m *Membership) step(take func(g *member.Group, now time.Time) member.Output) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := take(m.group, m.clock.Now())
	if len(out.Messages)+len(out.Changes)+len(out.Rumours) == 0 && out.Frozen == 0 {
		return
	}
	if len(m.outputs) == outputLimit {
		m.outputs = m.outputs[1:]
	}
	m.outputs = append(m.outputs, out)
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// tick drives the group's timers.
func (m *Membership) tick(ctx context.Context) {
	ticker := time.NewTicker(member.TickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.step((*member.Group).Tick)
			m.watchZones()
		case <-ctx.Done():
			return
		}
	}
}

// receive hands authentic messages to the group.
func (m *Membership) receive(ctx context.Context) {
	buffer := make([]byte, datagramLimit)
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
			m.reject(err)
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
	message, err := member.Decode(encoded, datagramLimit)
	if err != nil {
		return member.Message{}, fmt.Errorf("read message: %w", err)
	}
	return message, nil
}

// dispatch sends messages, logs changes and calls subscribers.
func (m *Membership) dispatch(ctx context.Context) {
	for {
		select {
		case <-m.ready:
		case <-ctx.Done():
			m.flush()
			return
		}
		m.flush()
	}
}

// flush deals with all queued outputs.
func (m *Membership) flush() {
	m.mu.Lock()
	outputs := m.outputs
	m.outputs = nil
	m.mu.Unlock()
	for _, out := range outputs {
		for _, s := range out.Messages {
			m.send(s)
		}
		m.report(out)
		for _, r := range out.Rumours {
			m.deliver(r)
		}
	}
}

// send seals and sends one message; failures count as loss.
func (m *Membership) send(s member.OutgoingMessage) {
	encoded, err := member.Encode(s.Message)
	if err != nil {
		m.reject(err)
		return
	}
	// An address that can't be reached is found by the failure detector.
	_ = m.transport.SendDatagram(s.Address, m.keys.Seal(encoded))
}

// reject logs a message that can't be used, but not each of many.
func (m *Membership) reject(err error) {
	now := m.clock.Now()
	m.mu.Lock()
	due := now.Sub(m.rejected) >= rejectPeriod
	if due {
		m.rejected = now
	}
	m.mu.Unlock()
	if due {
		m.log.Emit(event.MessageRejected, log.Fields{"error": err.Error()})
	}
}

// deliver calls the subscribers of a rumour's topic.
func (m *Membership) deliver(r member.Rumour) {
	m.mu.Lock()
	subscribers := m.subscribers[r.Topic]
	m.mu.Unlock()
	for _, s := range subscribers {
		s(r.Key, r.Payload)
	}
}

// Publish spreads a small value to every node of every zone, this one included.
// It replaces the earlier value of the topic and key. A value that can't be spread
// is a fault of the caller's and logged.
func (m *Membership) Publish(topic, key string, payload []byte) {
	if err := m.PublishRumour(member.Rumour{Topic: topic, Key: key, Payload: payload}, 0); err != nil {
		m.reject(err)
	}
}

// PublishRumour spreads a rumour with a version of the caller's, which ends after
// the lifetime; a version of zero takes the next, a lifetime of zero is for ever.
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

// Subscribe calls a function for each new value of a topic, and for those that the
// node holds already. It must not block, and may be told of a value twice.
func (m *Membership) Subscribe(topic string, told func(key string, payload []byte)) {
	m.mu.Lock()
	m.subscribers[topic] = append(m.subscribers[topic], told)
	m.mu.Unlock()
	m.step(func(g *member.Group, now time.Time) member.Output {
		return member.Output{Rumours: g.Rumours(topic, now)}
	})
}

// Advertise changes what the host offers; an empty service is none. A host that drains
// leaves every directory until it offers again.
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

// Leave announces the end of the process. Run must still be active to send it.
func (m *Membership) Leave() { m.step((*member.Group).Leave) }
