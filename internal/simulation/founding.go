package simulation

import (
	"slices"

	"mulleinwood/internal/control/membership"
)

// found makes a machine one of the first start's voters.
func (n *node) found(voters []string) {
	n.disk.identity, n.disk.founders, n.disk.blank = membership.Identity(n.name, 0), voters, false
}

// awaitFounding makes a machine one of a first start whose voters are not known yet.
func (n *node) awaitFounding() {
	n.disk.identity, n.disk.blank = membership.Identity(n.name, 0), true
}

// nameVoters names the voters of a system that starts for the first time, where the seeds are too few to be all of them.
// One alone decides, the first of the seeds; the others learn it from each other.
func (w *world) nameVoters(n *node) {
	if w.day.Seeds == 0 || n.n != 0 || n.identity != n.name || len(n.founders) > 0 || 1+len(n.standings) < w.day.Members {
		return
	}
	voters := []string{n.name}
	for i := range n.standings {
		voters = append(voters, w.names[i])
	}
	slices.Sort(voters)
	w.bootstrap(n, voters[:w.day.Members])
}

// bootstrap takes the voters of a first start over, and tells all linked controllers once that is durable.
func (w *world) bootstrap(n *node, voters []string) {
	if n.identity != n.name || n.n >= w.day.Members || len(n.founders) > 0 || !n.member.Bootstrap(voters) {
		return
	}
	n.founders = voters
	w.persistSurely(n, func(d *disk) { d.founders = voters }, func() {
		for _, k := range w.wires {
			if k.up && k.a >= 0 && (k.a == n.n || k.b == n.n) {
				w.sayFounders(n, k)
			}
		}
	})
	w.applyMembership(n, n.member.Membership())
}

func (w *world) sayFounders(n *node, k *wire) {
	voters, to := n.founders, w.nodes[k.a+k.b-n.n]
	if len(voters) > 0 {
		w.wired(k, n.n, func() { w.bootstrap(to, voters) })
	}
}

// foundStore lets the store of a founder grant: under the identity of a first start it never granted anything before.
func (w *world) foundStore(n *node) {
	if n.identity == n.name && slices.Contains(n.membership.Voters, n.identity) {
		n.claimStore.FinishRecovery()
		w.persistSurely(n, func(d *disk) { d.blank = false }, func() {})
	}
}
