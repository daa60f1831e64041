package member

import "time"

// Settings are the times and bounds of the protocol. All nodes of a deployment
// use the same.
type Settings struct {
	// ProbePeriod is the time between two probes of one node.
	ProbePeriod time.Duration
	// ProbeTimeout is how long a direct probe may take before others are asked;
	// it is shorter than half of the period.
	ProbeTimeout time.Duration
	// IndirectProbes is how many others are asked to probe.
	IndirectProbes int
	// SuspicionTimeout is how long a member may refute before it is dead.
	SuspicionTimeout time.Duration
	// PushPeriod is the time between two sends of new statements.
	PushPeriod time.Duration
	// PushFanout is how many random members get each such send.
	PushFanout int
	// RetransmitFactor times the decimal logarithm of the zone's size is how
	// often one node passes a statement on.
	RetransmitFactor int
	// SpreadRate and SpreadBurst bound the bytes that one node passes on, per second
	// and at once, for preferred entries and for all others each. Announcements and
	// answers are apart.
	SpreadRate, SpreadBurst int
	// SyncPeriod is the time between two comparisons with another node.
	SyncPeriod time.Duration
	// CatchUpPeriod replaces SyncPeriod after a comparison with many differences.
	CatchUpPeriod time.Duration
	// HeartbeatPeriod is the time between two heartbeats of a zone.
	HeartbeatPeriod time.Duration
	// ZoneTimeout is how long a zone counts as reachable without a heartbeat.
	ZoneTimeout time.Duration
	// SettleTime is how long a change must last before it enters a summary.
	SettleTime time.Duration
	// CorrectionTime is how long a summary must differ from the zone's view
	// before it is published anew.
	CorrectionTime time.Duration
	// JoinTime is how long a node that finds no member waits before it speaks
	// for its zone.
	JoinTime time.Duration
	// TombstoneLifetime is how long dead and left members are remembered.
	TombstoneLifetime time.Duration
	// FreezeBound is the time between two ticks above which the process counts
	// as having been frozen: its running timeouts then start again.
	FreezeBound time.Duration
	// Bridges is how many nodes of a zone exchange rumours with other zones.
	Bridges int
	// SummaryNodes is how many nodes a summary names per service.
	SummaryNodes int
	// MessageLimit is the greatest encoded message in bytes.
	MessageLimit int
	// PayloadLimit is the greatest payload of a rumour in bytes.
	PayloadLimit int
	// RumourLimit is how many rumours a node holds.
	RumourLimit int
	// MemberLimit is how many members of its zone a node holds.
	MemberLimit int
}

// defaults returns the settings for up to 14,000 nodes in nine zones.
func defaults() Settings {
	return Settings{
		ProbePeriod: time.Second, ProbeTimeout: 300 * time.Millisecond,
		IndirectProbes: 3, SuspicionTimeout: 5 * time.Second,
		PushPeriod: 200 * time.Millisecond, PushFanout: 3, RetransmitFactor: 4,
		SpreadRate: 1200, SpreadBurst: 6000,
		SyncPeriod: 30 * time.Second, CatchUpPeriod: 500 * time.Millisecond,
		HeartbeatPeriod: 15 * time.Second, ZoneTimeout: time.Minute,
		SettleTime: time.Second, CorrectionTime: 30 * time.Second,
		JoinTime: 5 * time.Second, TombstoneLifetime: time.Hour,
		FreezeBound: 2 * time.Second,
		Bridges:     3, SummaryNodes: 3,
		MessageLimit: 1200, PayloadLimit: 384,
		RumourLimit: 16384, MemberLimit: 8192,
	}
}

// An Option changes a setting of a Group.
type Option func(*Settings)

// WithProbing sets the probe period, the direct timeout and the suspicion timeout.
func WithProbing(period, timeout, suspicion time.Duration) Option {
	return func(s *Settings) {
		s.ProbePeriod = period
		s.ProbeTimeout = timeout
		s.SuspicionTimeout = suspicion
	}
}

// WithSyncPeriod sets the time between two comparisons with another node.
func WithSyncPeriod(period time.Duration) Option {
	return func(s *Settings) { s.SyncPeriod = period }
}

// WithSettings replaces all settings.
func WithSettings(settings Settings) Option {
	return func(s *Settings) { *s = settings }
}
