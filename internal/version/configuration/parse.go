package configuration

import (
	"cmp"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/account"
	"github.com/bilberryvane/bilberryvane/internal/version/class"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
	"github.com/bilberryvane/bilberryvane/internal/version/service"
)

// Value ranges of a configuration.
const (
	MinTarget = time.Millisecond
	MaxTarget = 10 * time.Minute
	// MinRate and MaxRate bound the rate of a client account in requests per second.
	MinRate = 0.01
	MaxRate = 10_000_000
	// MinBurst and MaxBurst bound the burst of a client account in requests.
	MinBurst = 1
	MaxBurst = 10_000_000
	// MaxShare bounds the sum of all zone shares.
	MaxShare = 1
)

// shareTolerance is how far the sum of shares may exceed MaxShare, to allow for
// rounding of decimal fractions.
const shareTolerance = 1e-9

// Section kinds and their keys, as listed in docs/SETTINGS.md.
const (
	kindService = "service"
	kindClass   = "class"
	kindAccount = "account"
	kindKey     = "key"
	kindZone    = "zone"

	keyCalls      = "calls"
	keyService    = "service"
	keyMethod     = "method"
	keyPathPrefix = "path-prefix"
	keyTarget     = "target"
	keyImportance = "importance"
	keyIdempotent = "idempotent"
	keyOpen       = "open"
	keyRate       = "rate"
	keyBurst      = "burst"
	keyAccount    = "account"
	keyHash       = "hash"
	keyShare      = "share"
)

// methods are the HTTP methods that a class may specify.
var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// namePattern matches the names of services, classes, accounts, keys and zones.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// A parser parses one document in two passes: the first reads each section, the
// second validates the references between sections.
type parser struct {
	document *document.Document
	tables   *tables
	// services, classes, keys and zones hold the sections for the second pass;
	// classes and keys have the same order as in tables.
	services, classes, keys, zones []*document.Section
}

// Parse parses and validates a configuration. On failure the error is
// document.Faults, which lists every fault with file, line and reason, and the
// Snapshot is the zero one, so that no part of an invalid document takes effect.
func Parse(name string, content []byte) (Snapshot, error) {
	p := &parser{
		document: document.Parse(name, content),
		tables: &tables{
			services:         make(map[string]service.Service),
			classesByService: make(map[string][]class.Class),
			accounts:         make(map[string]account.Account),
			keysByHash:       make(map[key.Hash]key.Key),
			keyIDs:           make(map[string]struct{}),
			zoneShares:       make(map[string]float64),
		},
	}
	p.document.ReportDuplicates()
	for _, s := range p.document.Sections() {
		p.readSection(s)
	}
	p.checkServices()
	p.checkClasses()
	p.checkKeys()
	p.checkZones()
	if err := p.document.Err(); err != nil {
		return Snapshot{}, err
	}
	p.buildIndexes()
	return Snapshot{tables: p.tables}, nil
}

func (p *parser) readSection(s *document.Section) {
	known := keySpecs.KeysOf(s.Kind())
	if len(known) == 0 {
		p.document.Reportf(s.Line(), "unknown section %q; known sections are service, class, account, key, zone", s.Kind())
		return
	}
	s.ReportUnknown(known...)
	if !namePattern.MatchString(s.Name()) {
		p.document.Reportf(s.Line(), "section %q needs a name of lower-case letters, digits, dots and hyphens", s.Kind())
		return
	}
	switch s.Kind() {
	case kindService:
		p.readService(s)
	case kindClass:
		p.readClass(s)
	case kindAccount:
		p.readAccount(s)
	case kindKey:
		p.readKey(s)
	case kindZone:
		p.readZone(s)
	}
}

func (p *parser) readService(s *document.Section) {
	p.services = append(p.services, s)
	p.tables.services[s.Name()] = service.Service{Name: s.Name(), Calls: s.List(keyCalls)}
}

func (p *parser) readClass(s *document.Section) {
	s.Require(keyService, keyTarget, keyImportance)
	c := class.Class{
		Name:       s.Name(),
		Service:    s.Text(keyService, ""),
		Method:     s.Text(keyMethod, ""),
		PathPrefix: s.Text(keyPathPrefix, "/"),
		Target:     s.Duration(keyTarget, 0, MinTarget, MaxTarget),
		Importance: class.Importance(s.Int(keyImportance, 0, int(class.MinImportance), int(class.MaxImportance))),
		Idempotent: s.Bool(keyIdempotent, false),
		Open:       s.Bool(keyOpen, false),
	}
	if c.Method != "" && !slices.Contains(methods, c.Method) {
		s.Reportf(keyMethod, "method %q is not one of %s", c.Method, strings.Join(methods, ", "))
	}
	if canonical, ok := canonicalPath(c.PathPrefix); !ok || canonical != c.PathPrefix {
		s.Reportf(keyPathPrefix, "path-prefix %q is not a canonical path such as /orders", c.PathPrefix)
	}
	p.classes = append(p.classes, s)
	p.tables.classes = append(p.tables.classes, c)
}

