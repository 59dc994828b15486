package rehearse

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinwood/internal/agreement"
	"mulleinwood/internal/ticket"
)

// Result is what a day showed.
type Result struct {
	Broken  string // the first rule that was broken, and how
	Changes int    // acknowledged
	Runs    int    // operations that servers ran
	Repeats int    // tries of keys that had been tried before
}

const (
	step    = 5 * time.Millisecond
	window  = time.Minute
	hurry   = 20 * time.Millisecond
	limit   = 900 * time.Millisecond
	edgeFor = 60 * time.Millisecond // until an edge asks a second exchange
	giveUp  = 400 * time.Millisecond
	voidFor = 4 * time.Second
)

type world struct {
	day      Day
	rng      *rand.Rand
	now      time.Duration
	names    []string
	nodes    []*node
	edges    []*edge
	mail     []letter
	result   Result
	history  []agreement.Entry
	acked    map[uint64]string
	runs     map[ticket.Key]int
	tried    map[ticket.Key]bool
	next     uint64
	proposed int
}

// letter is a message on its way. It is lost with the life of either end.
type letter struct {
	at       time.Duration
	from, to int // exchanges; edges are -1 - number
	lives    [2]int
	do       func()
	inner    bool // between exchanges: a cut stops it
}

type write struct {
	at    time.Duration
	store func(*disk)
	done  func(bool)
}

type disk struct {
	hard    agreement.Hard
	snap    agreement.Snapshot
	log     []agreement.Entry
	records []ticket.Record
	blank   bool
}

type node struct {
	n       int
	name    string
	life    int
	up      time.Duration // down until
	cut     time.Duration
	slow    time.Duration
	full    time.Duration
	disk    disk
	queue   []write
	member  *agreement.Member
	ledger  *ticket.Ledger
	office  *ticket.Office
	copies  map[int]bool
	askedAt time.Duration
	applied uint64
	waiting map[uint64]uint64
	claims  map[ticket.Token]func(ticket.Ruling)
}

type edge struct {
	n, life int
	home    int
	open    map[ticket.Token]*claim
	voids   []void
}

type claim struct {
	record ticket.Record
	since  time.Duration
	asked  int
	second bool
}

type void struct {
	record ticket.Record
	at     time.Duration
	said   time.Duration
}

// Play plays a day.
func Play(d Day) Result {
	w := &world{day: d, rng: rand.New(rand.NewPCG(d.Seed, 13)), acked: map[uint64]string{}, runs: map[ticket.Key]int{}, tried: map[ticket.Key]bool{}}
	for i := range d.Members {
		w.names = append(w.names, string(rune('a'+i)))
	}
	for i := range d.Members {
		w.nodes = append(w.nodes, &node{n: i, name: w.names[i]})
		w.start(w.nodes[i])
	}
	for i := range d.Edges {
		w.edges = append(w.edges, &edge{n: i, home: i % d.Members, open: map[ticket.Token]*claim{}})
	}
	troubles := slices.Clone(d.Troubles)
	for ; w.now < d.Length && w.result.Broken == ""; w.now += step {
		for len(troubles) > 0 && troubles[0].At <= w.now {
			w.trouble(troubles[0])
			troubles = troubles[1:]
		}
		w.deliver()
		for _, n := range w.nodes {
			if n.up <= w.now {
				w.tick(n)
			}
		}
		for _, e := range w.edges {
			w.clients(e)
		}
		w.audit()
	}
	return w.result
}

func (w *world) trouble(t Trouble) {
	n := w.nodes[t.Node%len(w.nodes)]
	switch t.Kind {
	case Kill:
		w.fail(n, t.For, false)
	case Wipe:
		w.fail(n, t.For, true)
	case PowerAll:
		for _, n := range w.nodes {
			w.fail(n, t.For, false)
		}
	case Cut:
		n.cut = w.now + t.For
	case SlowDisk:
		n.slow = w.now + t.For
	case FullDisk:
		n.full = w.now + t.For
	case KillEdge:
		e := w.edges[t.Node%len(w.edges)]
		e.life++
		e.open, e.voids = map[ticket.Token]*claim{}, nil
	}
}

func (w *world) fail(n *node, down time.Duration, wipe bool) {
	n.life++
	n.up, n.queue = w.now+down, nil
	if wipe {
		n.disk = disk{hard: agreement.Hard{Blank: true}, blank: w.day.Fault != "grants with an empty disk"}
	}
	w.start(n)
}

// start gives a node what its disk held.
func (w *world) start(n *node) {
	n.member = agreement.New(n.name, w.names, agreement.Timing{Beat: 50 * time.Millisecond, Patience: 150 * time.Millisecond, Lost: w.day.Lost},
		w.rng.Uint64(), n.disk.hard, n.disk.snap, slices.Clone(n.disk.log), w.now)
	n.ledger = ticket.NewLedger(window, n.disk.blank)
	for _, r := range n.disk.records {
		n.ledger.Load(r, w.now)
	}
	order := append(slices.Clone(w.names[n.n:]), w.names[:n.n]...)
	n.office = ticket.NewOffice(order, hurry, limit)
	n.copies, n.waiting, n.applied = map[int]bool{}, map[uint64]uint64{}, n.disk.snap.Index
	n.claims = map[ticket.Token]func(ticket.Ruling){}
	for _, o := range w.nodes {
		if o != n { // the others hear of the new life before it asks them for anything
			forgotten := o.office.Forget(n.name)
			inOrder(nil, forgotten)
			for _, done := range forgotten {
				w.ruled(o, done)
			}
		}
	}
}

