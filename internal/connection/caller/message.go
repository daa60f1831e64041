package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bilberryvane/bilberryvane/internal/connection/backend"
	"github.com/bilberryvane/bilberryvane/internal/request/entry"
	"github.com/bilberryvane/bilberryvane/internal/request/exchange"
	"github.com/bilberryvane/bilberryvane/internal/request/refusal"
)

// bearerPrefix precedes the key in an Authorization header.
const bearerPrefix = "Bearer "

// idempotencyKeyHeader carries the idempotency key of a request that may run at most
// once.
const idempotencyKeyHeader = "Idempotency-Key"

// maxIdempotencyKeyBytes is the maximum size of an idempotency key.
const maxIdempotencyKeyBytes = 200

// OutcomeHeader states whether a refused request ran.
const OutcomeHeader = "Bilberryvane-Outcome"

// ReasonHeader carries the reason code of a refusal.
const ReasonHeader = "Bilberryvane-Reason"

// RequestIDHeader carries the request ID in every answer that has one.
const RequestIDHeader = "Bilberryvane-Request-Id"

// parseRequest copies a request out of the HTTP library's buffers, which are reused.
func parseRequest(ctx *fasthttp.RequestCtx) (entry.Request, error) {
	service, path := splitPath(string(ctx.RequestURI()))
	in := entry.Request{
		Method:         string(ctx.Method()),
		Service:        service,
		Path:           path,
		Body:           append([]byte(nil), ctx.PostBody()...),
		Token:          string(ctx.Request.Header.Peek(backend.TokenHeader)),
		IdempotencyKey: string(ctx.Request.Header.Peek(idempotencyKeyHeader)),
	}
	if len(in.IdempotencyKey) > maxIdempotencyKeyBytes {
		detail := fmt.Sprintf("the Idempotency-Key is longer than %d bytes", maxIdempotencyKeyBytes)
		return in, refusal.New(refusal.BadRequest).WithDetail(detail)
	}
	if text := string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)); strings.HasPrefix(text, bearerPrefix) {
		in.Secret = strings.TrimSpace(strings.TrimPrefix(text, bearerPrefix))
	}
	if text := string(ctx.Request.Header.Peek(backend.TimeoutHeader)); text != "" {
		milliseconds, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return in, refusal.New(refusal.BadRequest).WithDetail(backend.TimeoutHeader + " is not a number of milliseconds")
		}
		in.Timeout = time.Duration(milliseconds) * time.Millisecond
	}
	for name, value := range ctx.Request.Header.All() {
		if isForwarded(string(name)) {
			in.Headers = append(in.Headers, exchange.Header{Name: string(name), Value: string(value)})
		}
	}
	return in, nil
}

// splitPath splits a request URI into the service name and the rest of the path.
func splitPath(uri string) (service, path string) {
	trimmed := strings.TrimPrefix(uri, "/")
	end := strings.IndexAny(trimmed, "/?")
	if end < 0 {
		return trimmed, "/"
	}
	path = trimmed[end:]
	if path[0] == '?' {
		path = "/" + path
	}
	return trimmed[:end], path
}

// isForwarded reports whether a request header is forwarded to the backend server.
// Headers that carry keys or apply to a single connection are not.
func isForwarded(name string) bool {
	switch name {
	case fasthttp.HeaderAuthorization, fasthttp.HeaderProxyAuthorization, fasthttp.HeaderCookie,
		fasthttp.HeaderConnection, fasthttp.HeaderHost, fasthttp.HeaderContentLength,
		fasthttp.HeaderTransferEncoding, fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade,
		fasthttp.HeaderExpect, "Keep-Alive", idempotencyKeyHeader, backend.TokenHeader, backend.TimeoutHeader:
		return false
	}
	return true
}

// A refusalBody is the JSON body of the answer to a refused request.
type refusalBody struct {
	RequestID  string          `json:"request-id,omitempty"`
	Reason     refusal.Reason  `json:"reason"`
	Outcome    refusal.Outcome `json:"outcome"`
	Class      string          `json:"class,omitempty"`
	Target     string          `json:"target,omitempty"`
	RetryAfter string          `json:"retry-after,omitempty"`
	Host       string          `json:"host,omitempty"`
	Message    string          `json:"message"`
}

// writeAnswer writes an answer to the HTTP response.
func writeAnswer(ctx *fasthttp.RequestCtx, a exchange.Answer) {
	if a.RequestID != "" {
		ctx.Response.Header.Set(RequestIDHeader, a.RequestID)
	}
	if a.Refusal != nil {
		writeRefusal(ctx, *a.Refusal)
		return
	}
	for _, h := range a.Headers {
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	ctx.SetStatusCode(a.Status)
	ctx.Response.SetBodyRaw(a.Body)
}

func writeRefusal(ctx *fasthttp.RequestCtx, r refusal.Refusal) {
	body := refusalBody{
		RequestID: r.RequestID,
		Reason:    r.Reason,
		Outcome:   r.Outcome,
		Class:     r.Class,
		Host:      r.Host,
		Message:   r.Sentence(),
	}
	if r.Target > 0 {
		body.Target = r.Target.String()
	}
	if r.RetryAfter > 0 {
		body.RetryAfter = r.RetryAfter.String()
		seconds := int(math.Ceil(r.RetryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	if r.RequestID != "" {
		ctx.Response.Header.Set(RequestIDHeader, r.RequestID)
	}
	ctx.Response.Header.Set(OutcomeHeader, string(r.Outcome))
	ctx.Response.Header.Set(ReasonHeader, string(r.Reason))
	ctx.SetStatusCode(r.Status())
	ctx.SetContentType("application/json")
	text, err := json.Marshal(body)
	if err != nil {
		ctx.SetBodyString(string(r.Reason))
		return
	}
	ctx.SetBody(text)
}
