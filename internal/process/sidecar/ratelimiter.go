package sidecar

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberryvane/bilberryvane/internal/process/clock"
	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/process/mesh"
	"github.com/bilberryvane/bilberryvane/internal/process/quota"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
)

const (
	// holderTimeout bounds the time that one holder of a rate may take to answer, and
	// holdersTimeout the time spent on all holders for one request. A round trip takes
	// a few milliseconds; a host that has used up its processor quota pauses for up to a
	// tenth of a second.
	holderTimeout  = 60 * time.Millisecond
	holdersTimeout = 150 * time.Millisecond
	// holderBackoff is the longest time for which no holder is asked after all refused.
	holderBackoff = 10 * time.Millisecond
	// lenderMemory is the time for which the host that granted the last request of an
	// account is asked before the holder of the own zone.
	lenderMemory = 200 * time.Millisecond
	// minLocalBurst is the burst per holder from which the holder of the own zone is
	// asked first. With less, what accrues at a holder that is asked too rarely would be
	// lost, so that all are asked equally often.
	minLocalBurst = 10.0
	// minRateDelay is the shortest retry delay of a request that the holders refused.
	minRateDelay = 10 * time.Millisecond
	// unavailableRetryAfter is the retry delay if no holder of a rate can be reached.
	unavailableRetryAfter = 300 * time.Millisecond
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
	// Borrow asks a host for one request from its share of a client account's rate.
	Borrow(ctx context.Context, host string, l mesh.Loan) (mesh.LoanReply, error)
	// GiveBack returns a request that the host granted.
	GiveBack(host, account string)
}

// stayingHosts are the other hosts of a fleet without those that shut down, which have given
// up their shares. It implements Lenders.
type stayingHosts struct {
	*mesh.Mesh
	directory *fleet.Directory
}

// Hosts returns the reachable hosts that don't shut down.
func (s stayingHosts) Hosts() []string {
	return slices.DeleteFunc(s.Mesh.Hosts(), func(name string) bool {
		h, ok := s.directory.Host(name)
		return ok && h.Leaving
	})
}

// A RateLimiter enforces the rates of client accounts. In a large fleet it asks the
// holders of a rate for each request. In a small fleet, when this host's share of a rate
// is used up, it borrows one request from another host, because an account's burst is of
// little use when it is split over all hosts. It is safe for concurrent use.
type RateLimiter struct {
	host    string
	quota   *quota.Quota
	lenders Lenders
	clock   clock.Clock
	shuffle func(n int, swap func(i, j int))

	// mu guards loans.
	mu    sync.Mutex
	loans map[mesh.Loan]loanState
}

// A loanState is the result of the last attempts to borrow for an account and rank.
type loanState struct {
	// lender is the host that granted the last request, at grantedAt.
	lender    string
	grantedAt time.Time
	// low reports that the lender has few requests left.
	low bool
	// pausedUntil is the time before which no host is asked, and retryAt the time at
	// which one has a request left.
	pausedUntil, retryAt time.Time
}

// A RateLimiterOption changes a RateLimiter.
type RateLimiterOption func(*RateLimiter)

// WithShuffle replaces rand.Shuffle, which orders the hosts that are asked.
func WithShuffle(shuffle func(n int, swap func(i, j int))) RateLimiterOption {
	return func(l *RateLimiter) { l.shuffle = shuffle }
}

// NewRateLimiter returns the RateLimiter of a host, which borrows from l when q is used
// up.
func NewRateLimiter(host string, q *quota.Quota, l Lenders, c clock.Clock, options ...RateLimiterOption) *RateLimiter {
	r := &RateLimiter{host: host, quota: q, lenders: l, clock: c, shuffle: rand.Shuffle, loans: make(map[mesh.Loan]loanState)}
	for _, o := range options {
		o(r)
	}
	return r
}

// Take takes one request from an account's rate. The error is a refusal.Refusal. It
// implements relay.RateLimiter.
func (l *RateLimiter) Take(ctx context.Context, a traffic.Account, rank int) error {
	if a.Rate <= 0 {
		return nil
	}
	loan := mesh.Loan{Account: a.Name, Rank: rank}
	if holders, ok := l.quota.Holders(a.Name); ok {
		return l.takeFromHolders(ctx, a, loan, holders)
	}
	wait, ok := l.quota.Take(l.clock.Now(), a, rank)
	if ok || l.borrow(ctx, loan) {
		return nil
	}
	return rateExceeded(a, wait)
}

