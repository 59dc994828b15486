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

// Claims race over the claim stores of a core while messages are lost and late, claimers give up, stores lose their disks,
// as many at once as are borne, and voters are replaced. Whatever happens, two claims of a key never both stand.
var _ = Describe("stores and coordinators together", func() {
	It("never let two claims of a key stand", func() {
		stood, changes := 0, 0
		for seed := range uint64(4000) {
			for _, w := range []*cluster{newCluster(seed, 3, 0, 1, ""), newCluster(seed, 3, 2, 1, ""), newCluster(seed, 5, 1, 2, "")} {
				if !w.play() {
					Fail(fmt.Sprintf("seed %d, %d stores: two claims stand", seed, len(w.hosts)))
				}
				stood, changes = stood+len(w.stands), changes+w.changes
			}
		}
		Expect(stood).To(BeNumerically(">", 6000), "hardly any claim stood: the test shows nothing")
		Expect(changes).To(BeNumerically(">", 4000), "hardly any membership changed: the test shows nothing")
	})
	for _, fault := range []string{"an identity is used again after its disk was lost", "an entrant counts before it copied", "an entrant copies from one store only"} {
		It("are seen to go wrong: "+fault, func() {
			for seed := range uint64(20000) {
				if !newCluster(seed, 3, 1, 1, fault).play() {
					AddReportEntry(fmt.Sprintf("%s: seed %d", fault, seed))
					return
				}
			}
			Fail("the planted fault was not seen")
		})
	}
})

// letter is a message on its way, which is lost with the process at either end.
type letter struct {
	at    int
	do    func()
	ends  [2]*host
	lives [2]int
}

// host is a controller's machine: its store, its coordinator, and what it has applied of the memberships that are committed.
type host struct {
	name        string
	disks       int
	identity    string
	life        int
	applied     int // of the committed memberships, by number
	durable     int // and durably
	durableAt   int // step in which the newest becomes durable
	store       *idempotency.Store
	coordinator *idempotency.Coordinator
	copied      map[string]bool
}

type cluster struct {
	rng     *rand.Rand
	hosts   []*host
	log     []consensus.Membership // committed
	mail    []letter
	step    int
	stands  map[idempotency.Token]bool
	alive   map[idempotency.Token]bool // not given up by its claimer
	key     idempotency.Key
	lost    int // disks that may be lost at once
	changes int
	fault   string // planted
}

func newCluster(seed uint64, voters, standbys, lost int, fault string) *cluster {
	w := &cluster{rng: rand.New(rand.NewPCG(seed, 7)), stands: map[idempotency.Token]bool{}, alive: map[idempotency.Token]bool{},
		key: idempotency.KeyOf("t", "k"), lost: lost, fault: fault}
	names := []string{"a", "b", "c", "d", "e", "f"}[:voters+standbys]
	w.log = []consensus.Membership{{Epoch: 1, Voters: names[:voters]}}
	for i, name := range names {
		w.hosts = append(w.hosts, &host{name: name, identity: name, store: idempotency.NewStore(time.Hour, i >= voters)})
		w.start(w.hosts[i])
	}
	return w
}

func (w *cluster) start(h *host) {
	h.coordinator = idempotency.NewCoordinator(nil, 5, 60)
	h.copied = map[string]bool{}
	h.applied = h.durable
	h.coordinator.SetStores(h.identity, w.membership(h).Voters, w.membership(h).Next)
}

func (w *cluster) membership(h *host) consensus.Membership { return w.log[h.applied] }

func (w *cluster) newest() consensus.Membership { return w.log[len(w.log)-1] }

func (w *cluster) host(identity string) *host {
	for _, h := range w.hosts {
		if h.identity == identity {
			return h
		}
	}
	return nil
}

func (w *cluster) now() time.Duration { return time.Duration(w.step) }

// send delivers later, or never.
func (w *cluster) send(from, to *host, do func()) {
	if w.rng.IntN(12) == 0 {
		return
	}
	w.mail = append(w.mail, letter{at: w.step + 1 + w.rng.IntN(8), do: do, ends: [2]*host{from, to}, lives: [2]int{from.life, to.life}})
}

