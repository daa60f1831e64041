package document

import (
	"fmt"
	"strings"
)

// A KeySpec describes one key of a kind of document, for validation and
// documentation.
type KeySpec struct {
	// Section is the kind of section that contains the key, as documented.
	Section string
	// Key is the name of the key.
	Key string
	// Required means that the key must be present if its section is.
	Required bool
	// Default is the value used if the key is missing; empty means none.
	Default string
	// Description explains the key in one sentence.
	Description string
}

// KeySpecs describes all keys of a kind of document.
type KeySpecs []KeySpec

// KeysOf returns the keys of a kind of section.
func (s KeySpecs) KeysOf(section string) []string {
	var keys []string
	for _, k := range s {
		if k.Section == section {
			keys = append(keys, k.Key)
		}
	}
	return keys
}

// Markdown returns the keys as a Markdown table.
func (s KeySpecs) Markdown() string {
	var page strings.Builder
	page.WriteString("| section | key | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, k := range s {
		defaultText := "none"
		if k.Required {
			defaultText = "must be given"
		}
		if k.Default != "" {
			defaultText = "`" + k.Default + "`"
		}
		fmt.Fprintf(&page, "| `%s` | `%s` | %s | %s |\n", k.Section, k.Key, defaultText, k.Description)
	}
	return page.String()
}
