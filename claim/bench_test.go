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
// goroutine and without a network. bytes/claim is the heap that the holder, the ledger
// and five members keep for a completed claim with an answer of 200 bytes, where all
// of them share the bytes of key and answer.
func BenchmarkClaim(b *testing.B) {
	terms := shard.NewConfig()
	now := time.Unix(1000, 0)
	row := shard.Row{Epoch: 1, Attempt: "one"}
	var group []*shard.Member
	for i := range members {
		m := shard.NewMember(shard.MemberID{Host: fmt.Sprint("host-", i), Incarnation: "1"}, terms)
		m.Handle(now, shard.Request{Kind: shard.Copy, To: m.ID(), Epoch: 1, Attempt: "one"})
		group = append(group, m)
		row.Members = append(row.Members, m.ID())
	}
	h := shard.NewHolder(now, row, nil, terms)
	exchange := func(requests []shard.Request) {
		for i, r := range requests {
			h.HandleResponse(group[i].Handle(now, r))
		}
	}
	exchange(h.Tick(now))
	ledger, err := claim.NewLedger(now, h)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		n++
		name := claim.Name{Account: "franchisee", Key: fmt.Sprintf("%036d", n)}
		r, err := ledger.Claim(now, name, "attempt", time.Second)
		if err != nil {
			b.Fatal(err)
		}
		exchange(r.Requests)
		r, err = ledger.Complete(now, name, "attempt", make([]byte, 200))
		if err != nil {
			b.Fatal(err)
		}
		exchange(r.Requests)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/claim")
	runtime.KeepAlive(ledger)
	runtime.KeepAlive(group)
}
