package consensus_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
)

// world plays a whole group of replicas in simulated time from one seed: messages that are late, lost or cut off, disks that
// store late or lose everything, members that lose power. What members apply is held against one record by an auditor
// that knows nothing of their books.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	names   []string
	nodes   map[string]*node
	mail    []letter
	cut     map[string]bool // names that reach nobody
	history []consensus.Entry
	acked   map[uint64]string // what a leader acknowledged, by place
	next    int
	wrong   string
	fault   string // planted
	lost    int    // disks that may be lost at once
}

type letter struct {
	at time.Duration
	m  consensus.Message
}

type disk struct {
	hard consensus.HardState
	snap consensus.Snapshot
	log  []consensus.Entry
}

type write struct {
	at  time.Duration
	out consensus.Output
}

type node struct {
	name    string
	m       *consensus.Replica
	disk    disk
	queue   []write
	applied uint64
	waiting map[uint64]uint64 // place to term of what was proposed here
	downTil time.Duration
}

const step = 5 * time.Millisecond

var timing = consensus.Timing{Heartbeat: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond}

func newWorld(seed uint64, members, lost int, fault string) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3)), names: []string{"a", "b", "c", "d", "e"}[:members], lost: lost, nodes: map[string]*node{}, cut: map[string]bool{},
		acked: map[uint64]string{}, fault: fault}
	for _, n := range w.names {
		w.nodes[n] = &node{name: n}
		w.start(w.nodes[n])
	}
	return w
}

func (w *world) start(n *node) {
	n.m = consensus.New(n.name, w.names, consensus.Timing{Heartbeat: timing.Heartbeat, ElectionTimeout: timing.ElectionTimeout, Lost: w.lost}, w.rng.Uint64(), n.disk.hard, n.disk.snap, slices.Clone(n.disk.log), w.now)
	n.queue, n.waiting, n.applied = nil, map[uint64]uint64{}, n.disk.snap.Index
}

// store brings what an output says onto the disk.
func (d *disk) store(out consensus.Output) uint64 {
	last := uint64(0)
	if out.Hard != nil {
		d.hard = *out.Hard
	}
	if out.Snapshot != nil {
		d.snap, d.log, last = *out.Snapshot, nil, out.Snapshot.Index
	}
	if out.Truncate > 0 {
		d.log = slices.DeleteFunc(d.log, func(e consensus.Entry) bool { return e.Index >= out.Truncate })
	}
	for _, e := range out.Entries {
		d.log, last = append(d.log, e), e.Index
	}
	return last
}

func (w *world) post(ms []consensus.Message) {
	for _, m := range ms {
		if w.rng.IntN(15) > 0 {
			w.mail = append(w.mail, letter{w.now + time.Duration(1+w.rng.IntN(20))*time.Millisecond, m})
		}
	}
}

func (w *world) settle(n *node) {
	out := n.m.Take()
	w.post(out.Now)
	if w.fault == "acknowledges before storing" {
		w.post(out.After)
		n.m.Stored(n.m.Last(), w.now)
		out.After = nil
	}
	if !out.Empty() || len(out.After) > 0 {
		n.queue = append(n.queue, write{w.now + time.Duration(w.rng.IntN(30))*time.Millisecond, out})
	}
	if out.Install != nil {
		n.applied = out.Install.Index
	}
	for _, e := range out.Committed {
		if n.applied = e.Index; int(e.Index) <= len(w.history) {
			if have := w.history[e.Index-1]; have.Term != e.Term || string(have.Data) != string(e.Data) {
				w.wrong = fmt.Sprintf("%s applies another entry at %d", n.name, e.Index)
			}
		} else {
			w.history = append(w.history, e)
		}
		if term, ok := n.waiting[e.Index]; ok && term == e.Term {
			w.acked[e.Index] = string(e.Data)
		}
	}
	if n.m.Role() == consensus.Leader && w.rng.IntN(40) == 0 && n.m.Commit() > 6 {
		n.m.Compact(n.applied, []byte("state"))
	}
}

func (w *world) calm() bool {
	for _, n := range w.nodes {
		if n.downTil > w.now || n.m.Blank() || n.m.Commit() < uint64(len(w.history)) {
			return false
		}
	}
	return len(w.cut) == 0
}

func (w *world) fail(n *node, wipe bool) {
	n.downTil = w.now + time.Duration(w.rng.IntN(400))*time.Millisecond
	n.queue = nil
	if wipe {
		n.disk = disk{hard: consensus.HardState{Blank: w.fault != "votes with an empty disk"}}
	}
	w.mail = slices.DeleteFunc(w.mail, func(l letter) bool { return l.m.From == n.name || l.m.To == n.name })
	w.start(n)
}

func (w *world) play(for_ time.Duration) string {
	for ; w.now < for_ && w.wrong == ""; w.now += step {
		switch w.rng.IntN(300) {
		case 0:
			w.fail(w.nodes[w.names[w.rng.IntN(len(w.names))]], false)
		case 1: // all lose power
			for _, name := range w.names {
				w.fail(w.nodes[name], false)
			}
		case 2, 3: // as many as are borne lose their disks, perhaps just as the others lose power
			if w.calm() {
				lost := w.rng.Perm(len(w.names))[:1+w.rng.IntN(w.lost)]
				others := w.rng.IntN(2) == 0
				for i, name := range w.names {
					if wiped := slices.Contains(lost, i); wiped || others {
						w.fail(w.nodes[name], wiped)
					}
				}
			}
		case 4:
			w.cut[w.names[w.rng.IntN(len(w.names))]] = true
		case 5, 6:
			clear(w.cut)
		}
		for _, name := range w.names {
			n := w.nodes[name]
			if n.downTil > w.now {
				continue
			}
			for len(n.queue) > 0 && n.queue[0].at <= w.now {
				out := n.queue[0].out
				n.queue = n.queue[1:]
				last := n.disk.store(out)
				w.post(out.After)
				if last > 0 {
					n.m.Stored(last, w.now)
				}
			}
			n.m.Tick(w.now)
			if n.m.Role() == consensus.Leader && w.rng.IntN(15) == 0 {
				w.next++
				if index, term, ok := n.m.Propose(fmt.Appendf(nil, "change %d", w.next), w.now); ok {
					n.waiting[index] = term
				}
			}
			w.settle(n)
		}
		mail := w.mail
		w.mail = nil
		for _, l := range mail {
			n := w.nodes[l.m.To]
			switch {
			case l.at > w.now:
				w.mail = append(w.mail, l)
			case n.downTil > w.now || w.cut[l.m.From] || w.cut[l.m.To]:
			default:
				n.m.Step(l.m, w.now)
				w.settle(n)
			}
		}
		for at, data := range w.acked {
			if string(w.history[at-1].Data) != data {
				w.wrong = fmt.Sprintf("what was acknowledged at %d is gone", at)
			}
		}
	}
	return w.wrong
}
