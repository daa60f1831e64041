// Package event defines the numbered log events of the daemon and writes them
// through apex/log. docs/EVENTS.md lists the same events; a test compares the two.
package event

import (
	"fmt"
	"sort"

	"github.com/apex/log"
)

// An Event is one kind of log line. The meaning of its number never changes.
type Event struct {
	// Number identifies the event in the catalogue.
	Number int
	// Name is the event's name in kebab case.
	Name string
	// Level is the severity with which the event is logged.
	Level log.Level
	// Text explains the event.
	Text string
}

var catalogue = map[int]Event{}

// define adds an event to the catalogue. It panics at startup if the number is
// already in use.
func define(number int, name string, level log.Level, text string) Event {
	if _, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event number %d is defined twice", number))
	}
	e := Event{Number: number, Name: name, Level: level, Text: text}
	catalogue[number] = e
	return e
}

// Catalogue returns all events sorted by number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Text returns the text of the event with a number; empty if there is none.
func Text(number int) string { return catalogue[number].Text }

// A Log writes numbered events for one host.
type Log struct {
	entry log.Interface
}

// NewLog returns a Log that writes through an apex/log logger.
func NewLog(logger log.Interface) Log { return Log{entry: logger} }

// Emit writes an event with its fields. The fields must not contain a key.
func (l Log) Emit(e Event, fields log.Fields) {
	entry := l.entry.WithFields(fields).WithField("event", e.Number)
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Name)
	case log.InfoLevel:
		entry.Info(e.Name)
	case log.WarnLevel:
		entry.Warn(e.Name)
	default:
		entry.Error(e.Name)
	}
}
