package simulation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mulleinwood/internal/control/broadcast"
	"mulleinwood/internal/control/registry"
	"mulleinwood/internal/control/weights"
	"mulleinwood/internal/peer"
)

// Intervals and timeouts of links and controllers, as in the programs.
const (
	linkTimeout      = 800 * time.Millisecond
	redialDelay      = 300 * time.Millisecond
	summaryInterval  = 250 * time.Millisecond
	fullSummaryEvery = 4 // number of summaries of which one is full
	searchInterval   = 60 * time.Millisecond
)

// link is a connection between two processes. It delivers in order and without loss while it is up. A partition delays its
// messages; one that lasts longer than linkTimeout breaks the link, and so does the end of a process.
type link struct {
	a, b         int // b is a controller; a is another controller or an edge
	up           bool
	incarnations [2]int
	silentSince  time.Duration // when it became silent
	silent       bool
	redialAt     time.Duration // time before which the link isn't reconnected
	epoch        int
	nextDelivery [2]time.Duration
	digests      [2]peer.DigestComparison
}

func linkName(process int) string {
	if process < 0 {
		return fmt.Sprint("edge ", -1-process)
	}
	return fmt.Sprint("exchange ", process)
}

// isRunning reports whether a process is up and not suspended.
func (w *cluster) isRunning(process int) bool {
	if process < 0 {
		return w.edges[-1-process].frozenUntil <= w.now
	}
	return w.controllers[process].downUntil <= w.now && w.controllers[process].frozenUntil <= w.now
}

// isReachable reports whether messages pass from a to b.
func (w *cluster) isReachable(a, b int) bool {
	for _, process := range []int{a, b} {
		if process < 0 && w.edges[-1-process].partitionUntil > w.now || process >= 0 && w.controllers[process].downUntil > w.now {
			return false
		}
	}
	return a < 0 || b < 0 || w.controllers[a].outboundPartitionUntil <= w.now && w.controllers[b].inboundPartitionUntil <= w.now
}

// maintainLinks connects and breaks links. It is called every few ticks.
func (w *cluster) maintainLinks() {
	for _, k := range w.links {
		incarnations := [2]int{w.incarnationOf(k.a), w.incarnationOf(k.b)}
		passes := w.isReachable(k.a, k.b) && w.isReachable(k.b, k.a) && w.isRunning(k.a) && w.isRunning(k.b)
		wanted := k.a >= 0 || w.edges[-1-k.a].controller == k.b
		switch {
		case k.up && incarnations != k.incarnations, k.up && !wanted:
			w.breakLink(k)
		case k.up && !passes:
			if !k.silent {
				k.silent, k.silentSince = true, w.now
			} else if w.now-k.silentSince > linkTimeout {
				w.breakLink(k)
			}
		case k.up:
			k.silent = false
		case wanted && passes && w.now >= k.redialAt:
			w.connect(k)
		case wanted && !passes && k.a < 0: // the edge can't connect to the controller that it chose
			w.detach(w.edges[-1-k.a])
		}
	}
}

// breakLink breaks a link. Each controller at its ends that still runs is notified.
func (w *cluster) breakLink(k *link) {
	k.up, k.redialAt = false, w.now+redialDelay
	k.epoch++
	for i, process := range []int{k.a, k.b} {
		other := []int{k.b, k.a}[i]
		if process >= 0 && w.incarnationOf(process) == k.incarnations[i] {
			n := w.controllers[process]
			n.broadcaster.RemovePeer(linkName(other))
			delete(n.peerTraffic, other)
			if other < 0 {
				n.tables.Leave(linkName(other))
			}
			n.unreachableSince[other] = w.now
			delete(n.replicaStatuses, other)
			w.publishUpdates(n)
		}
	}
	if k.a < 0 && w.edges[-1-k.a].controller == k.b {
		w.detach(w.edges[-1-k.a])
	}
}

// detach has an edge search for another controller.
func (w *cluster) detach(e *edge) { e.controller, e.nextSearch = nowhere, w.now+searchInterval }

// connect brings a link up. Each end sends its state, and from then on its changes.
func (w *cluster) connect(k *link) {
	k.up, k.silent, k.incarnations = true, false, [2]int{w.incarnationOf(k.a), w.incarnationOf(k.b)}
	k.epoch++
	k.nextDelivery = [2]time.Duration{}
	for i, process := range []int{k.a, k.b} {
		other := []int{k.b, k.a}[i]
		if process < 0 {
			e := w.edges[-1-process]
			e.unconfirmed.MarkAllDue(w.now)
			if entries := e.registry.All(w.now); len(entries) > 0 {
				w.sendOnLink(k, process, func() { w.applyUpdate(w.controllers[other], process, entries, 0) })
			}
			continue
		}
		n := w.controllers[process]
		n.broadcaster.AddPeer(linkName(other), other < 0)
		delete(n.unreachableSince, other)
		entries, version := n.registry.All(w.now), n.state.Version()
		if w.scenario.PlantedFault == "an edge takes any version" { // its controller starts with an older version
			if version = 0; n.disk.snapshot.Index > 0 {
				version = w.versionAt[n.disk.snapshot.Index-1]
			}
		}
		if other < 0 {
			n.tables.Join(linkName(other), zoneName(w.edges[-1-other].zone()))
			w.edges[-1-other].attachedAt = w.now
			w.sendOnLink(k, process, func() {
				w.updateEdgeServers(w.edges[-1-other], entries)
				w.applyEdgeConfig(w.edges[-1-other], version)
			})
		} else {
			w.sendOnLink(k, process, func() { w.applyUpdate(w.controllers[other], process, entries, 0) })
			w.sendStatus(n, k)
			w.sendBootstrapVoters(n, k)
		}
		w.publishUpdates(n)
	}
}

