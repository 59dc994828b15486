package reservation

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"mulleinwood/internal/platform/apierror"
)

// Booking is capacity for one tenant at one service. Times are seconds since 1970 on the controllers' Clock.
type Booking struct {
	ID      string  `cbor:"1,keyasint" json:"id"`
	Tenant  string  `cbor:"2,keyasint" json:"tenant"` // host
	Service string  `cbor:"3,keyasint" json:"service"`
	Zone    string  `cbor:"4,keyasint,omitempty" json:"zone,omitempty"` // where the clients come in; empty: anywhere
	Start   float64 `cbor:"5,keyasint" json:"start"`
	End     float64 `cbor:"6,keyasint" json:"end"`
	// Ramp is how many seconds before Start the slots begin to grow, and after End they go on shrinking.
	Ramp   float64 `cbor:"7,keyasint,omitempty" json:"ramp_s,omitempty"`
	Slots  float64 `cbor:"8,keyasint" json:"slots"`                    // requests at once; 0: Rate times Work
	Rank   int     `cbor:"9,keyasint,omitempty" json:"rank,omitempty"` // 0 is kept longest
	Owner  string  `cbor:"10,keyasint" json:"owner"`
	Reason string  `cbor:"11,keyasint,omitempty" json:"reason,omitempty"`
	Route  string  `cbor:"12,keyasint,omitempty" json:"route,omitempty"`  // empty: all of the tenant's to the service
	Rate   float64 `cbor:"13,keyasint,omitempty" json:"rate,omitempty"`   // requests a second, where that is what is known
	Work   float64 `cbor:"14,keyasint,omitempty" json:"work_s,omitempty"` // seconds that one of them takes
}

// WithSlots gives a booking that says its rate and work the slots that it needs.
func (b Booking) WithSlots() Booking {
	if b.Slots == 0 {
		b.Slots = b.Rate * b.Work
	}
	return b
}

// SlotsAt is how many slots the booking holds at a time.
func (b *Booking) SlotsAt(at float64) float64 {
	switch {
	case at >= b.Start && at < b.End:
		return b.Slots
	case at < b.Start && at > b.Start-b.Ramp:
		return b.Slots * (at - b.Start + b.Ramp) / b.Ramp
	case at >= b.End && at < b.End+b.Ramp:
		return b.Slots * (b.End + b.Ramp - at) / b.Ramp
	}
	return 0
}

// roundedSlotsAt is SlotsAt in whole slots, at least one while there is any.
func (b *Booking) roundedSlotsAt(at float64) float64 { return math.Ceil(b.SlotsAt(at)) }

func (b *Booking) validate() error {
	switch {
	case b.ID == "" || b.Tenant == "" || b.Service == "" || b.Owner == "":
		return apierror.Invalid.New("a booking needs an id, a tenant, a service and an owner")
	case strings.HasPrefix(b.ID, othersPrefix) || len(b.ID) > maxIDLength:
		return apierror.Invalid.New("booking %.20q: an id does not begin with %s and has %d bytes at most", b.ID,
			othersPrefix, maxIDLength)
	case !(b.End > b.Start) || math.IsInf(b.End, 0) || !(b.Ramp >= 0) || math.IsInf(b.Ramp, 0): // not a number fails, too
		return apierror.Invalid.New("booking %s: its end is not after its start, or its ramp is no time", b.ID)
	case !(b.Slots > 0) || math.IsInf(b.Slots, 0):
		return apierror.Invalid.New("booking %s: slots is not above 0", b.ID)
	}
	return nil
}

// Op is one change of the ledger, as the consensus log holds it.
type Op struct {
	Call   string    `cbor:"1,keyasint"`           // names the operator's call: the same one again changes nothing
	Base   uint64    `cbor:"2,keyasint"`           // version of the ledger that it is built on
	Puts   []Booking `cbor:"3,keyasint,omitempty"` // all of them or none
	Cancel string    `cbor:"4,keyasint,omitempty"` // id of a booking, where there are no Puts
	Now    float64   `cbor:"5,keyasint"`           // as the leader said
}

