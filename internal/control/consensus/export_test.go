package consensus

import "slices"

// Unchecked ways to change the membership, for planted faults.

// SwitchDirectly appends the new voters without a joint membership.
func (r *Replica) SwitchDirectly(next []string) {
	if r.role != Leader || !slices.Contains(next, r.id) {
		return
	}
	m := r.Membership()
	r.appendMembership(Membership{Epoch: m.Epoch + 1, Cluster: m.Cluster, Voters: slices.Sorted(slices.Values(next))})
}

// BeginUnchecked begins a change whatever is under way or uncommitted.
func (r *Replica) BeginUnchecked(next []string) {
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

// FinishUnchecked ends a change before it is committed.
func (r *Replica) FinishUnchecked() {
	m := r.Membership()
	if r.role == Leader && m.Joint() {
		r.appendMembership(Membership{Epoch: m.Epoch + 1, Cluster: m.Cluster, Voters: m.Next})
	}
}
