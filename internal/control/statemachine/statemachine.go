// Package statemachine holds the replicated state built from the entries of the consensus log: the configuration, the recently
// accepted calls that changed it, and the ledger of bookings. Apply is deterministic: every controller that applies the same
// entries has the same state, and rejects the same changes.
package statemachine

import (
	"crypto/sha256"
	"encoding/json"

	"github.com/fxamacker/cbor/v2"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/platform/apierror"
)

// Change is an operator's call to change the state, as encoded in an entry of the consensus log.
type Change struct {
	Base  uint64 `cbor:"1,keyasint"`           // version of the configuration on which the change is based
	Patch bool   `cbor:"2,keyasint,omitempty"` // Body is a patch of the configuration, not a complete one
	Body  []byte `cbor:"3,keyasint"`           // JSON, as the operator sent it

	Bookings *reservation.Op `cbor:"4,keyasint,omitempty"` // set: a change of the ledger instead
}

// digest identifies a call: a repeated call has the same digest.
func (c Change) digest() [32]byte {
	h := sha256.New()
	base, _ := cbor.Marshal(c.Base) // a number can always be encoded
	h.Write(base)
	if c.Patch {
		h.Write([]byte{1})
	}
	h.Write(c.Body)
	return [32]byte(h.Sum(nil))
}

// AcceptedChange is a version of the configuration and the digest of the call that created it.
type AcceptedChange struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  [32]byte
}

// maxAccepted is the number of accepted calls that are remembered to recognize repeated ones. It covers a caller that retries
// across leader changes, snapshots and replaced voters. A call takes 36 to 44 bytes of a snapshot.
const maxAccepted = 1024

// StateMachine is the state after an entry of the log. Other packages may read its fields, but set only EntriesSinceSnapshot,
// to 0 when a snapshot is created. It is not safe for concurrent use.
type StateMachine struct {
	Config               *config.Config // nil before the first configuration
	Bookings             *reservation.Ledger
	AcceptedChanges      []AcceptedChange // the newest maxAccepted ones, oldest first
	Index                uint64           // index of the last applied entry
	EntriesSinceSnapshot int

	acceptedDigests map[[32]byte]struct{} // digests of AcceptedChanges; nil after Restore
}

// New returns the state before the first entry.
func New() *StateMachine { return &StateMachine{Bookings: reservation.NewLedger()} }

// Version returns the version of the configuration, or 0 before the first one.
func (m *StateMachine) Version() uint64 {
	if m.Config == nil {
		return 0
	}
	return uint64(m.Config.Version)
}

// HasAccepted reports whether a call is among the remembered accepted ones.
func (m *StateMachine) HasAccepted(c Change) bool {
	return m.knows(c.digest())
}

func (m *StateMachine) knows(digest [32]byte) bool {
	if m.acceptedDigests == nil || len(m.acceptedDigests) != len(m.AcceptedChanges) { // not built yet, or restored
		m.acceptedDigests = make(map[[32]byte]struct{}, len(m.AcceptedChanges))
		for _, t := range m.AcceptedChanges {
			m.acceptedDigests[t.Digest] = struct{}{}
		}
	}
	_, ok := m.acceptedDigests[digest]
	return ok
}

// recordAccepted remembers an accepted call and drops the oldest ones beyond maxAccepted.
func (m *StateMachine) recordAccepted(t AcceptedChange) {
	m.AcceptedChanges = append(m.AcceptedChanges, t)
	m.acceptedDigests[t.Digest] = struct{}{}
	for len(m.AcceptedChanges) > maxAccepted {
		delete(m.acceptedDigests, m.AcceptedChanges[0].Digest)
		m.AcceptedChanges = m.AcceptedChanges[1:]
	}
}

// Apply applies the next entry. It returns the change if the entry changed the configuration, and an error if a change was
// rejected. A repeated call changes nothing and is no error.
func (m *StateMachine) Apply(e consensus.Entry) (applied *Change, err error) {
	m.Index = e.Index
	m.EntriesSinceSnapshot++
	if len(e.Data) == 0 {
		return nil, nil
	}
	var c Change
	if err := cbor.Unmarshal(e.Data, &c); err != nil {
		return nil, apierror.Invalid.Wrap(err, "entry %d", e.Index)
	}
	if c.Bookings != nil {
		return nil, m.Bookings.Apply(*c.Bookings)
	}
	digest := c.digest()
	if m.knows(digest) {
		return nil, nil // repeated call after a lost response
	}
	if c.Base != m.Version() {
		return nil, apierror.Stale.New("built on %s, current is %s", config.Version(c.Base), config.Version(m.Version()))
	}
	next, err := m.Check(c)
	if err != nil {
		return nil, err
	}
	m.Config = next
	m.recordAccepted(AcceptedChange{Version: uint64(next.Version), Digest: digest})
	return &c, nil
}

// Check returns the configuration after a change, without applying it, or the reason for which the change is rejected.
func (m *StateMachine) Check(c Change) (*config.Config, error) {
	if c.Patch {
		if m.Config == nil {
			return nil, apierror.Stale.New("there is no configuration to change")
		}
		return m.Config.Patch(c.Body)
	}
	next, err := config.Parse(c.Body)
	if err == nil && uint64(next.Version) <= m.Version() {
		err = apierror.Invalid.New("version %s is not above %s", next.Version, config.Version(m.Version()))
	}
	return next, err
}

// savedState is the encoded form of the state in a snapshot.
type savedState struct {
	Config   []byte           `cbor:"1,keyasint,omitempty"`
	Accepted []AcceptedChange `cbor:"2,keyasint,omitempty"`

	Bookings *reservation.Ledger `cbor:"3,keyasint,omitempty"`
}

// sortedEncoding encodes maps in the order of their keys, so that equal states have the same encoding at every replica.
var sortedEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Save returns the data of a snapshot of the state.
func (m *StateMachine) Save() ([]byte, error) {
	s := savedState{Accepted: m.AcceptedChanges}
	if m.Bookings.Version > 0 {
		s.Bookings = m.Bookings
	}
	if m.Config != nil {
		var err error
		if s.Config, err = json.Marshal(m.Config); err != nil {
			return nil, err
		}
	}
	return sortedEncoding.Marshal(s)
}

// Restore replaces the state by the one in a snapshot. After an error the state is unchanged.
func (m *StateMachine) Restore(s consensus.Snapshot) error {
	var saved savedState
	if err := cbor.Unmarshal(s.Data, &saved); err != nil {
		return err
	}
	next := StateMachine{AcceptedChanges: saved.Accepted, Index: s.Index, Bookings: reservation.NewLedger()}
	if saved.Bookings != nil {
		next.Bookings = saved.Bookings
	}
	if saved.Config != nil {
		config, err := config.Parse(saved.Config)
		if err != nil {
			return err
		}
		next.Config = config
	}
	*m = next
	return nil
}
