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

// Whole gives a booking whose reservation is told by its rate the slots that it needs.
func (b Booking) Whole() Booking {
	if b.Slots == 0 {
		b.Slots = b.Rate * b.Work
	}
	return b
}

// Wants is how much room a booking holds at a time.
func (b *Booking) Wants(at float64) float64 {
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

func (b *Booking) check() error {
	switch {
	case b.ID == "" || b.Tenant == "" || b.Service == "" || b.Owner == "":
		return apierror.Invalid.New("a booking needs an id, a tenant, a service and an owner")
	case strings.HasPrefix(b.ID, restMark) || len(b.ID) > idMost:
		return apierror.Invalid.New("booking %.20q: an id does not begin with %s and has %d bytes at most", b.ID, restMark, idMost)
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

// Past is a booking that is over.
type Past struct {
	Booking
	How string `cbor:"20,keyasint" json:"how"`
}

const (
	callsKept = 256
	pastKept  = 1024
	allMost   = 4096 // bookings that are not over
	idMost    = 128
)

// Book holds all bookings. Every planner that applies the same changes holds the same.
type Book struct {
	Version uint64             `cbor:"1,keyasint"`
	All     map[string]Booking `cbor:"2,keyasint"`
	Gone    []Past             `cbor:"3,keyasint,omitempty"`
	Calls   []string           `cbor:"4,keyasint,omitempty"` // taken, oldest first
}

// NewBook makes an empty book.
func NewBook() *Book { return &Book{All: map[string]Booking{}} }

// Knows tells whether a call was taken lately.
func (k *Book) Knows(call string) bool { return slices.Contains(k.Calls, call) }

// Judge says what is wrong with a change: one that is built on another version, or that asks for what can't be.
func (k *Book) Judge(op Op) error {
	if op.Base != k.Version {
		return apierror.Stale.New("built on %d, current is %d", op.Base, k.Version)
	}
	added := 0
	for _, b := range op.Puts {
		if err := b.check(); err != nil {
			return err
		}
		if b.End <= op.Now {
			return apierror.Invalid.New("booking %s is over", b.ID)
		}
		if _, known := k.All[b.ID]; !known {
			added++
		}
	}
	switch {
	case len(op.Puts) > 0:
	case op.Cancel != "":
		if _, known := k.All[op.Cancel]; !known {
			return apierror.Invalid.New("there is no booking %s", op.Cancel)
		}
	default:
		return apierror.Invalid.New("nothing to change")
	}
	if added > 0 && len(k.All)+added > allMost {
		return apierror.Invalid.New("there are %d bookings already, %d are allowed", len(k.All), allMost)
	}
	return nil
}

// Apply takes a change, once: the same call again is taken already.
func (k *Book) Apply(op Op) error {
	if k.Knows(op.Call) {
		return nil
	}
	if err := k.Judge(op); err != nil {
		return err
	}
	k.expire(op.Now)
	for _, b := range op.Puts {
		k.All[b.ID] = b
	}
	if b, known := k.All[op.Cancel]; known {
		k.gone(b, Cancelled)
	}
	k.Version++
	k.Calls = append(k.Calls, op.Call)
	k.Calls = k.Calls[max(0, len(k.Calls)-callsKept):]
	return nil
}

func (k *Book) expire(now float64) {
	for _, b := range k.list(func(b *Booking) bool { return b.End+b.Ramp <= now }) {
		k.gone(b, Expired)
	}
}

func (k *Book) gone(b Booking, how string) {
	delete(k.All, b.ID)
	k.Gone = append(k.Gone, Past{b, how})
	k.Gone = k.Gone[max(0, len(k.Gone)-pastKept):]
}

// list gives bookings by rank, then by start, then by id: the order in which they are kept when room is short.
func (k *Book) list(of func(*Booking) bool) (all []Booking) {
	for _, b := range k.All {
		if of(&b) {
			all = append(all, b)
		}
	}
	slices.SortFunc(all, func(a, b Booking) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Start, b.Start), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// Carry is what a service's servers have shown they carry at once, by zone.
type Carry map[string]float64

// Least is what stays of it for bookings when the worst zone is lost.
func (c Carry) Least() float64 {
	sum, most := 0.0, 0.0
	for _, x := range c {
		sum, most = sum+x, max(most, x)
	}
	if len(c) < 2 {
		return sum
	}
	return sum - most
}

// Could is the most that a booking could hold from its start to its end, ramps included, beside those that are there; one
// of the same id counts as replaced.
func (k *Book) Could(x Booking, carry Carry) float64 {
	others := k.list(func(b *Booking) bool { return b.ID != x.ID && b.Service == x.Service })
	times := []float64{x.Start - x.Ramp, x.Start, x.End, x.End + x.Ramp}
	for _, b := range others {
		times = append(times, b.Start-b.Ramp, b.Start, b.End, b.End+b.Ramp)
	}
	least := math.Inf(1)
	for _, at := range times { // between these all lines are straight
		for _, t := range []float64{at, math.Nextafter(at, math.Inf(-1)), math.Nextafter(at, math.Inf(1))} {
			share := x.Wants(t) / x.Slots
			if share <= 0 {
				continue
			}
			taken := 0.0
			for _, b := range others {
				taken += b.Wants(t)
			}
			least = min(least, (carry.Least()-taken)/share)
		}
	}
	return max(0, least)
}

// Short finds the first of some bookings that could not be kept beside those before it and all that is there, and how much
// could be of it; without any, it tells that of the last. Of services that carry doesn't name nothing can be kept.
func (k *Book) Short(puts []Booking, carry map[string]Carry) (short bool, id string, could float64) {
	after := Book{All: maps.Clone(k.All)}
	for _, b := range puts { // first what goes: a booking may make room for another
		delete(after.All, b.ID)
	}
	for _, b := range puts {
		if could = after.Could(b, carry[b.Service]); could < b.Slots {
			return true, b.ID, could
		}
		after.All[b.ID] = b
	}
	return false, "", could
}

// Endangered are the bookings that can't be kept at a time, and how much each of them lacks: who gives way is decided by
// rank.
func (k *Book) Endangered(service string, carry Carry, at float64) map[string]float64 {
	short, left := map[string]float64{}, carry.Least()
	for _, b := range k.list(func(b *Booking) bool { return b.Service == service && b.Wants(at) > 0 }) {
		wants := b.Wants(at)
		kept := max(0, min(wants, left))
		if left -= kept; kept < wants {
			short[b.ID] = wants - kept
		}
	}
	return short
}

// ahead is how long before its time a booking's slots are held: parts are dealt by then, and a core that is lost just before
// changes nothing.
const ahead = 5.0

// Reservations are those that are held at a time, with one of all others at each service that has any. What can't be kept of a
// booking is not dealt.
func (k *Book) Reservations(carry map[string]Carry, at float64) (reservations []Reservation) {
	taken := map[string]float64{}
	for _, b := range k.list(func(b *Booking) bool { return b.holds(at) > 0 || b.holds(at+ahead) > 0 }) {
		whole := 0.0
		for _, x := range carry[b.Service] {
			whole += x
		}
		slots := math.Floor(max(0, min(max(b.holds(at), b.holds(at+ahead)), whole-taken[b.Service])))
		taken[b.Service] += slots
		reservations = append(reservations, Reservation{ID: b.ID, Tenant: b.Tenant, Service: b.Service, Route: b.Route, Zone: b.Zone, Slots: int(slots)})
	}
	for _, service := range slices.Sorted(maps.Keys(taken)) {
		whole := 0.0
		for _, x := range carry[service] {
			whole += x
		}
		reservations = append(reservations, Reservation{ID: Rest(service), Service: service, Slots: int(max(0, whole-taken[service]))})
	}
	return reservations
}

// holds is Wants in whole slots, at least one while there is any.
func (b *Booking) holds(at float64) float64 { return math.Ceil(b.Wants(at)) }
