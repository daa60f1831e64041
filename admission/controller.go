package admission

import "time"

const (
	// DefaultQueueLength is the maximum number of queued requests.
	DefaultQueueLength = 1024
	// DefaultMaxWaitShare is the share of a class's latency target that a request may
	// spend in the queue of one backend server.
	DefaultMaxWaitShare = 0.25
	// DefaultHoldTime is how long a raised importance threshold is held, and the
	// interval between the steps that lower it.
	DefaultHoldTime = 100 * time.Millisecond
	// minMaxWait is the lower bound of the maximum wait, for short latency targets.
	minMaxWait = 5 * time.Millisecond
	// minTimeLeftShare is the share of the typical self time that must be left before
	// the deadline for a request to be started. It is below 1 because the times of
	// requests vary.
	minTimeLeftShare = 0.5
	// lowDelayShare is the share of the maximum wait below which the queue delay
	// allows the importance threshold to be lowered.
	lowDelayShare = 0.5
)

// An Option changes a Controller's settings.
type Option func(*Controller)

// WithQueueLength sets the maximum number of queued requests.
func WithQueueLength(requests int) Option {
	return func(c *Controller) { c.queueLength = requests }
}

// WithMaxWaitShare sets the share of a class's latency target that a request may
// spend in the queue.
func WithMaxWaitShare(share float64) Option {
	return func(c *Controller) { c.maxWaitShare = share }
}

// WithHoldTime sets how long a raised importance threshold is held.
func WithHoldTime(d time.Duration) Option {
	return func(c *Controller) { c.holdTime = d }
}

// WithFixedLimit sets the limit to the announced slots. It is for backend servers
// whose self time does not reflect their load, such as those that wait for calls of
// their own which the controller can't observe.
func WithFixedLimit() Option {
	return func(c *Controller) { c.limit.fix() }
}

// A Controller makes the admission decisions for one backend server. Its invariants:
// it never starts a request that would exceed the limit, or the requests per second of
// the capacity; no slot is idle while a request is queued, unless because of that rate;
// and when a request is shed as overloaded, no request of lower importance is queued,
// none was started since its arrival, and none is admitted until the hold time has
// passed or a slot is idle with an empty queue.
type Controller struct {
	limit        *Limit
	rate         requestRate
	queue        *Queue
	queueLength  int
	maxWaitShare float64
	holdTime     time.Duration
	running      map[uint64]struct{}
	// admittedImportance is the lowest importance admitted; heldUntil is the earliest
	// time it may be lowered.
	admittedImportance int
	heldUntil          time.Time
	// starts is the recent rate of starts, used to compute Retry-After.
	starts startRate
	// lastShedMaxWait is the maximum wait of the request shed last for overload.
	lastShedMaxWait time.Duration
}

// New returns the Controller of a backend server that has just started.
func New(capacity Capacity, options ...Option) *Controller {
	c := &Controller{
		limit:        NewLimit(capacity),
		queue:        NewQueue(),
		queueLength:  DefaultQueueLength,
		maxWaitShare: DefaultMaxWaitShare,
		holdTime:     DefaultHoldTime,
		running:      make(map[uint64]struct{}),
	}
	for _, o := range options {
		o(c)
	}
	c.rate.set(capacity)
	return c
}

// Restart restarts slow start after the backend server was replaced. Requests that
// ran in the old one must be completed with Done.
func (c *Controller) Restart(capacity Capacity) {
	c.limit.Restart(capacity)
	c.rate.set(capacity)
}

// SetCapacity updates the capacity that the backend server announces.
func (c *Controller) SetCapacity(capacity Capacity) {
	c.limit.SetCapacity(capacity)
	c.rate.set(capacity)
}

// Admit starts, queues or sheds a request that has arrived.
func (c *Controller) Admit(now time.Time, r Request) Actions {
	var a Actions
	c.lowerThreshold(now)
	if r.Importance < c.admittedImportance {
		c.shed(now, r, Overloaded, &a)
		return a
	}
	if !c.canMeetDeadline(now, r) {
		a.Sheds = append(a.Sheds, Shed{ID: r.ID, Reason: DeadlineUnreachable})
		return a
	}
	c.queue.Push(now, r, c.queueExpiry(now, r))
	c.startQueued(now, &a)
	for c.queue.Len() > c.queueLength {
		victim, _ := c.queue.PopLeastImportant(maxImportance)
		c.shedOverload(now, victim, &a)
	}
	return a
}

// Done records that a request has left the backend server.
func (c *Controller) Done(now time.Time, id uint64, done Completion) Actions {
	var a Actions
	if _, ok := c.running[id]; !ok {
		return a
	}
	c.limit.Observe(now, done, len(c.running))
	delete(c.running, id)
	c.startQueued(now, &a)
	return a
}

// Cancel removes a queued request whose caller gave up and reports whether it was
// queued. A request that is already running is completed with Done instead.
func (c *Controller) Cancel(id uint64) bool {
	_, waiting := c.queue.Remove(id)
	return waiting
}

// Tick sheds requests that have exceeded their maximum wait and lowers the importance
// threshold when the queue delay is low.
func (c *Controller) Tick(now time.Time) Actions {
	var a Actions
	for {
		r, ok := c.queue.PopExpired(now)
		if !ok {
			break
		}
		c.shedOverload(now, r, &a)
	}
	c.startQueued(now, &a)
	c.lowerThreshold(now)
	return a
}

