package relay_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/relay"
)

func TestLineageKnowsRunningRequestsOnly(t *testing.T) {
	is := is.New(t)
	l := relay.NewLineage()
	_, ok := l.Parent("1f")
	is.True(!ok)
	end := l.Start(call.Context{RequestID: "1f", Class: "sheet", Importance: 7})
	parent, ok := l.Parent("1f")
	is.True(ok)
	is.Equal(parent.Class, "sheet")
	_, ok = l.Parent("")
	is.True(!ok) // a caller's own request has no parent
	end()
	_, ok = l.Parent("1f")
	is.True(!ok)
}
