package simulation

import (
	"fmt"
	"slices"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
)

// Bounds limits an exploration: the number of states, and how often each kind of fault may occur.
type Bounds struct {
	States, Wipes, PowerLosses, Revocations int
	MembershipChanges                       int // membership changes by which a learner replaces the third voter
	MessageLosses                           int // lost messages between controllers
	PlantedFault                            string
}

// boundedModel is a model of three claim stores, optionally with a fourth as standby, and two edges that claim one key: the
// first edge through the first store's coordinator, the second through the third's. Messages between two processes stay in
// order; apart from that, any event may come next. The log is modelled as the list of committed memberships, which every
// node applies at any time. How internal/control/consensus commits them is explored by its own tests.
type boundedModel struct {
	Log       []consensus.Membership
	Nodes     []modelNode
	Messages  [][]modelMessage // by sender and receiver
	Edges     [2]modelEdge
	Runs      int
	Violation string
	Spent     Bounds // faults used so far
	bounds    Bounds
}

type modelNode struct {
	Disk          modelDisk
	DisksLost     int // disks lost so far
	Identity      string
	Applied       int    // index in Log of the newest applied membership
	Epoch         uint64 // of the newest durable membership
	Store         *idempotency.Store
	Coordinator   *idempotency.Coordinator
	Writes        []modelWrite
	Copied        []string // identities of the replicas whose claims were imported
	CopyRequested bool
	Hedged        bool
}

type modelDisk struct {
	Identity   string
	Applied    int
	Records    []idempotency.Record
	Recovering bool
}

// modelWrite is a batch that waits for a disk, and the actions to take once it is durable.
type modelWrite struct {
	Records          []idempotency.Record
	RecoveryComplete bool
	Applied          int // index in Log of the applied membership; 0: none
	Retired          bool
	Claim            bool // a grant, to be reported to Requester
	Requester        int
	Record           idempotency.Record
}

type modelEdge struct {
	Started, Finished bool
}

// modelMessage is a message between an edge and a coordinator, or between two nodes.
type modelMessage struct {
	Kind     string
	From     int
	Identity string // identity of the sender
	Epoch    uint64
	Record   idempotency.Record
	Reply    idempotency.GrantReply
	Holder   idempotency.Record
	Outcome  idempotency.Outcome
	Records  []idempotency.Record
}

const (
	modelNodes     = 4
	modelProcesses = modelNodes + 2 // nodes, then edges
	modelKey       = "k"
	replacedVoter  = "2" // identity of the voter that a learner replaces
)

// claimCoordinators are the nodes whose coordinators the edges call.
var claimCoordinators = [2]int{0, 2}

func newBoundedModel(b Bounds) *boundedModel {
	founders := consensus.Membership{Epoch: 1, Voters: []string{"0", "1", replacedVoter}}
	s := &boundedModel{Log: []consensus.Membership{founders},
		Messages: make([][]modelMessage, modelProcesses*modelProcesses), bounds: b}
	count := 3
	if b.MembershipChanges > 0 {
		count = modelNodes
	}
	s.Nodes = make([]modelNode, count)
	for i := range s.Nodes {
		s.Nodes[i].Disk = modelDisk{Identity: fmt.Sprint(i), Recovering: i >= 3}
		s.start(i)
	}
	return s
}

// start starts a node with the contents of its disk.
func (s *boundedModel) start(i int) {
	n := &s.Nodes[i]
	n.Store = idempotency.NewStore(keyWindow, n.Disk.Recovering)
	for _, r := range n.Disk.Records {
		n.Store.Load(r, 0)
	}
	n.Identity, n.Applied = n.Disk.Identity, n.Disk.Applied
	n.Epoch = s.Log[n.Applied].Epoch
	n.Coordinator = idempotency.NewCoordinator(nil, hedgeDelay, claimTimeout)
	s.setStores(i)
	n.Writes, n.Copied, n.CopyRequested, n.Hedged = nil, nil, false, false
	for j := range modelProcesses {
		s.Messages[i*modelProcesses+j], s.Messages[j*modelProcesses+i] = nil, nil
	}
}

// discardGrants makes all coordinators discard the grants of a replica that no longer exists.
func (s *boundedModel) discardGrants(identity string) {
	for j := range s.Nodes {
		for _, out := range s.Nodes[j].Coordinator.DiscardGrants(identity) {
			s.finishClaim(j, out)
		}
	}
}

func (s *boundedModel) membership(i int) consensus.Membership { return s.Log[s.Nodes[i].Applied] }

