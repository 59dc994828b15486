package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/reservation"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/edge/picker"
	"mulleinwood/internal/edge/retrybudget"
)

// Result is what a day showed.
type Result struct {
	Broken  string // the first rule that was broken, and how
	Changes int    // acknowledged
	Runs    int    // keyed operations that ran
	Repeats int    // tries of keys that had been tried before

	Requests int // safe and unsafe ones, of clients
	Served   int
	Late     int // of those served, after their aim
	Refused  int
	Unknown  int // broken off, or without an answer in time
	Drains   int // that were acknowledged
	Further  int // arrivals at servers beyond the first of a request
	Steps    int // events that deciders were fed

	Tenant, Others Tenant // of busy days

	Took   []time.Duration // of those served, if the day asks for it
	Work   float64         // seconds that requests ran
	Beside float64         // and waited at a server while another of the service had a free slot
}

// Add sums up.
func (r *Result) Add(o Result) {
	r.Changes, r.Runs, r.Repeats = r.Changes+o.Changes, r.Runs+o.Runs, r.Repeats+o.Repeats
	r.Requests, r.Served, r.Late = r.Requests+o.Requests, r.Served+o.Served, r.Late+o.Late
	r.Refused, r.Unknown, r.Drains = r.Refused+o.Refused, r.Unknown+o.Unknown, r.Drains+o.Drains
	r.Further, r.Steps = r.Further+o.Further, r.Steps+o.Steps
	r.Tenant.add(o.Tenant)
	r.Others.add(o.Others)
	r.Work, r.Beside = r.Work+o.Work, r.Beside+o.Beside
}

func (r *Result) took(d time.Duration) {
	if r.Took != nil {
		r.Took = append(r.Took, d)
	}
}

const (
	step    = 5 * time.Millisecond
	window  = time.Minute
	hedge   = 20 * time.Millisecond
	limit   = 900 * time.Millisecond
	edgeFor = 60 * time.Millisecond // until an edge asks a second controller
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
	history  []consensus.Entry
	writers  []*writer
	ackTimes []ackedAt
	runs     map[idempotency.Key]int
	tried    map[idempotency.Key]bool
	next     uint64

	wires     []*wire
	byEnds    map[[2]int]*wire
	services  []string
	servers   []*server
	at        map[string]*server // the process at an address
	slowed    map[*server]time.Duration
	lives     int
	addresses int
	coreCalm  time.Duration // from when the core has been without trouble for long enough

	// The auditor's own books.
	seen    map[uint64]int // arrivals of a request
	ranBy   map[uint64]int
	refused map[uint64]bool
	reached map[*try]bool
	asked   map[string][]time.Duration
	extra   map[string][]time.Duration
	worked  map[[2]int]uint64 // version by which an edge's life worked last

	bookAcked bool
	wholes    []int // of the booking, at each look

	forced     map[string]force  // calls that came into force
	forceAt    []uint64          // the version in force after each entry of the history
	inForce    uint64            // after the last
	ackedOn    map[uint64]string // by the version that it was built on, the call that was acknowledged
	turnedAway map[string]bool   // calls that were refused
}

type ackedAt struct {
	version uint64
	at      time.Duration
}

// letter is a message on its way. It is lost with the life of either end.
type letter struct {
	at       time.Duration
	from, to int // controllers; edges are -1 - number
	lives    [2]int
	do       func()
	inner    bool // between controllers: a cut stops it
	wire     *wire
	epoch    int
	free     bool // something that the clock brings
}

type write struct {
	at    time.Duration
	store func(*disk)
	done  func(bool)
}

type disk struct {
	hard    consensus.HardState
	snap    consensus.Snapshot
	log     []consensus.Entry
	records []idempotency.Record
	blank   bool
	servers map[string]registry.Entry
}

type node struct {
	n           int
	name        string
	life        int
	up          time.Duration // down until
	cutOut      time.Duration // until when nothing of it reaches other controllers
	cutIn       time.Duration // and nothing of theirs it
	slow        time.Duration
	full        time.Duration
	disk        disk
	queue       []write
	member      *consensus.Replica
	claimStore  *idempotency.Store
	coordinator *idempotency.Coordinator
	copies      map[int]bool
	askedAt     time.Duration
	state       *statemachine.StateMachine
	waiting     map[uint64]waiter
	claims      map[idempotency.Token]func(idempotency.Ruling)

	frozen       time.Duration
	reservations nodeReservations
	tables       *weights.Tables
	others       map[int]weights.Others // what other controllers' edges bring, as last told
	registry     *registry.Registry
	broadcaster  *broadcast.Broadcaster
	calls        map[uint64]func()
	nextCall     uint64
	gone         map[int]time.Duration // controllers out of reach, since when
	summaries    int
	summarized   time.Duration
}

