package main

import (
	"context"
	"strings"
	"sync"
	"time"
)

const (
	// uploadClients are the clients of each machine that place large orders, and uploadPause is
	// the time between their orders.
	uploadClients = 4
	uploadPause   = 2 * time.Second
	// uploadBytes is the size of an order, about a quarter of max-body-bytes.
	uploadBytes = 17_000_000
	// uploadReadRate is what a slow upstream reads of an order in a second, which leaves it
	// more than a second of the deadline.
	uploadReadRate = 4_000_000
	uploadTime     = 40 * time.Second
)

// runUpload places large orders at all machines, and lets the upstreams read slowly if trouble
// is set. It returns the number of orders that were lost.
func runUpload(r *record, trouble bool) (int, error) {
	var places []place
	for _, zone := range []string{"west-a", "west-b", "west-c"} {
		places = append(places, place{zone, "ordre", 160 * time.Millisecond, []byte("booked")})
		for range 3 {
			places = append(places, place{zone, "katalog", 120 * time.Millisecond, []byte("page")})
		}
	}
	f, err := startFleet(places, shopConfiguration, r)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	if trouble {
		for _, u := range f.upstreams {
			u.setReadRate(uploadReadRate)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), uploadTime)
	defer cancel()
	body := strings.Repeat("b", uploadBytes)
	var clients sync.WaitGroup
	lost := &counter{}
	for i, n := range f.nodes {
		for j := range uploadClients {
			c := orderClient{number: i*uploadClients + j, outbound: n.outbound, body: body, pause: uploadPause}
			clients.Go(func() {
				time.Sleep(uploadPause / uploadClients * time.Duration(j)) // The clients don't start at once.
				placeOrders(ctx, f, c, lost)
			})
		}
	}
	clients.Wait()
	return lost.value(), nil
}
