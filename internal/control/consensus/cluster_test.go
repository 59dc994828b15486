package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
)

// cluster plays a whole cluster in simulated time from one seed: messages that are late, lost or cut off (both ways or one
// way), disks that store late or lose everything, replicas that lose power or stand still, voters that are replaced while
// all that happens. What replicas apply is held against one record by an auditor that knows nothing of their state.
type cluster struct {
	rng      *rand.Rand
	now      time.Duration
	machines []*machine
	mail     []letter
	cutIn    map[*machine]bool // reached by nobody
	cutOut   map[*machine]bool // reach nobody
	history  []consensus.Entry
	acked    map[uint64]string // what a leader acknowledged, by index
	newest   uint64            // index of the newest of them
	voters   consensus.Membership
	next     int
	wrong    string
	fault    string // planted
	lost     int    // disks that may be lost at once
	changes  int    // of the membership, finished
	reads    int    // confirmed
}

type letter struct {
	at       time.Duration
	from, to *machine
	m        consensus.Message
}

type disk struct {
	membership consensus.Membership // that the cluster started with
	hard       consensus.HardState
	snap       consensus.Snapshot
	log        []consensus.Entry
}

type write struct {
	at  time.Duration
	out consensus.Output
}

// machine is a place for one replica at a time: one that lost its disk comes back with another identity.
type machine struct {
	name    string
	disks   int
	id      string
	replica *consensus.Replica
	disk    disk
	queue   []write
	applied uint64
	waiting map[uint64]uint64 // index to term of what was proposed here
	reading map[uint64]uint64 // round to the newest acknowledged when it began
	down    time.Duration     // until
	frozen  time.Duration     // until
	epoch   uint64            // of the membership that it applied last
	member  bool              // its identity votes, by what it applied last
	removed bool              // and was voted out since
}

const step = 5 * time.Millisecond

var timing = consensus.Timing{Heartbeat: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond}

func newCluster(seed uint64, voters, standbys, lost int, fault string) *cluster {
	w := &cluster{rng: rand.New(rand.NewPCG(seed, 3)), lost: lost, cutIn: map[*machine]bool{}, cutOut: map[*machine]bool{},
		acked: map[uint64]string{}, fault: fault}
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	w.voters = consensus.Membership{Epoch: 1, Voters: names[:voters]}
	for i, name := range names[:voters+standbys] {
		m := &machine{name: name, id: name}
		if i < voters {
			m.disk.membership, m.member = w.voters, true
		}
		w.machines = append(w.machines, m)
		w.start(m)
	}
	return w
}

func (w *cluster) start(m *machine) {
	m.replica = consensus.New(consensus.Config{ID: m.id, Timing: timing, Seed: w.rng.Uint64(), Membership: m.disk.membership, HardState: m.disk.hard,
		Snapshot: m.disk.snap, Log: slices.Clone(m.disk.log), Now: w.now})
	m.queue, m.waiting, m.reading, m.applied, m.frozen = nil, map[uint64]uint64{}, map[uint64]uint64{}, m.disk.snap.Index, 0
}