type edge struct {
	n, life    int
	controller int
	open       map[idempotency.Token]*claim
	voids      []void

	frozen, cut  time.Duration
	calm         time.Duration // from when it has been without trouble for long enough
	look         time.Duration
	attached     bool
	version      uint64
	registry     *registry.Registry
	picker       *picker.Picker
	budgets      map[string]*retrybudget.Budget
	met          map[string]bool
	zones        int
	turn         map[string]int // of a policy that goes round
	asked        map[string]int // requests for a service since the last report
	reports      time.Duration  // when the next one is due
	arrived      time.Duration  // at its controller
	reservations edgeReservations
	bare         map[string]time.Duration // services without a table, since when
}

type claim struct {
	record idempotency.Record
	since  time.Duration
	asked  int
	second bool
}

type void struct {
	record idempotency.Record
	at     time.Duration
	said   time.Duration
}

// Play plays a day. A decider that meets what can't be ends the day, as it would end its process.
func Play(d Day) (result Result) {
	w := &world{day: d, rng: rand.New(rand.NewPCG(d.Seed, 13)), forced: map[string]force{}, ackedOn: map[uint64]string{}, turnedAway: map[string]bool{}, runs: map[idempotency.Key]int{}, tried: map[idempotency.Key]bool{},
		at: map[string]*server{}, slowed: map[*server]time.Duration{}, seen: map[uint64]int{}, ranBy: map[uint64]int{}, refused: map[uint64]bool{},
		reached: map[*try]bool{}, asked: map[string][]time.Duration{}, extra: map[string][]time.Duration{}, worked: map[[2]int]uint64{}}
	defer func() {
		if r := recover(); r != nil {
			w.broken("FAULT: a decider ends: %v", r)
			result = w.result
		}
	}()
	if d.Latency {
		w.result.Took = []time.Duration{}
	}
	for i := range d.Members {
		w.names = append(w.names, string(rune('a'+i)))
	}
	for i := range d.Members {
		w.nodes = append(w.nodes, &node{n: i, name: w.names[i], disk: disk{servers: map[string]registry.Entry{}}})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	for i := range d.Edges {
		w.edges = append(w.edges, &edge{n: i, controller: i % d.Members, zones: d.Members, turn: map[string]int{}})
		w.restart(w.edges[i])
	}
	for i := range writers {
		w.writers = append(w.writers, &writer{n: i})
	}
	w.strung()
	for i := range d.Services {
		w.services = append(w.services, fmt.Sprint("service-", i))
	}
	for i := range d.Servers {
		if len(w.services) > 0 {
			w.addresses++
			w.newServer(w.services[i%len(w.services)], fmt.Sprint("a-", w.addresses), i%d.Members)
		}
	}
	troubles := slices.Clone(d.Troubles)
	for n := 0; w.now < d.Length && w.result.Broken == ""; n, w.now = n+1, w.now+step {
		for len(troubles) > 0 && troubles[0].At <= w.now {
			w.trouble(troubles[0])
			troubles = troubles[1:]
		}
		w.deliver()
		if n%4 == 0 {
			w.tug()
		}
		for _, n := range w.nodes {
			if w.running(n.n) {
				w.tick(n)
			}
		}
		for _, s := range w.servers {
			w.serve(s)
		}
		for _, e := range w.edges {
			if e.controller == nowhere && w.now >= e.look && e.frozen <= w.now {
				e.controller, e.look = w.bestController(e), w.now+lookAfter
			}
			w.clients(e)
			if len(w.services) > 0 {
				w.arrivals(e)
				w.report(e)
				w.say(e)
				w.crowd(e)
			}
		}
		for _, o := range w.writers {
			w.write(o)
		}
		w.book()
		w.auditReservations()
		if d.Latency {
			w.weighIdle()
		}
	}
	w.auditBudget()
	w.readBack()
	for _, extra := range w.extra {
		w.result.Further += len(extra)
	}
	for _, s := range w.servers {
		w.result.Drains += btoi(s.acked > 0)
	}
	return w.result
}

// restart gives an edge's process a new life.
func (w *world) restart(e *edge) {
	e.life++
	e.open, e.voids = map[idempotency.Token]*claim{}, nil
	e.registry, e.asked, e.bare = registry.New(90*time.Second), map[string]int{}, map[string]time.Duration{}
	e.reservations = edgeReservations{held: reservation.Holding{Life: uint64(e.life)}, gate: reservation.NewGate(), wants: map[string]int{}}
	e.arrived = w.now // as a new life, which holds nothing
	e.picker = picker.New(fmt.Sprint("z", e.n%len(w.nodes)), w.rng.Float64)
	e.budgets, e.met, e.version = map[string]*retrybudget.Budget{}, map[string]bool{}, 0
}

// after has something happen some milliseconds from now.
func (w *world) after(ms int, do func()) {
	w.mail = append(w.mail, letter{at: w.now + time.Duration(ms)*time.Millisecond, do: do, free: true})
}

// contact is how long ago the last trouble has to be for what a rule bounds by time.
const contact = 3 * time.Second

// calm tells whether the core is settled.
func (w *world) calm() bool { return w.now >= w.coreCalm }

func (w *world) trouble(t Trouble) {
	n, e := w.nodes[t.Node%len(w.nodes)], w.edges[t.Node%len(w.edges)]
	switch t.Kind {
	case Kill, Wipe, PowerAll, Cut, CutOut, CutIn, SlowDisk, FullDisk, Freeze:
		w.coreCalm = max(w.coreCalm, w.now+t.For+contact)
	case KillEdge, CutEdge, FreezeEdge:
		e.calm = max(e.calm, w.now+t.For+contact)
	}
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
		n.cutOut, n.cutIn = w.now+t.For, w.now+t.For
	case CutOut:
		n.cutOut = w.now + t.For
	case CutIn:
		n.cutIn = w.now + t.For
	case Freeze:
		n.frozen = w.now + t.For
	case SlowDisk:
		n.slow = w.now + t.For
	case FullDisk:
		n.full = w.now + t.For
	case KillEdge:
		w.restart(e)
	case CutEdge:
		e.cut = w.now + t.For
	case FreezeEdge:
		e.frozen = w.now + t.For
	default:
		if len(w.servers) > 0 {
			w.serverTrouble(t)
		}
	}
}

