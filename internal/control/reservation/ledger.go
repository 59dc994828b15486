package reservation

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"mulleinwood/internal/platform/apierror"
)

// Booking reserves capacity at one service for one tenant. Times are seconds since 1970 on the controllers' Clock.
type Booking struct {
	ID      string  `cbor:"1,keyasint" json:"id"`
	Tenant  string  `cbor:"2,keyasint" json:"tenant"` // host name
	Service string  `cbor:"3,keyasint" json:"service"`
	Zone    string  `cbor:"4,keyasint,omitempty" json:"zone,omitempty"` // of the edges that the clients connect to; empty: any
	Start   float64 `cbor:"5,keyasint" json:"start"`
	End     float64 `cbor:"6,keyasint" json:"end"`
	// Ramp is the length, in seconds, of the linear increase of slots before Start and of the linear decrease after End.
	Ramp   float64 `cbor:"7,keyasint,omitempty" json:"ramp_s,omitempty"`
	Slots  float64 `cbor:"8,keyasint" json:"slots"`                    // concurrent requests; 0: Rate times Work
	Rank   int     `cbor:"9,keyasint,omitempty" json:"rank,omitempty"` // 0 is the highest priority
	Owner  string  `cbor:"10,keyasint" json:"owner"`
	Reason string  `cbor:"11,keyasint,omitempty" json:"reason,omitempty"`
	Route  string  `cbor:"12,keyasint,omitempty" json:"route,omitempty"`  // empty: all the tenant's routes to the service
	Rate   float64 `cbor:"13,keyasint,omitempty" json:"rate,omitempty"`   // requests per second, an alternative to Slots
	Work   float64 `cbor:"14,keyasint,omitempty" json:"work_s,omitempty"` // seconds per request
}

// WithSlots returns the booking with Slots computed from Rate and Work if Slots is 0.
func (b Booking) WithSlots() Booking {
	if b.Slots == 0 {
		b.Slots = b.Rate * b.Work
	}
	return b
}

// SlotsAt returns the slots that the booking holds at a time.
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

// roundedSlotsAt returns SlotsAt rounded up, so that a booking holds at least one slot while it holds any.
func (b *Booking) roundedSlotsAt(at float64) float64 { return math.Ceil(b.SlotsAt(at)) }

func (b *Booking) validate() error {
	switch {
	case b.ID == "" || b.Tenant == "" || b.Service == "" || b.Owner == "":
		return apierror.Invalid.New("a booking needs an id, a tenant, a service and an owner")
	case strings.HasPrefix(b.ID, unreservedPrefix) || len(b.ID) > maxIDLength:
		return apierror.Invalid.New("booking %.20q: an id does not begin with %s and has %d bytes at most", b.ID,
			unreservedPrefix, maxIDLength)
	case !(b.End > b.Start) || math.IsInf(b.End, 0) || !(b.Ramp >= 0) || math.IsInf(b.Ramp, 0): // the negations also reject NaN
		return apierror.Invalid.New("booking %s: its end is not after its start, or its ramp is no time", b.ID)
	case !(b.Slots > 0) || math.IsInf(b.Slots, 0):
		return apierror.Invalid.New("booking %s: slots is not above 0", b.ID)
	}
	return nil
}

// Op is a change of the ledger as stored in the consensus log: Puts, or else Cancel.
type Op struct {
	Call   string    `cbor:"1,keyasint"`           // unique id of the operator's call, which makes retries idempotent
	Base   uint64    `cbor:"2,keyasint"`           // version of the ledger that the change is based on
	Puts   []Booking `cbor:"3,keyasint,omitempty"` // bookings to add or replace, all or none
	Cancel string    `cbor:"4,keyasint,omitempty"` // id of the booking to cancel; set if Puts is empty
	Now    float64   `cbor:"5,keyasint"`           // time when the leader proposed the change, on its Clock
}

// The values of PastBooking.EndReason: the booking was cancelled by an operator, or its time is over.
const (
	Cancelled = "cancelled"
	Expired   = "expired"
)

// PastBooking is a booking that has ended.
type PastBooking struct {
	Booking
	EndReason string `cbor:"20,keyasint" json:"how"` // Cancelled or Expired
}

const (
	maxRecentCalls = 256  // call ids kept for detecting retries
	maxPast        = 1024 // past bookings kept
	maxBookings    = 4096 // active bookings
	maxIDLength    = 128  // bytes
)

// Ledger holds all bookings. It is deterministic: controllers that apply the same changes in the same order hold equal
// ledgers.
type Ledger struct {
	Version     uint64             `cbor:"1,keyasint"`
	Active      map[string]Booking `cbor:"2,keyasint"`           // bookings that have not ended, by id
	Past        []PastBooking      `cbor:"3,keyasint,omitempty"` // the most recent ones, oldest first
	RecentCalls []string           `cbor:"4,keyasint,omitempty"` // ids of the last calls applied, oldest first
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{Active: map[string]Booking{}} }

