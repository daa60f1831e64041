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

// RowPrefix is the group of rows in which nodes announce themselves; the host's
// name follows.
const RowPrefix = "node/"

const (
	// announcePeriod is the time between two looks whether there is something to
	// announce, and the first wait after a failure.
	announcePeriod = time.Second
	// announceBackoff bounds the wait after failures.
	announceBackoff = 30 * time.Second
	// lonelyTime is how long a node that knows no other waits before it reads the
	// addresses of others from the table.
	lonelyTime = 5 * time.Second
	// tableSeeds bounds the addresses taken from the table.
	tableSeeds = 32
)

// Table is the part of the table service that announcements need.
type Table interface {
	Read(ctx context.Context, key string) (platform.Row, error)
	Write(ctx context.Context, next platform.Row, expectedRevision uint64) error
	List(ctx context.Context, prefix string) ([]platform.Row, error)
}

// An Announcement is the value of a node's row: proof that the incarnations of the
// host before it have ended.
type Announcement struct {
	// Host is the unique name of the host; Zone its availability zone.
	Host string `cbor:"1,keyasint"`
	Zone string `cbor:"2,keyasint"`
	// Address is the node's peer address.
	Address string `cbor:"3,keyasint"`
	// Incarnation identifies the life of the process.
	Incarnation uint64 `cbor:"4,keyasint"`
}

// announce writes the node's row once per incarnation, and reads the addresses of
// others while the node knows nobody. Failures are tried again.
func (m *Membership) announce(ctx context.Context) {
	if m.table == nil {
		return
	}
	wait := announcePeriod
	lonelyAt := m.clock.Now().Add(lonelyTime)
	for {
		select {
		case <-time.After(wait/2 + time.Duration(rand.Int63n(int64(wait)))):
		case <-ctx.Done():
			return
		}
		err := m.announceOnce(ctx)
		if now := m.clock.Now(); m.lonely() && now.After(lonelyAt) {
			lonelyAt = now.Add(announceBackoff)
			err = errors.Join(err, m.seedFromTable(ctx))
		}
		if err == nil {
			wait = announcePeriod
			continue
		}
		wait = min(2*wait, announceBackoff)
		m.log.Emit(event.AnnounceFailed, log.Fields{"error": err.Error()})
	}
}

// announceOnce writes the row if the table does not hold the incarnation yet. A
// row with a greater incarnation, left by a process whose clock was ahead, raises
// the node's own.
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
	var held Announcement
	if err == nil && cbor.Unmarshal(row.Value, &held) == nil && held.Incarnation >= self.Incarnation {
		m.step(func(g *member.Group, now time.Time) member.Output { return g.RaiseIncarnation(held.Incarnation, now) })
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

// lonely reports whether the node knows no other member of its zone.
func (m *Membership) lonely() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.group.Members()) <= 1
}

// seedFromTable takes addresses of other nodes from the table, some at random,
// those of the own zone first.
func (m *Membership) seedFromTable(ctx context.Context) error {
	rows, err := m.table.List(ctx, RowPrefix)
	if err != nil {
		return fmt.Errorf("list nodes: %w", err)
	}
	rand.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []string
	for _, r := range rows {
		var a Announcement
		if cbor.Unmarshal(r.Value, &a) != nil {
			continue
		}
		if a.Zone == m.group.Zone() {
			near = append(near, a.Address)
			continue
		}
		far = append(far, a.Address)
	}
	addresses := append(near, far...)
	m.group.AddSeeds(addresses[:min(len(addresses), tableSeeds)]...)
	return nil
}
