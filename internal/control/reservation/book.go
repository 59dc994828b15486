// Package reservation keeps capacity that is booked ahead for a tenant's busy hours. The Book is the lasting part, agreed
// by the controllers like a configuration; a Dealer deals a booking's slots to the edges, by leases; a Gate at each edge lets
// requests in and lends what is idle. All are values fed with events; time is handed in, and the core says what time it is.
package reservation

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"mulleinwood/internal/platform/apierror"
)

// Booking is room for one tenant at one service. Times are seconds on the core's clock.
type Booking struct {
	ID      string  `cbor:"1,keyasint" json:"id"`
	Tenant  string  `cbor:"2,keyasint" json:"tenant"` // host
	Service string  `cbor:"3,keyasint" json:"service"`
	Zone    string  `cbor:"4,keyasint,omitempty" json:"zone,omitempty"` // where the clients come in; none: anywhere
	Start   float64 `cbor:"5,keyasint" json:"start"`
	End     float64 `cbor:"6,keyasint" json:"end"`
	Ramp    float64 `cbor:"7,keyasint,omitempty" json:"ramp_s,omitempty"` // before Start and after End, in which room grows and shrinks
	Slots   float64 `cbor:"8,keyasint" json:"slots"`                      // requests in work; 0: Rate times Work
	Rank    int     `cbor:"9,keyasint,omitempty" json:"rank,omitempty"`   // 0 is kept longest
	Owner   string  `cbor:"10,keyasint" json:"owner"`
	Reason  string  `cbor:"11,keyasint,omitempty" json:"reason,omitempty"`
	Route   string  `cbor:"12,keyasint,omitempty" json:"route,omitempty"`  // none: all of the tenant's to the service
	Rate    float64 `cbor:"13,keyasint,omitempty" json:"rate,omitempty"`   // requests a second, where that is what is known
	Work    float64 `cbor:"14,keyasint,omitempty" json:"work_s,omitempty"` // seconds that one of them takes
}

// WithSlots gives a booking whose reservation is told by its rate the slots that it needs.
func (b Booking) WithSlots() Booking {
	if b.Slots == 0 {
		b.Slots = b.Rate * b.Work
	}
	return b
}

// SlotsAt is how much room a booking holds at a time.
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

func (b *Booking) validate() error {
	switch {
	case b.ID == "" || b.Tenant == "" || b.Service == "" || b.Owner == "":
		return apierror.Invalid.New("a booking needs an id, a tenant, a service and an owner")
	case strings.HasPrefix(b.ID, othersPrefix) || len(b.ID) > maxIDLength:
		return apierror.Invalid.New("booking %.20q: an id does not begin with %s and has %d bytes at most", b.ID, othersPrefix, maxIDLength)
	case !(b.End > b.Start) || math.IsInf(b.End, 0) || !(b.Ramp >= 0) || math.IsInf(b.Ramp, 0):
		return apierror.Invalid.New("booking %s: its end is not after its start, or its ramp is no time", b.ID)
	case !(b.Slots > 0) || math.IsInf(b.Slots, 0):
		return apierror.Invalid.New("booking %s: slots is not above 0", b.ID)
	}
	return nil
}

// Op is one change of the book, as the core's history holds it. The same Call again changes nothing.
type Op struct {
	Call   string    `cbor:"1,keyasint"`
	Base   uint64    `cbor:"2,keyasint"`           // version of the book that it was read at
	Puts   []Booking `cbor:"3,keyasint,omitempty"` // all of them or none
	Cancel string    `cbor:"4,keyasint,omitempty"`
	Now    float64   `cbor:"5,keyasint"` // as the leader said
}

// How a booking went out of the book.
const (
	Cancelled = "cancelled"
	Expired   = "expired"
)

// PastBooking is a booking that is over.
type PastBooking struct {
	Booking
	EndReason string `cbor:"20,keyasint" json:"how"`
}

const (
	maxRecentCalls = 256
	maxPast        = 1024
	maxBookings    = 4096 // bookings that are not over
	maxIDLength    = 128
)

// Ledger holds all bookings. Every planner that applies the same changes holds the same.
type Ledger struct {
	Version     uint64             `cbor:"1,keyasint"`
	Active      map[string]Booking `cbor:"2,keyasint"`
	Past        []PastBooking      `cbor:"3,keyasint,omitempty"`
	RecentCalls []string           `cbor:"4,keyasint,omitempty"` // taken, oldest first
}

// NewLedger makes an empty book.
func NewLedger() *Ledger { return &Ledger{Active: map[string]Booking{}} }

// Knows tells whether a call was taken lately.
func (k *Ledger) Knows(call string) bool { return slices.Contains(k.RecentCalls, call) }

// Validate says what is wrong with a change: one that is built on another version, or that asks for what can't be.
func (k *Ledger) Validate(op Op) error {
	if op.Base != k.Version {
		return apierror.Stale.New("built on %d, current is %d", op.Base, k.Version)
	}
	added := 0
	for _, b := range op.Puts {
		if err := b.validate(); err != nil {
			return err
		}
		if b.End <= op.Now {
			return apierror.Invalid.New("booking %s is over", b.ID)
		}
		if _, known := k.Active[b.ID]; !known {
			added++
		}
	}
	switch {
	case len(op.Puts) > 0:
	case op.Cancel != "":
		if _, known := k.Active[op.Cancel]; !known {
			return apierror.Invalid.New("there is no booking %s", op.Cancel)
		}
	default:
		return apierror.Invalid.New("nothing to change")
	}
	if added > 0 && len(k.Active)+added > maxBookings {
		return apierror.Invalid.New("there are %d bookings already, %d are allowed", len(k.Active), maxBookings)
	}
	return nil
}

