package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryvane/bilberryvane/rate"
)

// Parameters of the rate measurements.
const (
	askersOfHolder  = 40
	tokensPerSecond = 1000
	burstTokens     = 2000
)

// limits gives every account the same share.
type limits struct{}

// Share returns the limit of an account.
func (limits) Share(string) (rate.Limit, bool) {
	return rate.NewLimit(tokensPerSecond, burstTokens), true
}

// Receivers returns none: a holder asks nobody.
func (limits) Receivers(string) []string { return nil }

// Grants measures package rate: a holder that 40 sub-holders ask.
func Grants(w io.Writer) error {
	memory := Series{Name: "heap bytes of a holder asked by 40 sub-holders", Per: "client account"}
	for _, accounts := range []int{250, 1000, 4000} {
		before := heap()
		h, _ := newHolder(accounts)
		memory.Points = append(memory.Points, Point{Size: float64(accounts), Value: heap() - before})
		runtime.KeepAlive(h)
	}
	message := Series{Name: "bytes of a request and its reply", Per: "client account asked for"}
	used := Series{Name: "processor microseconds to serve it, with encoding", Per: "client account asked for"}
	for _, batch := range []int{1, 8, 64} {
		bytes, perRequest, err := exchange(batch)
		if err != nil {
			return err
		}
		message.Points = append(message.Points, Point{Size: float64(batch), Value: bytes})
		used.Points = append(used.Points, Point{Size: float64(batch), Value: perRequest})
	}
	return WriteTable(w, "Rates of client accounts", []Series{memory, message, used})
}

// newHolder returns a holder that has granted each account to all askers.
func newHolder(accounts int) (*rate.Limiter, time.Time) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	now := start.Add(time.Minute)
	h := rate.NewHolderLimiter("holder", rate.Tenure{From: start, Until: start.Add(time.Hour)}, limits{}, limits{})
	for asker := range askersOfHolder {
		for i := range accounts {
			h.Serve(now, newAsk(asker, 1, i, 1))
		}
	}
	return h, now
}

// newAsk returns a request for some accounts from the first on.
func newAsk(asker int, sequence uint64, first, count int) rate.Request {
	r := rate.Request{Sender: fmt.Sprintf("host-%05d-%d", asker, incarnationStart), Receiver: "holder"}
	for i := range count {
		r.GrantRequests = append(r.GrantRequests, rate.GrantRequest{
			Account: fmt.Sprintf("account-%06d", first+i), Sequence: sequence,
			Demand: rate.Tokens(tokensPerSecond / askersOfHolder), Need: rate.Token, Prefetch: rate.Token,
		})
	}
	return r
}

// exchange serves requests for a number of accounts and returns the bytes of one
// with its reply, and the processor microseconds.
func exchange(batch int) (bytes, microseconds float64, err error) {
	const rounds = 2000
	h, now := newHolder(batch)
	total := 0
	used := processorTime()
	for i := range rounds {
		now = now.Add(time.Millisecond)
		request, err := cbor.Marshal(newAsk(i%askersOfHolder, uint64(2+i/askersOfHolder), 0, batch))
		if err != nil {
			return 0, 0, fmt.Errorf("encode request: %w", err)
		}
		var received rate.Request
		if err := cbor.Unmarshal(request, &received); err != nil {
			return 0, 0, fmt.Errorf("decode request: %w", err)
		}
		reply, err := cbor.Marshal(h.Serve(now, received))
		if err != nil {
			return 0, 0, fmt.Errorf("encode reply: %w", err)
		}
		total += len(request) + len(reply)
	}
	used = processorTime() - used
	return float64(total) / rounds, float64(used.Microseconds()) / rounds, nil
}
