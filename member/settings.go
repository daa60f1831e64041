package member

import "time"

// Settings are the periods, timeouts and limits of the protocol. All nodes of a
// deployment must use the same values.
type Settings struct {
	// ProbePeriod is the time between two probes that a node sends.
	ProbePeriod time.Duration
	// ProbeTimeout is the time to wait for a direct ack before indirect probes are
	// sent; it must be shorter than half of ProbePeriod.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked for an indirect probe.
	IndirectProbes int
	// SuspicionTimeout is the time in which a suspect can refute before it is
	// declared dead.
	SuspicionTimeout time.Duration
	// GossipPeriod is the time between two rounds of gossip.
	GossipPeriod time.Duration
	// GossipFanout is the number of random members that receive each round.
	GossipFanout int
	// RetransmitFactor times the decimal logarithm of the zone's size is the number
	// of times that a node sends each update.
	RetransmitFactor int
	// GossipRate and GossipBurst limit the gossiped entries that a node sends, in
	// bytes per second and in bytes at once. Priority entries and all others have
	// separate budgets of this size. Announcements and replies are not counted.
	GossipRate, GossipBurst int
	// SyncPeriod is the time between two anti-entropy syncs that a node starts.
	SyncPeriod time.Duration
	// CatchUpPeriod replaces SyncPeriod until the node has joined and after a sync
	// that found many differences.
	CatchUpPeriod time.Duration
	// HeartbeatPeriod is the time between two heartbeats of a zone.
	HeartbeatPeriod time.Duration
	// ZoneTimeout is the time without a heartbeat after which a zone counts as
	// unreachable.
	ZoneTimeout time.Duration
	// SettleDelay is the delay between a change and the update of the summaries, so
	// that short-lived changes are not published.
	SettleDelay time.Duration
	// CorrectionDelay is how long after a summary arrives the zone's publisher compares
	// it with its own view; if they differ, it publishes the summary again.
	CorrectionDelay time.Duration
	// JoinTimeout is how long a node that finds no other member waits before it
	// counts as joined and may publish for its zone.
	JoinTimeout time.Duration
	// TombstoneLifetime is how long dead and left members are kept.
	TombstoneLifetime time.Duration
	// FreezeThreshold is the gap between two ticks above which the process is assumed
	// to have been frozen; its running timeouts then restart.
	FreezeThreshold time.Duration
	// Bridges is the number of nodes per zone that exchange rumours with other zones.
	Bridges int
	// SummaryNodes is the maximum number of nodes that a service summary lists.
	SummaryNodes int
	// MaxMessageBytes is the maximum size of an encoded message.
	MaxMessageBytes int
	// MaxPayloadBytes is the maximum size of a rumour's payload.
	MaxPayloadBytes int
	// MaxRumours is the maximum number of rumours that a node holds.
	MaxRumours int
	// MaxMembers is the maximum number of members of its zone that a node holds.
	MaxMembers int
}

// defaults returns settings for up to 14,000 nodes in nine zones.
func defaults() Settings {
	return Settings{
		ProbePeriod: time.Second, ProbeTimeout: 300 * time.Millisecond,
		IndirectProbes: 3, SuspicionTimeout: 5 * time.Second,
		GossipPeriod: 200 * time.Millisecond, GossipFanout: 3, RetransmitFactor: 4,
		GossipRate: 1200, GossipBurst: 6000,
		SyncPeriod: 30 * time.Second, CatchUpPeriod: 500 * time.Millisecond,
		HeartbeatPeriod: 15 * time.Second, ZoneTimeout: time.Minute,
		SettleDelay: time.Second, CorrectionDelay: 30 * time.Second,
		JoinTimeout: 5 * time.Second, TombstoneLifetime: time.Hour,
		FreezeThreshold: 2 * time.Second,
		Bridges:         3, SummaryNodes: 3,
		MaxMessageBytes: 1200, MaxPayloadBytes: 384,
		MaxRumours: 16384, MaxMembers: 8192,
	}
}

// An Option changes the settings of a Group.
type Option func(*Settings)

// WithProbing sets the probe period, the probe timeout and the suspicion timeout.
func WithProbing(period, timeout, suspicion time.Duration) Option {
	return func(s *Settings) {
		s.ProbePeriod = period
		s.ProbeTimeout = timeout
		s.SuspicionTimeout = suspicion
	}
}

// WithSyncPeriod sets the time between two anti-entropy syncs.
func WithSyncPeriod(period time.Duration) Option {
	return func(s *Settings) { s.SyncPeriod = period }
}

// WithSettings replaces all settings.
func WithSettings(settings Settings) Option {
	return func(s *Settings) { *s = settings }
}
