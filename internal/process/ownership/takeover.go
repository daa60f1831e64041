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

// rowPrefix is the key prefix of the rows of shards.
const rowPrefix = "shard/"

// startTakeover queries the nodes of a new group for their member IDs and starts an attempt
// with those that respond; st.mu must be held.
func (s *Service) startTakeover(st *shardState, nodes []Node) {
	st.forming = true
	st.lastChange = s.deps.Clock.Now()
	s.submit(func() { s.createTakeover(st, nodes) }, func() { st.forming = false })
}

// createTakeover starts an attempt. Nodes that do not respond are left out of the group.
func (s *Service) createTakeover(st *shardState, nodes []Node) {
	unresponsive := map[string]bool{}
	var group []shard.MemberID
	for range maxCandidates {
		chosen := chooseGroup(st.spec, nodes, unresponsive)
		group = s.queryMembers(st, chosen, unresponsive)
		if len(group) == len(chosen) {
			break
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.forming = false
	st.lastChange = s.deps.Clock.Now()
	if len(group)%2 == 0 || st.takeover != nil || !s.acceptsGroup(st, group) {
		return
	}
	st.takeover = shard.NewTakeover(shard.AttemptID(uuid.NewString()), s.memberID, group, s.config)
	s.perform(st, st.takeover, st.takeover.Tick(st.lastChange))
}

// acceptsGroup reports whether a group may replace the current one. A takeover seals a
// majority of the old group, so at least that many nodes are live; a smaller group would
// only be lost more easily. A holder replaces its group only by one that is not smaller and
// has a new member.
func (s *Service) acceptsGroup(st *shardState, group []shard.MemberID) bool {
	if len(group) < shard.Majority(len(st.row.Members)) && len(st.row.Members) > 0 {
		return false
	}
	if st.holder == nil || !st.holder.Held(st.lastChange) {
		return true
	}
	members := st.holder.Row().Members
	for _, id := range group {
		if !slices.Contains(members, id) {
			return len(group) >= len(members)
		}
	}
	return false
}

// queryMembers returns the members on the chosen nodes, and adds the hosts that do not
// respond to unresponsive.
func (s *Service) queryMembers(st *shardState, chosen []Node, unresponsive map[string]bool) []shard.MemberID {
	found := make([]shard.MemberID, len(chosen))
	var wg sync.WaitGroup
	for i, n := range chosen {
		if n.Host == s.self.Host {
			found[i] = s.memberID
			continue
		}
		wg.Go(func() {
			var status Status
			if s.call(n.Address, KindStatus, shardRequest{Shard: st.name}, &status) == nil && status.ID.Host == n.Host {
				found[i] = status.ID
			}
		})
	}
	wg.Wait()
	group := make([]shard.MemberID, 0, len(found))
	for i, id := range found {
		if id.Host == "" {
			unresponsive[chosen[i].Host] = true
			continue
		}
		group = append(group, id)
	}
	return group
}

// perform executes the actions of an attempt; st.mu must be held.
func (s *Service) perform(st *shardState, t *shard.Takeover, actions []shard.Action) {
	for _, a := range actions {
		switch {
		case a.Send != nil:
			s.submit(func() { s.sendRequest(st, t, *a.Send) }, nil)
		case st.tableBusy:
		case a.Write != nil:
			st.tableBusy = true
			s.submit(func() { s.executeWrite(st, t, *a.Write) }, func() { st.tableBusy = false })
		case a.Read:
			st.tableBusy = true
			s.submit(func() { s.executeRead(st, t) }, func() { st.tableBusy = false })
		}
	}
}

// sendRequest sends one request of an attempt to its member.
func (s *Service) sendRequest(st *shardState, t *shard.Takeover, r shard.Request) {
	resp, ok := s.sendToMember(st, r)
	if !ok {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := s.deps.Clock.Now()
	if resp.Status == shard.NotMember && resp.From.Incarnation != r.To.Incarnation {
		t.MarkGone(now, r.To)
		return
	}
	s.perform(st, t, t.HandleResponse(now, resp))
	s.finishTakeover(st, now)
}

// executeRead reads the row for an attempt. A holder that takes over its own shard to change
// the group releases its lease here, so that the members do not wait for it to expire.
func (s *Service) executeRead(st *shardState, t *shard.Takeover) {
	row, revision, err := s.readRow(st.name)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.tableBusy = false
	if err != nil || st.takeover != t {
		return
	}
	changed := row.Epoch > st.row.Epoch
	st.row = row
	now := s.deps.Clock.Now()
	if t.Stage() == shard.Reading && changed && !st.handover {
		// Another node took over the shard; give its holder time to get a lease.
		t.Abandon()
		s.finishTakeover(st, now)
		return
	}
	if t.Stage() == shard.Reading && st.holder != nil {
		s.sendAll(st, st.holder.Release())
	}
	s.perform(st, t, t.HandleRow(now, row, revision))
	s.finishTakeover(st, now)
}

// executeWrite performs the conditional write of an attempt.
func (s *Service) executeWrite(st *shardState, t *shard.Takeover, w shard.Write) {
	value, err := cbor.Marshal(w.Row)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		next := platform.Row{Key: rowPrefix + st.name, Value: value, ChangeID: string(w.Row.Attempt)}
		err = s.deps.Table.Write(ctx, next, w.Revision)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.tableBusy = false
	s.perform(st, t, t.HandleWriteResult(err == nil))
	s.finishTakeover(st, s.deps.Clock.Now())
}

func (s *Service) readRow(name string) (shard.Row, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
	defer cancel()
	stored, err := s.deps.Table.Read(ctx, rowPrefix+name)
	if errors.Is(err, platform.ErrNotFound) {
		return shard.Row{}, 0, nil
	}
	if err != nil {
		return shard.Row{}, 0, err
	}
	var row shard.Row
	err = cbor.Unmarshal(stored.Value, &row)
	return row, stored.Revision, err
}

// finishTakeover ends an attempt that is done or has timed out; st.mu must be held.
func (s *Service) finishTakeover(st *shardState, now time.Time) {
	t := st.takeover
	if t == nil {
		return
	}
	switch t.Stage() {
	case shard.Won:
		s.becomeHolder(st, t, now)
	case shard.Lost, shard.Abandoned:
		s.failTakeover(st, now, "another node took the shard")
	default:
		if now.Sub(st.lastChange) < takeoverTimeout {
			return
		}
		missing := t.Missing()
		actions, abandoned := t.Abandon()
		if !abandoned {
			return
		}
		s.perform(st, t, actions)
		s.failTakeover(st, now, timeoutReason(missing))
	}
}

// timeoutReason describes what a timed out attempt was waiting for.
func timeoutReason(missing []shard.MemberID) string {
	if len(missing) == 0 {
		return "the platform did not answer in time"
	}
	hosts := make([]string, 0, len(missing))
	for _, id := range missing {
		hosts = append(hosts, id.Host)
	}
	return "members did not answer in time: " + strings.Join(hosts, ", ")
}

// becomeHolder creates the holder for an attempt that won.
func (s *Service) becomeHolder(st *shardState, t *shard.Takeover, now time.Time) {
	if st.holder != nil {
		s.dropHolder(st)
	}
	row := t.Row()
	st.row = row
	st.takeover = nil
	st.handover = false
	st.lastChange = now
	st.holderSeen = now
	st.incompleteSince = time.Time{}
	st.holder = shard.NewHolder(now, row, t.Records(), s.config)
	st.heldSince = time.Time{}
	if row.Lossy {
		s.deps.Log.Emit(event.ShardRecordsLost, log.Fields{"shard": st.name, "epoch": uint64(row.Epoch)})
	}
	s.sendAll(st, st.holder.Tick(now))
}

// failTakeover ends an attempt that did not win. If it released the lease of this node, the
// holder is dropped too.
func (s *Service) failTakeover(st *shardState, now time.Time, reason string) {
	s.deps.Log.Emit(event.ShardNotTaken, log.Fields{"shard": st.name, "reason": reason})
	st.takeover = nil
	st.handover = false
	st.holderSeen = now
	if st.holder != nil && !st.holder.Held(now) {
		s.dropHolder(st)
	}
}
