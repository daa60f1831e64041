package grantnet

import (
	"fmt"
	"time"

	"github.com/bilberryvane/bilberryvane/rate"
)

// A LimitChange is a limit and the time from which it applies.
type LimitChange struct {
	At    time.Time
	Limit rate.Limit
}

// A LimitHistory is the sequence of limits of one account, in time order.
type LimitHistory []LimitChange

// A WindowViolation is a time window in which more requests were admitted than the
// limits allow.
type WindowViolation struct {
	From     time.Time
	To       time.Time
	Admitted int
	Allowed  rate.Quantity
}

// Error implements error.
func (e WindowViolation) Error() string {
	return fmt.Sprintf("admitted %d in %s from %s, allowed %.9f", e.Admitted, e.To.Sub(e.From), e.From.Format(time.StampMicro), e.Allowed.Float())
}

// CheckWindows checks every window that begins and ends with an admission. A
// lower limit is enforced once it has applied for the duration settle, a higher one
// at once. Rates must be whole numbers of tokens per second, so that the sum is exact.
func (h LimitHistory) CheckWindows(admitted []time.Time, settle time.Duration) error {
	for i, from := range admitted {
		for j := i; j < len(admitted); j++ {
			allowed := h.allowed(from, admitted[j], settle)
			if rate.Quantity(j-i+1)*rate.Token > allowed {
				return WindowViolation{From: from, To: admitted[j], Admitted: j - i + 1, Allowed: allowed}
			}
		}
	}
	return nil
}

// allowed returns the tokens allowed in a window: burst + rate*t, summed over changes.
func (h LimitHistory) allowed(from, to time.Time, settle time.Duration) rate.Quantity {
	burst := h.largest(from.Add(-settle), from).Burst
	total := rate.Quantity(0)
	at := from
	for at.Before(to) {
		next := h.nextChange(at, to, settle)
		largest := h.largest(at.Add(-settle), at)
		total += largest.Rate / rate.Token * rate.Quantity(next.Sub(at))
		burst = max(burst, largest.Burst)
		at = next
	}
	return max(burst, h.largest(to.Add(-settle), to).Burst) + total
}

// largest returns the largest rate and burst that apply within an interval.
func (h LimitHistory) largest(from, to time.Time) rate.Limit {
	total := rate.Limit{}
	for i, c := range h {
		ended := i+1 < len(h) && !h[i+1].At.After(from)
		if !c.At.After(to) && !ended {
			total = total.Max(c.Limit)
		}
	}
	return total
}

// nextChange returns the next time at which the result of largest may change.
func (h LimitHistory) nextChange(after, end time.Time, settle time.Duration) time.Time {
	next := end
	for _, c := range h {
		for _, at := range []time.Time{c.At, c.At.Add(settle)} {
			if at.After(after) && at.Before(next) {
				next = at
			}
		}
	}
	return next
}
