package trail

import (
	"fmt"
	"strings"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// contextWindow is the time before and after a refusal within which other events of its
// node are part of the explanation.
const contextWindow = 5 * time.Second

// refusedEvent is the number of the event that reports a refusal.
var refusedEvent = event.RequestRefused.Number

// The nodes at which a request is refused, as values of the field at: the node that the
// caller is connected to, or the node that executes the request.
const (
	atEntry     = "entry"
	atExecuting = "executing"
)

// A Step is an event in plain English.
type Step struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	Text string    `json:"text"`
}

// An Explanation describes what happened to a request.
type Explanation struct {
	Request string `json:"request"`
	// Cause is the cause of the refusal, in one sentence.
	Cause string `json:"cause"`
	Steps []Step `json:"steps"`
}

// Explain returns what happened to a request and its nested calls, or false if no line
// reports a refusal of either.
func (lg *Log) Explain(id string) (Explanation, bool) {
	var refusals []Line
	for _, l := range lg.lines {
		request := l.text("request")
		if l.Event == refusedEvent && (request == id || strings.HasPrefix(request, id+".")) {
			refusals = append(refusals, l)
		}
	}
	if len(refusals) == 0 {
		return Explanation{}, false
	}
	e := Explanation{Request: id}
	for _, l := range refusals {
		e.Steps = append(e.Steps, Step{l.At, l.Node, refusalText(id, l)})
	}
	decisive := decisiveRefusal(id, refusals)
	e.Cause = lg.cause(decisive)
	e.Steps = append(e.Steps, lg.nearbyEvents(decisive)...)
	return e, true
}

// decisiveRefusal returns the refusal that caused the others. That is the first one at an
// executing node, else the first one of the request itself, else the first one.
func decisiveRefusal(id string, refusals []Line) Line {
	for _, l := range refusals {
		if l.text("at") == atExecuting {
			return l
		}
	}
	for _, l := range refusals {
		if l.text("request") == id {
			return l
		}
	}
	return refusals[0]
}

func refusalText(id string, l Line) string {
	subject := "the request"
	if request := l.text("request"); request != id {
		subject = "its call " + request
	}
	var b strings.Builder
	if l.text("at") == atExecuting {
		fmt.Fprintf(&b, "refused %s beside backend server %s of service %s: %s", subject, l.text("backend-server"), l.text("service"), l.text("reason"))
		fmt.Fprintf(&b, "; %s requests were running there, the first in the queue waited %s", l.text("running"), l.text("queue-delay"))
	} else {
		fmt.Fprintf(&b, "refused %s of route %s after %s: %s", subject, l.text("route"), l.text("elapsed"), l.text("reason"))
		fmt.Fprintf(&b, "; the caller's timeout was %s", l.text("patience"))
		if retry := l.text("retry-after"); retry != "" && retry != "0s" {
			fmt.Fprintf(&b, " and the retry-after was %s", retry)
		}
	}
	if detail := l.text("detail"); detail != "" {
		fmt.Fprintf(&b, "; %s", detail)
	}
	if l.text("outcome") == string(refusal.NotRun) {
		b.WriteString("; it has not run")
	} else {
		b.WriteString("; it may have run")
	}
	return b.String()
}

// cause returns one sentence that states why a request was refused.
func (lg *Log) cause(l Line) string {
	switch refusal.Reason(l.text("reason")) {
	case refusal.RateExceeded:
		return "The client account asked for more than its rate: " + l.text("detail") + "."
	case refusal.UnknownKey, refusal.MissingKey, refusal.UnknownClass, refusal.NoConfiguration:
		return lg.configurationCause(l)
	case refusal.DeadlinePassed:
		if l.text("outcome") == string(refusal.NotRun) {
			return "Its time ran out while it waited for a slot; it was never handed over."
		}
		return fmt.Sprintf("Its time ran out without an answer from where it ran; the caller would have waited %s.", withDefault(l.text("patience"), "no longer"))
	case refusal.Overloaded:
		if l.text("at") == atExecuting {
			cause := fmt.Sprintf("Service %s had no room: its backend server %s ran %s requests, and the queue in front of it was %s old",
				l.text("service"), l.text("backend-server"), l.text("running"), l.text("queue-delay"))
			if detail := l.text("detail"); detail != "" {
				cause += "; " + detail
			}
			return cause + "."
		}
		return "It was refused before any work was done: " + withDefault(l.text("detail"), "demand exceeded the capacity") + "."
	case refusal.NoBackendServer, refusal.BackendLost, refusal.Leaving:
		if l.text("backend-server") == "" {
			return "Node " + l.Node + " had a connection to no host that offers the service."
		}
		return fmt.Sprintf("Its backend server %s was lost or left: %s.", l.text("backend-server"), withDefault(l.text("detail"), "no details are known"))
	case refusal.Evacuated:
		return "The operator has evacuated the availability zone of its backend server, so it was not handed over."
	case refusal.Quarantined:
		return "Requests with the same content crashed backend servers, so it was held back."
	case refusal.Unreachable:
		return "The host that ran it could not be reached: " + l.text("detail") + "."
	case refusal.Cancelled:
		return "Its caller closed the connection."
	default:
		return "It was refused for the reason " + l.text("reason") + "."
	}
}

// configurationCause says which version of the configuration a node used, for how long that
// version had been in force there, and whether another node had a newer one.
func (lg *Log) configurationCause(l Line) string {
	own, newest := Line{}, Line{}
	for _, other := range lg.lines {
		if other.Event != event.ConfigurationInForce.Number || other.At.After(l.At) {
			continue
		}
		if other.Node == l.Node {
			own = other
		}
		if newest.Fields == nil || other.number("version") > newest.number("version") {
			newest = other
		}
	}
	if own.Fields == nil {
		return "Node " + l.Node + " had no configuration yet."
	}
	decided := fmt.Sprintf("Node %s decided by version %.0f of the configuration, which it had for %s",
		l.Node, own.number("version"), l.At.Sub(own.At).Round(time.Millisecond))
	if newest.number("version") > own.number("version") {
		return fmt.Sprintf("%s, while %s had version %.0f for %s: the node was behind.",
			decided, newest.Node, newest.number("version"), l.At.Sub(newest.At).Round(time.Millisecond))
	}
	return decided + " and than which no node had a newer one: that version does not allow the request."
}

// number returns a field as a number, or zero if it is not one.
func (l Line) number(name string) float64 {
	n, ok := l.Fields[name].(float64)
	if !ok {
		return 0
	}
	return n
}

// nearbyEvents returns the other events at the node of a refusal within contextWindow.
func (lg *Log) nearbyEvents(l Line) []Step {
	var steps []Step
	for _, other := range lg.lines {
		if other.Node != l.Node || other.Event == refusedEvent || other.At.Sub(l.At).Abs() > contextWindow {
			continue
		}
		reason := withDefault(other.text("why"), withDefault(other.text("error"), other.text("use")))
		text := event.Text(other.Event)
		for _, name := range []string{"backend-server", "state", "peer", "version"} {
			if value := other.text(name); value != "" {
				text += fmt.Sprintf(" %s: %s.", name, value)
			}
		}
		if reason != "" {
			text += " Why: " + reason + "."
		}
		steps = append(steps, Step{other.At, other.Node, text})
	}
	return steps
}

func withDefault(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}
