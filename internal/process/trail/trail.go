// Package trail explains refused requests from the log lines of many nodes: what each node
// decided, on which information, and how old that information was. The lines are its only
// input and may come in any order. Package event writes them, package console prints the
// explanations.
package trail

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// maxLineBytes is the maximum length of a line; longer lines count as unreadable.
const maxLineBytes = 1 << 20

// A Line is one line of a node's log.
type Line struct {
	Node   string
	At     time.Time
	Event  int
	Name   string
	Fields map[string]any
}

// text returns a field as a string, or "" if it is missing.
func (l Line) text(name string) string {
	switch v := l.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// A Log holds the log lines of one or more nodes, sorted by time.
type Log struct {
	lines []Line
	// Unreadable is the number of lines that could not be parsed. FirstUnreadable says
	// which line was the first of them, and why.
	Unreadable      int
	FirstUnreadable string
}

// record is the JSON object that apex/log writes for a line.
type record struct {
	Fields  map[string]any `json:"fields"`
	At      time.Time      `json:"timestamp"`
	Message string         `json:"message"`
}

// Read adds the lines from r. It ignores text before the JSON object of a line, such as the
// prefix of a log collector. name is the node of lines without a node field. A line that
// cannot be parsed is counted and skipped; an error means that reading from r failed.
func (lg *Log) Read(r io.Reader, name string) error {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for number := 1; ; number++ {
		raw, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			lg.countUnreadable(name, number, "the line is too long")
			err = skipLine(reader)
		} else if len(bytes.TrimSpace(raw)) > 0 {
			lg.addLine(raw, name, number)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read log of %s: %w", name, err)
		}
	}
	slices.SortStableFunc(lg.lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return nil
}

// skipLine reads up to the end of the current line.
func skipLine(r *bufio.Reader) error {
	for {
		if _, err := r.ReadSlice('\n'); !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (lg *Log) addLine(raw []byte, name string, number int) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		lg.countUnreadable(name, number, "it holds no JSON object")
		return
	}
	var rec record
	if err := json.Unmarshal(raw[start:], &rec); err != nil {
		lg.countUnreadable(name, number, err.Error())
		return
	}
	event, ok := rec.Fields["event"].(float64)
	if !ok {
		lg.countUnreadable(name, number, "it has no event number")
		return
	}
	l := Line{Node: name, At: rec.At, Event: int(event), Name: rec.Message, Fields: rec.Fields}
	if node := l.text("node"); node != "" {
		l.Node = node
	}
	lg.lines = append(lg.lines, l)
}

func (lg *Log) countUnreadable(name string, number int, reason string) {
	if lg.Unreadable == 0 {
		lg.FirstUnreadable = fmt.Sprintf("line %d of %s: %s", number, name, reason)
	}
	lg.Unreadable++
}

// A Cause groups the refused requests of one route that have the same reason and outcome.
type Cause struct {
	Reason   string `json:"reason"`
	Outcome  string `json:"outcome"`
	Route    string `json:"route"`
	Requests int    `json:"requests"`
	Nodes    int    `json:"nodes"`
	// Example is the id of the first such request.
	Example string    `json:"example"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
}

// TopCauses returns the causes of the refusals at the nodes that the callers sent their
// requests to, the most frequent cause first.
func (lg *Log) TopCauses() []Cause {
	type key struct{ reason, outcome, route string }
	causes := make(map[key]*Cause)
	nodes := make(map[key]map[string]bool)
	for _, l := range lg.lines {
		if l.Event != refusedEvent || l.text("at") != atEntry {
			continue
		}
		k := key{l.text("reason"), l.text("outcome"), l.text("route")}
		c, ok := causes[k]
		if !ok {
			c = &Cause{Reason: k.reason, Outcome: k.outcome, Route: k.route, Example: l.text("request"), First: l.At}
			causes[k], nodes[k] = c, make(map[string]bool)
		}
		c.Requests++
		c.Last = l.At
		nodes[k][l.Node] = true
		c.Nodes = len(nodes[k])
	}
	all := make([]Cause, 0, len(causes))
	for _, c := range causes {
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Reason+a.Route, b.Reason+b.Route))
	})
	return all
}