func (w *cluster) asks(h *host, asks []idempotency.GrantRequest) {
	for _, a := range asks {
		to, epoch := w.host(a.To), w.membership(h).Epoch
		if to == nil {
			w.verdict(h, a.To, a.Record.Token, idempotency.ReplyUnavailable, idempotency.Record{})
			continue
		}
		w.send(h, to, func() {
			v, holder := w.judge(to, a.Record, epoch)
			from := to.identity
			w.send(to, h, func() { w.verdict(h, from, a.Record.Token, v, holder) })
		})
	}
}

// judge has a store judge a claim that is asked under an epoch.
func (w *cluster) judge(h *host, r idempotency.Record, epoch uint64) (idempotency.GrantReply, idempotency.Record) {
	if epoch < w.log[h.durable].Epoch && w.fault != "a store without the epoch fence" {
		return idempotency.ReplyStaleEpoch, idempotency.Record{}
	}
	v, holder, store := h.store.Grant(r, w.now())
	if store && !h.store.MarkDurable(r.Key, r.Token) {
		v = idempotency.ReplyUnavailable
	}
	return v, holder
}

func (w *cluster) verdict(h *host, from string, t idempotency.Token, v idempotency.GrantReply, holder idempotency.Record) {
	more, done := h.coordinator.HandleReply(from, t, v, holder)
	w.asks(h, more)
	if done != nil {
		w.ruled(*done)
	}
}

func (w *cluster) ruled(o idempotency.Result) {
	if o.Outcome == idempotency.OutcomeGranted && w.alive[o.Token] {
		w.stands[o.Token] = true
		return
	}
	w.withdraw(o.Token)
}

func (w *cluster) withdraw(t idempotency.Token) {
	if w.stands[t] || !w.alive[t] {
		return
	}
	w.alive[t] = false
	for _, h := range w.hosts {
		w.send(h, h, func() { h.store.Revoke(w.key, t, w.now()) })
	}
}

// wipe ends a store's life and its disk; its coordinator ends with it. What comes back is another replica.
func (w *cluster) wipe(h *host) {
	h.life++
	h.disks++
	former := h.identity
	if w.fault == "an identity is used again after its disk was lost" {
		h.store = idempotency.NewStore(time.Hour, false)
		w.start(h)
		return
	}
	h.identity = membership.Identity(h.name, uint64(h.disks))
	h.durable, h.store = 0, idempotency.NewStore(time.Hour, true)
	w.start(h)
	w.forget(former)
}

func (w *cluster) forget(identity string) {
	for _, o := range w.hosts {
		for _, done := range o.coordinator.DiscardGrants(identity) {
			w.ruled(done)
		}
	}
}

// follow lets a host apply the next committed membership, and make it durable some steps later.
func (w *cluster) follow(h *host) {
	if h.applied > h.durable {
		if w.step >= h.durableAt {
			w.settled(h)
		}
		return
	}
	if h.applied == len(w.log)-1 || w.rng.IntN(6) > 0 {
		return
	}
	former := w.membership(h)
	h.applied++
	h.durableAt, h.copied = w.step+w.rng.IntN(6), map[string]bool{}
	if m := w.membership(h); former.Contains(h.identity) && !m.Contains(h.identity) {
		h.store.BeginRecovery()
	}
	w.setStores(h)
}

// settled makes what was applied durable. One that was voted out draws a new identity.
func (w *cluster) settled(h *host) {
	h.durable = h.applied
	if m, former := w.membership(h), w.log[h.applied-1]; former.Contains(h.identity) && !m.Contains(h.identity) {
		old := h.identity
		h.disks++
		h.identity = membership.Identity(h.name, uint64(h.disks))
		w.forget(old)
		w.setStores(h)
	}
}

func (w *cluster) setStores(h *host) {
	m := w.membership(h)
	asks, done := h.coordinator.SetStores(h.identity, m.Voters, m.Next)
	w.asks(h, asks)
	for _, o := range done {
		w.ruled(o)
	}
}

