// Package document parses INI documents and collects all faults in them with their
// line numbers. Settings and configurations are both parsed with it. The INI
// library provides the values; a separate index records the line of each value.
package document

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

// MaxSize is the maximum size of a document in bytes.
const MaxSize = 8 << 20

// A Document is the content of one INI file with the faults found in it so far. It
// is not safe for concurrent use.
type Document struct {
	name     string
	sections []*Section
	faults   Faults
}

// Parse splits a document into sections. It always returns a document: input that
// can't be parsed is recorded as a fault, and Err returns all faults.
func Parse(name string, content []byte) *Document {
	d := &Document{name: name}
	if len(content) > MaxSize {
		d.Reportf(1, "the document has %d bytes, more than the %d allowed", len(content), MaxSize)
		return d
	}
	if !utf8.Valid(content) {
		d.Reportf(1, "the document is not valid UTF-8")
		return d
	}
	cleaned := d.index(bytes.TrimPrefix(content, []byte("\ufeff")))
	if err := d.load(cleaned); err != nil {
		d.Reportf(1, "the document can't be parsed: %v", err)
	}
	return d
}

// Reportf adds a fault at a line. Text that looks like a key is redacted.
func (d *Document) Reportf(line int, format string, values ...any) {
	reason := key.Redact(fmt.Sprintf(format, values...))
	d.faults = append(d.faults, Fault{File: d.name, Line: line, Reason: reason})
}

// Err returns all faults as Faults, sorted by line, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return d.faults.sorted()
}

// Sections returns the sections in document order.
func (d *Document) Sections() []*Section { return d.sections }

// EmptySection returns a section without keys, to stand in for a missing section.
func (d *Document) EmptySection(kind string) *Section {
	return &Section{document: d, line: 1, kind: kind}
}

// ReportDuplicates reports every section whose kind and name occur earlier in the
// document.
func (d *Document) ReportDuplicates() {
	first := make(map[string]int, len(d.sections))
	for _, s := range d.sections {
		header := s.header()
		if line, ok := first[header]; ok {
			d.Reportf(s.line, "section %q is already defined at line %d", header, line)
			continue
		}
		first[header] = s.line
	}
}

// index records the line of each section and value, reports lines that are neither,
// and returns the content with those lines blanked.
func (d *Document) index(content []byte) []byte {
	lines := strings.Split(string(content), "\n")
	for i, line := range lines {
		text := strings.TrimSpace(line)
		var reason string
		switch {
		case text == "" || isComment(text):
			continue
		case text[0] == '[':
			reason = d.indexHeader(i+1, text)
		default:
			reason = d.indexEntry(i+1, text)
		}
		if reason != "" {
			d.Reportf(i+1, "%s", reason)
			lines[i] = ""
		}
	}
	return []byte(strings.Join(lines, "\n"))
}

func (d *Document) indexHeader(line int, text string) string {
	end := strings.LastIndexByte(text, ']')
	if end < 0 {
		return fmt.Sprintf("section header %q has no closing bracket", text)
	}
	rest := strings.TrimSpace(text[end+1:])
	if rest != "" && !isComment(rest) {
		return fmt.Sprintf("unexpected text %q after the section header", rest)
	}
	words := strings.Fields(text[1:end])
	if len(words) == 0 {
		return "section header is empty"
	}
	s := &Section{document: d, line: line, kind: words[0], name: strings.Join(words[1:], " ")}
	s.entries = make(map[string]entry)
	d.sections = append(d.sections, s)
	return ""
}

func (d *Document) indexEntry(line int, text string) string {
	name, value, ok := strings.Cut(text, "=")
	name = strings.TrimSpace(name)
	value = strings.TrimSpace(value)
	if !ok || name == "" || strings.ContainsAny(name[:1], "\"`") {
		return fmt.Sprintf("%q is neither a section nor a key with a value", truncate(text))
	}
	if strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`) {
		return fmt.Sprintf("key %q: values in back quotes or triple quotes are not allowed", name)
	}
	if len(d.sections) == 0 {
		return fmt.Sprintf("key %q appears before the first section", name)
	}
	s := d.sections[len(d.sections)-1]
	if first, ok := s.entries[name]; ok {
		return fmt.Sprintf("key %q is already defined in this section at line %d", name, first.line)
	}
	s.entries[name] = entry{line: line}
	return ""
}

// load sets the values of all indexed entries from the INI library.
func (d *Document) load(content []byte) error {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:   true,
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		KeyValueDelimiters:       "=",
		ChildSectionDelimiter:    "\n",
	}, content)
	if err != nil {
		return fmt.Errorf("load INI: %w", err)
	}
	loaded := file.Sections()
	if len(loaded) != len(d.sections)+1 {
		return fmt.Errorf("found %d sections, want %d", len(loaded)-1, len(d.sections))
	}
	for i, s := range d.sections {
		for name, e := range s.entries {
			e.value = loaded[i+1].Key(name).Value()
			s.entries[name] = e
		}
	}
	return nil
}

func isComment(text string) bool { return text[0] == '#' || text[0] == ';' }

// truncate shortens a text for use in a fault.
func truncate(text string) string {
	const maxBytes = 40
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "") + "..."
}
