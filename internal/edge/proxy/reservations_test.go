package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/peer"
)

// requestMany sends n concurrent requests of a tenant. done waits for them and returns the number of responses by status.
func (h *testEdge) requestMany(n int, host string) (done func() map[int]int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for i := range n {
		all.Go(func() {
			r := httptest.NewRequest("GET", "http://"+host+"/s/x", strings.NewReader(""))
			r.RequestURI = "/s/x"
			r.Header.Set("X-Attempt-Id", fmt.Sprint(host, i))
			r.Header.Set("X-Deadline-Ms", "2000")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			mu.Lock()
			got[w.Code]++
			mu.Unlock()
		})
	}
	synctest.Wait()
	return func() map[int]int { all.Wait(); return got }
}

// respondAfter returns a script that responds after a delay.
func respondAfter(h *testEdge, delay time.Duration) func(*http.Request) string {
	return func(r *http.Request) string {
		time.Sleep(delay)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("X-Attempt-Id"))
	}
}

const twoTenants = `{"version":"r2","services":[{"name":"tags"}],"limits":{},"plants":[{"plant":"a.example","channels":[` +
	`{"name":"s","path_prefix":"/s/","kind":"safe","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2}]},{"plant":"b.example","channels":[` +
	`{"name":"t","path_prefix":"/s/","kind":"safe","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2}]}]}`

// setReservations announces reservations to the edge and leases it shares of them.
func (h *testEdge) setReservations(list []reservation.Reservation, shares map[string]int, full map[string]bool) {
	h.reservations.handleReservations(&peer.Reservations{Term: 3, List: list})
	h.reservations.handleLease(reservation.Lease{Incarnation: h.Incarnation, Stamp: h.Now(), Term: 3, Seq: 1, Duration: 10 * time.Second, Shares: shares, Exhausted: full})
}

func TestOthersDoNotTakeAReservation(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.g.Expect(h.applyConfig(&peer.Config{Version: 2, Snapshot: []byte(twoTenants)})).To(BeTrue())
		for i := range 4 { // eight slots
			h.addServer(fmt.Sprint("i-", i), respondAfter(h, 300*time.Millisecond))
		}
		list := []reservation.Reservation{{ID: "flyer", Tenant: "A.example", Service: "tags", Slots: 6}, {ID: reservation.UnreservedID("tags"), Service: "tags", Slots: 2}}
		h.setReservations(list, map[string]int{"flyer": 6, reservation.UnreservedID("tags"): 2}, map[string]bool{reservation.UnreservedID("tags"): true})
		others := h.requestMany(30, "b.example")
		time.Sleep(20 * time.Millisecond)
		reserved := h.requestMany(4, "a.example")
		h.g.Expect(reserved()).To(Equal(map[int]int{200: 4}), "while others send many times more than fits")
		got := others()
		h.g.Expect(got[200]).To(BeNumerically("<=", 6), "their own slots, lent ones, and those released within a fifth of the latency target")
		h.g.Expect(got[503]).To(Equal(30 - got[200]))
		h.g.Expect(h.reservations.gates["tags"].Idle()).To(BeTrue(), "all slots are released")

		// The reservation ends: no request is limited any more.
		h.reservations.handleReservations(&peer.Reservations{Term: 3})
		h.g.Expect(h.reservations.active.Load()).To(BeFalse())
		h.g.Expect(h.requestMany(8, "b.example")()).To(Equal(map[int]int{200: 8}))
	})
}