// copy has an entrant ask the former voters for what they hold.
func (w *cluster) copy(h *host) {
	m := w.membership(h)
	if !h.store.Recovering() || !slices.Contains(m.Next, h.identity) || slices.Contains(m.Voters, h.identity) || w.rng.IntN(4) > 0 {
		return
	}
	if w.fault == "an entrant counts before it copied" {
		h.store.FinishRecovery()
		return
	}
	for _, id := range m.Voters {
		if from := w.host(id); from != nil && !h.copied[id] {
			w.send(h, from, func() { w.sendCopy(from, h, m.Epoch) })
		}
	}
}

func (w *cluster) sendCopy(from, to *host, epoch uint64) {
	early := w.log[from.durable].Epoch < epoch || w.membership(from).Epoch != epoch
	if early && w.fault != "a copy is taken before the source applied the joint membership" {
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
		to.copied[source] = true
		former := consensus.Membership{Voters: m.Voters}
		if former.HasQuorum(func(id string) bool { return to.copied[id] }) || w.fault == "an entrant copies from one store only" {
			to.store.FinishRecovery()
		}
	})
}

// change commits memberships as the manager would: a voter whose disk was lost is replaced, any other now and then.
func (w *cluster) change() {
	newest := w.newest()
	next := consensus.Membership{Epoch: newest.Epoch + 1, Voters: newest.Voters}
	if newest.Joint() {
		ready, lost := true, false
		for _, id := range newest.Next {
			if !slices.Contains(newest.Voters, id) {
				h := w.host(id)
				lost = lost || h == nil
				ready = ready && h != nil && !h.store.Recovering() && w.log[h.durable].Epoch == newest.Epoch
			}
		}
		if !ready && !lost && w.rng.IntN(60) > 0 {
			return
		}
		if ready && !lost {
			next.Voters = newest.Next
			w.changes++
		}
	} else if next.Next = w.replaced(newest); next.Next == nil {
		return
	}
	w.log = append(w.log, next)
}

// replaced are the voters after those that are gone have been replaced by hosts that stand by; nil: nobody does.
func (w *cluster) replaced(newest consensus.Membership) []string {
	next, any := slices.Clone(newest.Voters), w.rng.IntN(40) == 0
	for i, id := range next {
		if w.host(id) != nil && !any {
			continue
		}
		for _, j := range w.rng.Perm(len(w.hosts)) {
			h := w.hosts[j]
			if w.log[h.durable].Epoch == newest.Epoch && !slices.Contains(next, h.identity) {
				next[i], any = h.identity, false
				break
			}
		}
	}
	if slices.Sort(next); slices.Equal(next, newest.Voters) {
		return nil
	}
	return next
}

// whole tells that as many disks as are tolerated may be lost now.
func (w *cluster) whole() bool {
	for _, id := range w.newest().Voters {
		if h := w.host(id); h == nil || h.store.Recovering() {
			return false
		}
	}
	return !w.newest().Joint()
}

func (w *cluster) play() bool {
	next := uint64(0)
	for w.step = 1; w.step < 220; w.step++ {
		if w.rng.IntN(10) == 0 {
			next++
			h := w.hosts[w.rng.IntN(len(w.hosts))]
			t := token(next)
			w.alive[t] = true
			w.asks(h, h.coordinator.Start(idempotency.Record{Key: w.key, Token: t, ResponseHolder: h.name}, w.now()))
		}
		if w.rng.IntN(40) == 0 && next > 0 {
			w.withdraw(token(1 + w.rng.Uint64N(next)))
		}
		if w.rng.IntN(25) == 0 && w.whole() {
			for _, i := range w.rng.Perm(len(w.newest().Voters))[:1+w.rng.IntN(w.lost)] {
				w.wipe(w.host(w.newest().Voters[i]))
			}
		}
		if w.rng.IntN(4) == 0 {
			w.change()
		}
		for _, h := range w.hosts {
			w.follow(h)
			w.copy(h)
			asks, done := h.coordinator.Tick(w.now())
			w.asks(h, asks)
			for _, o := range done {
				w.ruled(o)
			}
		}
		w.deliver()
		if len(w.stands) > 1 {
			return false
		}
	}
	return true
}

func (w *cluster) deliver() {
	mail := w.mail
	w.mail = nil
	for _, m := range mail {
		switch {
		case m.at > w.step:
			w.mail = append(w.mail, m)
		case m.ends[0].life == m.lives[0] && m.ends[1].life == m.lives[1]:
			m.do()
		}
	}
}
