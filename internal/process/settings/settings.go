// Package settings parses the settings of one node: its name, its availability
// zone, its listen addresses and the services that it depends on. They are read
// once at startup. Settings that operators control for all hosts are in package
// configuration.
package settings

import (
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/document"
)

// Settings are the settings of one node.
type Settings struct {
	Host     Host
	Listen   Listen
	Platform Platform
	Peers    Peers
	Limits   Limits
	Timing   Timing
	Keys     Keys
	Claims   Claims
}

// Host identifies the host that the node runs on.
type Host struct {
	// Name is unique in the deployment.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// Region groups availability zones that are close to one another.
	Region string
}

// Listen holds the addresses that the node listens on, each an IP address with a
// port.
type Listen struct {
	// Callers is for clients, over HTTP.
	Callers string
	// Peers is for other nodes, over QUIC.
	Peers string
	// Backend is for the host's own backend server, over HTTP; a loopback address.
	Backend string
	// Operators is for the operators' tool, over HTTP.
	Operators string
}

// Platform holds the endpoints and credentials of the platform's services.
type Platform struct {
	// TableEndpoint is the URL of the table service.
	TableEndpoint string
	// Table is the name of the table.
	Table string
	// ObjectEndpoint is the URL of the object store.
	ObjectEndpoint string
	// Bucket is the name of the bucket.
	Bucket string
	// Region is the platform's name for the region.
	Region string
	// AccessKey and SecretKey are the credentials for both services.
	AccessKey string
	SecretKey string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Peers holds the settings for discovery and authentication of other nodes.
type Peers struct {
	// Seeds are the initial peer addresses.
	Seeds []string
	// AuthorityFile is the file with the authority's certificate.
	AuthorityFile string
	// CertificateFile is the file with the node's certificate.
	CertificateFile string
	// PrivateKeyFile is the file with the node's private key.
	PrivateKeyFile string
	// GroupKeyFile is the file with the keys that authenticate membership messages.
	GroupKeyFile string
}

// Limits bound the requests and connections that the node accepts.
type Limits struct {
	// MaxHeaderBytes bounds the size of a request's headers.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int
	// MaxCallerConnections bounds the number of connections of callers.
	MaxCallerConnections int
	// MaxQueue bounds the number of requests queued for the backend server.
	MaxQueue int
}

// Timing holds the timeouts of the node.
type Timing struct {
	// Drain is how long a leaving node still accepts new requests on open connections
	// of callers while other nodes are notified that it is leaving.
	Drain time.Duration
	// ShutdownTimeout bounds the whole shutdown.
	ShutdownTimeout time.Duration
	// AnnounceExpiry is how long a backend server is considered present without a new
	// announcement.
	AnnounceExpiry time.Duration
}

// Keys holds how long client account keys are trusted.
type Keys struct {
	// MaxOffline is how long a node that is cut off trusts its keys; 0 means forever.
	MaxOffline time.Duration
}

// Claims holds how long at-most-once requests are recorded.
type Claims struct {
	// Retention is how long a claim is kept, counted from its start.
	Retention time.Duration
}

// An option is one key of the settings. The table of options is the single source
// for parsing, validation and docs/SETTINGS.md.
type option struct {
	section, key string
	required     bool
	defaultValue string
	description  string
	read         func(*Settings, *document.Section, string)
}

// Parse parses and validates settings. The error is document.Faults and lists every
// fault with file, line and reason.
func Parse(name string, content []byte) (Settings, error) {
	d := document.Parse(name, content)
	d.ReportDuplicates()
	sections := map[string]*document.Section{}
	specs := keySpecs()
	for _, s := range d.Sections() {
		known := specs.KeysOf(s.Kind())
		if len(known) == 0 || s.Name() != "" {
			d.Reportf(s.Line(), "unknown section %q", s.Kind())
			continue
		}
		s.ReportUnknown(known...)
		sections[s.Kind()] = s
	}
	var result Settings
	for _, o := range options {
		readOption(&result, d, sections, o)
	}
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return result, nil
}

// readOption reads one key; a missing section is treated as an empty one.
func readOption(result *Settings, d *document.Document, sections map[string]*document.Section, o option) {
	s := sections[o.section]
	if s == nil && o.required {
		d.Reportf(1, "section %q with the key %q is missing", o.section, o.key)
		return
	}
	if s == nil {
		s = d.EmptySection(o.section)
		sections[o.section] = s
	}
	if o.required {
		s.Require(o.key)
	}
	o.read(result, s, o.key)
}
