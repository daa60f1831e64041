package fleet

import "github.com/bilberryvane/bilberryvane/internal/request/exchange"

// RequestLimits holds the statuses of backend servers that limit their requests, by host,
// as stated in their answers to one node. It outlives restarts of the nodes beside them.
// It is not safe for concurrent use.
type RequestLimits struct {
	reports map[string]exchange.BackendReport
}

// NewRequestLimits returns empty RequestLimits.
func NewRequestLimits() *RequestLimits {
	return &RequestLimits{reports: make(map[string]exchange.BackendReport)}
}

// Record records the report that the node of a host has sent with an answer. answered
// reports whether it is the answer of its backend server. If it is not, a report without a
// limit doesn't end one, because a node that has restarted may not know of it.
func (l *RequestLimits) Record(host string, r exchange.BackendReport, answered bool) {
	switch {
	case r.Status.Limited:
		l.reports[host] = r
	case answered:
		delete(l.reports, host)
	}
}

// Status returns the last status of the backend server of a host, or zero if that has
// stated no limit.
func (l *RequestLimits) Status(host, id string) exchange.BackendStatus {
	if r := l.reports[host]; r.ID == id {
		return r.Status
	}
	return exchange.BackendStatus{}
}
