package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// moveTime is the time for which the store serves both addresses.
	moveTime = 5 * time.Second
	// configApply is the bound config-apply of the small sites, and applyMargin what is added to
	// it for the time that requests take.
	configApply = 2 * time.Second
	applyMargin = 500 * time.Millisecond
	// lateRounds is the number of requests with a withdrawn key to each machine.
	lateRounds   = 5
	lateInterval = time.Second
)

// runHUP withdraws a key. If trouble is set, the settings files have named another address of the
// store before that. It returns the number of requests that ran with the withdrawn key.
func runHUP(r *record, trouble bool) (int, error) {
	var places []place
	for _, zone := range []string{"west-a", "west-b", "west-c"} {
		places = append(places, place{zone, "katalog", 120 * time.Millisecond, []byte("page")}, place{zone, "ordre", 160 * time.Millisecond, []byte("booked")})
	}
	f, err := startFleet(places, shopConfiguration, r)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return 0, err
	}
	if trouble {
		if err := f.store.move(moveTime); err != nil {
			return 0, err
		}
		for _, n := range f.nodes {
			if err := n.changeSettings(f.store.address); err != nil {
				return 0, err
			}
		}
	}
	time.Sleep(2 * moveTime)
	without := strings.Replace(shopConfiguration, `"version":1`, `"version":2`, 1)
	without = strings.Replace(without, partKey, "another-key-of-depot", 1)
	f.store.write("op", "config", []byte(without))
	r.add("the store has acknowledged version 2, without the key %q", partKey)
	time.Sleep(configApply + applyMargin)
	for round := range lateRounds {
		for i, n := range f.nodes {
			load(r, n.outbound, fmt.Sprintf("%04x%04x", round, i), partKey)
		}
		time.Sleep(lateInterval)
	}
	ran := 0
	for _, u := range f.upstreams {
		for id := range u.tenantsOf() {
			ran++
			r.add("request %s ran at %s with the withdrawn key", id, u.id)
		}
	}
	return ran, nil
}
