package event

import "github.com/apex/log"

// Events of the process: 1000 to 1099.
var (
	NodeStarted    = define(1000, "node-started", log.InfoLevel, "The node has started and listens.")
	NodeLeaving    = define(1001, "node-leaving", log.InfoLevel, "The node takes no new work and finishes what is in flight.")
	NodeStopped    = define(1002, "node-stopped", log.InfoLevel, "The node has stopped with nothing in flight.")
	StartFailed    = define(1003, "start-failed", log.ErrorLevel, "The node could not start; the error tells why.")
	WorkerPanic    = define(1004, "worker-panic", log.ErrorLevel, "A task ended by a panic; the request was answered with outcome unknown.")
	RequestStruck  = define(2100, "request-struck", log.WarnLevel, "The backend server was lost while it ran a request, which is now a suspect; after two strikes it is refused.")
	RequestCleared = define(2101, "request-cleared", log.InfoLevel, "A suspect request was answered and is no longer suspected.")
	RequestRefused = define(2000, "request-refused", log.InfoLevel, "A request was refused; reason, class and outcome are given.")
)
