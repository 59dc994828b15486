package controller

import (
	"compress/gzip"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

var update = flag.Bool("update", false, "rewrite the expected answers in testdata")

// checkExpected compares answers with those of an earlier version, stored in testdata.
func checkExpected(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("answers differ from %s:\n%s\nnot\n%s", path, got, want)
	}
}

var metricValue = regexp.MustCompile(`(?m) [0-9.e+-]+$`)

// text formats an answer as a caller receives it. Metrics keep their names and labels, but not their values and help texts.
func (c *call) text(name string) string {
	status := c.status()
	var b strings.Builder
	fmt.Fprintf(&b, "== %s\n%d\n", name, status)
	if status == 0 {
		return b.String()
	}
	for _, key := range slices.Sorted(maps.Keys(c.w.Header())) {
		fmt.Fprintf(&b, "%s: %s\n", key, strings.Join(c.w.Header()[key], " | "))
	}
	body := c.w.Body.String()
	if strings.HasSuffix(name, "/metrics") {
		body = metricValue.ReplaceAllString(body, "")
		lines := slices.DeleteFunc(strings.Split(body, "\n"), func(l string) bool { return strings.HasPrefix(l, "# HELP") })
		body = strings.Join(lines, "\n")
	}
	return b.String() + body + "\n"
}

const (
	readyServer   = `{"service":"tags","address":"10.0.1.1:80","zone":"x","version":"v1","capacity":4,"state":"ready","warmup_left_s":0,"call_seq":4}`
	leavingServer = `{"service":"tags","address":"10.0.1.1:80","zone":"x","version":"v1","capacity":4,"state":"draining","warmup_left_s":0,"call_seq":5}`
	validConfig   = `{"version":"r1","services":[{"name":"tags"}],"limits":{"max_body_bytes":65536},"plants":[{"plant":"a.example","channels":[` +
		`{"name":"s","path_prefix":"/s/","kind":"safe","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2}]}]}`
	validBooking = `{"tenant":"a.example","service":"tags","start":4000000000,"end":4000003600,"slots":2,"owner":"ops"}`
)

// calls lists valid and invalid calls of all control endpoints, in the order in which they are sent.
var calls = []struct{ method, path, match, body string }{
	{http.MethodGet, "/nothing", "", ""},
	{http.MethodPost, "/config", "", ""},
	{http.MethodPut, "/instances/i-1", "", readyServer},
	{http.MethodPut, "/instances/i-1", "", `{"service":"tags"}`},
	{http.MethodPut, "/instances/i-1", "", `{`},
	{http.MethodPut, "/config", "r0", `{"version":"r1"`},
	{http.MethodPut, "/config", "x", validConfig},
	{http.MethodPut, "/config", "r0", `{"version":"r1","services":[{"name":""}]}`},
	{http.MethodPatch, "/config", "r0", `{"version":"r1"}`},
	{http.MethodPut, "/config", "r0", validConfig},
	{http.MethodPut, "/config", "r0", validConfig},
	{http.MethodPut, "/config", "r0", strings.Replace(validConfig, "r1", "r2", 1)},
	{http.MethodPatch, "/config", "r1", `{"version":"r2","upsert":{"services":[{"name":"fares"}]}}`},
	{http.MethodPatch, "/config", "r2", `{"version":"r3","upsert":{"services":[{"name":""}]}}`},
	{http.MethodGet, "/config", "", ""},
	{http.MethodGet, "/config/history", "", ""},
	{http.MethodPut, "/bookings/b-1", "b0", validBooking},
	{http.MethodPut, "/bookings/b-2", "b7", validBooking},
	{http.MethodPut, "/bookings/b-2", "b1", strings.Replace(validBooking, `"slots":2`, `"slots":200`, 1)},
	{http.MethodPut, "/bookings/b-2?dry_run=true", "", strings.Replace(validBooking, `"slots":2`, `"slots":200`, 1)},
	{http.MethodPut, "/bookings/b-2", "", `{`},
	{http.MethodDelete, "/bookings/none", "b1", ""},
	{http.MethodGet, "/bookings", "", ""},
	{http.MethodPost, "/members", "", `{}`},
	{http.MethodPost, "/members", "", `{"voter":"10.0.0.9"}`},
	{http.MethodPost, "/members", "", `{"voter":"` + ipC + `","dry_run":true}`},
	{http.MethodPut, "/instances/i-1", "", leavingServer},
	{http.MethodDelete, "/instances/i-1", "", ""},
	{http.MethodGet, "/status", "", ""},
	{http.MethodGet, "/metrics", "", ""},
}

// On a leader, on a follower and without a leader, all control endpoints must answer with the same statuses, headers and
// bodies as the earlier version.
func TestAnswersOfControlEndpoints(t *testing.T) {
	for _, role := range []string{"leader", "follower", "no_leader"} {
		t.Run(role, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, b := startVoter(t)
				switch role {
				case "leader":
					h.becomeLeader(b)
				case "follower":
					h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4})
				}
				var got strings.Builder
				for _, request := range calls {
					c := h.startCall(request.method, request.path, request.match, request.body)
					if role == "leader" {
						h.confirmReads(b)
					}
					got.WriteString(c.text(request.method + " " + request.path))
				}
				checkExpected(t, "answers_"+role+".txt", got.String())
				h.stop()
			})
		})
	}
}

// A controller must start on a data directory written by an earlier version and answer from its contents.
func TestStartOnDataDirectoryOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		packed, err := os.Open(filepath.Join("..", "..", "compat", "testdata", "exchange.db.gz"))
		g.Expect(err).NotTo(HaveOccurred())
		defer packed.Close()
		r, err := gzip.NewReader(packed)
		g.Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(r)
		g.Expect(err).NotTo(HaveOccurred())
		dir := t.TempDir()
		g.Expect(os.WriteFile(filepath.Join(dir, "exchange.db"), text, 0o600)).To(Succeed())
		h := start(t, ipA, dir, false)
		b := h.linkReplica(ipB)
		h.becomeLeader(b)
		g.Expect(config.Version(h.consensus.state.Version()).String()).To(Equal("r2"))
		g.Expect(h.consensus.replica.Term()).To(BeNumerically(">", 5))
		g.Expect(h.claims.store.Recovering()).To(BeFalse())
		a := h.claims.store.Response(idempotency.Key{1}, idempotency.Token{Incarnation: 5, Sequence: 1})
		g.Expect(a).NotTo(BeNil())
		g.Expect(string(a.Body)).To(Equal("paid"))
		read := h.startCall(http.MethodGet, "/bookings", "", "")
		h.confirmReads(b)
		g.Expect(read.status()).To(Equal(http.StatusOK))
		g.Expect(read.w.Body.String()).To(ContainSubstring(`"id":"fair"`))
		var ids []string
		for _, e := range h.servers.registry.All(h.Now()) {
			ids = append(ids, e.ID)
		}
		g.Expect(ids).To(Equal([]string{"i-1", "i-2", "i-3"}))
		h.stop()
	})
}
