package simulation

import (
	"fmt"
	"slices"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
)

// take gives a message to its receiver.
func (s *small) take(to int, m note) {
	if to >= smallNodes {
		s.heard(to-smallNodes, m.Ruling)
		return
	}
	n := &s.Nodes[to]
	switch m.Kind {
	case "claim":
		s.ask(to, n.Coordinator.Start(m.Record, 0))
	case "ask":
		s.judge(to, m.From, m.Record, m.Epoch)
	case "verdict":
		s.verdict(to, m.Identity, m.Record, m.Verdict, m.Holder)
	case "void":
		if line, store := n.Store.Revoke(m.Record.Key, m.Record.Token, 0); store {
			n.Writes = append(n.Writes, smallWrite{Records: []idempotency.Record{line}})
		}
	case "copy":
		s.sendCopy(to, m)
	case "copied":
		s.takeCopy(to, m)
	}
}

// heard gives an edge a ruling.
func (s *small) heard(edge int, ruling idempotency.Outcome) {
	e := &s.Edges[edge]
	if e.Over {
		return
	}
	if ruling != idempotency.OutcomeGranted {
		s.void(edge)
		return
	}
	e.Over = true
	if s.Runs++; s.Runs > 1 {
		s.Broken = "TWICE: both edges run the key"
	}
	if s.bounds.Fault == "withdraws what ran" {
		s.void(edge)
	}
}

func (s *small) sendCopy(at int, m note) {
	n := &s.Nodes[at]
	early := s.membership(at).Epoch != m.Epoch || n.Epoch < m.Epoch
	if early && s.bounds.Fault != "copies are sent before the joint membership" || n.Store.Recovering() || !slices.Contains(s.membership(at).Voters, n.Identity) {
		s.Nodes[m.From].Asked = false // it asks again
		return
	}
	var all []idempotency.Record
	n.Store.EachClaim(func(r idempotency.Record) { all = append(all, r) })
	s.post(at, m.From, note{Kind: "copied", Records: all, Epoch: m.Epoch})
}

func (s *small) takeCopy(at int, m note) {
	n := &s.Nodes[at]
	if !s.entering(at) || m.Epoch != s.membership(at).Epoch || slices.Contains(n.Copied, m.Identity) {
		return
	}
	w := smallWrite{}
	for _, r := range m.Records {
		w.Records = append(w.Records, n.Store.Import(r, 0))
	}
	n.Copied = append(slices.Clip(n.Copied), m.Identity)
	slices.Sort(n.Copied)
	former := consensus.Membership{Voters: s.membership(at).Voters}
	w.Restored = former.Quorum(func(id string) bool { return slices.Contains(n.Copied, id) }) || s.bounds.Fault == "restored from one"
	n.Writes = append(n.Writes, w)
}

func (s *small) ask(from int, asks []idempotency.GrantRequest) {
	for _, a := range asks {
		epoch, to := s.membership(from).Epoch, s.nodeOf(a.To)
		switch {
		case to == from:
			s.judge(from, from, a.Record, epoch)
		case to < 0:
			s.verdict(from, a.To, a.Record, idempotency.ReplyUnavailable, idempotency.Record{})
		default:
			s.post(from, to, note{Kind: "ask", Record: a.Record, Epoch: epoch})
		}
	}
}

func (s *small) judge(at, asker int, r idempotency.Record, epoch uint64) {
	n := &s.Nodes[at]
	if epoch < n.Epoch && s.bounds.Fault != "a store without the epoch fence" {
		s.tellVerdict(at, asker, r, idempotency.ReplyStaleEpoch, idempotency.Record{})
		return
	}
	v, holder, store := n.Store.Grant(r, 0)
	if !store || s.bounds.Fault == "grants before storing" {
		s.tellVerdict(at, asker, r, v, holder)
	}
	if store {
		n.Writes = append(n.Writes, smallWrite{Records: []idempotency.Record{r}, Claim: true, From: asker, Record: r})
	}
}

func (s *small) tellVerdict(at, asker int, r idempotency.Record, v idempotency.GrantReply, holder idempotency.Record) {
	if asker == at {
		s.verdict(at, s.Nodes[at].Identity, r, v, holder)
	} else {
		s.post(at, asker, note{Kind: "verdict", Record: r, Verdict: v, Holder: holder})
	}
}

func (s *small) verdict(at int, from string, r idempotency.Record, v idempotency.GrantReply, holder idempotency.Record) {
	asks, done := s.Nodes[at].Coordinator.HandleReply(from, r.Token, v, holder)
	s.ask(at, asks)
	if done != nil {
		s.ruled(at, *done)
	}
}

func (s *small) ruled(at int, o idempotency.Result) {
	s.post(at, smallNodes-1+int(o.Token.Incarnation), note{Kind: "ruling", Ruling: o.Outcome})
}

// written makes the first batch that waits for a node's disk durable.
func (s *small) written(at int) {
	n := &s.Nodes[at]
	w := n.Writes[0]
	n.Writes = n.Writes[1:]
	n.Disk.Records = append(slices.Clip(n.Disk.Records), w.Records...)
	if w.Applied > 0 {
		s.appliedDurably(at, w)
	}
	if w.Restored && n.Store.Recovering() && s.entering(at) {
		n.Disk.Blank = false
		n.Store.FinishRecovery()
	}
	if w.Claim && s.bounds.Fault != "grants before storing" {
		v := idempotency.ReplyGranted
		if !n.Store.MarkDurable(w.Record.Key, w.Record.Token) {
			v = idempotency.ReplyUnavailable
		}
		s.tellVerdict(at, w.From, w.Record, v, idempotency.Record{})
	}
}

// appliedDurably ends the taking over of a membership. A replica that was voted out draws a new identity.
func (s *small) appliedDurably(at int, w smallWrite) {
	n := &s.Nodes[at]
	n.Disk.Applied, n.Epoch = w.Applied, s.Log[w.Applied].Epoch
	if !w.Retired {
		return
	}
	former := n.Identity
	n.Disks++
	n.Identity = membership.Identity(fmt.Sprint(at), uint64(n.Disks))
	n.Disk.Identity, n.Disk.Blank = n.Identity, true
	s.forget(former)
	s.setStores(at)
}
