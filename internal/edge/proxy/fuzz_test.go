package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/node"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/nodesettings"
)

// FuzzRequest sends arbitrary bytes as a client. The server must receive exactly one request, as parsed by net/http and on a
// configured route, with method, path and body unchanged and the ID of the picked server.
func FuzzRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /s/x?y=1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\nX-Deadline-Ms: 900\r\n\r\n",
		"POST /u/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\nContent-Length: 4\r\n\r\nbody",
		"POST /u/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"GET http://a.example/s/x HTTP/1.1\r\nHost: b.example\r\nX-Attempt-Id: t\r\nConnection: X-Pad, close\r\nX-Pad: 1\r\n\r\n",
		"GET /s/../u/%2e%2e HTTP/1.1\r\nHost: A.example:80\r\nX-Attempt-Id: t\r\nX-Expected-Instance: i-9\r\nExpect: 100-continue\r\n\r\n",
		"HEAD //s/x HTTP/1.0\r\nHost: a.example\r\nX-Attempt-Id: t\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	set, err := nodesettings.Parse("test", []byte(testSettings))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		body, bodyErr := io.ReadAll(io.LimitReader(r.Body, 1<<20))
		r.Body = io.NopCloser(bytes.NewReader(body))
		c := New(node.Config{Settings: set, Logger: log.NewNopLogger()})
		var got []*http.Request
		var bodies []string
		done := make(chan struct{})
		served := make(chan struct{}, 8)
		c.upstreams.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { far.Close(); served <- struct{}{} }()
				in := bufio.NewReader(far)
				q, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				b, _ := io.ReadAll(q.Body)
				got, bodies = append(got, q), append(bodies, string(b))
				_, _ = io.WriteString(far, rawResponse(q, "200 OK", "X-Server-Seal: s\r\nConnection: close\r\n", ""))
			}()
			return near, nil
		}
		c.applyConfig(&peer.Config{Version: 1, Snapshot: []byte(testConfig)})
		c.upstreams.update([]registry.Entry{{ID: "i-1", Service: "tags", Address: "i-1:80", Zone: "hall", Capacity: 2, Seq: 1}})
		go func() {
			defer close(done)
			c.ServeHTTP(httptest.NewRecorder(), r)
		}()
		<-done
		if r.Body != nil && len(got) == 0 {
			return
		}
		<-served
		if len(got) != 1 {
			t.Fatalf("server received %d requests for one", len(got))
		}
		q := got[0]
		if q.Method != r.Method || q.Header.Get("X-Expected-Instance") != "i-1" || q.Header.Get("X-Attempt-Id") != r.Header.Get("X-Attempt-Id") {
			t.Errorf("forwarded as %s %v", q.Method, q.Header)
		}
		if want := r.URL.RequestURI(); q.RequestURI != r.RequestURI && q.RequestURI != want {
			t.Errorf("path %q became %q", r.RequestURI, q.RequestURI)
		}
		if bodyErr == nil && bodies[0] != string(body) {
			t.Errorf("body %q became %q", body, bodies[0])
		}
		if path, _, _ := strings.Cut(q.RequestURI, "?"); !strings.HasPrefix(path, "/s/") && !strings.HasPrefix(path, "/u/") {
			t.Errorf("%q is not on a safe or unsafe route", q.RequestURI)
		}
	})
}
