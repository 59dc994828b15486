package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/peer"
)

// Spans of links and controllers, as the programs have them.
const (
	silence   = 800 * time.Millisecond
	redial    = 300 * time.Millisecond
	summaryOf = 250 * time.Millisecond
	fullOf    = 4 // summaries, of which one is full
	lookAfter = 60 * time.Millisecond
)

// wire is a connection between two processes: in order, and without loss while it holds. A cut holds its bytes up; one
// that lasts for longer than silence breaks it, and so does the end of a process.
type wire struct {
	a, b   int // b is a controller; a another one, or an edge
	up     bool
	lives  [2]int
	mute   time.Duration // since when nothing passes
	silent bool
	again  time.Duration // not made anew before
	epoch  int
	free   [2]time.Duration
	cells  [2]peer.DigestComparison
}

func linkName(who int) string {
	if who < 0 {
		return fmt.Sprint("edge ", -1-who)
	}
	return fmt.Sprint("exchange ", who)
}

// running tells whether a process is up, and not standing still.
func (w *world) running(who int) bool {
	if who < 0 {
		return w.edges[-1-who].frozen <= w.now
	}
	return w.nodes[who].up <= w.now && w.nodes[who].frozen <= w.now
}

// passes tells whether bytes get from one process to another.
func (w *world) passes(a, b int) bool {
	for _, who := range []int{a, b} {
		if who < 0 && w.edges[-1-who].cut > w.now || who >= 0 && w.nodes[who].up > w.now {
			return false
		}
	}
	return a < 0 || b < 0 || w.nodes[a].cutOut <= w.now && w.nodes[b].cutIn <= w.now
}

// tug makes and breaks wires. It is called every few steps.
func (w *world) tug() {
	for _, k := range w.wires {
		alive := [2]int{w.life(k.a), w.life(k.b)}
		passes := w.passes(k.a, k.b) && w.passes(k.b, k.a) && w.running(k.a) && w.running(k.b)
		wanted := k.a >= 0 || w.edges[-1-k.a].controller == k.b
		switch {
		case k.up && alive != k.lives, k.up && !wanted:
			w.snap(k)
		case k.up && !passes:
			if !k.silent {
				k.silent, k.mute = true, w.now
			} else if w.now-k.mute > silence {
				w.snap(k)
			}
		case k.up:
			k.silent = false
		case wanted && passes && w.now >= k.again:
			w.plug(k)
		}
	}
}

// snap breaks a wire: both ends that still live hear of it.
func (w *world) snap(k *wire) {
	k.up, k.again = false, w.now+redial
	k.epoch++
	for i, who := range []int{k.a, k.b} {
		other := []int{k.b, k.a}[i]
		if who >= 0 && w.life(who) == k.lives[i] {
			n := w.nodes[who]
			n.broadcaster.RemovePeer(linkName(other))
			delete(n.others, other)
			if other < 0 {
				n.tables.Leave(linkName(other))
			}
			n.goneSince[other] = w.now
			delete(n.standings, other)
			w.flush(n)
		}
	}
	if k.a < 0 && w.edges[-1-k.a].controller == k.b {
		w.edges[-1-k.a].controller, w.edges[-1-k.a].look = nowhere, w.now+lookAfter
	}
}

// plug makes a wire: each end sends what it knows, and then what changes.
func (w *world) plug(k *wire) {
	k.up, k.silent, k.lives = true, false, [2]int{w.life(k.a), w.life(k.b)}
	k.epoch++
	k.free = [2]time.Duration{}
	for i, who := range []int{k.a, k.b} {
		other := []int{k.b, k.a}[i]
		if who < 0 {
			e := w.edges[-1-who]
			if all := e.registry.All(w.now); len(all) > 0 {
				w.wired(k, who, func() { w.tell(w.nodes[other], who, all, 0) })
			}
			continue
		}
		n := w.nodes[who]
		n.broadcaster.AddPeer(linkName(other), other < 0)
		delete(n.goneSince, other)
		all, version := n.registry.All(w.now), n.state.Version()
		if w.day.Fault == "an edge takes any version" { // and its controller lags behind at first
			if version = 0; n.disk.snap.Index > 0 {
				version = w.forceAt[n.disk.snap.Index-1]
			}
		}
		if other < 0 {
			n.tables.Join(linkName(other), zoneName(w.edges[-1-other].zone()))
			w.edges[-1-other].arrived = w.now
			w.wired(k, who, func() {
				w.edgeHears(w.edges[-1-other], all)
				w.edgeTakes(w.edges[-1-other], version)
			})
		} else {
			w.wired(k, who, func() { w.tell(w.nodes[other], who, all, 0) })
			w.sayStanding(n, k)
			w.sayFounders(n, k)
		}
		w.flush(n)
	}
}

