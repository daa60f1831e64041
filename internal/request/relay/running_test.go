package relay_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
)

func TestRecordCallFindsOnlyRunningRequests(t *testing.T) {
	is := is.New(t)
	rr := relay.NewRunningRequests()
	_, ok := rr.RecordCall("1f", "stock")
	is.True(!ok)
	end := rr.Start(call.Context{RequestID: "1f", Class: "sheet", Importance: 7})
	parent, ok := rr.RecordCall("1f", "stock")
	is.True(ok)
	is.Equal(parent.Class, "sheet")
	_, ok = rr.RecordCall("", "stock")
	is.True(!ok) // a root request has no parent
	is.Equal(end(), map[string]float64{"stock": 1})
	_, ok = rr.RecordCall("1f", "stock")
	is.True(!ok)
}
