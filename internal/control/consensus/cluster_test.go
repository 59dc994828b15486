package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
)

// cluster simulates a cluster in simulated time from one seed. Faults are delayed and lost messages, partitions in both
// directions or one, slow and lost disks, power losses and frozen processes; voters are replaced at the same time. The entries
// that replicas apply are compared with a single history, independently of the state of the replicas.
type cluster struct {
	rng              *rand.Rand
	now              time.Duration
	machines         []*machine
	inFlight         []delivery
	inboundCut       map[*machine]bool // machines that receive no messages
	outboundCut      map[*machine]bool // machines whose messages are lost
	committed        []consensus.Entry
	acknowledged     map[uint64]string // data of the entries that a leader acknowledged, by index
	lastAcknowledged uint64            // index of the newest acknowledged entry
	membership       consensus.Membership
	proposalCount    int
	violation        string
	fault            string // injected fault; empty: none
	tolerance        int    // number of disks that may be lost at once
	changeCount      int    // finished membership changes
	readCount        int    // confirmed reads
}

// delivery is a message in flight.
type delivery struct {
	arrivesAt time.Duration
	from, to  *machine
	message   consensus.Message
}

// disk holds the durable state of a replica.
type disk struct {
	membership consensus.Membership // with which the cluster started
	hardState  consensus.HardState
	snapshot   consensus.Snapshot
	log        []consensus.Entry
}

// pendingWrite is a write to disk that is not finished.
type pendingWrite struct {
	finishesAt time.Duration
	output     consensus.Output
}

// machine runs one replica at a time. After the loss of its disk it runs a replica with another identity.
type machine struct {
	name          string
	diskCount     int
	id            string
	replica       *consensus.Replica
	disk          disk
	pendingWrites []pendingWrite
	applied       uint64
	proposals     map[uint64]uint64 // term of each entry proposed on this machine, by index
	reads         map[uint64]uint64 // newest acknowledged index at the start of each read, by round
	downUntil     time.Duration
	frozenUntil   time.Duration
	epoch         uint64 // of the last applied membership
	member        bool   // its identity is a voter of the last applied membership
	removed       bool   // its identity was a voter and was removed
}

const step = 5 * time.Millisecond

var timing = consensus.Timing{Heartbeat: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond}

func newCluster(seed uint64, voters, standbys, tolerance int, fault string) *cluster {
	w := &cluster{rng: rand.New(rand.NewPCG(seed, 3)), tolerance: tolerance, inboundCut: map[*machine]bool{}, outboundCut: map[*machine]bool{},
		acknowledged: map[uint64]string{}, fault: fault}
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	w.membership = consensus.Membership{Epoch: 1, Voters: names[:voters]}
	for i, name := range names[:voters+standbys] {
		m := &machine{name: name, id: name}
		if i < voters {
			m.disk.membership, m.member = w.membership, true
		}
		w.machines = append(w.machines, m)
		w.start(m)
	}
	return w
}

func (w *cluster) start(m *machine) {
	m.replica = consensus.New(consensus.Config{ID: m.id, Timing: timing, Seed: w.rng.Uint64(), Membership: m.disk.membership, HardState: m.disk.hardState,
		Snapshot: m.disk.snapshot, Log: slices.Clone(m.disk.log), Now: w.now})
	m.pendingWrites, m.proposals, m.reads, m.applied, m.frozenUntil = nil, map[uint64]uint64{}, map[uint64]uint64{}, m.disk.snapshot.Index, 0
}

// store writes an output to the disk.
func (d *disk) store(out consensus.Output) {
	if out.HardState != nil {
		d.hardState = *out.HardState
	}
	if out.Snapshot != nil {
		d.snapshot, d.log = *out.Snapshot, nil
	}
	if out.Truncate > 0 {
		d.log = slices.DeleteFunc(d.log, func(e consensus.Entry) bool { return e.Index >= out.Truncate })
	}
	d.log = append(d.log, out.Entries...)
}

