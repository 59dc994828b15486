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
	firstResend = 250.0
	maxResend   = 30000.0
	// maxDeltaAttempts is how often missing updates are asked for until the whole table is.
	maxDeltaAttempts = 2
)

// Receiver is a proxy's end: it holds a table that a planner has sent, and knows when another should have come.
type Receiver struct {
	proxy  uint32
	key    Key
	origin Origin // whose stream this is
	table  Table
	at     Version // of the table; number 0: none of this origin
	digest Digest

	behind bool // an update was lost, or spoilt
	whole  bool // only a whole table helps
	asked  int  // in this series
	next   float64
	faults faults
}

// faults switches checks off, one by one, for the model check to show that it finds what they are for.
type faults struct{ base, origin, proxy, digest, old bool }

// NewReceiver returns a receiver that holds nothing.
func NewReceiver(proxy uint32, key Key) *Receiver {
	return &Receiver{proxy: proxy, key: key, table: New()}
}

// StreamStarted says that a stream to a planner's life has begun. What is held of another origin is kept in use and builds nothing:
// the first update must be whole.
func (r *Receiver) StreamStarted(now float64, o Origin) {
	if r.origin != o {
		r.origin, r.digest = o, Digest{}
		r.at = Version{Origin: o, Proxy: r.proxy}
	}
	// a stream that begins brings an update by itself
	r.behind, r.whole, r.asked, r.next = true, r.at.Number == 0, 0, now+firstResend
}

// Table is what is held, and the version that it is of; number 0: of no version of the present origin.
func (r *Receiver) Table() (Table, Version) { return r.table, r.at }

// UpToDate says whether nothing is known to be missing.
func (r *Receiver) UpToDate() bool { return !r.behind && r.at.Number > 0 }

// ApplyEncoded takes an update as it came. One that can't be read counts as lost.
func (r *Receiver) ApplyEncoded(now float64, text []byte) error {
	u, err := Decode(text, r.key)
	if err != nil {
		r.lost(now, false)
		return err
	}
	return r.Apply(now, u)
}

// Apply takes an update. It is applied whole or not at all; an error says why not, and Ask what that calls for.
func (r *Receiver) Apply(now float64, u Update) error {
	switch {
	case u.Proxy != r.proxy && !r.faults.proxy:
		return ErrProxyMismatch
	case u.Origin != r.origin && !r.faults.origin:
		return ErrOriginMismatch
	case u.Number == r.at.Number && r.at.Number > 0 && u.ResultDigest == r.digest: // what is held is the newest
		r.behind, r.whole, r.asked = false, false, 0
		return nil
	case u.Number <= r.at.Number && !r.faults.old:
		return ErrStale
	case !u.Snapshot && !r.faults.base && (u.Base != r.at.Number || u.BaseDigest != r.digest || r.at.Number == 0 ||
		u.Number != u.Base+1):
		r.lost(now, u.Base == r.at.Number) // the same number and another table: nothing can build on that
		return ErrMissingBase
	}
	next, err := u.apply(r.table, r.key)
	if errors.Is(err, ErrDigestMismatch) && r.faults.digest {
		if next, err = u.unchecked(r.table), nil; u.Snapshot {
			next = u.unchecked(New())
		}
	}
	if err != nil {
		r.lost(now, true)
		return err
	}
	r.table, r.at, r.digest = next, u.Version, u.ResultDigest
	r.behind, r.whole, r.asked = false, false, 0
	return nil
}

// unchecked applies an update without a look at its digest, for the model check.
func (u Update) unchecked(t Table) Table {
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
	case v.Origin != r.origin || v.Proxy != r.proxy || v.Number < r.at.Number || v.Number == 0:
	case v.Number == r.at.Number && d == r.digest:
		r.behind, r.whole, r.asked = false, false, 0
	default:
		r.lost(now, v.Number == r.at.Number)
	}
}

// lost notes that something must be asked for.
func (r *Receiver) lost(now float64, whole bool) {
	if !r.behind {
		r.behind, r.asked, r.next = true, 0, now
	}
	r.whole = r.whole || whole || r.at.Number == 0
}

// NextResendRequest is what to ask for now, if anything: missing updates first, the whole table if those don't help.
func (r *Receiver) NextResendRequest(now float64) (ResendRequest, bool) {
	if !r.behind || now < r.next || r.origin == (Origin{}) {
		return ResendRequest{}, false
	}
	wait := firstResend
	for range r.asked {
		wait = min(maxResend, 2*wait)
	}
	r.asked++
	r.next = now + wait
	return ResendRequest{Origin: r.origin, Proxy: r.proxy, Snapshot: r.whole || r.asked > maxDeltaAttempts,
		After: r.at.Number}, true
}

// NextResendAt is when Ask is worth a call next; 0: not before something comes.
func (r *Receiver) NextResendAt() float64 {
	if !r.behind {
		return 0
	}
	return r.next
}
