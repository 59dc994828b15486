package simulation

import (
	"fmt"
	"slices"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
)

// handleMessage delivers a message to its receiver.
func (s *boundedModel) handleMessage(to int, m modelMessage) {
	if to >= modelNodes {
		s.handleOutcome(to-modelNodes, m.Outcome)
		return
	}
	n := &s.Nodes[to]
	switch m.Kind {
	case "claim":
		s.sendGrantRequests(to, n.Coordinator.Start(m.Record, 0))
	case "ask":
		s.requestGrant(to, m.From, m.Record, m.Epoch)
	case "verdict":
		s.handleGrantReply(to, m.Identity, m.Record, m.Reply, m.Holder)
	case "void":
		if line, store := n.Store.Revoke(m.Record.Key, m.Record.Token, 0); store {
			n.Writes = append(n.Writes, modelWrite{Records: []idempotency.Record{line}})
		}
	case "copy":
		s.sendCopy(to, m)
	case "copied":
		s.importCopy(to, m)
	}
}

// handleOutcome delivers the outcome of a claim to an edge.
func (s *boundedModel) handleOutcome(edge int, outcome idempotency.Outcome) {
	e := &s.Edges[edge]
	if e.Finished {
		return
	}
	if outcome != idempotency.OutcomeGranted {
		s.revoke(edge)
		return
	}
	e.Finished = true
	if s.Runs++; s.Runs > 1 {
		s.Violation = "TWICE: both edges ran the operation of the key"
	}
	if s.bounds.PlantedFault == "withdraws what ran" {
		s.revoke(edge)
	}
}

func (s *boundedModel) sendCopy(at int, m modelMessage) {
	n := &s.Nodes[at]
	early := s.membership(at).Epoch != m.Epoch || n.Epoch < m.Epoch
	if early && s.bounds.PlantedFault != "copies are sent before the joint membership" || n.Store.Recovering() ||
		!slices.Contains(s.membership(at).Voters, n.Identity) {
		s.Nodes[m.From].CopyRequested = false // the replica repeats its request
		return
	}
	var all []idempotency.Record
	n.Store.EachClaim(func(r idempotency.Record) { all = append(all, r) })
	s.send(at, m.From, modelMessage{Kind: "copied", Records: all, Epoch: m.Epoch})
}

func (s *boundedModel) importCopy(at int, m modelMessage) {
	n := &s.Nodes[at]
	if !s.isEntering(at) || m.Epoch != s.membership(at).Epoch || slices.Contains(n.Copied, m.Identity) {
		return
	}
	w := modelWrite{}
	for _, r := range m.Records {
		w.Records = append(w.Records, n.Store.Import(r, 0))
	}
	n.Copied = append(slices.Clip(n.Copied), m.Identity)
	slices.Sort(n.Copied)
	previous := consensus.Membership{Voters: s.membership(at).Voters}
	w.RecoveryComplete = previous.HasQuorum(func(id string) bool { return slices.Contains(n.Copied, id) }) ||
		s.bounds.PlantedFault == "restored from one"
	n.Writes = append(n.Writes, w)
}

func (s *boundedModel) sendGrantRequests(from int, requests []idempotency.GrantRequest) {
	for _, a := range requests {
		epoch, to := s.membership(from).Epoch, s.nodeOf(a.To)
		switch {
		case to == from:
			s.requestGrant(from, from, a.Record, epoch)
		case to < 0:
			s.handleGrantReply(from, a.To, a.Record, idempotency.ReplyUnavailable, idempotency.Record{})
		default:
			s.send(from, to, modelMessage{Kind: "ask", Record: a.Record, Epoch: epoch})
		}
	}
}

func (s *boundedModel) requestGrant(at, requester int, r idempotency.Record, epoch uint64) {
	n := &s.Nodes[at]
	if epoch < n.Epoch && s.bounds.PlantedFault != "a store without the epoch fence" {
		s.sendGrantReply(at, requester, r, idempotency.ReplyStaleEpoch, idempotency.Record{})
		return
	}
	v, holder, store := n.Store.Grant(r, 0)
	if !store || s.bounds.PlantedFault == "grants before storing" {
		s.sendGrantReply(at, requester, r, v, holder)
	}
	if store {
		n.Writes = append(n.Writes, modelWrite{Records: []idempotency.Record{r}, Claim: true, Requester: requester, Record: r})
	}
}

func (s *boundedModel) sendGrantReply(at, requester int, r idempotency.Record, v idempotency.GrantReply,
	holder idempotency.Record) {
	if requester == at {
		s.handleGrantReply(at, s.Nodes[at].Identity, r, v, holder)
	} else {
		s.send(at, requester, modelMessage{Kind: "verdict", Record: r, Reply: v, Holder: holder})
	}
}

func (s *boundedModel) handleGrantReply(at int, from string, r idempotency.Record, v idempotency.GrantReply,
	holder idempotency.Record) {
	requests, done := s.Nodes[at].Coordinator.HandleReply(from, r.Token, v, holder)
	s.sendGrantRequests(at, requests)
	if done != nil {
		s.finishClaim(at, *done)
	}
}

func (s *boundedModel) finishClaim(at int, o idempotency.Result) {
	s.send(at, modelNodes-1+int(o.Token.Incarnation), modelMessage{Kind: "ruling", Outcome: o.Outcome})
}

// handleWritten makes the first batch that waits for a node's disk durable.
func (s *boundedModel) handleWritten(at int) {
	n := &s.Nodes[at]
	w := n.Writes[0]
	n.Writes = n.Writes[1:]
	n.Disk.Records = append(slices.Clip(n.Disk.Records), w.Records...)
	if w.Applied > 0 {
		s.appliedDurably(at, w)
	}
	if w.RecoveryComplete && n.Store.Recovering() && s.isEntering(at) {
		n.Disk.Recovering = false
		n.Store.FinishRecovery()
	}
	if w.Claim && s.bounds.PlantedFault != "grants before storing" {
		v := idempotency.ReplyGranted
		if !n.Store.MarkDurable(w.Record.Key, w.Record.Token) {
			v = idempotency.ReplyUnavailable
		}
		s.sendGrantReply(at, w.Requester, w.Record, v, idempotency.Record{})
	}
}

// appliedDurably completes the application of a membership. A replica that was voted out draws a new identity.
func (s *boundedModel) appliedDurably(at int, w modelWrite) {
	n := &s.Nodes[at]
	n.Disk.Applied, n.Epoch = w.Applied, s.Log[w.Applied].Epoch
	if !w.Retired {
		return
	}
	previous := n.Identity
	n.DisksLost++
	n.Identity = membership.Identity(fmt.Sprint(at), uint64(n.DisksLost))
	n.Disk.Identity, n.Disk.Recovering = n.Identity, true
	s.discardGrants(previous)
	s.setStores(at)
}
