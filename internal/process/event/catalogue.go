package event

import "github.com/apex/log"

// Events of the process: 1000 to 1099.
var (
	NodeStarted    = define(1000, "node-started", log.InfoLevel, "The node has started and listens.")
	NodeLeaving    = define(1001, "node-leaving", log.InfoLevel, "The node takes no new work and finishes what is in flight.")
	NodeStopped    = define(1002, "node-stopped", log.InfoLevel, "The node has stopped with nothing in flight.")
	StartFailed    = define(1003, "start-failed", log.ErrorLevel, "The node could not start; the error tells why.")
	WorkerPanic    = define(1004, "worker-panic", log.ErrorLevel, "A task ended by a panic; the request was answered with outcome unknown.")
	RequestRefused = define(2000, "request-refused", log.InfoLevel, "A request was refused; reason, class and outcome are given.")
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