// store brings what an output says onto the disk.
func (d *disk) store(out consensus.Output) {
	if out.HardState != nil {
		d.hard = *out.HardState
	}
	if out.Snapshot != nil {
		d.snap, d.log = *out.Snapshot, nil
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

func (w *cluster) post(from *machine, ms []consensus.Message) {
	for _, m := range ms {
		if to := w.machine(m.To); to != nil && w.rng.IntN(15) > 0 {
			w.mail = append(w.mail, letter{w.now + time.Duration(1+w.rng.IntN(20))*time.Millisecond, from, to, m})
		}
	}
}

func (w *cluster) settle(m *machine) {
	out := m.replica.DrainOutput()
	w.post(m, out.Immediate)
	if w.fault == "acknowledges before storing" {
		w.post(m, out.AfterSync)
		m.replica.MarkDurable(m.replica.LastIndex(), m.replica.LastTerm(), w.now)
		out.AfterSync = nil
	}
	if w.fault == "keeps a snapshot without its membership" && out.Snapshot != nil {
		out.Snapshot.Membership = m.disk.membership
	}
	if !out.Empty() || len(out.AfterSync) > 0 {
		m.queue = append(m.queue, write{w.now + time.Duration(w.rng.IntN(30))*time.Millisecond, out})
	}
	if out.Install != nil {
		m.applied = out.Install.Index
		w.heed(m, out.Install.Membership)
	}
	for _, e := range out.Committed {
		w.apply(m, e)
	}
	w.answerReads(m)
	if w.rng.IntN(60) == 0 && m.replica.CommitIndex() > 6 {
		m.replica.Compact(m.applied, make([]byte, w.rng.IntN(600)<<(10*w.rng.IntN(2))))
	}
}

// apply holds an entry that a replica takes for committed against the record.
func (w *cluster) apply(m *machine, e consensus.Entry) {
	m.applied = e.Index
	switch {
	case int(e.Index) <= len(w.history):
		have := w.history[e.Index-1]
		if have.Term != e.Term || string(have.Data) != string(e.Data) {
			w.wrong = fmt.Sprintf("%s applies another entry at %d", m.id, e.Index)
		}
	case int(e.Index) == len(w.history)+1:
		w.history = append(w.history, e)
		if e.Membership != nil {
			w.entered(*e.Membership)
		}
	default:
		w.wrong = fmt.Sprintf("%s applies entry %d, and nobody applied %d", m.id, e.Index, len(w.history)+1)
	}
	if e.Membership != nil {
		w.heed(m, *e.Membership)
	}
	if term, ok := m.waiting[e.Index]; ok && term == e.Term {
		w.acked[e.Index], w.newest = string(e.Data), max(w.newest, e.Index)
	}
}

func (w *cluster) entered(next consensus.Membership) {
	if next.Epoch != w.voters.Epoch+1 {
		w.wrong = fmt.Sprintf("membership %d follows %d", next.Epoch, w.voters.Epoch)
	}
	if w.voters = next; !next.Joint() {
		w.changes++
	}
}

// heed notes that a replica was voted out: it comes back under another identity, as a controller does.
func (w *cluster) heed(m *machine, now consensus.Membership) {
	if now.Epoch <= m.epoch {
		return // it starts again, and applies what it had applied before
	}
	contained := now.Contains(m.id)
	m.removed = m.removed || m.member && !contained
	m.member, m.epoch = contained, now.Epoch
}

func (w *cluster) answerReads(m *machine) {
	for round, newest := range m.reading {
		if w.fault == "reads without a round" && m.replica.Role() == consensus.Leader || m.replica.ReadConfirmed(round) {
			delete(m.reading, round)
			w.reads++
			if m.replica.CommitIndex() < newest {
				w.wrong = fmt.Sprintf("%s reads up to %d after %d was acknowledged", m.id, m.replica.CommitIndex(), newest)
			}
		}
	}
}

// calm tells that all voters are sound and level: as many as are tolerated may be lost now.
func (w *cluster) calm() bool {
	for _, id := range w.voters.All() {
		m := w.machine(id)
		if m == nil || m.down > w.now || m.frozen > w.now || m.replica.CommitIndex() < uint64(len(w.history)) {
			return false
		}
	}
	return len(w.cutIn)+len(w.cutOut) == 0 && !w.voters.Joint()
}

// fail ends a replica's process, for a while, perhaps with its disk.
func (w *cluster) fail(m *machine, wipe bool) {
	m.down = w.now + time.Duration(w.rng.IntN(400))*time.Millisecond
	m.queue = nil
	if wipe {
		m.disk = disk{}
		m.removed, m.member, m.epoch = false, false, 0
		if m.disks++; w.fault != "votes with an empty disk" {
			m.id = fmt.Sprintf("%s#%d", m.name, m.disks)
		} else {
			m.disk.membership = consensus.Membership{Epoch: 1, Voters: w.voters.Voters}
		}
	}
	w.mail = slices.DeleteFunc(w.mail, func(l letter) bool { return l.from == m || l.to == m })
	w.start(m)
}

func (w *cluster) trouble() {
	some := func() *machine { return w.machines[w.rng.IntN(len(w.machines))] }
	switch w.rng.IntN(330) {
	case 0:
		w.fail(some(), false)
	case 1: // all lose power
		for _, m := range w.machines {
			w.fail(m, false)
		}
	case 2, 3: // as many as are tolerated lose their disks, perhaps just as the others lose power
		if w.calm() {
			lost := w.rng.Perm(len(w.voters.Voters))[:1+w.rng.IntN(w.lost)]
			others := w.rng.IntN(2) == 0
			for i, id := range w.voters.Voters {
				if wiped := slices.Contains(lost, i); wiped || others {
					w.fail(w.machine(id), wiped)
				}
			}
		}
	case 4:
		m := some()
		w.cutIn[m], w.cutOut[m] = true, true
	case 5:
		w.cutIn[some()] = true
	case 6:
		w.cutOut[some()] = true
	case 7, 8, 9:
		clear(w.cutIn)
		clear(w.cutOut)
	case 10:
		some().frozen = w.now + time.Duration(w.rng.IntN(900))*time.Millisecond
	}
}

// change begins and ends changes of the membership at random, in ways that a majority may survive.
func (w *cluster) change(m *machine) {
	current := m.replica.Membership()
	next := w.otherVoters(m, current)
	switch w.fault {
	case "switches voters without a joint membership":
		m.replica.SwitchDirectly(next)
		return
	case "changes the membership before the last change is committed":
		m.replica.BeginUnchecked(next)
		m.replica.FinishUnchecked()
		return
	}
	if current.Joint() {
		lost := slices.ContainsFunc(current.Next, func(id string) bool { return w.machine(id) == nil })
		if finish := m.replica.AbandonChange; lost || w.rng.IntN(4) == 0 {
			_ = finish(w.now) // an error: it may not be finished yet
		} else {
			_ = m.replica.AdoptChange(w.now)
		}
		return
	}
	_ = m.replica.BeginChange(next, w.now) // an error: it may not begin yet
}

// otherVoters replaces voters that are gone for good, or else one at random, by machines that have no vote.
func (w *cluster) otherVoters(leader *machine, current consensus.Membership) []string {
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

func (w *cluster) run(m *machine) {
	for len(m.queue) > 0 && m.queue[0].at <= w.now {
		out := m.queue[0].out
		m.queue = m.queue[1:]
		m.disk.store(out)
		w.post(m, out.AfterSync)
		if index, term := out.LastEntry(); index > 0 {
			m.replica.MarkDurable(index, term, w.now)
		}
	}
	if m.removed && !m.replica.IsVoter() { // comes back as somebody else
		m.disks++
		m.id = fmt.Sprintf("%s#%d", m.name, m.disks)
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
		w.lead(m)
	}
	w.settle(m)
}

func (w *cluster) lead(m *machine) {
	if w.rng.IntN(15) == 0 {
		w.next++
		if index, term, ok := m.replica.Propose(fmt.Appendf(nil, "change %d", w.next), w.now); ok {
			m.waiting[index] = term
		}
	}
	if w.rng.IntN(20) == 0 {
		m.reading[m.replica.ReadIndex(w.now)] = w.newest
	}
	if w.rng.IntN(30) == 0 {
		w.change(m)
	}
	if w.rng.IntN(300) == 0 {
		m.replica.TransferLeadership(w.machines[w.rng.IntN(len(w.machines))].id, w.now)
	}
}

func (w *cluster) deliver() {
	mail := w.mail
	w.mail = nil
	for _, l := range mail {
		switch {
		case l.at > w.now, l.to.frozen > w.now && l.to.down <= w.now:
			w.mail = append(w.mail, l)
		case l.to.down > w.now || w.cutOut[l.from] || w.cutIn[l.to]:
		default:
			l.to.replica.Step(l.m, w.now)
			w.settle(l.to)
		}
	}
}

func (w *cluster) play(length time.Duration) string {
	for ; w.now < length && w.wrong == ""; w.now += step {
		w.trouble()
		for _, m := range w.machines {
			if m.down <= w.now && m.frozen <= w.now {
				w.run(m)
			}
		}
		w.deliver()
		for at, data := range w.acked {
			if string(w.history[at-1].Data) != data {
				w.wrong = fmt.Sprintf("what was acknowledged at %d is gone", at)
			}
		}
	}
	return w.wrong
}

// heal ends all troubles and tells whether the cluster takes a change again.
func (w *cluster) heal(within time.Duration) bool {
	clear(w.cutIn)
	clear(w.cutOut)
	for _, m := range w.machines {
		m.frozen = 0
	}
	before := w.newest
	for end := w.now + within; w.now < end && w.wrong == ""; w.now += step {
		for _, m := range w.machines {
			if m.down <= w.now {
				w.run(m)
			}
		}
		w.deliver()
		if w.newest > before {
			return true
		}
	}
	return false
}
