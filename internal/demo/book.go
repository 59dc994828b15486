package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// booking calls a controller on booked slots, and another one while it can't answer; a client follows to the leader.
func (d *Demo) booking(method, path, match, body string) (status int, said map[string]any, err error) {
	for _, at := range d.seeds {
		var req *http.Request
		if req, err = http.NewRequest(method, "http://"+at+path, bytes.NewReader([]byte(body))); err != nil {
			return 0, nil, err
		}
		req.Header.Set("If-Match", match)
		var resp *http.Response
		if resp, err = (&http.Client{Timeout: 3 * time.Second}).Do(req); err != nil {
			continue
		}
		text, readErr := io.ReadAll(resp.Body)
		resp.Body.Close()
		if status = resp.StatusCode; readErr == nil && status < 500 {
			return status, said, json.Unmarshal(text, &said)
		}
		err = fmt.Errorf("%s %s: %s", method, path, resp.Status)
	}
	return status, nil, err
}

// Book reserves slots for the tenant, repeats the call, asks for more than there is, and sees the slots held and then gone.
func (d *Demo) Book() error {
	now := float64(time.Now().UnixNano()) / 1e9
	room := func(slots int) string {
		return fmt.Sprintf(`{"tenant":"toll.example","service":"ledger","start":%f,"end":%f,"slots":%d,"owner":"the desk"}`,
			now+1, now+60, slots)
	}
	for _, call := range []struct {
		what, method, path, match, body string
		status                          int
	}{
		{"a booking", "PUT", "/bookings/day", "0", room(2), http.StatusOK},
		{"the same call again", "PUT", "/bookings/day", "0", room(2), http.StatusOK},
		{"one more on the old version", "PUT", "/bookings/night", "0", room(1), http.StatusPreconditionFailed},
		{"more than there is", "PUT", "/bookings/night", "b1", room(3), http.StatusConflict},
		{"one that can't be read", "PUT", "/bookings/night", "b1", `{"tenant":`, http.StatusBadRequest},
	} {
		status, said, err := d.booking(call.method, call.path, call.match, call.body)
		if err != nil || status != call.status {
			return fmt.Errorf("%s: %d %v %w", call.what, status, said, err)
		}
	}
	if err := d.held(2); err != nil {
		return err
	}
	if status, text, err := d.Ask(1, "POST", "/crossings/8", "a crossing", "X-Operation-Key", "k-8"); err != nil ||
		status != http.StatusOK {
		return fmt.Errorf("in booked room: %d %s %w", status, text, err)
	}
	if status, said, err := d.booking("DELETE", "/bookings/day", "b1", ""); err != nil || status != http.StatusOK {
		return fmt.Errorf("cancel: %d %v %w", status, said, err)
	}
	if err := d.held(0); err != nil {
		return err
	}
	fmt.Fprintln(d.Out, "booked room is held, used and given back")
	return nil
}

// held waits until so many slots are held for the demo's booking.
func (d *Demo) held(slots int) error {
	for end := time.Now().Add(calm); ; time.Sleep(50 * time.Millisecond) {
		_, said, err := d.booking("GET", "/bookings", "", "")
		held := 0
		if use, ok := said["use"].([]any); ok {
			for _, one := range use {
				if room, ok := one.(map[string]any); ok && room["id"] == "day" {
					if n, ok := room["slots"].(float64); ok {
						held = int(n)
					}
				}
			}
		}
		if err == nil && held == slots {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d slots are held, not %d: %v %w", held, slots, said, err)
		}
	}
}
