package rate

import (
	"math"
	"slices"
	"time"
)

const (
	// wholeRate is the number of units in which parts of a rate are counted.
	wholeRate = 10_000
	// transferTime is the time for which a transfer is stated, and may arrive. One that doesn't
	// is free again later.
	transferTime = time.Second
	// statementTime is the time after which the statement of a host contains what it took. Hosts
	// state their parts every 250 ms.
	statementTime = 600 * time.Millisecond
	// settlingTime is the time after which hosts that were heard again have stated what they
	// know, and others have what they use.
	settlingTime = time.Second
	// unstatedTime is the time after which a host that has stated no part since this one started
	// counts as using an even part, as after it was lost.
	unstatedTime = time.Second
	// scarceLoad is the share of what a host has of a rate above which it is short of it, so
	// that others transfer some to it.
	scarceLoad = 0.8
	// minShortage is the shortage of all hosts below which nothing is transferred. Demand at
	// single hosts varies at random.
	minShortage = Part(wholeRate / 100)
)

// dividedParts is the share of a rate that is divided into parts.
var dividedParts = Part(math.Round(dividedShare * wholeRate))

// A Part is a part of a rate beyond the even share of a host, in ten-thousandths of the rate.
type Part int32

// fraction returns the part as a fraction of the rate.
func (p Part) fraction() float64 { return float64(p) / wholeRate }

// times returns a share of the part, rounded down.
func (p Part) times(share float64) Part { return Part(float64(p) * share) }

// A Transfer moves a part from the host that states it to another one.
type Transfer struct {
	// Number counts the transfers of a host, from 1 on.
	Number uint32 `cbor:"1,keyasint"`
	To     string `cbor:"2,keyasint"`
	Part   Part   `cbor:"3,keyasint"`
	// Tokens are moved with it.
	Tokens float32 `cbor:"4,keyasint,omitempty"`
}

// A Statement is what a host states about its part of a rate.
type Statement struct {
	// Part is the part that it uses.
	Part Part `cbor:"1,keyasint,omitempty"`
	// Number is that of its last transfer, and Transfers are the last ones.
	Number    uint32     `cbor:"2,keyasint,omitempty"`
	Transfers []Transfer `cbor:"3,keyasint,omitempty"`
	// Silent is the sum of the parts of hosts that it hears no more, by their last statements.
	// Hosts that have restarted since don't know them.
	Silent Part `cbor:"4,keyasint,omitempty"`
}

// A HostDemand is what is known of an account at another host: its last report of the demand,
// and its last statement.
type HostDemand struct {
	Host string
	// Demand is in requests per second.
	Demand float64
	// Age is the time since the last report and statement.
	Age time.Duration
	// Stated reports whether the host has stated its part. Process identifies the process
	// that did, and Statement is the last one.
	Stated    bool
	Process   int64
	Statement Statement
}

// fresh reports whether the report is current.
func (h HostDemand) fresh() bool { return h.Stated && h.Age < maxReportAge }

// maxReportAge is the age up to which a report counts as current.
const maxReportAge = 2500 * time.Millisecond

// A received is the last transfer of a process that this host knows, and the time of its last
// statement.
type received struct {
	process  int64
	number   uint32
	statedAt time.Time
}

// A pendingPart is what a host may use beyond its last statement, unless that was made after
// until.
type pendingPart struct {
	part  Part
	until time.Time
}

// A sentTransfer is a transfer with the time at which it was made.
type sentTransfer struct {
	Transfer
	at time.Time
}

// parts is a host's part of a rate and its transfers.
type parts struct {
	own       Part
	number    uint32
	transfers []sentTransfer
	received  map[string]received
	// pending are parts that hosts got from others, or may have taken of what was free, until
	// they state it.
	pending   map[string][]pendingPart
	createdAt time.Time
	// excess is the least by which the parts have exceeded the divided share since a time.
	excess      Part
	excessSince time.Time
	// settledAt is the time from which the statements of all hosts tell what others use, after
	// hosts were heard again or the process was paused.
	settledAt, rebalancedAt time.Time
	// silent is the sum of the parts of hosts that are not heard, by their last statements.
	silent Part
}

// State returns what the host states to the other hosts.
func (s *SplitBucket) State(now time.Time) Statement {
	p := &s.parts
	p.transfers = slices.DeleteFunc(p.transfers, func(t sentTransfer) bool { return now.Sub(t.at) > transferTime })
	statement := Statement{Part: p.own, Number: p.number, Silent: p.silent}
	for _, t := range p.transfers {
		statement.Transfers = append(statement.Transfers, t.Transfer)
	}
	return statement
}

