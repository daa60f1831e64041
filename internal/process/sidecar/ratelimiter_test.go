package sidecar_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/mesh"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/process/sidecar"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

// fakeLenders are hosts with a fixed number of requests left to lend.
type fakeLenders struct {
	available map[string]int
	calls     int
	err       error
}

func (l *fakeLenders) Hosts() []string {
	var hosts []string
	for h := range l.available {
		hosts = append(hosts, h)
	}
	return hosts
}

func (l *fakeLenders) Borrow(_ context.Context, host string, _ mesh.Loan) (bool, error) {
	l.calls++
	if l.err != nil || l.available[host] == 0 {
		return false, l.err
	}
	l.available[host]--
	return true, nil
}

func TestRateLimiterBorrowsWhenOwnShareIsUsedUp(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New("own", true, c)
	q.Rebalance([]string{"other"})
	lenders := &fakeLenders{available: map[string]int{"other": 3}}
	l := sidecar.NewRateLimiter(q, lenders, c)
	depot := traffic.Account{Name: "depot", Rate: 4, Burst: 4}
	served := 0
	for range 20 {
		if _, ok := l.Take(context.Background(), depot, 0); ok {
			served++
		}
	}
	is.Equal(served, 2+3)        // own share of the burst, plus the requests left at the other host
	is.Equal(lenders.calls, 3+1) // no host is asked during the backoff
	c.Advance(60 * time.Millisecond)
	_, ok := l.Take(context.Background(), depot, 0)
	is.True(!ok)
	is.Equal(lenders.calls, 3+2)
}

func TestRateLimiterWithoutUsableLenders(t *testing.T) {
	is := is.New(t)
	c := clock.NewFake(time.Unix(1_700_000_000, 0))
	q := quota.New("own", true, c)
	q.Rebalance(nil)
	depot := traffic.Account{Name: "depot", Rate: 1, Burst: 1}
	alone := sidecar.NewRateLimiter(q, &fakeLenders{}, c)
	_, ok := alone.Take(context.Background(), depot, 0)
	is.True(ok)
	wait, ok := alone.Take(context.Background(), depot, 0)
	is.True(!ok)
	is.True(wait > 0) // time until the next request is available
	failing := sidecar.NewRateLimiter(q, &fakeLenders{available: map[string]int{"other": 1}, err: errors.New("silent")}, c)
	_, ok = failing.Take(context.Background(), depot, 0)
	is.True(!ok)
}
