package event

import "github.com/apex/log"

// Events of the process: 1000 to 1099.
var (
	NodeStarted      = define(1000, "node-started", log.InfoLevel, "The node has started and listens.")
	NodeLeaving      = define(1001, "node-leaving", log.InfoLevel, "The node takes no new work and finishes what is in flight.")
	NodeServes       = define(1005, "node-serves", log.InfoLevel, "The node answers callers; it is ready unless its start took too long.")
	NodeStopped      = define(1002, "node-stopped", log.InfoLevel, "The node has stopped with nothing in flight.")
	StartFailed      = define(1003, "start-failed", log.ErrorLevel, "The node could not start; the error tells why.")
	WorkerPanic      = define(1004, "worker-panic", log.ErrorLevel, "A task ended by a panic; the request was answered with outcome unknown.")
	RequestStruck    = define(2100, "request-struck", log.WarnLevel, "The backend server was lost while it ran a request, which is now a suspect; after two strikes it is refused.")
	RequestCleared   = define(2101, "request-cleared", log.InfoLevel, "A suspect request was answered and is no longer suspected.")
	StrikesNotSpread = define(2149, "strikes-not-spread", log.WarnLevel, "Strikes against a request could not be spread by rumours; hosts of its service were told.")
	RequestRefused   = define(2000, "request-refused", log.InfoLevel, "A request was refused; reason, class and outcome are given.")
)

// Events of the membership: 1100 to 1199.
var (
	PeerJoined      = define(1100, "peer-joined", log.InfoLevel, "Another node of the zone is up.")
	PeerSuspected   = define(1101, "peer-suspected", log.InfoLevel, "Another node of the zone did not answer; it may still refute that it is down.")
	PeerLost        = define(1102, "peer-lost", log.WarnLevel, "Another node of the zone is held to be down.")
	PeerLeft        = define(1103, "peer-left", log.InfoLevel, "Another node of the zone announced its end.")
	PeerRestarted   = define(1104, "peer-restarted", log.InfoLevel, "Another node of the zone came back as a new process.")
	PeerDraining    = define(1105, "peer-draining", log.InfoLevel, "Another node of the zone takes no new work.")
	ProcessFrozen   = define(1106, "process-frozen", log.WarnLevel, "The process stood still for the given time; its running timeouts start again.")
	ZoneUnreachable = define(1107, "zone-unreachable", log.WarnLevel, "No heartbeat of another availability zone arrived for a minute.")
	ZoneReachable   = define(1108, "zone-reachable", log.InfoLevel, "Heartbeats of another availability zone arrive again.")
	NodeAnnounced   = define(1109, "node-announced", log.InfoLevel, "The table service holds the node's present incarnation.")
	AnnounceFailed  = define(1110, "announce-failed", log.WarnLevel, "The node could not announce itself to the table service and will try again.")
	MessageRejected = define(1111, "membership-message-rejected", log.WarnLevel, "A membership message was malformed or not authentic.")
	MembershipEnded = define(1112, "membership-ended", log.ErrorLevel, "The node receives no membership messages any more.")
)

// Events of the configuration: 1200 to 1299.
var (
	ConfigurationInForce     = define(1200, "configuration-in-force", log.InfoLevel, "A newer version of the configuration is in force on this host.")
	ConfigurationRejected    = define(1201, "configuration-rejected", log.ErrorLevel, "A newer version of the configuration is not valid for this release; the host stays with the version it holds.")
	ConfigurationBehind      = define(1202, "configuration-behind", log.WarnLevel, "The platform names an older version than this host holds; the host stays with its own.")
	ConfigurationHeadUnread  = define(1203, "configuration-head-unread", log.WarnLevel, "The platform could not be asked for the version in force; the host goes on with the one it holds.")
	ConfigurationUnfetched   = define(1204, "configuration-unfetched", log.WarnLevel, "The content of a version could not be had from where it was asked for; it is tried elsewhere.")
	ConfigurationNoticeLost  = define(1205, "configuration-notice-lost", log.DebugLevel, "A peer could not be told of a newer version; it learns of it by itself.")
	ConfigurationTaskRefused = define(1206, "configuration-task-refused", log.DebugLevel, "The worker pool takes no more tasks, since the process is ending.")
)

// Events of the shards: 1300 to 1399.
var (
	ShardHeld        = define(1300, "shard-held", log.InfoLevel, "This host holds a shard: it alone acts for it.")
	ShardLost        = define(1301, "shard-lost", log.WarnLevel, "This host holds a shard no more, by a handover, a change of its group or the end of its lease.")
	ShardNotTaken    = define(1302, "shard-not-taken", log.WarnLevel, "An attempt to take a shard ended without success; the reason is given.")
	ShardRecordsLost = define(1303, "shard-records-lost", log.ErrorLevel, "A majority of a shard's members was gone before a takeover, so records may be missing; nothing new is claimed on it for a while.")
	ClaimUnrecorded  = define(1304, "claim-unrecorded", log.WarnLevel, "The outcome of work that runs at most once could not be recorded; whoever sends it again is told that its outcome is unknown.")
)

// Events of the client account rate: 1400 to 1499.
var (
	RateHolderBegan     = define(1400, "rate-holder-began", log.InfoLevel, "This host holds a zone's share of the rate of a group of client accounts.")
	RateHolderUnreached = define(1401, "rate-holder-unreached", log.DebugLevel, "The holder of a share of the rate gave no answer; tokens are asked for again or elsewhere.")
)
