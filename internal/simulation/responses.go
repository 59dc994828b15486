package simulation

import (
	"slices"
	"time"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
)

// Timeouts and limits of responses, as in the programs.
const (
	replicationHedgeDelay = 500 * time.Millisecond
	replicationTimeout    = 3 * time.Second
	responseQueryTimeout  = 300 * time.Millisecond
	maxUnconfirmedBytes   = 8 << 20
	maxResponseBatchBytes = 256 << 10
)

// responseState holds a controller's part in the replication of responses.
type responseState struct {
	replication *idempotency.Coordinator
	senders     map[idempotency.Token]*edge // edges that get the confirmation
	backfill    *idempotency.Backfill       // nil if no response is missing
	storing     bool                        // the last reply to the backfill is not durable yet
}

// startResponses initializes the responses of a controller that starts.
func (w *cluster) startResponses(n *controller) {
	n.responseState = responseState{replication: idempotency.NewCoordinator(nil, replicationHedgeDelay, replicationTimeout),
		senders: map[idempotency.Token]*edge{}}
	if !n.claimStore.Recovering() {
		w.startBackfill(n)
	}
}

// keepResponse buffers the response of a keyed operation at its edge, and sends it to the edge's controller.
func (w *cluster) keepResponse(e *edge, r idempotency.Record) {
	r.Response = responseOf(r.Token)
	e.unconfirmed.Add(r, w.now)
	w.auditAnswer(e, r)
	w.sendResponses(e)
}

// sendResponses sends the due responses of an edge to its controller.
func (w *cluster) sendResponses(e *edge) {
	if e.controller == nowhere {
		return
	}
	k := w.linkBetween(e.controller, -1-e.number)
	if k == nil {
		return
	}
	n, due := w.controllers[e.controller], e.unconfirmed.Due(w.now, maxResponseBatchBytes)
	if len(due) == 0 {
		return
	}
	w.sendOnLink(k, -1-e.number, func() {
		for _, r := range due {
			w.replicateResponse(n, e, r)
		}
	})
}

// replicateResponse has a majority of the claim stores hold the response that an edge sent.
func (w *cluster) replicateResponse(n *controller, e *edge, r idempotency.Record) {
	fault := w.scenario.PlantedFault
	if fault == "one store keeps an answer" || fault == "a leaving controller keeps its answers" && n.shuttingDown {
		w.storeResponse(n, r, n.epoch, func(idempotency.GrantReply) { w.confirmResponse(n, e, r.Token) })
		return
	}
	if len(n.membership.Voters) == 0 {
		return // the edge sends it again
	}
	n.senders[r.Token] = e
	w.sendResponseCopies(n, n.replication.Start(r, w.now))
}

// sendResponseCopies sends responses to claim stores.
func (w *cluster) sendResponseCopies(n *controller, requests []idempotency.GrantRequest) {
	for _, request := range requests {
		r, epoch := request.Record, n.membership.Epoch
		if request.To == n.identity {
			w.storeResponse(n, r, epoch, func(v idempotency.GrantReply) { w.handleResponseReply(n, request.To, r.Token, v) })
			continue
		}
		to := w.replicaAt(n, request.To)
		if to == nil {
			w.handleResponseReply(n, request.To, r.Token, idempotency.ReplyUnavailable)
			continue
		}
		w.send(n.number, to.number, func() {
			w.storeResponse(to, r, epoch, func(v idempotency.GrantReply) {
				from := to.identity
				w.send(to.number, n.number, func() { w.handleResponseReply(n, from, r.Token, v) })
			})
		})
	}
}

// storeResponse stores a response in a claim store, and replies once it is durable.
func (w *cluster) storeResponse(n *controller, r idempotency.Record, epoch uint64, reply func(idempotency.GrantReply)) {
	if w.isFenced(n, epoch) {
		reply(idempotency.ReplyStaleEpoch)
		return
	}
	r.ResponseHolder = n.name
	stored, durable := n.claimStore.StoreResponse(r, w.now)
	switch {
	case !stored:
		reply(idempotency.ReplyUnavailable)
		return
	case durable:
		reply(idempotency.ReplyGranted)
		return
	case w.scenario.PlantedFault == "an answer is confirmed before it is stored":
		reply(idempotency.ReplyGranted)
		return
	}
	w.persist(n, func(d *disk) { d.records = append(d.records, r) }, func(ok bool) {
		if !ok {
			reply(idempotency.ReplyUnavailable)
			return
		}
		n.claimStore.MarkResponseDurable(r.Key, r.Token)
		reply(idempotency.ReplyGranted)
	})
}

func (w *cluster) handleResponseReply(n *controller, from string, token idempotency.Token, v idempotency.GrantReply) {
	requests, result := n.replication.HandleReply(from, token, v, idempotency.Record{})
	w.sendResponseCopies(n, requests)
	if result != nil {
		w.finishResponse(n, *result)
	}
}

// finishResponse confirms a response to its edge once a majority of the claim stores holds it.
func (w *cluster) finishResponse(n *controller, result idempotency.Result) {
	e := n.senders[result.Token]
	delete(n.senders, result.Token)
	if e != nil && result.Outcome == idempotency.OutcomeGranted {
		w.confirmResponse(n, e, result.Token)
	}
}

