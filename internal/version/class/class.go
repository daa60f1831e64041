// Package class defines request classes. Operators name the classes and give each
// one a target. Classes belong to one configuration version and are immutable.
package class

import (
	"fmt"
	"strconv"
	"time"
)

// An Importance orders classes under overload; higher importance is shed later.
type Importance int

// Valid range of an Importance.
const (
	MinImportance Importance = 1
	MaxImportance Importance = 5
)

// String returns the importance as its decimal number.
func (i Importance) String() string { return strconv.Itoa(int(i)) }

// Validate returns an error if the importance is out of range.
func (i Importance) Validate() error {
	if i < MinImportance || i > MaxImportance {
		return fmt.Errorf("importance %d is not between %d and %d", int(i), int(MinImportance), int(MaxImportance))
	}
	return nil
}

// A Class is a group of requests to one service. A request belongs to the class of
// its service whose method matches and whose path prefix is the longest match.
type Class struct {
	// Name is unique within a configuration version.
	Name string
	// Service is the service that the class belongs to.
	Service string
	// Method is the HTTP method; empty matches every method.
	Method string
	// PathPrefix is matched after the service's name in the path, such as "/routes".
	PathPrefix string
	// Target is the target response time of a request.
	Target time.Duration
	// Importance orders the class under overload.
	Importance Importance
	// Idempotent means that a request may safely run more than once.
	Idempotent bool
	// Open means that requests of the class need no key.
	Open bool
}
