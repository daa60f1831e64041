// Package gossip runs membership groups of package member over a simulated network
// with a simulated clock. Tests use it to inject message loss, partitions, crashes and
// process pauses; the command trial-capacity uses it to count messages, bytes and CPU
// time.
package gossip

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/bilberryvane/bilberryvane/member"
)

// datagramOverhead is the size of the IP and UDP headers and of the authentication
// tag of a message, in bytes.
const datagramOverhead = 20 + 8 + 32

// Bounds of the one-way latency of a message.
const (
	minLatency = 200 * time.Microsecond
	maxLatency = 20 * time.Millisecond
)

// A Host is one node of the simulated network.
type Host struct {
	// Name is the host name and Zone the availability zone.
	Name, Zone string
	// Group is the membership state machine of the current process.
	Group *member.Group
	// SentBytes and ReceivedBytes count bytes, including datagramOverhead.
	SentBytes, ReceivedBytes int
	// SentMessages is the number of messages sent.
	SentMessages int
	// Changes and Rumours accumulate the output of the group.
	Changes []member.Change
	Rumours []member.Rumour

	address    string
	services   []string
	tickOffset time.Duration
	down       bool
	paused     bool
}

// Running reports whether the process of the host is neither stopped nor paused.
func (h *Host) Running() bool { return !h.down && !h.paused }

// A Network delivers messages between its hosts and advances their clock.
type Network struct {
	// Now is the simulated time.
	Now time.Time
	// Hosts are in the order in which they were first started.
	Hosts []*Host
	// LossRate is the fraction of messages lost, from 0 to 1.
	LossRate float64
	// Partitioned reports whether two hosts cannot reach each other; nil means never.
	Partitioned func(a, b *Host) bool
	// MaxMessageBytes is the size of the largest encoded message seen.
	MaxMessageBytes int

	random    *rand.Rand
	options   []member.Option
	byAddress map[string]*Host
	inFlight  deliveries
	sequence  int
}

// NewNetwork returns a network without hosts, with a seeded random source.
func NewNetwork(seed int64, options ...member.Option) *Network {
	return &Network{
		Now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:    rand.New(rand.NewSource(seed)),
		options:   options,
		byAddress: make(map[string]*Host),
	}
}

// Start adds a host and starts its process with the given seed addresses.
func (n *Network) Start(name, zone string, services []string, seeds ...string) *Host {
	h := &Host{Name: name, Zone: zone, address: AddressOf(name), services: services}
	h.tickOffset = time.Duration(n.random.Int63n(int64(member.TickPeriod)))
	n.Hosts = append(n.Hosts, h)
	n.byAddress[h.address] = h
	n.Restart(h, seeds...)
	return h
}

// AddressOf returns the address of a host.
func AddressOf(name string) string { return fmt.Sprintf("10.0.0.1:%s", name) }

// Restart starts a new process on the host, with the same address and no state.
func (n *Network) Restart(h *Host, seeds ...string) {
	self := member.Member{
		Host: h.Name, Address: h.address, Services: h.services,
		Incarnation: uint64(n.Now.UnixMilli()),
	}
	random := rand.New(rand.NewSource(n.random.Int63()))
	h.Group = member.New(h.Zone, self, seeds, n.Now, random, n.options...)
	h.down = false
	h.paused = false
}

// Kill stops the process of the host without an announcement.
func (n *Network) Kill(h *Host) { h.down = true }

// Pause pauses the process of the host; messages to it are lost in the meantime.
func (n *Network) Pause(h *Host) { h.paused = true }

// Resume resumes the process of the host.
func (n *Network) Resume(h *Host) { h.paused = false }

// Drain makes a host announce that it accepts no new work.
func (n *Network) Drain(h *Host) { n.collect(h, h.Group.Drain(n.Now)) }

// Leave makes the host announce its departure, then stops its process.
func (n *Network) Leave(h *Host) {
	n.collect(h, h.Group.Leave(n.Now))
	h.down = true
}

// Publish publishes a rumour at a host.
func (n *Network) Publish(h *Host, r member.Rumour, lifetime time.Duration) error {
	out, err := h.Group.Publish(r, lifetime, n.Now)
	if err != nil {
		return fmt.Errorf("publish at %s: %w", h.Name, err)
	}
	n.collect(h, out)
	return nil
}

