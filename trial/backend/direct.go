package backend

import (
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// directAttempts is the number of attempts for a direct call.
	directAttempts = 3
	// directTimeout is the timeout of each attempt.
	directTimeout = time.Second
)

// callDirect calls another service without the node, each attempt at the next
// backend server.
func (b *Server) callDirect(ctx *fasthttp.RequestCtx, path string) int {
	service, rest, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	servers := b.settings.DirectServers[service]
	for range directAttempts {
		server := servers[int(b.nextServer.Add(1))%len(servers)]
		request := fasthttp.AcquireRequest()
		response := fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + server + "/" + rest)
		request.Header.SetMethod(http.MethodPost)
		request.Header.SetBytesV("X-Request-Key", ctx.Request.Header.Peek("X-Request-Key"))
		err := b.directClient.DoTimeout(request, response, directTimeout)
		status := response.StatusCode()
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		if err == nil && status == http.StatusOK {
			return status
		}
	}
	return http.StatusBadGateway
}
