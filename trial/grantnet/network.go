// Package grantnet simulates a network between limiters of package rate, for tests
// and measurements: it delivers requests and replies with delay, loss and duplication,
// and gives each process a clock with its own offset. It is deterministic for a seeded
// random source.
package grantnet

import (
	"container/heap"
	"math/rand"
	"time"

	"github.com/bilberryvane/bilberryvane/rate"
)

// Faults configures delay, loss and duplication of messages.
type Faults struct {
	// LossRate is the fraction of messages lost, from 0 to 1.
	LossRate float64
	// DuplicateRate is the fraction of messages delivered twice, from 0 to 1.
	DuplicateRate float64
	// MinDelay and MaxDelay bound the one-way delay of a message.
	MinDelay time.Duration
	MaxDelay time.Duration
}

// A Node is a host with one process. A nil limiter means that the process is down.
type Node struct {
	// Name is the host name, which does not change on restart.
	Name string
	// Zone is the availability zone of the host.
	Zone string
	// Limiter is the rate limiter of the running process.
	Limiter *rate.Limiter
	// ClockOffset is added to the network's clock to get the clock of the process.
	ClockOffset time.Duration
	// PausedUntil is the time until which the process neither acts nor receives.
	PausedUntil time.Time
	// Received is the number of requests from other nodes that the host served.
	Received int

	pending map[rate.Ticket]arrival
}

// An Outcome is the decision on one request of a caller.
type Outcome struct {
	// Account is the client account.
	Account string
	// Node is the entry node.
	Node string
	// Arrived and Decided are times on the network's clock.
	Arrived time.Time
	Decided time.Time
	// Admitted is set if a token was taken.
	Admitted bool
	// Unavailable is set if the request was refused because no node could grant tokens.
	Unavailable bool
}

type arrival struct {
	account string
	at      time.Time
}

type message struct {
	at       time.Time
	sequence int
	from     *Node
	to       *Node
	request  *rate.Request
	reply    *rate.Reply
	// sender is the identity of the limiter that a reply is for.
	sender string
}

// A Resolver resolves the receiver of a request to the nodes that may answer under
// that name; the network picks one of them at random.
type Resolver func(receiver string) []*Node

// A Network delivers messages between nodes.
type Network struct {
	// Now is the current time of the network's clock.
	Now time.Time
	// Faults may be changed at any time.
	Faults Faults
	// Reachable reports whether two zones can reach each other.
	Reachable func(a, b string) bool
	// Outcomes are the decided requests, in the order of the decisions.
	Outcomes []Outcome
	// Nodes are all nodes, in the order in which they act.
	Nodes []*Node

	resolver Resolver
	random   *rand.Rand
	inFlight messages
	sequence int
}

// New returns a network without nodes.
func New(start time.Time, random *rand.Rand, faults Faults, directory Resolver) *Network {
	return &Network{
		Now:       start,
		Faults:    faults,
		Reachable: func(string, string) bool { return true },
		resolver:  directory,
		random:    random,
	}
}

// Add adds a node.
func (n *Network) Add(node *Node) {
	node.pending = map[rate.Ticket]arrival{}
	n.Nodes = append(n.Nodes, node)
}

// RestartNode replaces the process of a node: its grants are lost and its pending
// requests are refused as unavailable.
func (n *Network) RestartNode(node *Node, l *rate.Limiter) {
	for _, a := range node.pending {
		n.record(node, a, rate.Result{Decision: rate.Refused, Unavailable: true})
	}
	node.pending = map[rate.Ticket]arrival{}
	node.Limiter = l
}

// Arrive passes a request of a caller to a node. Requests to a node that is down or
// paused are ignored.
func (n *Network) Arrive(node *Node, account string, patience time.Duration) {
	if node.Limiter == nil || n.Now.Before(node.PausedUntil) {
		return
	}
	a := arrival{account: account, at: n.Now}
	v := node.Limiter.Take(n.Now.Add(node.ClockOffset), account, patience)
	if v.Decision == rate.Waiting {
		node.pending[v.Ticket] = a
		n.sendDue(node)
		return
	}
	n.record(node, a, v)
}

