package consensus

import "slices"

// Membership changes without the safety checks, for tests that inject faults.

// ChangeWithoutJoint switches to the voters next without a joint membership.
func (r *Replica) ChangeWithoutJoint(next []string) {
	if r.role != Leader || !slices.Contains(next, r.id) {
		return
	}
	m := r.Membership()
	r.appendMembership(Membership{Epoch: m.Epoch + 1, Cluster: m.Cluster, Voters: slices.Sorted(slices.Values(next))})
}

// BeginChangeUnchecked begins a change even if another one is in progress or uncommitted.
func (r *Replica) BeginChangeUnchecked(next []string) {
	m := r.Membership()
	if r.role != Leader || !slices.Contains(next, r.id) {
		return
	}
	from := m.Voters
	if m.Joint() {
		from = m.Next
	}
	r.appendMembership(Membership{Epoch: m.Epoch + 1, Cluster: m.Cluster, Voters: from, Next: slices.Sorted(slices.Values(next))})
}

// FinishChangeUnchecked adopts a change even if it is not committed.
func (r *Replica) FinishChangeUnchecked() {
	m := r.Membership()
	if r.role == Leader && m.Joint() {
		r.appendMembership(Membership{Epoch: m.Epoch + 1, Cluster: m.Cluster, Voters: m.Next})
	}
}
