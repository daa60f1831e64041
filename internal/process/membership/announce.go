package membership

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/member"
)

// RowPrefix is the key prefix of the rows in which nodes announce themselves. It is
// followed by the host name.
const RowPrefix = "node/"

const (
	// announceInterval is the mean interval between checks for a pending announcement,
	// and the initial retry delay after a failure.
	announceInterval = time.Second
	// maxAnnounceBackoff is the maximum retry delay after failures.
	maxAnnounceBackoff = 30 * time.Second
	// isolationTimeout is how long a node without other known members waits before it
	// reads their addresses from the table.
	isolationTimeout = 5 * time.Second
	// maxTableSeeds is the maximum number of addresses taken from the table.
	maxTableSeeds = 32
)

// Table is the subset of the table service that announcements use.
type Table interface {
	Read(ctx context.Context, key string) (platform.Row, error)
	Write(ctx context.Context, next platform.Row, expectedRevision uint64) error
	List(ctx context.Context, prefix string) ([]platform.Row, error)
}

// An Announcement is the value of a node's row. It proves that all earlier incarnations
// of the host have ended.
type Announcement struct {
	// Host is the unique name of the host. Zone is its availability zone.
	Host string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Address is the node's peer address.
	Address string `cbor:"3,keyasint"`
	// Incarnation identifies the run of the process. Later runs have higher values.
	Incarnation uint64 `cbor:"4,keyasint"`
}

// announce writes the node's row once per incarnation, and reads the addresses of other
// nodes while no other member is known. It retries failures with backoff.
func (m *Membership) announce(ctx context.Context) {
	if m.table == nil {
		return
	}
	delay := announceInterval
	seedAt := m.clock.Now().Add(isolationTimeout)
	for {
		select {
		case <-time.After(delay/2 + time.Duration(rand.Int63n(int64(delay)))):
		case <-ctx.Done():
			return
		}
		err := m.announceOnce(ctx)
		if now := m.clock.Now(); m.isolated() && now.After(seedAt) {
			seedAt = now.Add(maxAnnounceBackoff)
			err = errors.Join(err, m.seedFromTable(ctx))
		}
		if err == nil {
			delay = announceInterval
			continue
		}
		delay = min(2*delay, maxAnnounceBackoff)
		m.log.Emit(event.AnnounceFailed, log.Fields{"error": err.Error()})
	}
}

// announceOnce writes the row unless the incarnation is already announced. If the row
// has the same or a higher incarnation, written by a process whose clock was ahead, the
// node first raises its own incarnation above it.
func (m *Membership) announceOnce(ctx context.Context) error {
	self := m.Self()
	m.mu.Lock()
	done := m.announced == self.Incarnation
	zone := m.group.Zone()
	m.mu.Unlock()
	if done {
		return nil
	}
	row, err := m.table.Read(ctx, RowPrefix+self.Host)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read own row: %w", err)
	}
	var stored Announcement
	if err == nil && cbor.Unmarshal(row.Value, &stored) == nil && stored.Incarnation >= self.Incarnation {
		m.step(func(g *member.Group, now time.Time) member.Output { return g.RaiseIncarnation(stored.Incarnation, now) })
		self = m.Self()
	}
	value, err := cbor.Marshal(Announcement{Host: self.Host, Zone: zone, Address: self.Address, Incarnation: self.Incarnation})
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	next := platform.Row{Key: RowPrefix + self.Host, Value: value, ChangeID: uuid.NewString()}
	if err := m.table.Write(ctx, next, row.Revision); err != nil {
		return fmt.Errorf("write own row: %w", err)
	}
	m.mu.Lock()
	m.announced = self.Incarnation
	m.mu.Unlock()
	m.log.Emit(event.NodeAnnounced, log.Fields{"incarnation": self.Incarnation})
	return nil
}

// isolated reports whether the node knows no other member of its zone.
func (m *Membership) isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.group.Members()) <= 1
}

// seedFromTable adds a random selection of node addresses from the table as seeds. Nodes
// of the own zone come first.
func (m *Membership) seedFromTable(ctx context.Context) error {
	rows, err := m.table.List(ctx, RowPrefix)
	if err != nil {
		return fmt.Errorf("list nodes: %w", err)
	}
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	m.mu.Lock()
	defer m.mu.Unlock()
	var ownZone, otherZones []string
	for _, r := range rows {
		var a Announcement
		if cbor.Unmarshal(r.Value, &a) != nil {
			continue
		}
		if a.Zone == m.group.Zone() {
			ownZone = append(ownZone, a.Address)
			continue
		}
		otherZones = append(otherZones, a.Address)
	}
	addresses := append(ownZone, otherZones...)
	m.group.AddSeeds(addresses[:min(len(addresses), maxTableSeeds)]...)
	return nil
}
