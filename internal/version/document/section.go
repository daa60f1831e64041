package document

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// An entry is one value of a section with its line.
type entry struct {
	value string
	line  int
}

// A Section is one section of a document. Its header is a kind, such as
// "service", followed by a name where the kind needs one. The reading methods
// report a value that is missing or wrong and return the fallback in its place,
// so that one pass finds all faults.
type Section struct {
	document *Document
	line     int
	kind     string
	name     string
	entries  map[string]entry
}

// Kind returns the first word of the header.
func (s *Section) Kind() string { return s.kind }

// Name returns the words of the header after its kind.
func (s *Section) Name() string { return s.name }

// Line returns the line of the header.
func (s *Section) Line() int { return s.line }

// title returns the header without its brackets.
func (s *Section) title() string { return strings.TrimSpace(s.kind + " " + s.name) }

// Has reports whether the section holds a key.
func (s *Section) Has(key string) bool {
	_, ok := s.entries[key]
	return ok
}

// LineOf returns the line of a key, or that of the header if the key is missing.
func (s *Section) LineOf(key string) int {
	if e, ok := s.entries[key]; ok {
		return e.line
	}
	return s.line
}

// Reportf adds a fault at the line of a key.
func (s *Section) Reportf(key, format string, values ...any) {
	s.document.Reportf(s.LineOf(key), format, values...)
}

// ReportUnknown reports every key of the section that is not among the known ones.
func (s *Section) ReportUnknown(known ...string) {
	for name, e := range s.entries {
		if !slices.Contains(known, name) {
			s.document.Reportf(e.line, "unknown key %q in section %q; known are %s",
				name, s.kind, strings.Join(known, ", "))
		}
	}
}

// Require reports every one of the keys that the section lacks.
func (s *Section) Require(keys ...string) {
	for _, name := range keys {
		if !s.Has(name) {
			s.document.Reportf(s.line, "section %q lacks the key %q", s.title(), name)
		}
	}
}

// Text returns a value as it stands, or the fallback.
func (s *Section) Text(key, fallback string) string {
	if e, ok := s.entries[key]; ok {
		return e.value
	}
	return fallback
}

// List returns the parts of a value between commas, without empty ones.
func (s *Section) List(key string) []string {
	var parts []string
	for _, part := range strings.Split(s.Text(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// Duration returns a duration from least to most, such as "300ms".
func (s *Section) Duration(key string, fallback, least, most time.Duration) time.Duration {
	e, ok := s.entries[key]
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(e.value)
	if err != nil {
		s.Reportf(key, "key %q: %q is not a duration such as 300ms or 2s", key, abbreviate(e.value))
		return fallback
	}
	if value < least || value > most {
		s.Reportf(key, "key %q: %s is not between %s and %s", key, value, least, most)
		return fallback
	}
	return value
}

// Int returns a whole number from least to most.
func (s *Section) Int(key string, fallback, least, most int) int {
	e, ok := s.entries[key]
	if !ok {
		return fallback
	}
	value, err := strconv.Atoi(e.value)
	if err != nil {
		s.Reportf(key, "key %q: %q is not a whole number", key, abbreviate(e.value))
		return fallback
	}
	if value < least || value > most {
		s.Reportf(key, "key %q: %d is not between %d and %d", key, value, least, most)
		return fallback
	}
	return value
}

// Float returns a decimal number from least to most.
func (s *Section) Float(key string, fallback, least, most float64) float64 {
	e, ok := s.entries[key]
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(e.value, 64)
	if err != nil || math.IsNaN(value) {
		s.Reportf(key, "key %q: %q is not a number", key, abbreviate(e.value))
		return fallback
	}
	if value < least || value > most {
		s.Reportf(key, "key %q: %v is not between %v and %v", key, value, least, most)
		return fallback
	}
	return value
}

// Bool returns a value that is true or false.
func (s *Section) Bool(key string, fallback bool) bool {
	e, ok := s.entries[key]
	if !ok {
		return fallback
	}
	switch e.value {
	case "true":
		return true
	case "false":
		return false
	default:
		s.Reportf(key, "key %q: %q is neither true nor false", key, abbreviate(e.value))
		return fallback
	}
}

// Address returns an IP address with a port.
func (s *Section) Address(key, fallback string) string {
	text := s.Text(key, fallback)
	if !s.Has(key) {
		return text
	}
	if err := CheckAddress(text); err != nil {
		s.Reportf(key, "key %q: %v", key, err)
	}
	return text
}

// CheckAddress reports a text that is not an IP address with a port.
func CheckAddress(text string) error {
	host, _, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Errorf("%q is not an IP address with a port: %w", text, err)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q does not start with an IP address", text)
	}
	return nil
}
