package controller

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/peer"
	"mulleinwood/internal/platform/apierror"
)

const (
	dealEvery         = 250 * time.Millisecond
	reservationsAgain = time.Second // reservations that are held are told so often, for whoever missed it
	bookingMost       = 1 << 20     // bytes of a call
)

// reservations is the part of a planner that holds booked slots. The leader says which reservations are held and deals them; the others
// pass that on between it and their edges.
type reservations struct {
	clock       *reservation.Clock
	dealer      *reservation.Allocator // of the term that this planner led last
	round       uint64                 // of answers that are to prove that it still leads
	asked       time.Duration          // when that one began
	proven      time.Duration          // when the last one began that was proven; 0: none
	next        time.Duration
	again       time.Duration
	told        *peer.Reservations // as this planner last heard or said; nil: nothing yet
	from        string             // who said it
	controllers map[string]string
}

// wall is this machine's time of day, in seconds.
func wall() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// carry is what a service's servers carry at once, by zone: the slots of those that take requests.
func (c *Controller) carry() map[string]reservation.Capacity {
	all := map[string]reservation.Capacity{}
	for _, e := range c.registry.All(c.now()) {
		if e.State != registry.Ready || e.TimedOut {
			continue
		}
		if all[e.Service] == nil {
			all[e.Service] = reservation.Capacity{}
		}
		all[e.Service][e.Zone] += float64(e.Capacity)
	}
	return all
}

// dealReservations says which reservations are held and deals them, while this planner is sure that it leads. Without any booking it
// does nothing.
func (c *Controller) dealReservations(now time.Duration) {
	r := &c.reservations
	if now < r.next || !c.leads() || c.state.Bookings.Version == 0 {
		return
	}
	r.next = now + dealEvery
	if r.dealer == nil || r.dealer.Term() != c.replica.Term() {
		r.dealer, r.round, r.proven, r.again, r.controllers = reservation.NewAllocator(c.replica.Term(), now), 0, 0, 0, map[string]string{}
	}
	if r.round > 0 && c.replica.ReadConfirmed(r.round) {
		r.proven = r.asked
	}
	r.round, r.asked = c.replica.ReadIndex(now), now
	if r.proven == 0 || now-r.proven > reservation.LeaderProofTTL {
		return
	}
	list := c.state.Bookings.ReservationsAt(c.carry(), r.clock.Now(now))
	changed := r.told == nil || r.told.Term != r.dealer.Term() || !slices.Equal(r.told.List, list)
	if changed || len(list) > 0 && now >= r.again {
		r.again = now + reservationsAgain
		r.told, r.from = &peer.Reservations{Term: r.dealer.Term(), List: list}, c.set.IP
		for _, p := range c.peers {
			p.link.Send(&peer.Frame{Reservations: r.told})
		}
	}
	if changed {
		_ = c.logger.Log("event", "rooms", "held", len(list), "term", r.told.Term)
		c.passReservations()
	}
	if len(list) == 0 {
		return
	}
	r.dealer.Plan(list, now)
	byController := map[string][]peer.EdgeLease{}
	for edge, lease := range r.dealer.Allocate(now) {
		owner := r.controllers[edge]
		byController[owner] = append(byController[owner], peer.EdgeLease{Edge: edge, Lease: lease})
	}
	for owner, leases := range byController {
		slices.SortFunc(leases, func(a, b peer.EdgeLease) int { return cmp.Compare(a.Edge, b.Edge) })
		if owner == c.set.IP {
			c.passLeases(leases)
		} else if p := c.peers[owner]; p != nil {
			p.link.Send(&peer.Frame{Leases: leases})
		}
	}
}

// passReservations tells the edges of this planner which reservations are held.
func (c *Controller) passReservations() {
	for _, e := range c.edges {
		e.link.Send(&peer.Frame{Reservations: c.reservations.told})
	}
}

// tellReservations tells one who joins. A leader tells that nothing is held, too: the other may have missed an end.
func (c *Controller) tellReservations(p *remote) {
	if told := c.reservations.told; told != nil && (p.edge || c.leads() && told.Term == c.replica.Term()) {
		p.link.Send(&peer.Frame{Reservations: told})
	}
}