// HasApplied reports whether the call is among the last ones applied.
func (l *Ledger) HasApplied(call string) bool { return slices.Contains(l.RecentCalls, call) }

// Validate returns an error if a change is based on another version of the ledger, or is invalid. It doesn't check capacity.
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

// Apply applies a change. It is idempotent: a call that was applied recently is ignored and returns nil. A change that fails
// Validate leaves the ledger as it is.
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

// expire moves the bookings to Past whose End and Ramp are over.
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

// byRank returns bookings ordered by rank, then start, then id: when capacity is short, earlier ones keep their slots first.
func (l *Ledger) byRank(include func(*Booking) bool) (bookings []Booking) {
	for _, b := range l.Active {
		if include(&b) {
			bookings = append(bookings, b)
		}
	}
	slices.SortFunc(bookings, func(a, b Booking) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	return bookings
}

// Capacity is the number of concurrent requests that a service's servers can process, by zone.
type Capacity map[string]float64

// total returns the capacity of all zones.
func (c Capacity) total() (sum float64) {
	for _, slots := range c {
		sum += slots
	}
	return sum
}

// AfterZoneLoss returns the capacity that remains if the zone with the largest capacity fails. With a single zone, it returns
// all capacity.
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

// AvailableFor returns the largest number of slots that a booking could hold from its start to its end, ramps included, in
// addition to the other active bookings of its service. An active booking with the same id counts as replaced.
func (l *Ledger) AvailableFor(requested Booking, capacity Capacity) float64 {
	others := l.byRank(func(b *Booking) bool { return b.ID != requested.ID && b.Service == requested.Service })
	breakpoints := requested.breakpoints()
	for _, b := range others {
		breakpoints = append(breakpoints, b.breakpoints()...)
	}
	available := math.Inf(1)
	for _, point := range breakpoints { // the slots of all bookings are linear between these
		for _, at := range []float64{point, math.Nextafter(point, math.Inf(-1)), math.Nextafter(point, math.Inf(1))} {
			share := requested.SlotsAt(at) / requested.Slots
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

// breakpoints returns the times at which the slope of the booking's slots changes.
func (b *Booking) breakpoints() []float64 {
	return []float64{b.Start - b.Ramp, b.Start, b.End, b.End + b.Ramp}
}

// FirstShortfall returns the first booking of puts that doesn't fit in addition to those before it and to the active
// bookings, and the slots available for it. If all fit, short is false, id is empty and available is that of the last one.
// Services missing from capacities have none.
func (l *Ledger) FirstShortfall(puts []Booking, capacities map[string]Capacity) (short bool, id string, available float64) {
	projected := Ledger{Active: maps.Clone(l.Active)}
	for _, b := range puts { // replaced bookings are removed first, since that may free slots for the others
		delete(projected.Active, b.ID)
	}
	for _, b := range puts {
		if available = projected.AvailableFor(b, capacities[b.Service]); available < b.Slots {
			return true, b.ID, available
		}
		projected.Active[b.ID] = b
	}
	return false, "", available
}

// Shortfalls returns the slots that bookings of a service lack at a time, by id. Bookings get their slots in the order of
// rank; those that lack none are left out.
func (l *Ledger) Shortfalls(service string, capacity Capacity, at float64) map[string]float64 {
	shortfalls, remaining := map[string]float64{}, capacity.AfterZoneLoss()
	for _, b := range l.byRank(func(b *Booking) bool { return b.Service == service && b.SlotsAt(at) > 0 }) {
		requested := b.SlotsAt(at)
		granted := max(0, min(requested, remaining))
		if remaining -= granted; granted < requested {
			shortfalls[b.ID] = requested - granted
		}
	}
	return shortfalls
}

// leadTime is how many seconds in advance a booking's slots are reserved, so that they are allocated when they are needed
// even if controllers fail just before.
const leadTime = 5.0

// ReservationsAt returns the active reservations at a time: those of bookings by rank, then one per service for its
// unreserved capacity. Slots of a booking that exceed the remaining capacity are not reserved.
func (l *Ledger) ReservationsAt(capacities map[string]Capacity, at float64) (reservations []Reservation) {
	reserved := map[string]float64{}
	slotsDue := func(b *Booking) float64 { return max(b.roundedSlotsAt(at), b.roundedSlotsAt(at+leadTime)) }
	for _, b := range l.byRank(func(b *Booking) bool { return slotsDue(b) > 0 }) {
		remaining := capacities[b.Service].total() - reserved[b.Service]
		slots := math.Floor(max(0, min(slotsDue(&b), remaining)))
		reserved[b.Service] += slots
		reservations = append(reservations, Reservation{ID: b.ID, Tenant: b.Tenant, Service: b.Service, Route: b.Route,
			Zone:  b.Zone,
			Slots: int(slots)})
	}
	for _, service := range slices.Sorted(maps.Keys(reserved)) {
		free := capacities[service].total() - reserved[service]
		reservations = append(reservations, Reservation{ID: UnreservedID(service), Service: service, Slots: int(max(0, free))})
	}
	return reservations
}
