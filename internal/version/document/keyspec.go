package document

import (
	"fmt"
	"strings"
)

// A KeySpec describes one key of a kind of document, for checking and for the page
// that documents it.
type KeySpec struct {
	// Section is the kind of section that holds the key, as the page writes it.
	Section string
	// Key is the key's name.
	Key string
	// Required says that the key must be given where its section stands.
	Required bool
	// Default is what holds without the key; empty for none.
	Default string
	// Description explains the key in a sentence.
	Description string
}

// KeySpecs describe all keys of a kind of document.
type KeySpecs []KeySpec

// KeysOf returns the keys of a section.
func (v KeySpecs) KeysOf(section string) []string {
	var keys []string
	for _, one := range v {
		if one.Section == section {
			keys = append(keys, one.Key)
		}
	}
	return keys
}

// Markdown returns the table of the values for a page in Markdown.
func (v KeySpecs) Markdown() string {
	var page strings.Builder
	page.WriteString("| section | key | default | meaning |\n| --- | --- | --- | --- |\n")
	for _, one := range v {
		standard := "none"
		if one.Required {
			standard = "must be given"
		}
		if one.Default != "" {
			standard = "`" + one.Default + "`"
		}
		fmt.Fprintf(&page, "| `%s` | `%s` | %s | %s |\n", one.Section, one.Key, standard, one.Description)
	}
	return page.String()
}
