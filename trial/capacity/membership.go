package capacity

import (
	"fmt"
	"io"
	"math/rand"
	"runtime"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/member"
	"github.com/bilberryvane/bilberryvane/trial/gossip"
)

// Parameters of the membership measurements.
const (
	membershipSeed   = 1
	settleTime       = 90 * time.Second
	restTime         = 30 * time.Second
	servicesOfZone   = 40
	summaryContacts  = 3
	rumourPayload    = 16
	membershipBound  = time.Minute
	rackShare        = 40
	suspicionTime    = 6 * time.Second
	incarnationStart = 1767225600000
)

// zoneSizes are the members of one zone at which slopes are measured.
var zoneSizes = []int{100, 400, 1600}

// Membership measures package member and writes its tables.
func Membership(w io.Writer) error {
	if err := WriteTable(w, "Membership by members of a zone", zoneSeries()); err != nil {
		return err
	}
	if err := WriteTable(w, "Membership by rate of changes, 400 members", rateSeries()); err != nil {
		return err
	}
	if err := WriteTable(w, "Membership memory", memorySeries()); err != nil {
		return err
	}
	return WriteTable(w, "Bridges by number of zones, 20 members each", bridgeSeries())
}

// newZone returns a network with one zone of the given size whose hosts know each
// other and are at rest.
func newZone(size int) *gossip.Network {
	n := gossip.NewNetwork(membershipSeed)
	for i := range size {
		n.Start(fmt.Sprintf("host-%05d", i), "zone-1", []string{serviceName(i % servicesOfZone)}, gossip.AddressOf("host-00000"))
	}
	n.PopulateMembers()
	n.Run(settleTime)
	return n
}

// serviceName returns the name of a service.
func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// zoneSeries measures traffic, processor time, spread and detection by zone size.
func zoneSeries() []Series {
	names := []string{
		"bytes sent and received per second and host, at rest",
		"the same, greatest of all hosts",
		"messages sent per second and host, at rest",
		"processor microseconds per second and host, at rest, with the fake network",
		"milliseconds until a rumour has reached every host",
		"milliseconds until every host holds a crashed one dead",
		"bytes per second and host in the 20 s after 1 in 40 hosts crashed at once",
		"milliseconds until a draining host is out of every directory of the zone",
		"the same, from 6 s after 1 in 40 hosts crashed at once",
		"milliseconds until a joining host holds all members",
		"bytes that a joining host sends and receives until then",
	}
	series := make([]Series, len(names))
	for i, name := range names {
		series[i] = Series{Name: name, Per: "member"}
	}
	for _, size := range zoneSizes {
		for i, value := range measureZone(size) {
			series[i].Points = append(series[i].Points, Point{Size: float64(size), Value: value})
		}
	}
	return series
}

// measureZone returns the values of zoneSeries for one size.
func measureZone(size int) []float64 {
	n := newZone(size)
	n.ResetCounters()
	used := processorTime()
	n.Run(restTime)
	used = processorTime() - used
	seconds := restTime.Seconds()
	hosts := float64(size)
	total, greatest, messages := traffic(n)
	spread := spreadTime(n, n.Hosts[size/2])

	drain := drainTime(n, n.Hosts[size/4])
	joinBytes, joining := join(n)

	n.Run(restTime)
	victim := n.Hosts[size/3]
	n.Kill(victim)
	detection, _ := n.RunUntil(membershipBound, func() bool { return heldDead(n, victim) })

	const crashWindow = 20 * time.Second
	n.ResetCounters()
	for i := range size / rackShare {
		n.Kill(n.Hosts[size/2+i])
	}
	n.Run(crashWindow)
	crash, _, _ := traffic(n)

	n.Run(restTime)
	for i := range size / rackShare {
		n.Kill(n.Hosts[size/8+i])
	}
	n.Run(suspicionTime)
	busyDrain := drainTime(n, n.Hosts[size-1])
	return []float64{
		total / seconds / hosts, greatest / seconds, messages / seconds / hosts,
		float64(used.Microseconds()) / seconds / hosts,
		float64(spread.Milliseconds()), float64(detection.Milliseconds()),
		crash / crashWindow.Seconds() / hosts,
		float64(drain.Milliseconds()), float64(busyDrain.Milliseconds()),
		float64(joining.Milliseconds()), joinBytes,
	}
}

