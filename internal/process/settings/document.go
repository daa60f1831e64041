package settings

import (
	"fmt"
	"strings"
)

// Document returns the settings as a part of the page docs/SETTINGS.md, which a
// test holds against it.
func Document() string {
	var page strings.Builder
	page.WriteString("| section | key | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, o := range options {
		standard := "none"
		if o.required {
			standard = "must be given"
		}
		if o.standard != "" {
			standard = "`" + o.standard + "`"
		}
		fmt.Fprintf(&page, "| `%s` | `%s` | %s | %s |\n", o.section, o.key, standard, o.about)
	}
	return page.String()
}
