// Package statemachine is the replicated state that the entries of the consensus log lead to: the configuration, the calls
// that changed it lately, and the ledger of bookings. It is a value fed with entries. Apply is deterministic: every
// controller that applies the same entries has the same state, and refuses the same changes.
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

// Change is a call of an operator, as an entry of the consensus log holds it.
type Change struct {
	Base  uint64 `cbor:"1,keyasint"`           // version of the configuration that it is built on
	Patch bool   `cbor:"2,keyasint,omitempty"` // Body is a change of the configuration, not a complete one
	Body  []byte `cbor:"3,keyasint"`           // JSON, as the operator sent it

	Bookings *reservation.Op `cbor:"4,keyasint,omitempty"` // instead: a change of the ledger of bookings
}

// digest names a call: the same call again has the same digest.
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

// AcceptedChange is a version of the configuration, and the digest of the call that brought it.
type AcceptedChange struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  [32]byte
}

// maxAccepted bounds how late the same call may come again and be known: after changes of the leader, snapshots and replaced
// voters, for as long as a caller retries. A call takes 36 to 44 bytes of a snapshot.
const maxAccepted = 1024

// StateMachine is the state after some entries. Others may read its fields; only EntriesSinceSnapshot is set from outside,
// to 0 when a snapshot is made.
type StateMachine struct {
	Config               *config.Config // nil before the first
	Bookings             *reservation.Ledger
	AcceptedChanges      []AcceptedChange // the last ones, oldest first
	Index                uint64           // of the last entry
	EntriesSinceSnapshot int

	acceptedDigests map[[32]byte]struct{} // of Accepted
}

// New makes the state before the first entry.
func New() *StateMachine { return &StateMachine{Bookings: reservation.NewLedger()} }

// Version is that of the configuration; 0: there is none yet.
func (m *StateMachine) Version() uint64 {
	if m.Config == nil {
		return 0
	}
	return uint64(m.Config.Version)
}

// HasAccepted reports whether a call was accepted lately.
func (m *StateMachine) HasAccepted(c Change) bool {
	return m.knows(c.digest())
}

func (m *StateMachine) knows(digest [32]byte) bool {
	if m.acceptedDigests == nil || len(m.acceptedDigests) != len(m.AcceptedChanges) { // it was restored
		m.acceptedDigests = make(map[[32]byte]struct{}, len(m.AcceptedChanges))
		for _, t := range m.AcceptedChanges {
			m.acceptedDigests[t.Digest] = struct{}{}
		}
	}
	_, ok := m.acceptedDigests[digest]
	return ok
}

// recordAccepted notes a call that was accepted, and forgets the oldest ones.
func (m *StateMachine) recordAccepted(t AcceptedChange) {
	m.AcceptedChanges = append(m.AcceptedChanges, t)
	m.acceptedDigests[t.Digest] = struct{}{}
	for len(m.AcceptedChanges) > maxAccepted {
		delete(m.acceptedDigests, m.AcceptedChanges[0].Digest)
		m.AcceptedChanges = m.AcceptedChanges[1:]
	}
}

// Apply applies the next entry. It gives the change of the configuration, if the entry was one and was accepted; an error
// says why a change was refused. A call that is known already changes nothing and is no error.
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
		return nil, nil // the same call again, after a response that was lost
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

// Check gives the configuration that a change would lead to, without applying it.
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

type savedState struct {
	Config   []byte           `cbor:"1,keyasint,omitempty"`
	Accepted []AcceptedChange `cbor:"2,keyasint,omitempty"`

	Bookings *reservation.Ledger `cbor:"3,keyasint,omitempty"`
}

// sortedEncoding writes maps in the order of their keys, so that the same state is the same bytes at every replica.
var sortedEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Save gives the data of a snapshot of the state.
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

// Restore replaces the state by that of a snapshot. After an error the state is unchanged.
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