func (w *cluster) machine(id string) *machine {
	for _, m := range w.machines {
		if m.id == id {
			return m
		}
	}
	return nil
}

func (w *cluster) send(from *machine, messages []consensus.Message) {
	for _, m := range messages {
		if to := w.machine(m.To); to != nil && w.rng.IntN(15) > 0 {
			w.inFlight = append(w.inFlight, delivery{w.now + time.Duration(1+w.rng.IntN(20))*time.Millisecond, from, to, m})
		}
	}
}

func (w *cluster) processOutput(m *machine) {
	out := m.replica.DrainOutput()
	w.send(m, out.Immediate)
	if w.fault == "acknowledges entries before they are durable" {
		w.send(m, out.AfterSync)
		m.replica.MarkDurable(m.replica.LastIndex(), m.replica.LastTerm(), w.now)
		out.AfterSync = nil
	}
	if w.fault == "stores a snapshot without its membership" && out.Snapshot != nil {
		out.Snapshot.Membership = m.disk.membership
	}
	if !out.Empty() || len(out.AfterSync) > 0 {
		m.pendingWrites = append(m.pendingWrites, pendingWrite{w.now + time.Duration(w.rng.IntN(30))*time.Millisecond, out})
	}
	if out.Install != nil {
		m.applied = out.Install.Index
		w.applyMembership(m, out.Install.Membership)
	}
	for _, e := range out.Committed {
		w.apply(m, e)
	}
	w.checkReads(m)
	if w.rng.IntN(60) == 0 && m.replica.CommitIndex() > 6 {
		m.replica.Compact(m.applied, make([]byte, w.rng.IntN(600)<<(10*w.rng.IntN(2))))
	}
}

// apply compares an entry that a replica applies with the committed history.
func (w *cluster) apply(m *machine, e consensus.Entry) {
	m.applied = e.Index
	switch {
	case int(e.Index) <= len(w.committed):
		expected := w.committed[e.Index-1]
		if expected.Term != e.Term || string(expected.Data) != string(e.Data) {
			w.violation = fmt.Sprintf("%s applies a different entry at %d", m.id, e.Index)
		}
	case int(e.Index) == len(w.committed)+1:
		w.committed = append(w.committed, e)
		if e.Membership != nil {
			w.recordMembership(*e.Membership)
		}
	default:
		w.violation = fmt.Sprintf("%s applies entry %d before any replica applied %d", m.id, e.Index, len(w.committed)+1)
	}
	if e.Membership != nil {
		w.applyMembership(m, *e.Membership)
	}
	if term, ok := m.proposals[e.Index]; ok && term == e.Term {
		w.acknowledged[e.Index], w.lastAcknowledged = string(e.Data), max(w.lastAcknowledged, e.Index)
	}
}

func (w *cluster) recordMembership(next consensus.Membership) {
	if next.Epoch != w.membership.Epoch+1 {
		w.violation = fmt.Sprintf("membership %d follows %d", next.Epoch, w.membership.Epoch)
	}
	if w.membership = next; !next.Joint() {
		w.changeCount++
	}
}

// applyMembership records whether a replica is a voter. A removed voter gets another identity, as a controller does.
func (w *cluster) applyMembership(m *machine, current consensus.Membership) {
	if current.Epoch <= m.epoch {
		return // applied again after a restart
	}
	contained := current.Contains(m.id)
	m.removed = m.removed || m.member && !contained
	m.member, m.epoch = contained, current.Epoch
}

func (w *cluster) checkReads(m *machine) {
	for round, newest := range m.reads {
		if w.fault == "serves reads without a round of messages" && m.replica.Role() == consensus.Leader || m.replica.ReadConfirmed(round) {
			delete(m.reads, round)
			w.readCount++
			if m.replica.CommitIndex() < newest {
				w.violation = fmt.Sprintf("%s reads at index %d after %d was acknowledged", m.id, m.replica.CommitIndex(), newest)
			}
		}
	}
}

