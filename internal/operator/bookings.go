package operator

import "mulleinwood/internal/control/reservation"

// Bookings is the book as a controller tells it. Times are seconds of the core's time of day.
type Bookings struct {
	Version  string                    `json:"version"`
	Now      float64                   `json:"now"`
	Bookings []reservation.Booking     `json:"bookings"`
	Past     []reservation.PastBooking `json:"past"`
	Lacks    map[string]float64        `json:"lacks"` // slots that bookings of now lack, by id
	Use      []Use                     `json:"use"`
}

// Use is a reservation that is held now and how much of it is wanted, in work or waiting.
type Use struct {
	reservation.Reservation
	Wanted int `json:"wanted"`
}

// Booked answers a change: the book's new version, and the slots that could be kept.
type Booked struct {
	Version string  `json:"version"`
	Could   float64 `json:"could,omitempty"`
	Kept    bool    `json:"kept"`
	ID      string  `json:"id,omitempty"` // of the booking that could not be kept
}

// Days is a list of bookings that are taken together or not at all.
type Days struct {
	Bookings []reservation.Booking `json:"bookings"`
}
