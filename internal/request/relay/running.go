package relay

import (
	"sync"

	"github.com/bilberryvane/bilberryvane/internal/request/call"
)

// RunningRequests holds the contexts of the requests that run on the backend server of
// the host. Calls made by the backend server inherit the class, importance and client
// account of the running request. It is safe for concurrent use.
type RunningRequests struct {
	// mu guards running.
	mu      sync.Mutex
	running map[string]*run
}

// A run is a request on the backend server.
type run struct {
	context call.Context
	// calls is the number of calls that the request made, by route.
	calls map[string]float64
}

// NewRunningRequests returns an empty RunningRequests.
func NewRunningRequests() *RunningRequests { return &RunningRequests{running: make(map[string]*run)} }

// Start adds a request. The returned function must be called when the request ends; it
// removes the request and returns the number of calls that it made, by route.
func (rr *RunningRequests) Start(c call.Context) func() map[string]float64 {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	started := &run{context: c}
	rr.running[c.RequestID] = started
	return func() map[string]float64 {
		rr.mu.Lock()
		defer rr.mu.Unlock()
		if rr.running[c.RequestID] == started {
			delete(rr.running, c.RequestID)
		}
		return started.calls
	}
}

// RecordCall counts a call by its route and returns the context of the running request
// that made it. It returns false if the parent is not running.
func (rr *RunningRequests) RecordCall(parent, route string) (call.Context, bool) {
	if parent == "" {
		return call.Context{}, false
	}
	rr.mu.Lock()
	defer rr.mu.Unlock()
	r, ok := rr.running[parent]
	if !ok {
		return call.Context{}, false
	}
	if r.calls == nil {
		r.calls = make(map[string]float64)
	}
	r.calls[route]++
	return r.context, true
}
