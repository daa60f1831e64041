package fleet

import "github.com/bilberryvane/bilberryvane/internal/request/exchange"

// Statements holds what backend servers have stated in their answers to one node, by
// host. It outlives restarts of the nodes beside them. It is not safe for concurrent use.
type Statements struct {
	limits map[string]exchange.BackendReport
}

// NewStatements returns empty Statements.
func NewStatements() *Statements {
	return &Statements{limits: make(map[string]exchange.BackendReport)}
}

// Record records the report that the node of a host has sent with an answer.
func (s *Statements) Record(host string, r exchange.BackendReport) {
	if r.Status.Limited {
		s.limits[host] = r
		return
	}
	delete(s.limits, host)
}

// Status returns the last status of the backend server of a host, or zero if that has
// stated none.
func (s *Statements) Status(host, id string) exchange.BackendStatus {
	if r := s.limits[host]; r.ID == id {
		return r.Status
	}
	return exchange.BackendStatus{}
}