func (w *world) serverTrouble(t Trouble) {
	var alive []*server
	for _, s := range w.servers {
		if !s.ended && !s.leaving {
			alive = append(alive, s)
		}
	}
	if len(alive) == 0 {
		return
	}
	s := alive[t.Node%len(alive)]
	switch t.Kind {
	case Drain:
		w.leave(s)
	case Crash:
		w.end(s, t.Node%2 == 0)
	case LoseAnswers:
		s.losing = w.now + t.For
	case Garble:
		s.garbling = w.now + t.For
	case SlowServer:
		w.slowed[s] = w.now + t.For
	case Sick:
		for _, o := range alive {
			if o.service == s.service {
				o.sick = w.now + 2*t.For
			}
		}
	}
}

func (w *world) fail(n *node, down time.Duration, wipe bool) {
	n.life++
	n.up, n.queue = w.now+down, nil
	if wipe {
		n.disk = disk{hard: consensus.HardState{Blank: w.day.Fault != "votes with an empty disk"}, blank: w.day.Fault != "grants with an empty disk",
			servers: map[string]registry.Entry{}}
	}
	w.start(n)
}

// start gives a node what its disk held.
func (w *world) start(n *node) {
	n.member = consensus.New(n.name, w.names, consensus.Timing{Heartbeat: 50 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond, Lost: w.day.Lost},
		w.rng.Uint64(), n.disk.hard, n.disk.snap, slices.Clone(n.disk.log), w.now)
	n.claimStore = idempotency.NewStore(window, n.disk.blank)
	for _, r := range n.disk.records {
		n.claimStore.Load(r, w.now)
	}
	order := append(slices.Clone(w.names[n.n:]), w.names[:n.n]...)
	n.coordinator = idempotency.NewCoordinator(order, hedge, limit)
	n.copies, n.waiting, n.state = map[int]bool{}, map[uint64]waiter{}, statemachine.New()
	if n.disk.snap.Index > 0 {
		w.restores(n, n.disk.snap)
	}
	n.claims = map[idempotency.Token]func(idempotency.Ruling){}
	if w.day.Fault == "one ledger is enough" {
		n.coordinator = idempotency.NewCoordinator(w.names[n.n:n.n+1], hedge, limit)
	}
	n.registry = registry.New(90 * time.Second)
	n.broadcaster, n.calls, n.gone, n.frozen = broadcast.New(n.registry), map[uint64]func(){}, map[int]time.Duration{}, 0
	for _, id := range slices.Sorted(maps.Keys(n.disk.servers)) {
		e := n.disk.servers[id]
		e.Owner = n.name
		n.registry.Take(e, w.now)
	}
	w.newTables(n)
	w.newReservations(n)
	for _, o := range w.nodes {
		if o != n && o.coordinator != nil { // the others hear of the new life before it asks them for anything
			forgotten := o.coordinator.Forget(n.name)
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
	var kept []letter
	for _, l := range mail {
		if l.at > w.now {
			kept = append(kept, l)
			continue
		}
		if l.free {
			w.result.Steps++
			l.do()
			continue
		}
		switch {
		case w.life(l.from) != l.lives[0] || w.life(l.to) != l.lives[1]:
		case l.wire != nil && (!l.wire.up || l.wire.epoch != l.epoch):
		case l.wire != nil && !w.passes(l.from, l.to), !w.running(l.to) && (l.to < 0 || w.nodes[l.to].up <= w.now):
			kept = append(kept, l) // held up by a cut, or unread by a process that stands still
		case l.to >= 0 && w.nodes[l.to].up > w.now:
		case l.inner && (w.nodes[l.from].cutOut > w.now || w.nodes[l.to].cutIn > w.now):
		default:
			w.result.Steps++
			l.do()
		}
	}
	w.mail = append(kept, w.mail...)
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
			if one.done == nil { // the consensus's part waits until the disk takes it
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
	w.overdue(n)
	w.settle(n)
	asks, done := n.coordinator.Tick(w.now)
	inOrder(asks, done)
	w.ask(n, asks)
	for _, o := range done {
		w.ruled(n, o)
	}
	n.broadcaster.Tick(w.now)
	lost := func(owner string) bool {
		since, gone := n.gone[slices.Index(w.names, owner)]
		return gone && w.now-since > 2500*time.Millisecond
	}
	if changed := n.registry.Silence(n.name, lost, 5*beatOf/2, w.now); len(changed) > 0 {
		n.broadcaster.Changed(changed, w.now)
	}
	w.flush(n)
	w.weigh(n)
	w.dealReservations(n)
	if w.now >= n.summarized {
		n.summarized = w.now + summaryOf
		w.summarize(n)
	}
	if n.claimStore.Blank() && w.now >= n.askedAt {
		n.askedAt = w.now + 200*time.Millisecond
		w.copyStores(n)
	}
}

// settle does what the consensus wants done.
func (w *world) settle(n *node) {
	out := n.member.Take()
	post := func(ms []consensus.Message) {
		for _, m := range ms {
			to := slices.Index(w.names, m.To)
			w.send(n.n, to, func() {
				w.nodes[to].member.Step(m, w.now)
				w.settle(w.nodes[to])
			})
		}
	}
	post(out.Now)
	if w.day.Fault == "tells before storing" {
		post(out.After)
	}
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
				if w.day.Fault == "a snapshot drops the log after it" {
					return
				}
			}
			if out.Truncate > 0 {
				d.log = slices.DeleteFunc(d.log, func(e consensus.Entry) bool { return e.Index >= out.Truncate })
			}
			d.log = append(d.log, out.Entries...)
			if n.life == life {
				if w.day.Fault != "tells before storing" {
					post(out.After)
				}
				if last > 0 {
					n.member.Stored(last, w.now)
				}
			}
		}, nil)
	}
	if out.Install != nil {
		w.restores(n, *out.Install)
	}
	before := n.state.Version()
	for _, e := range out.Committed {
		if int(e.Index) <= len(w.history) {
			if have := w.history[e.Index-1]; have.Term != e.Term || string(have.Data) != string(e.Data) {
				w.result.Broken = fmt.Sprintf("CONFIG: %s holds another change at %d", n.name, e.Index)
			}
		} else {
			w.history = append(w.history, e)
			w.entered(e)
		}
		w.applies(n, e)
	}
	if version := n.state.Version(); version != before || out.Install != nil {
		for _, k := range w.wires {
			if k.up && k.a < 0 && k.b == n.n {
				w.wired(k, n.n, func() { w.edgeTakes(w.edges[-1-k.a], version) })
			}
		}
	}
	if n.state.Since > snapAfter {
		if data, err := n.state.Save(); err == nil {
			n.member.Compact(n.state.Index, data)
			n.state.Since = 0
		}
	}
}

const snapAfter = 30 // entries

// restores gives a node what a snapshot holds.
func (w *world) restores(n *node, s consensus.Snapshot) {
	if err := n.state.Restore(s); err != nil {
		w.broken("FAULT: %s can't read a snapshot: %v", n.name, err)
	} else if want := w.forceAt[s.Index-1]; n.state.Version() != want {
		w.broken("LOST: a snapshot of entry %d holds r%d, not r%d", s.Index, n.state.Version(), want)
	}
}

func sortedKeys[V any](m map[uint64]V) []uint64 { return slices.Sorted(maps.Keys(m)) }
