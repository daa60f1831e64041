package platform

import (
	"bytes"
	"encoding/xml"
	"sync"

	"github.com/valyala/fasthttp"
)

// objects keeps the objects of all buckets by their path.
type objects struct {
	// mu guards content.
	mu      sync.Mutex
	content map[string][]byte
}

func newObjects() *objects { return &objects{content: make(map[string][]byte)} }

// handle answers one operation on the object at a path and reports whether it
// was a write.
func (o *objects) handle(ctx *fasthttp.RequestCtx, path string) bool {
	switch string(ctx.Method()) {
	case fasthttp.MethodGet, fasthttp.MethodHead:
		o.get(ctx, path)
		return false
	case fasthttp.MethodPut:
		o.put(ctx, path)
		return true
	default:
		failXML(ctx, fasthttp.StatusMethodNotAllowed, "MethodNotAllowed")
		return false
	}
}

func (o *objects) get(ctx *fasthttp.RequestCtx, path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	content, ok := o.content[path]
	if !ok {
		failXML(ctx, fasthttp.StatusNotFound, "NoSuchKey")
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(content)
}

// put writes an object, if need be only where there is none.
func (o *objects) put(ctx *fasthttp.RequestCtx, path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, present := o.content[path]
	if present && string(ctx.Request.Header.Peek("If-None-Match")) == "*" {
		failXML(ctx, fasthttp.StatusPreconditionFailed, "PreconditionFailed")
		return
	}
	o.content[path] = bytes.Clone(ctx.PostBody())
}

func failXML(ctx *fasthttp.RequestCtx, status int, code string) {
	body, err := xml.Marshal(struct {
		XMLName xml.Name `xml:"Error"`
		Code    string
	}{Code: code})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/xml")
	ctx.SetStatusCode(status)
	ctx.SetBody(body)
}
