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

// An entry is one value of a section with its line number.
type entry struct {
	value string
	line  int
}

// A Section is one section of a document. Its header is a kind, such as "service",
// followed by a name if the kind requires one. The typed accessors report an
// invalid value as a fault and return the fallback, so that a single pass finds all
// faults.
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

// Line returns the line number of the header.
func (s *Section) Line() int { return s.line }

// header returns the header without its brackets.
func (s *Section) header() string { return strings.TrimSpace(s.kind + " " + s.name) }

// Has reports whether the section contains a key.
func (s *Section) Has(key string) bool {
	_, ok := s.entries[key]
	return ok
}

// LineOf returns the line number of a key, or that of the header if the key is
// missing.
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

// ReportUnknown reports every key of the section that is not among the known keys.
func (s *Section) ReportUnknown(known ...string) {
	for name, e := range s.entries {
		if !slices.Contains(known, name) {
			s.document.Reportf(e.line, "unknown key %q in section %q; known keys are %s",
				name, s.kind, strings.Join(known, ", "))
		}
	}
}

// Require reports every given key that the section lacks.
func (s *Section) Require(keys ...string) {
	for _, name := range keys {
		if !s.Has(name) {
			s.document.Reportf(s.line, "section %q is missing key %q", s.header(), name)
		}
	}
}

// Text returns a value unchanged, or the fallback if the key is missing.
func (s *Section) Text(key, fallback string) string {
	if e, ok := s.entries[key]; ok {
		return e.value
	}
	return fallback
}

// List returns the non-empty items of a comma-separated value.
func (s *Section) List(key string) []string {
	var parts []string
	for _, part := range strings.Split(s.Text(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

// Duration returns a duration from lo to hi, such as "300ms".
func (s *Section) Duration(key string, fallback, lo, hi time.Duration) time.Duration {
	e, ok := s.entries[key]
	if !ok {
		return fallback
	}
	value, err := time.ParseDuration(e.value)
	if err != nil {
		s.Reportf(key, "key %q: %q is not a duration such as 300ms or 2s", key, truncate(e.value))
		return fallback
	}
	if value < lo || value > hi {
		s.Reportf(key, "key %q: %s is not between %s and %s", key, value, lo, hi)
		return fallback
	}
	return value
}

// Int returns an integer from lo to hi.
func (s *Section) Int(key string, fallback, lo, hi int) int {
	e, ok := s.entries[key]
	if !ok {
		return fallback
	}
	value, err := strconv.Atoi(e.value)
	if err != nil {
		s.Reportf(key, "key %q: %q is not an integer", key, truncate(e.value))
		return fallback
	}
	if value < lo || value > hi {
		s.Reportf(key, "key %q: %d is not between %d and %d", key, value, lo, hi)
		return fallback
	}
	return value
}

// Float returns a decimal number from lo to hi.
func (s *Section) Float(key string, fallback, lo, hi float64) float64 {
	e, ok := s.entries[key]
	if !ok {
		return fallback
	}
	value, err := strconv.ParseFloat(e.value, 64)
	if err != nil || math.IsNaN(value) {
		s.Reportf(key, "key %q: %q is not a number", key, truncate(e.value))
		return fallback
	}
	if value < lo || value > hi {
		s.Reportf(key, "key %q: %v is not between %v and %v", key, value, lo, hi)
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
		s.Reportf(key, "key %q: %q is neither true nor false", key, truncate(e.value))
		return fallback
	}
}

// Address returns a value that is an IP address with a port.
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

// CheckAddress returns an error if a text is not an IP address with a port.
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
