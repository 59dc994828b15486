package controller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/node"
	"mulleinwood/internal/platform/nodesettings"
)

// FuzzBeat sends a heartbeat with an arbitrary body. It must be rejected, or result in a valid registry entry.
func FuzzBeat(f *testing.F) {
	for _, seed := range []string{
		`{"service":"huvo11a","address":"10.128.0.9:8080","zone":"a","version":"v1","capacity":4,"state":"ready","warmup_left_s":0,"call_seq":4}`,
		`{"service":"huvo11a","address":"x","capacity":-1,"state":"ready"}`,
		`{"service":"huvo11a","address":"x","capacity":4,"state":"gone","call_seq":18446744073709551615}`,
		`{"service":"a","address":"b","state":"ready","warmup_left_s":-1e300}`,
		`{"service":"huvo11a","address":"10.128.0.9:8080","capacity":4,"state":"draining","call_seq":5}`,
		`[]`, ``, `{`,
	} {
		f.Add([]byte(seed))
	}
	set, err := nodesettings.Parse("test", []byte("node: \"x\"\nip: \"10.0.0.1\"\nzone: \"a\"\nseeds: [\"10.0.0.1:1\"]\ninner_port_range: [7000, 7001]\n"))
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c := newController(node.Config{Settings: set, Logger: log.NewNopLogger()}, 1)
		c.consensus.replica = consensus.New(consensus.Config{ID: "10.0.0.1", Membership: consensus.Membership{Epoch: 1, Voters: []string{"10.0.0.1"}},
			Timing: consensus.Timing{Heartbeat: heartbeatInterval, ElectionTimeout: electionTimeout}})
		c.consensus.replica.Tick(time.Minute) // it leads as the only voter, so that drains are acknowledged
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			newControlAPI(c).handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/instances/i-1", strings.NewReader(string(body))))
		}()
		for waiting := true; waiting; {
			select {
			case turn := <-c.inbox:
				turn()
				c.servers.publish()
			case <-done:
				waiting = false
			}
		}
		e, known := c.servers.registry.Get("i-1")
		switch {
		case w.Code == http.StatusOK && !known:
			t.Error("acknowledged, but not in the registry")
		case w.Code != http.StatusOK && known:
			t.Errorf("rejected with %d, but in the registry", w.Code)
		case w.Code != http.StatusOK && w.Code/100 != 4:
			t.Errorf("answered with status %d", w.Code)
		case known && (e.Service == "" || e.Address == "" || e.Capacity < 1 || e.State > registry.Draining || e.WarmupLeft < 0 || e.WarmupLeft > maxWarmup):
			t.Errorf("accepted as %+v", e)
		}
		if w.Code == http.StatusOK {
			c.weights.push(time.Second)
		}
	})
}
