package sidecar

import (
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// Settings are the settings of a node on the users' platform. Sections and keys
// that are not named here are ignored, as newer deployments may have more.
type Settings struct {
	// Name is unique in the deployment, Zone the host's availability zone.
	Name, Zone string
	// Service is what the backend server of the host runs.
	Service string
	// Callers, Readiness, Announcements and Peers are the addresses that the node
	// listens on.
	Callers, Readiness, Announcements, Peers string
	// Metrics is where counters are served; empty for nowhere.
	Metrics string
	// Backend is the address of the backend server.
	Backend string
	// Beat is the usual time between two announcements of the backend server.
	Beat time.Duration
	// Store is the address of the platform's metadata store.
	Store string
	// Drain is how long a backend server takes requests after it said that it leaves.
	Drain time.Duration
	// Grace is the time from the signal to end to being killed.
	Grace time.Duration
	// Retries bounds the requests that are sent to a further backend server.
	Retries Retries
	// FirstStart says that the whole deployment starts for the first time.
	FirstStart bool
	// MemoryMB bounds the memory of the process, in MiB.
	MemoryMB int
}

// Retries is the fleet's budget for sending requests again.
type Retries struct {
	// Share is the number of repeats per request.
	Share float64
	// Reserve is the number of repeats in each Window beside it.
	Reserve int
	Window  time.Duration
}

// longestTime bounds the times in the settings.
const longestTime = time.Hour

// ParseSettings reads and checks settings whole. The error is document.Faults
// and lists every fault with file, line and reason.
func ParseSettings(name string, content []byte) (Settings, error) {
	d := document.Read(name, content)
	r := settingsReader{document: d, sections: make(map[string]*document.Section)}
	for _, s := range d.Sections() {
		r.sections[s.Kind()] = s
	}
	read := Settings{
		Name:          r.text("host", "name"),
		Zone:          r.text("host", "zone"),
		Service:       r.text("host", "service"),
		Callers:       r.address("listen", "callers"),
		Readiness:     r.address("listen", "readiness"),
		Announcements: r.address("listen", "announcements"),
		Peers:         r.address("listen", "peers"),
		Metrics:       r.section("listen").Text("metrics", ""),
		Backend:       r.address("backend-server", "address"),
		Beat:          r.section("backend-server").Duration("announce-interval", time.Second, time.Millisecond, longestTime),
		Store:         r.address("store", "address"),
		Drain:         r.section("timing").Duration("drain", 2*time.Second, 0, longestTime),
		Grace:         r.section("timing").Duration("grace", 6*time.Second, time.Millisecond, longestTime),
		Retries: Retries{
			Share:   r.section("retries").Number("share", 0.2, 0, 10),
			Reserve: r.section("retries").Integer("reserve", 50, 0, 1_000_000),
			Window:  r.section("retries").Duration("window", 10*time.Second, time.Millisecond, longestTime),
		},
		FirstStart: r.section("host").Flag("first-start", false),
		MemoryMB:   r.section("limits").Integer("memory-mb", 256, 16, 1<<20),
	}
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return read, nil
}

// A settingsReader reads sections, of which a missing one counts as empty.
type settingsReader struct {
	document *document.Document
	sections map[string]*document.Section
}

func (r settingsReader) section(kind string) *document.Section {
	s, ok := r.sections[kind]
	if !ok {
		s = r.document.Empty(kind)
		r.sections[kind] = s
	}
	return s
}

// text reads a value that must be there and not be empty.
func (r settingsReader) text(section, key string) string {
	s := r.section(section)
	value := s.Text(key, "")
	if value == "" {
		s.Report(key, "section %q needs a value for the key %q", section, key)
	}
	return value
}

// address reads an IP address with a port that must be there.
func (r settingsReader) address(section, key string) string {
	if r.text(section, key) == "" {
		return ""
	}
	return r.section(section).Address(key, "")
}
