package controller

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/node"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/peer"
)

const (
	allocateInterval = 250 * time.Millisecond
	// announceInterval is how often active reservations are announced again, for controllers that missed an announcement.
	announceInterval = time.Second
)

// reservationService distributes booked slots to the edges. The leader announces the active reservations and allocates
// them; the other controllers forward demands and leases between the leader and their edges. Without bookings it does
// nothing.
type reservationService struct {
	*node.Env
	links     *linkTable
	consensus *consensusRuntime
	registry  *registry.Registry

	clock        *reservation.Clock
	allocator    *reservation.Allocator // for the last term in which this controller led
	proof        leaderProof
	nextAllocate time.Duration
	nextAnnounce time.Duration
	announced    *peer.Reservations // last announcement sent or received; nil if none
	announcer    string             // IP of the controller that sent it
	controllerOf map[string]string  // IP of each edge's controller, by IP of the edge
}

// leaderProof tracks the proof that this controller still leads: a read index that a majority has confirmed.
type leaderProof struct {
	readIndex   uint64
	requestedAt time.Duration
	provenAt    time.Duration // when the last confirmed read index was requested; 0: none confirmed
}

func newReservationService(env *node.Env, links *linkTable, c *consensusRuntime, servers *registry.Registry) *reservationService {
	return &reservationService{Env: env, links: links, consensus: c, registry: servers, clock: reservation.NewClock()}
}

// capacities returns the total slots of the servers that accept requests, by service and zone.
func (s *reservationService) capacities() map[string]reservation.Capacity {
	byService := map[string]reservation.Capacity{}
	for _, e := range s.registry.All(s.Now()) {
		if e.State != registry.Ready || e.TimedOut {
			continue
		}
		if byService[e.Service] == nil {
			byService[e.Service] = reservation.Capacity{}
		}
		byService[e.Service][e.Zone] += float64(e.Capacity)
	}
	return byService
}

// bookedCapacities returns capacities, with an empty one for each booked service that has no servers.
func (s *reservationService) bookedCapacities() map[string]reservation.Capacity {
	byService := s.capacities()
	for _, b := range s.ledger().Active {
		if byService[b.Service] == nil {
			byService[b.Service] = reservation.Capacity{}
		}
	}
	return byService
}

func (s *reservationService) ledger() *reservation.Ledger { return s.consensus.state.Bookings }

// allocate announces and allocates the reservations while this controller has recent proof that it leads.
func (s *reservationService) allocate(now time.Duration) {
	if now < s.nextAllocate || !s.consensus.leads() || s.ledger().Version == 0 {
		return
	}
	s.nextAllocate = now + allocateInterval
	if term := s.consensus.replica.Term(); s.allocator == nil || s.allocator.Term() != term {
		s.allocator = reservation.NewAllocator(term, now)
		s.proof, s.nextAnnounce, s.controllerOf = leaderProof{}, 0, map[string]string{}
	}
	if !s.proveLeadership(now) {
		return
	}
	list := s.ledger().ReservationsAt(s.capacities(), s.clock.Now(now))
	s.announce(list, now)
	if len(list) == 0 {
		return
	}
	s.allocator.SetReservations(list, now)
	s.sendLeases(s.allocator.Allocate(now))
}

// proveLeadership requests the next proof of leadership and reports whether the last one is recent enough.
func (s *reservationService) proveLeadership(now time.Duration) bool {
	replica := s.consensus.replica
	if s.proof.readIndex > 0 && replica.ReadConfirmed(s.proof.readIndex) {
		s.proof.provenAt = s.proof.requestedAt
	}
	s.proof.readIndex, s.proof.requestedAt = replica.ReadIndex(now), now
	return s.proof.provenAt != 0 && now-s.proof.provenAt <= reservation.LeaderProofTTL
}

// announce sends the active reservations to the controllers after a change and periodically, and to this controller's edges
// after a change.
func (s *reservationService) announce(list []reservation.Reservation, now time.Duration) {
	term := s.allocator.Term()
	changed := s.announced == nil || s.announced.Term != term || !slices.Equal(s.announced.List, list)
	if changed || len(list) > 0 && now >= s.nextAnnounce {
		s.nextAnnounce = now + announceInterval
		s.announced, s.announcer = &peer.Reservations{Term: term, List: list}, s.Settings.IP
		s.links.sendToControllers(s.announced)
	}
	if changed {
		s.LogEvent("reservations changed", "count", len(list), "term", s.announced.Term)
		s.links.sendToEdges(s.announced)
	}
}

