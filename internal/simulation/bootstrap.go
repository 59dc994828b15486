package simulation

import (
	"slices"

	"mulleinwood/internal/control/membership"
)

// bootstrap initializes a disk as one of the given bootstrap voters.
func (n *controller) bootstrap(voters []string) {
	n.disk.identity, n.disk.bootstrapVoters, n.disk.recovering = membership.Identity(n.name, 0), voters, false
}

// awaitBootstrap initializes a disk for a bootstrap whose voters aren't known yet.
func (n *controller) awaitBootstrap() {
	n.disk.identity, n.disk.recovering = membership.Identity(n.name, 0), true
}

// chooseBootstrapVoters selects the voters of a new cluster when there are too few seeds. Only the first seed decides; the
// other controllers learn the voters from their peers.
func (w *cluster) chooseBootstrapVoters(n *controller) {
	if w.scenario.Seeds == 0 || n.number != 0 || n.identity != n.name || len(n.bootstrapVoters) > 0 ||
		1+len(n.replicaStatuses) < w.scenario.Members {
		return
	}
	voters := []string{n.name}
	for i := range n.replicaStatuses {
		voters = append(voters, w.controllerNames[i])
	}
	slices.Sort(voters)
	w.handleBootstrapVoters(n, voters[:w.scenario.Members])
}

// handleBootstrapVoters adopts the bootstrap voters and sends them to all linked controllers once they are durable.
func (w *cluster) handleBootstrapVoters(n *controller, voters []string) {
	if n.identity != n.name || n.number >= w.scenario.Members || len(n.bootstrapVoters) > 0 || !n.replica.Bootstrap(voters) {
		return
	}
	n.bootstrapVoters = voters
	w.persistRetrying(n, func(d *disk) { d.bootstrapVoters = voters }, func() {
		for _, k := range w.links {
			if k.up && k.a >= 0 && (k.a == n.number || k.b == n.number) {
				w.sendBootstrapVoters(n, k)
			}
		}
	})
	w.applyMembership(n, n.replica.Membership())
}

func (w *cluster) sendBootstrapVoters(n *controller, k *link) {
	voters, to := n.bootstrapVoters, w.controllers[k.a+k.b-n.number]
	if len(voters) > 0 {
		w.sendOnLink(k, n.number, func() { w.handleBootstrapVoters(to, voters) })
	}
}

// finishRecoveryOfBootstrapVoter lets the claim store of a bootstrap voter grant. Under its initial identity it has granted
// nothing before.
func (w *cluster) finishRecoveryOfBootstrapVoter(n *controller) {
	if n.identity == n.name && slices.Contains(n.membership.Voters, n.identity) {
		n.claimStore.FinishRecovery()
		w.persistRetrying(n, func(d *disk) { d.recovering = false }, func() {})
	}
}
