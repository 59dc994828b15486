package tables

import (
	"errors"
	"math"
)

// maxRetainedUpdates bounds the updates that a sender keeps for those who miss some.
const maxRetainedUpdates = 32

// ErrExhausted says that an origin has no numbers left for a proxy. The planner must go on as another life.
var ErrExhausted = errors.New("no version numbers left")

// Sender is a planner's end for one proxy.
type Sender struct {
	key     Key
	table   Table
	version Version
	history []Update // the latest, each the one after its neighbour's
}

// NewSender returns the sender of a proxy's tables in one life of a planner.
func NewSender(o Origin, proxy uint32, key Key) *Sender {
	return &Sender{key: key, table: New(), version: Version{Origin: o, Proxy: proxy}}
}

// Table is the table last sent, and its version.
func (s *Sender) Table() (Table, Version) { return s.table, s.version }

// Digest is that of the table last sent.
func (s *Sender) Digest() Digest { return s.table.Digest(s.version, s.key) }

// Next makes a table the next version and returns the update that carries it: whole if the proxy must not build on what it
// holds, as at its joining.
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

// NoticeDelayMS is how long after its last update a receiver should be told which version that was, in milliseconds: a loss that
// no later update shows is noticed by that. Once is enough for a quiet while; a notice that is lost waits for the next update.
const NoticeDelayMS = 1000.0

// Resend is what an ask calls for: the updates after a number if they are still kept, and otherwise, or if they would be
// larger, the whole table. One of another origin or proxy, or of a number that was never sent, gets the whole table if it is
// this proxy's, and nothing if it isn't, or if nothing is missing.
func (s *Sender) Resend(request ResendRequest) []Update {
	if request.Proxy != s.version.Proxy || s.version.Number == 0 {
		return nil
	}
	snapshot := []Update{Snapshot(s.table, s.version, s.key)}
	if request.Snapshot || request.Origin != s.version.Origin || request.After > s.version.Number {
		return snapshot
	}
	lines, missing := 0, s.version.Number-request.After
	if missing == 0 {
		return nil // a word says so: Told
	}
	if missing > uint64(len(s.history)) {
		return snapshot
	}
	updates := s.history[uint64(len(s.history))-missing:]
	for _, u := range updates {
		lines += u.Lines()
	}
	if lines > snapshot[0].Lines() {
		return snapshot
	}
	return append([]Update(nil), updates...)
}

// Lines is what an update counts in the planner's channel, its head left aside, as orders do.
func (u Update) Lines() int {
	n := len(u.Weights) + len(u.Excluded) + len(u.Readmitted) + len(u.Gates) + len(u.RemovedGates) + 1 // its acknowledgement
	if u.Snapshot {
		n++
	}
	return n
}
