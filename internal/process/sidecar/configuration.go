package sidecar

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

// A Decoder parses a configuration document.
type Decoder func(content []byte) (*traffic.Snapshot, error)

// A configuration holds the newest configuration version that the node has received.
// The version never decreases within the life of the process.
type configuration struct {
	decode   Decoder
	log      event.Log
	onChange func()

	// mu guards snapshot and content.
	mu       sync.RWMutex
	snapshot *traffic.Snapshot
	content  []byte
}

// Snapshot returns the active configuration, or nil before the first one is received.
func (c *configuration) Snapshot() *traffic.Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot
}

// Version returns the version of the active configuration, or 0 before the first one.
func (c *configuration) Version() uint64 {
	if s := c.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// Content returns the active configuration in its encoded form, with its version.
func (c *configuration) Content() (version uint64, content []byte) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.snapshot == nil {
		return 0, nil
	}
	return c.snapshot.Version(), c.content
}

// adopt activates a configuration if it is newer than the active one, and logs one that has the
// version of the active one but other content. from is its source, the store or the name of a
// host. It reports whether the configuration is valid.
func (c *configuration) adopt(content []byte, from string) bool {
	start := time.Now()
	s, err := c.decode(content)
	if err != nil {
		c.log.Emit(event.ConfigurationRejected, log.Fields{"error": err.Error(), "from": from})
		return false
	}
	c.mu.Lock()
	current := c.snapshot
	newer := current == nil || s.Version() > current.Version()
	if newer {
		c.snapshot, c.content = s, content
	}
	c.mu.Unlock()
	if newer {
		c.log.Emit(event.ConfigurationInForce, log.Fields{"version": s.Version(), "from": from, "remarks": s.Remarks(), "took": time.Since(start).String()})
		c.onChange()
		return true
	}
	if s.Version() == current.Version() && !s.Equal(current) {
		c.log.Emit(event.ConfigurationAmbiguous, log.Fields{"version": s.Version(), "from": from})
	}
	return true
}

// coldRate returns the requests per second that a cold backend server of a service tolerates;
// zero if none are stated.
func (c *configuration) coldRate(service string) float64 {
	s := c.Snapshot()
	if s == nil {
		return 0
	}
	v, _ := s.Service(service)
	return v.ColdRate
}

// Target returns the target of a route. It implements admitter.Targets.
func (c *configuration) Target(route string) time.Duration {
	if s := c.Snapshot(); s != nil {
		return s.Target(route)
	}
	return 0
}
