package tables

import "errors"

// ResendRequest asks a sender to resend the updates that follow version number After, or a snapshot of the table.
type ResendRequest struct {
	Origin
	Proxy    uint32
	Snapshot bool
	After    uint64
}

// Backoff between resend requests for the same loss, in milliseconds. The delay doubles with every attempt, so that requests
// don't add to the load of a planner that can't answer. Attempts are unlimited, because a proxy can't work without its table.
const (
	firstResendDelayMS = 250.0
	maxResendDelayMS   = 30000.0
	// maxDeltaAttempts is the number of requests for the missing updates before a snapshot is requested instead.
	maxDeltaAttempts = 2
)

// Receiver is the proxy's side: it holds the table received from a planner and detects missing updates. It isn't safe for
// concurrent use.
type Receiver struct {
	proxy   uint32
	key     Key
	origin  Origin // of the present stream
	table   Table
	version Version // of the table; Number is 0 if the table isn't of the present origin
	digest  Digest

	missing      bool    // an update was lost or corrupted
	needSnapshot bool    // deltas can't restore the table
	attempts     int     // resend requests for the present loss
	nextAttempt  float64 // time of the next resend request, in milliseconds
	disabled     disabledChecks
}

// disabledChecks turns single checks off, so that tests can show that the model check detects their absence.
type disabledChecks struct{ base, origin, proxy, digest, stale bool }

// NewReceiver returns a receiver with an empty table.
func NewReceiver(proxy uint32, key Key) *Receiver {
	return &Receiver{proxy: proxy, key: key, table: New()}
}

// StreamStarted is called when a stream to a planner of the given origin has started. A table of another origin stays in
// use but can't be the base of a delta: the first update must be a snapshot.
func (r *Receiver) StreamStarted(now float64, o Origin) {
	if r.origin != o {
		r.origin, r.digest = o, Digest{}
		r.version = Version{Origin: o, Proxy: r.proxy}
	}
	// The planner sends an update at the start of a stream without a request.
	r.missing, r.needSnapshot, r.attempts, r.nextAttempt = true, r.version.Number == 0, 0, now+firstResendDelayMS
}

// Table returns the table and its version. The version's Number is 0 if the table isn't of the present origin.
func (r *Receiver) Table() (Table, Version) { return r.table, r.version }

// UpToDate reports whether the receiver holds a version of the present origin and knows of no missing update.
func (r *Receiver) UpToDate() bool { return !r.missing && r.version.Number > 0 }

// ApplyEncoded decodes and applies an update. An update that can't be decoded counts as lost.
func (r *Receiver) ApplyEncoded(now float64, data []byte) error {
	u, err := Decode(data, r.key)
	if err != nil {
		r.requestResend(now, false)
		return err
	}
	return r.Apply(now, u)
}

// Apply applies an update completely or not at all. After an error, NextResendRequest returns the request, if any, that
// recovers from it.
func (r *Receiver) Apply(now float64, u Update) error {
	switch {
	case u.Proxy != r.proxy && !r.disabled.proxy:
		return ErrProxyMismatch
	case u.Origin != r.origin && !r.disabled.origin:
		return ErrOriginMismatch
	case u.Number == r.version.Number && r.version.Number > 0 && u.ResultDigest == r.digest: // already holds the newest version
		r.missing, r.needSnapshot, r.attempts = false, false, 0
		return nil
	case u.Number <= r.version.Number && !r.disabled.stale:
		return ErrStale
	case !u.Snapshot && !r.disabled.base && (u.Base != r.version.Number || u.BaseDigest != r.digest || r.version.Number == 0 ||
		u.Number != u.Base+1):
		r.requestResend(now, u.Base == r.version.Number) // same number, other table: no base for a delta
		return ErrMissingBase
	}
	next, err := u.apply(r.table, r.key)
	if errors.Is(err, ErrDigestMismatch) && r.disabled.digest {
		if next, err = u.applyUnchecked(r.table), nil; u.Snapshot {
			next = u.applyUnchecked(New())
		}
	}
	if err != nil {
		r.requestResend(now, true)
		return err
	}
	r.table, r.version, r.digest = next, u.Version, u.ResultDigest
	r.missing, r.needSnapshot, r.attempts = false, false, 0
	return nil
}

// applyUnchecked applies an update's weights without a check of the digest, for the model check.
func (u Update) applyUnchecked(t Table) Table {
	t = t.Clone()
	for name, weight := range u.Weights {
		if t.Weights[name] = weight; weight == 0 {
			delete(t.Weights, name)
		}
	}
	return t
}

// HandleNotice handles a planner's notice of the version that it sent last. The notice carries no update. It reveals the
// loss of an update that no later update follows, or confirms that nothing is missing.
func (r *Receiver) HandleNotice(now float64, v Version, d Digest) {
	switch {
	case v.Origin != r.origin || v.Proxy != r.proxy || v.Number < r.version.Number || v.Number == 0:
	case v.Number == r.version.Number && d == r.digest:
		r.missing, r.needSnapshot, r.attempts = false, false, 0
	default:
		r.requestResend(now, v.Number == r.version.Number)
	}
}

// requestResend schedules a resend request, for a snapshot if deltas can't restore the table.
func (r *Receiver) requestResend(now float64, snapshot bool) {
	if !r.missing {
		r.missing, r.attempts, r.nextAttempt = true, 0, now
	}
	r.needSnapshot = r.needSnapshot || snapshot || r.version.Number == 0
}

// NextResendRequest returns the resend request that is due now, if any: for the missing updates at first, and for a snapshot
// after maxDeltaAttempts.
func (r *Receiver) NextResendRequest(now float64) (ResendRequest, bool) {
	if !r.missing || now < r.nextAttempt || r.origin == (Origin{}) {
		return ResendRequest{}, false
	}
	wait := firstResendDelayMS
	for range r.attempts {
		wait = min(maxResendDelayMS, 2*wait)
	}
	r.attempts++
	r.nextAttempt = now + wait
	return ResendRequest{Origin: r.origin, Proxy: r.proxy, Snapshot: r.needSnapshot || r.attempts > maxDeltaAttempts,
		After: r.version.Number}, true
}

// NextResendAt returns the time of the next resend request, in milliseconds, or 0 if none is scheduled.
func (r *Receiver) NextResendAt() float64 {
	if !r.missing {
		return 0
	}
	return r.nextAttempt
}
