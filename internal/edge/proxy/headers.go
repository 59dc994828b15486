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

// hopByHop are the headers that concern one connection. Expect is among them: this edge has granted what it asks for, and a
// server that doesn't answer it would never be sent the body.
var hopByHop = map[string]bool{"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer":           true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// copyEndToEnd copies the headers that concern more than one connection: all but hopByHop and those that Connection names.
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

// upstreamRequest makes what is sent to the server: method, path and body as they came, end-to-end headers, and those that
// this edge sets itself.
func (p *Proxy) upstreamRequest(ctx context.Context, req *clientRequest, u *upstream) *http.Request {
	client := req.http
	header := copyEndToEnd(client.Header)
	left := max(1, (req.timeLeft(p.Now()) - returnMargin).Milliseconds())
	header[headerDeadline] = []string{strconv.FormatInt(left, 10)}
	header[headerExpectedInstance] = []string{u.ID}
	for _, name := range []string{headerAttemptID, headerOperationKey} { // whatever the client's Connection header names
		if values := client.Header[name]; values != nil {
			header[name] = values
		}
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // so that none is added
	}
	out := (&http.Request{Method: client.Method, URL: req.target(u.address), Host: client.Host, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}).WithContext(ctx)
	switch {
	case req.bodyTail != nil:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(req.body), req.bodyTail))
		out.ContentLength = req.length
	case len(req.body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(req.body))
		out.ContentLength = req.length
	case client.Body != nil && client.ContentLength != 0:
		out.Body = http.NoBody
	}
	return out
}

// target is the URL by which net/http writes the client's request target unchanged. As an opaque part a target that begins
// with two slashes would be read as a host, and an absolute one would be sent as it is.
func (req *clientRequest) target(address string) *url.URL {
	uri := req.http.RequestURI
	if strings.HasPrefix(uri, "/") && !strings.HasPrefix(uri, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: uri}
	}
	target := *req.http.URL
	target.Scheme, target.Host = "http", address
	return &target
}
