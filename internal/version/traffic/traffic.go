// Package traffic holds a configuration that is based on routes rather than
// classes: which service serves a host and path, how often and for how long a
// request may be attempted, and which client accounts may call. A Snapshot is
// immutable; the node replaces the whole snapshot when a new version arrives.
// Package configuration holds the configuration of the product's own interface.
package traffic

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"
)

// A Route defines how requests for one host and path prefix are served.
type Route struct {
	// Name is unique in a snapshot.
	Name string
	// Host and PathPrefix select the requests; a prefix starts and ends with a slash.
	Host       string
	PathPrefix string
	// Destinations are the services that share the requests, each with its weight.
	Destinations []Destination
	// Idempotent means that a request may run more than once.
	Idempotent bool
	// Open means that requests need no key.
	Open bool
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// Target is the target response time of a request.
	Target time.Duration
	// MaxAttempts is the maximum number of backend servers that one request is sent
	// to.
	MaxAttempts int
	// Priority orders routes under overload; 0 is the highest priority.
	Priority int
}

// A Destination is a service with its weight in the traffic split of a route.
type Destination struct {
	Service string
	Weight  float64
}

// An Account is a client account with its rate over all hosts together.
type Account struct {
	Name string
	// Priority overrides the route's priority if HasPriority is true.
	Priority    int
	HasPriority bool
	// Rate is in requests per second; zero means no limit.
	Rate float64
	// Burst is the number of requests allowed above the rate.
	Burst float64
	// Keys are the account's secret keys. They never leave the process.
	Keys []string
}

// A Service is the configuration of a service.
type Service struct {
	Name string
	// HealthPath returns status 200 while a backend server is healthy.
	HealthPath string
	// MaxConnections is the number of connections that a backend server accepts from
	// all callers together.
	MaxConnections int
	// ColdTime is how long a backend server stays cold after it becomes so. ColdRate is the
	// number of requests per second that it tolerates meanwhile; zero if none is stated.
	ColdTime time.Duration
	ColdRate float64
}

// maxColdTime is far above the time for which any backend server is cold.
const maxColdTime = time.Hour

// validate returns an error if the values of the service are out of range.
func (v Service) validate() error {
	switch {
	case math.IsNaN(v.ColdRate) || math.IsInf(v.ColdRate, 0) || v.ColdRate < 0:
		return fmt.Errorf("service %q: %v requests per second to a cold backend server", v.Name, v.ColdRate)
	case v.ColdTime < 0 || v.ColdTime > maxColdTime:
		return fmt.Errorf("service %q: its backend servers are cold for %v", v.Name, v.ColdTime)
	}
	return nil
}

// Limits bound the requests and connections of callers. Sizes are in bytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// A Spec is the content of a snapshot.
type Spec struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	// RequireKeys means that routes that are not open require a key, also if there are no
	// accounts. They always do if there are some.
	RequireKeys bool
	Limits      Limits
	// Remarks are sentences on parts that were read differently than they may be meant.
	Remarks []string
}

// A Snapshot is one version of the configuration. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	spec     Spec
	routes   map[routeKey]Route
	services map[string]Service
	accounts map[string]Account
	keys     map[string]string
	targets  map[string]time.Duration
}

type routeKey struct{ host, prefix string }

// NewSnapshot validates a spec and returns its snapshot. The error joins the first
// fault of each invalid service, route and account. Of two routes with the same host and
// prefix the one whose name comes first is used.
func NewSnapshot(p Spec) (*Snapshot, error) {
	s := &Snapshot{
		spec:     p,
		routes:   make(map[routeKey]Route, len(p.Routes)),
		services: make(map[string]Service, len(p.Services)),
		accounts: make(map[string]Account, len(p.Accounts)),
		keys:     make(map[string]string),
		targets:  make(map[string]time.Duration, len(p.Routes)),
	}
	var faults []error
	for _, v := range p.Services {
		s.services[v.Name] = v
		faults = append(faults, v.validate())
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
		return fmt.Errorf("route %q: prefix %q does not start and end with a slash", r.Name, r.PathPrefix)
	}
	if len(r.Destinations) == 0 {
		return fmt.Errorf("route %q has no service", r.Name)
	}
	for _, d := range r.Destinations {
		if _, ok := s.services[d.Service]; !ok {
			return fmt.Errorf("route %q: service %q does not exist", r.Name, d.Service)
		}
		if d.Weight < 0 {
			return fmt.Errorf("route %q: weight %v of service %q is negative", r.Name, d.Weight, d.Service)
		}
	}
	s.targets[r.Name] = r.Target
	key := routeKey{strings.ToLower(r.Host), r.PathPrefix}
	if other, ok := s.routes[key]; ok && other.Name < r.Name {
		return nil // All hosts have to use the same one of two routes for the same requests.
	}
	s.routes[key] = r
	return nil
}

func (s *Snapshot) addAccount(a Account) error {
	for _, k := range a.Keys {
		if other, ok := s.keys[k]; ok && other != a.Name {
			return fmt.Errorf("client accounts %q and %q have the same key", other, a.Name)
		}
		s.keys[k] = a.Name
	}
	s.accounts[a.Name] = a
	return nil
}

// Version returns the version number; higher is newer.
func (s *Snapshot) Version() uint64 { return s.spec.Version }

// Equal reports whether both have the same version and content.
func (s *Snapshot) Equal(o *Snapshot) bool {
	return s.spec.Version == o.spec.Version && s.spec.Limits == o.spec.Limits && s.RequiresKeys() == o.RequiresKeys() && reflect.DeepEqual(s.routes, o.routes) &&
		reflect.DeepEqual(s.services, o.services) && reflect.DeepEqual(s.accounts, o.accounts)
}

// Remarks returns sentences on parts that were read differently than they may be meant.
func (s *Snapshot) Remarks() []string { return s.spec.Remarks }

// Limits returns the limits of callers.
func (s *Snapshot) Limits() Limits { return s.spec.Limits }

// Routes returns all routes, including those that another one replaces. The caller must not
// modify the result.
func (s *Snapshot) Routes() []Route { return s.spec.Routes }

// Services returns all services. The caller must not modify the result.
func (s *Snapshot) Services() []Service { return s.spec.Services }

// Accounts returns all client accounts. The caller must not modify the result.
func (s *Snapshot) Accounts() []Account { return s.spec.Accounts }

// RequiresKeys reports whether routes that are not open require a key.
func (s *Snapshot) RequiresKeys() bool { return s.spec.RequireKeys || len(s.spec.Accounts) > 0 }

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

// AccountByKey returns the client account that a key belongs to.
func (s *Snapshot) AccountByKey(key string) (Account, bool) {
	name, ok := s.keys[key]
	if !ok {
		return Account{}, false
	}
	return s.Account(name)
}

// Route returns the route of a host with the longest prefix that matches the path.
// A port in the host and a query in the path are ignored.
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

// Target returns the target of a route by name; 0 if there is no such route.
func (s *Snapshot) Target(route string) time.Duration { return s.targets[route] }
