package membership_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/peer"
	"github.com/bilberryvane/bilberryvane/internal/connection/seal"
	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/membership"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/member"
)

// waitTimeout limits each wait. Passing tests need much less.
const waitTimeout = 30 * time.Second

// A fakeTable is an in-memory table service.
type fakeTable struct {
	mu   sync.Mutex
	down bool
	rows map[string]platform.Row
}

func (t *fakeTable) Read(_ context.Context, key string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.Row{}, platform.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (t *fakeTable) Write(_ context.Context, next platform.Row, expected uint64) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return platform.ErrUnavailable
	}
	if t.rows[next.Key].Revision != expected {
		return platform.ErrConflict
	}
	next.Revision = expected + 1
	t.rows[next.Key] = next
	return nil
}

func (t *fakeTable) List(context.Context, string) ([]platform.Row, error) {
	return nil, platform.ErrUnavailable
}

func (t *fakeTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// announced returns the incarnation in the row of a host, and the revision of the row.
func (t *fakeTable) announced(host string) (incarnation, revision uint64) {
	row, err := t.Read(context.Background(), membership.RowPrefix+host)
	var a membership.Announcement
	if err != nil || cbor.Unmarshal(row.Value, &a) != nil {
		return 0, 0
	}
	return a.Incarnation, row.Revision
}

// A process runs the membership of one node on a loopback address.
type process struct {
	*membership.Membership
	host, address string
	endpoint      *peer.Endpoint
	cancel        context.CancelFunc
	done          chan struct{}
}

// A fleet starts processes that share a table, a certificate authority and a key.
type fleet struct {
	t         *testing.T
	authority *identity.Authority
	keys      seal.Keys
	table     *fakeTable
	seeds     []string
}

func newFleet(t *testing.T) *fleet {
	is := is.New(t)
	authority, err := identity.NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	line, err := seal.GenerateKey()
	is.NoErr(err)
	keys, err := seal.ParseKeys(line)
	is.NoErr(err)
	return &fleet{t: t, authority: authority, keys: keys, table: &fakeTable{rows: map[string]platform.Row{}}}
}

// start starts a process. If the address is empty it uses a free port.
func (f *fleet) start(host, zone, address string) *process {
	is := is.New(f.t)
	pair, err := f.authority.Issue(identity.Node{Host: host, Zone: zone}, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), time.Hour)
	is.NoErr(err)
	config, err := identity.TLSConfig(f.authority.PEM().Certificate, pair, peer.ALPNProtocol)
	is.NoErr(err)
	if address == "" {
		address = "127.0.0.1:0"
	}
	endpoint, err := peer.Listen(address, config)
	is.NoErr(err)
	p := &process{host: host, address: endpoint.Address(), endpoint: endpoint}
	if f.seeds == nil {
		f.seeds = []string{p.address}
	}
	p.Membership = membership.New(membership.Self{Host: host, Zone: zone, Address: p.address}, membership.Deps{
		Transport: endpoint, Keys: f.keys, Table: f.table, Clock: clock.System{},
		Log: event.NewLog(&log.Logger{Handler: json.New(io.Discard)}), Seeds: f.seeds,
	}, member.WithProbing(200*time.Millisecond, 60*time.Millisecond, time.Second), member.WithSyncPeriod(time.Second))
	p.resume()
	f.t.Cleanup(p.kill)
	return p
}

// resume starts the protocol of the process.
func (p *process) resume() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p.cancel, p.done = cancel, done
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
}

// pause stops the protocol of the process. Its socket stays open.
func (p *process) pause() {
	p.cancel()
	<-p.done
}

// kill stops the process without announcing it.
func (p *process) kill() {
	p.pause()
	_ = p.endpoint.Close() // Closing twice is harmless.
}

// hosts returns the hosts of a service in the directory of the process.
func (p *process) hosts(service string) []string {
	var hosts []string
	for _, n := range p.Nodes(service) {
		hosts = append(hosts, n.Host)
	}
	return hosts
}

