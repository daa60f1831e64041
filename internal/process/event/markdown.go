package event

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the page docs/EVENTS.md. A test compares the
// two.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Log events\n\n" +
		"Each line of the log is one JSON object. Its field `event` holds the number below, its message\n" +
		"the name. Numbers never change their meaning. No field ever holds a client account's key.\n\n" +
		"| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Text)
	}
	return page.String()
}
