package retry

import (
	"math"
	"time"
)

const (
	// windowBuckets is the number of buckets per window.
	windowBuckets = 20
	// totalBuckets covers the window, the one before it, and one bucket more, since the
	// newest bucket is not complete.
	totalBuckets = 2*windowBuckets + 1
	// recentBuckets is the number of buckets, including the newest one, to which a limit's
	// RecentShare applies; minRecent retries are always allowed in them.
	recentBuckets = 2
	minRecent     = 3
	// selectionMargin is the factor by which a later window must have more requests to be
	// selected. Each change lets hosts use different windows for a moment.
	selectionMargin = 1.1
)

// A Window counts the requests and retries of a service in sliding windows of a fixed
// length. Unlike a Budget it counts exactly, for platforms that enforce such a window.
//
// The retries of a window are bounded by the requests of that window, the one before it or
// the one half a length before it, so that they are not reduced when requests drop because
// of the same fault that makes retries necessary.
type Window struct {
	bucketLength time.Duration
	// buckets is a ring; newest is the number of the newest bucket, counted from the
	// Unix epoch.
	buckets [totalBuckets]bucket
	newest  int64
}

type bucket struct{ requests, retries, inherited float64 }

// NewWindow returns an empty Window.
func NewWindow(length time.Duration) *Window {
	return &Window{bucketLength: max(1, length/windowBuckets)}
}

// RecordRequests counts first attempts of requests.
func (w *Window) RecordRequests(now time.Time, n float64) { w.bucketAt(now).requests += n }

// RecordRetries counts retries.
func (w *Window) RecordRetries(now time.Time, n float64) { w.bucketAt(now).retries += n }

// RecordInherited counts a call made by a request that was itself retried.
func (w *Window) RecordInherited(now time.Time) { w.bucketAt(now).inherited++ }

// Empty reports whether the window holds nothing that matters at a time or later.
func (w *Window) Empty(now time.Time) bool {
	oldest := now.UnixNano()/int64(w.bucketLength) - totalBuckets + 1
	for i := max(oldest, w.newest-totalBuckets+1); i <= w.newest; i++ {
		if w.buckets[ringIndex(i)] != (bucket{}) {
			return false
		}
	}
	return true
}

// A Limit bounds the retries in a Window.
type Limit struct {
	// Share is the number of retries allowed per request, and TotalShare that of retries
	// and calls of retried requests together.
	Share, TotalShare float64
	// Reserve is the number of retries allowed in addition.
	Reserve float64
	// RecentShare is the share of the allowed retries that may be made in the last tenth of
	// the window; zero if that isn't limited.
	RecentShare float64
	// Selection selects the requests to which the shares apply. Without it, the most are
	// taken.
	Selection *Selection
}

// A Selection says for each bucket which window's requests bound the retries of the window
// that starts there. All hosts of a fleet use the same one, because the most of each host may
// add up to more than the most of the fleet.
type Selection [windowBuckets]selected

// selected is one of the windows whose requests bound the retries.
type selected uint8

const (
	before selected = iota
	halfBefore
	same
)

// Select returns the windows that have the most requests, or nearly so.
func (w *Window) Select(now time.Time) Selection {
	var s Selection
	c := w.cumulate(now)
	for i := range s {
		for _, o := range []selected{halfBefore, same} {
			if c.requestsFor(i+1, o) > selectionMargin*c.requestsFor(i+1, s[i]) {
				s[i] = o
			}
		}
	}
	return s
}

// Retries returns the retries in the latest window and the most requests that bound them.
func (w *Window) Retries(now time.Time) (retries, requests float64) {
	c := w.cumulate(now)
	return c[windowBuckets].retries, c.bound(windowBuckets, nil)
}

// Room returns how many more retries a limit allows at a time.
func (w *Window) Room(now time.Time, l Limit) float64 {
	c := w.cumulate(now)
	room := math.Inf(1)
	for i := 1; i <= windowBuckets; i++ {
		requests := c.bound(i, l.Selection)
		// A window may start within a bucket.
		made := c[i+1]
		room = min(room, l.Reserve+l.Share*requests-made.retries, l.Reserve+l.TotalShare*requests-made.retries-made.inherited)
	}
	if l.RecentShare > 0 {
		allowed := l.Reserve + l.Share*c.bound(windowBuckets, l.Selection)
		room = min(room, max(minRecent, l.RecentShare*allowed)-c[recentBuckets].retries)
	}
	return room
}

// SustainedRate returns the highest constant rate, in retries per second, that a limit allows
// for the length of a window, beside the retries made so far and while requests go on as they
// are.
func (w *Window) SustainedRate(now time.Time, l Limit) float64 {
	c := w.cumulate(now)
	made := c[windowBuckets].retries
	room := l.Reserve + l.Share*c.bound(windowBuckets, l.Selection) - made
	rate := math.Inf(1)
	for i := 1; i <= windowBuckets; i++ {
		left := made - c[windowBuckets-i].retries // of the window, after so many buckets
		rate = min(rate, (room+left)/(time.Duration(i)*w.bucketLength).Seconds())
	}
	return max(0, rate)
}

// Allow reports whether a retry is within a limit and counts it if so.
func (w *Window) Allow(now time.Time, l Limit) bool {
	if w.Room(now, l) < 1 {
		return false
	}
	w.RecordRetries(now, 1)
	return true
}

// cumulated holds, at each index, the sum of so many of the newest buckets.
type cumulated [totalBuckets + 1]bucket

func (w *Window) cumulate(now time.Time) *cumulated {
	w.bucketAt(now)
	var c cumulated
	for i := range totalBuckets {
		b := w.buckets[ringIndex(w.newest-int64(i))]
		c[i+1] = bucket{c[i].requests + b.requests, c[i].retries + b.retries, c[i].inherited + b.inherited}
	}
	return &c
}

// requestsFor returns the requests of a selected window, for the window that starts with the
// given number of newest buckets.
func (c *cumulated) requestsFor(buckets int, s selected) float64 {
	from := buckets
	switch s {
	case halfBefore:
		from += windowBuckets / 2
	case before:
		from += windowBuckets
	}
	return c[from].requests - c[max(0, from-windowBuckets)].requests
}

// bound returns the requests that bound the retries of the window that starts with the given
// number of newest buckets.
func (c *cumulated) bound(buckets int, s *Selection) float64 {
	if s != nil {
		return c.requestsFor(buckets, s[buckets-1])
	}
	return max(c.requestsFor(buckets, same), c.requestsFor(buckets, halfBefore), c.requestsFor(buckets, before))
}

// bucketAt returns the bucket of a time and clears the buckets that have left the
// window.
func (w *Window) bucketAt(now time.Time) *bucket {
	number := now.UnixNano() / int64(w.bucketLength)
	if number > w.newest {
		for i := max(w.newest+1, number-totalBuckets+1); i <= number; i++ {
			w.buckets[ringIndex(i)] = bucket{}
		}
		w.newest = number
	} else if number < w.newest-windowBuckets {
		// The clock was set back.
		w.buckets = [totalBuckets]bucket{}
		w.newest = number
	}
	return &w.buckets[ringIndex(w.newest)]
}

func ringIndex(number int64) int64 { return (number%totalBuckets + totalBuckets) % totalBuckets }
