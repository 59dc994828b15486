package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/config"
	"mulleinwood/internal/control/idempotency"
)

// requestGrant submits a claim to a controller's claim store. A grant is reported once it is durable. A request under an
// epoch older than the newest durable one is rejected as stale.
func (w *cluster) requestGrant(n *controller, r idempotency.Record, epoch uint64,
	reply func(idempotency.GrantReply, idempotency.Record)) {
	if w.isFenced(n, epoch) {
		reply(idempotency.ReplyStaleEpoch, idempotency.Record{})
		return
	}
	verdict, holder, store := n.claimStore.Grant(r, w.now)
	if !store {
		reply(verdict, holder)
		return
	}
	if w.scenario.PlantedFault == "grants before storing" {
		reply(verdict, holder)
	}
	w.persist(n, func(d *disk) { d.records = append(d.records, r) }, func(ok bool) {
		if !ok {
			n.claimStore.MarkFailed(r.Key, r.Token)
		}
		if !ok || !n.claimStore.MarkDurable(r.Key, r.Token) {
			verdict = idempotency.ReplyUnavailable
		}
		if w.scenario.PlantedFault != "grants before storing" {
			w.auditGrant(n, verdict)
			reply(verdict, holder)
		}
	})
}

// isFenced reports whether a store rejects requests under an epoch.
func (w *cluster) isFenced(n *controller, epoch uint64) bool {
	switch w.scenario.PlantedFault {
	case "a store without the epoch fence":
		return false
	case "a removed member grants":
		return epoch < n.epoch && n.membership.Contains(n.identity)
	}
	return epoch < n.epoch
}

// sendGrantRequests sends claims to claim stores. A reply counts for the replica identity that the store has when it
// replies.
func (w *cluster) sendGrantRequests(n *controller, requests []idempotency.GrantRequest) {
	for _, a := range requests {
		r, epoch := a.Record, n.membership.Epoch
		if a.To == n.identity {
			w.requestGrant(n, r, epoch, func(v idempotency.GrantReply, holder idempotency.Record) {
				w.handleGrantReply(n, a.To, r.Token, v, holder)
			})
			continue
		}
		to := w.replicaAt(n, a.To)
		if to == nil {
			w.handleGrantReply(n, a.To, r.Token, idempotency.ReplyUnavailable, idempotency.Record{})
			continue
		}
		w.send(n.number, to.number, func() {
			w.requestGrant(to, r, epoch, func(v idempotency.GrantReply, holder idempotency.Record) {
				from := to.identity
				w.send(to.number, n.number, func() { w.handleGrantReply(n, from, r.Token, v, holder) })
			})
		})
	}
}

func (w *cluster) handleGrantReply(n *controller, from string, token idempotency.Token, v idempotency.GrantReply,
	holder idempotency.Record) {
	more, done := n.coordinator.HandleReply(from, token, v, holder)
	w.sendGrantRequests(n, more)
	if done != nil {
		w.finishClaim(n, *done)
	}
}

func (w *cluster) finishClaim(n *controller, o idempotency.Result) {
	reply := n.claims[o.Token]
	if reply == nil {
		return
	}
	delete(n.claims, o.Token)
	if o.Outcome != idempotency.OutcomeConflict {
		reply(o.Outcome, nil)
		return
	}
	w.findResponse(n, o, func(response *idempotency.Response) { reply(o.Outcome, response) })
}

// serveClients starts keyed operations at an edge, with new keys and with keys that were attempted before, here or at
// another edge. It also hedges, gives up and revokes pending claims.
func (w *cluster) serveClients(e *edge) {
	if e.frozenUntil > w.now {
		return
	}
	if w.rng.IntN(6) == 0 {
		w.startClaim(e, idempotency.KeyOf(w.tenantOfClient(), fmt.Sprint(w.rng.IntN(40), "-", w.now/(4*time.Second))))
	}
	if w.rng.IntN(lateRepeatTicks) == 0 && len(w.answers) > 0 {
		w.startClaim(e, w.answers[w.rng.IntN(len(w.answers))].key)
	}
	w.sendResponses(e)
	var pending []*claim
	for _, c := range e.pendingClaims {
		pending = append(pending, c)
	}
	slices.SortFunc(pending, func(a, b *claim) int { return cmp.Compare(a.record.Token.Sequence, b.record.Token.Sequence) })
	for _, c := range pending {
		switch age := w.now - c.startedAt; {
		case age > edgeClaimTimeout:
			w.revokeClaim(e, c)
		case age > edgeHedgeDelay && !c.hedged:
			c.hedged = true
			w.requestClaim(e, c.record, w.otherController(w.controllerOrDefault(e, nowhere)))
		}
	}
	e.revocations = slices.DeleteFunc(e.revocations, func(v revocation) bool { return w.now-v.revokedAt > revocationRetention })
	for i := range e.revocations {
		if v := &e.revocations[i]; w.now-v.sentAt > time.Second {
			v.sentAt = w.now
			w.sendRevocation(e, v.record)
		}
	}
}

