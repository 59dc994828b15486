package controller

import (
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mulleinwood/internal/node"
	"mulleinwood/internal/platform/nodesettings"
)

const standaloneSettings = "node: \"x\"\nip: \"10.0.0.1\"\nzone: \"a\"\nseeds: [\"10.0.0.1:1\"]\ninner_port_range: [7000, 7001]\n"

// A caller that closes its sending side while its call waits must get no answer, since the call has no result yet. net/http
// would write a 200 for a handler that returns without an answer, and so acknowledge a change that may never be applied.
func TestNothingIsAcknowledgedToACallerThatLeft(t *testing.T) {
	set, err := nodesettings.Parse("test", []byte(standaloneSettings))
	if err != nil {
		t.Fatal(err)
	}
	for _, call := range calls {
		if !strings.HasPrefix(call.path, "/config") && !strings.HasPrefix(call.path, "/instances") && call.path != "/status" {
			continue
		}
		c := newController(node.Config{Settings: set, Logger: log.NewNopLogger()}, 1) // the owner doesn't run, so that calls wait
		server := httptest.NewServer(newControlAPI(c).handler())
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		request := httptest.NewRequest(call.method, "http://control.example"+call.path, strings.NewReader(call.body))
		request.Header.Set("If-Match", "0")
		if err := request.Write(conn); err != nil {
			t.Fatal(err)
		}
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
		answer, _ := io.ReadAll(conn)
		if strings.HasPrefix(string(answer), "HTTP/1.1 2") {
			t.Errorf("%s %s of a caller that disconnected is acknowledged: %q", call.method, call.path, answer)
		}
		conn.Close()
		server.Close()
	}
}