// wired sends over a wire.
func (w *world) wired(k *wire, from int, do func()) {
	servers := 0
	if from == k.b {
		servers = 1
	}
	at := max(k.free[servers], w.now+time.Duration(1+w.rng.IntN(5))*time.Millisecond)
	k.free[servers] = at
	to := k.a + k.b - from
	w.mail = append(w.mail, letter{at: at, from: from, to: to, lives: [2]int{w.life(from), w.life(to)}, do: do, wire: k, epoch: k.epoch})
}

// between finds the wire of two processes.
func (w *world) between(a, b int) *wire {
	if a > b {
		a, b = b, a
	}
	if k := w.byEnds[[2]int{a, b}]; k != nil && k.up {
		return k
	}
	return nil
}

// tell hands a controller what another process knows of servers.
func (w *world) tell(n *node, from int, entries []registry.Entry, receipt uint64) {
	n.broadcaster.HandleUpdate(linkName(from), entries, receipt, w.now)
	w.flush(n)
}

// flush sends what a controller's broadcaster wants told.
func (w *world) flush(n *node) {
	out := n.broadcaster.DrainOutput()
	if len(out.Updates) > 0 {
		news := out.Updates
		n.tables.UpdateServers(news, w.now)
		w.persist(n, func(d *disk) {
			for _, e := range news {
				d.servers[e.ID] = e
			}
		}, func(bool) {})
	}
	for _, s := range out.Messages {
		var kind string
		var num int
		if _, err := fmt.Sscan(s.To, &kind, &num); err != nil {
			panic(err) // names are made by linkName
		}
		if kind == "edge" {
			num = -1 - num
		}
		k := w.between(n.n, num)
		if k == nil {
			continue
		}
		if num >= 0 {
			w.wired(k, n.n, func() {
				o := w.nodes[num]
				if s.Acked != 0 {
					o.broadcaster.HandleAck(linkName(n.n), s.Acked)
				}
				w.tell(o, n.n, s.Entries, s.AckID)
			})
			continue
		}
		w.wired(k, n.n, func() {
			w.edgeHears(w.edges[-1-num], s.Entries)
			if s.AckID != 0 {
				w.wired(k, num, func() {
					n.broadcaster.HandleAck(linkName(num), s.AckID)
					w.flush(n)
				})
			}
		})
	}
	for _, call := range out.AckedCalls {
		if done := n.calls[call]; done != nil {
			delete(n.calls, call)
			done()
		}
	}
}

