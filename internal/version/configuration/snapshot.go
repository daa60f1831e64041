// Package configuration holds what operators decide: services, classes with
// their targets, client accounts with their rates, keys and zone shares. Parse
// checks a document whole; the Snapshot that it returns never changes. The node
// swaps whole snapshots as versions come, and looks up in one per request.
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
// concurrent use; copies share their tables. The zero Snapshot holds nothing and
// has version 0, which stands for no configuration.
type Snapshot struct {
	version uint64
	tables  *tables
}

// tables holds the lookups of a snapshot. It isn't changed once built.
type tables struct {
	services map[string]service.Service
	// routes holds the classes of each service, the most specific first.
	routes   map[string][]class.Class
	classes  []class.Class
	accounts map[string]account.Account
	ordered  []account.Account
	keys     []key.Key
	byHash   map[key.Hash]key.Key
	keyIDs   map[string]struct{}
	shares   map[string]float64
}

var noTables = &tables{}

// Version returns the number of the version; higher is newer, 0 is none.
func (s Snapshot) Version() uint64 { return s.version }

// WithVersion returns the same configuration under another version.
func (s Snapshot) WithVersion(version uint64) Snapshot {
	s.version = version
	return s
}

// Classify returns the class of a request to a service: the one with the
// longest path prefix that covers the path, and of two with the same prefix the
// one that names the method. A prefix covers itself and the paths below it. The
// path may carry a query, which is ignored. Paths whose meaning could differ
// between this system and a backend server, such as "/open/../closed", belong to
// no class: otherwise a caller without a key could reach a class that needs one.
func (s Snapshot) Classify(serviceName, method, path string) (class.Class, bool) {
	path, ok := plainPath(path)
	if !ok {
		return class.Class{}, false
	}
	for _, c := range s.lookup().routes[serviceName] {
		if c.Method != "" && c.Method != method {
			continue
		}
		if covers(c.PathPrefix, path) {
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

// Services returns all services in the order of their names.
func (s Snapshot) Services() []service.Service {
	services := make([]service.Service, 0, len(s.lookup().services))
	for _, v := range s.lookup().services {
		services = append(services, v)
	}
	slices.SortFunc(services, func(a, b service.Service) int { return strings.Compare(a.Name, b.Name) })
	return services
}

// KeyByHash returns the key with a hash. A withdrawn key is not found.
func (s Snapshot) KeyByHash(hash key.Hash) (key.Key, bool) {
	k, ok := s.lookup().byHash[hash]
	return k, ok
}

// KeyActive reports whether the key with an id is in force, that is given and
// not withdrawn.
func (s Snapshot) KeyActive(id string) bool {
	_, ok := s.lookup().keyIDs[id]
	return ok
}

// Keys returns all keys in the order of their ids.
func (s Snapshot) Keys() []key.Key { return slices.Clone(s.lookup().keys) }

// Account returns a client account by name.
func (s Snapshot) Account(name string) (account.Account, bool) {
	a, ok := s.lookup().accounts[name]
	return a, ok
}

// Accounts returns all client accounts in the order of their names.
func (s Snapshot) Accounts() []account.Account { return slices.Clone(s.lookup().ordered) }

// Classes returns all classes in the order of their names.
func (s Snapshot) Classes() []class.Class { return slices.Clone(s.lookup().classes) }

// ZoneShare returns the part of each client account's rate and burst that an
// availability zone owns, from 0 to 1. The shares of all zones sum to 1 at most.
func (s Snapshot) ZoneShare(zone string) float64 { return s.lookup().shares[zone] }

// Zones returns the availability zones that have a share, in order.
func (s Snapshot) Zones() []string {
	zones := make([]string, 0, len(s.lookup().shares))
	for zone := range s.lookup().shares {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

func (s Snapshot) lookup() *tables {
	if s.tables == nil {
		return noTables
	}
	return s.tables
}

// plainPath returns the path without query and percent encoding. It reports
// false for a path that another program may read as a different one.
func plainPath(path string) (string, bool) {
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
	return path, path[0] == '/' && isPlain(path)
}

// hasEncodedSeparator reports an encoded slash, backslash or percent sign.
func hasEncodedSeparator(path string) bool {
	lower := strings.ToLower(path)
	return strings.Contains(lower, "%2f") || strings.Contains(lower, "%5c") || strings.Contains(lower, "%25")
}

// isPlain reports whether a path has no empty or dot segments, no path
// parameters, no backslash and no control characters.
func isPlain(path string) bool {
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

// covers reports whether a path is the prefix itself or lies below it.
func covers(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
