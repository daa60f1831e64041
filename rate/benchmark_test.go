package rate_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/bilberryvane/bilberryvane/rate"
)

type uniformShares struct{ limit rate.Limit }

// Share returns the same limit for every account.
func (e uniformShares) Share(string) (rate.Limit, bool) { return e.limit, true }

type noReceivers struct{}

// Receivers returns no receivers.
func (noReceivers) Receivers(string) []string { return nil }

// BenchmarkGrant measures a holder's answer to one GrantRequest with many children.
func BenchmarkGrant(b *testing.B) {
	for _, children := range []int{10, 40, 400} {
		b.Run(fmt.Sprintf("askers=%d", children), func(b *testing.B) {
			tenure := rate.Tenure{From: start, Until: start.Add(1000 * time.Hour)}
			bucket := rate.NewHolderBucket(tenure, rate.NewLimit(1e6, 1e6))
			buckets := make([]*rate.Bucket, children)
			names := make([]string, children)
			for i := range buckets {
				buckets[i] = rate.NewBucket()
				names[i] = fmt.Sprint(i)
			}
			now := start.Add(time.Minute)
			want := rate.Want{Demand: rate.Tokens(100), Need: rate.Token, Prefetch: 10 * rate.Token}
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				n := i % children
				request := buckets[n].RequestGrant(now, account, holder, want)
				g, _ := bucket.Serve(now, names[n], request)
				buckets[n].Apply(now, holder, g)
			}
		})
	}
}

// BenchmarkTake measures the admission of a request when tokens are available.
func BenchmarkTake(b *testing.B) {
	bucket := rate.NewHolderBucket(rate.Tenure{From: start, Until: start.Add(1000 * time.Hour)}, rate.NewLimit(1e6, 1e6))
	now := start.Add(time.Minute)
	for range b.N {
		now = now.Add(time.Microsecond)
		bucket.Take(now, rate.Token)
	}
}

// BenchmarkHolderMemory reports the memory per account, in bytes, of a holder with 40
// sub-holders.
func BenchmarkHolderMemory(b *testing.B) {
	const accounts, children = 10_000, 40
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := rate.NewHolderLimiter("holder", rate.Tenure{From: start, Until: start.Add(time.Hour)}, uniformShares{limit}, noReceivers{})
		now := start.Add(time.Minute)
		for i := range accounts {
			name := fmt.Sprint("account-", i)
			for j := range children {
				l.Serve(now, rate.Request{Sender: fmt.Sprint(j), Receiver: holder, GrantRequests: []rate.GrantRequest{{Account: name, Sequence: 1, Need: rate.Token / children}}})
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/accounts, "bytes/account")
		runtime.KeepAlive(l)
	}
}
