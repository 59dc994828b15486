// Package statemachine is the replicated state that the entries of the consensus log lead to: the configuration, the calls
// that brought it there, and the book of bookings. It is a value fed with entries; every controller that applies the same
// comes to the same.
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

// Change is a call of an operator, as the consensus's history holds it.
type Change struct {
	Base  uint64 `cbor:"1,keyasint"`
	Patch bool   `cbor:"2,keyasint,omitempty"`
	Body  []byte `cbor:"3,keyasint"`

	Bookings *reservation.Op `cbor:"4,keyasint,omitempty"` // instead: a change of the book
}

// digest tells calls apart: the same call again has the same.
func (c Change) digest() [32]byte {
	h := sha256.New()
	b, _ := cbor.Marshal(c.Base)
	h.Write(b)
	if c.Patch {
		h.Write([]byte{1})
	}
	h.Write(c.Body)
	return [32]byte(h.Sum(nil))
}

// Accepted is a configuration that was taken, and the call that brought it.
type Accepted struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  [32]byte
}

// maxAccepted bounds how late the same call may come again: over changes of the leader, snapshots and replaced members, for as
// long as a caller tries. A call takes 36 to 44 bytes of a snapshot.
const maxAccepted = 1024

// StateMachine is the state after some entries. Its fields are to be read.
type StateMachine struct {
	Config               *config.Config // nil before the first
	Bookings             *reservation.Ledger
	Accepted             []Accepted // oldest first
	Index                uint64     // of the last entry
	EntriesSinceSnapshot int        // entries since the last snapshot

	acceptedDigests map[[32]byte]struct{} // digests of Taken
}

// New makes an empty one.
func New() *StateMachine { return &StateMachine{Bookings: reservation.NewLedger()} }

// Version is that of the configuration; 0: there is none yet.
func (m *StateMachine) Version() uint64 {
	if m.Config == nil {
		return 0
	}
	return uint64(m.Config.Version)
}

// Knows tells whether a call was taken lately.
func (m *StateMachine) Knows(c Change) bool {
	return m.knows(c.digest())
}

func (m *StateMachine) knows(digest [32]byte) bool {
	if m.acceptedDigests == nil || len(m.acceptedDigests) != len(m.Accepted) { // restored, or Taken was set from outside
		m.acceptedDigests = make(map[[32]byte]struct{}, len(m.Accepted))
		for _, t := range m.Accepted {
			m.acceptedDigests[t.Digest] = struct{}{}
		}
	}
	_, ok := m.acceptedDigests[digest]
	return ok
}

// recordAccepted notes a call that was taken, and forgets the oldest ones.
func (m *StateMachine) recordAccepted(t Accepted) {
	m.Accepted = append(m.Accepted, t)
	m.acceptedDigests[t.Digest] = struct{}{}
	for len(m.Accepted) > maxAccepted {
		delete(m.acceptedDigests, m.Accepted[0].Digest)
		m.Accepted = m.Accepted[1:]
	}
}

// Apply takes an entry. Every planner comes to the same outcome, so that a refused change is refused everywhere.
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
		return nil, nil // the same call again, after an answer that was lost
	}
	if c.Base != m.Version() {
		return nil, apierror.Stale.New("built on %s, current is %s", config.Version(c.Base), config.Version(m.Version()))
	}
	next, err := m.Check(c)
	if err != nil {
		return nil, err
	}
	m.Config = next
	m.recordAccepted(Accepted{Version: uint64(next.Version), Digest: digest})
	return &c, nil
}

// Check gives the configuration that a change would lead to.
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
	Config   []byte     `cbor:"1,keyasint,omitempty"`
	Accepted []Accepted `cbor:"2,keyasint,omitempty"`

	Bookings *reservation.Ledger `cbor:"3,keyasint,omitempty"`
}

// sortedEncoding writes maps in the order of their keys: the same state is the same bytes at every replica.
var sortedEncoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // plain values
	}
	return mode
}()

// Save is the snapshot of a history.
func (m *StateMachine) Save() ([]byte, error) {
	s := savedState{Accepted: m.Accepted}
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

// Restore takes a snapshot over.
func (m *StateMachine) Restore(s consensus.Snapshot) error {
	var saved savedState
	if err := cbor.Unmarshal(s.Data, &saved); err != nil {
		return err
	}
	next := StateMachine{Accepted: saved.Accepted, Index: s.Index, Bookings: reservation.NewLedger()}
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