func (w *world) life(who int) int {
	if who < 0 {
		return w.edges[-1-who].life
	}
	return w.nodes[who].life
}

// send delivers later, or never.
func (w *world) send(from, to int, do func()) {
	if w.rng.IntN(40) == 0 {
		return
	}
	w.mail = append(w.mail, letter{at: w.now + time.Duration(1+w.rng.IntN(9))*time.Millisecond, from: from, to: to,
		lives: [2]int{w.life(from), w.life(to)}, do: do, inner: from >= 0 && to >= 0})
}

func (w *world) deliver() {
	mail := w.mail
	w.mail = nil
	for _, l := range mail {
		switch {
		case l.at > w.now:
			w.mail = append(w.mail, l)
		case w.life(l.from) != l.lives[0] || w.life(l.to) != l.lives[1]:
		case l.to >= 0 && w.nodes[l.to].up > w.now:
		case l.inner && (w.nodes[l.from].cut > w.now || w.nodes[l.to].cut > w.now):
		default:
			l.do()
		}
	}
}

// persist puts a write behind those that wait for the disk.
func (w *world) persist(n *node, store func(*disk), done func(bool)) {
	takes := time.Duration(1+w.rng.IntN(4)) * time.Millisecond
	if n.slow > w.now {
		takes *= 25
	}
	at := w.now + takes
	if len(n.queue) > 0 {
		at = max(at, n.queue[len(n.queue)-1].at)
	}
	n.queue = append(n.queue, write{at, store, done})
}

func (w *world) tick(n *node) {
	for len(n.queue) > 0 && n.queue[0].at <= w.now {
		one := n.queue[0]
		n.queue = n.queue[1:]
		if n.full > w.now {
			if one.done == nil { // the agreement's part waits until the disk takes it
				n.queue = append([]write{{w.now + 100*time.Millisecond, one.store, nil}}, n.queue...)
				break
			}
			one.done(false)
			continue
		}
		one.store(&n.disk)
		if one.done != nil {
			one.done(true)
		}
	}
	n.member.Tick(w.now)
	if n.member.Role() == agreement.Leader && w.rng.IntN(20) == 0 {
		w.proposed++
		if index, term, ok := n.member.Propose(fmt.Appendf(nil, "change %d", w.proposed), w.now); ok {
			n.waiting[index] = term
		}
	}
	w.settle(n)
	asks, done := n.office.Tick(w.now)
	inOrder(asks, done)
	w.ask(n, asks)
	for _, o := range done {
		w.ruled(n, o)
	}
	if n.ledger.Blank() && w.now >= n.askedAt {
		n.askedAt = w.now + 200*time.Millisecond
		w.copyLedgers(n)
	}
}

// settle does what the agreement wants done.
func (w *world) settle(n *node) {
	out := n.member.Take()
	post := func(ms []agreement.Message) {
		for _, m := range ms {
			to := slices.Index(w.names, m.To)
			w.send(n.n, to, func() {
				w.nodes[to].member.Step(m, w.now)
				w.settle(w.nodes[to])
			})
		}
	}
	post(out.Now)
	if !out.Empty() || len(out.After) > 0 {
		last := uint64(0)
		if k := len(out.Entries); k > 0 {
			last = out.Entries[k-1].Index
		} else if out.Snapshot != nil {
			last = out.Snapshot.Index
		}
		life := n.life
		w.persist(n, func(d *disk) {
			if out.Hard != nil {
				d.hard = *out.Hard
			}
			if out.Snapshot != nil {
				d.snap, d.log = *out.Snapshot, nil
			}
			if out.Truncate > 0 {
				d.log = slices.DeleteFunc(d.log, func(e agreement.Entry) bool { return e.Index >= out.Truncate })
			}
			d.log = append(d.log, out.Entries...)
			if n.life == life {
				post(out.After)
				if last > 0 {
					n.member.Stored(last, w.now)
				}
			}
		}, nil)
	}
	if out.Install != nil {
		n.applied = out.Install.Index
	}
	for _, e := range out.Committed {
		n.applied = e.Index
		if int(e.Index) <= len(w.history) {
			if have := w.history[e.Index-1]; have.Term != e.Term || string(have.Data) != string(e.Data) {
				w.result.Broken = fmt.Sprintf("CONFIG: %s holds another change at %d", n.name, e.Index)
			}
		} else {
			w.history = append(w.history, e)
		}
		if term, ok := n.waiting[e.Index]; ok && term == e.Term && len(e.Data) > 0 {
			w.acked[e.Index] = string(e.Data)
			w.result.Changes++
		}
	}
	if n.member.Role() == agreement.Leader && n.applied > n.disk.snap.Index+30 {
		n.member.Compact(n.applied, []byte("state"))
	}
}

// audit holds what was acknowledged against what is committed.
func (w *world) audit() {
	for at, data := range w.acked {
		if string(w.history[at-1].Data) != data {
			w.result.Broken = fmt.Sprintf("LOST: what was acknowledged at %d is gone", at)
		}
	}
}
