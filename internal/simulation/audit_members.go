package simulation

import (
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

// settle is the users' settle_s: so long after a trouble's end, or a successor's start, the core has to be whole again.
const settleWithin = 6 * time.Second

// memberBooks are what the auditor notes of memberships, leaders, reads and kept answers.
type memberBooks struct {
	voters     consensus.Membership
	removed    map[string]uint64 // replicas that were voted out, and in which term
	leaders    map[uint64]string // of a term
	settleBy   time.Duration     // when the core has to be whole
	endedAt    time.Duration     // when the last trouble ended
	wholeSince time.Duration     // 0: it is not
	lastOrder  time.Duration     // acknowledged
	lastRun    time.Duration     // of a keyed operation
	newest     uint64            // version that was acknowledged
}

// auditMembership holds a committed membership against those before it.
func (w *world) auditMembership(e consensus.Entry) {
	m, former := *e.Membership, w.books.voters
	switch {
	case m.Epoch != former.Epoch+1 && former.Epoch > 0:
		w.broken("MEMBERS: epoch %d follows %d", m.Epoch, former.Epoch)
	case former.Joint() && (m.Joint() || !slices.Equal(m.Voters, former.Voters) && !slices.Equal(m.Voters, former.Next)):
		w.broken("MEMBERS: %v follows the change to %v", m, former.Next)
	case former.Epoch > 0 && !former.Joint() && !slices.Equal(m.Voters, former.Voters):
		w.broken("MEMBERS: voters change from %v to %v without a joint membership", former.Voters, m.Voters)
	case len(m.Voters) < w.day.Members:
		w.broken("MEMBERS: %d voters remain", len(m.Voters))
	}
	for _, id := range m.All() {
		if _, removed := w.books.removed[id]; removed {
			w.broken("MEMBERS: %s was voted out and is voted in again", id)
		}
	}
	for _, id := range former.All() {
		if !m.Contains(id) {
			w.books.removed[id] = e.Term
		}
	}
	w.books.voters = m
	w.result.Memberships += btoi(!m.Joint())
}

// auditLeader holds a leader against the others of its term, and against what was voted out before.
func (w *world) auditLeader(n *node) {
	if n.member.Role() != consensus.Leader {
		return
	}
	term, id := n.member.Term(), n.member.ID()
	if other, led := w.books.leaders[term]; led && other != id {
		w.broken("LEADER: %s and %s both lead in term %d", other, id, term)
	}
	w.books.leaders[term] = id
	if at, removed := w.books.removed[id]; removed && term > at {
		w.broken("REMOVED: %s was voted out in term %d and leads in term %d", id, at, term)
	}
}

// auditGrant holds a grant against what the store itself has applied durably: one that was voted out grants nothing.
func (w *world) auditGrant(n *node, v idempotency.GrantReply) {
	if v == idempotency.ReplyGranted && !n.disk.membership.Contains(n.identity) && n.disk.membership.Epoch > 0 {
		w.broken("REMOVED: %s has applied membership %d, which it is no part of, and grants a claim", n.identity, n.disk.membership.Epoch)
	}
}

// auditRead holds what a read answered against what was acknowledged before it began.
func (w *world) auditRead(n *node, version, acknowledged uint64) {
	w.result.Reads++
	if version < acknowledged {
		w.broken("READ: %s answers r%d, r%d was acknowledged before the call began", n.name, version, acknowledged)
	}
}

// auditHandOver holds a controller that ends in order, and was replaced, against its promise: the answers that it kept
// are kept elsewhere.
func (w *world) auditHandOver(n *node) {
	if !n.retired || n.departure.handedOver > 0 && !n.departure.synced {
		return // nobody took them in time
	}
	for _, r := range n.answers() {
		kept := slices.ContainsFunc(w.nodes, func(o *node) bool {
			return o != n && !o.gone && o.claimStore.Response(r.Key, r.Token) != nil
		})
		if w.result.HandedOver++; !kept {
			w.broken("KEPT: %s ended in order and took the only copy of an answer along", n.name)
		}
	}
}

// wanting says what the core lacks to bear its losses again; empty: nothing.
func (w *world) wanting() string {
	var leader *node
	for _, n := range w.nodes {
		if w.running(n.n) && n.member.Role() == consensus.Leader && n.member.HasQuorumContact(w.now) {
			leader = n
		}
	}
	if leader == nil {
		return "nobody leads"
	}
	m := leader.member.Membership()
	switch {
	case m.Joint() || !leader.member.MembershipCommitted():
		return "a change of the membership is under way"
	case len(m.Voters) != w.day.Members:
		return fmt.Sprintf("%d voters", len(m.Voters))
	}
	for _, id := range m.Voters {
		n := leader
		if id != leader.identity {
			n = w.replicaAt(leader, id)
		}
		switch {
		case n == nil:
			return id + " is not linked"
		case !w.running(n.n):
			return id + " is down"
		case n.leaving:
			return id + " leaves"
		case n.claimStore.Recovering():
			return id + "'s store of claims is not ready"
		case n.epoch != m.Epoch:
			return id + " has not applied the membership"
		case n.member.Commit()+caughtUpLag < leader.member.Commit():
			return id + " lags"
		}
	}
	return ""
}

// auditWhole looks whether the core is whole again in time after the last trouble.
func (w *world) auditWhole() {
	if !w.day.Settles || w.now%(50*time.Millisecond) != 0 {
		return
	}
	wants := w.wanting()
	if wants != "" {
		if w.books.wholeSince = 0; w.now >= w.books.settleBy {
			w.broken("WHOLE: %s, %s after the last trouble", wants, w.now-w.books.endedAt)
		}
		return
	}
	if w.books.wholeSince == 0 {
		if w.books.wholeSince = w.now; w.now > w.books.endedAt && w.books.endedAt > 0 {
			w.result.Whole = append(w.result.Whole, w.now-w.books.endedAt)
		}
	}
}

// auditEnd looks whether orders and claims were taken once all troubles were over.
func (w *world) auditEnd() {
	if !w.day.Settles {
		return
	}
	switch {
	case w.books.lastOrder < w.books.settleBy:
		w.broken("STUCK: no order was acknowledged after the last trouble")
	case w.books.lastRun < w.books.settleBy:
		w.broken("STUCK: no keyed operation ran after the last trouble")
	}
}

// troubled notes until when a trouble lasts.
func (w *world) troubled(until time.Duration) {
	w.books.endedAt = max(w.books.endedAt, until)
	w.books.settleBy = max(w.books.settleBy, until+settleWithin)
	w.coreCalm = max(w.coreCalm, until+contact)
}
