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
	"mulleinwood/internal/platform/apierror"
	"mulleinwood/internal/platform/peer"
)

const (
	dealEvery   = 250 * time.Millisecond
	roomsAgain  = time.Second // rooms that are held are told so often, for whoever missed it
	bookingMost = 1 << 20     // bytes of a call
)

// rooms is the part of a planner that holds booked room. The leader says which rooms are held and deals them; the others
// pass that on between it and their edges.
type rooms struct {
	clock  *reservation.Clock
	dealer *reservation.Dealer // of the term that this planner led last
	round  uint64              // of answers that are to prove that it still leads
	asked  time.Duration       // when that one began
	proven time.Duration       // when the last one began that was proven; 0: none
	next   time.Duration
	again  time.Duration
	told   *peer.Rooms // as this planner last heard or said; nil: nothing yet
	from   string      // who said it
	homes  map[string]string
}

// wall is this machine's time of day, in seconds.
func wall() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// carry is what a service's servers carry at once, by zone: the slots of those that take requests.
func (x *Exchange) carry() map[string]reservation.Carry {
	all := map[string]reservation.Carry{}
	for _, e := range x.dir.All(x.now()) {
		if e.State != registry.Ready || e.Silent {
			continue
		}
		if all[e.Service] == nil {
			all[e.Service] = reservation.Carry{}
		}
		all[e.Service][e.Zone] += float64(e.Capacity)
	}
	return all
}

// dealRooms says which rooms are held and deals them, while this planner is sure that it leads. Without any booking it
// does nothing.
func (x *Exchange) dealRooms(now time.Duration) {
	r := &x.rooms
	if now < r.next || !x.leads() || x.state.Book.Version == 0 {
		return
	}
	r.next = now + dealEvery
	if r.dealer == nil || r.dealer.Term() != x.member.Term() {
		r.dealer, r.round, r.proven, r.again, r.homes = reservation.NewDealer(x.member.Term(), now), 0, 0, 0, map[string]string{}
	}
	if r.round > 0 && x.member.Confirmed(r.round) {
		r.proven = r.asked
	}
	r.round, r.asked = x.member.Confirm(now), now
	if r.proven == 0 || now-r.proven > reservation.Confirmed {
		return
	}
	list := x.state.Book.Rooms(x.carry(), r.clock.Now(now))
	changed := r.told == nil || r.told.Term != r.dealer.Term() || !slices.Equal(r.told.List, list)
	if changed || len(list) > 0 && now >= r.again {
		r.again = now + roomsAgain
		r.told, r.from = &peer.Rooms{Term: r.dealer.Term(), List: list}, x.set.IP
		for _, p := range x.peers {
			p.link.Send(&peer.Frame{Rooms: r.told})
		}
	}
	if changed {
		_ = x.logger.Log("event", "rooms", "held", len(list), "term", r.told.Term)
		x.passRooms()
	}
	if len(list) == 0 {
		return
	}
	r.dealer.Plan(list, now)
	byHome := map[string][]peer.Leased{}
	for edge, lease := range r.dealer.Deal(now) {
		home := r.homes[edge]
		byHome[home] = append(byHome[home], peer.Leased{Edge: edge, Lease: lease})
	}
	for home, leases := range byHome {
		slices.SortFunc(leases, func(a, b peer.Leased) int { return cmp.Compare(a.Edge, b.Edge) })
		if home == x.set.IP {
			x.passLeases(leases)
		} else if p := x.peers[home]; p != nil {
			p.link.Send(&peer.Frame{Leases: leases})
		}
	}
}

// passRooms tells the edges of this planner which rooms are held.
func (x *Exchange) passRooms() {
	for _, e := range x.edges {
		e.link.Send(&peer.Frame{Rooms: x.rooms.told})
	}
}

// tellRooms tells one who joins. A leader tells that nothing is held, too: the other may have missed an end.
func (x *Exchange) tellRooms(p *remote) {
	if told := x.rooms.told; told != nil && (p.edge || x.leads() && told.Term == x.member.Term()) {
		p.link.Send(&peer.Frame{Rooms: told})
	}
}

func (x *Exchange) passLeases(leases []peer.Leased) {
	for _, l := range leases {
		if e := x.edges[l.Edge]; e != nil {
			e.link.Send(&peer.Frame{Leases: []peer.Leased{l}})
		}
	}
}

// roomFrame takes what a frame says of rooms.
func (x *Exchange) roomFrame(p *remote, f *peer.Frame) {
	if f.Rooms != nil && !p.edge && (x.rooms.told == nil || f.Rooms.Term >= x.rooms.told.Term) {
		same := x.rooms.told != nil && f.Rooms.Term == x.rooms.told.Term && slices.Equal(f.Rooms.List, x.rooms.told.List)
		if x.rooms.told, x.rooms.from = f.Rooms, p.ip; !same {
			x.passRooms()
		}
	}
	if len(f.Words) > 0 {
		x.words(p, f.Words)
	}
	if len(f.Leases) > 0 && !p.edge {
		x.passLeases(f.Leases)
	}
}