// sendOnLink sends a message over a link, after all earlier ones in the same direction.
func (w *cluster) sendOnLink(k *link, from int, do func()) {
	direction := 0
	if from == k.b {
		direction = 1
	}
	at := max(k.nextDelivery[direction], w.now+time.Duration(1+w.rng.IntN(5))*time.Millisecond)
	k.nextDelivery[direction] = at
	to := k.a + k.b - from
	w.messages = append(w.messages, message{deliverAt: at, from: from, to: to,
		incarnations: [2]int{w.incarnationOf(from), w.incarnationOf(to)}, deliver: do, link: k, epoch: k.epoch})
}

// linkBetween returns the link of two processes, or nil if it is down.
func (w *cluster) linkBetween(a, b int) *link {
	if a > b {
		a, b = b, a
	}
	if k := w.linkByEnds[[2]int{a, b}]; k != nil && k.up {
		return k
	}
	return nil
}

// applyUpdate applies registry entries from another process at a controller.
func (w *cluster) applyUpdate(n *controller, from int, entries []registry.Entry, receipt uint64) {
	n.broadcaster.HandleUpdate(linkName(from), entries, receipt, w.now)
	w.publishUpdates(n)
}

// publishUpdates sends the pending messages of a controller's broadcaster and replies to server calls that all reachable
// processes have acknowledged.
func (w *cluster) publishUpdates(n *controller) {
	out := n.broadcaster.DrainOutput()
	if len(out.Updates) > 0 {
		updates := out.Updates
		n.tables.UpdateServers(updates, w.now)
		w.persist(n, func(d *disk) {
			for _, e := range updates {
				d.servers[e.ID] = e
			}
		}, func(bool) {})
	}
	for _, message := range out.Messages {
		to := parseLinkName(message.To)
		k := w.linkBetween(n.number, to)
		switch {
		case k == nil:
		case to >= 0:
			w.sendOnLink(k, n.number, func() { w.receiveUpdate(w.controllers[to], n, message) })
		default:
			w.sendOnLink(k, n.number, func() {
				w.updateEdgeServers(w.edges[-1-to], message.Entries)
				if message.AckID != 0 {
					w.sendOnLink(k, to, func() {
						n.broadcaster.HandleAck(linkName(to), message.AckID)
						w.publishUpdates(n)
					})
				}
			})
		}
	}
	for _, call := range out.AckedCalls {
		if done := n.calls[call]; done != nil {
			delete(n.calls, call)
			done()
		}
	}
}

// receiveUpdate handles a registry message from another controller.
func (w *cluster) receiveUpdate(n, from *controller, message broadcast.Message) {
	if message.Acked != 0 {
		n.broadcaster.HandleAck(linkName(from.number), message.Acked)
	}
	w.applyUpdate(n, from.number, message.Entries, message.AckID)
}

// parseLinkName is the inverse of linkName.
func parseLinkName(name string) int {
	var kind string
	var number int
	if _, err := fmt.Sscan(name, &kind, &number); err != nil {
		panic(err) // names are made by linkName
	}
	if kind == "edge" {
		return -1 - number
	}
	return number
}

// summary is the periodic status message of a controller to its peers.
type summary struct {
	full      bool // whether it includes the slowly changing fields
	inContact bool
	digest    uint64 // of the registry
	links     []string
	wallClock float64
	traffic   weights.PeerTraffic
}

// summarize sends a controller's summary on all its links.
func (w *cluster) summarize(n *controller) {
	n.summaries++
	sent := summary{full: n.summaries%fullSummaryEvery == 0, inContact: n.replica.HasQuorumContact(w.now) && !n.shuttingDown,
		digest: n.registry.Digest(), wallClock: w.wallClock(n)}
	for _, k := range w.links {
		if k.up && k.a >= 0 && (k.a == n.number || k.b == n.number) {
			sent.links = append(sent.links, linkName(k.a+k.b-n.number))
		}
	}
	n.reservations.clock.Observe(n.name, sent.wallClock, w.now)
	sent.traffic = weights.PeerTraffic{TrafficByZone: n.tables.OwnTraffic()}
	for _, k := range w.links {
		sent.traffic.Edges += oneIf[k.up && k.a < 0 && k.b == n.number]
	}
	for _, k := range w.links {
		if !k.up || k.a != n.number && k.b != n.number {
			continue
		}
		other := k.a + k.b - n.number
		w.sendOnLink(k, n.number, func() {
			if other >= 0 {
				w.receiveSummary(w.controllers[other], n, k, sent)
			} else {
				w.receiveSummaryAtEdge(w.edges[-1-other], n, k, sent)
			}
		})
	}
}

