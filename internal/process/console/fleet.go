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
	// maxQuestions bounds the nodes that are asked at the same time.
	maxQuestions = 64
	// maxGuides bounds the rounds in which hosts are asked for their peers.
	maxGuides = 4
	// maxAnswerBytes bounds an answer of a node.
	maxAnswerBytes = 32 << 20
)

// fleet asks nodes at their operator addresses.
type fleet struct {
	client  *fasthttp.Client
	timeout time.Duration
	starts  []string
}

func newFleet(s Settings) *fleet {
	return &fleet{
		client: &fasthttp.Client{
			MaxResponseBodySize:       maxAnswerBytes,
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
		},
		timeout: s.Timeout,
		starts:  s.Nodes,
	}
}

// A HostStatus is how one host stands, as far as it can be told. Host and zone
// are empty for an address of the settings that neither answers nor is known to
// the hosts that do.
type HostStatus struct {
	operator.Status
	// Address is the operator address at which the host was asked.
	Address string `json:"address"`
	// Answered says that the host answered. Otherwise only what its peers tell
	// of it is known.
	Answered bool `json:"answered"`
}

// hosts asks all hosts for their status. Each host knows all hosts of its zone and
// some of others, so a host of every zone is asked for its peers: those in the
// settings, and one of each zone that they tell of. All operator ports are taken
// to be the same.
func (f *fleet) hosts(ctx context.Context) ([]HostStatus, error) {
	s := survey{byHost: make(map[string]HostStatus), peers: make(map[string]operator.Peer), asked: make(map[string]bool)}
	next := f.starts
	for range maxGuides {
		s.add(f.askAll(ctx, next, ""))
		next = s.guides()
	}
	if !s.anyAnswered() {
		return nil, fmt.Errorf("ask hosts at %v: %w", f.starts, errUnreachable)
	}
	s.add(f.askAll(ctx, s.rest(), "?"+operator.WithoutPeers))
	return sorted(s.byHost), nil
}

// A survey is what has been learnt of the hosts so far.
type survey struct {
	// byHost holds the hosts that answered, and those that did not by address.
	byHost map[string]HostStatus
	// peers holds by operator address the hosts of which others told.
	peers map[string]operator.Peer
	// asked holds the operator addresses that were asked.
	asked map[string]bool
}

func (s survey) anyAnswered() bool {
	for _, h := range s.byHost {
		if h.Answered {
			return true
		}
	}
	return false
}

// add takes in answers.
func (s survey) add(found []HostStatus) {
	for _, h := range found {
		s.asked[h.Address] = true
		if !h.Answered {
			s.byHost[h.Address] = h
			continue
		}
		s.byHost[h.Host] = h
		_, port, _ := net.SplitHostPort(h.Address)
		for _, p := range h.Peers {
			if ip, _, err := net.SplitHostPort(p.Address); err == nil {
				s.peers[net.JoinHostPort(ip, port)] = p
			}
		}
	}
	for address, h := range s.byHost {
		if p, known := s.peers[address]; known && !h.Answered {
			h.Host, h.Zone, h.Service, h.Leaving = p.Host, p.Zone, p.Service, p.Leaving
			s.byHost[address] = h
		}
	}
}

// guides returns the address of one host in each zone of which no host has told
// its peers, as far as there are hosts left to ask.
func (s survey) guides() []string {
	covered := make(map[string]bool)
	for _, h := range s.byHost {
		covered[h.Zone] = covered[h.Zone] || h.Answered
	}
	var addresses []string
	for _, address := range s.rest() {
		if zone := s.peers[address].Zone; !covered[zone] {
			covered[zone] = true
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// rest returns the addresses of hosts that were not asked, in order.
func (s survey) rest() []string {
	var addresses []string
	for address, p := range s.peers {
		if _, answered := s.byHost[p.Host]; !answered && !s.asked[address] {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func sorted(byHost map[string]HostStatus) []HostStatus {
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

// askAll asks many hosts for their status at once.
func (f *fleet) askAll(ctx context.Context, addresses []string, query string) []HostStatus {
	found := make([]HostStatus, len(addresses))
	f.each(addresses, func(i int, address string) {
		found[i].Address = address
		err := f.get(ctx, address, operator.StatusPath+query, &found[i].Status)
		found[i].Answered = err == nil
	})
	return found
}

// each calls a function for many addresses, some at the same time.
func (f *fleet) each(addresses []string, ask func(i int, address string)) {
	pool := pond.NewPool(maxQuestions)
	for i, address := range addresses {
		pool.Submit(func() { ask(i, address) })
	}
	pool.StopAndWait()
}

// get reads one page of a node. The error is errNotFound where there is none.
func (f *fleet) get(ctx context.Context, address, path string, answer any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	deadline := time.Now().Add(f.timeout)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := f.client.DoDeadline(request, response, deadline); err != nil {
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
		return fmt.Errorf("read answer of %s: %w", address, err)
	}
	return nil
}

// collect reads one page of every host that answers. Hosts without the page are
// left out.
func collect[T any](ctx context.Context, f *fleet, path string) ([]T, error) {
	hosts, err := f.hosts(ctx)
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
	f.each(addresses, func(_ int, address string) {
		var page T
		if err := f.get(ctx, address, path, &page); err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		pages = append(pages, page)
	})
	return pages, nil
}

// refusalPath returns the page on one request.
func refusalPath(requestID string) string { return operator.RefusalsPath + url.PathEscape(requestID) }
