// Package class holds classes of work: what operators name, with the target that
// each has. Classes belong to one configuration version and never change in it.
package class

import (
	"fmt"
	"strconv"
	"time"
)

// An Importance ranks classes when capacity runs short; higher is shed later.
type Importance int

// The range of importance that a configuration may use.
const (
	MinImportance Importance = 1
	MaxImportance Importance = 5
)

// String returns the importance as its decimal number.
func (i Importance) String() string { return strconv.Itoa(int(i)) }

// Validate reports an importance outside the allowed range.
func (i Importance) Validate() error {
	if i < MinImportance || i > MaxImportance {
		return fmt.Errorf("importance %d is not between %d and %d", int(i), int(MinImportance), int(MaxImportance))
	}
	return nil
}

// A Class is one kind of work on one service. Requests belong to the class of
// their service whose method matches and whose path prefix is the longest match.
type Class struct {
	// Name is unique within a configuration version.
	Name string
	// Service is the service that runs the class.
	Service string
	// Method is the HTTP method; empty matches every method.
	Method string
	// PathPrefix is the start of the path after the service's name, such as "/routes".
	PathPrefix string
	// Target is the time within which a request should be answered.
	Target time.Duration
	// Importance ranks the class when capacity runs short.
	Importance Importance
	// Idempotent says that a request may run more than once without harm.
	Idempotent bool
	// Open says that the class is served without a key.
	Open bool
}