// join starts a host that knows one seed and returns its bytes and the time
// until it holds all members.
func join(n *gossip.Network) (float64, time.Duration) {
	h := n.Start("host-joining", "zone-1", []string{serviceName(0)}, gossip.AddressOf("host-00000"))
	took, _ := n.RunUntil(membershipBound, func() bool { return len(h.Group.Members()) == len(n.Hosts) })
	return float64(h.SentBytes + h.ReceivedBytes), took
}

// traffic returns the bytes of all hosts, those of the busiest, and the messages.
func traffic(n *gossip.Network) (total, greatest, messages float64) {
	for _, h := range n.Hosts {
		total += float64(h.SentBytes + h.ReceivedBytes)
		greatest = max(greatest, float64(h.SentBytes+h.ReceivedBytes))
		messages += float64(h.SentMessages)
	}
	return total, greatest, messages
}

// spreadTime publishes a rumour and returns how long it takes to reach all hosts.
func spreadTime(n *gossip.Network, from *gossip.Host) time.Duration {
	r := member.Rumour{Topic: "capacity", Key: n.Now.String(), Payload: make([]byte, rumourPayload)}
	if n.Publish(from, r, 0) != nil {
		return 0
	}
	took, _ := n.RunUntil(membershipBound, func() bool {
		return !slices.ContainsFunc(n.Hosts, func(h *gossip.Host) bool {
			return h.Running() && !slices.ContainsFunc(h.Rumours, func(held member.Rumour) bool { return held.Key == r.Key })
		})
	})
	return took
}

// drainTime drains a host and returns how long its zone takes to know of it.
func drainTime(n *gossip.Network, leaving *gossip.Host) time.Duration {
	n.Drain(leaving)
	took, _ := n.RunUntil(membershipBound, func() bool {
		return !slices.ContainsFunc(n.Hosts, func(h *gossip.Host) bool {
			m, ok := h.Group.LookupMember(leaving.Name)
			return h.Running() && (!ok || !m.Draining)
		})
	})
	return took
}

// heldDead reports whether every running host holds the given one dead.
func heldDead(n *gossip.Network, victim *gossip.Host) bool {
	return !slices.ContainsFunc(n.Hosts, func(h *gossip.Host) bool {
		m, ok := h.Group.LookupMember(victim.Name)
		return h.Running() && (!ok || m.Present())
	})
}

// rateSeries measures traffic by the rate of rumours and of restarts.
func rateSeries() []Series {
	const size = 400
	n := newZone(size)
	publish := func(i int) {
		r := member.Rumour{Topic: "capacity", Key: fmt.Sprint(i), Payload: make([]byte, rumourPayload)}
		if err := n.Publish(n.Hosts[i%size], r, time.Minute); err != nil {
			panic(err)
		}
	}
	restart := func(i int) {
		n.Restart(n.Hosts[1+i%(size-1)], n.Hosts[0].Group.Self().Address)
	}
	return []Series{
		rateOf(n, "bytes sent and received per second and host, rumours of 16 bytes", "rumour/s", publish),
		rateOf(n, "bytes sent and received per second and host, restarts", "restart/s", restart),
	}
}

// rateOf measures traffic while an action happens at several rates.
func rateOf(n *gossip.Network, name, per string, action func(i int)) Series {
	s := Series{Name: name, Per: per}
	done := 0
	for _, rate := range []float64{0, 0.25, 0.5, 1} {
		n.Run(restTime)
		n.ResetCounters()
		for range int(rate * restTime.Seconds()) {
			action(done)
			done++
			n.Run(time.Duration(float64(time.Second) / rate))
		}
		if rate == 0 {
			n.Run(restTime)
		}
		total, _, _ := traffic(n)
		s.Points = append(s.Points, Point{Size: rate, Value: total / restTime.Seconds() / float64(len(n.Hosts))})
	}
	return s
}

// memorySeries measures the heap of one group by members of its zone, and by
// summaries of other zones. Each entry is decoded from its own message.
func memorySeries() []Series {
	members := Series{Name: "heap bytes of one node's group", Per: "member of the zone"}
	for _, size := range zoneSizes {
		members.Points = append(members.Points, Point{Size: float64(size), Value: groupHeap(size, 0)})
	}
	summaries := Series{Name: "heap bytes of one node's group", Per: "service summary of another zone"}
	for _, count := range []int{400, 1200, 3600} {
		summaries.Points = append(summaries.Points, Point{Size: float64(count), Value: groupHeap(0, count)})
	}
	return []Series{members, summaries}
}

