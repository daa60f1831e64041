// Package grantnet is a small fake network between ledgers of package rate, for
// tests and measurements: it carries requests and replies with delay, loss and
// duplication, and gives each process a clock with its own offset. It is
// deterministic for a seeded random source.
package grantnet

import (
	"container/heap"
	"math/rand"
	"time"

	"github.com/bilberryvane/bilberryvane/rate"
)

// Faults says how the network treats messages.
type Faults struct {
	// LossRate is the part of messages that vanish, from 0 to 1.
	LossRate float64
	// DuplicateRate is the part of messages that arrive twice.
	DuplicateRate float64
	// MinDelay and MaxDelay bound the time that a message takes one way.
	MinDelay time.Duration
	MaxDelay time.Duration
}

// A Node is one process with a ledger. A nil ledger means that it is down.
type Node struct {
	// Name is the name of the host; it survives restarts.
	Name string
	// Zone is the availability zone of the host.
	Zone string
	// Limiter is the ledger of the running process.
	Limiter *rate.Limiter
	// ClockOffset is what the process's clock is ahead of the network's.
	ClockOffset time.Duration
	// PausedUntil is until when the process neither acts nor receives.
	PausedUntil time.Time
	// Received counts the requests that the process answered.
	Received int

	pending map[rate.Ticket]arrival
}

// An Outcome is what became of one request of a caller.
type Outcome struct {
	// Account is the client account.
	Account string
	// Node is the entry node.
	Node string
	// Arrived and Decided are times of the network's clock.
	Arrived time.Time
	Decided time.Time
	// Admitted says that a token was taken.
	Admitted bool
	// Unavailable says that a refusal was for want of a giver.
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
	// sender is the ledger that a reply is for.
	sender string
}

// A Resolver resolves the receiver of a request to the nodes that may answer
// under that name, of which one is picked at random.
type Resolver func(receiver string) []*Node

// A Network carries messages between nodes.
type Network struct {
	// Now is the present time of the network's clock.
	Now time.Time
	// Faults may be changed at any time.
	Faults Faults
	// Reachable reports whether two zones can reach each other.
	Reachable func(a, b string) bool
	// Outcomes are the decided requests in the order of decision.
	Outcomes []Outcome
	// Nodes are all nodes in the order in which they act.
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

// RestartNode gives a node a new process: what it held and who waited is lost.
func (n *Network) RestartNode(node *Node, l *rate.Limiter) {
	for _, a := range node.pending {
		n.record(node, a, rate.Result{Decision: rate.Refused, Unavailable: true})
	}
	node.pending = map[rate.Ticket]arrival{}
	node.Limiter = l
}

// Arrive has a caller's request arrive at a node.
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

// Advance moves the time by a step and lets every node act at its end.
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
	// What could not be given at once may be asked of the next level.
	n.sendDue(m.to)
}

// recordDecided records the waiting requests that are decided now.
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

// sendDue puts the requests that are due on the network.
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

// transmit sends a message through the faults.
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

// messages is a heap ordered by time of delivery.
type messages []message

// Len returns the number of messages under way.
func (m messages) Len() int { return len(m) }

// Less orders messages by time, then by when they were sent.
func (m messages) Less(i, j int) bool {
	if m[i].at.Equal(m[j].at) {
		return m[i].sequence < m[j].sequence
	}
	return m[i].at.Before(m[j].at)
}

// Swap exchanges two messages.
func (m messages) Swap(i, j int) { m[i], m[j] = m[j], m[i] }

// Push adds a message.
func (m *messages) Push(x any) { *m = append(*m, x.(message)) }

// Pop removes the last message.
func (m *messages) Pop() any {
	last := len(*m) - 1
	popped := (*m)[last]
	*m = (*m)[:last]
	return popped
}
