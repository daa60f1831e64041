// Package gossip runs groups of package member over a fake network with a fake
// clock. Tests induce loss, cuts, crashes and freezes with it, and the command
// trial-capacity counts messages, bytes and processor time.
package gossip

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/bilberryvane/bilberryvane/member"
)

// datagramOverhead is what IP, UDP and the authentication tag add to a message in
// bytes.
const datagramOverhead = 20 + 8 + 32

// latency bounds of one message.
const (
	minLatency = 200 * time.Microsecond
	maxLatency = 20 * time.Millisecond
)

// A Host is one node of the fake network.
type Host struct {
	// Name is the host's name; Zone its availability zone.
	Name, Zone string
	// Group is the state machine of the present process.
	Group *member.Group
	// SentBytes and ReceivedBytes count bytes with the overhead of datagrams.
	SentBytes, ReceivedBytes int
	// SentMessages counts messages sent.
	SentMessages int
	// Changes and Rumours collect what the group reported.
	Changes []member.Change
	Rumours []member.Rumour

	address    string
	services   []string
	tickOffset time.Duration
	down       bool
	paused     bool
}

// Running reports whether the host's process runs.
func (h *Host) Running() bool { return !h.down && !h.paused }

// A Network carries the messages of its hosts and moves their time.
type Network struct {
	// Now is the fake time.
	Now time.Time
	// Hosts are in the order of their start.
	Hosts []*Host
	// LossRate is the share of messages lost.
	LossRate float64
	// Partitioned reports whether two hosts are cut off from each other; nil is never.
	Partitioned func(a, b *Host) bool
	// MaxMessageBytes is the greatest encoded message seen, in bytes.
	MaxMessageBytes int

	random    *rand.Rand
	options   []member.Option
	byAddress map[string]*Host
	inFlight  deliveries
	sequence  int
}

// NewNetwork returns a network without hosts.
func NewNetwork(seed int64, options ...member.Option) *Network {
	return &Network{
		Now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:    rand.New(rand.NewSource(seed)),
		options:   options,
		byAddress: make(map[string]*Host),
	}
}

// Start adds a host and starts its process with seeds.
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

// Restart starts a new process on the host with the same address and no memory.
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

// Kill ends the host's process without notice.
func (n *Network) Kill(h *Host) { h.down = true }

// Pause stops the host's process; its messages are lost meanwhile.
func (n *Network) Pause(h *Host) { h.paused = true }

// Resume lets the host's process go on.
func (n *Network) Resume(h *Host) { h.paused = false }

// Drain lets a host announce that it takes no new work.
func (n *Network) Drain(h *Host) { n.collect(h, h.Group.Drain(n.Now)) }

// Leave ends the host's process with an announcement.
func (n *Network) Leave(h *Host) {
	n.collect(h, h.Group.Leave(n.Now))
	h.down = true
}

// Publish lets a host publish a rumour.
func (n *Network) Publish(h *Host, r member.Rumour, lifetime time.Duration) error {
	out, err := h.Group.Publish(r, lifetime, n.Now)
	if err != nil {
		return fmt.Errorf("publish at %s: %w", h.Name, err)
	}
	n.collect(h, out)
	return nil
}

// Run moves the time on by the given duration.
func (n *Network) Run(duration time.Duration) {
	end := n.Now.Add(duration)
	for n.Now.Before(end) {
		n.step()
	}
}

// RunUntil moves the time on until the condition holds and returns how long that
// took; ok is false if it did not within the limit.
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

// step moves the time on by one tick period: each host ticks once at its own
// offset, and messages arrive in the sequence of their times.
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

// deliver hands a message or a tick to its host.
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

// collect sends what a group put out and keeps what it reported.
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

// PopulateMembers makes every host hold all hosts of its zone, as after a completed
// join, without the traffic of joining.
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

// ResetCounters sets the counters of all hosts to zero.
func (n *Network) ResetCounters() {
	for _, h := range n.Hosts {
		h.SentBytes, h.ReceivedBytes, h.SentMessages = 0, 0, 0
	}
}

// delivery is a message on its way, or a tick if from is nil.
type delivery struct {
	at       time.Time
	sequence int
	from, to *Host
	encoded  []byte
}

// deliveries is a heap in the order of time.
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
