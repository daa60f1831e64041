package rate

import (
	"sort"
	"time"
)

// A ReceiverResolver returns the processes that an account's grants can be requested from:
// the local zone's sub-holder or holder for an entry node, the holder for a sub-holder.
// Further receivers are the holders of other zones; an entry node or sub-holder uses them
// only while the first one fails. A holder's receivers are the holders of other zones.
type ReceiverResolver interface {
	// Receivers returns the receivers for an account, in order of preference.
	Receivers(account string) []string
}

// A ShareSource returns the shares of accounts that a holder's zone owns.
type ShareSource interface {
	// Share returns the zone's share, and false for an unknown account.
	Share(account string) (Limit, bool)
}

// A Decision is the outcome of a request for a token.
type Decision int

// The decisions about a request.
const (
	// Refused means that no token was available in the time allowed.
	Refused Decision = iota
	// Admitted means that the request has a token.
	Admitted
	// Waiting means that the request is queued; Resolve decides it later.
	Waiting
)

// A Ticket identifies a queued request. Tickets are not reused.
type Ticket uint64

// A Result is a Decision and its details.
type Result struct {
	// Decision is the outcome of the request.
	Decision Decision
	// Ticket identifies a queued request, also after it is decided.
	Ticket Ticket
	// RetryAfter is the time after which a refused request may be retried.
	RetryAfter time.Duration
	// Unavailable reports that a request was refused because no grantor answers, not
	// because the rate is exceeded.
	Unavailable bool
}

// A waiter is a request that waits for a token.
type waiter struct {
	ticket   Ticket
	deadline time.Time
}

// An accountState is the state of one account in a Limiter.
type accountState struct {
	bucket  *Bucket
	demand  demandEstimate
	waiters []waiter
}

// A Limiter keeps the buckets of many accounts in one process: an entry node, a sub-holder
// or a holder. It is not safe for concurrent use.
type Limiter struct {
	identity   string
	settings   settings
	resolver   ReceiverResolver
	shares     ShareSource
	tenure     Tenure
	accounts   map[string]*accountState
	lastSent   map[string]time.Time
	lastTicket Ticket
	// maxSequence is the largest sequence used for an account that was dropped.
	maxSequence uint64
}

// NewLimiter returns the limiter of an entry node or sub-holder. The identity must be new
// for each start of the process.
func NewLimiter(identity string, resolver ReceiverResolver, options ...Option) *Limiter {
	return &Limiter{
		identity: identity,
		settings: newSettings(options),
		resolver: resolver,
		accounts: map[string]*accountState{},
		lastSent: map[string]time.Time{},
	}
}

// NewHolderLimiter returns the limiter of a holder for one tenure. A later tenure needs a
// new limiter with a new identity.
func NewHolderLimiter(identity string, tenure Tenure, shares ShareSource, resolver ReceiverResolver, options ...Option) *Limiter {
	l := NewLimiter(identity, resolver, options...)
	l.tenure = tenure
	l.shares = shares
	return l
}

// Identity returns the identity that the limiter uses as the sender of Requests.
func (l *Limiter) Identity() string { return l.identity }

// Extend moves the end of a holder's tenure. It returns false if the tenure has ended.
func (l *Limiter) Extend(now, until time.Time) bool {
	if !now.Before(l.tenure.Until) {
		return false
	}
	l.tenure.Until = latest(l.tenure.Until, until)
	for _, a := range l.accounts {
		a.bucket.Extend(now, l.tenure.Until)
	}
	return true
}

// Resume moves the end of a holder's tenure even if it has passed. Use it only if no other
// process can have been the holder in between.
func (l *Limiter) Resume(now, until time.Time) {
	l.tenure.Until = latest(l.tenure.Until, until)
	for _, a := range l.accounts {
		a.bucket.Resume(now, l.tenure.Until)
	}
}

// Configure updates a holder's shares after a configuration change.
func (l *Limiter) Configure(now time.Time) {
	for account, a := range l.accounts {
		share, _ := l.shares.Share(account)
		a.bucket.Configure(now, share)
	}
}

// Serve answers a Request of a child. A GrantRequest that is a duplicate, or for an account
// unknown to a holder, gets no Grant.
func (l *Limiter) Serve(now time.Time, r Request) Reply {
	reply := Reply{Receiver: r.Receiver, Grants: make([]Grant, 0, len(r.GrantRequests))}
	for _, gr := range r.GrantRequests {
		a, ok := l.getOrCreate(gr.Account)
		if !ok {
			continue
		}
		if g, ok := a.bucket.Serve(now, r.Sender, gr); ok {
			reply.Grants = append(reply.Grants, g)
		}
	}
	return reply
}

// Apply puts the Grants of a Reply into effect. Call Resolve afterwards.
func (l *Limiter) Apply(now time.Time, r Reply) {
	for _, g := range r.Grants {
		if a, ok := l.accounts[g.Account]; ok {
			a.bucket.Apply(now, r.Receiver, g)
		}
	}
}

