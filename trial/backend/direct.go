package backend

import (
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// directTries is how often a plain client tries a call.
	directTries = 3
	// directTimeout is how long it waits each time.
	directTimeout = time.Second
)

// callDirect calls another service straight, each try at the next server.
func (b *Server) callDirect(ctx *fasthttp.RequestCtx, path string) int {
	service, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	servers := b.settings.Direct[service]
	for range directTries {
		server := servers[int(b.next.Add(1))%len(servers)]
		request := fasthttp.AcquireRequest()
		response := fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + server + "/" + rest)
		request.Header.SetMethod(http.MethodPost)
		request.Header.SetBytesV("X-Request-Key", ctx.Request.Header.Peek("X-Request-Key"))
		err := b.direct.DoTimeout(request, response, directTimeout)
		status := response.StatusCode()
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		if err == nil && status == http.StatusOK {
			return status
		}
	}
	return http.StatusBadGateway
}