// NextTick returns when the next queued request expires and Tick must be called, and
// whether any request is queued.
func (c *Controller) NextTick() (time.Time, bool) { return c.queue.NextExpiry() }

// Load returns the load report that is attached to answers.
func (c *Controller) Load(now time.Time) Load {
	return Load{
		AdmittedImportance: c.admittedImportance,
		QueueDelay:         max(c.queue.Delay(now), c.rate.wait(now, c.queue.Len()+1)),
		Running:            len(c.running),
		FreeSlots:          max(0, c.startable(now)-c.queue.Len()),
		Waiting:            c.queue.Len(),
	}
}

// maxImportance is above every importance.
const maxImportance = int(^uint(0) >> 1)

func (c *Controller) freeSlots() int { return c.limit.Value() - len(c.running) }

// startable returns the number of requests that may start at once.
func (c *Controller) startable(now time.Time) int { return c.rate.available(now, c.freeSlots()) }

// startQueued assigns queued requests to free slots.
func (c *Controller) startQueued(now time.Time, a *Actions) {
	for c.startable(now) > 0 {
		r, queued, ok := c.queue.Pop()
		if !ok {
			return
		}
		if !c.canMeetDeadline(now, r) {
			c.shedOverload(now, r, a)
			continue
		}
		c.running[r.ID] = struct{}{}
		c.rate.take(now)
		c.starts.add(now)
		a.Runs = append(a.Runs, Run{ID: r.ID, Waited: now.Sub(queued)})
	}
}

// canMeetDeadline reports whether a request started now could complete before its
// deadline.
func (c *Controller) canMeetDeadline(now time.Time, r Request) bool {
	expected := time.Duration(minTimeLeftShare * float64(c.limit.Baseline()))
	return now.Add(expected).Before(r.Deadline)
}

// queueExpiry returns when a request arriving now exceeds its maximum wait or can no
// longer meet its deadline, whichever is earlier.
func (c *Controller) queueExpiry(now time.Time, r Request) time.Time {
	at := now.Add(c.maxWait(r))
	latest := r.Deadline.Add(-time.Duration(minTimeLeftShare * float64(c.limit.Baseline())))
	if latest.Before(at) {
		return latest
	}
	return at
}

func (c *Controller) maxWait(r Request) time.Duration {
	if c.rate.limited {
		return max(minMaxWait, min(maxLimitedWait, time.Duration(c.maxWaitShare*float64(r.Target))))
	}
	return max(minMaxWait, time.Duration(c.maxWaitShare*float64(r.Target)))
}

// shedOverload sheds a request taken from the queue and, before it, all queued
// requests of lower importance. It raises the importance threshold to that of the
// request.
func (c *Controller) shedOverload(now time.Time, r Request, a *Actions) {
	for {
		lesser, ok := c.queue.PopLeastImportant(r.Importance)
		if !ok {
			break
		}
		c.shed(now, lesser, Overloaded, a)
	}
	c.shed(now, r, Overloaded, a)
	c.lastShedMaxWait = c.maxWait(r)
	if r.Importance >= c.admittedImportance {
		c.admittedImportance = r.Importance
		c.heldUntil = now.Add(c.holdTime)
	}
}

func (c *Controller) shed(now time.Time, r Request, reason Reason, a *Actions) {
	wait := c.holdTime + c.starts.timeFor(now, c.queue.Waiting(r.Importance))
	a.Sheds = append(a.Sheds, Shed{ID: r.ID, Reason: reason, RetryAfter: wait})
}

// lowerThreshold lowers the importance threshold by one step per hold time while the
// queue delay is well below the maximum wait, and resets it when a slot is idle and
// the queue is empty.
func (c *Controller) lowerThreshold(now time.Time) {
	if c.queue.Len() == 0 && c.freeSlots() > 0 {
		c.admittedImportance = 0
		return
	}
	lowDelay := float64(c.queue.Delay(now)) < lowDelayShare*float64(c.lastShedMaxWait)
	if c.admittedImportance > 0 && !now.Before(c.heldUntil) && lowDelay {
		c.admittedImportance--
		c.heldUntil = now.Add(c.holdTime)
	}
}

// startRateWindow is the length of one counting window of a startRate.
const startRateWindow = 500 * time.Millisecond

// maxRetryAfter bounds the Retry-After returned to callers.
const maxRetryAfter = 5 * time.Second

// A startRate counts request starts in the current and the previous window.
type startRate struct {
	windowStart     time.Time
	count, previous int
}

func (s *startRate) add(now time.Time) {
	s.rotate(now)
	s.count++
}

// timeFor returns how long it takes to start the given number of requests at the
// current rate, at most maxRetryAfter.
func (s *startRate) timeFor(now time.Time, requests int) time.Duration {
	s.rotate(now)
	starts := max(1, s.count+s.previous)
	return min(maxRetryAfter, time.Duration(requests)*2*startRateWindow/time.Duration(starts))
}

func (s *startRate) rotate(now time.Time) {
	elapsed := now.Sub(s.windowStart)
	switch {
	case elapsed >= 2*startRateWindow:
		*s = startRate{windowStart: now}
	case elapsed >= startRateWindow:
		*s = startRate{windowStart: s.windowStart.Add(startRateWindow), previous: s.count}
	}
}
