package trunk

import (
	"context"
	"time"
)

const (
	// probeDelay is the time without received data after which a peer is probed while
	// calls wait for its replies.
	probeDelay = 100 * time.Millisecond
	// silenceTimeout is the time without received data after a probe from which a trunk
	// is silent. A node that has used up its processor quota pauses for up to a tenth of
	// a second.
	silenceTimeout = 300 * time.Millisecond
)

// A silence tracks whether the peer of a trunk responds.
type silence struct {
	receivedAt time.Time
	// probedAt is when the peer was probed; zero if it responded since.
	probedAt time.Time
	silent   bool
	// askedAt is when the oldest unanswered probe was sent; zero if there is none. Data that
	// was on its way before it is no answer.
	askedAt time.Time
	// roundTrip is the time that the last answer to a probe took; zero before the first.
	roundTrip time.Duration
	// responded is closed when data arrives, and then replaced.
	responded chan struct{}
}

func newSilence(now time.Time) silence {
	return silence{receivedAt: now, responded: make(chan struct{})}
}

// release wakes all that wait for a response.
func (s *silence) release() {
	close(s.responded)
	s.responded = make(chan struct{})
}

// markReceived records that data arrived.
func (t *Trunk) markReceived() {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.silence
	s.receivedAt = t.clock.Now()
	if !s.probedAt.IsZero() {
		s.probedAt, s.silent = time.Time{}, false
		s.release()
	}
}

// Silent reports whether the peer has stopped to respond.
func (t *Trunk) Silent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silence.silent
}

// markAnswered records that the answer to a probe arrived.
func (t *Trunk) markAnswered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.silence
	if !s.askedAt.IsZero() {
		s.roundTrip, s.askedAt = t.clock.Now().Sub(s.askedAt), time.Time{}
	}
}

// RoundTrip returns the time that the peer's last answer to a probe took, and false if there was
// none yet.
func (t *Trunk) RoundTrip() (d time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.silence.roundTrip, t.silence.roundTrip > 0
}

// Check probes the peer if calls wait for replies and nothing has arrived for some time.
// If a probe was not answered in time, the trunk becomes silent and abandonable calls
// fail. Without such calls, the peer is probed once nothing has arrived for maxQuiet.
// Check returns whether the trunk became silent. It must be called every 100 ms or less.
func (t *Trunk) Check(maxQuiet time.Duration) bool {
	t.mu.Lock()
	now, s := t.clock.Now(), &t.silence
	quiet := now.Sub(s.receivedAt)
	probe := s.probedAt.IsZero() && (len(t.calls) > 0 && quiet >= probeDelay || quiet >= maxQuiet)
	if probe {
		s.probedAt = now
	}
	became := !s.silent && !s.probedAt.IsZero() && now.Sub(s.probedAt) >= silenceTimeout
	s.silent = s.silent || became
	if s.silent {
		t.abandonCalls()
	}
	t.mu.Unlock()
	if probe {
		t.probe()
	}
	return became
}

// abandonCalls fails the abandonable calls. mu must be held.
func (t *Trunk) abandonCalls() {
	for callID, c := range t.calls {
		if c.abandonable {
			c.silent = true
			close(c.reply)
			delete(t.calls, callID)
		}
	}
}

// Confirm returns once the peer is known to respond: at once if data arrived within the
// last 100 ms, else after a probe. It fails with ErrNotSent if the peer doesn't respond
// within 300 ms. Work that must not run twice is sent only after that, so that it is
// rarely lost on a connection that has failed without a reset.
func (t *Trunk) Confirm(ctx context.Context) error {
	t.mu.Lock()
	now, s := t.clock.Now(), &t.silence
	if t.closed {
		t.mu.Unlock()
		return ErrNotSent
	}
	if now.Sub(s.receivedAt) < probeDelay {
		t.mu.Unlock()
		return nil
	}
	if s.probedAt.IsZero() {
		s.probedAt = now
	}
	responded := s.responded
	t.mu.Unlock()
	t.probe()
	timer := time.NewTimer(silenceTimeout)
	defer timer.Stop()
	select {
	case <-responded:
		return nil
	case <-timer.C:
	case <-ctx.Done():
	}
	return ErrNotSent
}

func (t *Trunk) probe() {
	t.mu.Lock()
	if t.silence.askedAt.IsZero() {
		t.silence.askedAt = t.clock.Now()
	}
	t.mu.Unlock()
	// An error means that the trunk is closed.
	_ = t.send(kindProbe, 0, struct{}{})
}
