package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/peer"
)

const (
	firstConfig  = `{"version":"r1","services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_wait_s":3,"idle_s":15},"plants":[]}`
	secondConfig = `{"version":"r2","services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_wait_s":3,"idle_s":15},"plants":[]}`
)

// call is a call to a controller, pending or answered.
type call struct {
	h        *testController
	w        *httptest.ResponseRecorder
	answered chan struct{}
}

// startCall starts a call and processes it as far as possible without advancing the time.
func (h *testController) startCall(method, path, match, body string) *call {
	started := &call{h: h, w: httptest.NewRecorder(), answered: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	h.t.Cleanup(cancel)
	r := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx)
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	go func() {
		defer close(started.answered)
		defer func() { // recovers http.ErrAbortHandler as net/http does
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
		}()
		newControlAPI(h.Controller).handler().ServeHTTP(started.w, r)
	}()
	h.settle()
	return started
}

// status returns the status of the answer, or 0 while the call is pending.
func (c *call) status() int {
	c.h.settle()
	select {
	case <-c.answered:
		return c.w.Code
	default:
		return 0
	}
}

// startVoter starts one of three voters, with a link to another one.
func startVoter(t *testing.T) (*testController, *scriptedPeer) {
	dir := t.TempDir()
	writeDisk(t, dir, voterDisk(ipA))
	h := start(t, ipA, dir, false)
	return h, h.linkReplica(ipB)
}

// leaderOnlyCalls lists a valid example of each call that only a leader can answer.
var leaderOnlyCalls = map[string]struct{ method, path, match, body string }{
	"GET /config":           {http.MethodGet, "/config", "", ""},
	"PUT /config":           {http.MethodPut, "/config", "r0", firstConfig},
	"PATCH /config":         {http.MethodPatch, "/config", "r0", `{"version":"r1"}`},
	"GET /bookings":         {http.MethodGet, "/bookings", "", ""},
	"PUT /bookings":         {http.MethodPut, "/bookings", "b0", `{"bookings":[]}`},
	"DELETE /bookings/{id}": {http.MethodDelete, "/bookings/x", "b0", ""},
	"POST /members":         {http.MethodPost, "/members", "", `{"voter":"` + ipC + `"}`},
}

// A follower redirects callers to the leader; a controller that knows no leader asks them to retry. Neither answers from its
// local state.
func TestCallsWithoutLeadership(t *testing.T) {
	for name, request := range leaderOnlyCalls {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				h, b := startVoter(t)
				pending := h.startCall(request.method, request.path, request.match, request.body)
				g.Expect(pending.status()).To(Equal(http.StatusServiceUnavailable))
				g.Expect(pending.w.Header().Get("Retry-After")).NotTo(BeEmpty())
				h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4})
				pending = h.startCall(request.method, request.path, request.match, request.body)
				g.Expect(pending.status()).To(Equal(http.StatusTemporaryRedirect))
				g.Expect(pending.w.Header().Get("Location")).To(Equal("http://" + ipB + ":8649" + request.path))
				h.stop()
			})
		})
	}
}

// A leader that receives no replies, in a one-way partition or cut off after its election, must answer no read, confirm no
// update, and step down once it has had no contact with a majority for a second.
func TestLeaderWithoutReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		read, update := h.startCall(http.MethodGet, "/config", "", ""), h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		g.Expect([]int{read.status(), update.status()}).To(HaveEach(0), "no replica has confirmed the read index")
		h.advance(500 * time.Millisecond)
		g.Expect([]int{read.status(), update.status()}).To(HaveEach(0))
		h.advance(2 * callTimeout)
		g.Expect(read.status()).To(Equal(http.StatusServiceUnavailable))
		g.Expect(update.status()).To(Equal(http.StatusBadGateway), "the update may still be committed")
		g.Expect(h.consensus.leads()).To(BeFalse())
		g.Expect(h.consensus.inContact()).To(BeFalse())
		h.stop()
	})
}

