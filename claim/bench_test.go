package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bilberryvane/bilberryvane/claim"
	"github.com/bilberryvane/bilberryvane/shard"
)

// BenchmarkClaim claims and completes work at a holder with five members, all in one
// goroutine and without a network. bytes/claim is the heap that the holder, the table
// and five members retain for a completed claim with an answer of 200 bytes. All of
// them share the bytes of key and answer.
func BenchmarkClaim(b *testing.B) {
	config := shard.NewConfig()
	now := time.Unix(1000, 0)
	row := shard.Row{Epoch: 1, Attempt: "one"}
	var group []*shard.Member
	for i := range members {
		m := shard.NewMember(shard.MemberID{Host: fmt.Sprint("host-", i), Incarnation: "1"}, config)
		m.Handle(now, shard.Request{Kind: shard.Copy, To: m.ID(), Epoch: 1, Attempt: "one"})
		group = append(group, m)
		row.Members = append(row.Members, m.ID())
	}
	h := shard.NewHolder(now, row, nil, config)
	send := func(requests []shard.Request) {
		for i, r := range requests {
			h.HandleResponse(group[i].Handle(now, r))
		}
	}
	send(h.Tick(now))
	table, err := claim.NewTable(now, h)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		n++
		id := claim.WorkID{Account: "franchisee", Key: fmt.Sprintf("%036d", n)}
		r, err := table.Claim(now, id, "attempt", time.Second)
		if err != nil {
			b.Fatal(err)
		}
		send(r.Requests)
		r, err = table.Complete(now, id, "attempt", make([]byte, 200))
		if err != nil {
			b.Fatal(err)
		}
		send(r.Requests)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/claim")
	runtime.KeepAlive(table)
	runtime.KeepAlive(group)
}
