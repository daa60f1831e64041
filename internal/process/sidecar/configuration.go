package sidecar

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/bilberryvane/bilberryvane/internal/process/event"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

// A Decoder reads a configuration as the operator wrote it.
type Decoder func(content []byte) (*traffic.Snapshot, error)

// A configuration holds the newest version that the node has seen. It never goes
// back within the life of the process.
type configuration struct {
	decode  Decoder
	log     event.Log
	changed func()

	// mu guards snapshot and content.
	mu       sync.RWMutex
	snapshot *traffic.Snapshot
	content  []byte
}

// Snapshot returns the version in force; nil before the first one is known.
func (c *configuration) Snapshot() *traffic.Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot
}

// Version returns the number of the version in force; 0 before the first.
func (c *configuration) Version() uint64 {
	if s := c.Snapshot(); s != nil {
		return s.Version()
	}
	return 0
}

// Content returns the version in force as the operator wrote it.
func (c *configuration) Content() []byte {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.content
}

// adopt puts a configuration in force if it is newer than the present one.
func (c *configuration) adopt(content []byte, from string) {
	s, err := c.decode(content)
	if err != nil {
		c.log.Emit(event.ConfigurationRejected, log.Fields{"error": err.Error(), "from": from})
		return
	}
	c.mu.Lock()
	before := c.snapshot
	newer := before == nil || s.Version() > before.Version()
	if newer {
		c.snapshot, c.content = s, content
	}
	c.mu.Unlock()
	if newer {
		c.log.Emit(event.ConfigurationInForce, log.Fields{"version": s.Version(), "from": from})
		c.changed()
	}
}

// Target returns the target of a route. It implements admitter.Targets.
func (c *configuration) Target(route string) time.Duration {
	if s := c.Snapshot(); s != nil {
		return s.Target(route)
	}
	return 0
}