// announceTo sends the announcement to a process that joins. A leader also announces an empty list, since the other
// controller may have missed the end of a reservation.
func (s *reservationService) announceTo(p *remote) {
	if s.announced == nil {
		return
	}
	if p.edge || s.consensus.leads() && s.announced.Term == s.consensus.replica.Term() {
		p.link.Send(s.announced)
	}
}

// sendLeases sends leases to the edges through their controllers.
func (s *reservationService) sendLeases(byEdge map[string]reservation.Lease) {
	byController := map[string]peer.Leases{}
	for edge, lease := range byEdge {
		owner := s.controllerOf[edge]
		byController[owner] = append(byController[owner], peer.EdgeLease{Edge: edge, Lease: lease})
	}
	for owner, leases := range byController {
		slices.SortFunc(leases, func(a, b peer.EdgeLease) int { return cmp.Compare(a.Edge, b.Edge) })
		if owner == s.Settings.IP {
			s.forwardLeases(leases)
		} else if p := s.links.controllers[owner]; p != nil {
			p.link.Send(leases)
		}
	}
}

// forwardLeases sends leases to this controller's edges.
func (s *reservationService) forwardLeases(leases peer.Leases) {
	for _, l := range leases {
		if e := s.links.edges[l.Edge]; e != nil {
			e.link.Send(peer.Leases{l})
		}
	}
}

func (s *reservationService) handleMessage(p *remote, m peer.Message) {
	switch m := m.(type) {
	case *peer.Reservations:
		if !p.edge {
			s.handleReservations(p, m)
		}
	case peer.Demands:
		s.handleDemands(p, m)
	case peer.Leases:
		if !p.edge {
			s.forwardLeases(m)
		}
	}
}

// handleReservations adopts an announcement of the leader, unless it is from an older term.
func (s *reservationService) handleReservations(p *remote, m *peer.Reservations) {
	last := s.announced
	if last != nil && m.Term < last.Term {
		return
	}
	same := last != nil && m.Term == last.Term && slices.Equal(m.List, last.List)
	s.announced, s.announcer = m, p.ip
	if !same {
		s.links.sendToEdges(s.announced)
	}
}

// handleDemands passes edges' demands to the controller that announced the reservations, which allocates them.
func (s *reservationService) handleDemands(p *remote, demands peer.Demands) {
	if p.edge {
		demands[0].Edge = p.ip
		demands = demands[:1]
	}
	if s.announcer != s.Settings.IP {
		if allocator := s.links.controllers[s.announcer]; p.edge && allocator != nil {
			allocator.link.Send(demands)
		}
		return
	}
	owner := p.ip
	if p.edge {
		owner = s.Settings.IP
	}
	for _, d := range demands {
		s.controllerOf[d.Edge] = owner
		s.allocator.HandleDemand(d.Edge, d.Demand, s.Now())
	}
}

// operatorView returns the ledger in JSON, as reported to operators.
func (s *reservationService) operatorView() ([]byte, error) {
	now := s.Now()
	ledger := s.ledger()
	view := operator.Bookings{Version: ledgerVersion(ledger.Version), Now: s.clock.Now(now), Past: ledger.Past,
		Shortfalls: map[string]float64{}, Usage: []operator.ReservationUse{}}
	for _, b := range ledger.Active {
		view.Bookings = append(view.Bookings, b)
	}
	slices.SortFunc(view.Bookings, func(a, b reservation.Booking) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	for service, capacity := range s.bookedCapacities() {
		for id, lacking := range ledger.Shortfalls(service, capacity, view.Now) {
			view.Shortfalls[id] = lacking
		}
	}
	if s.announced != nil && s.allocator != nil {
		wanted := s.allocator.TotalRequested(now)
		for _, r := range s.announced.List {
			view.Usage = append(view.Usage, operator.ReservationUse{Reservation: r, Wanted: wanted[r.ID]})
		}
	}
	return json.Marshal(view)
}

// shortfalls returns one line for each booking that exceeds the current capacity. It returns nil if this controller doesn't
// lead.
func (s *reservationService) shortfalls() (lines []string) {
	if !s.consensus.leads() || len(s.ledger().Active) == 0 {
		return nil
	}
	for service, capacity := range s.bookedCapacities() {
		for id, lacking := range s.ledger().Shortfalls(service, capacity, s.clock.Now(s.Now())) {
			lines = append(lines, fmt.Sprintf("booking %s lacks %.1f slots of %s", id, lacking, service))
		}
	}
	slices.Sort(lines)
	return lines
}

// ledgerVersion formats a version of the ledger as b and a number.
func ledgerVersion(n uint64) string { return fmt.Sprint("b", n) }
