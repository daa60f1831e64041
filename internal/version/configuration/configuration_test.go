package configuration_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryvane/bilberryvane/internal/version/class"
	"github.com/bilberryvane/bilberryvane/internal/version/configuration"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

const secret = "bbv-0123456789abcdefghijklmnopqrstuvwxyz-_ABCDE"

var fullDocument = fmt.Sprintf(`# services
[service orders]
calls = stock, billing
[service stock]
[service billing] ; last
[class order]
service = orders
method = POST
path-prefix = /orders
target = 300ms
importance = 5
[class browse]
service = orders
target = 2s ; lenient
importance = 1
idempotent = true
open = true
[class look]
service = orders
method = GET
path-prefix = /orders/recent
target = 1s
importance = 2
[account nord]
rate = 100
burst = 50
[key nord-tablets]
account = nord
hash = %s
[zone herning-1]
share = 0.34
`, key.HashOf(secret))

func TestParseFullDocument(t *testing.T) {
	is := is.New(t)
	s, err := configuration.Parse("shop.ini", []byte(fullDocument))
	is.NoErr(err)
	s = s.WithVersion(7)
	is.Equal(s.Version(), uint64(7))
	orders, ok := s.Service("orders")
	is.True(ok)
	is.Equal(orders.Calls, []string{"stock", "billing"})
	a, ok := s.Account("nord")
	is.True(ok)
	is.Equal([]float64{a.Rate, a.Burst}, []float64{100, 50})
	k, ok := s.KeyByHash(key.HashOf(secret))
	is.True(ok && s.KeyActive(k.ID) && k.Account == "nord")
	is.True(!s.KeyActive("other"))
	is.Equal(s.ZoneShare("herning-1"), 0.34)
	is.Equal(s.ZoneShare("herning-2"), 0.0)
	is.Equal(len(s.Classes()), 3)
	_, ok = configuration.Snapshot{}.Account("nord")
	is.True(!ok) // the zero snapshot is empty
}

func TestClassify(t *testing.T) {
	s, err := configuration.Parse("shop.ini", []byte(fullDocument))
	is.New(t).NoErr(err)
	for _, tt := range []struct{ method, path, want string }{
		{"POST", "/orders", "order"},
		{"POST", "/orders/12?x=/..", "order"},
		{"POST", "/%6frders/12", "order"},
		{"POST", "/orders-old", "browse"},
		{"GET", "/orders/recent", "look"},
		{"POST", "/orders/recent", "order"},
		{"GET", "/orders", "browse"},
		{"GET", "", "browse"},
		{"POST", "/bundles/../orders", ""},
		{"POST", "/bundles/%2e%2e/orders", ""},
		{"POST", "/bundles%2f..%2Forders", ""},
		{"POST", "//orders", ""},
		{"POST", "/./orders", ""},
		{"POST", `/bundles\..\orders`, ""},
		{"POST", "/bundles/..;x/orders", ""},
		{"POST", "/%zz", ""},
		{"POST", "orders", ""},
	} {
		t.Run(tt.method+" "+tt.path, func(t *testing.T) {
			c, ok := s.Classify("orders", tt.method, tt.path)
			is.New(t).Equal(c.Name, tt.want)
			is.New(t).Equal(ok, tt.want != "")
		})
	}
}

