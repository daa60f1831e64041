package configuration_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

// largeDocument returns a configuration with many services, each with a class, and
// many client accounts, each with a key.
func largeDocument(services, accounts int) []byte {
	var b strings.Builder
	for i := range services {
		fmt.Fprintf(&b, "[service service-%d]\n[class class-%d]\nservice = service-%d\npath-prefix = /work\ntarget = 300ms\nimportance = 3\n", i, i, i)
	}
	for i := range accounts {
		fmt.Fprintf(&b, "[account account-%d]\nrate = 100\nburst = 50\n", i)
		fmt.Fprintf(&b, "[key key-%d]\naccount = account-%d\nhash = %s\n", i, i, key.HashOf(fmt.Sprint(i)))
	}
	return []byte(b.String())
}

// BenchmarkParse measures the time to parse a configuration and the memory that its
// snapshot retains, for several numbers of client accounts.
func BenchmarkParse(b *testing.B) {
	for _, accounts := range []int{100, 1000, 10_000} {
		content := largeDocument(370, accounts)
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var s configuration.Snapshot
			before := heapBytes()
			for b.Loop() {
				var err error
				if s, err = configuration.Parse("large.ini", content); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/1024, "kept-KB")
			runtime.KeepAlive(s)
			b.ReportMetric(float64(len(content))/1024, "content-KB")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkLookup measures the lookups of one request in a snapshot.
func BenchmarkLookup(b *testing.B) {
	s, err := configuration.Parse("large.ini", largeDocument(370, 10_000))
	if err != nil {
		b.Fatal(err)
	}
	b.Run("key", func(b *testing.B) {
		for b.Loop() {
			if _, ok := s.KeyByHash(key.HashOf("77")); !ok {
				b.Fatal("key not found")
			}
		}
	})
	b.Run("class", func(b *testing.B) {
		for b.Loop() {
			if _, ok := s.Classify("service-77", "GET", "/jobs/of/today?x=1"); !ok {
				b.Fatal("class not found")
			}
		}
	})
}
