// Package registry holds the calls that the backend server of a node is running, by an
// opaque request token. The backend server sends the token with the calls that it makes
// in turn. It therefore never receives a key and can't choose the client account of its
// calls. Package execute issues tokens; package entry looks them up.
package registry

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

// siblingReserve is the number of attempts that a child call leaves for other calls of
// the same parent.
const siblingReserve = 4

// maxPressures bounds the number of pressures stored for one call.
const maxPressures = 64

// A RunningCall is a call that the backend server is running. It holds the call's
// remaining attempts, from which its child calls borrow.
type RunningCall struct {
	// Context is the context with which the call was admitted.
	Context call.Context
	// Done is closed when the call ends, so that child calls are cancelled.
	Done chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	attempts int
	ended    bool
	// children is the number of child calls in progress, childrenSince the start of the
	// current period with any in progress, and waited the total of the periods before.
	children      int
	childrenSince time.Time
	waited        time.Duration
	pressures     []exchange.Pressure
}

// BorrowAttempts takes attempts for one child call and returns their number; zero if the
// call has ended or has no attempts left. Some are left for concurrent child calls.
func (r *RunningCall) BorrowAttempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0
	}
	borrowed := r.attempts - min(siblingReserve, r.attempts/2)
	r.attempts -= borrowed
	return borrowed
}

// ReturnAttempts returns attempts that a child call did not use.
func (r *RunningCall) ReturnAttempts(unused int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		r.attempts += max(0, unused)
	}
}

// BeginCall records the start of a child call.
func (r *RunningCall) BeginCall(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.children == 0 {
		r.childrenSince = now
	}
	r.children++
}

// EndCall records the end of a child call and the pressure in its answer.
func (r *RunningCall) EndCall(now time.Time, p exchange.Pressure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.children--
	if r.children == 0 {
		r.waited += now.Sub(r.childrenSince)
	}
	if p.Service != "" && len(r.pressures) < maxPressures {
		r.pressures = append(r.pressures, p)
	}
}

// ChildStats returns how long the backend server waited for child calls, and the
// pressures in their answers.
func (r *RunningCall) ChildStats(now time.Time) (time.Duration, []exchange.Pressure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waited := r.waited
	if r.children > 0 {
		waited += now.Sub(r.childrenSince)
	}
	return waited, r.pressures
}

// end marks the call as ended and returns its unused attempts. Attempts that child
// calls return later are discarded, so that none is counted twice.
func (r *RunningCall) end() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return 0
	}
	r.ended = true
	close(r.Done)
	return r.attempts
}

// A Registry holds the running calls of one node by token.
type Registry struct {
	// mu guards running.
	mu      sync.RWMutex
	running map[string]*RunningCall
}

// New returns an empty registry.
func New() *Registry { return &Registry{running: map[string]*RunningCall{}} }

// Issue registers a call and returns its token, which is random and can't be guessed.
func (r *Registry) Issue(c call.Context) (string, *RunningCall) {
	token := rand.Text()
	running := &RunningCall{Context: c, Done: make(chan struct{}), attempts: c.Attempts}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[token] = running
	return token, running
}

// Lookup returns the call of a token; false if the token is unknown or the call has ended.
func (r *Registry) Lookup(token string) (*RunningCall, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	running, ok := r.running[token]
	return running, ok
}

// End removes a token and returns the unused attempts of its call.
func (r *Registry) End(token string) int {
	r.mu.Lock()
	running, ok := r.running[token]
	delete(r.running, token)
	r.mu.Unlock()
	if !ok {
		return 0
	}
	return running.end()
}

// Len returns the number of running calls.
func (r *Registry) Len() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.running)
}