// A reservation is cancelled while unreserved requests use its lent slots: they continue, no request is limited any more, and
// all slots are released.
func TestReservationEndsWhileItsSlotsAreLent(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.g.Expect(h.applyConfig(&peer.Config{Version: 2, Snapshot: []byte(twoTenants)})).To(BeTrue())
		for i := range 4 {
			h.addServer(fmt.Sprint("i-", i), respondAfter(h, 300*time.Millisecond))
		}
		list := []reservation.Reservation{{ID: "flyer", Tenant: "a.example", Service: "tags", Slots: 7}, {ID: reservation.UnreservedID("tags"), Service: "tags", Slots: 1}}
		h.setReservations(list, map[string]int{"flyer": 7, reservation.UnreservedID("tags"): 1}, map[string]bool{reservation.UnreservedID("tags"): true})
		lent := h.requestMany(3, "b.example")
		reserved := h.requestMany(1, "a.example")
		h.reservations.handleReservations(&peer.Reservations{Term: 3})
		h.g.Expect(h.reservations.gates).To(HaveLen(1), "requests admitted by the gate are still running")
		more := h.requestMany(4, "b.example")
		h.g.Expect(lent()).To(Equal(map[int]int{200: 3}))
		h.g.Expect(reserved()).To(Equal(map[int]int{200: 1}))
		h.g.Expect(more()).To(Equal(map[int]int{200: 4}))
		h.reservations.sendDemand()
		h.g.Expect(h.reservations.gates).To(BeEmpty())
		h.g.Expect(h.reservations.active.Load()).To(BeFalse())
	})
}

// This edge's share is small, but the reservation isn't exhausted elsewhere: no reserved request is rejected while a server
// has free slots. Once the reservation is exhausted, requests beyond it compete with unreserved ones.
func TestEdgeWithASmallShareRejectsNobody(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.g.Expect(h.applyConfig(&peer.Config{Version: 2, Snapshot: []byte(twoTenants)})).To(BeTrue())
		for i := range 4 {
			h.addServer(fmt.Sprint("i-", i), respondAfter(h, 300*time.Millisecond))
		}
		list := []reservation.Reservation{{ID: "flyer", Tenant: "a.example", Service: "tags", Slots: 6}, {ID: reservation.UnreservedID("tags"), Service: "tags", Slots: 2}}
		h.setReservations(list, map[string]int{"flyer": 1, reservation.UnreservedID("tags"): 0}, nil)
		h.g.Expect(h.requestMany(6, "a.example")()).To(Equal(map[int]int{200: 6}))
		h.reservations.handleLease(reservation.Lease{Incarnation: h.Incarnation, Stamp: h.Now(), Term: 3, Seq: 2, Duration: 10 * time.Second,
			Shares: map[string]int{"flyer": 1, reservation.UnreservedID("tags"): 2}, Exhausted: map[string]bool{"flyer": true, reservation.UnreservedID("tags"): true}})
		h.g.Expect(h.requestMany(8, "a.example")()[200]).To(Equal(3), "one reserved, two unreserved")
	})
}

// After a partition the lease has expired: unreserved requests are limited to an even share, reserved ones continue, and a
// delayed lease of a former leader is ignored.
func TestAnEdgeWithoutALease(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.g.Expect(h.applyConfig(&peer.Config{Version: 2, Snapshot: []byte(twoTenants)})).To(BeTrue())
		for i := range 4 {
			h.addServer(fmt.Sprint("i-", i), respondAfter(h, 300*time.Millisecond))
		}
		h.fleetEdges.Store(2)
		list := []reservation.Reservation{{ID: "flyer", Tenant: "a.example", Service: "tags", Slots: 4}, {ID: reservation.UnreservedID("tags"), Service: "tags", Slots: 4}}
		h.setReservations(list, map[string]int{"flyer": 4, reservation.UnreservedID("tags"): 4}, map[string]bool{reservation.UnreservedID("tags"): true})
		time.Sleep(11 * time.Second)
		h.reservations.sendDemand()
		h.reservations.handleReservations(&peer.Reservations{Term: 4, List: list})
		h.reservations.handleLease(reservation.Lease{Incarnation: h.Incarnation, Stamp: h.Now(), Term: 3, Seq: 9, Duration: 10 * time.Second, Shares: map[string]int{reservation.UnreservedID("tags"): 8}})
		others := h.requestMany(10, "b.example")
		reserved := h.requestMany(4, "a.example")
		h.g.Expect(reserved()).To(Equal(map[int]int{200: 4}))
		h.g.Expect(others()[200]).To(Equal(2))
	})
}