// canLoseDisks reports whether all voters are healthy and up to date, so that the tolerated number of disks may be lost now.
func (w *cluster) canLoseDisks() bool {
	for _, id := range w.membership.All() {
		m := w.machine(id)
		if m == nil || m.downUntil > w.now || m.frozenUntil > w.now || m.replica.CommitIndex() < uint64(len(w.committed)) {
			return false
		}
	}
	return len(w.inboundCut)+len(w.outboundCut) == 0 && !w.membership.Joint()
}

// restart stops a replica's process for a random time, optionally with the loss of its disk.
func (w *cluster) restart(m *machine, loseDisk bool) {
	m.downUntil = w.now + time.Duration(w.rng.IntN(400))*time.Millisecond
	m.pendingWrites = nil
	if loseDisk {
		m.disk = disk{}
		m.removed, m.member, m.epoch = false, false, 0
		if m.diskCount++; w.fault != "votes under its old identity after losing its disk" {
			m.id = fmt.Sprintf("%s#%d", m.name, m.diskCount)
		} else {
			m.disk.membership = consensus.Membership{Epoch: 1, Voters: w.membership.Voters}
		}
	}
	w.inFlight = slices.DeleteFunc(w.inFlight, func(d delivery) bool { return d.from == m || d.to == m })
	w.start(m)
}

// injectFault injects a random fault in one of 30 steps.
func (w *cluster) injectFault() {
	randomMachine := func() *machine { return w.machines[w.rng.IntN(len(w.machines))] }
	switch w.rng.IntN(330) {
	case 0:
		w.restart(randomMachine(), false)
	case 1: // power loss of all machines
		for _, m := range w.machines {
			w.restart(m, false)
		}
	case 2, 3: // the tolerated number of disks is lost, perhaps while the other voters lose power
		if w.canLoseDisks() {
			lost := w.rng.Perm(len(w.membership.Voters))[:1+w.rng.IntN(w.tolerance)]
			others := w.rng.IntN(2) == 0
			for i, id := range w.membership.Voters {
				if wiped := slices.Contains(lost, i); wiped || others {
					w.restart(w.machine(id), wiped)
				}
			}
		}
	case 4:
		m := randomMachine()
		w.inboundCut[m], w.outboundCut[m] = true, true
	case 5:
		w.inboundCut[randomMachine()] = true
	case 6:
		w.outboundCut[randomMachine()] = true
	case 7, 8, 9:
		clear(w.inboundCut)
		clear(w.outboundCut)
	case 10:
		randomMachine().frozenUntil = w.now + time.Duration(w.rng.IntN(900))*time.Millisecond
	}
}

// changeMembership begins and ends random membership changes that leave a majority of voters.
func (w *cluster) changeMembership(m *machine) {
	current := m.replica.Membership()
	next := w.chooseNextVoters(m, current)
	switch w.fault {
	case "switches voters without a joint membership":
		m.replica.ChangeWithoutJoint(next)
		return
	case "changes the membership before the last change is committed":
		m.replica.BeginChangeUnchecked(next)
		m.replica.FinishChangeUnchecked()
		return
	}
	if current.Joint() {
		lost := slices.ContainsFunc(current.Next, func(id string) bool { return w.machine(id) == nil })
		if finish := m.replica.AbandonChange; lost || w.rng.IntN(4) == 0 {
			_ = finish(w.now) // rejected if the change can't be ended yet
		} else {
			_ = m.replica.AdoptChange(w.now)
		}
		return
	}
	_ = m.replica.BeginChange(next, w.now) // rejected if a change can't begin yet
}