// Leave gives up the host's fraction of the rate, so that others may use it. What remains to
// be admitted has to be borrowed. What it has transferred lately is free, too, unless its
// receiver has it: others ignore the statements of a host that leaves.
func (s *SplitBucket) Leave(now time.Time) {
	s.refill(now)
	s.parts.transfers = nil
	s.parts.own, s.fraction, s.tokens = 0, 0, 0
}

// Rebalance adjusts the part of a host with a name to what the other hosts of the fleet have
// reported and stated. It takes what was transferred to it, transfers what it doesn't need to
// hosts that are short, and takes its share of what nobody uses.
func (s *SplitBucket) Rebalance(now time.Time, name string, others []HostDemand) {
	s.refill(now)
	s.evenFraction = 1 / float64(len(others)+1)
	if now.Sub(s.parts.rebalancedAt) > statementTime {
		s.parts.settledAt = now.Add(settlingTime)
	}
	s.parts.rebalancedAt = now
	for _, o := range others {
		s.receive(now, name, o)
	}
	d := s.divide(now, others)
	s.reduceExcess(now, d)
	d.pending += s.transfer(now, d)
	s.recoverFree(now, d)
	s.fraction = evenShare*s.evenFraction + s.parts.own.fraction()
	s.tokens = math.Min(s.tokens, s.capacity())
}

// receive takes the parts that another host has transferred to this one, each once. What it
// transferred before this process first heard of it was meant for an earlier process, and an
// old statement may be that of a host whose parts were free since.
func (s *SplitBucket) receive(now time.Time, name string, o HostDemand) {
	p := &s.parts
	if !o.Stated {
		return
	}
	known, ok := p.received[o.Host]
	if ok && known.process != o.Process {
		known = received{process: o.Process}
	}
	for _, t := range o.Statement.Transfers {
		switch {
		case t.Number <= known.number || t.Part <= 0:
		case t.To != name:
			p.pending[t.To] = append(p.pending[t.To], pendingPart{t.Part, now.Add(transferTime + statementTime)})
		case ok && o.Age < statementTime:
			p.own += t.Part
			s.fraction += t.Part.fraction()
			if t.Tokens > 0 {
				s.tokens = math.Min(s.capacity(), s.tokens+float64(t.Tokens))
			}
		}
	}
	statedAt := now.Add(-o.Age)
	if !ok || known.process == o.Process && statedAt.Sub(known.statedAt) > statementTime {
		p.settledAt = now.Add(settlingTime)
	}
	p.received[o.Host] = received{process: o.Process, number: max(known.number, o.Statement.Number), statedAt: statedAt}
}

// pendingOf returns what a host may use beyond its last statement.
func (p *parts) pendingOf(now time.Time, o HostDemand) Part {
	stated := now.Add(-o.Age)
	left := slices.DeleteFunc(p.pending[o.Host], func(part pendingPart) bool {
		return o.Stated && stated.After(part.until)
	})
	p.pending[o.Host] = left
	sum := Part(0)
	for _, part := range left {
		sum += part.part
	}
	return sum
}

// A division is how the divided share of a rate is used and wanted, as one host sees it.
type division struct {
	own    divisionEntry
	others []divisionEntry
	// used is the sum of the parts of all other hosts, and pending of what they may use beyond
	// those.
	used, pending Part
	// known reports whether the part of each host is known, or the host is lost.
	known bool
}

// A divisionEntry is the part that a host uses, that which it should have by its share of the
// demand, and that which is enough for its demand.
type divisionEntry struct {
	host                 string
	fresh, responsive    bool
	demand               float64
	used, target, enough Part
}

// surplus returns what the host has beyond what it should have and needs.
func (e divisionEntry) surplus() Part { return max(0, e.used-max(e.target, e.enough)) }

// shortage returns what the host should have if it has less than it needs. What is transferred
// to a host that doesn't respond is lost to both while it doesn't.
func (e divisionEntry) shortage() Part {
	if !e.responsive || e.used >= e.enough {
		return 0
	}
	return max(0, e.target-e.used)
}

