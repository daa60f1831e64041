// Package deployment lays out a small deployment on loopback for trials and
// tests: addresses, certificates, settings of each host and a configuration.
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
	// firstPort is the first port that a process uses on its loopback addresses.
	firstPort = 8000
	// portsPerDeployment separates the ports of a process's deployments.
	portsPerDeployment = 10
	// platformIndex is the place of the platform among the hosts' addresses.
	platformIndex = 250
	// maxDeployments bounds the deployments that a process can run at once.
	maxDeployments = 1000
)

// planned counts the deployments of this process.
var planned atomic.Int32

// lifetime is how long the certificates of a trial are valid.
const lifetime = 24 * time.Hour

// A Service is one service of the call graph.
type Service struct {
	Name string
	// Calls lists the services that it may call.
	Calls []string
}

// A Class is one class of work.
type Class struct {
	Name, Service, Method, PathPrefix string
	Target                            time.Duration
	Importance                        int
	Idempotent, Open                  bool
}

// An Account is one client account with its rate; Plan makes its key.
type Account struct {
	Name        string
	Rate, Burst float64
}

// A Layout says what a deployment consists of.
type Layout struct {
	Zones    []string
	Services []Service
	Classes  []Class
	Accounts []Account
	// Hosts is the number of hosts of each service in each zone.
	Hosts int
	// Platform is the address of the platform's stand-in; Plan fills it if empty.
	Platform string
	// Follow makes nodes in the process of a test take their configuration from
	// the platform and their peers; otherwise it is fixed.
	Follow bool
	// Extra is added to the settings of every host.
	Extra string
}

// A Host is one host of a deployment.
type Host struct {
	Name, Zone, Service string
	// Callers, Peers, Backend and Operators are the node's addresses.
	Callers, Peers, Backend, Operators string
	// Server is the address of the host's backend server.
	Server string
	// Settings is the file with the node's settings.
	Settings string
}

// A Deployment is a layout with its files and addresses.
type Deployment struct {
	Layout Layout
	Hosts  []Host
	// Keys holds the key of each account.
	Keys map[string]string
	// Configuration is the file with the configuration.
	Configuration string
	directory     string
	number        int
}

// Plan chooses addresses and writes all files below a directory.
func Plan(directory string, l Layout) (*Deployment, error) {
	d := &Deployment{Layout: l, Keys: map[string]string{}, directory: directory, number: int(planned.Add(1)) % maxDeployments}
	if d.Layout.Platform == "" {
		d.Layout.Platform = d.address(platformIndex, 0)
	}
	authority, err := identity.NewAuthority(time.Now(), lifetime)
	if err != nil {
		return nil, fmt.Errorf("make authority: %w", err)
	}
	if err := d.write("authority.pem", authority.PEM().Certificate); err != nil {
		return nil, err
	}
	groupKey, err := seal.GenerateKey()
	if err != nil {
		return nil, fmt.Errorf("make group key: %w", err)
	}
	if err := d.write("group.key", groupKey); err != nil {
		return nil, err
	}
	d.planHosts()
	for _, h := range d.Hosts {
		if err := d.writeHost(h, authority); err != nil {
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
			for i := range d.Layout.Hosts {
				h := Host{Name: fmt.Sprintf("%s-%s-%d", zone, s.Name, i+1), Zone: zone, Service: s.Name}
				d.chooseAddresses(&h)
				h.Settings = filepath.Join(d.directory, h.Name+".ini")
				d.Hosts = append(d.Hosts, h)
			}
		}
	}
}

// chooseAddresses gives the host addresses of its own.
func (d *Deployment) chooseAddresses(h *Host) {
	index := len(d.Hosts)
	h.Callers = d.address(index, 0)
	h.Peers = d.address(index, 1)
	h.Backend = d.address(index, 2)
	h.Operators = d.address(index, 3)
	h.Server = d.address(index, 4)
}

// address returns a port of a loopback address that belongs to one host of this
// process. No outgoing connection uses it as its source, so its ports can't be
// taken by chance.
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

func (d *Deployment) writeHost(h Host, a *identity.Authority) error {
	node := identity.Node{Host: h.Name, Zone: h.Zone}
	pair, err := a.Issue(node, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now(), lifetime)
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
		seeds = append(seeds, other.Peers)
	}
	file := func(name string) string { return filepath.Join(d.directory, name) }
	lines := []string{
		"[host]", "name = " + h.Name, "zone = " + h.Zone,
		"[listen]", "callers = " + h.Callers, "peers = " + h.Peers,
		"backend-server = " + h.Backend, "operators = " + h.Operators,
		"[platform]", "table-endpoint = http://" + d.Layout.Platform, "object-endpoint = http://" + d.Layout.Platform,
		"access-key = trial", "secret-key = trial",
		"[peers]", "seeds = " + strings.Join(seeds, ", "), "authority = " + file("authority.pem"),
		"certificate = " + file(h.Name+".pem"), "private-key = " + file(h.Name+".key"),
		"group-key = " + file("group.key"),
		d.Layout.Extra,
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
			return fmt.Errorf("make key of %s: %w", a.Name, err)
		}
		d.Keys[a.Name] = secret
		fmt.Fprintf(&text, "[account %s]\nrate = %g\nburst = %g\n", a.Name, a.Rate, a.Burst)
		fmt.Fprintf(&text, "[key %s-key]\naccount = %s\nhash = %s\n", a.Name, a.Name, key.HashOf(secret))
	}
	for _, z := range d.Layout.Zones {
		fmt.Fprintf(&text, "[zone %s]\nshare = %.4f\n", z, float64(int(10000/len(d.Layout.Zones)))/10000)
	}
	d.Configuration = filepath.Join(d.directory, "configuration.ini")
	return d.write("configuration.ini", []byte(text.String()))
}
