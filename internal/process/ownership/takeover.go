package ownership

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/process/platform"
	"github.com/bilberryvane/bilberryvane/shard"
)

// rowPrefix starts the keys of the rows of shards.
const rowPrefix = "shard/"

// form asks the members of a new group who they are and begins an attempt with
// those that answer; k.mu must be held.
func (s *Service) form(k *slot, nodes []Node) {
	k.forming = true
	k.since = s.parts.Clock.Now()
	s.submit(func() { s.begin(k, nodes) }, func() { k.forming = false })
}

// begin starts an attempt. Nodes that do not answer are left out of the group.
func (s *Service) begin(k *slot, nodes []Node) {
	silent := map[string]bool{}
	var group []shard.MemberID
	for range candidates {
		chosen := choose(k.spec, nodes, silent)
		group = s.identify(k, chosen, silent)
		if len(group) == len(chosen) {
			break
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forming = false
	k.since = s.parts.Clock.Now()
	if len(group)%2 == 0 || k.taker != nil || !s.worthTaking(k, group) {
		return
	}
	k.taker = shard.NewTakeover(shard.AttemptID(uuid.NewString()), s.id, group, s.terms)
	s.perform(k, k.taker, k.taker.Tick(k.since))
}

// worthTaking reports whether a group may follow the present one. A takeover seals a
// majority of the old group, so as many are live; a smaller group would only be more
// easily lost. A holder changes its group for one that is not smaller and has others.
func (s *Service) worthTaking(k *slot, group []shard.MemberID) bool {
	if len(group) < shard.Majority(len(k.row.Members)) && len(k.row.Members) > 0 {
		return false
	}
	if k.holder == nil || !k.holder.Held(k.since) {
		return true
	}
	members := k.holder.Row().Members
	for _, id := range group {
		if !slices.Contains(members, id) {
			return len(group) >= len(members)
		}
	}
	return false
}

// identify returns the members on the chosen nodes and notes the silent ones.
func (s *Service) identify(k *slot, chosen []Node, silent map[string]bool) []shard.MemberID {
	found := make([]shard.MemberID, len(chosen))
	var asking sync.WaitGroup
	for i, n := range chosen {
		if n.Host == s.self.Host {
			found[i] = s.id
			continue
		}
		asking.Go(func() {
			var status Status
			if s.call(n.Address, KindStatus, statusMessage{Shard: k.name}, &status) == nil && status.ID.Host == n.Host {
				found[i] = status.ID
			}
		})
	}
	asking.Wait()
	group := make([]shard.MemberID, 0, len(found))
	for i, id := range found {
		if id.Host == "" {
			silent[chosen[i].Host] = true
			continue
		}
		group = append(group, id)
	}
	return group
}

// perform does what an attempt asks for; k.mu must be held.
func (s *Service) perform(k *slot, t *shard.Takeover, actions []shard.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			s.submit(func() { s.seal(k, t, *a.Send) }, nil)
		case k.table:
		case a.Write != nil:
			k.table = true
			s.submit(func() { s.write(k, t, *a.Write) }, func() { k.table = false })
		case a.Read:
			k.table = true
			s.submit(func() { s.read(k, t) }, func() { k.table = false })
		}
	}
}

// seal brings one message of an attempt to its member.
func (s *Service) seal(k *slot, t *shard.Takeover, r shard.Request) {
	a, ok := s.ask(k, r)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := s.parts.Clock.Now()
	if a.Status == shard.NotMember && a.From.Incarnation != r.To.Incarnation {
		t.MarkGone(now, r.To)
		return
	}
	s.perform(k, t, t.HandleResponse(now, a))
	s.conclude(k, now)
}

// read reads the row for an attempt. A holder that takes its own shard for a new
// group stops acting here, so that its members need not wait for the lease.
func (s *Service) read(k *slot, t *shard.Takeover) {
	row, revision, err := s.readRow(k.name)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = false
	if err != nil || k.taker != t {
		return
	}
	changed := row.Epoch > k.row.Epoch
	k.row = row
	now := s.parts.Clock.Now()
	if t.Stage() == shard.Reading && changed && !k.urgent {
		// Another node took the shard meanwhile; its holder is given time.
		t.Abandon()
		s.conclude(k, now)
		return
	}
	if t.Stage() == shard.Reading && k.holder != nil {
		s.sendAll(k, k.holder.Release())
	}
	s.perform(k, t, t.HandleRow(now, row, revision))
	s.conclude(k, now)
}

// write makes the one conditional write of an attempt.
func (s *Service) write(k *slot, t *shard.Takeover, w shard.Write) {
	value, err := cbor.Marshal(w.Row)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		next := platform.Row{Key: rowPrefix + k.name, Value: value, ChangeID: string(w.Row.Attempt)}
		err = s.parts.Table.Write(ctx, next, w.Revision)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = false
	s.perform(k, t, t.HandleWriteResult(err == nil))
	s.conclude(k, s.parts.Clock.Now())
}

func (s *Service) readRow(name string) (shard.Row, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	held, err := s.parts.Table.Read(ctx, rowPrefix+name)
	if errors.Is(err, platform.ErrNotFound) {
		return shard.Row{}, 0, nil
	}
	if err != nil {
		return shard.Row{}, 0, err
	}
	var row shard.Row
	err = cbor.Unmarshal(held.Value, &row)
	return row, held.Revision, err
}

// conclude ends an attempt that is over, or that lasts too long; k.mu must be held.
func (s *Service) conclude(k *slot, now time.Time) {
	t := k.taker
	if t == nil {
		return
	}
	switch t.Stage() {
	case shard.Won:
		s.won(k, t, now)
	case shard.Lost, shard.Abandoned:
		s.fail(k, now, "another node took the shard")
	default:
		if now.Sub(k.since) < takeLimit {
			return
		}
		missing := t.Missing()
		actions, given := t.Abandon()
		if !given {
			return
		}
		s.perform(k, t, actions)
		s.fail(k, now, reasonOf(missing))
	}
}

// reasonOf tells what an attempt waited for in vain.
func reasonOf(missing []shard.MemberID) string {
	if len(missing) == 0 {
		return "the platform did not answer in time"
	}
	hosts := make([]string, 0, len(missing))
	for _, id := range missing {
		hosts = append(hosts, id.Host)
	}
	return "members did not answer in time: " + strings.Join(hosts, ", ")
}

// won makes the holder of an attempt that won.
func (s *Service) won(k *slot, t *shard.Takeover, now time.Time) {
	if k.holder != nil {
		s.drop(k)
	}
	row := t.Row()
	k.row = row
	k.taker = nil
	k.urgent = false
	k.since = now
	k.heard = now
	k.incomplete = time.Time{}
	k.holder = shard.NewHolder(now, row, t.Records(), s.terms)
	k.began = time.Time{}
	if row.Lossy {
		s.parts.Log.Emit(event.ShardRecordsLost, log.Fields{"shard": k.name, "epoch": uint64(row.Epoch)})
	}
	s.sendAll(k, k.holder.Tick(now))
}

// fail ends an attempt without success. A holder that had stopped acting for it is
// gone too.
func (s *Service) fail(k *slot, now time.Time, reason string) {
	s.parts.Log.Emit(event.ShardNotTaken, log.Fields{"shard": k.name, "reason": reason})
	k.taker = nil
	k.urgent = false
	k.heard = now
	if k.holder != nil && !k.holder.Held(now) {
		s.drop(k)
	}
}