// A read must be confirmed by a round that began after the read arrived, not by a reply that was already in flight.
func TestReadNeedsItsOwnReadIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		earlierReply := consensus.Message{Kind: consensus.AppendReply, Term: h.consensus.replica.Term(), OK: true, Index: h.consensus.replica.LastIndex()}
		read := h.startCall(http.MethodGet, "/config", "", "")
		b.sendConsensus(earlierReply)
		g.Expect(read.status()).To(BeZero())
		h.confirmReads(b)
		g.Expect(read.status()).To(Equal(http.StatusOK))
		h.stop()
	})
}

// A leader that was paused while another one was elected must not answer from its stale state after it resumes, neither calls
// from before the pause nor new ones.
func TestFrozenLeaderThatResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		read := h.startCall(http.MethodGet, "/config", "", "")
		time.Sleep(20 * time.Second) // b leads by now and has committed other entries
		g.Expect(h.consensus.inContact()).To(BeFalse())
		late := h.startCall(http.MethodGet, "/config", "", "")
		update := h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		drain := h.startCall(http.MethodDelete, "/instances/i-1", "", "")
		g.Expect(drain.status()).To(Equal(http.StatusServiceUnavailable))
		b.sendConsensus(consensus.Message{Kind: consensus.AppendReply, Term: h.consensus.replica.Term(), OK: true, Index: 2}) // was in flight during the pause
		g.Expect([]int{late.status(), update.status()}).To(HaveEach(0))
		h.followLeader(b, h.consensus.replica.Term()+3, consensus.Message{Index: 1, LogTerm: 4})
		h.advance(tickInterval)
		g.Expect([]int{read.status(), late.status()}).To(HaveEach(http.StatusServiceUnavailable))
		g.Expect(update.status()).To(Equal(http.StatusBadGateway))
		h.stop()
	})
}

// A call whose entry is truncated, or replaced by another entry at its index, must be answered that the result is unknown.
func TestCallWhoseEntryIsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		term, at := h.consensus.replica.Term(), h.consensus.replica.LastIndex()+1
		pending := h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		g.Expect(pending.status()).To(BeZero())
		// Another leader's entry replaces it and is committed in the same turn.
		h.followLeader(b, term+1, consensus.Message{Index: at - 1, LogTerm: term, Commit: at, Entries: []consensus.Entry{{Term: term + 1, Index: at}}})
		g.Expect(pending.status()).To(Equal(http.StatusBadGateway))
		g.Expect(h.consensus.state.Version()).To(BeZero())
		g.Expect(h.consensus.proposals).To(BeEmpty())

		h.becomeLeader(b)
		pending = h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		index := h.consensus.replica.LastIndex()
		h.consensus.awaitEntry(index, 0, func(uint64, error) {}) // as if it leads again and proposes at the same index
		g.Expect(pending.status()).To(Equal(http.StatusBadGateway))
		h.stop()
	})
}

// An update that is retried after its acknowledgement was lost is acknowledged, and a concurrent one that lost is rejected,
// both only once their entries are committed.
func TestChangesAreDecidedByTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		first := h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		again := h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		other := h.startCall(http.MethodPut, "/config", "r0", secondConfig)
		g.Expect([]int{first.status(), again.status(), other.status()}).To(HaveEach(0))
		h.confirmReads(b)
		g.Expect([]int{first.status(), again.status(), other.status()}).To(Equal([]int{200, 200, http.StatusPreconditionFailed}))
		later := h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		g.Expect(later.status()).To(BeZero(), "even a known change is acknowledged only once its entry is committed")
		h.confirmReads(b)
		g.Expect(later.status()).To(Equal(http.StatusOK))
		h.stop()
	})
}

