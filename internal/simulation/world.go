package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
)

const (
	step    = 5 * time.Millisecond
	window  = time.Minute
	hedge   = 20 * time.Millisecond
	limit   = 900 * time.Millisecond
	edgeFor = 60 * time.Millisecond // until an edge asks a second controller
	giveUp  = 400 * time.Millisecond
	voidFor = 4 * time.Second
)

// world is everything of a day that is played.
type world struct {
	day      Day
	rng      *rand.Rand
	now      time.Duration
	places   []*node  // the machines that stand where the first ones stood
	names    []string // addresses of controllers, by number
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
	books   memberBooks
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

func newWorld(d Day) *world {
	return &world{day: d, rng: rand.New(rand.NewPCG(d.Seed, 13)), runs: map[idempotency.Key]int{}, tried: map[idempotency.Key]bool{},
		byEnds: map[[2]int]*wire{}, at: map[string]*server{}, slowed: map[*server]time.Duration{},
		seen: map[uint64]int{}, ranBy: map[uint64]int{}, refused: map[uint64]bool{}, reached: map[*try]bool{},
		asked: map[string][]time.Duration{}, extra: map[string][]time.Duration{}, worked: map[[2]int]uint64{},
		forced: map[string]force{}, ackedOn: map[uint64]string{}, turnedAway: map[string]bool{},
		books: memberBooks{removed: map[string]uint64{}, leaders: map[uint64]string{}, settleBy: settleWithin}}
}

// Play plays a day. A decider that meets what can't be ends the day, as it would end its process.
func Play(d Day) (result Result) {
	w := newWorld(d)
	defer func() {
		if r := recover(); r != nil {
			w.broken("FAULT: a decider ends: %v", r)
			result = w.result
		}
	}()
	w.set()
	troubles := slices.Clone(d.Troubles)
	for n := 0; w.now < d.Length && w.result.Broken == ""; n, w.now = n+1, w.now+step {
		for len(troubles) > 0 && troubles[0].At <= w.now {
			w.trouble(troubles[0])
			troubles = troubles[1:]
		}
		w.wake()
		w.deliver()
		if n%4 == 0 {
			w.tug()
		}
		w.turn()
	}
	w.auditBudget()
	w.readBack()
	w.auditEnd()
	w.sumUp()
	return w.result
}

// set puts everything in its place, as it is when a day begins.
func (w *world) set() {
	d := w.day
	if d.Latency {
		w.result.Took = []time.Duration{}
	}
	for i := range d.Members {
		w.newNode(i)
	}
	for _, n := range w.nodes {
		w.places = append(w.places, n)
		if d.Seeds == 0 {
			n.found(slices.Clone(w.names))
		} else {
			n.awaitFounding()
		}
		w.start(n)
	}
	for i := range d.Edges {
		w.edges = append(w.edges, &edge{n: i, controller: i % d.Members, zones: d.Members, turn: map[string]int{}})
		w.restart(w.edges[i])
	}
	for i := range d.writers() {
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
}

// turn lets every process act once.
func (w *world) turn() {
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
	if w.day.Settles {
		w.reads()
	}
	w.auditWhole()
	if w.day.Latency {
		w.weighIdle()
	}
}

func (w *world) sumUp() {
	for _, extra := range w.extra {
		w.result.Further += len(extra)
	}
	for _, s := range w.servers {
		w.result.Drains += btoi(s.acked > 0)
	}
}

func (w *world) broken(format string, args ...any) {
	if w.result.Broken == "" {
		w.result.Broken = fmt.Sprintf(format, args...)
	}
}

func zoneName(zone int) string { return fmt.Sprint("z", zone) }