// Run advances the time by the given duration.
func (n *Network) Run(duration time.Duration) {
	end := n.Now.Add(duration)
	for n.Now.Before(end) {
		n.step()
	}
}

// RunUntil advances the time until the condition holds and returns the simulated time
// elapsed; ok is false if the limit was reached first.
func (n *Network) RunUntil(limit time.Duration, condition func() bool) (elapsed time.Duration, ok bool) {
	start := n.Now
	for !condition() {
		if n.Now.Sub(start) >= limit {
			return limit, false
		}
		n.step()
	}
	return n.Now.Sub(start), true
}

// step advances the time by one tick period: each host ticks once at its own offset,
// and messages are delivered in time order.
func (n *Network) step() {
	end := n.Now.Add(member.TickPeriod)
	for _, h := range n.Hosts {
		n.sequence++
		heap.Push(&n.inFlight, delivery{at: n.Now.Add(h.tickOffset), sequence: n.sequence, to: h})
	}
	for len(n.inFlight) > 0 && n.inFlight[0].at.Before(end) {
		d := heap.Pop(&n.inFlight).(delivery)
		n.Now = d.at
		n.deliver(d)
	}
	n.Now = end
}

// deliver passes a message or a tick to its host.
func (n *Network) deliver(d delivery) {
	if !d.to.Running() {
		return
	}
	if d.from == nil {
		n.collect(d.to, d.to.Group.Tick(n.Now))
		return
	}
	if n.Partitioned != nil && n.Partitioned(d.from, d.to) {
		return
	}
	d.to.ReceivedBytes += len(d.encoded) + datagramOverhead
	m, err := member.Decode(d.encoded, len(d.encoded))
	if err != nil {
		panic(err)
	}
	n.collect(d.to, d.to.Group.Receive(m, n.Now))
}

// collect sends the messages in the output of a group and records the rest.
func (n *Network) collect(h *Host, out member.Output) {
	h.Changes = append(h.Changes, out.Changes...)
	h.Rumours = append(h.Rumours, out.Rumours...)
	for _, s := range out.Messages {
		encoded, err := member.Encode(s.Message)
		if err != nil {
			panic(err)
		}
		n.MaxMessageBytes = max(n.MaxMessageBytes, len(encoded))
		h.SentBytes += len(encoded) + datagramOverhead
		h.SentMessages++
		to, ok := n.byAddress[s.Address]
		if !ok || n.random.Float64() < n.LossRate {
			continue
		}
		n.sequence++
		delay := minLatency + time.Duration(n.random.Int63n(int64(maxLatency-minLatency)))
		heap.Push(&n.inFlight, delivery{
			at: n.Now.Add(delay), sequence: n.sequence, from: h, to: to, encoded: encoded,
		})
	}
}

// PopulateMembers adds all hosts of a zone to the directory of each of them, as after a
// completed join, without the join traffic.
func (n *Network) PopulateMembers() {
	members := make(map[string][]member.Member)
	for _, h := range n.Hosts {
		members[h.Zone] = append(members[h.Zone], h.Group.Self())
	}
	for _, h := range n.Hosts {
		h.Group.Receive(member.Message{
			Format: 1, Kind: member.Entries, Zone: h.Zone,
			From: members[h.Zone][0], Members: members[h.Zone],
		}, n.Now)
	}
}

// ResetCounters sets the message and byte counters of all hosts to zero.
func (n *Network) ResetCounters() {
	for _, h := range n.Hosts {
		h.SentBytes, h.ReceivedBytes, h.SentMessages = 0, 0, 0
	}
}

// A delivery is a message in flight, or a tick if from is nil.
type delivery struct {
	at       time.Time
	sequence int
	from, to *Host
	encoded  []byte
}

// deliveries is a heap ordered by delivery time, then by sequence.
type deliveries []delivery

// Len implements heap.Interface.
func (d deliveries) Len() int { return len(d) }

// Less implements heap.Interface.
func (d deliveries) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].sequence < d[j].sequence
}

// Swap implements heap.Interface.
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }

// Pop implements heap.Interface.
func (d *deliveries) Pop() any {
	old := *d
	last := old[len(old)-1]
	*d = old[:len(old)-1]
	return last
}