// How a booking went out of the ledger.
const (
	Cancelled = "cancelled"
	Expired   = "expired"
)

// PastBooking is a booking that is over.
type PastBooking struct {
	Booking
	EndReason string `cbor:"20,keyasint" json:"how"` // Cancelled or Expired
}

const (
	maxRecentCalls = 256
	maxPast        = 1024
	maxBookings    = 4096 // that are not over
	maxIDLength    = 128  // bytes
)

// Ledger holds all bookings. Every controller that applies the same changes holds the same.
type Ledger struct {
	Version     uint64             `cbor:"1,keyasint"`
	Active      map[string]Booking `cbor:"2,keyasint"`           // those that are not over, by id
	Past        []PastBooking      `cbor:"3,keyasint,omitempty"` // the last ones, oldest first
	RecentCalls []string           `cbor:"4,keyasint,omitempty"` // that were applied, oldest first
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{Active: map[string]Booking{}} }

// HasApplied reports whether a call was applied lately.
func (l *Ledger) HasApplied(call string) bool { return slices.Contains(l.RecentCalls, call) }

// Validate says what is wrong with a change: it is built on another version, or asks for what can't be.
func (l *Ledger) Validate(op Op) error {
	if op.Base != l.Version {
		return apierror.Stale.New("built on %d, current is %d", op.Base, l.Version)
	}
	if len(op.Puts) == 0 {
		return l.validateCancel(op.Cancel)
	}
	added := 0
	for _, b := range op.Puts {
		if err := b.validate(); err != nil {
			return err
		}
		if b.End <= op.Now {
			return apierror.Invalid.New("booking %s is over", b.ID)
		}
		if _, known := l.Active[b.ID]; !known {
			added++
		}
	}
	if added > 0 && len(l.Active)+added > maxBookings {
		return apierror.Invalid.New("there are %d bookings already, %d are allowed", len(l.Active), maxBookings)
	}
	return nil
}

func (l *Ledger) validateCancel(id string) error {
	if id == "" {
		return apierror.Invalid.New("nothing to change")
	}
	if _, known := l.Active[id]; !known {
		return apierror.Invalid.New("there is no booking %s", id)
	}
	return nil
}

// Apply makes a change, once: the same call again changes nothing.
func (l *Ledger) Apply(op Op) error {
	if l.HasApplied(op.Call) {
		return nil
	}
	if err := l.Validate(op); err != nil {
		return err
	}
	l.expire(op.Now)
	for _, b := range op.Puts {
		l.Active[b.ID] = b
	}
	if b, known := l.Active[op.Cancel]; known {
		l.endBooking(b, Cancelled)
	}
	l.Version++
	l.RecentCalls = append(l.RecentCalls, op.Call)
	l.RecentCalls = l.RecentCalls[max(0, len(l.RecentCalls)-maxRecentCalls):]
	return nil
}

func (l *Ledger) expire(now float64) {
	for _, b := range l.byRank(func(b *Booking) bool { return b.End+b.Ramp <= now }) {
		l.endBooking(b, Expired)
	}
}

func (l *Ledger) endBooking(b Booking, reason string) {
	delete(l.Active, b.ID)
	l.Past = append(l.Past, PastBooking{b, reason})
	l.Past = l.Past[max(0, len(l.Past)-maxPast):]
}

