package consensus

import (
	"fmt"
	"slices"
	"time"
)

// Membership is the set of replicas that vote. While a change is in progress it is joint: Next holds the voters after the
// change, and every decision needs a majority of Voters and a majority of Next.
type Membership struct {
	Epoch   uint64   `cbor:"1,keyasint"`           // incremented by each membership entry; 0: unknown
	Cluster uint64   `cbor:"2,keyasint,omitempty"` // cluster ID, chosen by the first leader; 0: not chosen yet
	Voters  []string `cbor:"3,keyasint"`
	Next    []string `cbor:"4,keyasint,omitempty"`
}

// Joint reports whether a change is in progress.
func (m Membership) Joint() bool { return len(m.Next) > 0 }

// Contains reports whether a replica is a voter, before or after the change in progress.
func (m Membership) Contains(id string) bool {
	return slices.Contains(m.Voters, id) || slices.Contains(m.Next, id)
}

// All returns all voters before and after the change in progress, sorted.
func (m Membership) All() []string {
	all := slices.Concat(m.Voters, m.Next)
	slices.Sort(all)
	return slices.Compact(all)
}

// HasQuorum reports whether has returns true for a majority of Voters and, in a joint membership, also for a majority of Next.
func (m Membership) HasQuorum(has func(id string) bool) bool {
	return len(m.Voters) > 0 && majority(m.Voters, has) && (!m.Joint() || majority(m.Next, has))
}

// Equal reports whether two memberships are equal, including their epoch and cluster.
func (m Membership) Equal(o Membership) bool {
	return m.Epoch == o.Epoch && m.Cluster == o.Cluster && slices.Equal(m.Voters, o.Voters) && slices.Equal(m.Next, o.Next)
}

// Validate returns an error if a membership has duplicate or empty voter names, or an epoch without voters.
func (m Membership) Validate() error {
	for _, set := range [][]string{m.Voters, m.Next} {
		sorted := slices.Sorted(slices.Values(set))
		if len(slices.Compact(sorted)) != len(set) || slices.Contains(set, "") {
			return fmt.Errorf("membership %d names a voter twice or without a name: %q", m.Epoch, set)
		}
	}
	if len(m.Voters) == 0 && (m.Epoch > 0 || len(m.Next) > 0) {
		return fmt.Errorf("membership %d has no voters", m.Epoch)
	}
	return nil
}

func majority(ids []string, has func(id string) bool) bool {
	count := 0
	for _, id := range ids {
		if has(id) {
			count++
		}
	}
	return count > len(ids)/2
}

// membershipEntry is a membership and the index of its log entry. Index 0 is the membership with which the cluster started.
type membershipEntry struct {
	index      uint64
	membership Membership
}

// Membership returns the newest membership in the log, committed or not.
func (r *Replica) Membership() Membership { return r.memberships[len(r.memberships)-1].membership }

// MembershipCommitted reports whether the newest membership in the log is committed.
func (r *Replica) MembershipCommitted() bool {
	return r.memberships[len(r.memberships)-1].index <= r.commit
}

// membershipAt returns the membership in effect at an index of the log.
func (r *Replica) membershipAt(index uint64) Membership {
	for _, l := range slices.Backward(r.memberships) {
		if l.index <= index {
			return l.membership
		}
	}
	return Membership{}
}

// applyMembershipEntry makes an entry's membership take effect. It is called as soon as the entry is in the log.
func (r *Replica) applyMembershipEntry(e Entry) {
	if e.Membership != nil {
		r.memberships = append(r.memberships, membershipEntry{e.Index, *e.Membership})
	}
}