// eventually waits until a condition is true.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); {
		if time.Now().After(end) {
			f.t.Fatalf("timed out after %v: %s", waitTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHostFailureAndRecovery kills, pauses, drains and stops hosts while the table
// service is down, and checks that the directories follow and that a restarted host is
// announced once the table is available.
func TestHostFailureAndRecovery(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.table.setDown(true)
	var all []*process
	for i, zone := range []string{"a", "a", "a", "a", "b", "b"} {
		p := f.start(fmt.Sprintf("%s-%d", zone, i), zone, "")
		p.Advertise("stock", false)
		all = append(all, p)
	}
	directoriesList := func(observers []*process, want ...string) func() bool {
		return func() bool {
			return !slices.ContainsFunc(observers, func(p *process) bool { return !slices.Equal(sorted(p.hosts("stock")), want) })
		}
	}
	f.eventually("all directories are complete without the table", func() bool {
		return directoriesList(all[:4], "a-0", "a-1", "a-2", "a-3", "b-4", "b-5")() && len(all[5].hosts("stock")) == 5 // three hosts of zone a
	})
	first := all[1].Self().Incarnation

	all[1].kill()
	f.eventually("a killed host is removed", directoriesList([]*process{all[0], all[2], all[3]}, "a-0", "a-2", "a-3", "b-4", "b-5"))
	f.eventually("a killed host is not alive", func() bool { return !all[0].Alive("a-1") })
	all[1] = f.start("a-1", "a", all[1].address)
	all[1].Advertise("stock", false)
	f.eventually("a restarted host is back", directoriesList(all[:4], "a-0", "a-1", "a-2", "a-3", "b-4", "b-5"))
	n, alive := all[0].LookupNode("a-1")
	is.True(alive && n.Incarnation > first) // same address, new process

	all[2].pause()
	f.eventually("a paused host is removed", directoriesList([]*process{all[0], all[1], all[3]}, "a-0", "a-1", "a-3", "b-4", "b-5"))
	all[2].resume()
	f.eventually("a resumed host is back", directoriesList(all[:4], "a-0", "a-1", "a-2", "a-3", "b-4", "b-5"))

	all[3].Advertise("stock", true)
	f.eventually("a draining host is removed", func() bool {
		return directoriesList(all[:4], "a-0", "a-1", "a-2", "b-4", "b-5")() && directoriesList(all[4:], "a-0", "a-1", "a-2", "b-4", "b-5")()
	})
	is.True(all[0].Alive("a-3")) // it still finishes its requests
	all[3].Leave()
	f.eventually("a host that left is not alive", func() bool { return !all[0].Alive("a-3") })

	f.table.setDown(false)
	f.eventually("the restarted host is announced", func() bool {
		incarnation, revision := f.table.announced("a-1")
		return incarnation == n.Incarnation && revision == 1
	})
}

func sorted(hosts []string) []string {
	slices.Sort(hosts)
	return hosts
}

// TestSubscribe checks that a published value reaches the subscribers of all nodes,
// including those that subscribe or start later, and that a datagram sealed with
// another key has no effect.
func TestSubscribe(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	processes := []*process{f.start("a-0", "a", ""), f.start("a-1", "a", ""), f.start("b-0", "b", "")}
	var mu sync.Mutex
	got := map[string]string{}
	subscribe := func(p *process) {
		p.Subscribe("version", func(key string, payload []byte) {
			mu.Lock()
			defer mu.Unlock()
			got[p.host] = key + "=" + string(payload)
		})
	}
	allReceived := func(want string, count int) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			for _, value := range got {
				if value != want {
					return false
				}
			}
			return len(got) == count
		}
	}
	subscribe(processes[0])
	subscribe(processes[1])
	processes[1].Publish("version", "head", []byte("7"))
	f.eventually("subscribers receive the value", allReceived("head=7", 2))
	subscribe(processes[2])
	late := f.start("a-2", "a", "")
	subscribe(late)
	f.eventually("late subscribers receive the value", allReceived("head=7", 4))

	other := newFleet(t)
	outsider := other.start("a-9", "a", "")
	message := member.Message{
		Format: 1, Kind: member.Gossip, Zone: "a", From: outsider.Self(),
		Rumours: []member.Rumour{{Topic: "version", Key: "head", Version: 1 << 60, Payload: []byte("8")}},
	}
	is.NoErr(outsider.endpoint.SendDatagram(processes[0].address, other.keys.Seal(encode(t, message))))
	message.From.Host = "a-8"
	message.Rumours[0].Version--
	message.Rumours[0].Payload = []byte("9")
	is.NoErr(outsider.endpoint.SendDatagram(processes[0].address, f.keys.Seal(encode(t, message))))
	f.eventually("subscribers receive the next value", allReceived("head=9", 4))
	is.True(!processes[0].Alive("a-9"))
	reserved := processes[0].PublishRumour(member.Rumour{Topic: "zone-heartbeat", Key: "a"}, 0)
	is.True(errors.Is(reserved, member.ErrTopicReserved))
}

func encode(t *testing.T, m member.Message) []byte {
	t.Helper()
	encoded, err := member.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// TestAnnounceOncePerIncarnation checks that the row is written once per incarnation,
// and that the incarnation exceeds the previous one of the host even if the clock of its
// earlier process was ahead.
func TestAnnounceOncePerIncarnation(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	ahead := uint64(time.Now().Add(time.Hour).UnixMilli())
	value, err := cbor.Marshal(membership.Announcement{Host: "a-0", Zone: "a", Incarnation: ahead})
	is.NoErr(err)
	is.NoErr(f.table.Write(context.Background(), platform.Row{Key: membership.RowPrefix + "a-0", Value: value}, 0))
	p := f.start("a-0", "a", "")
	f.eventually("the next incarnation is announced", func() bool {
		incarnation, revision := f.table.announced("a-0")
		return incarnation == ahead+1 && revision == 2
	})
	is.Equal(p.Self().Incarnation, ahead+1)
}
