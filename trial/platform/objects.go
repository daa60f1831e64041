package platform

import (
	"bytes"
	"encoding/xml"
	"sync"

	"github.com/valyala/fasthttp"
)

// objectStore stores the objects of all buckets by path.
type objectStore struct {
	// mu guards content.
	mu      sync.Mutex
	content map[string][]byte
}

func newObjectStore() *objectStore { return &objectStore{content: make(map[string][]byte)} }

// handle serves one operation on the object at path and reports whether it was a
// write.
func (o *objectStore) handle(ctx *fasthttp.RequestCtx, path string) bool {
	switch string(ctx.Method()) {
	case fasthttp.MethodGet, fasthttp.MethodHead:
		o.get(ctx, path)
		return false
	case fasthttp.MethodPut:
		o.put(ctx, path)
		return true
	default:
		writeXMLError(ctx, fasthttp.StatusMethodNotAllowed, "MethodNotAllowed")
		return false
	}
}

func (o *objectStore) get(ctx *fasthttp.RequestCtx, path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	content, ok := o.content[path]
	if !ok {
		writeXMLError(ctx, fasthttp.StatusNotFound, "NoSuchKey")
		return
	}
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(content)
}

// put stores an object. With "If-None-Match: *" it fails if the object exists.
func (o *objectStore) put(ctx *fasthttp.RequestCtx, path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, present := o.content[path]
	if present && string(ctx.Request.Header.Peek("If-None-Match")) == "*" {
		writeXMLError(ctx, fasthttp.StatusPreconditionFailed, "PreconditionFailed")
		return
	}
	o.content[path] = bytes.Clone(ctx.PostBody())
}

func writeXMLError(ctx *fasthttp.RequestCtx, status int, code string) {
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