// revertMembership restores the membership in effect before a truncated index.
func (r *Replica) revertMembership(from uint64) {
	for len(r.memberships) > 1 && r.memberships[len(r.memberships)-1].index >= from {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

// Bootstrap sets the voters of a cluster that starts for the first time. It does nothing and returns false on a replica that
// already has a membership or a log.
func (r *Replica) Bootstrap(voters []string) bool {
	if r.Membership().Epoch > 0 || r.lastIndex() > 0 {
		return false
	}
	r.memberships = []membershipEntry{{0, Membership{Epoch: 1, Voters: slices.Sorted(slices.Values(voters))}}}
	return true
}

// SetLearners sets the replicas that receive the log from a leader without being voters.
func (r *Replica) SetLearners(ids []string) {
	r.learners = slices.Clone(ids)
	r.syncPeers()
}

// syncPeers adds missing replication targets to a leader's peers and removes other replicas from them.
func (r *Replica) syncPeers() {
	if r.role != Leader {
		return
	}
	targets := r.replicationTargets()
	for _, id := range targets {
		if r.peers[id] == nil {
			r.peers[id] = &progress{next: r.lastIndex() + 1, heardAt: r.now}
		}
	}
	for id := range r.peers {
		if !slices.Contains(targets, id) {
			delete(r.peers, id)
		}
	}
}

// replicationTargets returns the other replicas to which a leader sends the log: voters, then learners.
func (r *Replica) replicationTargets() []string {
	membership := r.Membership()
	targets := slices.DeleteFunc(membership.All(), func(id string) bool { return id == r.id })
	for _, id := range r.learners {
		if id != r.id && !membership.Contains(id) {
			targets = append(targets, id)
		}
	}
	return targets
}

// ChangeError is the reason for which a membership change is rejected.
type ChangeError string

// Error returns the reason.
func (e ChangeError) Error() string { return string(e) }

// The reasons for which a membership change is rejected.
const (
	ErrNotLeader          ChangeError = "this replica does not lead"
	ErrTermNotCommitted   ChangeError = "no entry of the leader's own term is committed yet"
	ErrChangeInProgress   ChangeError = "another change of the membership is under way"
	ErrNoChangeInProgress ChangeError = "no change of the membership is under way"
	ErrSameVoters         ChangeError = "the change leads to no other voters"
	ErrLeaderRemoved      ChangeError = "the leader itself would lose its vote: leadership is transferred first"
)

// BeginChange appends a joint membership for a change to the voters next. It takes effect at once. Once it is committed, the
// caller must end the change with AdoptChange, when the new voters are ready, or with AbandonChange.
func (r *Replica) BeginChange(next []string, now time.Duration) error {
	r.now = now
	if err := r.checkChangeAllowed(); err != nil {
		return err
	}
	current := r.Membership()
	next = slices.Sorted(slices.Values(next))
	switch {
	case current.Joint():
		return ErrChangeInProgress
	case slices.Equal(next, current.Voters) || len(next) == 0:
		return ErrSameVoters
	case !slices.Contains(next, r.id):
		return ErrLeaderRemoved
	}
	joint := Membership{Epoch: current.Epoch + 1, Cluster: current.Cluster, Voters: current.Voters, Next: next}
	if err := joint.Validate(); err != nil {
		return err
	}
	r.appendMembership(joint)
	return nil
}

// AdoptChange ends the change in progress with the new voters.
func (r *Replica) AdoptChange(now time.Duration) error {
	r.now = now
	return r.finishChange(r.Membership().Next)
}

// AbandonChange ends the change in progress with the voters from before it.
func (r *Replica) AbandonChange(now time.Duration) error {
	r.now = now
	return r.finishChange(r.Membership().Voters)
}

func (r *Replica) finishChange(voters []string) error {
	if err := r.checkChangeAllowed(); err != nil {
		return err
	}
	current := r.Membership()
	if !current.Joint() {
		return ErrNoChangeInProgress
	}
	if !slices.Contains(voters, r.id) {
		return ErrLeaderRemoved
	}
	r.appendMembership(Membership{Epoch: current.Epoch + 1, Cluster: current.Cluster, Voters: voters})
	return nil
}

// checkChangeAllowed returns an error unless the replica is leader, the newest membership entry is committed, and so is an
// entry of the leader's own term. Without the last condition an uncommitted change of an earlier leader could overlap with a
// new one.
func (r *Replica) checkChangeAllowed() error {
	if r.role != Leader {
		return ErrNotLeader
	}
	if !r.CommittedInTerm() {
		return ErrTermNotCommitted
	}
	if !r.MembershipCommitted() {
		return ErrChangeInProgress
	}
	return nil
}

func (r *Replica) appendMembership(m Membership) {
	r.append(Entry{Membership: &m})
}