// words hands edges' words to whoever deals: the one that said which rooms there are.
func (x *Exchange) words(p *remote, words []peer.Worded) {
	if p.edge {
		words[0].Edge = p.ip
		words = words[:1]
	}
	if x.rooms.from != x.set.IP {
		if dealer := x.peers[x.rooms.from]; p.edge && dealer != nil {
			dealer.link.Send(&peer.Frame{Words: words})
		}
		return
	}
	home := p.ip
	if p.edge {
		home = x.set.IP
	}
	for _, w := range words {
		x.rooms.homes[w.Edge] = home
		x.rooms.dealer.Heard(w.Edge, w.Word, x.now())
	}
}

// bookings is the book, as operators read it.
func (x *Exchange) bookings() ([]byte, error) {
	now := x.now()
	b := operator.Bookings{Version: bookVersion(x.state.Book.Version), Now: x.rooms.clock.Now(now), Past: x.state.Book.Gone, Lacks: map[string]float64{}, Use: []operator.Use{}}
	for _, one := range x.state.Book.All {
		b.Bookings = append(b.Bookings, one)
	}
	slices.SortFunc(b.Bookings, func(a, b reservation.Booking) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	for service, carry := range x.carryBooked() {
		for id, lacks := range x.state.Book.Endangered(service, carry, b.Now) {
			b.Lacks[id] = lacks
		}
	}
	if told := x.rooms.told; told != nil && x.rooms.dealer != nil {
		use := x.rooms.dealer.Use(now)
		for _, r := range told.List {
			b.Use = append(b.Use, operator.Use{Room: r, Wanted: use[r.ID]})
		}
	}
	return json.Marshal(b)
}

// carryBooked is carry for all services of the book: one without any server carries nothing.
func (x *Exchange) carryBooked() map[string]reservation.Carry {
	all := x.carry()
	for _, b := range x.state.Book.All {
		if all[b.Service] == nil {
			all[b.Service] = reservation.Carry{}
		}
	}
	return all
}

// endangered are the bookings that can't be kept now, a line each, as the leader sees it.
func (x *Exchange) endangered() (lines []string) {
	if !x.leads() || len(x.state.Book.All) == 0 {
		return nil
	}
	for service, carry := range x.carryBooked() {
		for id, lacks := range x.state.Book.Endangered(service, carry, x.rooms.clock.Now(x.now())) {
			lines = append(lines, fmt.Sprintf("booking %s lacks %.1f slots of %s", id, lacks, service))
		}
	}
	slices.Sort(lines)
	return lines
}

// bookVersion writes a version of the book: b and a number.
func bookVersion(n uint64) string { return fmt.Sprint("b", n) }

// bookingCall takes a change of the book. With dry_run it only says what could be kept.
func (x *Exchange) bookingCall(w http.ResponseWriter, r *http.Request) {
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
	x.do(func() { x.proposeBooking(op, dry, done) })
	select {
	case a := <-done:
		switch {
		case a.leader != "":
			x.elsewhere(w, r, a.leader)
		case a.err != nil:
			refuse(w, a.err)
		default:
			reply(w, http.StatusOK, operator.Booked{Version: bookVersion(a.version), Could: a.could, Kept: a.kept, ID: a.id})
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
		var list operator.Days
		err = json.Unmarshal(body, &list)
		all = list.Bookings
	}
	for i := range all {
		all[i] = all[i].Whole()
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
func (x *Exchange) proposeBooking(op reservation.Op, dry bool, done chan booked) {
	if !x.leads() {
		if leader := x.leader(); leader != "" && leader != x.set.IP {
			done <- booked{leader: leader}
		} else {
			done <- booked{err: apierror.NoLeader.New("nobody leads now")}
		}
		return
	}
	book := x.state.Book
	if op.Now = x.rooms.clock.Now(x.now()); op.Now == 0 {
		op.Now = wall() // before the first pulse
	}
	out := booked{version: book.Version, kept: true}
	if dry {
		op.Base = book.Version
	}
	if !book.Knows(op.Call) || dry {
		if err := book.Judge(op); err != nil {
			done <- booked{err: err}
			return
		}
		if len(op.Puts) > 0 {
			var short bool
			short, out.id, out.could = book.Short(op.Puts, x.carry())
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
	data, err := cbor.Marshal(statemachine.Change{Book: &op})
	if err != nil {
		done <- booked{err: apierror.Malformed.Wrap(err, "booking")}
		return
	}
	index, term, _ := x.member.Propose(data, x.now())
	x.waiters[index] = waiter{term: term, until: x.now() + callLimit, answer: func(_ uint64, err error) {
		out.version, out.err = x.state.Book.Version, err
		done <- out
	}}
}