// summarize lets a controller's links know how it is.
func (w *world) summarize(n *node) {
	n.summaries++
	full := n.summaries%fullOf == 0
	attached, sum := n.member.HasQuorumContact(w.now) && !n.leaving, n.registry.Digest()
	var hears []string
	for _, k := range w.wires {
		if k.up && k.a >= 0 && (k.a == n.n || k.b == n.n) {
			hears = append(hears, linkName(k.a+k.b-n.n))
		}
	}
	wall := w.wallOf(n)
	n.reservations.clock.Observe(n.name, wall, w.now)
	mine := weights.PeerTraffic{TrafficByZone: n.tables.OwnTraffic()}
	for _, k := range w.wires {
		mine.Edges += btoi(k.up && k.a < 0 && k.b == n.n)
	}
	for _, k := range w.wires {
		if !k.up || k.a != n.n && k.b != n.n {
			continue
		}
		other := k.a + k.b - n.n
		w.wired(k, n.n, func() {
			if other >= 0 {
				if o := w.nodes[other]; full {
					o.others[n.n] = mine
					o.reservations.clock.Observe(n.name, wall, w.now)
					o.broadcaster.SetPeerLinks(linkName(n.n), hears)
					if k.cells[btoi(other == k.b)].Due(sum, o.registry.Digest(), w.now) {
						w.compare(k, other, n.n, &peer.Digests{ByZone: o.registry.ZoneDigests()})
					}
				}
				return
			}
			e := w.edges[-1-other]
			if w.day.Policy == "" {
				e.picker.AssignSlots(w.roster(e.zone()), uint32(e.n))
			}
			if e.attached = attached; !attached && w.now > e.look {
				e.look = w.now + 2*lookAfter
				if to := w.bestController(e); to != nowhere && to != e.controller && w.nodes[to].member.HasQuorumContact(w.now) && !w.nodes[to].leaving {
					e.controller = to
				}
			}
			if full && k.cells[0].Due(sum, e.registry.Digest(), w.now) {
				w.compare(k, other, n.n, &peer.Digests{ByZone: e.registry.ZoneDigests()})
			}
		})
	}
}

// zone is where an edge stands.
func (e *edge) zone() int { return e.n % e.zones }

// roster is the edges of a zone, as the controllers that are in touch know them.
func (w *world) roster(zone int) (all []uint32) {
	for _, e := range w.edges {
		if e.zone() == zone && e.controller != nowhere {
			all = append(all, uint32(e.n))
		}
	}
	return all
}

// compare carries one step of comparing cells.
func (w *world) compare(k *wire, from, to int, cells *peer.Digests) {
	w.wired(k, from, func() {
		servers := w.registryOf(to)
		reply := cells.Compare(servers, w.now)
		if reply == nil {
			return
		}
		answer := peer.FrameOf(reply...)
		w.wired(k, to, func() {
			if from < 0 {
				w.edgeHears(w.edges[-1-from], answer.Entries)
			} else {
				w.tell(w.nodes[from], to, answer.Entries, 0)
			}
			if answer.Digests != nil {
				if last := answer.Digests.Compare(w.registryOf(from), w.now); last != nil {
					w.wired(k, from, func() {
						if to >= 0 {
							w.tell(w.nodes[to], from, peer.FrameOf(last...).Entries, 0)
						}
					})
				}
			}
		})
	})
}

func (w *world) registryOf(who int) *registry.Registry {
	if who < 0 {
		return w.edges[-1-who].registry
	}
	return w.nodes[who].registry
}

const nowhere = -1000

// bestHome is where an edge would belong: a controller that it reaches and that hears more than half of the core.
func (w *world) bestController(e *edge) int {
	best, score := nowhere, -1
	for i := range w.nodes {
		n := w.nodes[(e.n+i)%len(w.nodes)]
		if !w.passes(-1-e.n, n.n) || !w.running(n.n) {
			continue
		}
		if s := 1 + btoi(n.member.HasQuorumContact(w.now) && !n.leaving); s > score {
			best, score = n.n, s
		}
	}
	return best
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// strung lays a wire between each two controllers, and from each edge to each controller.
func (w *world) strung() {
	for b := range w.nodes {
		for a := -len(w.edges); a < b; a++ {
			w.layOne(a, b)
		}
	}
	slices.SortFunc(w.wires, func(x, y *wire) int { return cmp.Or(cmp.Compare(x.a, y.a), cmp.Compare(x.b, y.b)) })
}

// lay lays wires from a new controller to all that are there.
func (w *world) lay(n *node) {
	for a := -len(w.edges); a < n.n; a++ {
		w.layOne(a, n.n)
	}
}

func (w *world) layOne(a, b int) {
	k := &wire{a: a, b: b}
	w.wires = append(w.wires, k)
	w.byEnds[[2]int{a, b}] = k
}