func (c *Controller) passLeases(leases []peer.EdgeLease) {
	for _, l := range leases {
		if e := c.edges[l.Edge]; e != nil {
			e.link.Send(&peer.Frame{Leases: []peer.EdgeLease{l}})
		}
	}
}

// reservationFrame takes what a frame says of reservations.
func (c *Controller) reservationFrame(p *remote, f *peer.Frame) {
	if f.Reservations != nil && !p.edge && (c.reservations.told == nil || f.Reservations.Term >= c.reservations.told.Term) {
		same := c.reservations.told != nil && f.Reservations.Term == c.reservations.told.Term && slices.Equal(f.Reservations.List, c.reservations.told.List)
		if c.reservations.told, c.reservations.from = f.Reservations, p.ip; !same {
			c.passReservations()
		}
	}
	if len(f.Demands) > 0 {
		c.demands(p, f.Demands)
	}
	if len(f.Leases) > 0 && !p.edge {
		c.passLeases(f.Leases)
	}
}

// demands hands edges' words to whoever deals: the one that said which reservations there are.
func (c *Controller) demands(p *remote, demands []peer.EdgeDemand) {
	if p.edge {
		demands[0].Edge = p.ip
		demands = demands[:1]
	}
	if c.reservations.from != c.set.IP {
		if dealer := c.peers[c.reservations.from]; p.edge && dealer != nil {
			dealer.link.Send(&peer.Frame{Demands: demands})
		}
		return
	}
	owner := p.ip
	if p.edge {
		owner = c.set.IP
	}
	for _, w := range demands {
		c.reservations.controllers[w.Edge] = owner
		c.reservations.dealer.HandleDemand(w.Edge, w.Demand, c.now())
	}
}

// bookings is the book, as operators read it.
func (c *Controller) bookings() ([]byte, error) {
	now := c.now()
	b := operator.Bookings{Version: bookVersion(c.state.Bookings.Version), Now: c.reservations.clock.Now(now), Past: c.state.Bookings.Past, Shortfalls: map[string]float64{}, Usage: []operator.ReservationUse{}}
	for _, one := range c.state.Bookings.Active {
		b.Bookings = append(b.Bookings, one)
	}
	slices.SortFunc(b.Bookings, func(a, b reservation.Booking) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	for service, carry := range c.carryBooked() {
		for id, lacks := range c.state.Bookings.Shortfalls(service, carry, b.Now) {
			b.Shortfalls[id] = lacks
		}
	}
	if told := c.reservations.told; told != nil && c.reservations.dealer != nil {
		use := c.reservations.dealer.Wanted(now)
		for _, r := range told.List {
			b.Usage = append(b.Usage, operator.ReservationUse{Reservation: r, Wanted: use[r.ID]})
		}
	}
	return json.Marshal(b)
}

// carryBooked is carry for all services of the book: one without any server carries nothing.
func (c *Controller) carryBooked() map[string]reservation.Capacity {
	all := c.carry()
	for _, b := range c.state.Bookings.Active {
		if all[b.Service] == nil {
			all[b.Service] = reservation.Capacity{}
		}
	}
	return all
}

// endangered are the bookings that can't be kept now, a line each, as the leader sees it.
func (c *Controller) endangered() (lines []string) {
	if !c.leads() || len(c.state.Bookings.Active) == 0 {
		return nil
	}
	for service, carry := range c.carryBooked() {
		for id, lacks := range c.state.Bookings.Shortfalls(service, carry, c.reservations.clock.Now(c.now())) {
			lines = append(lines, fmt.Sprintf("booking %s lacks %.1f slots of %s", id, lacks, service))
		}
	}
	slices.Sort(lines)
	return lines
}

// bookVersion writes a version of the book: b and a number.
func bookVersion(n uint64) string { return fmt.Sprint("b", n) }

// bookingCall takes a change of the book. With dry_run it only says what could be kept.
func (c *Controller) bookingCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bookingMost))
	if err != nil {
		refuse(w, apierror.Malformed.Wrap(err, "body"))
		return
	}
	dry := r.URL.Query().Get("dry_run") == "true"
	match := r.Header.Get("If-Match")
	base, ok := config.ParseVersion(strings.Replace(match, "b", "r", 1))
	if !ok && !dry {
		refuse(w, apierror.Malformed.New("If-Match %q is no version of the book, as b7", match))
		return
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d %s", r.Method, r.PathValue("id"), base, body))
	op := reservation.Op{Call: hex.EncodeToString(sum[:16]), Base: uint64(base)}
	if r.Method == http.MethodPut {
		if op.Puts, err = readBookings(r.PathValue("id"), body); err != nil {
			refuse(w, apierror.Malformed.New("body: %s", err))
			return
		}
	} else {
		op.Cancel = r.PathValue("id")
	}
	done := make(chan booked, 1)
	c.do(func() { c.proposeBooking(op, dry, done) })
	select {
	case a := <-done:
		switch {
		case a.leader != "":
			c.elsewhere(w, r, a.leader)
		case a.err != nil:
			refuse(w, a.err)
		default:
			reply(w, http.StatusOK, operator.BookingResult{Version: bookVersion(a.version), Available: a.could, Accepted: a.kept, ID: a.id})
		}
	case <-r.Context().Done():
	}
}

