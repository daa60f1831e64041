package exchange_test

import (
	"math"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
)

func TestBackendReportCBORRoundTrip(t *testing.T) {
	is := is.New(t)
	report := exchange.BackendReport{ID: "i-5840f93bc3", Born: 1_790_000_000_000, Status: exchange.BackendStatus{}.WithRequestLimit(22.1).WithLeaving()}
	sent := exchange.Answer{Status: 200}.WithBackend(report)
	raw, err := cbor.Marshal(sent)
	is.NoErr(err)
	var got exchange.Answer
	is.NoErr(codec.Decoder.Unmarshal(raw, &got))
	is.True(reflect.DeepEqual(got, sent))
}

// Most backend servers state nothing, and answers between nodes are billed by size.
func TestAnswerWithoutReportHasNoBytesForIt(t *testing.T) {
	is := is.New(t)
	raw, err := cbor.Marshal(exchange.Answer{Status: 200})
	is.NoErr(err)
	var fields map[int]any
	is.NoErr(cbor.Unmarshal(raw, &fields))
	_, ok := fields[8] // the report
	is.True(!ok)
}

func TestStatusOfOtherNodeIsValidated(t *testing.T) {
	is := is.New(t)
	for limit, valid := range map[float64]bool{0: true, 22.1: true, -1: false, math.Inf(1): false, math.NaN(): false} {
		is.Equal(exchange.BackendStatus{}.WithRequestLimit(limit).Valid(), valid)
	}
}