// receiveSummary handles a summary at another controller.
func (w *cluster) receiveSummary(to, from *controller, k *link, sent summary) {
	if !sent.full {
		return
	}
	to.peerTraffic[from.number] = sent.traffic
	to.reservations.clock.Observe(from.name, sent.wallClock, w.now)
	to.broadcaster.SetPeerLinks(linkName(from.number), sent.links)
	if k.digests[oneIf[to.number == k.b]].Due(sent.digest, to.registry.Digest(), w.now) {
		w.compareDigests(k, to.number, from.number, &peer.Digests{ByZone: to.registry.ZoneDigests()})
	}
}

// receiveSummaryAtEdge handles a summary at an edge. An edge whose controller has lost its quorum looks for another one.
func (w *cluster) receiveSummaryAtEdge(e *edge, from *controller, k *link, sent summary) {
	if w.scenario.Policy == "" {
		e.picker.AssignSlots(w.zoneEdges(e.zone()), uint32(e.number))
	}
	e.inContact = sent.inContact
	if !sent.inContact && w.now > e.nextSearch {
		e.nextSearch = w.now + 2*searchInterval
		if to := w.bestController(e); to != nowhere && to != e.controller &&
			w.controllers[to].replica.HasQuorumContact(w.now) && !w.controllers[to].shuttingDown {
			e.controller = to
		}
	}
	if sent.full && k.digests[0].Due(sent.digest, e.registry.Digest(), w.now) {
		w.compareDigests(k, -1-e.number, from.number, &peer.Digests{ByZone: e.registry.ZoneDigests()})
	}
}

// zone returns the edge's zone number.
func (e *edge) zone() int { return e.number % e.zoneCount }

// zoneEdges returns the connected edges of a zone.
func (w *cluster) zoneEdges(zone int) (all []uint32) {
	for _, e := range w.edges {
		if e.zone() == zone && e.controller != nowhere {
			all = append(all, uint32(e.number))
		}
	}
	return all
}

// compareDigests sends registry digests from one process to another and exchanges the entries that differ.
func (w *cluster) compareDigests(k *link, from, to int, digests *peer.Digests) {
	w.sendOnLink(k, from, func() {
		servers := w.registryOf(to)
		reply := digests.Compare(servers, w.now)
		if reply == nil {
			return
		}
		response := peer.FrameOf(reply...)
		w.sendOnLink(k, to, func() {
			if from < 0 {
				w.updateEdgeServers(w.edges[-1-from], response.Entries)
			} else {
				w.applyUpdate(w.controllers[from], to, response.Entries, 0)
			}
			if response.Digests != nil {
				if last := response.Digests.Compare(w.registryOf(from), w.now); last != nil {
					w.sendOnLink(k, from, func() {
						if to >= 0 {
							w.applyUpdate(w.controllers[to], from, peer.FrameOf(last...).Entries, 0)
						}
					})
				}
			}
		})
	})
}

func (w *cluster) registryOf(process int) *registry.Registry {
	if process < 0 {
		return w.edges[-1-process].registry
	}
	return w.controllers[process].registry
}

const nowhere = -1000

// bestController returns the controller that an edge should attach to: a reachable one, preferably one that has contact with
// a quorum and isn't shutting down. It returns nowhere if none is reachable.
func (w *cluster) bestController(e *edge) int {
	best, score := nowhere, -1
	for i := range w.controllers {
		n := w.controllers[(e.number+i)%len(w.controllers)]
		if !w.isReachable(-1-e.number, n.number) || !w.isRunning(n.number) {
			continue
		}
		if s := 1 + oneIf[n.replica.HasQuorumContact(w.now) && !n.shuttingDown]; s > score {
			best, score = n.number, s
		}
	}
	return best
}

// oneIf maps true to 1 and false to 0.
var oneIf = map[bool]int{true: 1}

// connectAll adds a link between every two controllers and between every edge and every controller.
func (w *cluster) connectAll() {
	for b := range w.controllers {
		for a := -len(w.edges); a < b; a++ {
			w.addLink(a, b)
		}
	}
	slices.SortFunc(w.links, func(x, y *link) int { return cmp.Or(cmp.Compare(x.a, y.a), cmp.Compare(x.b, y.b)) })
}

// connectController adds links from a new controller to all existing controllers and edges.
func (w *cluster) connectController(n *controller) {
	for a := -len(w.edges); a < n.number; a++ {
		w.addLink(a, n.number)
	}
}

func (w *cluster) addLink(a, b int) {
	k := &link{a: a, b: b}
	w.links = append(w.links, k)
	w.linkByEnds[[2]int{a, b}] = k
}