// groupHeap returns the heap that one group with the given entries takes.
func groupHeap(members, summaries int) float64 {
	before := heap()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	g := member.New("zone-1", newMember(0), nil, now, rand.New(rand.NewSource(membershipSeed)))
	for i := range members {
		receive(g, member.Message{Kind: member.Entries, Zone: "zone-1", From: newMember(1), Members: []member.Member{newMember(i + 1)}}, now)
	}
	for i := range summaries {
		receive(g, member.Message{Kind: member.Entries, Zone: "zone-2", From: newMember(1), Rumours: []member.Rumour{newSummaryRumour(i)}}, now)
	}
	g.Tick(now)
	used := heap() - before
	runtime.KeepAlive(g)
	return used
}

// receive hands a message to a group by way of its encoding.
func receive(g *member.Group, m member.Message, now time.Time) {
	m.Format = 1
	encoded, err := member.Encode(m)
	if err != nil {
		panic(err)
	}
	decoded, err := member.Decode(encoded, len(encoded))
	if err != nil {
		panic(err)
	}
	g.Receive(decoded, now)
}

// newMember returns a member with texts of the usual lengths.
func newMember(i int) member.Member {
	return member.Member{
		Host: fmt.Sprintf("host-%05d", i), Address: address(i),
		Services: []string{serviceName(i % servicesOfZone)}, Incarnation: incarnationStart,
	}
}

// address returns an address of the usual length.
func address(i int) string { return fmt.Sprintf("10.%d.%d.%d:7400", i>>16&255, i>>8&255, i&255) }

// newSummaryRumour returns the rumour of a service summary of one of eight zones.
func newSummaryRumour(i int) member.Rumour {
	return member.Rumour{
		Topic: "service-summary", Version: incarnationStart,
		Key:     fmt.Sprintf("zone-%d/%s", 2+i%8, serviceName(i/8)),
		Payload: newSummary(i),
	}
}

// newSummary returns the encoding of a service summary with three contacts.
func newSummary(i int) []byte {
	type value struct {
		_     struct{} `cbor:",toarray"`
		Count uint32
		Nodes []member.Contact
	}
	v := value{Count: summaryContacts}
	for c := range summaryContacts {
		m := newMember(i*summaryContacts + c)
		v.Nodes = append(v.Nodes, member.Contact{Host: m.Host, Address: m.Address, Incarnation: m.Incarnation})
	}
	encoded, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// bridgeSeries measures the traffic of bridges and others, and the spread over all
// zones, by the number of zones.
func bridgeSeries() []Series {
	series := []Series{
		{Name: "bytes sent and received per second, busiest host", Per: "zone"},
		{Name: "bytes sent and received per second, mean of all hosts", Per: "zone"},
		{Name: "milliseconds until a rumour has reached every host of every zone", Per: "zone"},
	}
	for _, zones := range []int{2, 4, 9} {
		n := newZones(zones)
		n.ResetCounters()
		n.Run(membershipBound)
		total, greatest, _ := traffic(n)
		seconds := membershipBound.Seconds()
		spread := spreadTime(n, n.Hosts[3])
		values := []float64{greatest / seconds, total / seconds / float64(len(n.Hosts)), float64(spread.Milliseconds())}
		for i, v := range values {
			series[i].Points = append(series[i].Points, Point{Size: float64(zones), Value: v})
		}
	}
	return series
}

// newZones returns a network of zones at rest.
func newZones(zones int) *gossip.Network {
	const hosts = 20
	n := gossip.NewNetwork(membershipSeed)
	for z := range zones {
		for i := range hosts {
			n.Start(fmt.Sprintf("host-%d-%d", z, i), fmt.Sprintf("zone-%d", z), []string{serviceName(i)},
				gossip.AddressOf(fmt.Sprintf("host-%d-0", z)), gossip.AddressOf("host-0-0"))
		}
	}
	n.PopulateMembers()
	n.Run(3 * settleTime)
	return n
}
