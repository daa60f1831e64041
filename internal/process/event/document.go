package event

import (
	"fmt"
	"strings"
)

// Document returns the catalogue as the page docs/EVENTS.md, which a test holds
// against it.
func Document() string {
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
