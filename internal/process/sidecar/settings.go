package sidecar

import (
	"time"

	"github.com/bilberryvane/bilberryvane/admission"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/process/retrybudget"
	"github.com/bilberryvane/bilberryvane/internal/version/document"
	"github.com/bilberryvane/bilberryvane/overflow"
)

// Settings are the settings of a node on the users' platform. Unknown sections and
// keys are ignored, because newer deployments may have more of them.
type Settings struct {
	// Name is the name of the host, unique in the deployment. Zone is its
	// availability zone.
	Name, Zone string
	// Service is the service that the host's backend server runs.
	Service string
	// Callers, Readiness, Announcements and Peers are the addresses that the node
	// listens on.
	Callers, Readiness, Announcements, Peers string
	// Metrics is the address on which counters are served; empty disables it.
	Metrics string
	// Backend is the address of the backend server.
	Backend string
	// AnnounceInterval is the expected time between two announcements of the
	// backend server.
	AnnounceInterval time.Duration
	// Store is the address of the platform's metadata store.
	Store string
	// Drain is how long a backend server accepts requests after it announced that it
	// leaves.
	Drain time.Duration
	// Grace is the time between the termination signal and the kill of the process.
	Grace time.Duration
	// Retries limits the requests that are sent again to another backend server.
	Retries Retries
	// RateTolerance is the excess over a client account's rate that the platform accepts.
	RateTolerance quota.Tolerance
	// ColdTolerance is what a backend server accepts in one second above its rate while it
	// is cold.
	ColdTolerance ColdTolerance
	// ZonePlan decides which requests leave their availability zone.
	ZonePlan ZonePlan
	// FirstStart is true if the whole deployment starts for the first time.
	FirstStart bool
	// MemoryMB is the memory limit of the process, in MiB.
	MemoryMB int
}

// ColdTolerance is what the platform accepts above the rate of a cold backend server: in no
// second more than the rate times Excess plus Slack requests.
type ColdTolerance struct {
	// Excess is zero if requests to cold backend servers are not bounded.
	Excess, Slack float64
}

// Retries is the retry budget of the fleet.
type Retries struct {
	// Share is the number of retries allowed per request.
	Share float64
	// Reserve is the number of retries allowed in each Window in addition to Share.
	Reserve int
	Window  time.Duration
}

// usable returns the bounds that nodes use.
func (r Retries) usable() admission.RetryBounds {
	return retrybudget.Usable(admission.RetryBounds{Share: r.Share, Reserve: float64(r.Reserve), Window: r.Window})
}

// A ZonePlan is the plan of what leaves an availability zone.
type ZonePlan struct {
	// Enabled makes large fleets use the plan.
	Enabled bool
	// ByteCost is the time that callers must win for each KiB between zones.
	ByteCost time.Duration
}

// heldBodiesDivisor divides the memory of the process to get the memory for the bodies of
// callers' requests. Each body is held twice for a moment, when it is sent on.
const heldBodiesDivisor = 8

// maxHeldBodyBytes returns the bytes of callers' bodies that the process holds at once.
func (s Settings) maxHeldBodyBytes() int64 { return int64(s.MemoryMB) << 20 / heldBodiesDivisor }

// maxDuration is the upper limit of durations in the settings.
const maxDuration = time.Hour

// ParseSettings parses and validates settings. The error is document.Faults, which
// lists every fault with its file, line and reason.
func ParseSettings(name string, content []byte) (Settings, error) {
	d := document.Parse(name, content)
	r := settingsReader{document: d, sections: make(map[string]*document.Section)}
	for _, s := range d.Sections() {
		r.sections[s.Kind()] = s
	}
	read := Settings{
		Name:             r.text("host", "name"),
		Zone:             r.text("host", "zone"),
		Service:          r.text("host", "service"),
		Callers:          r.address("listen", "callers"),
		Readiness:        r.address("listen", "readiness"),
		Announcements:    r.address("listen", "announcements"),
		Peers:            r.address("listen", "peers"),
		Metrics:          r.section("listen").Text("metrics", ""),
		Backend:          r.address("backend-server", "address"),
		AnnounceInterval: r.section("backend-server").Duration("announce-interval", time.Second, time.Millisecond, maxDuration),
		Store:            r.address("store", "address"),
		Drain:            r.section("timing").Duration("drain", 2*time.Second, 0, maxDuration),
		Grace:            r.section("timing").Duration("grace", 6*time.Second, time.Millisecond, maxDuration),
		Retries: Retries{
			Share:   r.section("retries").Float("share", 0.2, 0, 10),
			Reserve: r.section("retries").Int("reserve", 50, 0, 1_000_000),
			Window:  r.section("retries").Duration("window", 10*time.Second, time.Millisecond, maxDuration),
		},
		RateTolerance: quota.Tolerance{
			Window: r.section("rates").Duration("window", 5*time.Second, time.Millisecond, maxDuration),
			Excess: r.section("rates").Float("excess", 0.1, 0, 10),
			Slack:  r.section("rates").Float("slack", 20, 0, 1_000_000),
		},
		ColdTolerance: ColdTolerance{
			Excess: r.section("cold").Float("excess", 0, 0, 1000),
			Slack:  r.section("cold").Float("slack", 0, 0, 1_000_000),
		},
		ZonePlan: ZonePlan{
			Enabled:  r.section("zones").Bool("plan", false),
			ByteCost: r.section("zones").Duration("byte-cost", overflow.DefaultByteCost, 0, maxDuration),
		},
		FirstStart: r.section("host").Bool("first-start", false),
		MemoryMB:   r.section("limits").Int("memory-mb", 256, 16, 1<<20),
	}
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return read, nil
}

// A settingsReader reads values from sections. A missing section counts as empty.
type settingsReader struct {
	document *document.Document
	sections map[string]*document.Section
}

func (r settingsReader) section(kind string) *document.Section {
	s, ok := r.sections[kind]
	if !ok {
		s = r.document.EmptySection(kind)
		r.sections[kind] = s
	}
	return s
}

// text reads a required, non-empty value.
func (r settingsReader) text(section, key string) string {
	s := r.section(section)
	value := s.Text(key, "")
	if value == "" {
		s.Reportf(key, "section %q needs a value for the key %q", section, key)
	}
	return value
}

// address reads a required IP address with a port.
func (r settingsReader) address(section, key string) string {
	if r.text(section, key) == "" {
		return ""
	}
	return r.section(section).Address(key, "")
}
