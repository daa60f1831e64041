package console

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/operator"
)

const (
	// maxConcurrentRequests limits how many nodes are queried concurrently.
	maxConcurrentRequests = 64
	// maxDiscoveryRounds limits the rounds in which hosts are queried for their peers.
	maxDiscoveryRounds = 4
	// maxResponseBytes limits the response of a node.
	maxResponseBytes = 32 << 20
)

// A nodeClient queries nodes at their operator addresses.
type nodeClient struct {
	client  *fasthttp.Client
	timeout time.Duration
	seeds   []string
}

func newNodeClient(s Settings) *nodeClient {
	return &nodeClient{
		client: &fasthttp.Client{
			MaxResponseBodySize:       maxResponseBytes,
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
		},
		timeout: s.Timeout,
		seeds:   s.Nodes,
	}
}

// A HostStatus is the known state of one host. Host and zone are empty for an address
// of the settings that doesn't answer and isn't a peer of a host that does.
type HostStatus struct {
	operator.Status
	// Address is the operator address at which the host was queried.
	Address string `json:"address"`
	// Answered reports that the host answered. Otherwise the state comes from its peers.
	Answered bool `json:"answered"`
}

// hosts returns the status of all hosts. A host lists as peers all hosts of its zone and
// some of other zones, so one host of each zone is queried for its peers, starting with
// the hosts of the settings. All operator ports are assumed to be the same.
func (n *nodeClient) hosts(ctx context.Context) ([]HostStatus, error) {
	d := discovery{byHost: make(map[string]HostStatus), peers: make(map[string]operator.Peer), queried: make(map[string]bool)}
	next := n.seeds
	for range maxDiscoveryRounds {
		d.add(n.queryAll(ctx, next, ""))
		next = d.nextPerZone()
	}
	if !d.anyAnswered() {
		return nil, fmt.Errorf("ask hosts at %v: %w", n.seeds, errUnreachable)
	}
	d.add(n.queryAll(ctx, d.unqueried(), "?"+operator.OmitPeersQuery))
	return sortHosts(d.byHost), nil
}

// A discovery is the set of hosts found so far.
type discovery struct {
	// byHost holds the hosts that answered by name and the others by address.
	byHost map[string]HostStatus
	// peers holds the peers of the hosts that answered, by operator address.
	peers map[string]operator.Peer
	// queried holds the operator addresses that were queried.
	queried map[string]bool
}

func (d discovery) anyAnswered() bool {
	for _, h := range d.byHost {
		if h.Answered {
			return true
		}
	}
	return false
}

// add merges the statuses of queried hosts.
func (d discovery) add(found []HostStatus) {
	for _, h := range found {
		d.queried[h.Address] = true
		if !h.Answered {
			d.byHost[h.Address] = h
			continue
		}
		d.byHost[h.Host] = h
		_, port, _ := net.SplitHostPort(h.Address)
		for _, p := range h.Peers {
			if ip, _, err := net.SplitHostPort(p.Address); err == nil {
				d.peers[net.JoinHostPort(ip, port)] = p
			}
		}
	}
	for address, h := range d.byHost {
		if p, known := d.peers[address]; known && !h.Answered {
			h.Host, h.Zone, h.Service, h.Leaving = p.Host, p.Zone, p.Service, p.Leaving
			d.byHost[address] = h
		}
	}
}

// nextPerZone returns the address of one unqueried host in each zone from which no host
// has answered.
func (d discovery) nextPerZone() []string {
	covered := make(map[string]bool)
	for _, h := range d.byHost {
		covered[h.Zone] = covered[h.Zone] || h.Answered
	}
	var addresses []string
	for _, address := range d.unqueried() {
		if zone := d.peers[address].Zone; !covered[zone] {
			covered[zone] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// unqueried returns the addresses of hosts that were not queried, sorted.
func (d discovery) unqueried() []string {
	var addresses []string
	for address, p := range d.peers {
		if _, answered := d.byHost[p.Host]; !answered && !d.queried[address] {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func sortHosts(byHost map[string]HostStatus) []HostStatus {
	hosts := make([]HostStatus, 0, len(byHost))
	for _, h := range byHost {
		h.Peers = nil
		hosts = append(hosts, h)
	}
	slices.SortFunc(hosts, func(a, b HostStatus) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Host, b.Host))
	})
	return hosts
}

// queryAll queries hosts for their status concurrently.
func (n *nodeClient) queryAll(ctx context.Context, addresses []string, query string) []HostStatus {
	found := make([]HostStatus, len(addresses))
	n.forEach(addresses, func(i int, address string) {
		found[i].Address = address
		err := n.get(ctx, address, operator.StatusPath+query, &found[i].Status)
		found[i].Answered = err == nil
	})
	return found
}

// forEach calls a function for each address, up to maxConcurrentRequests at a time.
func (n *nodeClient) forEach(addresses []string, query func(i int, address string)) {
	pool := pond.NewPool(maxConcurrentRequests)
	for i, address := range addresses {
		pool.Submit(func() { query(i, address) })
	}
	pool.StopAndWait()
}

// get reads one page of a node into answer. It returns errNotFound if the node doesn't
// have the page.
func (n *nodeClient) get(ctx context.Context, address, path string, answer any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	deadline := time.Now().Add(n.timeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := n.client.DoDeadline(request, response, deadline); err != nil {
		return fmt.Errorf("ask %s: %w: %w", address, errUnreachable, err)
	}
	switch response.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusNotFound:
		return fmt.Errorf("ask %s for %s: %w", address, path, errNotFound)
	default:
		return fmt.Errorf("ask %s for %s: status %d", address, path, response.StatusCode())
	}
	if err := json.Unmarshal(response.Body(), answer); err != nil {
		return fmt.Errorf("decode response of %s: %w", address, err)
	}
	return nil
}

// collect reads one page of every host that answers. It skips hosts from which the page
// can't be read.
func collect[T any](ctx context.Context, n *nodeClient, path string) ([]T, error) {
	hosts, err := n.hosts(ctx)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, h := range hosts {
		if h.Answered {
			addresses = append(addresses, h.Address)
		}
	}
	// mu guards pages.
	var mu sync.Mutex
	var pages []T
	n.forEach(addresses, func(_ int, address string) {
		var page T
		if err := n.get(ctx, address, path, &page); err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		pages = append(pages, page)
	})
	return pages, nil
}

// refusalPath returns the path of the page on one refused request.
func refusalPath(requestID string) string { return operator.RefusalsPath + url.PathEscape(requestID) }