// Level returns the tokens of an account that are currently available.
func (l *Limiter) Level(now time.Time, account string) Quantity {
	a, ok := l.accounts[account]
	if !ok {
		return 0
	}
	return a.bucket.Level(now)
}

// Take requests one token. A request that can't be admitted at once may wait up to maxWait,
// behind earlier requests of the same account.
func (l *Limiter) Take(now time.Time, account string, maxWait time.Duration) Result {
	a, ok := l.getOrCreate(account)
	if !ok {
		return Result{Decision: Refused}
	}
	a.demand.add(now)
	if len(a.waiters) == 0 && a.bucket.Take(now, Token) {
		return Result{Decision: Admitted}
	}
	expected := a.expectedWait(now)
	if maxWait <= 0 || expected > maxWait && !l.hasUntriedReceiver(now, account, a) {
		return a.refuse(now, l.settings, 0)
	}
	l.lastTicket++
	a.waiters = append(a.waiters, waiter{ticket: l.lastTicket, deadline: now.Add(maxWait)})
	return Result{Decision: Waiting, Ticket: l.lastTicket}
}

// Cancel removes a queued request that its caller abandoned.
func (l *Limiter) Cancel(account string, ticket Ticket) {
	a, ok := l.accounts[account]
	if !ok {
		return
	}
	for i, w := range a.waiters {
		if w.ticket == ticket {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			return
		}
	}
}

// Resolve decides the queued requests of an account. They are admitted in order of arrival
// as tokens become available, and refused at their deadline.
func (l *Limiter) Resolve(now time.Time, account string) []Result {
	a, ok := l.accounts[account]
	if !ok || len(a.waiters) == 0 {
		return nil
	}
	var results []Result
	remaining := a.waiters[:0]
	for _, w := range a.waiters {
		switch {
		case !now.Before(w.deadline):
			results = append(results, a.refuse(now, l.settings, w.ticket))
		case len(remaining) == 0 && a.bucket.Take(now, Token):
			results = append(results, Result{Decision: Admitted, Ticket: w.ticket})
		default:
			remaining = append(remaining, w)
		}
	}
	a.waiters = remaining
	return results
}

// Accounts returns the names of the limiter's accounts, sorted.
func (l *Limiter) Accounts() []string {
	accounts := make([]string, 0, len(l.accounts))
	for account := range l.accounts {
		accounts = append(accounts, account)
	}
	sort.Strings(accounts)
	return accounts
}

// getOrCreate returns the state of an account, and false if the limiter is a holder's and
// the account has no share in the configuration.
func (l *Limiter) getOrCreate(account string) (*accountState, bool) {
	if a, ok := l.accounts[account]; ok {
		return a, true
	}
	b := newBucket(l.settings)
	if l.shares != nil {
		share, ok := l.shares.Share(account)
		if !ok {
			return nil, false
		}
		b = newHolderBucket(l.settings, l.tenure, share)
	}
	b.maxSequence = l.maxSequence
	b.hasParents = len(l.resolver.Receivers(account)) > 0
	a := &accountState{bucket: b}
	l.accounts[account] = a
	return a, true
}

// refuse returns the refusal of a request, with the time to retry after.
func (a *accountState) refuse(now time.Time, s settings, ticket Ticket) Result {
	r := Result{Decision: Refused, Ticket: ticket, Unavailable: true}
	r.RetryAfter = max(a.expectedWait(now), s.minRequestInterval)
	for _, parent := range a.bucket.parents {
		lost := parent.pending && (parent.unanswered > 0 || now.Sub(parent.requestedAt) >= s.timeout)
		if parent.active(now) || parent.sequence != 0 && !lost {
			r.Unavailable = false
		}
	}
	return r
}

// hasUntriedReceiver reports whether the first receiver fails and another one has not been
// asked yet.
func (l *Limiter) hasUntriedReceiver(now time.Time, account string, a *accountState) bool {
	receivers := l.resolver.Receivers(account)
	if a.bucket.isHolder() || len(a.bucket.parents) >= len(receivers) || len(receivers) == 0 {
		return false
	}
	first, ok := a.bucket.parents[receivers[0]]
	return ok && first.failing(now, l.settings)
}

// expectedWait estimates how long a further request would wait. It is zero unless all
// parents reported that they are short of tokens.
func (a *accountState) expectedWait(now time.Time) time.Duration {
	retryAfter := a.bucket.retryAfter()
	if retryAfter <= 0 {
		return 0
	}
	queued := Quantity(len(a.waiters) + 1)
	local := a.bucket.Limit(now).Rate
	if local == 0 {
		return retryAfter * time.Duration(queued)
	}
	return local.timeFor(Token*queued-a.bucket.Level(now), maxRetryAfter)
}
