package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/process/fleet"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

func TestStatementsKeepLimitUntilAnswerWithoutOne(t *testing.T) {
	is := is.New(t)
	s := fleet.NewStatements()
	limited := exchange.BackendStatus{}.WithRequestLimit(20)
	s.Record("host-1", exchange.BackendReport{ID: "i-1", Born: 100, Status: limited})
	is.Equal(s.Status("host-1", "i-1"), limited)
	is.Equal(s.Status("host-1", "i-2"), exchange.BackendStatus{}) // another backend server
	is.Equal(s.Status("host-2", "i-1"), exchange.BackendStatus{})
	s.Record("host-1", exchange.BackendReport{})
	is.Equal(s.Status("host-1", "i-1"), exchange.BackendStatus{})
}
