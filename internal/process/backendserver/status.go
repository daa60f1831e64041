package backendserver

import (
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

// A Usage is the number of requests sent to a backend server since the node started.
type Usage struct {
	// Sent counts all requests, Retried those that were sent to another one before.
	Sent, Retried int64
	// SentWhileLimited counts those sent while the backend server stated a limit.
	SentWhileLimited int64
	// SentWhileCold counts those sent while the backend server counted as cold.
	SentWhileCold int64
}

// minus returns the requests that were sent after an earlier Usage.
func (u Usage) minus(earlier Usage) Usage {
	return Usage{
		Sent: u.Sent - earlier.Sent, Retried: u.Retried - earlier.Retried,
		SentWhileLimited: u.SentWhileLimited - earlier.SentWhileLimited,
		SentWhileCold:    u.SentWhileCold - earlier.SentWhileCold,
	}
}

// A statement is the last status that a backend server stated.
type statement struct {
	status exchange.BackendStatus
	// since is when it stated the status first, usage the requests sent until then.
	since time.Time
	usage Usage
	// limitedAt is when an answer last stated a request limit.
	limitedAt time.Time
	// answered reports whether it has answered this process of the node.
	answered bool
	// malformed is the last error that was logged about its answers.
	malformed string
}

// limitEndDelay is the time without an answer that states a request limit after which the
// limit has ended. Answers sent before the limit was stated can arrive after it.
const limitEndDelay = 200 * time.Millisecond

// RecordSent counts a request that is sent over a link. It implements
// relay.BackendServer.
func (s *Server) RecordSent(link *backend.Link, retried bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage.Sent++
	if retried {
		s.usage.Retried++
	}
	if link == s.link && s.stated.status.Limited {
		s.usage.SentWhileLimited++
	}
	if link == s.link && s.record.Cold {
		s.usage.SentWhileCold++
	}
}

// RecordStatus records what an answer that arrived over a link states. Answers of an
// earlier backend server are ignored. A backend server that states that it leaves drains
// from then on. A malformed answer doesn't end a request limit, and repeated errors are
// logged once. It implements relay.BackendServer.
func (s *Server) RecordStatus(link *backend.Link, status exchange.BackendStatus, malformed error) {
	s.mu.Lock()
	if link != s.link {
		s.mu.Unlock()
		return
	}
	now := s.clock.Now()
	if malformed != nil {
		s.logMalformed(malformed)
	}
	switch stated := &s.stated; {
	case status.Limited:
		stated.limitedAt = now
	case stated.status.Limited && (malformed != nil || now.Sub(stated.limitedAt) < limitEndDelay):
		status = status.WithRequestLimit(stated.status.RequestLimit)
	}
	if status.Leaving {
		s.startDrain(now)
	} else if s.stated.status.Leaving {
		status = status.WithLeaving() // The answer was sent before the others.
	}
	s.stated.answered = true
	changed := s.state(now, status)
	s.mu.Unlock()
	if changed {
		s.changed()
	}
}

// AdoptStatus uses a request limit that another node knows until the backend server with
// the id has answered. Otherwise a node that restarts would exceed the limit of its backend
// server until then. It implements relay.BackendServer.
func (s *Server) AdoptStatus(id string, status exchange.BackendStatus) {
	s.mu.Lock()
	status.Leaving = s.stated.status.Leaving
	changed := id == s.record.ID && !s.stated.answered && status.Valid() && s.state(s.clock.Now(), status)
	s.mu.Unlock()
	if changed {
		s.changed()
	}
}

// Report returns what the backend server has stated, or zero if it states nothing. It
// implements relay.BackendServer.
func (s *Server) Report() exchange.BackendReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stated.status == (exchange.BackendStatus{}) {
		return exchange.BackendReport{}
	}
	return exchange.BackendReport{ID: s.record.ID, Born: s.record.Born, Status: s.stated.status}
}

// logMalformed logs an error of an answer unless it was the last one logged. mu must be
// held.
func (s *Server) logMalformed(malformed error) {
	text := malformed.Error()
	if text == s.stated.malformed {
		return
	}
	s.stated.malformed = text
	s.log.Emit(event.StatusUnreadable, log.Fields{"backend-server": s.record.ID, "error": text})
}

// state records a status and reports whether it is new, which it logs. mu must be held.
func (s *Server) state(now time.Time, status exchange.BackendStatus) bool {
	before := s.stated
	if status == before.status {
		return false
	}
	s.stated.status, s.stated.since, s.stated.usage = status, now, s.usage
	sent := s.usage.minus(before.usage)
	fields := log.Fields{
		"backend-server": s.record.ID, "limited": status.Limited, "request-limit": status.RequestLimit, "leaving": status.Leaving,
		"limited-before": before.status.Limited, "request-limit-before": before.status.RequestLimit,
		"sent-since": sent.Sent, "retried-since": sent.Retried, "answered": s.stated.answered,
	}
	if !before.since.IsZero() {
		fields["stated-for"] = now.Sub(before.since).String()
	}
	s.log.Emit(event.BackendStatus, fields)
	return true
}

// Status returns what the backend server stated last.
func (s *Server) Status() exchange.BackendStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stated.status
}

// Usage returns the requests sent to backend servers since the node started.
func (s *Server) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}
