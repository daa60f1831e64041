package document

import (
	"fmt"
	"sort"
	"strings"
)

// A Fault is one thing that is wrong with a document.
type Fault struct {
	// File is the document's name as the caller gave it.
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Reason says what is wrong, in a few words. It never holds a key's secret.
	Reason string `json:"reason"`
}

// String returns the fault as file, line and reason.
func (f Fault) String() string { return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Reason) }

// Faults are all the faults of one document in the order of their lines. It is
// an error, so that a reader of documents returns them together.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// sorted returns the faults in the order of their lines.
func (f Faults) sorted() Faults {
	ordered := append(Faults(nil), f...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Line < ordered[j].Line })
	return ordered
}
