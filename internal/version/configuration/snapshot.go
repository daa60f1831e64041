// Package configuration holds the settings that operators control for all hosts:
// services, classes with their targets, client accounts with their rates, keys and
// zone shares. Parse validates a whole document and returns an immutable Snapshot.
// The node replaces the whole snapshot when a new version arrives and serves each
// request from a single snapshot.
package configuration

import (
	"net/url"
	"slices"
	"strings"

	"github.com/bilberryvane/bilberryvane/internal/version/account"
	"github.com/bilberryvane/bilberryvane/internal/version/class"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
	"github.com/bilberryvane/bilberryvane/internal/version/service"
)

// A Snapshot is one version of the configuration. It is immutable and safe for
// concurrent use; copies share their lookup tables. The zero Snapshot is empty and
// has version 0, which means that there is no configuration.
type Snapshot struct {
	version uint64
	tables  *tables
}

// tables holds the lookup tables of a snapshot. They are immutable once built.
type tables struct {
	services map[string]service.Service
	// classesByService lists the most specific classes first.
	classesByService map[string][]class.Class
	classes          []class.Class
	accounts         map[string]account.Account
	sortedAccounts   []account.Account
	keys             []key.Key
	keysByHash       map[key.Hash]key.Key
	keyIDs           map[string]struct{}
	zoneShares       map[string]float64
}

var emptyTables = &tables{}

// Version returns the version number; higher is newer, 0 means no configuration.
func (s Snapshot) Version() uint64 { return s.version }

// WithVersion returns a copy of the snapshot with another version number.
func (s Snapshot) WithVersion(version uint64) Snapshot {
	s.version = version
	return s
}

// Classify returns the class of a request to a service: the class with the longest
// matching path prefix and, among classes with the same prefix, the one that names
// the method. A prefix matches itself and all paths below it. A query in the path
// is ignored. Paths that a backend server may interpret differently, such as
// "/open/../closed", belong to no class; otherwise a caller without a key could
// reach a class that requires one.
func (s Snapshot) Classify(serviceName, method, path string) (class.Class, bool) {
	path, ok := canonicalPath(path)
	if !ok {
		return class.Class{}, false
	}
	for _, c := range s.lookup().classesByService[serviceName] {
		if c.Method != "" && c.Method != method {
			continue
		}
		if hasPathPrefix(c.PathPrefix, path) {
			return c, true
		}
	}
	return class.Class{}, false
}

// Service returns a service by name.
func (s Snapshot) Service(name string) (service.Service, bool) {
	v, ok := s.lookup().services[name]
	return v, ok
}

// Services returns all services sorted by name.
func (s Snapshot) Services() []service.Service {
	services := make([]service.Service, 0, len(s.lookup().services))
	for _, v := range s.lookup().services {
		services = append(services, v)
	}
	slices.SortFunc(services, func(a, b service.Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// KeyByHash returns the key with a hash. Withdrawn keys are not found.
func (s Snapshot) KeyByHash(hash key.Hash) (key.Key, bool) {
	k, ok := s.lookup().keysByHash[hash]
	return k, ok
}

// KeyActive reports whether the key with an ID was issued and not withdrawn.
func (s Snapshot) KeyActive(id string) bool {
	_, ok := s.lookup().keyIDs[id]
	return ok
}

// Keys returns all keys sorted by ID.
func (s Snapshot) Keys() []key.Key { return slices.Clone(s.lookup().keys) }

// Account returns a client account by name.
func (s Snapshot) Account(name string) (account.Account, bool) {
	a, ok := s.lookup().accounts[name]
	return a, ok
}

// Accounts returns all client accounts sorted by name.
func (s Snapshot) Accounts() []account.Account { return slices.Clone(s.lookup().sortedAccounts) }

// Classes returns all classes sorted by name.
func (s Snapshot) Classes() []class.Class { return slices.Clone(s.lookup().classes) }

// ZoneShare returns the fraction of each client account's rate and burst that an
// availability zone owns, from 0 to 1. The shares of all zones sum to at most 1.
func (s Snapshot) ZoneShare(zone string) float64 { return s.lookup().zoneShares[zone] }

// Zones returns the availability zones that have a share, sorted by name.
func (s Snapshot) Zones() []string {
	zones := make([]string, 0, len(s.lookup().zoneShares))
	for zone := range s.lookup().zoneShares {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

func (s Snapshot) lookup() *tables {
	if s.tables == nil {
		return emptyTables
	}
	return s.tables
}

// canonicalPath returns the path without its query and percent encoding. It reports
// false for a path that another program may interpret as a different one.
func canonicalPath(path string) (string, bool) {
	path, _, _ = strings.Cut(path, "?")
	if path == "" {
		return "/", true
	}
	if strings.IndexByte(path, '%') >= 0 {
		if hasEncodedSeparator(path) {
			return "", false
		}
		decoded, err := url.PathUnescape(path)
		if err != nil {
			return "", false
		}
		path = decoded
	}
	return path, path[0] == '/' && isCanonical(path)
}

// hasEncodedSeparator reports whether a path contains an encoded slash, backslash
// or percent sign.
func hasEncodedSeparator(path string) bool {
	lower := strings.ToLower(path)
	return strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%25")
}

// isCanonical reports whether a path has no empty or dot segments, path parameters,
// fragments, backslashes or control characters.
func isCanonical(path string) bool {
	for i := 0; i < len(path); i++ {
		if c := path[i]; c < ' ' || c == '\\' || c == ';' || c == '#' {
			return false
		}
	}
	for rest := path[1:]; rest != ""; {
		segment, after, more := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && more) {
			return false
		}
		rest = after
	}
	return true
}

// hasPathPrefix reports whether a path equals the prefix or lies below it.
func hasPathPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
