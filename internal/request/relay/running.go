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
	calls   RunCalls
	// open is the number of calls that have not ended.
	open int
}

// RunCalls are the calls that a request made while it ran.
type RunCalls struct {
	// ByRoute is the number of calls, by route.
	ByRoute map[string]float64
	// Failed says that a call failed, or had not ended when the request did.
	Failed bool
}

// NewRunningRequests returns an empty RunningRequests.
func NewRunningRequests() *RunningRequests { return &RunningRequests{running: make(map[string]*run)} }

// Start adds a request. The returned function must be called when the request ends; it
// removes the request and returns its calls.
func (rr *RunningRequests) Start(c call.Context) func() RunCalls {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	started := &run{context: c}
	rr.running[c.RequestID] = started
	return func() RunCalls {
		rr.mu.Lock()
		defer rr.mu.Unlock()
		if rr.running[c.RequestID] == started {
			delete(rr.running, c.RequestID)
		}
		calls := started.calls
		calls.Failed = calls.Failed || started.open > 0
		return calls
	}
}

// RecordCall counts a call by its route and returns the context of the running request
// that made it, and a function that must be called when the call ends. It returns false
// if the parent is not running.
func (rr *RunningRequests) RecordCall(parent, route string) (c call.Context, end func(failed bool), ok bool) {
	if parent == "" {
		return call.Context{}, nil, false
	}
	rr.mu.Lock()
	defer rr.mu.Unlock()
	r, ok := rr.running[parent]
	if !ok {
		return call.Context{}, nil, false
	}
	if r.calls.ByRoute == nil {
		r.calls.ByRoute = make(map[string]float64)
	}
	r.calls.ByRoute[route]++
	r.open++
	return r.context, func(failed bool) {
		rr.mu.Lock()
		defer rr.mu.Unlock()
		r.open--
		r.calls.Failed = r.calls.Failed || failed
	}, true
}
