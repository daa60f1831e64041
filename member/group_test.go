package member_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/member"
	"github.com/bilberryvane/bilberryvane/trial/gossip"
)

// convergenceTimeout is the time in which all views must converge after the last fault.
// It is a few sync periods, in each of which a node of a small zone syncs with one
// member and with two that it considers dead.
const convergenceTimeout = 4 * time.Minute

// summaryNodes is the maximum number of nodes that a service summary lists.
const summaryNodes = 3

// startNetwork starts a network with the given number of zones and hosts per zone. Each
// host offers one of two services.
func startNetwork(seed int64, zones, hosts int) *gossip.Network {
	n := gossip.NewNetwork(seed)
	seeds := []string{gossip.AddressOf("a-0"), gossip.AddressOf("b-0")}
	for z := range zones {
		zone := string(rune('a' + z))
		for i := range hosts {
			service := []string{"billing", "stock"}[i%2]
			n.Start(fmt.Sprintf("%s-%d", zone, i), zone, []string{service}, seeds...)
		}
	}
	return n
}

// viewDifference describes a difference between a host's view and the actual state, or
// is empty.
func viewDifference(n *gossip.Network) string {
	for _, h := range n.Hosts {
		if !h.Running() {
			continue
		}
		for _, o := range n.Hosts {
			if o.Zone != h.Zone {
				continue
			}
			m, ok := h.Group.LookupMember(o.Name)
			present := ok && m.Present()
			if present != o.Running() || present && m.Revision != o.Group.Self().Revision {
				return fmt.Sprintf("%s has %s as %v, found %v, running %v", h.Name, o.Name, m, ok, o.Running())
			}
		}
		for _, service := range []string{"billing", "stock"} {
			if text := directoryDifference(n, h, service); text != "" {
				return text
			}
		}
	}
	return ""
}

// directoryDifference describes a host that the directory of h lacks or lists wrongly,
// or is empty. Of another zone the directory lists only a subset.
func directoryDifference(n *gossip.Network, h *gossip.Host, service string) string {
	listed := make(map[string]bool)
	for _, node := range h.Group.Nodes(service, n.Now) {
		listed[node.Host] = true
	}
	listedPerZone, offeringPerZone := make(map[string]int), make(map[string]int)
	for _, o := range n.Hosts {
		self := o.Group.Self()
		offers := o.Running() && !self.Draining && self.Services[0] == service
		if offers {
			offeringPerZone[o.Zone]++
		}
		if listed[o.Name] {
			listedPerZone[o.Zone]++
		}
		if listed[o.Name] && !offers || offers && !listed[o.Name] && o.Zone == h.Zone {
			return fmt.Sprintf("%s lists %s for %s: %v", h.Name, o.Name, service, listed[o.Name])
		}
	}
	for zone, count := range offeringPerZone {
		if listedPerZone[zone] < min(count, summaryNodes) {
			return fmt.Sprintf("%s lists %d of %s for %s", h.Name, listedPerZone[zone], zone, service)
		}
	}
	return ""
}

func waitForConvergence(t fataler, n *gossip.Network, bound time.Duration) time.Duration {
	took, ok := n.RunUntil(bound, func() bool { return viewDifference(n) == "" })
	if !ok {
		t.Fatalf("views differ after %v: %s", bound, viewDifference(n))
	}
	return took
}

// fataler is the part of testing.T and rapid.T that waitForConvergence uses.
type fataler interface {
	Fatalf(format string, args ...any)
}

// TestViewsConvergeAfterFaults injects random crashes, freezes, restarts, drains, packet
// loss and partitions. After they end, every running host's view of its zone and its
// directory must match the hosts that run: no reachable running member stays dead, and
// no dead member stays alive.
func TestViewsConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := startNetwork(rapid.Int64Range(1, 1<<40).Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "zones"), 4)
		waitForConvergence(t, n, convergenceTimeout)
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			h := n.Hosts[rapid.IntRange(0, len(n.Hosts)-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"kill", "freeze", "restart", "drain", "loss", "cut", "split"}).Draw(t, "fault") {
			case "kill":
				n.Kill(h)
			case "freeze":
				n.Pause(h)
			case "restart":
				n.Restart(h, gossip.AddressOf("a-1"), gossip.AddressOf("b-1"), gossip.AddressOf("c-1"))
			case "drain":
				n.Drain(h)
			case "loss":
				n.LossRate = 0.3
			case "cut":
				n.Partitioned = func(a, b *gossip.Host) bool { return (a.Zone == h.Zone) != (b.Zone == h.Zone) }
			case "split":
				n.Partitioned = func(a, b *gossip.Host) bool { return a.Name[2]%2 != b.Name[2]%2 }
			}
			n.Run(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
		}
		n.LossRate = 0
		n.Partitioned = nil
		for _, h := range n.Hosts {
			n.Resume(h)
		}
		waitForConvergence(t, n, convergenceTimeout)
	})
}

// TestDrainRemovesHostFromDirectories checks that every directory of every zone removes
// a draining host within three seconds, without any store.
func TestDrainRemovesHostFromDirectories(t *testing.T) {
	for _, loss := range []float64{0, 0.05} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			is := is.New(t)
			n := startNetwork(7, 3, 20)
			waitForConvergence(t, n, convergenceTimeout)
			n.LossRate = loss
			for _, i := range []int{3, 24, 47} {
				h := n.Hosts[i]
				n.Drain(h)
				took, ok := n.RunUntil(3*time.Second, func() bool { return viewDifference(n) == "" })
				is.True(ok) // removed from every directory
				t.Logf("%s: %v", h.Name, took)
			}
		})
	}
}