// readBookings reads one booking, whose id the path has, or a list of them.
func readBookings(id string, body []byte) (all []reservation.Booking, err error) {
	if id != "" {
		all = make([]reservation.Booking, 1)
		err = json.Unmarshal(body, &all[0])
		all[0].ID = id
	} else {
		var list operator.BookingList
		err = json.Unmarshal(body, &list)
		all = list.Bookings
	}
	for i := range all {
		all[i] = all[i].WithSlots()
	}
	return all, err
}

// booked is the outcome of a call.
type booked struct {
	version uint64
	leader  string
	could   float64 // slots that could be kept
	kept    bool
	id      string // of the booking that could not
	err     error
}

// proposeBooking puts a change of the book into the history, if this planner leads and what is booked can be kept. The
// entry is built on the version that was judged, so that two bookings at once can't both take the last room.
func (c *Controller) proposeBooking(op reservation.Op, dry bool, done chan booked) {
	if !c.leads() {
		if leader := c.leader(); leader != "" && leader != c.set.IP {
			done <- booked{leader: leader}
		} else {
			done <- booked{err: apierror.NoLeader.New("nobody leads now")}
		}
		return
	}
	if !c.replica.CommittedInTerm() { // what a former leader acknowledged may not be applied here yet
		done <- booked{err: apierror.NoLeader.New("this leader has not caught up yet")}
		return
	}
	book := c.state.Bookings
	if op.Now = c.reservations.clock.Now(c.now()); op.Now == 0 {
		op.Now = wall() // before the first summary
	}
	out := booked{version: book.Version, kept: true}
	if dry {
		op.Base = book.Version
	}
	if !book.Knows(op.Call) || dry {
		if err := book.Validate(op); err != nil {
			done <- booked{err: err}
			return
		}
		if len(op.Puts) > 0 {
			var short bool
			short, out.id, out.could = book.FirstShortfall(op.Puts, c.carry())
			out.kept = !short
		}
	}
	if dry {
		done <- out
		return
	}
	if !out.kept {
		done <- booked{err: apierror.Overbooked.New("booking %s can't be kept, %.1f slots could", out.id, out.could)}
		return
	}
	data, err := cbor.Marshal(statemachine.Change{Bookings: &op})
	if err != nil {
		done <- booked{err: apierror.Malformed.Wrap(err, "booking")}
		return
	}
	index, term, _ := c.replica.Propose(data, c.now())
	c.wait(index, waiter{term: term, until: c.now() + callLimit, answer: func(_ uint64, err error) {
		out.version, out.err = c.state.Bookings.Version, err
		done <- out
	}})
}
