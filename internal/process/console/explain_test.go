package console_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/console"
)

const refusalLine = `{"fields":{"event":2000,"node":"front-1","at":"entry","request":"1f","route":"sheet","reason":"rate-exceeded","outcome":"not-run","detail":"client account depot may send 5 requests a second"},"level":"info","timestamp":"2026-06-01T12:00:00Z","message":"request-refused"}` + "\n"

func TestExplainReadsLogs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "front-1.log")
	is.New(t).NoErr(os.WriteFile(path, []byte(refusalLine+"cut off {\n"), 0o600))
	for name, c := range map[string]struct {
		arguments console.ExplainArguments
		code      int
		text      string
	}{
		"request":    {console.ExplainArguments{RequestID: "1f", Logs: []string{path}}, 0, "asked for more than its rate: client account depot may send 5"},
		"unreadable": {console.ExplainArguments{RequestID: "1f", Logs: []string{path}}, 0, "1 lines could not be read and were left out, the first of them: line 2 of front-1"},
		"worst":      {console.ExplainArguments{Worst: true, Logs: []string{path}}, 0, "rate-exceeded"},
		"not found":  {console.ExplainArguments{RequestID: "2e", Logs: []string{path}}, console.ExitNotFound, ""},
		"no file":    {console.ExplainArguments{RequestID: "1f", Logs: []string{path + "x"}}, console.ExitFailed, ""},
		"both":       {console.ExplainArguments{RequestID: "1f", Worst: true, Logs: []string{path}}, console.ExitBadInput, ""},
		"neither":    {console.ExplainArguments{Logs: []string{path}}, console.ExitBadInput, ""},
		"no logs":    {console.ExplainArguments{Worst: true}, console.ExitBadInput, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			err := console.Run(t.Context(), console.Arguments{Output: "text", Explain: &c.arguments}, &out)
			is.Equal(console.ExitCode(err), c.code)
			is.True(strings.Contains(out.String(), c.text))
		})
	}
}
