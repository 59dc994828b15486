package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/membership"
)

// Concurrent claims of one key while messages are lost and delayed, claimants revoke their claims, up to the tolerated number
// of stores lose their disks at once, and voters are replaced. At most one claim of the key may be granted.
var _ = Describe("stores and coordinators in a cluster", func() {
	It("never grant two claims of a key", func() {
		granted, changes := 0, 0
		for seed := range uint64(4000) {
			for _, w := range []*cluster{newCluster(seed, 3, 0, 1, ""), newCluster(seed, 3, 2, 1, ""), newCluster(seed, 5, 1, 2, "")} {
				if !w.run() {
					Fail(fmt.Sprintf("seed %d, %d stores: two claims are granted", seed, len(w.hosts)))
				}
				granted, changes = granted+len(w.granted), changes+w.changeCount
			}
		}
		Expect(granted).To(BeNumerically(">", 6000), "too few claims were granted for a meaningful test")
		Expect(changes).To(BeNumerically(">", 4000), "too few membership changes for a meaningful test")
	})
	for _, fault := range []string{"an identity is reused after its disk was lost", "a new voter grants before it imported claims", "a new voter imports from one store only"} {
		It("violate the invariant if "+fault, func() {
			for seed := range uint64(20000) {
				if !newCluster(seed, 3, 1, 1, fault).run() {
					AddReportEntry(fmt.Sprintf("%s: seed %d", fault, seed))
					return
				}
			}
			Fail("the injected fault was not detected")
		})
	}
})

// delivery is a message in flight. It is dropped if the process at either endpoint has been restarted since it was sent.
type delivery struct {
	arrivesAt    int // step
	deliver      func()
	endpoints    [2]*host
	incarnations [2]int
}

// host is a controller with its store and its coordinator, and the committed memberships that it has applied.
type host struct {
	name              string
	diskCount         int
	identity          string
	incarnation       int
	appliedMembership int // index of the newest applied membership in cluster.memberships
	durableMembership int // index of the newest membership that is durable
	durableAtStep     int // step in which appliedMembership becomes durable
	store             *idempotency.Store
	coordinator       *idempotency.Coordinator
	importedFrom      map[string]bool // identities of the stores whose claims were imported
}

// cluster simulates controllers that compete for one key. Time is counted in steps.
type cluster struct {
	rng         *rand.Rand
	hosts       []*host
	memberships []consensus.Membership // all committed memberships, oldest first
	inFlight    []delivery
	step        int
	granted     map[idempotency.Token]bool
	active      map[idempotency.Token]bool // claims that their claimant has not revoked
	key         idempotency.Key
	tolerance   int    // number of disks that may be lost at once
	changeCount int    // finished membership changes
	fault       string // injected fault; empty: none
}

func newCluster(seed uint64, voters, standbys, tolerance int, fault string) *cluster {
	w := &cluster{rng: rand.New(rand.NewPCG(seed, 7)), granted: map[idempotency.Token]bool{}, active: map[idempotency.Token]bool{},
		key: idempotency.KeyOf("t", "k"), tolerance: tolerance, fault: fault}
	names := []string{"a", "b", "c", "d", "e", "f"}[:voters+standbys]
	w.memberships = []consensus.Membership{{Epoch: 1, Voters: names[:voters]}}
	for i, name := range names {
		w.hosts = append(w.hosts, &host{name: name, identity: name, store: idempotency.NewStore(time.Hour, i >= voters)})
		w.start(w.hosts[i])
	}
	return w
}

func (w *cluster) start(h *host) {
	h.coordinator = idempotency.NewCoordinator(nil, 5, 60)
	h.importedFrom = map[string]bool{}
	h.appliedMembership = h.durableMembership
	h.coordinator.SetStores(h.identity, w.membership(h).Voters, w.membership(h).Next)
}

func (w *cluster) membership(h *host) consensus.Membership { return w.memberships[h.appliedMembership] }

func (w *cluster) newestMembership() consensus.Membership { return w.memberships[len(w.memberships)-1] }

func (w *cluster) host(identity string) *host {
	for _, h := range w.hosts {
		if h.identity == identity {
			return h
		}
	}
	return nil
}

func (w *cluster) now() time.Duration { return time.Duration(w.step) }

// send schedules a message for delivery after a random delay; one in 12 messages is lost.
func (w *cluster) send(from, to *host, deliver func()) {
	if w.rng.IntN(12) == 0 {
		return
	}
	w.inFlight = append(w.inFlight, delivery{arrivesAt: w.step + 1 + w.rng.IntN(8), deliver: deliver, endpoints: [2]*host{from, to}, incarnations: [2]int{from.incarnation, to.incarnation}})
}

