package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// pages is the number of pages that are loaded, and pageInterval the time between two.
	pages        = 60
	pageInterval = 250 * time.Millisecond
	// pageWork is the time that an upstream works on a page.
	pageWork = 400 * time.Millisecond
	// partDelay is the time after which the parts of a page are requested.
	partDelay    = 100 * time.Millisecond
	partsOfAPage = 2
)

// The tenants of the case and their keys.
const (
	pageTenant, pageKey = "shop", "key-of-shop"
	partTenant, partKey = "depot", "key-of-depot"
)

// runIDs loads pages and their parts, whose ids have a dot if trouble is set. It returns the number
// of requests that ran with another tenant than that of their key.
func runIDs(r *record, trouble bool) (int, error) {
	var places []place
	for _, zone := range []string{"west-a", "west-b", "west-c"} {
		places = append(places, place{zone, "katalog", pageWork, []byte("page")}, place{zone, "ordre", 160 * time.Millisecond, []byte("booked")})
	}
	f, err := startFleet(places, shopConfiguration, r)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	separator := "-"
	if trouble {
		separator = "."
	}
	outbound := f.nodes[0].outbound
	var requests sync.WaitGroup
	owners := &owners{of: make(map[string]string)}
	for page := range pages {
		id := fmt.Sprintf("%08x", page)
		owners.set(id, pageTenant)
		requests.Go(func() { load(r, outbound, id, pageKey) })
		requests.Go(func() {
			time.Sleep(partDelay)
			for part := range partsOfAPage {
				partID := fmt.Sprintf("%s%s%d", id, separator, part+1)
				owners.set(partID, partTenant)
				requests.Go(func() { load(r, outbound, partID, partKey) })
			}
		})
		time.Sleep(pageInterval)
	}
	requests.Wait()
	wrong := 0
	for _, u := range f.upstreams {
		for id, tenant := range u.tenantsOf() {
			if owner := owners.get(id); tenant != owner {
				wrong++
				r.add("request %s came with the key of tenant %q and ran at %s with X-Tenant %q", id, owner, u.id, tenant)
			}
		}
	}
	return wrong, nil
}

// owners are the tenants that hold the keys of requests, by request id. It is safe for concurrent
// use.
type owners struct {
	mu sync.Mutex
	of map[string]string
}

func (o *owners) set(id, tenant string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.of[id] = tenant
}

func (o *owners) get(id string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.of[id]
}

// load sends a request and records its answer.
func load(r *record, outbound, id, key string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+outbound+"/browse/page", nil)
	if err != nil {
		r.add("request %s: %v", id, err)
		return
	}
	request.Host = "shop.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "6000")
	request.Header.Set("Authorization", "Bearer "+key)
	r.add("request %s is sent with %q", id, key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.add("request %s: %v", id, err)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	r.add("request %s is answered %d (%v)", id, response.StatusCode, err)
}