// Apply takes a change, once: the same call again is taken already.
func (k *Ledger) Apply(op Op) error {
	if k.Knows(op.Call) {
		return nil
	}
	if err := k.Validate(op); err != nil {
		return err
	}
	k.expire(op.Now)
	for _, b := range op.Puts {
		k.Active[b.ID] = b
	}
	if b, known := k.Active[op.Cancel]; known {
		k.endBooking(b, Cancelled)
	}
	k.Version++
	k.RecentCalls = append(k.RecentCalls, op.Call)
	k.RecentCalls = k.RecentCalls[max(0, len(k.RecentCalls)-maxRecentCalls):]
	return nil
}

func (k *Ledger) expire(now float64) {
	for _, b := range k.byRank(func(b *Booking) bool { return b.End+b.Ramp <= now }) {
		k.endBooking(b, Expired)
	}
}

func (k *Ledger) endBooking(b Booking, reason string) {
	delete(k.Active, b.ID)
	k.Past = append(k.Past, PastBooking{b, reason})
	k.Past = k.Past[max(0, len(k.Past)-maxPast):]
}

// byRank gives bookings by rank, then by start, then by id: the order in which they are kept when room is short.
func (k *Ledger) byRank(include func(*Booking) bool) (all []Booking) {
	for _, b := range k.Active {
		if include(&b) {
			all = append(all, b)
		}
	}
	slices.SortFunc(all, func(a, b Booking) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// Capacity is what a service's servers have shown they carry at once, by zone.
type Capacity map[string]float64

// AfterZoneLoss is what stays of it for bookings when the worst zone is lost.
func (c Capacity) AfterZoneLoss() float64 {
	total, largest := 0.0, 0.0
	for _, x := range c {
		total, largest = total+x, max(largest, x)
	}
	if len(c) < 2 {
		return total
	}
	return total - largest
}

// AvailableFor is the most that a booking could hold from its start to its end, ramps included, beside those that are there; one
// of the same id counts as replaced.
func (k *Ledger) AvailableFor(x Booking, capacity Capacity) float64 {
	others := k.byRank(func(b *Booking) bool { return b.ID != x.ID && b.Service == x.Service })
	times := []float64{x.Start - x.Ramp, x.Start, x.End, x.End + x.Ramp}
	for _, b := range others {
		times = append(times, b.Start-b.Ramp, b.Start, b.End, b.End+b.Ramp)
	}
	available := math.Inf(1)
	for _, at := range times { // between these all lines are straight
		for _, t := range []float64{at, math.Nextafter(at, math.Inf(-1)), math.Nextafter(at, math.Inf(1))} {
			share := x.SlotsAt(t) / x.Slots
			if share <= 0 {
				continue
			}
			booked := 0.0
			for _, b := range others {
				booked += b.SlotsAt(t)
			}
			available = min(available, (capacity.AfterZoneLoss()-booked)/share)
		}
	}
	return max(0, available)
}

// FirstShortfall finds the first of some bookings that could not be kept beside those before it and all that is there, and how much
// could be of it; without any, it tells that of the last. Of services that carry doesn't name nothing can be kept.
func (k *Ledger) FirstShortfall(puts []Booking, capacity map[string]Capacity) (short bool, id string, available float64) {
	after := Ledger{Active: maps.Clone(k.Active)}
	for _, b := range puts { // first what goes: a booking may make room for another
		delete(after.Active, b.ID)
	}
	for _, b := range puts {
		if available = after.AvailableFor(b, capacity[b.Service]); available < b.Slots {
			return true, b.ID, available
		}
		after.Active[b.ID] = b
	}
	return false, "", available
}

// Shortfalls are the bookings that can't be kept at a time, and how much each of them lacks: who gives way is decided by
// rank.
func (k *Ledger) Shortfalls(service string, capacity Capacity, at float64) map[string]float64 {
	lacking, left := map[string]float64{}, capacity.AfterZoneLoss()
	for _, b := range k.byRank(func(b *Booking) bool { return b.Service == service && b.SlotsAt(at) > 0 }) {
		wants := b.SlotsAt(at)
		kept := max(0, min(wants, left))
		if left -= kept; kept < wants {
			lacking[b.ID] = wants - kept
		}
	}
	return lacking
}

// leadTime is how long before its time a booking's slots are held: parts are dealt by then, and a core that is lost just before
// changes nothing.
const leadTime = 5.0

// ReservationsAt are those that are held at a time, with one of all others at each service that has any. What can't be kept of a
// booking is not dealt.
func (k *Ledger) ReservationsAt(capacity map[string]Capacity, at float64) (reservations []Reservation) {
	reserved := map[string]float64{}
	for _, b := range k.byRank(func(b *Booking) bool { return b.wholeSlotsAt(at) > 0 || b.wholeSlotsAt(at+leadTime) > 0 }) {
		total := 0.0
		for _, x := range capacity[b.Service] {
			total += x
		}
		slots := math.Floor(max(0, min(max(b.wholeSlotsAt(at), b.wholeSlotsAt(at+leadTime)), total-reserved[b.Service])))
		reserved[b.Service] += slots
		reservations = append(reservations, Reservation{ID: b.ID, Tenant: b.Tenant, Service: b.Service, Route: b.Route, Zone: b.Zone, Slots: int(slots)})
	}
	for _, service := range slices.Sorted(maps.Keys(reserved)) {
		total := 0.0
		for _, x := range capacity[service] {
			total += x
		}
		reservations = append(reservations, Reservation{ID: OthersID(service), Service: service, Slots: int(max(0, total-reserved[service]))})
	}
	return reservations
}

// wholeSlotsAt is Wants in whole slots, at least one while there is any.
func (b *Booking) wholeSlotsAt(at float64) float64 { return math.Ceil(b.SlotsAt(at)) }
