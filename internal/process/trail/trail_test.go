package trail_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/trail"
)

var noon = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

// line returns a log line with the time ms milliseconds after noon.
func line(node string, ms, event int, fields string) string {
	at := noon.Add(time.Duration(ms) * time.Millisecond).Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"fields":{"event":%d,"node":%q,%s},"level":"info","timestamp":%q,"message":"m"}`, event, node, fields, at)
}

func read(t *testing.T, lines ...string) *trail.Log {
	t.Helper()
	var lg trail.Log
	is.New(t).NoErr(lg.Read(strings.NewReader(strings.Join(lines, "\n")+"\n"), "file"))
	return &lg
}

func stepsText(s trail.Explanation) string {
	var b strings.Builder
	for _, x := range s.Steps {
		fmt.Fprintf(&b, "%s: %s\n", x.Node, x.Text)
	}
	return b.String()
}

func TestExplainOverloadAtExecutingNode(t *testing.T) {
	is := is.New(t)
	lg := read(t,
		line("front-1", 30, 2000, `"at":"entry","request":"1f.2","route":"stock","reason":"overloaded","outcome":"not-run","elapsed":"9ms","patience":"700ms","retry-after":"90ms"`),
		line("back-3", 25, 2000, `"at":"executing","request":"1f.2","service":"stock","backend-server":"i-3","reason":"overloaded","outcome":"not-run","running":16,"queue-delay":"80ms"`),
		line("back-3", -900, 1500, `"backend-server":"i-3","state":"serving"`),
		line("back-3", -60000, 1500, `"backend-server":"i-2","state":"serving"`),
		line("other", 27, 2000, `"at":"entry","request":"1f0","route":"x","reason":"cancelled","outcome":"not-run"`),
	)
	s, ok := lg.Explain("1f")
	is.True(ok)
	is.Equal(s.Cause, "Service stock had no room: its backend server i-3 ran 16 requests, and the queue in front of it was 80ms old.")
	text := stepsText(s)
	is.True(strings.Contains(text, "back-3: refused its call 1f.2 beside backend server i-3 of service stock: overloaded"))
	is.True(strings.Contains(text, "front-1: refused its call 1f.2 of route stock after 9ms"))
	is.True(strings.Contains(text, "state: serving")) // an event of that node within the window
	is.True(!strings.Contains(text, "i-2"))           // an event a minute earlier
	is.True(!strings.Contains(text, "1f0"))           // another request
	_, ok = lg.Explain("2e")
	is.True(!ok)
}

func TestExplainRequestLimitOfBackendServer(t *testing.T) {
	is := is.New(t)
	lg := read(t,
		line("back-3", 25, 2000, `"at":"executing","request":"1f","service":"stock","backend-server":"i-3","reason":"overloaded","outcome":"not-run","running":2,"queue-delay":"80ms","detail":"its backend server accepts 22.1 requests per second at present"`),
	)
	s, ok := lg.Explain("1f")
	is.True(ok)
	is.True(strings.HasSuffix(s.Cause, "was 80ms old; its backend server accepts 22.1 requests per second at present."))
}

func TestExplainLostBackendServer(t *testing.T) {
	is := is.New(t)
	s, ok := read(t,
		line("back-1", 0, 2000, `"at":"executing","request":"1f","service":"stock","backend-server":"i-1","reason":"backend-server-lost","outcome":"unknown","detail":"read answer: unexpected EOF"`),
		line("back-1", 4, 1502, `"backend-server":"i-1","why":"unreachable"`),
		line("front-1", 1, 2000, `"at":"entry","request":"1f","route":"sheet","reason":"backend-server-lost","outcome":"unknown"`),
	).Explain("1f")
	is.True(ok)
	is.Equal(s.Cause, "Its backend server i-1 was lost or left: read answer: unexpected EOF.")
	is.True(strings.Contains(stepsText(s), "it may have run"))
	is.True(strings.Contains(stepsText(s), "Why: unreachable."))
}

func TestExplainRequestThatIsHeldBack(t *testing.T) {
	is := is.New(t)
	s, ok := read(t,
		line("back-1", 0, 2000, `"at":"executing","request":"1f","service":"stock","backend-server":"i-1","reason":"quarantined","outcome":"not-run"`),
		line("front-1", 1, 2000, `"at":"entry","request":"1f","route":"sheet","reason":"quarantined","outcome":"not-run","retry-after":"59m0s"`),
	).Explain("1f")
	is.True(ok)
	is.Equal(s.Cause, "Requests with the same content crashed backend servers, so it was held back.")
	is.True(strings.Contains(stepsText(s), "the retry-after was 59m0s; it has not run"))
}

func TestExplainNoHostForService(t *testing.T) {
	is := is.New(t)
	s, _ := read(t, line("front-1", 0, 2000, `"at":"entry","request":"1f","reason":"no-backend-server","outcome":"not-run"`)).Explain("1f")
	is.Equal(s.Cause, "Node front-1 had a connection to no host that offers the service.")
}

func TestExplainDeadlinePassedByOutcome(t *testing.T) {
	is := is.New(t)
	s, _ := read(t, line("front-1", 0, 2000, `"at":"entry","request":"1f","reason":"deadline-passed","outcome":"unknown","patience":"608ms"`)).Explain("1f")
	is.Equal(s.Cause, "Its time ran out without an answer from where it ran; the caller would have waited 608ms.")
	s, _ = read(t, line("front-1", 0, 2000, `"at":"executing","request":"1f","reason":"deadline-passed","outcome":"not-run"`)).Explain("1f")
	is.Equal(s.Cause, "Its time ran out while it waited for a slot; it was never handed over.")
}

func TestExplainStaleConfiguration(t *testing.T) {
	is := is.New(t)
	lines := []string{
		line("front-1", -9000, 1200, `"version":7,"from":"store"`),
		line("front-1", 0, 2000, `"at":"entry","request":"1f","reason":"unknown-key","outcome":"not-run"`),
		line("front-1", 200, 1200, `"version":9,"from":"peer"`),
	}
	s, _ := read(t, lines...).Explain("1f")
	is.Equal(s.Cause, "Node front-1 decided by version 7 of the configuration, which it had for 9s and than which no node had a newer one: that version does not allow the request.")
	s, _ = read(t, append(lines, line("back-1", -3000, 1200, `"version":9,"from":"store"`))...).Explain("1f")
	is.Equal(s.Cause, "Node front-1 decided by version 7 of the configuration, which it had for 9s, while back-1 had version 9 for 3s: the node was behind.")
	s, _ = read(t, lines[1]).Explain("1f")
	is.Equal(s.Cause, "Node front-1 had no configuration yet.")
}

func TestTopCausesAreSortedByFrequency(t *testing.T) {
	is := is.New(t)
	var lines []string
	for i := range 5 {
		lines = append(lines, line(fmt.Sprint("front-", i%2), i, 2000, fmt.Sprintf(`"at":"entry","request":"a%d","route":"sheet","reason":"overloaded","outcome":"not-run"`, i)))
	}
	lines = append(lines,
		line("front-1", 9, 2000, `"at":"entry","request":"b","route":"sheet","reason":"unknown-key","outcome":"not-run"`),
		line("back-1", 9, 2000, `"at":"executing","request":"c","reason":"overloaded","outcome":"not-run"`), // not counted: only entry nodes are
	)
	causes := read(t, lines...).TopCauses()
	is.Equal(len(causes), 2)
	is.Equal(causes[0].Reason, "overloaded")
	is.Equal(causes[0].Requests, 5)
	is.Equal(causes[0].Nodes, 2)
	is.Equal(causes[0].Example, "a0")
	is.Equal(causes[1].Requests, 1)
}

func TestReadCountsUnreadableLines(t *testing.T) {
	is := is.New(t)
	lg := read(t,
		"no object",
		`{"fields":{"event":2000,"request":"1f"`, // truncated
		`{"fields":{"event":"two"},"message":"m"}`,
		strings.Repeat("x", 3<<20),
		"",
		"   2.4 front-9 "+strings.Replace(line("", 5, 2000, `"at":"entry","request":"1f","reason":"cancelled","outcome":"not-run"`), `"node":"",`, "", 1),
	)
	is.Equal(lg.Unreadable, 4)
	is.Equal(lg.FirstUnreadable, "line 1 of file: it holds no JSON object")
	s, ok := lg.Explain("1f") // from a line without a node, after a collector's prefix
	is.True(ok)
	is.Equal(s.Steps[0].Node, "file")
	is.Equal(s.Cause, "Its caller closed the connection.")
}
