package event

import "github.com/apex/log"

// Events of the process: 1000 to 1099, and of requests: 2000 and above.
var (
	NodeStarted      = define(1000, "node-started", log.InfoLevel, "The node has started and is listening.")
	NodeLeaving      = define(1001, "node-leaving", log.InfoLevel, "The node accepts no new requests and finishes those in flight.")
	NodeServes       = define(1005, "node-serves", log.InfoLevel, "The node serves callers; it is ready unless its startup took too long.")
	NodeStopped      = define(1002, "node-stopped", log.InfoLevel, "The node has stopped with no requests in flight.")
	StartFailed      = define(1003, "start-failed", log.ErrorLevel, "The node could not start; the error gives the reason.")
	WorkerPanic      = define(1004, "worker-panic", log.ErrorLevel, "A task panicked; its request was answered with outcome unknown.")
	RequestStruck    = define(2100, "request-struck", log.WarnLevel, "The backend server was lost while it ran a request, which is now a suspect; a request with too many strikes is refused.")
	RequestCleared   = define(2101, "request-cleared", log.InfoLevel, "A suspect request was answered and is no longer a suspect.")
	StrikesNotSpread = define(2149, "strikes-not-spread", log.WarnLevel, "Strikes against a request could not be spread by gossip; hosts of its service were notified.")
	StatusWithheld   = define(2001, "status-withheld", log.WarnLevel, "A backend server answered a request that may run only once with a status that says that it was not run, without the mark that this is so; the caller gets an error of the node instead.")
	RequestRefused   = define(2000, "request-refused", log.InfoLevel, "A request was refused; reason, class and outcome are given.")
)

// Events of membership: 1100 to 1199.
var (
	PeerJoined      = define(1100, "peer-joined", log.InfoLevel, "Another node of the zone is up.")
	PeerSuspected   = define(1101, "peer-suspected", log.InfoLevel, "Another node of the zone did not respond; it may still refute the suspicion.")
	PeerLost        = define(1102, "peer-lost", log.WarnLevel, "Another node of the zone is considered down.")
	PeerLeft        = define(1103, "peer-left", log.InfoLevel, "Another node of the zone announced that it is leaving.")
	PeerRestarted   = define(1104, "peer-restarted", log.InfoLevel, "Another node of the zone restarted as a new process.")
	PeerDraining    = define(1105, "peer-draining", log.InfoLevel, "Another node of the zone accepts no new requests.")
	ProcessFrozen   = define(1106, "process-frozen", log.WarnLevel, "The process was frozen for the given time; its running timeouts are restarted.")
	ZoneUnreachable = define(1107, "zone-unreachable", log.WarnLevel, "No heartbeat from another availability zone arrived for a minute.")
	ZoneReachable   = define(1108, "zone-reachable", log.InfoLevel, "Heartbeats from another availability zone arrive again.")
	NodeAnnounced   = define(1109, "node-announced", log.InfoLevel, "The table service has recorded the node's current incarnation.")
	AnnounceFailed  = define(1110, "announce-failed", log.WarnLevel, "The node could not announce itself to the table service and will retry.")
	MessageRejected = define(1111, "membership-message-rejected", log.WarnLevel, "A membership message was malformed or not authentic.")
	MembershipEnded = define(1112, "membership-ended", log.ErrorLevel, "The node no longer receives membership messages.")
)

// Events of the configuration: 1200 to 1299.
var (
	ConfigurationInForce     = define(1200, "configuration-in-force", log.InfoLevel, "A newer version of the configuration is active on this host.")
	ConfigurationRejected    = define(1201, "configuration-rejected", log.ErrorLevel, "A newer version of the configuration is not valid for this release; the host keeps its current version.")
	ConfigurationBehind      = define(1202, "configuration-behind", log.WarnLevel, "The platform reports an older version than this host has; the host keeps its current version.")
	ConfigurationHeadUnread  = define(1203, "configuration-head-unread", log.WarnLevel, "The active version could not be read from the platform; the host keeps its current version.")
	ConfigurationUnfetched   = define(1204, "configuration-unfetched", log.WarnLevel, "The content of a version could not be fetched from one source; another source is tried.")
	ConfigurationNoticeLost  = define(1205, "configuration-notice-lost", log.DebugLevel, "A peer could not be notified of a newer version; it discovers the version by itself.")
	ConfigurationTaskRefused = define(1206, "configuration-task-refused", log.DebugLevel, "The worker pool accepts no more tasks because the process is shutting down.")
	ConfigurationAmbiguous   = define(1207, "configuration-ambiguous", log.WarnLevel, "A configuration has the version of the active one and other content; the host keeps the active one.")
)

// Events of the shards: 1300 to 1399.
var (
	ShardHeld        = define(1300, "shard-held", log.InfoLevel, "This host holds a shard and is the only host that acts for it.")
	ShardLost        = define(1301, "shard-lost", log.WarnLevel, "This host no longer holds a shard, because of a handover, a change of its group or the end of its lease.")
	ShardNotTaken    = define(1302, "shard-not-taken", log.WarnLevel, "An attempt to acquire a shard failed; the reason is given.")
	ShardRecordsLost = define(1303, "shard-records-lost", log.ErrorLevel, "A majority of a shard's members was lost before a takeover, so records may be missing; the shard accepts no new claims for a while.")
	ClaimUnrecorded  = define(1304, "claim-unrecorded", log.WarnLevel, "The outcome of an at-most-once request could not be recorded; its retries are answered with outcome unknown.")
)

// Events of client account rates: 1400 to 1499.
var (
	RateHolderBegan     = define(1400, "rate-holder-began", log.InfoLevel, "This host holds a zone's share of the rate of a group of client accounts.")
	RateHolderUnreached = define(1401, "rate-holder-unreached", log.DebugLevel, "The holder of a share of the rate did not respond; tokens are requested again or from another source.")
)
