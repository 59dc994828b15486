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

// hopByHop contains the headers that apply to a single connection. Expect is one of them: the edge itself responds to it, and
// a server that ignores it would never receive the body.
var hopByHop = map[string]bool{"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer":           true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// copyEndToEnd returns a copy of the end-to-end headers: all except hopByHop and those listed in Connection.
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

// upstreamRequest returns the request for a server: method, target and body of the client's request, its end-to-end headers,
// and the headers that the edge sets.
func (p *Proxy) upstreamRequest(ctx context.Context, req *clientRequest, u *upstream) *http.Request {
	client := req.http
	header := copyEndToEnd(client.Header)
	left := max(1, (req.timeLeft(p.Now()) - returnMargin).Milliseconds())
	header[headerDeadline] = []string{strconv.FormatInt(left, 10)}
	header[headerExpectedInstance] = []string{u.ID}
	for _, name := range []string{headerAttemptID, headerOperationKey} { // even if listed in the client's Connection header
		if values := client.Header[name]; values != nil {
			header[name] = values
		}
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // keeps net/http from adding one
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

// target returns the URL with which net/http sends the client's request target unchanged. Targets that begin with two slashes
// and absolute URIs can't be passed as URL.Opaque: the former would be parsed as a host, the latter sent as an absolute URI.
func (req *clientRequest) target(address string) *url.URL {
	uri := req.http.RequestURI
	if strings.HasPrefix(uri, "/") && !strings.HasPrefix(uri, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: uri}
	}
	target := *req.http.URL
	target.Scheme, target.Host = "http", address
	return &target
}
