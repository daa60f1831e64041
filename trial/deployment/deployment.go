// Package deployment creates a small deployment on loopback for trials and tests:
// addresses, certificates, the settings of each host and a configuration.
package deployment

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/connection/identity"
	"github.com/bilberryvane/bilberryvane/internal/connection/seal"
	"github.com/bilberryvane/bilberryvane/internal/version/key"
)

const (
	// firstPort is the lowest port used on each loopback address.
	firstPort = 8000
	// portsPerDeployment is the number of ports reserved for each deployment of a process.
	portsPerDeployment = 10
	// platformIndex is the host index of the fake platform's address.
	platformIndex = 250
	// maxDeployments is the maximum number of concurrent deployments of a process; the
	// ports of older ones are reused.
	maxDeployments = 1000
)

// deploymentCount is the number of deployments planned by this process.
var deploymentCount atomic.Int32

// certificateLifetime is the validity period of the certificates.
const certificateLifetime = 24 * time.Hour

// A Service is one service of the call graph.
type Service struct {
	Name string
	// Calls lists the services that this service may call.
	Calls []string
}

// A Class is one class of requests.
type Class struct {
	Name, Service, Method, PathPrefix string
	Target                            time.Duration
	Importance                        int
	Idempotent, Open                  bool
}

// An Account is one client account with its rate limit in requests per second. Plan
// generates its key.
type Account struct {
	Name        string
	Rate, Burst float64
}

// A Layout describes a deployment.
type Layout struct {
	Zones    []string
	Services []Service
	Classes  []Class
	Accounts []Account
	// HostsPerZone is the number of hosts of each service in each zone.
	HostsPerZone int
	// PlatformAddress is the address of the fake platform. Plan chooses it if empty.
	PlatformAddress string
	// FollowPlatform makes nodes started by StartHost get their configuration from
	// the platform and their peers; otherwise it is fixed.
	FollowPlatform bool
	// ExtraSettings is appended to the settings file of every host.
	ExtraSettings string
}

// A Host is one host of a deployment.
type Host struct {
	Name, Zone, Service string
	// CallerAddress, PeerAddress, BackendAddress and OperatorAddress are the addresses on
	// which the node listens.
	CallerAddress, PeerAddress, BackendAddress, OperatorAddress string
	// ServerAddress is the address on which the host's backend server listens.
	ServerAddress string
	// SettingsPath is the path of the node's settings file.
	SettingsPath string
}

// A Deployment is a layout with its addresses and files.
type Deployment struct {
	Layout Layout
	Hosts  []Host
	// AccountKeys holds the API key of each account by name.
	AccountKeys map[string]string
	// ConfigurationPath is the path of the configuration file.
	ConfigurationPath string
	directory         string
	number            int
}

// Plan chooses addresses and writes all files to a directory.
func Plan(directory string, l Layout) (*Deployment, error) {
	d := &Deployment{Layout: l, AccountKeys: map[string]string{}, directory: directory, number: int(deploymentCount.Add(1)) % maxDeployments}
	if d.Layout.PlatformAddress == "" {
		d.Layout.PlatformAddress = d.address(platformIndex, 0)
	}
	authority, err := identity.NewAuthority(time.Now(), certificateLifetime)
	if err != nil {
		return nil, fmt.Errorf("create certificate authority: %w", err)
	}
	if err := d.write("authority.pem", authority.PEM().Certificate); err != nil {
		return nil, err
	}
	groupKey, err := seal.GenerateKey()
	if err != nil {
		return nil, fmt.Errorf("generate group key: %w", err)
	}
	if err := d.write("group.key", groupKey); err != nil {
		return nil, err
	}
	d.planHosts()
	for _, h := range d.Hosts {
		if err := d.writeHostFiles(h, authority); err != nil {
			return nil, err
		}
	}
	return d, d.writeConfiguration()
}

