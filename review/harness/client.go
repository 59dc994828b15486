package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	tryLimit = 7 * time.Second // a little more than the client's deadline
	dialTime = time.Second
)

// tries numbers the tries of all clients.
var tries atomic.Int64

// answer is what a client got for a try.
type answer struct {
	status int
	seal   string
	body   string
}

// try sends one try of a keyed operation on a new connection to an address, and records it. The host is that of the client's
// URL, which its HTTP library writes into the Host header.
func (g *rig) try(host, address, key string) (answer, error) {
	id := fmt.Sprintf("try-%d", tries.Add(1))
	g.record.note("sent      %s: key %s, Host %s, to %s", id, key, host, address)
	got, err := sendTry(newTransport(address), host, key, id)
	if err != nil {
		g.record.note("no answer %s: key %s: %v", id, key, err)
		return got, err
	}
	g.record.note("answered  %s: key %s: %d, seal %q, body %q", id, key, got.status, got.seal, got.body)
	return got, nil
}

// newTransport returns a transport whose connections all go to one address, whatever the URL says.
func newTransport(address string) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTime}
	return &http.Transport{DisableCompression: true, DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		}}
}

func sendTry(transport *http.Transport, host, key, id string) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tryLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/crossings/7", strings.NewReader("a crossing"))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "6000")
	req.Header.Set("X-Operation-Key", key)
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{}, err
	}
	text, err := io.ReadAll(resp.Body)
	err = errors.Join(err, resp.Body.Close())
	return answer{resp.StatusCode, resp.Header.Get("X-Server-Seal"), strings.TrimSpace(string(text))}, err
}
