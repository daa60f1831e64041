package document

import (
	"fmt"
	"sort"
	"strings"
)

// A Fault is one error in a document.
type Fault struct {
	// File is the document's name as given by the caller.
	File string `json:"file"`
	// Line is the line number, starting at 1.
	Line int `json:"line"`
	// Reason describes the fault in a few words. It never contains a secret key.
	Reason string `json:"reason"`
}

// String returns the fault as file, line and reason, separated by colons.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

// Faults are all faults of one document, sorted by line. The type implements error
// so that a parser can return all faults at once.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// sorted returns the faults sorted by line.
func (f Faults) sorted() Faults {
	ordered := append(Faults(nil), f...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Line < ordered[j].Line })
	return ordered
}