func (w *cluster) sendRequests(h *host, requests []idempotency.GrantRequest) {
	for _, request := range requests {
		to, epoch := w.host(request.To), w.membership(h).Epoch
		if to == nil {
			w.handleReply(h, request.To, request.Record.Token, idempotency.ReplyUnavailable, idempotency.Record{})
			continue
		}
		w.send(h, to, func() {
			reply, holder := w.grant(to, request.Record, epoch)
			from := to.identity
			w.send(to, h, func() { w.handleReply(h, from, request.Record.Token, reply, holder) })
		})
	}
}

// grant requests a claim from a store under the requester's membership epoch.
func (w *cluster) grant(h *host, r idempotency.Record, epoch uint64) (idempotency.GrantReply, idempotency.Record) {
	if epoch < w.memberships[h.durableMembership].Epoch && w.fault != "a store ignores the epoch of requests" {
		return idempotency.ReplyStaleEpoch, idempotency.Record{}
	}
	reply, holder, mustStore := h.store.Grant(r, w.now())
	if mustStore && !h.store.MarkDurable(r.Key, r.Token) {
		reply = idempotency.ReplyUnavailable
	}
	return reply, holder
}

func (w *cluster) handleReply(h *host, from string, t idempotency.Token, reply idempotency.GrantReply, holder idempotency.Record) {
	more, result := h.coordinator.HandleReply(from, t, reply, holder)
	w.sendRequests(h, more)
	if result != nil {
		w.handleResult(*result)
	}
}

func (w *cluster) handleResult(o idempotency.Result) {
	if o.Outcome == idempotency.OutcomeGranted && w.active[o.Token] {
		w.granted[o.Token] = true
		return
	}
	w.revoke(o.Token)
}

func (w *cluster) revoke(t idempotency.Token) {
	if w.granted[t] || !w.active[t] {
		return
	}
	w.active[t] = false
	for _, h := range w.hosts {
		w.send(h, h, func() { h.store.Revoke(w.key, t, w.now()) })
	}
}

// loseDisk restarts a host with an empty disk, under a new identity. Its coordinator loses all pending claims.
func (w *cluster) loseDisk(h *host) {
	h.incarnation++
	h.diskCount++
	former := h.identity
	if w.fault == "an identity is reused after its disk was lost" {
		h.store = idempotency.NewStore(time.Hour, false)
		w.start(h)
		return
	}
	h.identity = membership.Identity(h.name, uint64(h.diskCount))
	h.durableMembership, h.store = 0, idempotency.NewStore(time.Hour, true)
	w.start(h)
	w.discardGrants(former)
}

func (w *cluster) discardGrants(identity string) {
	for _, o := range w.hosts {
		for _, result := range o.coordinator.DiscardGrants(identity) {
			w.handleResult(result)
		}
	}
}

// applyNextMembership applies the next committed membership to a host at random, and makes it durable some steps later.
func (w *cluster) applyNextMembership(h *host) {
	if h.appliedMembership > h.durableMembership {
		if w.step >= h.durableAtStep {
			w.makeMembershipDurable(h)
		}
		return
	}
	if h.appliedMembership == len(w.memberships)-1 || w.rng.IntN(6) > 0 {
		return
	}
	former := w.membership(h)
	h.appliedMembership++
	h.durableAtStep, h.importedFrom = w.step+w.rng.IntN(6), map[string]bool{}
	if m := w.membership(h); former.Contains(h.identity) && !m.Contains(h.identity) {
		h.store.BeginRecovery()
	}
	w.setStores(h)
}

// makeMembershipDurable makes the applied membership durable. A host that is no longer a voter gets a new identity.
func (w *cluster) makeMembershipDurable(h *host) {
	h.durableMembership = h.appliedMembership
	if m, former := w.membership(h), w.memberships[h.appliedMembership-1]; former.Contains(h.identity) && !m.Contains(h.identity) {
		old := h.identity
		h.diskCount++
		h.identity = membership.Identity(h.name, uint64(h.diskCount))
		w.discardGrants(old)
		w.setStores(h)
	}
}

func (w *cluster) setStores(h *host) {
	m := w.membership(h)
	requests, results := h.coordinator.SetStores(h.identity, m.Voters, m.Next)
	w.sendRequests(h, requests)
	for _, o := range results {
		w.handleResult(o)
	}
}

// requestClaims sends requests for claims from a new voter to the former voters.
func (w *cluster) requestClaims(h *host) {
	m := w.membership(h)
	if !h.store.Recovering() || !slices.Contains(m.Next, h.identity) || slices.Contains(m.Voters, h.identity) || w.rng.IntN(4) > 0 {
		return
	}
	if w.fault == "a new voter grants before it imported claims" {
		h.store.FinishRecovery()
		return
	}
	for _, id := range m.Voters {
		if from := w.host(id); from != nil && !h.importedFrom[id] {
			w.send(h, from, func() { w.sendClaims(from, h, m.Epoch) })
		}
	}
}