// divide returns the division that demand asks for.
func (s *SplitBucket) divide(now time.Time, others []HostDemand) division {
	p := &s.parts
	d := division{own: divisionEntry{fresh: true, used: p.own, demand: s.Demand(now)}, known: true}
	available, total, sharers := dividedParts, d.own.demand, 1
	silent, silentElsewhere := Part(0), Part(0)
	p.silent = 0
	for _, o := range others {
		used := dividedParts.times(s.evenFraction)
		if o.Stated {
			used = o.Statement.Part
		} else if now.Sub(p.createdAt) < unstatedTime {
			d.known = false
		}
		pending := p.pendingOf(now, o)
		if o.fresh() {
			total += o.Demand
			sharers++
			silentElsewhere = max(silentElsewhere, o.Statement.Silent)
		} else {
			available -= used + pending
		}
		switch {
		case !o.Stated:
			silent += used + pending
		case o.Age > statementTime:
			silent += used + pending
			p.silent += used + pending
		}
		d.used += used
		d.pending += pending
		d.others = append(d.others, divisionEntry{host: o.Host, fresh: o.fresh(), responsive: o.Stated && o.Age < statementTime, used: used, demand: o.Demand})
	}
	if unknown := silentElsewhere - silent; unknown > 0 {
		d.used += unknown
		available -= unknown
	}
	available = max(0, available)
	complete := func(e *divisionEntry) {
		switch {
		case !e.fresh:
			e.target = e.used
		case total > 0:
			e.target = available.times(e.demand / total)
		default:
			e.target = available / Part(sharers)
		}
		e.enough = Part(math.Min(wholeRate, wholeRate*(e.demand/(scarceLoad*s.rate)-evenShare*s.evenFraction)))
	}
	complete(&d.own)
	for i := range d.others {
		complete(&d.others[i])
	}
	return d
}

// reduceExcess lowers the part if those of all hosts exceed the divided share for
// statementTime, as after a host has restarted: each host lowers its own in proportion. For a
// shorter time they seem to, as a receiver may state a transfer before its giver is heard.
func (s *SplitBucket) reduceExcess(now time.Time, d division) {
	p := &s.parts
	sum := p.own + d.used
	excess := sum - dividedParts
	if excess <= 0 {
		p.excess, p.excessSince = 0, now
		return
	}
	if p.excess == 0 || excess < p.excess {
		p.excess = excess
	}
	if now.Sub(p.excessSince) < statementTime {
		return
	}
	p.own -= p.excess.times(float64(p.own) / float64(sum))
	p.excess, p.excessSince = 0, now
}

// transfer transfers the host's share of what others lack, if it has more than it should, and
// returns how much.
func (s *SplitBucket) transfer(now time.Time, d division) Part {
	p := &s.parts
	d.own.used = p.own
	surplus, lacking := d.own.surplus(), Part(0)
	total := surplus
	for _, o := range d.others {
		total += o.surplus()
		lacking += o.shortage()
	}
	if surplus == 0 || lacking < minShortage {
		return 0
	}
	before := p.own
	share := math.Min(1, float64(lacking)/float64(total)) // of each surplus
	for _, o := range d.others {
		part := surplus.times(share * float64(o.shortage()) / float64(lacking))
		if part <= 0 || p.transferredLately(now, o.host) {
			continue
		}
		tokens := s.tokens * math.Min(1, part.fraction()/s.fraction)
		s.tokens -= tokens
		s.fraction -= part.fraction()
		p.own -= part
		p.number++
		p.transfers = append(p.transfers, sentTransfer{Transfer{Number: p.number, To: o.host, Part: part, Tokens: float32(tokens)}, now})
		p.pending[o.host] = append(p.pending[o.host], pendingPart{part, now.Add(transferTime + statementTime)})
	}
	return before - p.own
}

// transferredLately reports whether a host may not have stated yet what it got from this one.
func (p *parts) transferredLately(now time.Time, host string) bool {
	return slices.ContainsFunc(p.transfers, func(t sentTransfer) bool { return t.To == host && now.Sub(t.at) < statementTime })
}

// recoverFree takes an equal share of what is free: the parts of processes that have ended and
// of hosts that have left, and transfers that did not arrive. The others may do the same.
func (s *SplitBucket) recoverFree(now time.Time, d division) {
	p := &s.parts
	share := (dividedParts - p.own - d.used - d.pending) / Part(len(d.others)+1)
	if share <= 0 || !d.known || len(d.others) > 0 && now.Before(p.settledAt) {
		return
	}
	p.own += share
	for _, o := range d.others {
		p.pending[o.host] = append(p.pending[o.host], pendingPart{share, now.Add(statementTime)})
	}
}
