package simulation

import (
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

// recoveryTimeout is the time after the end of a fault, or the start of a replacement, within which full fault tolerance
// must be restored. It equals the setting settle_s.
const recoveryTimeout = 6 * time.Second

// membershipAudit records memberships, leaders, reads and handed-over responses.
type membershipAudit struct {
	voters           consensus.Membership
	removed          map[string]uint64 // by identity: the term in which the replica was voted out
	leaders          map[uint64]string // by term
	recoveryDeadline time.Duration     // when full fault tolerance must be restored
	faultsEndAt      time.Duration     // when the last fault ends
	completeSince    time.Duration     // 0: full fault tolerance isn't restored
	lastChangeAt     time.Duration     // when the last change was acknowledged
	lastRunAt        time.Duration     // when the last keyed operation ran
	newestVersion    uint64            // newest acknowledged version
}

// auditMembership checks a committed membership against the previous one.
func (w *cluster) auditMembership(e consensus.Entry) {
	m, previous := *e.Membership, w.membershipAudit.voters
	switch {
	case m.Epoch != previous.Epoch+1 && previous.Epoch > 0:
		w.fail("MEMBERS: epoch %d follows %d", m.Epoch, previous.Epoch)
	case previous.Joint() && (m.Joint() || !slices.Equal(m.Voters, previous.Voters) && !slices.Equal(m.Voters, previous.Next)):
		w.fail("MEMBERS: %v doesn't end the change to %v", m, previous.Next)
	case previous.Epoch > 0 && !previous.Joint() && !slices.Equal(m.Voters, previous.Voters):
		w.fail("MEMBERS: voters change from %v to %v without a joint membership", previous.Voters, m.Voters)
	case len(m.Voters) < w.scenario.Members:
		w.fail("MEMBERS: %d voters remain", len(m.Voters))
	}
	for _, id := range m.All() {
		if _, removed := w.membershipAudit.removed[id]; removed {
			w.fail("MEMBERS: %s was removed and is added again", id)
		}
	}
	for _, id := range previous.All() {
		if !m.Contains(id) {
			w.membershipAudit.removed[id] = e.Term
		}
	}
	w.membershipAudit.voters = m
	w.result.Memberships += oneIf[!m.Joint()]
}

// auditLeader checks that a term has one leader, and that a removed replica doesn't lead in a later term.
func (w *cluster) auditLeader(n *controller) {
	if n.replica.Role() != consensus.Leader {
		return
	}
	term, id := n.replica.Term(), n.replica.ID()
	if other, led := w.membershipAudit.leaders[term]; led && other != id {
		w.fail("LEADER: %s and %s both lead in term %d", other, id, term)
	}
	w.membershipAudit.leaders[term] = id
	if at, removed := w.membershipAudit.removed[id]; removed && term > at {
		w.fail("REMOVED: %s was removed in term %d and leads in term %d", id, at, term)
	}
}

// auditGrant checks that a replica grants no claim once it has durably applied a membership without it.
func (w *cluster) auditGrant(n *controller, v idempotency.GrantReply) {
	if v == idempotency.ReplyGranted && !n.disk.membership.Contains(n.identity) && n.disk.membership.Epoch > 0 {
		w.fail("REMOVED: %s has applied membership %d, which doesn't contain it, and granted a claim", n.identity,
			n.disk.membership.Epoch)
	}
}

// auditRead checks that a read returns at least the version that was acknowledged before it began.
func (w *cluster) auditRead(n *controller, version, acknowledged uint64) {
	w.result.Reads++
	if version < acknowledged {
		w.fail("READ: %s returned r%d although r%d was acknowledged before the call began", n.name, version, acknowledged)
	}
}

// auditHandOver checks that the stored responses of a controller that shuts down after it was replaced also exist on another
// controller.
func (w *cluster) auditHandOver(n *controller) {
	if !n.retired || n.shutdown.handOverStartedAt > 0 && !n.shutdown.synced {
		return // no controller accepted them in time
	}
	for _, r := range n.keptResponses() {
		kept := slices.ContainsFunc(w.controllers, func(o *controller) bool {
			return o != n && !o.removed && o.claimStore.Response(r.Key, r.Token) != nil
		})
		if w.result.HandedOver++; !kept {
			w.fail("KEPT: %s shut down with the only copy of a response", n.name)
		}
	}
}

// leader returns the running leader that has contact with a majority, or nil.
func (w *cluster) leader() (leader *controller) {
	for _, n := range w.controllers {
		if w.isRunning(n.number) && n.replica.Role() == consensus.Leader && n.replica.HasQuorumContact(w.now) {
			leader = n
		}
	}
	return leader
}

// missingVoters describes what is missing for full fault tolerance; empty: nothing.
func (w *cluster) missingVoters() string {
	leader := w.leader()
	if leader == nil {
		return "no leader"
	}
	membership := leader.replica.Membership()
	switch {
	case membership.Joint() || !leader.replica.MembershipCommitted():
		return "a membership change is in progress"
	case len(membership.Voters) != w.scenario.Members:
		return fmt.Sprintf("%d voters", len(membership.Voters))
	}
	for _, id := range membership.Voters {
		n := leader
		if id != leader.identity {
			n = w.replicaAt(leader, id)
		}
		switch {
		case n == nil:
			return id + " is not linked"
		case !w.isRunning(n.number):
			return id + " is down"
		case n.shuttingDown:
			return id + " is shutting down"
		case n.claimStore.Recovering():
			return id + "'s claim store is recovering"
		case n.epoch != membership.Epoch:
			return id + " has not applied the membership"
		case n.replica.CommitIndex()+maxCaughtUpLag < leader.replica.CommitIndex():
			return id + " lags behind"
		}
	}
	return ""
}

// auditRecovery checks that full fault tolerance is restored in time after the last fault.
func (w *cluster) auditRecovery() {
	if !w.scenario.MustRecover || w.now%(50*time.Millisecond) != 0 {
		return
	}
	missing := w.missingVoters()
	if missing != "" {
		if w.membershipAudit.completeSince = 0; w.now >= w.membershipAudit.recoveryDeadline {
			w.fail("WHOLE: %s, %s after the last fault", missing, w.now-w.membershipAudit.faultsEndAt)
		}
		return
	}
	if w.membershipAudit.completeSince == 0 {
		if w.membershipAudit.completeSince = w.now; w.now > w.membershipAudit.faultsEndAt && w.membershipAudit.faultsEndAt > 0 {
			w.result.RecoveryTimes = append(w.result.RecoveryTimes, w.now-w.membershipAudit.faultsEndAt)
		}
	}
}

// auditEnd checks that a change was acknowledged and a keyed operation ran after the deadline for recovery.
func (w *cluster) auditEnd() {
	if !w.scenario.MustRecover {
		return
	}
	switch {
	case w.membershipAudit.lastChangeAt < w.membershipAudit.recoveryDeadline:
		w.fail("STUCK: no change was acknowledged after the last fault")
	case w.membershipAudit.lastRunAt < w.membershipAudit.recoveryDeadline:
		w.fail("STUCK: no keyed operation ran after the last fault")
	}
}

// extendRecoveryDeadline records the end of a fault and extends the deadline for recovery.
func (w *cluster) extendRecoveryDeadline(until time.Duration) {
	w.membershipAudit.faultsEndAt = max(w.membershipAudit.faultsEndAt, until)
	w.membershipAudit.recoveryDeadline = max(w.membershipAudit.recoveryDeadline, until+recoveryTimeout)
	w.stableSince = max(w.stableSince, until+stabilizationTime)
}