func (w *cluster) finishResponses(n *controller, results []idempotency.Result) {
	for _, result := range results {
		w.finishResponse(n, result)
	}
}

func (w *cluster) confirmResponse(n *controller, e *edge, token idempotency.Token) {
	if k := w.linkBetween(n.number, -1-e.number); k != nil {
		w.sendOnLink(k, n.number, func() {
			e.unconfirmed.Confirm([]idempotency.Token{token})
			w.auditConfirmation(token)
		})
	}
}

// tickResponses runs the periodic work of a controller's responses.
func (w *cluster) tickResponses(n *controller) {
	requests, results := n.replication.Tick(w.now)
	w.sendResponseCopies(n, requests)
	w.finishResponses(n, results)
	w.stepBackfill(n)
}

// startBackfill starts to fetch the responses that are missing for imported claims.
func (w *cluster) startBackfill(n *controller) {
	missing := n.claimStore.MissingResponses()
	if len(missing) > 0 && w.scenario.PlantedFault != "a successor copies no answers" {
		n.backfill = idempotency.NewBackfill(missing, w.now+keyWindow)
	}
}

// stepBackfill sends the next query of a backfill, if one is due.
func (w *cluster) stepBackfill(n *controller) {
	if n.backfill == nil || n.storing {
		return
	}
	source, query := n.backfill.Next(w.linkedControllerNames(n), n.claimStore.MissesResponse, w.now)
	if len(query) == 0 {
		others := slices.DeleteFunc(membership.Addresses(n.membership.All()), func(name string) bool { return name == n.name })
		if n.backfill.Done(others, w.now) {
			n.backfill = nil
		}
		return
	}
	from, current := w.controllers[slices.Index(w.controllerNames, source)], n.backfill
	w.send(n.number, from.number, func() {
		replies := responsesOfKeys(from, query)
		w.send(from.number, n.number, func() {
			if n.backfill == current {
				w.storeBackfilled(n, current.HandleReplies(source, replies))
			}
		})
	})
}

// storeBackfilled stores fetched responses. The next query is sent once they are durable.
func (w *cluster) storeBackfilled(n *controller, found []idempotency.Record) {
	var imported []idempotency.Record
	for _, r := range found {
		if stored, ok := n.claimStore.ImportResponse(r, w.now); ok {
			imported = append(imported, stored)
		}
	}
	if len(imported) == 0 {
		return
	}
	n.storing = true
	w.persistRetrying(n, func(d *disk) { d.records = append(d.records, imported...) }, func() {
		n.storing = false
		for _, r := range imported {
			n.claimStore.MarkResponseDurable(r.Key, r.Token)
		}
	})
}

// linkedControllerNames returns the names of the controllers to which a controller has a link.
func (w *cluster) linkedControllerNames(n *controller) (names []string) {
	for number, name := range w.controllerNames {
		if _, linked := n.replicaStatuses[number]; linked {
			names = append(names, name)
		}
	}
	return names
}

// responsesOfKeys returns a controller's replies to queries for the responses of keys.
func responsesOfKeys(n *controller, query []idempotency.Record) (replies []idempotency.Record) {
	for _, r := range query {
		if ran, ok := n.claimStore.ResponseOfKey(r.Key); ok {
			r = ran
		}
		replies = append(replies, r)
	}
	return replies
}

// findResponse looks for the response of the claim that holds a key, and calls done with it, or with nil if there is none. If it
// isn't known that a majority granted the claim, a response of another claim of the key will do.
func (w *cluster) findResponse(n *controller, conflict idempotency.Result, done func(*idempotency.Response)) {
	claim := conflict.Holder
	ofClaim := func(at *controller) *idempotency.Response { return at.claimStore.Response(claim.Key, claim.Token) }
	ofKey := func(at *controller) *idempotency.Response {
		ran, _ := at.claimStore.ResponseOfKey(claim.Key)
		return ran.Response
	}
	w.askAll(n, ofClaim, func(response *idempotency.Response) {
		if response != nil || conflict.HolderGranted {
			done(response)
			return
		}
		w.askAll(n, ofKey, done)
	})
}

// askAll looks for a response here and at all linked controllers, and calls done with the first one, or with nil if none
// replies with one in time.
func (w *cluster) askAll(n *controller, lookUp func(*controller) *idempotency.Response, done func(*idempotency.Response)) {
	if response := lookUp(n); response != nil {
		done(response)
		return
	}
	finished, pending, incarnation := false, 0, n.incarnation
	finish := func(response *idempotency.Response) {
		if !finished && n.incarnation == incarnation {
			finished = true
			done(response)
		}
	}
	for number, other := range w.controllers {
		k := w.linkBetween(n.number, number)
		if number == n.number || k == nil {
			continue
		}
		pending++
		w.sendOnLink(k, n.number, func() {
			reply := lookUp(other)
			w.sendOnLink(k, number, func() {
				if pending--; reply != nil || pending == 0 {
					finish(reply)
				}
			})
		})
	}
	w.scheduleAfter(responseQueryTimeout, func() { finish(nil) })
}