// HostsOf returns the hosts of a service.
func (d *Deployment) HostsOf(service string) []Host {
	var hosts []Host
	for _, h := range d.Hosts {
		if h.Service == service {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (d *Deployment) planHosts() {
	for _, zone := range d.Layout.Zones {
		for _, s := range d.Layout.Services {
			for i := range d.Layout.HostsPerZone {
				h := Host{Name: fmt.Sprintf("%s-%s-%d", zone, s.Name, i+1), Zone: zone, Service: s.Name}
				d.assignAddresses(&h)
				h.SettingsPath = filepath.Join(d.directory, h.Name+".ini")
				d.Hosts = append(d.Hosts, h)
			}
		}
	}
}

// assignAddresses assigns the addresses of a host, one port each.
func (d *Deployment) assignAddresses(h *Host) {
	index := len(d.Hosts)
	h.CallerAddress = d.address(index, 0)
	h.PeerAddress = d.address(index, 1)
	h.BackendAddress = d.address(index, 2)
	h.OperatorAddress = d.address(index, 3)
	h.ServerAddress = d.address(index, 4)
}

// address returns a loopback address and port for the host with the given index.
// The IP address is derived from the process ID and the index. Outgoing connections
// don't use it as their source address, so they can't occupy its ports.
func (d *Deployment) address(index, port int) string {
	process := os.Getpid()
	address := net.IPv4(127, byte(1+(process>>8)%250), byte(process), byte(1+index))
	return net.JoinHostPort(address.String(), strconv.Itoa(firstPort+d.number*portsPerDeployment+port))
}

func (d *Deployment) write(name string, content []byte) error {
	if err := os.WriteFile(filepath.Join(d.directory, name), content, 0o600); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

func (d *Deployment) writeHostFiles(h Host, a *identity.Authority) error {
	node := identity.Node{Host: h.Name, Zone: h.Zone}
	pair, err := a.Issue(node, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), certificateLifetime)
	if err != nil {
		return fmt.Errorf("issue certificate of %s: %w", h.Name, err)
	}
	if err := d.write(h.Name+".pem", pair.Certificate); err != nil {
		return err
	}
	if err := d.write(h.Name+".key", pair.PrivateKey); err != nil {
		return err
	}
	return d.write(h.Name+".ini", []byte(d.settings(h)))
}

func (d *Deployment) settings(h Host) string {
	var seeds []string
	for _, other := range d.Hosts {
		seeds = append(seeds, other.PeerAddress)
	}
	file := func(name string) string { return filepath.Join(d.directory, name) }
	lines := []string{
		"[host]", "name = " + h.Name, "zone = " + h.Zone,
		"[listen]", "callers = " + h.CallerAddress, "peers = " + h.PeerAddress,
		"backend-server = " + h.BackendAddress, "operators = " + h.OperatorAddress,
		"[platform]", "table-endpoint = http://" + d.Layout.PlatformAddress, "object-endpoint = http://" + d.Layout.PlatformAddress,
		"access-key = trial", "secret-key = trial",
		"[peers]", "seeds = " + strings.Join(seeds, ", "), "authority = " + file("authority.pem"),
		"certificate = " + file(h.Name+".pem"), "private-key = " + file(h.Name+".key"),
		"group-key = " + file("group.key"),
		d.Layout.ExtraSettings,
	}
	return strings.Join(lines, "\n") + "\n"
}

func (d *Deployment) writeConfiguration() error {
	var text strings.Builder
	for _, s := range d.Layout.Services {
		fmt.Fprintf(&text, "[service %s]\n", s.Name)
		if len(s.Calls) > 0 {
			fmt.Fprintf(&text, "calls = %s\n", strings.Join(s.Calls, ", "))
		}
	}
	for _, c := range d.Layout.Classes {
		fmt.Fprintf(&text, "[class %s]\nservice = %s\n", c.Name, c.Service)
		if c.Method != "" {
			fmt.Fprintf(&text, "method = %s\n", c.Method)
		}
		fmt.Fprintf(&text, "path-prefix = %s\ntarget = %s\nimportance = %d\nidempotent = %t\nopen = %t\n",
			c.PathPrefix, c.Target, c.Importance, c.Idempotent, c.Open)
	}
	for _, a := range d.Layout.Accounts {
		secret, err := key.Generate()
		if err != nil {
			return fmt.Errorf("generate key of account %s: %w", a.Name, err)
		}
		d.AccountKeys[a.Name] = secret
		fmt.Fprintf(&text, "[account %s]\nrate = %g\nburst = %g\n", a.Name, a.Rate, a.Burst)
		fmt.Fprintf(&text, "[key %s-key]\naccount = %s\nhash = %s\n", a.Name, a.Name, key.HashOf(secret))
	}
	for _, z := range d.Layout.Zones {
		fmt.Fprintf(&text, "[zone %s]\nshare = %.4f\n", z, float64(int(10000/len(d.Layout.Zones)))/10000)
	}
	d.ConfigurationPath = filepath.Join(d.directory, "configuration.ini")
	return d.write("configuration.ini", []byte(text.String()))
}