func (p *parser) readAccount(s *document.Section) {
	s.Require(keyRate, keyBurst)
	p.tables.accounts[s.Name()] = account.Account{
		Name:  s.Name(),
		Rate:  s.Float(keyRate, 0, MinRate, MaxRate),
		Burst: s.Float(keyBurst, 0, MinBurst, MaxBurst),
	}
}

func (p *parser) readKey(s *document.Section) {
	s.Require(keyAccount, keyHash)
	k := key.Key{ID: s.Name(), Account: s.Text(keyAccount, "")}
	hash, err := key.ParseHash(s.Text(keyHash, ""))
	if err != nil {
		if s.Has(keyHash) {
			s.Reportf(keyHash, "key %q: the hash is not the hexadecimal SHA-256 of a key", s.Name())
		}
		return
	}
	k.Hash = hash
	p.keys = append(p.keys, s)
	p.tables.keys = append(p.tables.keys, k)
}

func (p *parser) readZone(s *document.Section) {
	s.Require(keyShare)
	p.zones = append(p.zones, s)
	p.tables.zoneShares[s.Name()] = s.Float(keyShare, 0, 0, MaxShare)
}

func (p *parser) checkServices() {
	for _, s := range p.services {
		for _, called := range s.List(keyCalls) {
			if _, ok := p.tables.services[called]; !ok {
				s.Reportf(keyCalls, "service %q calls undefined service %q", s.Name(), called)
			}
		}
	}
}

// checkClasses reports classes with an undefined service and classes that match the
// same requests.
func (p *parser) checkClasses() {
	first := make(map[class.Class]string)
	for i, c := range p.tables.classes {
		s := p.classes[i]
		if _, ok := p.tables.services[c.Service]; !ok && s.Has(keyService) {
			s.Reportf(keyService, "class %q belongs to undefined service %q", c.Name, c.Service)
		}
		pattern := class.Class{Service: c.Service, Method: c.Method, PathPrefix: c.PathPrefix}
		if other, ok := first[pattern]; ok && other != c.Name {
			s.Reportf(keyPathPrefix, "class %q overlaps class %q: same service, method and path-prefix", c.Name, other)
			continue
		}
		first[pattern] = c.Name
	}
}

func (p *parser) checkKeys() {
	for i, k := range p.tables.keys {
		s := p.keys[i]
		if _, ok := p.tables.accounts[k.Account]; !ok && s.Has(keyAccount) {
			s.Reportf(keyAccount, "key %q belongs to undefined account %q", k.ID, k.Account)
		}
		if other, ok := p.tables.keysByHash[k.Hash]; ok && other.ID != k.ID {
			s.Reportf(keyHash, "keys %q and %q have the same hash", other.ID, k.ID)
			continue
		}
		p.tables.keysByHash[k.Hash] = k
		p.tables.keyIDs[k.ID] = struct{}{}
	}
}

// checkZones reports the zone at which the sum of the shares, in document order,
// exceeds MaxShare.
func (p *parser) checkZones() {
	sum := 0.0
	for _, s := range p.zones {
		before := sum
		sum += p.tables.zoneShares[s.Name()]
		if before <= MaxShare+shareTolerance && sum > MaxShare+shareTolerance {
			s.Reportf(keyShare, "the shares of all zones sum to more than %v, from zone %q on", MaxShare, s.Name())
		}
	}
}

// buildIndexes sorts the lists and groups the classes by service.
func (p *parser) buildIndexes() {
	t := p.tables
	slices.SortFunc(t.classes, func(a, b class.Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(t.keys, func(a, b key.Key) int { return cmp.Compare(a.ID, b.ID) })
	for _, a := range t.accounts {
		t.sortedAccounts = append(t.sortedAccounts, a)
	}
	slices.SortFunc(t.sortedAccounts, func(a, b account.Account) int { return cmp.Compare(a.Name, b.Name) })
	for _, c := range t.classes {
		t.classesByService[c.Service] = append(t.classesByService[c.Service], c)
	}
	for _, cs := range t.classesByService {
		slices.SortStableFunc(cs, func(a, b class.Class) int {
			return cmp.Or(
				cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)),
				cmp.Compare(len(b.Method), len(a.Method)),
			)
		})
	}
}
