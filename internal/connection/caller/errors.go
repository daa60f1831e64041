package caller

import (
	"errors"

	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

func asSmallBuffer(err error, target **fasthttp.ErrSmallBuffer) bool { return errors.As(err, target) }

func isBodyTooLarge(err error) bool { return errors.Is(err, fasthttp.ErrBodyTooLarge) }

// asRefusal returns the refusal that err wraps, or else one with reason BadRequest.
func asRefusal(err error) refusal.Refusal {
	var r refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.New(refusal.BadRequest)
}