func (s *boundedModel) setStores(i int) {
	m := s.membership(i)
	requests, done := s.Nodes[i].Coordinator.SetStores(s.Nodes[i].Identity, m.Voters, m.Next)
	s.sendGrantRequests(i, requests)
	for _, out := range done {
		s.finishClaim(i, out)
	}
}

func (s *boundedModel) send(from, to int, n modelMessage) {
	n.From = from
	if from < len(s.Nodes) {
		n.Identity = s.Nodes[from].Identity
	}
	s.Messages[from*modelProcesses+to] = append(s.Messages[from*modelProcesses+to], n)
}

// choices returns the events that may come next.
func (s *boundedModel) choices() (all []string) {
	for i, e := range s.Edges {
		if !e.Started {
			all = append(all, fmt.Sprint("claim ", i))
		} else if !e.Finished && s.Spent.Revocations < s.bounds.Revocations {
			all = append(all, fmt.Sprint("withdraw ", i))
		}
	}
	for c, m := range s.Messages {
		if len(m) > 0 {
			all = append(all, s.deliveryChoices(c/modelProcesses, c%modelProcesses)...)
		}
	}
	for i := range s.Nodes {
		all = append(all, s.nodeChoices(i)...)
	}
	all = append(all, s.membershipChoices()...)
	return append(all, s.lossChoices()...)
}

// deliveryChoices returns the possible outcomes of the next message from one process to another.
func (s *boundedModel) deliveryChoices(from, to int) []string {
	all := []string{fmt.Sprint("deliver ", from, " ", to)}
	if s.Spent.MessageLosses < s.bounds.MessageLosses && from < len(s.Nodes) && to < len(s.Nodes) {
		all = append(all, fmt.Sprint("lose ", from, " ", to))
	}
	return all
}

// lossChoices returns the possible losses of disks and of power. They occur only after a claim has started.
func (s *boundedModel) lossChoices() (all []string) {
	if !s.Edges[0].Started && !s.Edges[1].Started {
		return nil
	}
	if s.Spent.Wipes < s.bounds.Wipes && s.allStoresReady() {
		for i := range s.Nodes {
			all = append(all, fmt.Sprint("wipe ", i))
		}
	}
	if s.Spent.PowerLosses < s.bounds.PowerLosses {
		all = append(all, "power")
	}
	return all
}

func (s *boundedModel) nodeChoices(i int) (all []string) {
	n := &s.Nodes[i]
	if len(n.Writes) > 0 {
		all = append(all, fmt.Sprint("write ", i))
	}
	if n.Applied < len(s.Log)-1 {
		all = append(all, fmt.Sprint("apply ", i))
	}
	if s.isEntering(i) && !n.CopyRequested {
		all = append(all, fmt.Sprint("copy ", i))
	}
	if n.Coordinator.HasPending() && !n.Hedged && s.bounds.MembershipChanges > 0 {
		all = append(all, fmt.Sprint("hedge ", i))
	}
	return all
}

// membershipChoices returns the steps that a leader may take, as internal/control/membership decides them.
func (s *boundedModel) membershipChoices() (all []string) {
	newest := s.Log[len(s.Log)-1]
	if newest.Joint() {
		return s.jointChoices(newest)
	}
	for v, id := range newest.Voters {
		lost := s.nodeOf(id) < 0
		if !lost && (id != replacedVoter || s.Spent.MembershipChanges >= s.bounds.MembershipChanges) {
			continue
		}
		for i, n := range s.Nodes {
			if n.Epoch == newest.Epoch && !newest.Contains(n.Identity) && (lost || i == modelNodes-1) {
				all = append(all, fmt.Sprint("begin ", v, " ", i))
			}
		}
	}
	return all
}

// jointChoices returns the steps out of a joint membership: abandon if a replica that is being added is lost, adopt once all
// of them are ready.
func (s *boundedModel) jointChoices(joint consensus.Membership) []string {
	ready := true
	for _, id := range joint.Next {
		if slices.Contains(joint.Voters, id) {
			continue
		}
		i := s.nodeOf(id)
		if i < 0 {
			return []string{"abandon"}
		}
		ready = ready && !s.Nodes[i].Store.Recovering() && s.Nodes[i].Epoch >= joint.Epoch
	}
	if ready {
		return []string{"adopt"}
	}
	return nil
}

// nodeOf returns the node that runs a replica, or -1.
func (s *boundedModel) nodeOf(identity string) int {
	return slices.IndexFunc(s.Nodes, func(n modelNode) bool { return n.Identity == identity })
}