// chooseNextVoters replaces lost voters, or otherwise random ones, by machines that are not voters.
func (w *cluster) chooseNextVoters(leader *machine, current consensus.Membership) []string {
	next := slices.Clone(current.Voters)
	gone := slices.ContainsFunc(next, func(id string) bool { return w.machine(id) == nil })
	for i, id := range next {
		if id == leader.id || gone && w.machine(id) != nil || !gone && w.rng.IntN(len(next)) > 0 {
			continue
		}
		for _, j := range w.rng.Perm(len(w.machines)) {
			m := w.machines[j]
			if !m.removed && m.epoch == current.Epoch && !slices.Contains(next, m.id) {
				next[i] = m.id
				break
			}
		}
	}
	return next
}

func (w *cluster) stepMachine(m *machine) {
	for len(m.pendingWrites) > 0 && m.pendingWrites[0].finishesAt <= w.now {
		out := m.pendingWrites[0].output
		m.pendingWrites = m.pendingWrites[1:]
		m.disk.store(out)
		w.send(m, out.AfterSync)
		if index, term := out.LastEntry(); index > 0 {
			m.replica.MarkDurable(index, term, w.now)
		}
	}
	if m.removed && !m.replica.IsVoter() { // continues under another identity
		m.diskCount++
		m.id = fmt.Sprintf("%s#%d", m.name, m.diskCount)
		m.replica.SetID(m.id)
		m.removed = m.replica.ID() != m.id
	}
	var learners []string
	for _, o := range w.machines {
		learners = append(learners, o.id)
	}
	m.replica.SetLearners(learners)
	m.replica.Tick(w.now)
	if m.replica.Role() == consensus.Leader {
		w.stepLeader(m)
	}
	w.processOutput(m)
}

func (w *cluster) stepLeader(m *machine) {
	if w.rng.IntN(15) == 0 {
		w.proposalCount++
		if index, term, ok := m.replica.Propose(fmt.Appendf(nil, "change %d", w.proposalCount), w.now); ok {
			m.proposals[index] = term
		}
	}
	if w.rng.IntN(20) == 0 {
		m.reads[m.replica.ReadIndex(w.now)] = w.lastAcknowledged
	}
	if w.rng.IntN(30) == 0 {
		w.changeMembership(m)
	}
	if w.rng.IntN(300) == 0 {
		m.replica.TransferLeadership(w.machines[w.rng.IntN(len(w.machines))].id, w.now)
	}
}

func (w *cluster) deliver() {
	queued := w.inFlight
	w.inFlight = nil
	for _, d := range queued {
		switch {
		case d.arrivesAt > w.now, d.to.frozenUntil > w.now && d.to.downUntil <= w.now:
			w.inFlight = append(w.inFlight, d)
		case d.to.downUntil > w.now || w.outboundCut[d.from] || w.inboundCut[d.to]:
		default:
			d.to.replica.Step(d.message, w.now)
			w.processOutput(d.to)
		}
	}
}

// run simulates the cluster until a time and returns the first violation, or an empty string.
func (w *cluster) run(duration time.Duration) string {
	for ; w.now < duration && w.violation == ""; w.now += step {
		w.injectFault()
		for _, m := range w.machines {
			if m.downUntil <= w.now && m.frozenUntil <= w.now {
				w.stepMachine(m)
			}
		}
		w.deliver()
		for at, data := range w.acknowledged {
			if string(w.committed[at-1].Data) != data {
				w.violation = fmt.Sprintf("the entry acknowledged at %d is lost", at)
			}
		}
	}
	return w.violation
}

// heal ends all partitions and freezes, and reports whether an entry is acknowledged within a time.
func (w *cluster) heal(within time.Duration) bool {
	clear(w.inboundCut)
	clear(w.outboundCut)
	for _, m := range w.machines {
		m.frozenUntil = 0
	}
	before := w.lastAcknowledged
	for end := w.now + within; w.now < end && w.violation == ""; w.now += step {
		for _, m := range w.machines {
			if m.downUntil <= w.now {
				w.stepMachine(m)
			}
		}
		w.deliver()
		if w.lastAcknowledged > before {
			return true
		}
	}
	return false
}
