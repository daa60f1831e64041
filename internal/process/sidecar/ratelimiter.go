package sidecar

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/mesh"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

const (
	// maxLenders is the number of hosts that are asked on behalf of one request.
	maxLenders = 4
	// borrowTimeout bounds the time spent on borrowing for one request. A round trip
	// to another host takes about a millisecond.
	borrowTimeout = 20 * time.Millisecond
	// borrowBackoff is the time for which no host is asked for an account and rank
	// after every lender refused. Without it, an account that exceeds its rate would
	// cause messages to other hosts for each of its requests.
	borrowBackoff = 50 * time.Millisecond
)

// Lenders are the other hosts, whose shares of an account's rate may have requests
// left.
type Lenders interface {
	// Hosts returns the reachable hosts.
	Hosts() []string
	// Borrow asks a host for one request from its share of a client account's rate
	// and reports whether the host granted it.
	Borrow(ctx context.Context, host string, l mesh.Loan) (bool, error)
}

// A RateLimiter enforces the rates of client accounts. When this host's share of a
// rate is used up, it borrows one request from another host, because an account's
// burst is of little use when it is split over all hosts. It is safe for concurrent
// use.
type RateLimiter struct {
	quota   *quota.Quota
	lenders Lenders
	clock   clock.Clock

	// mu guards the fields below.
	mu sync.Mutex
	// pausedUntil is the time before which no host is asked; lastLender is the host
	// that granted the last request.
	pausedUntil map[mesh.Loan]time.Time
	lastLender  map[mesh.Loan]string
}

// NewRateLimiter returns a RateLimiter that borrows from l when q is used up.
func NewRateLimiter(q *quota.Quota, l Lenders, c clock.Clock) *RateLimiter {
	return &RateLimiter{
		quota: q, lenders: l, clock: c,
		pausedUntil: make(map[mesh.Loan]time.Time), lastLender: make(map[mesh.Loan]string),
	}
}

// Take takes one request from an account's rate, from this host's share or from that
// of another host. If none is left, it returns the time until one becomes available
// here, and false. It implements relay.RateLimiter.
func (l *RateLimiter) Take(ctx context.Context, a traffic.Account, rank int) (time.Duration, bool) {
	wait, ok := l.quota.Take(l.clock.Now(), a, rank)
	if ok || l.borrow(ctx, mesh.Loan{Account: a.Name, Rank: rank}) {
		return 0, true
	}
	return wait, false
}

// Return returns a request taken by Take to the account. It implements
// relay.RateLimiter.
func (l *RateLimiter) Return(now time.Time, a traffic.Account) { l.quota.Return(now, a) }

func (l *RateLimiter) borrow(ctx context.Context, loan mesh.Loan) bool {
	hosts := l.candidates(loan)
	if len(hosts) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for _, host := range hosts {
		// A failed call counts as a refusal. A request that the host may have granted
		// is lost.
		if granted, err := l.lenders.Borrow(ctx, host, loan); err == nil && granted {
			l.setLender(loan, host)
			return true
		}
	}
	l.setLender(loan, "")
	return false
}

// candidates returns the hosts to ask: the last lender first, then others in random
// order.
func (l *RateLimiter) candidates(loan mesh.Loan) []string {
	l.mu.Lock()
	last, paused := l.lastLender[loan], l.clock.Now().Before(l.pausedUntil[loan])
	l.mu.Unlock()
	if paused {
		return nil
	}
	hosts := l.lenders.Hosts()
	if holders := l.quota.Holders(loan.Account); holders != nil {
		hosts = slices.DeleteFunc(hosts, func(h string) bool { return !slices.Contains(holders, h) })
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for i, h := range hosts {
		if h == last {
			hosts[0], hosts[i] = hosts[i], hosts[0]
		}
	}
	return hosts[:min(len(hosts), maxLenders)]
}

// setLender records the host that granted a request. An empty lender means that no
// host did, and starts the backoff.
func (l *RateLimiter) setLender(loan mesh.Loan, lender string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastLender[loan] = lender
	if lender == "" {
		l.pausedUntil[loan] = l.clock.Now().Add(borrowBackoff)
	}
}
