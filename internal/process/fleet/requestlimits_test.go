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
	l.Record("host-1", exchange.BackendReport{ID: "i-1", Born: 100, Status: limited})
	is.Equal(l.Status("host-1", "i-1"), limited)
	is.Equal(l.Status("host-1", "i-2"), exchange.BackendStatus{}) // another backend server
	is.Equal(l.Status("host-2", "i-1"), exchange.BackendStatus{})
	l.Record("host-1", exchange.BackendReport{})
	is.Equal(l.Status("host-1", "i-1"), exchange.BackendStatus{})
}
