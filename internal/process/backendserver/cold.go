package backendserver

import (
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
)

const (
	// assumedFor is how long a backend server is at most assumed to be cold, in
	// announcement intervals.
	assumedFor = maxMissedAnnouncements
	// announcementDelay is the time for which an announcement that was made before the
	// backend server became cold may still arrive.
	announcementDelay = 300 * time.Millisecond
)

// coldness is what is known of a backend server that is cold at times, by the clock of the
// node. It can become cold at any moment and tells that with its next announcement.
type coldness struct {
	// until is the end that it announced.
	until time.Time
	// assumedAt and assumedUntil bound the time for which it is assumed to be cold.
	assumedAt, assumedUntil time.Time
}

// announced applies the time for which the backend server says that it stays cold.
func (c *coldness) announced(now time.Time, left time.Duration) {
	c.until = now.Add(left)
	if left > 0 || now.Sub(c.assumedAt) >= announcementDelay {
		c.assumedUntil = time.Time{}
	}
}

// assume makes the backend server count as cold until it announces that it is not, for at
// most a span.
func (c *coldness) assume(now time.Time, atMost time.Duration) {
	c.assumedAt, c.assumedUntil = now, now.Add(atMost)
}

func (c *coldness) active(now time.Time) bool {
	return now.Before(c.until) || now.Before(c.assumedUntil)
}

// AssumeCold makes the backend server count as cold until it announces that it is not. It is
// for events after which it may have become cold since its last announcement.
func (s *Server) AssumeCold(why string) {
	s.mu.Lock()
	before := s.record
	s.assumeCold(s.clock.Now(), why)
	changed := s.record != before
	s.mu.Unlock()
	if changed {
		s.changed()
	}
}

// assumeCold does the work of AssumeCold. mu must be held.
func (s *Server) assumeCold(now time.Time, why string) {
	s.cold.assume(now, assumedFor*s.settings.AnnounceInterval)
	s.updateCold(now, why)
}

// updateCold sets whether the backend server counts as cold in the record, and logs a
// change. mu must be held.
func (s *Server) updateCold(now time.Time, why string) {
	cold := s.settings.BoundedWhenCold && s.record.ID != "" && s.cold.active(now)
	if cold == s.record.Cold {
		return
	}
	s.record.Cold = cold
	fields := log.Fields{"backend-server": s.record.ID, "cold": cold, "sent": s.usage.Sent, "sent-while-cold": s.usage.SentWhileCold}
	if cold {
		fields["why"], fields["left"] = why, s.cold.until.Sub(now).String()
	}
	s.log.Emit(event.BackendCold, fields)
}
