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
}

// minus returns the requests that were sent after an earlier Usage.
func (u Usage) minus(earlier Usage) Usage {
	return Usage{
		Sent: u.Sent - earlier.Sent, Retried: u.Retried - earlier.Retried,
		SentWhileLimited: u.SentWhileLimited - earlier.SentWhileLimited,
	}
}

// A statement is the last status that a backend server stated.
type statement struct {
	status exchange.BackendStatus
	// since is when it stated the status first, usage the requests sent until then.
	since time.Time
	usage Usage
	// malformed is the last error that was logged about its answers.
	malformed string
}

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
}

// RecordStatus records what an answer that arrived over a link states. Answers of an
// earlier backend server are ignored. A malformed answer doesn't end a request limit, and
// repeated errors are logged once. It implements relay.BackendServer.
func (s *Server) RecordStatus(link *backend.Link, status exchange.BackendStatus, malformed error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if link != s.link {
		return
	}
	if malformed != nil {
		if !status.Limited {
			status.Limited, status.RequestLimit = s.stated.status.Limited, s.stated.status.RequestLimit
		}
		if text := malformed.Error(); text != s.stated.malformed {
			s.stated.malformed = text
			s.log.Emit(event.StatusUnreadable, log.Fields{"backend-server": s.record.ID, "error": text})
		}
	}
	if status != s.stated.status {
		s.state(status)
	}
}

// state records a new status and logs it. mu must be held.
func (s *Server) state(status exchange.BackendStatus) {
	before, now := s.stated, s.clock.Now()
	s.stated = statement{status: status, since: now, usage: s.usage, malformed: before.malformed}
	sent := s.usage.minus(before.usage)
	fields := log.Fields{
		"backend-server": s.record.ID, "limited": status.Limited, "request-limit": status.RequestLimit, "leaving": status.Leaving,
		"limited-before": before.status.Limited, "request-limit-before": before.status.RequestLimit,
		"sent-since": sent.Sent, "retried-since": sent.Retried,
	}
	if !before.since.IsZero() {
		fields["stated-for"] = now.Sub(before.since).String()
	}
	s.log.Emit(event.BackendStatus, fields)
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