// hostForms are the forms in which clients write the host of the one tenant.
var hostForms = []string{"t.example", "T.Example", "t.example:80", "t.example:8641", "t.example."}

// tenantOfClient returns the tenant of a client's request, whose host has one form after the other.
func (w *cluster) tenantOfClient() string {
	tenant, err := config.TenantOf(hostForms[w.nextKey%uint64(len(hostForms))])
	if err != nil {
		w.fail("FAULT: %v", err)
	}
	return tenant
}

// startClaim has an edge claim a key, which may have been attempted before.
func (w *cluster) startClaim(e *edge, key idempotency.Key) {
	if w.attempted[key] {
		w.result.Repeats++
	}
	w.attempted[key] = true
	w.nextKey++
	r := idempotency.Record{Key: key, Token: idempotency.Token{Incarnation: uint64(e.number + 1), Sequence: w.nextKey}}
	e.pendingClaims[r.Token] = &claim{record: r, startedAt: w.now, stable: w.isStable() && e.stableSince <= w.now}
	w.requestClaim(e, r, w.controllerOrDefault(e, w.anyController()))
}

// controllerOrDefault returns the controller that an edge is attached to, or fallback if there is none.
func (w *cluster) controllerOrDefault(e *edge, fallback int) int {
	if e.controller == nowhere {
		return fallback
	}
	return e.controller
}

// requestClaim asks a controller for a claim on a key.
func (w *cluster) requestClaim(e *edge, r idempotency.Record, at int) {
	e.pendingClaims[r.Token].outstanding++
	n := w.controllers[at]
	w.send(-1-e.number, at, func() {
		incarnation := e.incarnation
		n.claims[r.Token] = func(outcome idempotency.Outcome, response *idempotency.Response) {
			w.send(at, -1-e.number, func() {
				if e.incarnation == incarnation {
					w.handleOutcome(e, r, outcome, response)
				}
			})
		}
		if len(n.membership.Voters) == 0 {
			w.finishClaim(n, idempotency.Result{Token: r.Token, Outcome: idempotency.OutcomeUndecided})
			return
		}
		w.sendGrantRequests(n, n.coordinator.Start(idempotency.Record{Key: r.Key, Token: r.Token, ResponseHolder: n.name}, w.now))
	})
}

// handleOutcome handles the outcome of a claim at an edge. The first decisive outcome counts.
func (w *cluster) handleOutcome(e *edge, r idempotency.Record, outcome idempotency.Outcome, response *idempotency.Response) {
	c := e.pendingClaims[r.Token]
	if c == nil {
		return
	}
	if c.outstanding--; outcome == idempotency.OutcomeUndecided && c.outstanding > 0 {
		return
	}
	if outcome == idempotency.OutcomeConflict {
		w.auditRepeat(e, c, response)
	}
	if outcome != idempotency.OutcomeGranted {
		w.revokeClaim(e, c)
		return
	}
	delete(e.pendingClaims, r.Token)
	if w.rng.IntN(10) == 0 { // the server proves that the operation didn't run
		e.revocations = append(e.revocations, revocation{r, w.now, 0})
		return
	}
	w.result.Runs++
	if w.runs[r.Key]++; w.runs[r.Key] > 1 {
		w.result.Violation = fmt.Sprintf("TWICE: the operation of a key ran twice, the second time at %s", w.now)
	}
	w.membershipAudit.lastRunAt = w.now
	incarnation := e.incarnation
	w.scheduleAfter(time.Duration(20+w.rng.IntN(60))*time.Millisecond, func() {
		if e.incarnation == incarnation { // else the client got no response
			w.keepResponse(e, r)
		}
	})
	if w.scenario.PlantedFault == "withdraws what ran" && w.rng.IntN(4) == 0 {
		e.revocations = append(e.revocations, revocation{r, w.now, 0})
	}
}

func (w *cluster) revokeClaim(e *edge, c *claim) {
	delete(e.pendingClaims, c.record.Token)
	e.revocations = append(e.revocations, revocation{c.record, w.now, 0})
}

func (w *cluster) sendRevocation(e *edge, r idempotency.Record) {
	for _, n := range w.controllers {
		w.send(-1-e.number, n.number, func() {
			if line, store := n.claimStore.Revoke(r.Key, r.Token, w.now); store {
				w.persist(n, func(d *disk) { d.records = append(d.records, line) }, func(bool) {})
			}
		})
	}
}
