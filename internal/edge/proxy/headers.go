package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// hopByHop are the headers that concern one connection. Expect is among them: what it asks for was granted here, and a server
// that doesn't answer it would never be sent the body.
var hopByHop = map[string]bool{"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// copyEndToEnd copies the headers that concern more than one connection.
func copyEndToEnd(from http.Header) http.Header {
	to := make(http.Header, len(from)+2)
	named := from.Values("Connection")
	for name, values := range from {
		if !hopByHop[name] {
			to[name] = values
		}
	}
	for _, list := range named {
		for _, name := range strings.Split(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	return to
}

// request makes what is sent to the server.
func (p *Proxy) request(ctx context.Context, t *clientRequest, u *upstream) *http.Request {
	header := copyEndToEnd(t.r.Header)
	left := max(1, (t.deadline - p.now() - returnMargin).Milliseconds())
	header["X-Deadline-Ms"] = []string{strconv.FormatInt(left, 10)}
	header["X-Expected-Instance"] = []string{u.ID}
	for _, name := range []string{"X-Attempt-Id", "X-Operation-Key"} { // whatever the client's Connection header names
		if values := t.r.Header[name]; values != nil {
			header[name] = values
		}
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // so that none is added
	}
	target := &url.URL{Scheme: "http", Host: u.address, Opaque: t.r.RequestURI}
	if strings.HasPrefix(t.r.RequestURI, "//") || !strings.HasPrefix(t.r.RequestURI, "/") {
		copied := *t.r.URL
		target = &copied
		target.Scheme, target.Host = "http", u.address
	}
	req := (&http.Request{Method: t.r.Method, URL: target, Host: t.r.Host, Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	switch {
	case t.bodyTail != nil:
		req.Body = io.NopCloser(io.MultiReader(bytes.NewReader(t.body), t.bodyTail))
		req.ContentLength = t.length
	case len(t.body) > 0:
		req.Body = io.NopCloser(bytes.NewReader(t.body))
		req.ContentLength = t.length
	case t.r.Body != nil && t.r.ContentLength != 0:
		req.Body = http.NoBody
	}
	return req
}