// A retried update is recognized after a hundred others by a leader that restarted from a snapshot, also if it was one of ten
// in flight at once.
func TestChangeIsKnownAfterASnapshotAndARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		put := func(base int) *call {
			return h.startCall(http.MethodPut, "/config", fmt.Sprint("r", base), strings.Replace(firstConfig, "r1", fmt.Sprint("r", base+1), 1))
		}
		patch := func(base int) *call {
			return h.startCall(http.MethodPatch, "/config", fmt.Sprint("r", base), fmt.Sprintf(`{"version":"r%d","upsert":{},"remove":{}}`, base+1))
		}
		first := put(0)
		h.confirmReads(b)
		g.Expect(first.status()).To(Equal(http.StatusOK))
		for base := 1; base < 101; base += 10 {
			var patches []*call
			for n := range 10 { // each is based on one that is not committed yet
				patches = append(patches, patch(base+n))
			}
			h.confirmReads(b)
			for _, patched := range patches {
				g.Expect(patched.status()).To(Equal(http.StatusOK))
			}
		}
		h.stop()
		s := readDisk(t, h.dir)
		g.Expect(s.Snapshot.Index).NotTo(BeZero())
		g.Expect(s.Snapshot.Membership).To(Equal(threeVoters))
		h = start(t, ipA, h.dir, false)
		b = h.linkReplica(ipB)
		h.becomeLeader(b)
		again := []*call{put(0), patch(50), patch(100), put(40)}
		h.confirmReads(b)
		for i, status := range []int{200, 200, 200, http.StatusPreconditionFailed} {
			g.Expect(again[i].status()).To(Equal(status))
		}
		g.Expect(h.consensus.state.Version()).To(BeEquivalentTo(101))
		h.stop()
	})
}

// A controller that is cut off must reject a server's drain and removal. It accepts a heartbeat, which guarantees nothing.
func TestServerCallsAtPartitionedController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		sendHeartbeat := func(state string) *call {
			return h.startCall(http.MethodPut, "/instances/i-1", "", `{"service":"s","address":"x:1","capacity":2,"state":"`+state+`","call_seq":1}`)
		}
		g.Expect(sendHeartbeat("ready").status()).To(Equal(http.StatusOK))
		g.Expect(sendHeartbeat("draining").status()).To(Equal(http.StatusServiceUnavailable))
		g.Expect(h.startCall(http.MethodDelete, "/instances/i-1", "", "").status()).To(Equal(http.StatusServiceUnavailable))
		e, _ := h.servers.registry.Get("i-1")
		g.Expect(e.State).To(BeZero())
		// In contact: the leader's message arrives and reports contact with a majority.
		h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4})
		b.received()
		draining := sendHeartbeat("draining")
		g.Expect(draining.status()).To(BeZero(), "the other controller has not acknowledged the update")
		for _, f := range b.received() {
			if f.AckID != 0 {
				b.send(&peer.Frame{Acked: f.AckID})
			}
		}
		g.Expect(draining.status()).To(Equal(http.StatusOK))
		h.stop()
	})
}

// In a one-way partition the leader receives nothing from its followers. Its messages must not count as contact for them.
func TestFollowerWhoseLeaderDoesNotHearIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4})
		g.Expect(h.shortSummary().InContact).To(BeTrue())
		b.sendConsensus(consensus.Message{Kind: consensus.Append, Term: 5, Index: 1, LogTerm: 4})
		g.Expect(h.shortSummary().InContact).To(BeFalse(), "its edges look for another controller")
		h.stop()
	})
}

// Operators read each controller's local view without a quorum, so that it is available during a partition.
func TestStatusNeedsNoQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, _ := startVoter(t)
		for _, path := range []string{"/status", "/config/history", "/metrics"} {
			g.Expect(h.startCall(http.MethodGet, path, "", "").status()).To(Equal(http.StatusOK), path)
		}
		response := h.startCall(http.MethodGet, "/status", "", "")
		g.Expect(response.status()).To(Equal(http.StatusOK))
		var status operator.Status
		g.Expect(json.Unmarshal(response.w.Body.Bytes(), &status)).To(Succeed())
		g.Expect(status.InContact).To(BeFalse())
		g.Expect(status.Membership.Epoch).To(BeEquivalentTo(2))
		h.stop()
	})
}