// TestMemberStatusTransitions checks the status of one host as another sees it during a
// freeze, a crash with restart, and a leave.
func TestMemberStatusTransitions(t *testing.T) {
	is := is.New(t)
	n := startNetwork(11, 1, 5)
	waitForConvergence(t, n, time.Minute)
	watcher, h := n.Hosts[0], n.Hosts[3]
	status := func(want member.Status) func() bool {
		return func() bool {
			m, _ := watcher.Group.LookupMember(h.Name)
			return m.Status == want
		}
	}
	first := h.Group.Self()

	n.Pause(h)
	_, ok := n.RunUntil(20*time.Second, status(member.Dead))
	is.True(ok) // a frozen host is declared dead
	n.Resume(h)
	n.Run(5 * time.Second)
	returned, _ := watcher.Group.LookupMember(h.Name)
	is.Equal(returned.Status, member.Alive)
	is.Equal(returned.Incarnation, first.Incarnation)
	is.True(returned.Revision > first.Revision) // the thawed host refuted its death with a new revision
	for _, o := range n.Hosts {
		m, _ := h.Group.LookupMember(o.Name)
		is.Equal(m.Status, member.Alive) // its own freeze makes the host suspect no other member
	}

	n.Kill(h)
	n.Run(300 * time.Millisecond)
	watcher.Changes = nil
	n.Restart(h, watcher.Group.Self().Address)
	_, ok = n.RunUntil(10*time.Second, func() bool {
		m, _ := watcher.Group.LookupMember(h.Name)
		return m.Incarnation > first.Incarnation
	})
	is.True(ok) // a restart is detected even if the host was never declared dead
	is.True(watcher.Changes[len(watcher.Changes)-1].Restarted())

	n.Leave(h)
	_, ok = n.RunUntil(2*time.Second, status(member.Left))
	is.True(ok) // a leave is effective without failure detection
}

// TestRumoursReachAllZones checks that the newest version of a rumour reaches every host
// of every zone, including a zone that was partitioned, and that a rumour expires with
// its lifetime.
func TestRumoursReachAllZones(t *testing.T) {
	is := is.New(t)
	n := startNetwork(13, 3, 8)
	waitForConvergence(t, n, convergenceTimeout)
	n.Partitioned = func(a, b *gossip.Host) bool { return (a.Zone == "c") != (b.Zone == "c") }
	is.NoErr(n.Publish(n.Hosts[1], member.Rumour{Topic: "t", Key: "k", Version: 8, Payload: []byte("new")}, 0))
	is.NoErr(n.Publish(n.Hosts[17], member.Rumour{Topic: "t", Key: "k", Version: 7, Payload: []byte("old")}, 0))
	is.NoErr(n.Publish(n.Hosts[2], member.Rumour{Topic: "brief", Key: "k"}, time.Minute))
	holders := func(topic string) (count int) {
		for _, h := range n.Hosts {
			if r := h.Group.Rumours(topic, n.Now); len(r) == 1 && string(r[0].Payload) != "old" {
				count++
			}
		}
		return count
	}
	_, ok := n.RunUntil(2*time.Second, func() bool { return holders("t") == 16 })
	is.True(ok) // hosts of the two connected zones
	n.Run(10 * time.Second)
	is.Equal(holders("t"), 16) // the partitioned zone has the older version
	n.Partitioned = nil
	took, ok := n.RunUntil(convergenceTimeout, func() bool { return holders("t") == 24 })
	is.True(ok) // all hosts, including the zone that was partitioned
	t.Logf("converged after the partition: %v", took)
	n.Run(2 * time.Minute)
	is.Equal(holders("brief"), 0)

	_, err := n.Hosts[0].Group.Publish(member.Rumour{Topic: "service-summary"}, 0, n.Now)
	is.True(errors.Is(err, member.ErrTopicReserved))
	_, err = n.Hosts[0].Group.Publish(member.Rumour{Topic: "t", Payload: make([]byte, 4096)}, 0, n.Now)
	is.True(errors.Is(err, member.ErrPayloadTooLarge))
}

// TestTrafficPerHost checks limits on the traffic of each host without changes, and on
// the size of every message.
func TestTrafficPerHost(t *testing.T) {
	is := is.New(t)
	n := startNetwork(17, 3, 30)
	waitForConvergence(t, n, convergenceTimeout)
	n.Run(time.Minute)
	n.ResetCounters()
	n.Run(time.Minute)
	for _, h := range n.Hosts {
		is.True((h.SentBytes+h.ReceivedBytes)/60 < 2500) // bytes per second
	}
	is.True(n.MaxMessageBytes <= 1200)
}

// TestDecodeRejectsMalformedMessages checks that Decode rejects truncated messages and
// messages above the size limit.
func TestDecodeRejectsMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := member.Message{Format: 1, Kind: member.Ping, Zone: "a", From: member.Member{Host: "h"}, Sequence: 4}
		encoded, err := member.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")
		if _, err = member.Decode(encoded[:cut], len(encoded)); !errors.Is(err, member.ErrMalformed) {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if _, err = member.Decode(encoded, len(encoded)-1); !errors.Is(err, member.ErrMalformed) {
			t.Fatalf("above the limit: %v", err)
		}
		if _, err = member.Decode(encoded, len(encoded)); err != nil {
			t.Fatal(err)
		}
	})
}
