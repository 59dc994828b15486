package tables

import "errors"

// ResendRequest is what a receiver wants sent again: the updates after a number, or the whole table.
type ResendRequest struct {
	Origin
	Proxy    uint32
	Snapshot bool
	After    uint64
}

// Waits of a receiver between two asks for the same, in milliseconds. They grow, since a planner that can't answer now won't
// be helped by more questions; and the questions never end, since a proxy without its table has nothing better to do.
const (
	firstResendDelayMS = 250.0
	maxResendDelayMS   = 30000.0
	// maxDeltaAttempts is how often missing updates are asked for until the whole table is.
	maxDeltaAttempts = 2
)

// Receiver is a proxy's end: it holds a table that a planner has sent, and knows when another should have come.
type Receiver struct {
	proxy   uint32
	key     Key
	origin  Origin // whose stream this is
	table   Table
	version Version // of the table; number 0: none of this origin
	digest  Digest

	missing      bool // an update was lost, or spoilt
	needSnapshot bool // only a whole table helps
	attempts     int  // in this series
	nextAttempt  float64
	disabled     disabledChecks
}

// disabledChecks switches checks off, one by one, for the model check to show that it finds what they are for.
type disabledChecks struct{ base, origin, proxy, digest, stale bool }

// NewReceiver returns a receiver that holds nothing.
func NewReceiver(proxy uint32, key Key) *Receiver {
	return &Receiver{proxy: proxy, key: key, table: New()}
}

// StreamStarted says that a stream to a planner's life has begun. What is held of another origin is kept in use and builds nothing:
// the first update must be whole.
func (r *Receiver) StreamStarted(now float64, o Origin) {
	if r.origin != o {
		r.origin, r.digest = o, Digest{}
		r.version = Version{Origin: o, Proxy: r.proxy}
	}
	// a stream that begins brings an update by itself
	r.missing, r.needSnapshot, r.attempts, r.nextAttempt = true, r.version.Number == 0, 0, now+firstResendDelayMS
}

// Table is what is held, and the version that it is of; number 0: of no version of the present origin.
func (r *Receiver) Table() (Table, Version) { return r.table, r.version }

// UpToDate says whether nothing is known to be missing.
func (r *Receiver) UpToDate() bool { return !r.missing && r.version.Number > 0 }

// ApplyEncoded takes an update as it came. One that can't be read counts as lost.
func (r *Receiver) ApplyEncoded(now float64, text []byte) error {
	u, err := Decode(text, r.key)
	if err != nil {
		r.requestResend(now, false)
		return err
	}
	return r.Apply(now, u)
}

// Apply takes an update. It is applied whole or not at all; an error says why not, and Ask what that calls for.
func (r *Receiver) Apply(now float64, u Update) error {
	switch {
	case u.Proxy != r.proxy && !r.disabled.proxy:
		return ErrProxyMismatch
	case u.Origin != r.origin && !r.disabled.origin:
		return ErrOriginMismatch
	case u.Number == r.version.Number && r.version.Number > 0 && u.ResultDigest == r.digest: // what is held is the newest
		r.missing, r.needSnapshot, r.attempts = false, false, 0
		return nil
	case u.Number <= r.version.Number && !r.disabled.stale:
		return ErrStale
	case !u.Snapshot && !r.disabled.base && (u.Base != r.version.Number || u.BaseDigest != r.digest || r.version.Number == 0 ||
		u.Number != u.Base+1):
		r.requestResend(now, u.Base == r.version.Number) // the same number and another table: nothing can build on that
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

// applyUnchecked applies an update without a look at its digest, for the model check.
func (u Update) applyUnchecked(t Table) Table {
	t = t.Clone()
	for name, weight := range u.Weights {
		if t.Weights[name] = weight; weight == 0 {
			delete(t.Weights, name)
		}
	}
	return t
}

// HandleNotice is a planner's word, without an update, on which version it has sent last. It tells a receiver of a loss that no later
// update would, or that nothing is missing.
func (r *Receiver) HandleNotice(now float64, v Version, d Digest) {
	switch {
	case v.Origin != r.origin || v.Proxy != r.proxy || v.Number < r.version.Number || v.Number == 0:
	case v.Number == r.version.Number && d == r.digest:
		r.missing, r.needSnapshot, r.attempts = false, false, 0
	default:
		r.requestResend(now, v.Number == r.version.Number)
	}
}

// requestResend notes that something must be asked for.
func (r *Receiver) requestResend(now float64, snapshot bool) {
	if !r.missing {
		r.missing, r.attempts, r.nextAttempt = true, 0, now
	}
	r.needSnapshot = r.needSnapshot || snapshot || r.version.Number == 0
}

// NextResendRequest is what to ask for now, if anything: missing updates first, the whole table if those don't help.
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

// NextResendAt is when Ask is worth a call next; 0: not before something comes.
func (r *Receiver) NextResendAt() float64 {
	if !r.missing {
		return 0
	}
	return r.nextAttempt
}
