package tables

import (
	"errors"
	"math"
)

// maxRetainedUpdates limits the updates that a sender retains to resend them.
const maxRetainedUpdates = 32

// ErrExhausted is returned if an origin has used all version numbers of a proxy. The planner must continue with another
// incarnation.
var ErrExhausted = errors.New("no version numbers left")

// Sender is the planner's side for one proxy. It isn't safe for concurrent use.
type Sender struct {
	key     Key
	table   Table
	version Version
	history []Update // the latest deltas, with consecutive version numbers
}

// NewSender returns the sender of a proxy's tables in one incarnation of a planner.
func NewSender(o Origin, proxy uint32, key Key) *Sender {
	return &Sender{key: key, table: New(), version: Version{Origin: o, Proxy: proxy}}
}

// Table returns the table that was sent last, and its version.
func (s *Sender) Table() (Table, Version) { return s.table, s.version }

// Digest returns the digest of the table that was sent last.
func (s *Sender) Digest() Digest { return s.table.Digest(s.version, s.key) }

// Next makes t the next version and returns the update that carries it. The update is a snapshot if it is requested, as when
// a proxy joins and can't use its present table as a base.
func (s *Sender) Next(t Table, snapshot bool) (Update, error) {
	if s.version.Number == math.MaxUint64 {
		return Update{}, ErrExhausted
	}
	previous := s.table
	s.version.Number++
	s.table = t.Clone()
	if snapshot || s.version.Number == 1 {
		s.history = nil
		return Snapshot(s.table, s.version, s.key), nil
	}
	u := Delta(previous, s.table, s.version, s.key)
	if s.history = append(s.history, u); len(s.history) > maxRetainedUpdates {
		s.history = s.history[1:]
	}
	return u, nil
}

// NoticeDelayMS is the time between the last update and the notice of its version to the receiver, in milliseconds. The
// notice reveals the loss of an update that no later update follows. One notice per idle period is enough: if it is lost,
// the next update reveals the loss.
const NoticeDelayMS = 1000.0

// Resend returns the updates that answer a request: the deltas after its number, or a snapshot if they are no longer
// retained or larger than the snapshot. A request with another origin, or with a number that was never sent, is answered by
// a snapshot. The result is empty if the request is of another proxy, nothing was sent yet or nothing is missing.
func (s *Sender) Resend(request ResendRequest) []Update {
	if request.Proxy != s.version.Proxy || s.version.Number == 0 {
		return nil
	}
	snapshot := []Update{Snapshot(s.table, s.version, s.key)}
	if request.Snapshot || request.Origin != s.version.Origin || request.After > s.version.Number {
		return snapshot
	}
	deltaLines, missing := 0, s.version.Number-request.After
	if missing == 0 {
		return nil // the caller may send a notice, see Receiver.HandleNotice
	}
	if missing > uint64(len(s.history)) {
		return snapshot
	}
	updates := s.history[uint64(len(s.history))-missing:]
	for _, u := range updates {
		deltaLines += u.Lines()
	}
	if deltaLines > snapshot[0].Lines() {
		return snapshot
	}
	return append([]Update(nil), updates...)
}

// Lines returns the cost of an update in lines of the planner's channel, without its header, as for orders.
func (u Update) Lines() int {
	n := len(u.Weights) + len(u.Excluded) + len(u.Readmitted) + len(u.Gates) + len(u.RemovedGates) + 1 // its acknowledgement
	if u.Snapshot {
		n++
	}
	return n
}
