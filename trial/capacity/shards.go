package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/claim"
	"github.com/bilberryvane/bilberryvane/shard"
)

// Parameters of the shard measurements.
const (
	claimMembers  = 5
	answerBytes   = 200
	leaseDuration = 30 * time.Second
)

// Shards measures packages shard and claim: a holder with five members.
func Shards(w io.Writer) error {
	series := []Series{
		{Name: "heap bytes of one member", Per: "kept claim with an answer of 200 bytes"},
		{Name: "heap bytes of the holder with its ledger", Per: "kept claim with an answer of 200 bytes"},
		{Name: "bytes of all messages", Per: "claim and completion"},
		{Name: "processor microseconds at the holder and five members, with encoding", Per: "claim and completion"},
	}
	for _, claims := range []int{1000, 4000, 16000} {
		values, err := measureClaims(claims)
		if err != nil {
			return err
		}
		for i, v := range values {
			series[i].Points = append(series[i].Points, Point{Size: float64(claims), Value: v})
		}
	}
	leases := Series{Name: "bytes a second of lease renewals, holder and five members", Per: "shard"}
	for _, shards := range []int{1, 4, 16} {
		total := 0.0
		for range shards {
			g := newGroup()
			if err := g.renew(leaseDuration); err != nil {
				return err
			}
			total += float64(g.bytes) / leaseDuration.Seconds()
		}
		leases.Points = append(leases.Points, Point{Size: float64(shards), Value: total})
	}
	return WriteTable(w, "Shards and claims", append(series, leases))
}

// group is a holder with its members, joined by encoded messages.
type group struct {
	now     time.Time
	holder  *shard.Holder
	ledger  *claim.Table
	members []*shard.Member
	bytes   int
}

// newGroup returns a holder in effect.
func newGroup() *group {
	terms := shard.NewConfig()
	g := &group{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	row := shard.Row{Epoch: 1, Attempt: "2f0c8a52-93f1-4f0e-a1f4-5a8f6f3f0d11"}
	for i := range claimMembers {
		id := shard.MemberID{Host: fmt.Sprintf("host-%05d", i), Incarnation: fmt.Sprint(incarnationStart)}
		m := shard.NewMember(id, terms)
		m.Handle(g.now, shard.Request{Kind: shard.Copy, To: id, Epoch: 1, Attempt: row.Attempt})
		g.members = append(g.members, m)
		row.Members = append(row.Members, id)
	}
	g.holder = shard.NewHolder(g.now, row, nil, terms)
	return g
}

// exchange carries requests to the members and their answers back.
func (g *group) exchange(requests []shard.Request) error {
	for _, r := range requests {
		for _, m := range g.members {
			if m.ID() != r.To {
				continue
			}
			var request shard.Request
			if err := g.carry(r, &request); err != nil {
				return err
			}
			var answer shard.Response
			if err := g.carry(m.Handle(g.now, request), &answer); err != nil {
				return err
			}
			g.holder.HandleResponse(answer)
		}
	}
	return nil
}

// carry encodes and decodes a message and counts its bytes.
func (g *group) carry(from, to any) error {
	encoded, err := cbor.Marshal(from)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	g.bytes += len(encoded)
	if err := cbor.Unmarshal(encoded, to); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// renew lets the holder keep its lease for a time.
func (g *group) renew(duration time.Duration) error {
	const step = 50 * time.Millisecond
	for end := g.now.Add(duration); g.now.Before(end); g.now = g.now.Add(step) {
		if err := g.exchange(g.holder.Tick(g.now)); err != nil {
			return err
		}
	}
	return nil
}

// measureClaims claims and completes work and returns the values of Shards.
func measureClaims(claims int) ([]float64, error) {
	g := newGroup()
	if err := g.exchange(g.holder.Tick(g.now)); err != nil {
		return nil, err
	}
	var err error
	if g.ledger, err = claim.NewTable(g.now, g.holder); err != nil {
		return nil, fmt.Errorf("make ledger: %w", err)
	}
	g.bytes = 0
	memory, used := heap(), processorTime()
	for i := range claims {
		if err := g.run(i); err != nil {
			return nil, err
		}
	}
	used = processorTime() - used
	all := heap() - memory
	held := g.members
	g.members = nil
	g.holder.Tick(g.now)
	clear(held)
	withoutMembers := heap() - memory
	runtime.KeepAlive(g)
	return []float64{
		(all - withoutMembers) / claimMembers, withoutMembers,
		float64(g.bytes), float64(used.Microseconds()),
	}, nil
}

// run claims and completes one piece of work.
func (g *group) run(i int) error {
	name := claim.WorkID{Account: "account-000001", Key: fmt.Sprintf("%036d", i)}
	attempt := fmt.Sprintf("%036d", i)
	claimed, err := g.ledger.Claim(g.now, name, attempt, time.Second)
	if err != nil {
		return fmt.Errorf("claim: %w", err)
	}
	if err := g.exchange(claimed.Requests); err != nil {
		return err
	}
	completed, err := g.ledger.Complete(g.now, name, attempt, make([]byte, answerBytes))
	if err != nil {
		return fmt.Errorf("complete: %w", err)
	}
	return g.exchange(completed.Requests)
}
