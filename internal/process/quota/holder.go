package quota

import (
	"time"

	"github.com/bilberryvane/bilberryvane/internal/version/traffic"
	"github.com/bilberryvane/bilberryvane/rate"
)

// The shares of the tolerance that this package uses.
const (
	// burstTolerance is added to the burst of an account, and rateTolerance to its rate.
	// They make up for tokens that accrue in one zone while requests arrive in another.
	burstTolerance = 0.55
	rateTolerance  = 0.1
	// handoverTolerance is what all new holders of a rate may use together. It allows for
	// two changes of all holders within one window.
	handoverTolerance = 0.15
)

// maxRunningGap is the longest time between two calls of MarkRunning or Rebalance, which
// the node makes ten times a second. After a longer one the process was paused, and other
// hosts may have become the holders of its shares.
const maxRunningGap = 400 * time.Millisecond

// lowLevel is the fraction of a share's capacity below which other holders are asked
// first. Otherwise the shares of zones in which few requests arrive would be full, and
// what accrues there lost, while others are empty.
const lowLevel = 0.4

// firstStartWindow is the time after the first start of the whole system in which a new
// holder starts with a full burst. Until then no requests were admitted.
const firstStartWindow = 8 * time.Second

// A Tolerance is the excess over a rate that the platform accepts: in each Window an
// account may send (rate * Window + burst) * (1 + Excess) + Slack requests.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// requests returns the tolerated number of requests above a rate and burst in a window.
func (t Tolerance) requests(perSecond, burst float64) float64 {
	return t.Excess*(perSecond*t.Window.Seconds()+burst) + t.Slack
}

// widened returns an account's rate and burst with the part of the tolerance that makes
// up for splitting them between zones.
func (t Tolerance) widened(a traffic.Account) limit {
	return limit{
		rate:  a.Rate * (1 + rateTolerance*t.Excess),
		burst: a.Burst + burstTolerance*t.requests(a.Rate, a.Burst),
	}
}

// Holders returns the hosts to ask for a request of an account's rate: for each
// availability zone the reachable host that should hold the zone's share, the own zone
// first. It is empty if no holder can be reached, and false in a fleet without holders,
// in which every host has a share.
func (q *Quota) Holders(account string) ([]string, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.usesHolders() {
		return nil, false
	}
	return q.placement.holders(account), true
}

// newHolderBucket returns the bucket of a zone's share, empty unless this host holds it.
// It starts full if no other process can have admitted requests of the account within
// the last window. mu must be held.
func (q *Quota) newHolderBucket(now time.Time, a traffic.Account) *rate.SplitBucket {
	l := q.tolerance.widened(a)
	// It accrues from the change on, as it would if the account had asked at once.
	s := rate.NewEmptySplitBucket(q.placement.changedAt, l.rate, l.burst, q.placement.share(a.Name), q.hosts)
	settled := now.Sub(q.placement.changedAt) >= q.tolerance.Window
	first := q.firstStart && q.placement.changedAt.Sub(q.startedAt) < firstStartWindow
	if settled || first {
		s.Fill(now, l.burst)
	} else {
		s.Fill(now, q.handoverTokens(a.Rate, a.Burst))
	}
	return s
}

// handoverTokens returns the tokens with which this host becomes the holder of a zone's
// share whose earlier holder may just have spent its tokens.
func (q *Quota) handoverTokens(perSecond, burst float64) float64 {
	return handoverTolerance * q.tolerance.requests(perSecond, burst) / float64(max(1, q.placement.zoneCount()))
}

// assignHolderShares sets the shares that this host holds. mu must be held.
func (q *Quota) assignHolderShares(now time.Time) {
	for name, s := range q.splits {
		before, share := s.Fraction(), q.placement.share(name)
		s.SetFraction(now, share, q.hosts)
		if before == 0 && share > 0 {
			configured := q.limits[name]
			s.Fill(now, q.handoverTokens(configured.rate, configured.burst))
		}
	}
}

// MarkRunning records that the process runs. If it was paused, the tokens of its shares
// are dropped, because other hosts may have used them.
func (q *Quota) MarkRunning() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.usesHolders() {
		q.markRunning(q.clock.Now())
	}
}

// markRunning implements MarkRunning; mu must be held.
func (q *Quota) markRunning(now time.Time) {
	if q.paused(now) {
		for _, s := range q.splits {
			s.SetFraction(now, s.Fraction(), q.hosts) // accounts for the time of the pause
			s.Clear()
		}
		q.placement.changedAt = now
	}
	q.runningAt = now
}

// paused reports whether the process was paused since it was last known to run. The
// monotonic clock may stand still meanwhile, so the time of day is compared too. mu must
// be held.
func (q *Quota) paused(now time.Time) bool {
	if q.runningAt.IsZero() {
		return false
	}
	return now.Sub(q.runningAt) > maxRunningGap || now.Round(0).Sub(q.runningAt.Round(0)) > maxRunningGap
}