// Advance delivers the messages due within a step; every node acts at its end.
func (n *Network) Advance(step time.Duration) {
	end := n.Now.Add(step)
	for len(n.inFlight) > 0 && !n.inFlight[0].at.After(end) {
		m := heap.Pop(&n.inFlight).(message)
		if m.at.After(n.Now) {
			n.Now = m.at
		}
		n.deliver(m)
	}
	n.Now = end
	for _, node := range n.Nodes {
		n.recordDecided(node)
		n.sendDue(node)
	}
}

func (n *Network) deliver(m message) {
	if m.to.Limiter == nil || !n.Reachable(m.from.Zone, m.to.Zone) {
		return
	}
	if n.Now.Before(m.to.PausedUntil) {
		m.at = m.to.PausedUntil
		n.push(m)
		return
	}
	local := n.Now.Add(m.to.ClockOffset)
	if m.reply != nil {
		if m.sender == m.to.Limiter.Identity() {
			m.to.Limiter.Apply(local, *m.reply)
			n.recordDecided(m.to)
		}
		return
	}
	m.to.Received++
	reply := m.to.Limiter.Serve(local, *m.request)
	n.transmit(message{from: m.to, to: m.from, reply: &reply, sender: m.request.Sender})
	// Demand that could not be granted at once may cause requests to the next level.
	n.sendDue(m.to)
}

// recordDecided records the outcome of pending requests that are now decided.
func (n *Network) recordDecided(node *Node) {
	if node.Limiter == nil || len(node.pending) == 0 || n.Now.Before(node.PausedUntil) {
		return
	}
	local := n.Now.Add(node.ClockOffset)
	for _, account := range node.Limiter.Accounts() {
		for _, v := range node.Limiter.Resolve(local, account) {
			n.record(node, node.pending[v.Ticket], v)
			delete(node.pending, v.Ticket)
		}
	}
}

// sendDue sends the requests that are due.
func (n *Network) sendDue(node *Node) {
	if node.Limiter == nil || n.Now.Before(node.PausedUntil) {
		return
	}
	for _, r := range node.Limiter.DueRequests(n.Now.Add(node.ClockOffset)) {
		receivers := n.resolver(r.Receiver)
		if len(receivers) == 0 {
			continue
		}
		to := receivers[n.random.Intn(len(receivers))]
		n.transmit(message{from: node, to: to, request: &r})
	}
}

// transmit sends a message, subject to the configured faults.
func (n *Network) transmit(m message) {
	if !n.Reachable(m.from.Zone, m.to.Zone) || n.random.Float64() < n.Faults.LossRate {
		return
	}
	copies := 1
	if n.random.Float64() < n.Faults.DuplicateRate {
		copies = 2
	}
	for range copies {
		spread := int64(n.Faults.MaxDelay - n.Faults.MinDelay)
		m.at = n.Now.Add(n.Faults.MinDelay + time.Duration(n.random.Int63n(spread+1)))
		n.push(m)
	}
}

func (n *Network) push(m message) {
	n.sequence++
	m.sequence = n.sequence
	heap.Push(&n.inFlight, m)
}

func (n *Network) record(node *Node, a arrival, v rate.Result) {
	n.Outcomes = append(n.Outcomes, Outcome{
		Account: a.account, Node: node.Name, Arrived: a.at, Decided: n.Now,
		Admitted: v.Decision == rate.Admitted, Unavailable: v.Unavailable,
	})
}

// messages is a heap ordered by delivery time.
type messages []message

// Len implements heap.Interface.
func (m messages) Len() int { return len(m) }

// Less orders messages by delivery time, then by sequence.
func (m messages) Less(i, j int) bool {
	if m[i].at.Equal(m[j].at) {
		return m[i].sequence < m[j].sequence
	}
	return m[i].at.Before(m[j].at)
}

// Swap implements heap.Interface.
func (m messages) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push implements heap.Interface.
func (m *messages) Push(x any) { *m = append(*m, x.(message)) }

// Pop implements heap.Interface.
func (m *messages) Pop() any {
	last := len(*m) - 1
	popped := (*m)[last]
	*m = (*m)[:last]
	return popped
}
