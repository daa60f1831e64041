package admission

import "math"

// A ColdLimit bounds the requests to a backend server while it is cold.
type ColdLimit struct {
	// PerSecond is the number of requests per second that it tolerates.
	PerSecond float64
	// In no second may it get more than PerSecond times Excess plus Slack requests, from all
	// nodes together.
	Excess, Slack float64
}

// maxStartsPerSecond returns the maximum number of requests in one second, at least 1.
func (l ColdLimit) maxStartsPerSecond() int {
	return max(1, int(math.Min(maxCountedStarts, l.PerSecond*l.Excess+l.Slack)))
}

// WithColdLimit returns the capacity of the backend server while it is cold. A lower limit
// that it states itself holds on.
func (c Capacity) WithColdLimit(l ColdLimit) Capacity {
	if !c.Limited || l.PerSecond < c.RequestsPerSecond {
		c.Limited, c.RequestsPerSecond = true, l.PerSecond
	}
	c.MaxStartsPerSecond = l.maxStartsPerSecond()
	return c
}
