package exchange_test

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/bilberryvane/bilberryvane/internal/connection/codec"
	"github.com/bilberryvane/bilberryvane/internal/request/call"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

func sampleRequest() exchange.Request {
	return exchange.Request{
		Context: call.Context{RequestID: "r", Account: "nord", Attempts: 3, Remaining: time.Second},
		Method:  "POST", Path: "/x?y=1", Headers: []exchange.Header{{Name: "A", Value: "b"}}, Body: []byte("body"),
	}
}

func TestAnswerCBORRoundTrip(t *testing.T) {
	is := is.New(t)
	sent := exchange.Refused(refusal.New(refusal.Overloaded).WithRetryAfter(time.Second)).WithUnusedAttempts(4)
	raw, err := cbor.Marshal(sent)
	is.NoErr(err)
	var got exchange.Answer
	is.NoErr(codec.Decoder.Unmarshal(raw, &got))
	is.True(reflect.DeepEqual(got, sent))
}

// Any input is rejected, or decodes to a request that is unchanged by another encoding
// and decoding.
func FuzzRequest(f *testing.F) {
	raw, err := cbor.Marshal(sampleRequest())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{0xbf, 0x01, 0xff})
	f.Add([]byte{0xa2, 0x01, 0xa0, 0x01, 0xa0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var first, second exchange.Request
		if err := codec.Decoder.Unmarshal(raw, &first); err != nil {
			return
		}
		reencoded, err := cbor.Marshal(first)
		if err != nil {
			t.Fatalf("decoded request can't be encoded: %v", err)
		}
		if err := codec.Decoder.Unmarshal(reencoded, &second); err != nil {
			t.Fatalf("encoded request can't be decoded: %v", err)
		}
		if !reflect.DeepEqual(normalize(first), normalize(second)) {
			t.Fatalf("decoded %+v, then %+v after a round trip", first, second)
		}
	})
}

// normalize replaces empty lists by nil, because encoding omits both.
func normalize(r exchange.Request) exchange.Request {
	if len(r.Headers) == 0 {
		r.Headers = nil
	}
	if len(r.Body) == 0 {
		r.Body = nil
	}
	return r
}

// Guards against an answer of another node whose status is none, which reaches the caller as
// 200 if the status is 0.
func TestAnswersWithoutFinalStatusHaveUnknownOutcome(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{-1, 0, 1, 99, 100, 101, 199, 600, 999, 1 << 40} {
		answer := exchange.Answer{Status: status, Body: []byte("odd"), UnusedAttempts: 2}.Checked()
		is.True(answer.Refusal != nil)
		is.Equal(answer.Refusal.Outcome, refusal.Unknown)
		is.Equal(len(answer.Body), 0)
		is.Equal(answer.UnusedAttempts, 2)
	}
	for _, status := range []int{200, 299, 302, 404, 500, 599} {
		answer := exchange.Answer{Status: status, Body: []byte("body")}
		is.Equal(answer.Checked(), answer)
	}
	refused := exchange.Refused(refusal.New(refusal.Overloaded)) // has no status
	is.Equal(refused.Checked(), refused)
}

// Guards against an answer of another node with a name that HTTP does not allow.
func TestAnswersWithMalformedFieldsHaveUnknownOutcome(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"", "X Odd", " X-Odd", "X-Odd ", "X-Odd\t", "X\x00Odd", "X\rOdd", "X\nOdd", "X\x7fOdd", "X:Odd"} {
		headers := []exchange.Header{{Name: "X-Even", Value: "1"}, {Name: name, Value: "2"}}
		answer := exchange.Answer{Status: 200, Headers: headers, Body: []byte("odd"), UnusedAttempts: 2}.Checked()
		if answer.Refusal == nil {
			t.Errorf("the answer with the name %q is passed on", name)
			continue
		}
		is.Equal(answer.Refusal.Outcome, refusal.Unknown)
		is.Equal(answer.Status, 0)
		is.Equal(len(answer.Headers)+len(answer.Body), 0)
		is.Equal(answer.UnusedAttempts, 2)
	}
	answer := exchange.Answer{Status: 200, Headers: []exchange.Header{{Name: "!#$%&'*+-.^_`|~0189AZaz", Value: "a: b\t"}}}
	is.Equal(answer.Checked(), answer)
}
