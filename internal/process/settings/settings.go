// Package settings reads the settings of one node: its name, its availability
// zone, the addresses that it listens on and what it must reach. They are read
// once at start. What operators decide for all hosts is in package configuration.
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

// Host says which host the node runs on.
type Host struct {
	// Name is unique in the deployment.
	Name string
	// Zone is the host's availability zone.
	Zone string
	// Region groups availability zones that are near one another.
	Region string
}

// Listen holds the addresses that the node listens on, each an IP with a port.
type Listen struct {
	// Callers is for clients, over HTTP.
	Callers string
	// Peers is for other nodes, over QUIC.
	Peers string
	// Backend is for the own backend server, over HTTP; a loopback address.
	Backend string
	// Operators is for the operators' tool, over HTTP.
	Operators string
}

// Platform says how the platform's services are reached.
type Platform struct {
	// TableEndpoint is the URL of the table service.
	TableEndpoint string
	// Table is the name of the table.
	Table string
	// ObjectEndpoint is the URL of the object store.
	ObjectEndpoint string
	// Bucket is the name of the bucket.
	Bucket string
	// Region is the platform's name of the region.
	Region string
	// AccessKey and SecretKey are the credentials for both services.
	AccessKey string
	SecretKey string
	// Timeout bounds one call.
	Timeout time.Duration
}

// Peers says how other nodes are known and trusted.
type Peers struct {
	// Seeds are peer addresses to start from.
	Seeds []string
	// Authority is the file with the authority's certificate.
	Authority string
	// Certificate is the file with the node's certificate.
	Certificate string
	// PrivateKey is the file with the node's private key.
	PrivateKey string
	// GroupKey is the file with the key that authenticates membership messages.
	GroupKey string
}

// Limits bound what the node takes.
type Limits struct {
	// HeaderBytes bounds the headers of a request.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int
	// CallerConnections bounds the connections of callers.
	CallerConnections int
	// Queue bounds the requests that wait for the backend server.
	Queue int
}

// Timing holds the node's times.
type Timing struct {
	// Drain is how long a leaving node still answers new requests of callers
	// whose connections are open, while others learn that it leaves.
	Drain time.Duration
	// Shutdown bounds the whole shutdown.
	Shutdown time.Duration
	// AnnounceExpiry is how long a backend server counts as present without
	// announcing itself again.
	AnnounceExpiry time.Duration
}

// Keys says how far client account keys are trusted.
type Keys struct {
	// Bound is how long a node that is cut off trusts its keys; 0 is without end.
	Bound time.Duration
}

// Claims says how work that runs at most once is remembered.
type Claims struct {
	// Retention is how long a claim is kept from its beginning.
	Retention time.Duration
}

// An option is one key of the settings. The table of options is the single
// source for reading, for checking and for docs/SETTINGS.md.
type option struct {
	section, key string
	required     bool
	standard     string
	about        string
	read         func(*Settings, *document.Section, string)
}

// Parse reads and checks settings whole. The error is document.Faults and lists
// every fault with file, line and reason.
func Parse(name string, content []byte) (Settings, error) {
	d := document.Parse(name, content)
	d.ReportDuplicates()
	sections := map[string]*document.Section{}
	all := values()
	for _, s := range d.Sections() {
		known := all.KeysOf(s.Kind())
		if len(known) == 0 || s.Name() != "" {
			d.Reportf(s.Line(), "unknown section %q", s.Kind())
			continue
		}
		s.ReportUnknown(known...)
		sections[s.Kind()] = s
	}
	var read Settings
	for _, o := range options {
		readOption(&read, d, sections, o)
	}
	if err := d.Err(); err != nil {
		return Settings{}, err
	}
	return read, nil
}

// readOption reads one key; a missing section counts as an empty one.
func readOption(read *Settings, d *document.Document, sections map[string]*document.Section, o option) {
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
	o.read(read, s, o.key)
}