func (w *cluster) sendClaims(from, to *host, epoch uint64) {
	early := w.memberships[from.durableMembership].Epoch < epoch || w.membership(from).Epoch != epoch
	if early && w.fault != "claims are exported before the source applied the joint membership" {
		return
	}
	if from.store.Recovering() || !slices.Contains(w.membership(from).Voters, from.identity) {
		return
	}
	var all []idempotency.Record
	from.store.EachClaim(func(r idempotency.Record) { all = append(all, r) })
	source := from.identity
	w.send(from, to, func() {
		m := w.membership(to)
		if m.Epoch != epoch || !to.store.Recovering() || !slices.Contains(m.Next, to.identity) {
			return
		}
		for _, r := range all {
			to.store.Import(r, w.now())
		}
		to.importedFrom[source] = true
		former := consensus.Membership{Voters: m.Voters}
		if former.HasQuorum(func(id string) bool { return to.importedFrom[id] }) || w.fault == "a new voter imports from one store only" {
			to.store.FinishRecovery()
		}
	})
}

// changeMembership commits memberships as the membership manager does: a voter that lost its disk is replaced, and a random
// voter occasionally.
func (w *cluster) changeMembership() {
	newest := w.newestMembership()
	next := consensus.Membership{Epoch: newest.Epoch + 1, Voters: newest.Voters}
	if newest.Joint() {
		ready, lost := true, false
		for _, id := range newest.Next {
			if !slices.Contains(newest.Voters, id) {
				h := w.host(id)
				lost = lost || h == nil
				ready = ready && h != nil && !h.store.Recovering() && w.memberships[h.durableMembership].Epoch == newest.Epoch
			}
		}
		if !ready && !lost && w.rng.IntN(60) > 0 {
			return
		}
		if ready && !lost {
			next.Voters = newest.Next
			w.changeCount++
		}
	} else if next.Next = w.chooseNextVoters(newest); next.Next == nil {
		return
	}
	w.memberships = append(w.memberships, next)
}

// chooseNextVoters returns the voters after lost ones were replaced by standbys, or nil if nothing changes.
func (w *cluster) chooseNextVoters(newest consensus.Membership) []string {
	next, replaceAny := slices.Clone(newest.Voters), w.rng.IntN(40) == 0
	for i, id := range next {
		if w.host(id) != nil && !replaceAny {
			continue
		}
		for _, j := range w.rng.Perm(len(w.hosts)) {
			h := w.hosts[j]
			if w.memberships[h.durableMembership].Epoch == newest.Epoch && !slices.Contains(next, h.identity) {
				next[i], replaceAny = h.identity, false
				break
			}
		}
	}
	if slices.Sort(next); slices.Equal(next, newest.Voters) {
		return nil
	}
	return next
}

// canLoseDisks reports whether the tolerated number of disks may be lost now.
func (w *cluster) canLoseDisks() bool {
	for _, id := range w.newestMembership().Voters {
		if h := w.host(id); h == nil || h.store.Recovering() {
			return false
		}
	}
	return !w.newestMembership().Joint()
}

// run plays 220 steps and reports whether at most one claim was granted.
func (w *cluster) run() bool {
	lastToken := uint64(0)
	for w.step = 1; w.step < 220; w.step++ {
		if w.rng.IntN(10) == 0 {
			lastToken++
			h := w.hosts[w.rng.IntN(len(w.hosts))]
			t := token(lastToken)
			w.active[t] = true
			w.sendRequests(h, h.coordinator.Start(idempotency.Record{Key: w.key, Token: t, ResponseHolder: h.name}, w.now()))
		}
		if w.rng.IntN(40) == 0 && lastToken > 0 {
			w.revoke(token(1 + w.rng.Uint64N(lastToken)))
		}
		if w.rng.IntN(25) == 0 && w.canLoseDisks() {
			for _, i := range w.rng.Perm(len(w.newestMembership().Voters))[:1+w.rng.IntN(w.tolerance)] {
				w.loseDisk(w.host(w.newestMembership().Voters[i]))
			}
		}
		if w.rng.IntN(4) == 0 {
			w.changeMembership()
		}
		for _, h := range w.hosts {
			w.applyNextMembership(h)
			w.requestClaims(h)
			requests, results := h.coordinator.Tick(w.now())
			w.sendRequests(h, requests)
			for _, o := range results {
				w.handleResult(o)
			}
		}
		w.deliver()
		if len(w.granted) > 1 {
			return false
		}
	}
	return true
}

func (w *cluster) deliver() {
	queued := w.inFlight
	w.inFlight = nil
	for _, m := range queued {
		switch {
		case m.arrivesAt > w.step:
			w.inFlight = append(w.inFlight, m)
		case m.endpoints[0].incarnation == m.incarnations[0] && m.endpoints[1].incarnation == m.incarnations[1]:
			m.deliver()
		}
	}
}
