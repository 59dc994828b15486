package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/operator"
	"mulleinwood/internal/platform/apierror"
)

// callDigestBytes is the length of a call ID, a truncated digest. It is long enough that no two calls of a year collide.
const callDigestBytes = 16

// getBookings answers with the ledger of bookings once it is confirmed that this controller still leads.
func (a *controlAPI) getBookings(w http.ResponseWriter, r *http.Request) {
	a.readConfirmed(w, r, a.reservations.operatorView)
}

// changeBookings puts bookings into the ledger or cancels one. With dry_run=true it only reports whether the capacity
// suffices.
func (a *controlAPI) changeBookings(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxBookingsBody, apierror.Malformed)
	if !ok {
		return
	}
	dryRun := r.URL.Query().Get("dry_run") == "true"
	match := r.Header.Get("If-Match")
	base, ok := config.ParseVersion(strings.Replace(match, "b", "r", 1))
	if !ok && !dryRun {
		writeError(w, apierror.Malformed.New("If-Match %q is no version of the bookings, such as b7", match))
		return
	}
	op, err := readOperation(r, uint64(base), body)
	if err != nil {
		writeError(w, apierror.Malformed.New("body: %s", err))
		return
	}
	if dryRun {
		a.onLeader(w, r, func(done chan<- outcome) { a.dryRunBookings(op, done) })
		return
	}
	a.onLeader(w, r, func(done chan<- outcome) { a.proposeBookings(op, done) })
}

// readOperation returns the change of the ledger that a call requests. A repeated call gets the same ID.
func readOperation(r *http.Request, base uint64, body []byte) (op reservation.Op, err error) {
	digest := sha256.Sum256(fmt.Appendf(nil, "%s %s %d %s", r.Method, r.PathValue("id"), base, body))
	op = reservation.Op{Call: hex.EncodeToString(digest[:callDigestBytes]), Base: base}
	if r.Method == http.MethodDelete {
		op.Cancel = r.PathValue("id")
		return op, nil
	}
	op.Puts, err = readBookings(r.PathValue("id"), body)
	return op, err
}

// readBookings decodes a single booking, whose id is in the path, or a list of bookings.
func readBookings(id string, body []byte) (bookings []reservation.Booking, err error) {
	if id != "" {
		bookings = make([]reservation.Booking, 1)
		err = json.Unmarshal(body, &bookings[0])
		bookings[0].ID = id
	} else {
		var list operator.BookingList
		err = json.Unmarshal(body, &list)
		bookings = list.Bookings
	}
	for i := range bookings {
		bookings[i] = bookings[i].WithSlots()
	}
	return bookings, err
}

// dryRunBookings answers with the result that a change of the ledger would have.
func (a *controlAPI) dryRunBookings(op reservation.Op, done chan<- outcome) {
	op, err := a.withTime(op)
	if err != nil {
		done <- outcome{err: err}
		return
	}
	op.Base = a.reservations.ledger().Version
	result, err := a.checkBookings(op)
	done <- outcome{body: result, err: err}
}

// proposeBookings proposes a change of the ledger if the capacity suffices for it. The entry is based on the version that
// was checked, so that two concurrent bookings can't both take the last slots. A call that was already applied is proposed
// again and changes nothing.
func (a *controlAPI) proposeBookings(op reservation.Op, done chan<- outcome) {
	op, err := a.withTime(op)
	if err != nil {
		done <- outcome{err: err}
		return
	}
	ledger := a.reservations.ledger()
	result := operator.BookingResult{Accepted: true}
	if !ledger.HasApplied(op.Call) {
		if result, err = a.checkBookings(op); err != nil {
			done <- outcome{err: err}
			return
		}
	}
	if !result.Accepted {
		done <- outcome{err: apierror.Overbooked.New("booking %s can't be kept, %.1f slots could", result.ID, result.Available)}
		return
	}
	a.consensus.propose(statemachine.Change{Bookings: &op}, func(_ uint64, err error) {
		result.Version = ledgerVersion(a.reservations.ledger().Version)
		done <- outcome{body: result, err: err}
	})
}

// withTime sets the time of a change, which all replicas use when they apply it. It fails on a leader that has not committed an
// entry of its own term yet, since changes that an earlier leader acknowledged may not be applied here.
func (a *controlAPI) withTime(op reservation.Op) (reservation.Op, error) {
	if !a.consensus.replica.CommittedInTerm() {
		return op, apierror.NoLeader.New("this leader has not caught up yet")
	}
	if op.Now = a.reservations.clock.Now(a.Now()); op.Now == 0 {
		op.Now = wallClock() // no summary was sent yet
	}
	return op, nil
}

// checkBookings validates a change and reports whether the capacity suffices for its bookings.
func (a *controlAPI) checkBookings(op reservation.Op) (operator.BookingResult, error) {
	ledger := a.reservations.ledger()
	result := operator.BookingResult{Version: ledgerVersion(ledger.Version), Accepted: true}
	if err := ledger.Validate(op); err != nil {
		return result, err
	}
	if len(op.Puts) > 0 {
		var short bool
		short, result.ID, result.Available = ledger.FirstShortfall(op.Puts, a.reservations.capacities())
		result.Accepted = !short
	}
	return result, nil
}
