package event_test

import (
	"flag"
	"os"
	"regexp"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
)

const page = "../../../docs/EVENTS.md"

var write = flag.Bool("write-pages", false, "write the documentation pages instead of comparing them")

func TestDocsMatchCatalogue(t *testing.T) {
	is := is.New(t)
	if *write {
		is.NoErr(os.WriteFile(page, []byte(event.Markdown()), 0o644))
	}
	content, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(content), event.Markdown()) // run: go test ./internal/process/event -write-pages
}

func TestNamesAreKebabCase(t *testing.T) {
	is := is.New(t)
	kebab := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	names := map[string]bool{}
	for _, e := range event.Catalogue() {
		is.True(kebab.MatchString(e.Name))
		is.True(!names[e.Name]) // names are unique
		names[e.Name] = true
	}
}

func TestEmitWritesNumberAndName(t *testing.T) {
	is := is.New(t)
	handler := memory.New()
	l := event.NewLog(&log.Logger{Handler: handler, Level: log.DebugLevel})
	for _, e := range event.Catalogue() {
		l.Emit(e, log.Fields{"host": "h"})
		entry := handler.Entries[len(handler.Entries)-1]
		is.Equal(entry.Message, e.Name)
		is.Equal(entry.Level, e.Level)
		is.Equal(entry.Fields.Get("event"), e.Number)
		is.Equal(entry.Fields.Get("host"), "h")
	}
}