// Return returns a request taken by Take to the account. It implements
// relay.RateLimiter.
func (l *RateLimiter) Return(a traffic.Account, rank int) {
	now := l.clock.Now()
	lender := l.state(mesh.Loan{Account: a.Name, Rank: rank}).lender
	if _, ok := l.quota.Holders(a.Name); ok && lender != l.host {
		if lender != "" {
			l.lenders.GiveBack(lender, a.Name)
		}
		return
	}
	l.quota.Return(now, a)
}

func rateExceeded(a traffic.Account, wait time.Duration) error {
	detail := fmt.Sprintf("client account %s may send %.4g requests a second with bursts of %.4g", a.Name, a.Rate, a.Burst)
	return refusal.New(refusal.RateExceeded).WithRetryAfter(wait).WithDetail(detail)
}

// takeFromHolders asks the holders of an account's rate in turn until one grants a
// request. The error is a refusal.Refusal.
func (l *RateLimiter) takeFromHolders(ctx context.Context, a traffic.Account, loan mesh.Loan, holders []string) error {
	now := l.clock.Now()
	s := l.state(loan)
	if now.Before(s.pausedUntil) {
		return rateExceeded(a, s.retryAt.Sub(now))
	}
	holders = l.order(now, holders, a.Burst, s)
	ctx, cancel := context.WithTimeout(ctx, holdersTimeout)
	defer cancel()
	wait, answered := time.Duration(0), false
	for _, host := range holders {
		reply, err := l.askHolder(ctx, host, a, loan)
		if err != nil {
			continue
		}
		if reply.Granted {
			l.setState(loan, loanState{lender: host, grantedAt: l.clock.Now(), low: reply.Low})
			return nil
		}
		// A holder that doesn't know the account yet names no time.
		if delay := max(minRateDelay, reply.RetryAfter); !answered || delay < wait {
			wait = delay
		}
		answered = true
	}
	now = l.clock.Now()
	if answered {
		l.setState(loan, loanState{pausedUntil: now.Add(min(holderBackoff, wait)), retryAt: now.Add(wait)})
		return rateExceeded(a, wait)
	}
	detail := fmt.Sprintf("no host that holds the rate of client account %s could be reached", a.Name)
	return refusal.New(refusal.RateUnavailable).WithRetryAfter(jittered(unavailableRetryAfter)).WithDetail(detail)
}

// order returns the holders in the order in which to ask them: the last lender first, or
// the holder of the own zone. It is random for an account with a small burst, and once
// the last lender has few requests left.
func (l *RateLimiter) order(now time.Time, holders []string, burst float64, s loanState) []string {
	ordered := slices.Clone(holders)
	i := slices.Index(ordered, s.lender)
	recent := i >= 0 && now.Sub(s.grantedAt) < lenderMemory
	switch {
	case burst < minLocalBurst*float64(len(ordered)) || recent && s.low:
		l.shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	case recent:
		ordered = slices.Insert(slices.Delete(ordered, i, i+1), 0, s.lender)
	}
	return ordered
}

// askHolder asks one holder, which may be this host, for a request. After an error it is
// unknown whether the holder granted it; such a request is lost to the account.
func (l *RateLimiter) askHolder(ctx context.Context, host string, a traffic.Account, loan mesh.Loan) (mesh.LoanReply, error) {
	if host == l.host {
		own := l.quota.Lend(l.clock.Now(), a, loan.Rank)
		return mesh.LoanReply{Granted: own.Granted, Low: own.Low, RetryAfter: own.RetryAfter}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	return l.lenders.Borrow(ctx, host, loan)
}

// borrow asks other hosts of a small fleet for one request.
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
		if reply, err := l.lenders.Borrow(ctx, host, loan); err == nil && reply.Granted {
			l.setState(loan, loanState{lender: host, grantedAt: l.clock.Now()})
			return true
		}
	}
	l.setState(loan, loanState{pausedUntil: l.clock.Now().Add(borrowBackoff)})
	return false
}

// candidates returns the hosts of a small fleet to ask: the last lender first, then
// others in random order.
func (l *RateLimiter) candidates(loan mesh.Loan) []string {
	s := l.state(loan)
	if l.clock.Now().Before(s.pausedUntil) {
		return nil
	}
	hosts := l.lenders.Hosts()
	l.shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for i, h := range hosts {
		if h == s.lender {
			hosts[0], hosts[i] = hosts[i], hosts[0]
		}
	}
	return hosts[:min(len(hosts), maxLenders)]
}

func (l *RateLimiter) state(loan mesh.Loan) loanState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loans[loan]
}

func (l *RateLimiter) setState(loan mesh.Loan, s loanState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loans[loan] = s
}
