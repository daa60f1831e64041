package settings_test

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/settings"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

const fullSettings = `[host]
name = herning-packing-1
zone = herning-1
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
backend-server = 127.0.0.1:8082
operators = 127.0.0.1:8083
[platform]
table-endpoint = http://127.0.0.1:8000
object-endpoint = http://127.0.0.1:8000
access-key = a
secret-key = b
[peers]
seeds = 127.0.0.1:9081, 127.0.0.1:9082
authority = a.pem
certificate = c.pem
private-key = c.key
group-key = g.key
`

func TestParseFullSettings(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("node.ini", []byte(fullSettings+"[timing]\ndrain = 4s\n"))
	is.NoErr(err)
	is.Equal(s.Host.Name, "herning-packing-1")
	is.Equal(s.Host.Region, "default")
	is.Equal(s.Peers.Seeds, []string{"127.0.0.1:9081", "127.0.0.1:9082"})
	is.Equal(s.Timing.Drain, 4*time.Second)
	is.Equal(s.Limits.MaxBodyBytes, 1<<20)
}

func TestParseReportsAllFaults(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
	}{
		{name: "empty", text: "", want: []string{`node.ini:1: section "host" with the key "name" is missing`}},
		{
			name: "several at once",
			text: strings.NewReplacer("zone = herning-1", "zoen = herning-1", "127.0.0.1:8082", "10.0.0.1:8082",
				"peers = 127.0.0.1:8081", "peers = example:8081").Replace(fullSettings) + "[timing]\ndrain = soon\n[cache]\n",
			want: []string{
				`node.ini:3: unknown key "zoen"`,
				`node.ini:1: section "host" is missing key "zone"`,
				`node.ini:6: key "peers": "example:8081" does not start with an IP address`,
				`node.ini:7: key "backend-server": "10.0.0.1:8082" is not a loopback address`,
				`node.ini:21: key "drain": "soon" is not a duration`,
				`node.ini:22: unknown section "cache"`,
			},
		},
		{name: "twice", text: fullSettings + "[host]\nname = b\nzone = c\n", want: []string{`node.ini:20: section "host" is already defined at line 1`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.Parse("node.ini", []byte(tt.text))
			var faults document.Faults
			is.True(errors.As(err, &faults))
			for _, want := range tt.want {
				is.True(strings.Contains(err.Error(), want)) // every fault is listed
			}
		})
	}
}

func TestDocsMatchOptions(t *testing.T) {
	is := is.New(t)
	content, err := os.ReadFile("../../../docs/SETTINGS.md")
	is.NoErr(err)
	is.True(strings.Contains(string(content), settings.Markdown())) // docs/SETTINGS.md contains the table of options
}
