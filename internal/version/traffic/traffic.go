// Package traffic holds a configuration whose operators name routes rather than
// classes: which service serves a host and path, how often and how long a
// request may be tried, and which client accounts may call. A Snapshot never
// changes; the node swaps whole snapshots as versions come. Package
// configuration holds the configuration of the product's own interface.
package traffic

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// A Route tells how requests of one host and path prefix are served.
type Route struct {
	// Name is unique in a snapshot.
	Name string
	// Host and Prefix select the requests; a prefix begins and ends with a slash.
	Host       string
	PathPrefix string
	// Destinations are the services that take the requests, each with its weight.
	Destinations []Destination
	// Idempotent says that a request may run more than once.
	Idempotent bool
	// Open says that requests need no key.
	Open bool
	// Timeout is how long a caller may be kept waiting.
	Timeout time.Duration
	// Target is the time within which a request should be answered.
	Target time.Duration
	// MaxAttempts is the number of backend servers that one request may be sent to.
	MaxAttempts int
	// Priority orders routes under overload; 0 is the most important.
	Priority int
}

// A Destination is a service's part of the requests of a route.
type Destination struct {
	Service string
	Weight  float64
}

// Account is a client account with its rate over all hosts together.
type Account struct {
	Name string
	// Priority takes the place of the route's where Ranked is true.
	Priority    int
	HasPriority bool
	// Rate is in requests per second; zero means no limit.
	Rate float64
	// Burst is the number of requests above the rate.
	Burst float64
	// Keys are the account's keys. They never leave the process.
	Keys []string
}

// Service is what the operator says of a service.
type Service struct {
	Name string
	// HealthPath answers 200 while a backend server is healthy.
	HealthPath string
	// MaxConnections is the number that a backend server accepts from all callers.
	MaxConnections int
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Spec are the content of a snapshot.
type Spec struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// A Snapshot is one version of the configuration. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	parts    Spec
	routes   map[routeKey]Route
	services map[string]Service
	accounts map[string]Account
	keys     map[string]string
	targets  map[string]time.Duration
}

type routeKey struct{ host, prefix string }

// NewSnapshot checks the parts and returns their snapshot. The error names every
// fault.
func NewSnapshot(p Spec) (*Snapshot, error) {
	s := &Snapshot{
		parts:    p,
		routes:   make(map[routeKey]Route, len(p.Routes)),
		services: make(map[string]Service, len(p.Services)),
		accounts: make(map[string]Account, len(p.Accounts)),
		keys:     make(map[string]string),
		targets:  make(map[string]time.Duration, len(p.Routes)),
	}
	var faults []error
	for _, v := range p.Services {
		s.services[v.Name] = v
	}
	for _, r := range p.Routes {
		faults = append(faults, s.addRoute(r))
	}
	for _, a := range p.Accounts {
		faults = append(faults, s.addAccount(a))
	}
	if err := errors.Join(faults...); err != nil {
		return nil, fmt.Errorf("configuration version %d: %w", p.Version, err)
	}
	return s, nil
}

func (s *Snapshot) addRoute(r Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	if len(r.Destinations) == 0 {
		return fmt.Errorf("route %q names no service", r.Name)
	}
	for _, share := range r.Destinations {
		if _, ok := s.services[share.Service]; !ok {
			return fmt.Errorf("route %q: service %q does not exist", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return fmt.Errorf("route %q: weight %v of service %q is negative", r.Name, share.Weight, share.Service)
		}
	}
	s.routes[routeKey{strings.ToLower(r.Host), r.PathPrefix}] = r
	s.targets[r.Name] = r.Target
	return nil
}

func (s *Snapshot) addAccount(a Account) error {
	for _, k := range a.Keys {
		if other, taken := s.keys[k]; taken && other != a.Name {
			return fmt.Errorf("client accounts %q and %q have the same key", other, a.Name)
		}
		s.keys[k] = a.Name
	}
	s.accounts[a.Name] = a
	return nil
}

// Version returns the number of the version; higher is newer.
func (s *Snapshot) Version() uint64 { return s.parts.Version }

// Limits returns what callers may send.
func (s *Snapshot) Limits() Limits { return s.parts.Limits }

// Accounts returns all client accounts. The caller must not change them.
func (s *Snapshot) Accounts() []Account { return s.parts.Accounts }

// RequiresKeys reports whether there are client accounts, so that routes that are
// not open need a key.
func (s *Snapshot) RequiresKeys() bool { return len(s.parts.Accounts) > 0 }

// Service returns a service by name.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Account returns a client account by name.
func (s *Snapshot) Account(name string) (Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// AccountByKey returns the client account that holds a key.
func (s *Snapshot) AccountByKey(key string) (Account, bool) {
	name, ok := s.keys[key]
	if !ok {
		return Account{}, false
	}
	return s.Account(name)
}

// Route returns the route of the host whose prefix covers most of the path. The
// host may carry a port and the path a query, which are ignored.
func (s *Snapshot) Route(host, path string) (Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	host = strings.ToLower(host)
	if query := strings.IndexAny(path, "?#"); query >= 0 {
		path = path[:query]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := s.routes[routeKey{host, path[:end+1]}]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// Target returns the target of a route by its name; zero if there is none.
func (s *Snapshot) Target(route string) time.Duration { return s.targets[route] }
