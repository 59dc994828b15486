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

// call is one that a controller has not answered yet, or has.
type call struct {
	h        *testController
	w        *httptest.ResponseRecorder
	answered chan struct{}
}

// startCall starts a call and lets it come as far as it comes without time passing.
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
		defer func() { // as net/http does
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
		}()
		newControlAPI(h.Controller).handler().ServeHTTP(started.w, r)
	}()
	h.settle()
	return started
}

// status is the answer's, or 0 as long as there is none.
func (c *call) status() int {
	c.h.settle()
	select {
	case <-c.answered:
		return c.w.Code
	default:
		return 0
	}
}

// startVoter is a voter of three with a link to another one.
func startVoter(t *testing.T) (*testController, *scriptedPeer) {
	dir := t.TempDir()
	writeDisk(t, dir, voterDisk(ipA))
	h := start(t, ipA, dir, false)
	return h, h.linkReplica(ipB)
}

// leaderCalls is each call that needs a leader, with what it needs to be proper.
var leaderCalls = map[string]struct{ method, path, match, body string }{
	"GET /config":           {http.MethodGet, "/config", "", ""},
	"PUT /config":           {http.MethodPut, "/config", "r0", firstConfig},
	"PATCH /config":         {http.MethodPatch, "/config", "r0", `{"version":"r1"}`},
	"GET /bookings":         {http.MethodGet, "/bookings", "", ""},
	"PUT /bookings":         {http.MethodPut, "/bookings", "b0", `{"bookings":[]}`},
	"DELETE /bookings/{id}": {http.MethodDelete, "/bookings/x", "b0", ""},
	"POST /members":         {http.MethodPost, "/members", "", `{"voter":"` + ipC + `"}`},
}

// One that follows sends callers on to the leader; one that knows of none asks them to come back. Neither looks at what
// it holds.
func TestCallsWithoutLeadership(t *testing.T) {
	for name, request := range leaderCalls {
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

// A leader that can send and not hear, or was cut off after it was elected, answers no read, confirms no order, and leads no
// longer once it has heard no majority for a second.
func TestLeaderWithoutReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		read, update := h.startCall(http.MethodGet, "/config", "", ""), h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		g.Expect([]int{read.status(), update.status()}).To(HaveEach(0), "nobody has answered this round")
		h.advance(500 * time.Millisecond)
		g.Expect([]int{read.status(), update.status()}).To(HaveEach(0))
		h.advance(2 * callTimeout)
		g.Expect(read.status()).To(Equal(http.StatusServiceUnavailable))
		g.Expect(update.status()).To(Equal(http.StatusBadGateway), "it may still be taken")
		g.Expect(h.consensus.leads()).To(BeFalse())
		g.Expect(h.consensus.inContact()).To(BeFalse())
		h.stop()
	})
}

// A read is answered by a round that began after it came, not by an answer that was on its way.
func TestReadNeedsItsOwnReadIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		before := consensus.Message{Kind: consensus.AppendReply, Term: h.consensus.replica.Term(), OK: true, Index: h.consensus.replica.LastIndex()}
		read := h.startCall(http.MethodGet, "/config", "", "")
		b.sendConsensus(before)
		g.Expect(read.status()).To(BeZero())
		h.confirmReads(b)
		g.Expect(read.status()).To(Equal(http.StatusOK))
		h.stop()
	})
}

// A leader that stood still while another was elected answers from nothing that it held when it wakes: neither what was
// asked before nor what is asked now.
func TestFrozenLeaderThatResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		read := h.startCall(http.MethodGet, "/config", "", "")
		time.Sleep(20 * time.Second) // b leads by now, and has agreed on other things
		g.Expect(h.consensus.inContact()).To(BeFalse())
		late := h.startCall(http.MethodGet, "/config", "", "")
		update := h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		drain := h.startCall(http.MethodDelete, "/instances/i-1", "", "")
		g.Expect(drain.status()).To(Equal(http.StatusServiceUnavailable))
		b.sendConsensus(consensus.Message{Kind: consensus.AppendReply, Term: h.consensus.replica.Term(), OK: true, Index: 2}) // was on its way all the time
		g.Expect([]int{late.status(), update.status()}).To(HaveEach(0))
		h.followLeader(b, h.consensus.replica.Term()+3, consensus.Message{Index: 1, LogTerm: 4})
		h.advance(tickInterval)
		g.Expect([]int{read.status(), late.status()}).To(HaveEach(http.StatusServiceUnavailable))
		g.Expect(update.status()).To(Equal(http.StatusBadGateway))
		h.stop()
	})
}

// A call whose entry is cut off the log, or whose place another entry takes, gets an unclear answer, and gets one.
func TestCallWhoseEntryIsTruncated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.becomeLeader(b)
		term, at := h.consensus.replica.Term(), h.consensus.replica.LastIndex()+1
		pending := h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		g.Expect(pending.status()).To(BeZero())
		// Another leader's entry takes its place, and is committed, in the same turn.
		h.followLeader(b, term+1, consensus.Message{Index: at - 1, LogTerm: term, Commit: at, Entries: []consensus.Entry{{Term: term + 1, Index: at}}})
		g.Expect(pending.status()).To(Equal(http.StatusBadGateway))
		g.Expect(h.consensus.state.Version()).To(BeZero())
		g.Expect(h.consensus.proposals).To(BeEmpty())

		h.becomeLeader(b)
		pending = h.startCall(http.MethodPut, "/config", "r0", firstConfig)
		index := h.consensus.replica.LastIndex()
		h.consensus.awaitEntry(index, 0, func(uint64, error) {}) // it leads again and proposes at the same index
		g.Expect(pending.status()).To(Equal(http.StatusBadGateway))
		h.stop()
	})
}

// The same order sent again after its acknowledgement was lost is acknowledged, and one that lost the race is refused: both
// only once their entries are committed.
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
		g.Expect(later.status()).To(BeZero(), "even what is known here is told only once a majority follows")
		h.confirmReads(b)
		g.Expect(later.status()).To(Equal(http.StatusOK))
		h.stop()
	})
}

// An order that was taken is known again after a hundred others, in a snapshot, by a leader that started from it; so is one
// of eight that were under way at once.
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
			var all []*call
			for n := range 10 { // each on top of one that is not committed yet
				all = append(all, patch(base+n))
			}
			h.confirmReads(b)
			for _, one := range all {
				g.Expect(one.status()).To(Equal(http.StatusOK))
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

// What says that a server leaves is refused by a controller that is cut off; a beat is taken, for it promises nothing.
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
		// In contact: the leader is heard, and says that it hears this controller.
		h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4})
		b.received()
		draining := sendHeartbeat("draining")
		g.Expect(draining.status()).To(BeZero(), "the other controller has not said that it knows")
		for _, f := range b.received() {
			if f.AckID != 0 {
				b.send(&peer.Frame{Acked: f.AckID})
			}
		}
		g.Expect(draining.status()).To(Equal(http.StatusOK))
		h.stop()
	})
}

// A leader that is not heard by its followers' side, a cut one way, is no proof of contact for who follows it.
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

// Operators read each controller's own view: it needs nobody, and is no proof of anything.
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