// allStoresReady reports whether no voter's store is lost or recovering, so that one disk may be lost.
func (s *boundedModel) allStoresReady() bool {
	newest := s.Log[len(s.Log)-1]
	return !slices.ContainsFunc(newest.Voters, func(id string) bool {
		return s.nodeOf(id) < 0 ||
			s.Nodes[s.nodeOf(id)].Store.Recovering()
	})
}

func (s *boundedModel) isEntering(i int) bool {
	m, id := s.membership(i), s.Nodes[i].Identity
	return s.Nodes[i].Store.Recovering() && slices.Contains(m.Next, id) && !slices.Contains(m.Voters, id)
}

func (s *boundedModel) perform(choice string) {
	var action string
	var x, y int
	_, _ = fmt.Sscan(choice, &action, &x, &y) // some choices have fewer arguments
	switch action {
	case "claim":
		s.Edges[x].Started = true
		s.send(modelNodes+x, claimCoordinators[x], modelMessage{Kind: "claim", Record: s.record(x)})
	case "withdraw":
		s.Spent.Revocations++
		s.revoke(x)
	case "deliver", "lose":
		c := x*modelProcesses + y
		m := s.Messages[c][0]
		s.Messages[c] = s.Messages[c][1:]
		if action == "lose" {
			s.Spent.MessageLosses++
		} else {
			s.handleMessage(y, m)
		}
	case "write":
		s.handleWritten(x)
	case "apply":
		s.apply(x)
	case "hedge":
		s.Nodes[x].Hedged = true
		requests, _ := s.Nodes[x].Coordinator.Tick(hedgeDelay + 1)
		s.sendGrantRequests(x, requests)
	case "copy":
		s.requestCopies(x)
	case "begin", "adopt", "abandon":
		s.change(action, x, y)
	case "wipe":
		s.Spent.Wipes++
		s.wipe(x)
	case "power":
		s.Spent.PowerLosses++
		for i := range s.Nodes {
			s.start(i)
		}
	}
}

// wipe loses a node's disk. The node restarts as another replica.
func (s *boundedModel) wipe(i int) {
	n := &s.Nodes[i]
	n.DisksLost++
	previous := n.Identity
	n.Disk = modelDisk{Identity: membership.Identity(fmt.Sprint(i), uint64(n.DisksLost)), Recovering: true}
	if s.bounds.PlantedFault == "grants with an empty disk" {
		n.Disk = modelDisk{Identity: previous}
	}
	s.start(i)
	if n.Identity != previous {
		s.discardGrants(previous)
	}
}

// change commits the next membership.
func (s *boundedModel) change(action string, v, standby int) {
	newest := s.Log[len(s.Log)-1]
	next := consensus.Membership{Epoch: newest.Epoch + 1, Voters: newest.Voters}
	switch action {
	case "begin":
		s.Spent.MembershipChanges += oneIf[s.nodeOf(newest.Voters[v]) >= 0]
		next.Next = slices.Clone(newest.Voters)
		next.Next[v] = s.Nodes[standby].Identity
		slices.Sort(next.Next)
	case "adopt":
		next.Voters = newest.Next
	}
	s.Log = append(slices.Clip(s.Log), next)
}

// apply applies the next committed membership at a node.
func (s *boundedModel) apply(i int) {
	n := &s.Nodes[i]
	previous := s.membership(i)
	n.Applied++
	m := s.membership(i)
	retired := previous.Contains(n.Identity) && !m.Contains(n.Identity)
	if retired {
		n.Store.BeginRecovery()
	}
	n.Copied, n.CopyRequested = nil, false
	n.Writes = append(n.Writes, modelWrite{Applied: n.Applied, Retired: retired})
	s.setStores(i)
}

func (s *boundedModel) requestCopies(i int) {
	s.Nodes[i].CopyRequested = true
	for _, id := range s.membership(i).Voters {
		if j := s.nodeOf(id); j >= 0 && !slices.Contains(s.Nodes[i].Copied, id) {
			s.send(i, j, modelMessage{Kind: "copy", Epoch: s.membership(i).Epoch})
		}
	}
}

func (s *boundedModel) record(edge int) idempotency.Record {
	return idempotency.Record{Key: idempotency.KeyOf("t", modelKey),
		Token: idempotency.Token{Incarnation: uint64(edge + 1), Sequence: 1}}
}

// revoke revokes an edge's claim at all nodes.
func (s *boundedModel) revoke(edge int) {
	s.Edges[edge].Finished = true
	for j := range s.Nodes {
		s.send(modelNodes+edge, j, modelMessage{Kind: "void", Record: s.record(edge)})
	}
}
