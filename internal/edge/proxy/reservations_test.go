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

// requestMany is many requests of a tenant at once, each of which a server works on for a while.
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

// respondAfter answers after a span.
func respondAfter(h *testEdge, delay time.Duration) func(*http.Request) string {
	return func(r *http.Request) string {
		time.Sleep(delay)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("X-Attempt-Id"))
	}
}

const twoTenants = `{"version":"r2","services":[{"name":"tags"}],"limits":{},"plants":[{"plant":"a.example","channels":[` +
	`{"name":"s","path_prefix":"/s/","kind":"safe","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2}]},{"plant":"b.example","channels":[` +
	`{"name":"t","path_prefix":"/s/","kind":"safe","deadline_s":2,"setpoint_s":0.4,"service":"tags","tries":2}]}]}`

// setReservations gives the edge reservations and its parts of them.
func (h *testEdge) setReservations(list []reservation.Reservation, parts map[string]int, full map[string]bool) {
	h.reservations.handleReservations(&peer.Reservations{Term: 3, List: list})
	h.reservations.handleLease(reservation.Lease{Incarnation: h.Incarnation, Stamp: h.Now(), Term: 3, Seq: 1, Duration: 10 * time.Second, Shares: parts, Exhausted: full})
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
		booked := h.requestMany(4, "a.example")
		h.g.Expect(booked()).To(Equal(map[int]int{200: 4}), "while others come at many times what fits")
		got := others()
		h.g.Expect(got[200]).To(BeNumerically("<=", 6), "their own, what is lent, and what came free in a fifth of the aim")
		h.g.Expect(got[503]).To(Equal(30 - got[200]))
		h.g.Expect(h.reservations.gates["tags"].Idle()).To(BeTrue(), "all room is given back")

		// The booking ends: nobody is held any more.
		h.reservations.handleReservations(&peer.Reservations{Term: 3})
		h.g.Expect(h.reservations.active.Load()).To(BeFalse())
		h.g.Expect(h.requestMany(8, "b.example")()).To(Equal(map[int]int{200: 8}))
	})
}

// The booking is cancelled while others run under its reservation: they run on, nobody is held any more, and every slot is given back.
func TestReservationEndsWhileItsSlotsAreLent(t *testing.T) {
	runEdge(t, func(h *testEdge) {
		h.g.Expect(h.applyConfig(&peer.Config{Version: 2, Snapshot: []byte(twoTenants)})).To(BeTrue())
		for i := range 4 {
			h.addServer(fmt.Sprint("i-", i), respondAfter(h, 300*time.Millisecond))
		}
		list := []reservation.Reservation{{ID: "flyer", Tenant: "a.example", Service: "tags", Slots: 7}, {ID: reservation.UnreservedID("tags"), Service: "tags", Slots: 1}}
		h.setReservations(list, map[string]int{"flyer": 7, reservation.UnreservedID("tags"): 1}, map[string]bool{reservation.UnreservedID("tags"): true})
		lent := h.requestMany(3, "b.example")
		booked := h.requestMany(1, "a.example")
		h.reservations.handleReservations(&peer.Reservations{Term: 3})
		h.g.Expect(h.reservations.gates).To(HaveLen(1), "requests still run under it")
		more := h.requestMany(4, "b.example")
		h.g.Expect(lent()).To(Equal(map[int]int{200: 3}))
		h.g.Expect(booked()).To(Equal(map[int]int{200: 1}))
		h.g.Expect(more()).To(Equal(map[int]int{200: 4}))
		h.reservations.sendDemand()
		h.g.Expect(h.reservations.gates).To(BeEmpty())
		h.g.Expect(h.reservations.active.Load()).To(BeFalse())
	})
}

// Its part is small here, but the booking isn't used up elsewhere: no booked request is sent away while a server has room.
// Once it is used up, what exceeds it competes like everyone else.
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
		h.g.Expect(h.requestMany(8, "a.example")()[200]).To(Equal(3), "one booked, two as everybody")
	})
}

// A lease that is over, after a cut: others are held to an even share, what is booked goes on, and a lease of a former
// leader that was on its way says nothing any more.
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
		booked := h.requestMany(4, "a.example")
		h.g.Expect(booked()).To(Equal(map[int]int{200: 4}))
		h.g.Expect(others()[200]).To(Equal(2))
	})
}