// Classify picks the class with the longest matching prefix, in any document order
// of the classes.
func TestClassifyPicksLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segments := rapid.SampledFrom([]string{"a", "b", "ab"})
		paths := rapid.Map(rapid.SliceOfN(segments, 0, 3), func(s []string) string { return "/" + strings.Join(s, "/") })
		prefixes := rapid.SliceOfDistinct(paths, rapid.ID[string]).Draw(t, "prefixes")
		var b strings.Builder
		b.WriteString("[service s]\n")
		for i, prefix := range prefixes {
			fmt.Fprintf(&b, "[class c%d]\nservice = s\npath-prefix = %s\ntarget = 1s\nimportance = 1\n", i, prefix)
		}
		s, err := configuration.Parse("c.ini", []byte(b.String()))
		if err != nil {
			t.Fatal(err)
		}
		path := paths.Draw(t, "path")
		want := ""
		for _, prefix := range prefixes {
			withSlash := strings.TrimSuffix(prefix, "/") + "/"
			if strings.HasPrefix(strings.TrimSuffix(path, "/")+"/", withSlash) && len(prefix) > len(want) {
				want = prefix
			}
		}
		c, ok := s.Classify("s", "GET", path)
		if c.PathPrefix != want || ok != (want != "") {
			t.Fatalf("path %q has prefix %q, want %q", path, c.PathPrefix, want)
		}
	})
}

func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("testdata/faulty.ini")
	is.NoErr(err)
	_, err = configuration.Parse("shop.ini", content)
	var faults document.Faults
	is.True(errors.As(err, &faults))
	want := []struct {
		line   int
		reason string
	}{
		{1, "before the first section"},
		{3, `calls undefined service "stock"`},
		{4, `section "service orders" is already defined at line 2`},
		{5, `unknown section "servce"`},
		{6, `is missing key "service"`},
		{7, `"soon" is not a duration`},
		{8, "6 is not between 1 and 5"},
		{9, `unknown key "weight"`},
		{11, `undefined service "nowhere"`},
		{12, "not between 1ms and 10m0s"},
		{14, "neither true nor false"},
		{15, `key "open" is already defined in this section at line 14`},
		{16, `is missing key "burst"`},
		{17, "0 is not between 0.01"},
		{19, `undefined account "sued"`},
		{23, `keys "a" and "b" have the same hash`},
		{26, "not the hexadecimal SHA-256"},
		{27, "neither a section nor a key"},
		{31, "sum to more than 1"},
		{33, `undefined service "nowhere"`},
		{36, "not a canonical path"},
		{37, `method "FETCH"`},
		{42, `overlaps class "late3"`},
		{46, "needs a name"},
		{47, "closing bracket"},
	}
	for i, w := range want {
		is.True(i < len(faults))
		is.Equal(faults[i].Line, w.line)
		is.True(strings.Contains(faults[i].Reason, w.reason)) // the reason is the expected one
	}
	is.Equal(len(faults), len(want))
	is.True(!strings.Contains(err.Error(), secret[:12])) // a pasted key is redacted
}

func TestDocsMatchKeys(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/SETTINGS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), configuration.Markdown())) // docs/SETTINGS.md holds the table of keys
	_, example, _ := strings.Cut(string(page), "```ini\n")
	example, _, _ = strings.Cut(example, "```")
	s, err := configuration.Parse("SETTINGS.md", []byte(example))
	is.NoErr(err)
	is.Equal(len(s.Classes()), 2)
}

// FuzzParse checks that no document crashes the parser, that each fault has a line
// of the document, and that accepted values are in range.
func FuzzParse(f *testing.F) {
	f.Add([]byte(fullDocument))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := configuration.Parse("f.ini", content)
		var faults document.Faults
		if err != nil {
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("error is not document.Faults: %v", err)
			}
			for _, fault := range faults {
				if fault.Line < 1 || fault.Line > 1+strings.Count(string(content), "\n") {
					t.Fatalf("line %d is outside the document", fault.Line)
				}
			}
			return
		}
		sum := 0.0
		for _, zone := range s.Zones() {
			sum += s.ZoneShare(zone)
		}
		if sum > configuration.MaxShare+1e-6 {
			t.Fatalf("shares sum to %v", sum)
		}
		for _, c := range s.Classes() {
			if c.Importance < class.MinImportance || c.Target < configuration.MinTarget {
				t.Fatalf("class out of range: %+v", c)
			}
			if got, ok := s.Classify(c.Service, c.Method, c.PathPrefix); !ok || got.Name != c.Name {
				t.Fatalf("class %q doesn't match its own prefix", c.Name)
			}
		}
	})
}
