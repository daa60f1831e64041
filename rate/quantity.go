package rate

import (
	"math"
	"math/bits"
	"time"
)

// A Quantity is a number of tokens in billionths of a token. Integers keep sums exact;
// every rounding is towards fewer tokens.
type Quantity int64

// Token is one token, which admits one request.
const Token Quantity = 1_000_000_000

// MaxQuantity is the largest quantity that a limit may hold, 2^20 tokens. The sum over
// thousands of buckets does not overflow.
const MaxQuantity = Token << 20

// Tokens returns a number of tokens as a Quantity, rounded down. Negative numbers and NaN
// become zero; numbers above MaxQuantity become MaxQuantity.
func Tokens(count float64) Quantity {
	if math.IsNaN(count) || count <= 0 {
		return 0
	}
	if count >= MaxQuantity.Float() {
		return MaxQuantity
	}
	return Quantity(math.Floor(count * float64(Token)))
}

// valid reports whether the quantity is valid in a message.
func (q Quantity) valid() bool { return q >= 0 && q <= MaxQuantity }

// Float returns the number of tokens, for display and estimates only.
func (q Quantity) Float() float64 { return float64(q) / float64(Token) }

// share returns q*part/whole rounded down, or zero if whole is zero. The result is at
// most q.
func (q Quantity) share(part, whole Quantity) Quantity {
	if q <= 0 || part <= 0 || whole <= 0 {
		return 0
	}
	if part >= whole {
		return q
	}
	high, low := bits.Mul64(uint64(q), uint64(part))
	quotient, _ := bits.Div64(high, low, uint64(whole))
	return Quantity(quotient)
}

// accrued returns the tokens that a rate of q per second yields in an interval, rounded
// down and at most MaxQuantity.
func (q Quantity) accrued(interval time.Duration) Quantity {
	if q <= 0 || interval <= 0 {
		return 0
	}
	high, low := bits.Mul64(uint64(q), uint64(interval))
	if high >= uint64(time.Second) {
		return MaxQuantity
	}
	quotient, _ := bits.Div64(high, low, uint64(time.Second))
	return Quantity(min(quotient, uint64(MaxQuantity)))
}

// timeFor returns the time in which a rate of q per second yields an amount, at most
// maximum.
func (q Quantity) timeFor(amount Quantity, maximum time.Duration) time.Duration {
	if amount <= 0 {
		return 0
	}
	if q <= 0 {
		return maximum
	}
	seconds := float64(amount) / float64(q)
	if seconds >= maximum.Seconds() {
		return maximum
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// A Limit is a rate in tokens per second and a burst in tokens.
type Limit struct {
	// Rate is the number of tokens added per second.
	Rate Quantity `cbor:"1,keyasint,omitempty"`
	// Burst is the largest number of tokens held at once.
	Burst Quantity `cbor:"2,keyasint,omitempty"`
}

// NewLimit returns the limit of a rate in tokens per second and a burst in tokens.
func NewLimit(tokensPerSecond, burst float64) Limit {
	return Limit{Rate: Tokens(tokensPerSecond), Burst: Tokens(burst)}
}

// Scale returns the limit multiplied by a fraction from 0 to 1, rounded down, so that the
// results for fractions which sum to 1 never sum to more than the limit.
func (l Limit) Scale(fraction float64) Limit {
	part := min(Tokens(fraction), Token)
	return Limit{Rate: l.Rate.share(part, Token), Burst: l.Burst.share(part, Token)}
}

// Plus returns the sum of two limits.
func (l Limit) Plus(other Limit) Limit {
	return Limit{Rate: l.Rate + other.Rate, Burst: l.Burst + other.Burst}
}

// Minus returns the difference of two limits, at least zero in each part.
func (l Limit) Minus(other Limit) Limit {
	return Limit{Rate: max(0, l.Rate-other.Rate), Burst: max(0, l.Burst-other.Burst)}
}

// Min returns the minimum of two limits in each part.
func (l Limit) Min(other Limit) Limit {
	return Limit{Rate: min(l.Rate, other.Rate), Burst: min(l.Burst, other.Burst)}
}

// Max returns the maximum of two limits in each part.
func (l Limit) Max(other Limit) Limit {
	return Limit{Rate: max(l.Rate, other.Rate), Burst: max(l.Burst, other.Burst)}
}

// valid reports whether the limit is valid in a message.
func (l Limit) valid() bool { return l.Rate.valid() && l.Burst.valid() }

// IsZero reports whether both parts are zero.
func (l Limit) IsZero() bool { return l == Limit{} }
