package caller

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

func asError(err error, target **fasthttp.ErrSmallBuffer) bool { return errors.As(err, target) }

func isTooLarge(err error) bool { return errors.Is(err, fasthttp.ErrBodyTooLarge) }

// asRefusal returns the refusal that an error holds, or a general one.
func asRefusal(err error) refusal.Refusal {
	var r refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.New(refusal.BadRequest)
}
