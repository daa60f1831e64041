package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

func TestRequestLimitIsKeptUntilAnswerWithoutOne(t *testing.T) {
	is := is.New(t)
	l := fleet.NewRequestLimits()
	limited := exchange.BackendStatus{}.WithRequestLimit(20)
	l.Record("host-1", exchange.BackendReport{ID: "i-1", Born: 100, Status: limited}, true)
	is.Equal(l.Status("host-1", "i-1"), limited)
	is.Equal(l.Status("host-1", "i-2"), exchange.BackendStatus{}) // another backend server
	is.Equal(l.Status("host-2", "i-1"), exchange.BackendStatus{})
	l.Record("host-1", exchange.BackendReport{}, true)
	is.Equal(l.Status("host-1", "i-1"), exchange.BackendStatus{})
}

// Guards against a limit that is forgotten because a node that has just restarted refuses
// a request before it knows its backend server.
func TestRefusalOfRestartedNodeDoesNotEndRequestLimit(t *testing.T) {
	is := is.New(t)
	l := fleet.NewRequestLimits()
	limited := exchange.BackendStatus{}.WithRequestLimit(20)
	l.Record("host-1", exchange.BackendReport{ID: "i-1", Status: limited}, true)
	l.Record("host-1", exchange.BackendReport{}, false)
	is.Equal(l.Status("host-1", "i-1"), limited)
}