// byRank lists bookings by rank, then by start, then by id: the order in which they are kept when capacity is short.
func (l *Ledger) byRank(include func(*Booking) bool) (all []Booking) {
	for _, b := range l.Active {
		if include(&b) {
			all = append(all, b)
		}
	}
	slices.SortFunc(all, func(a, b Booking) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// Capacity is how many requests a service's servers work on at once, by zone.
type Capacity map[string]float64

// total is that of all zones.
func (c Capacity) total() (all float64) {
	for _, slots := range c {
		all += slots
	}
	return all
}

// AfterZoneLoss is what remains when the largest zone is lost; that of a single zone is all of it.
func (c Capacity) AfterZoneLoss() float64 {
	if len(c) < 2 {
		return c.total()
	}
	largest := 0.0
	for _, slots := range c {
		largest = max(largest, slots)
	}
	return c.total() - largest
}

// AvailableFor is the most slots that a booking could hold from its start to its end, ramps included, beside those that are
// there. One of the same id counts as replaced.
func (l *Ledger) AvailableFor(wanted Booking, capacity Capacity) float64 {
	others := l.byRank(func(b *Booking) bool { return b.ID != wanted.ID && b.Service == wanted.Service })
	corners := wanted.corners()
	for _, b := range others {
		corners = append(corners, b.corners()...)
	}
	available := math.Inf(1)
	for _, corner := range corners { // the slots of all are linear between these
		for _, at := range []float64{corner, math.Nextafter(corner, math.Inf(-1)), math.Nextafter(corner, math.Inf(1))} {
			share := wanted.SlotsAt(at) / wanted.Slots
			if share <= 0 {
				continue
			}
			booked := 0.0
			for _, b := range others {
				booked += b.SlotsAt(at)
			}
			available = min(available, (capacity.AfterZoneLoss()-booked)/share)
		}
	}
	return max(0, available)
}

// corners are the times at which the course of the booking's slots changes.
func (b *Booking) corners() []float64 {
	return []float64{b.Start - b.Ramp, b.Start, b.End, b.End + b.Ramp}
}

// FirstShortfall finds the first of some bookings that could not be kept beside those before it and all that are there, and
// how many slots of it could be; if all can be kept it tells that of the last. Services that capacities doesn't name have
// none.
func (l *Ledger) FirstShortfall(puts []Booking, capacities map[string]Capacity) (short bool, id string, available float64) {
	after := Ledger{Active: maps.Clone(l.Active)}
	for _, b := range puts { // replaced bookings go first: they may make room for another one
		delete(after.Active, b.ID)
	}
	for _, b := range puts {
		if available = after.AvailableFor(b, capacities[b.Service]); available < b.Slots {
			return true, b.ID, available
		}
		after.Active[b.ID] = b
	}
	return false, "", available
}

// Shortfalls are the bookings of a service that can't be kept at a time, by id, and how many slots each of them lacks. Which
// of them lack is decided by rank.
func (l *Ledger) Shortfalls(service string, capacity Capacity, at float64) map[string]float64 {
	lacking, left := map[string]float64{}, capacity.AfterZoneLoss()
	for _, b := range l.byRank(func(b *Booking) bool { return b.Service == service && b.SlotsAt(at) > 0 }) {
		wanted := b.SlotsAt(at)
		kept := max(0, min(wanted, left))
		if left -= kept; kept < wanted {
			lacking[b.ID] = wanted - kept
		}
	}
	return lacking
}

// leadTime is how many seconds before its time a booking's slots are reserved: they are allocated by then, and controllers
// that are lost just before change nothing.
const leadTime = 5.0

// ReservationsAt lists the reservations in force at a time, each service's followed by that of all others there. What can't
// be kept of a booking is not reserved.
func (l *Ledger) ReservationsAt(capacities map[string]Capacity, at float64) (reservations []Reservation) {
	reserved := map[string]float64{}
	due := func(b *Booking) float64 { return max(b.roundedSlotsAt(at), b.roundedSlotsAt(at+leadTime)) }
	for _, b := range l.byRank(func(b *Booking) bool { return due(b) > 0 }) {
		left := capacities[b.Service].total() - reserved[b.Service]
		slots := math.Floor(max(0, min(due(&b), left)))
		reserved[b.Service] += slots
		reservations = append(reservations, Reservation{ID: b.ID, Tenant: b.Tenant, Service: b.Service, Route: b.Route,
			Zone:  b.Zone,
			Slots: int(slots)})
	}
	for _, service := range slices.Sorted(maps.Keys(reserved)) {
		left := capacities[service].total() - reserved[service]
		reservations = append(reservations, Reservation{ID: UnreservedID(service), Service: service, Slots: int(max(0, left))})
	}
	return reservations
}
