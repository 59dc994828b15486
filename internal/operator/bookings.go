package operator

import "mulleinwood/internal/control/reservation"

// Bookings is the ledger as a controller shows it. Times are seconds of the core's time of day.
type Bookings struct {
	Version    string                    `json:"version"`
	Now        float64                   `json:"now"`
	Bookings   []reservation.Booking     `json:"bookings"`
	Past       []reservation.PastBooking `json:"past"`
	Shortfalls map[string]float64        `json:"lacks"` // slots that bookings of now lack, by id
	Usage      []ReservationUse          `json:"use"`
}

// ReservationUse is a reservation that is held now and how much of it is wanted, in work or waiting.
type ReservationUse struct {
	reservation.Reservation
	Wanted int `json:"wanted"`
}

// BookingResult answers a change: the ledger's new version, and the slots that could be kept.
type BookingResult struct {
	Version   string  `json:"version"`
	Available float64 `json:"could,omitempty"`
	Accepted  bool    `json:"kept"`
	ID        string  `json:"id,omitempty"` // of the booking that could not be kept
}

// BookingList is a list of bookings that are taken together or not at all.
type BookingList struct {
	Bookings []reservation.Booking `json:"bookings"`
}
