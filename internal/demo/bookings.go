package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"mulleinwood/internal/operator"
)

const (
	bookingID     = "day"
	bookedSlots   = 2
	pollInterval  = 50 * time.Millisecond
	controlCallIn = 3 * time.Second // time-out of one call to a controller
)

// bookingCall is a call on bookings and the status that has to answer it.
type bookingCall struct {
	description, method, path, match, body string
	status                                 int
}

// Book reserves slots for the tenant, repeats the call, asks for more than there is, and sees the slots held and then
// released. It prints one line when all of that went as it should.
func (d *Demo) Book(ctx context.Context) error {
	for _, call := range bookingCalls(time.Now()) {
		if err := d.expectBooking(ctx, call); err != nil {
			return err
		}
	}
	if err := d.waitForSlots(ctx, bookedSlots); err != nil {
		return err
	}
	reply, err := d.send(ctx, clientRequest{edge: 1, method: http.MethodPost, path: "/crossings/8", body: "a crossing",
		operationKey: "k-8"})
	if err != nil {
		return fmt.Errorf("in a reservation: %w", err)
	}
	if reply.status != http.StatusOK {
		return fmt.Errorf("in a reservation: %d %s", reply.status, reply.body)
	}
	cancel := bookingCall{"a cancellation", http.MethodDelete, "/bookings/" + bookingID, "b1", "", http.StatusOK}
	if err := d.expectBooking(ctx, cancel); err != nil {
		return err
	}
	if err := d.waitForSlots(ctx, 0); err != nil {
		return err
	}
	_, err = fmt.Fprintln(d.Out, "reserved slots are held, used and released")
	return err
}

// bookingCalls are a booking that is accepted and calls after it that must not be.
func bookingCalls(now time.Time) []bookingCall {
	seconds := float64(now.UnixNano()) / 1e9
	booking := func(slots int) string {
		return fmt.Sprintf(`{"tenant":%q,"service":"ledger","start":%f,"end":%f,"slots":%d,"owner":"operations"}`,
			tenant, seconds+1, seconds+60, slots)
	}
	const put, first, second = http.MethodPut, "/bookings/" + bookingID, "/bookings/night"
	return []bookingCall{
		{"a booking", put, first, "0", booking(bookedSlots), http.StatusOK},
		{"the same call again", put, first, "0", booking(bookedSlots), http.StatusOK},
		{"one more on the old version", put, second, "0", booking(1), http.StatusPreconditionFailed},
		{"more than there is", put, second, "b1", booking(3), http.StatusConflict},
		{"one that can't be read", put, second, "b1", `{"tenant":`, http.StatusBadRequest},
	}
}

func (d *Demo) expectBooking(ctx context.Context, call bookingCall) error {
	status, text, err := d.callBookings(ctx, call)
	if err != nil {
		return fmt.Errorf("%s: %w", call.description, err)
	}
	if status != call.status {
		return fmt.Errorf("%s: status %d, not %d: %s", call.description, status, call.status, text)
	}
	return nil
}

// callBookings makes a call at the first controller that can answer it; the client follows redirects to the leader.
func (d *Demo) callBookings(ctx context.Context, call bookingCall) (status int, text []byte, err error) {
	var failures []error
	for _, address := range d.seeds {
		status, text, err = exchange(ctx, call, address)
		if err == nil && status < http.StatusInternalServerError {
			return status, text, nil
		}
		if err == nil {
			err = fmt.Errorf("%s %s: status %d", call.method, call.path, status)
		}
		failures = append(failures, err)
	}
	return status, nil, errors.Join(failures...)
}

// exchange makes one call and reads the whole response.
func exchange(ctx context.Context, call bookingCall, address string) (status int, text []byte, err error) {
	req, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, bytes.NewReader([]byte(call.body)))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("If-Match", call.match)
	resp, err := (&http.Client{Timeout: controlCallIn}).Do(req)
	if err != nil {
		return 0, nil, err
	}
	text, err = io.ReadAll(resp.Body)
	return resp.StatusCode, text, errors.Join(err, resp.Body.Close())
}

// waitForSlots waits until so many slots are held for the demo's booking.
func (d *Demo) waitForSlots(ctx context.Context, want int) error {
	return d.waitUntil(ctx, fmt.Sprintf("%d slots are held", want), func() error {
		held, err := d.heldSlots(ctx)
		if err == nil && held != want {
			err = fmt.Errorf("%d slots are held", held)
		}
		return err
	})
}

func (d *Demo) heldSlots(ctx context.Context) (int, error) {
	_, text, err := d.callBookings(ctx, bookingCall{method: http.MethodGet, path: "/bookings"})
	if err != nil {
		return 0, err
	}
	var bookings operator.Bookings
	if err := json.Unmarshal(text, &bookings); err != nil {
		return 0, err
	}
	held := 0
	for _, use := range bookings.Usage {
		if use.ID == bookingID {
			held = use.Slots
		}
	}
	return held, nil
}
