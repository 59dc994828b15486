package controller

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/peer"
)

// failDisk makes all writes fail until repairDisk.
func (h *testController) failDisk() { h.g.Expect(h.storage.Close()).To(Succeed()) }

func (h *testController) repairDisk() {
	st, _, err := storage.Open(h.dir, time.Minute, 1<<20)
	h.g.Expect(err).NotTo(HaveOccurred())
	h.storage = st
}

// startNewVoter starts a controller that becomes a voter in the joint membership.
func startNewVoter(t *testing.T, dir string) (h *testController, a, b *scriptedPeer) {
	yes, m := true, threeVoters
	writeDisk(t, dir, &storage.Batch{Identity: "10.0.0.4#d", Hard: &consensus.HardState{Term: 4, Commit: 1}, Recovering: &yes, Membership: &m,
		Entries: []consensus.Entry{{Term: 4, Index: 1, Membership: &m}}})
	h = start(t, ipD, dir, false)
	a, b = h.linkReplica(ipA), h.linkReplica(ipB)
	h.followLeader(a, 5, consensus.Message{Index: 1, LogTerm: 4, Commit: 2, Entries: []consensus.Entry{{Term: 5, Index: 2, Membership: &jointMembership}}})
	h.g.Expect(h.members.current).To(Equal(jointMembership))
	return h, a, b
}

// A store with a newer durable membership must reject requests under an older one.
func TestStoreRejectsOlderEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		writeDisk(t, dir, voterDisk(ipB))
		h := start(t, ipB, dir, false)
		a := h.linkReplica(ipA)
		requestGrant := func(n, epoch uint64) []idempotency.GrantReply {
			a.received()
			a.send(&peer.Frame{GrantRequests: []idempotency.Record{claimRecord(n)}, Epoch: epoch})
			return grantReplies(a.received())
		}
		g.Expect(requestGrant(1, 2)).To(Equal([]idempotency.GrantReply{idempotency.ReplyGranted}))
		h.followLeader(a, 5, consensus.Message{Index: 1, LogTerm: 4, Commit: 2, Entries: []consensus.Entry{{Term: 5, Index: 2, Membership: &jointMembership}}})
		g.Expect(requestGrant(2, 2)).To(Equal([]idempotency.GrantReply{idempotency.ReplyStaleEpoch}))
		g.Expect(h.claims.store.Len()).To(Equal(1), "the rejected claim is not stored")
		g.Expect(requestGrant(2, 3)).To(Equal([]idempotency.GrantReply{idempotency.ReplyGranted}))
		h.stop()
		h = start(t, ipB, dir, false)
		a = h.linkReplica(ipA)
		g.Expect(requestGrant(3, 2)).To(Equal([]idempotency.GrantReply{idempotency.ReplyStaleEpoch}), "the epoch is kept over a restart")
		h.stop()
	})
}

// A coordinator with an old membership must retry once it learns the newer one. The claim is granted with majorities of both
// voter sets.
func TestCoordinatorAsksAgainUnderTheNewerEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		next := jointMembership // a joint membership in which only one voter stays
		next.Next = []string{ipA, "10.0.0.4#d", "10.0.0.5#e"}
		dir := t.TempDir()
		writeDisk(t, dir, voterDisk(ipA))
		h := start(t, ipA, dir, false)
		b, d := h.linkReplica(ipB), h.linkReplica("10.0.0.4#d")
		edge := h.link("10.0.0.9", &peer.Handshake{Node: "e", IP: "10.0.0.9", Zone: "x", Edge: true})
		requestedEpochs := func(s *scriptedPeer) (epochs []uint64) {
			for _, f := range s.received() {
				if len(f.GrantRequests) > 0 {
					epochs = append(epochs, f.Epoch)
				}
			}
			return epochs
		}
		r := claimRecord(1)
		edge.send(&peer.Frame{Claims: []idempotency.Record{r}})
		g.Expect(requestedEpochs(b)).To(Equal([]uint64{2}))
		b.send(&peer.Frame{GrantReplies: []peer.GrantReply{{Token: r.Token, Reply: idempotency.ReplyStaleEpoch}}})
		requestedEpochs(b)
		h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4, Commit: 2, Entries: []consensus.Entry{{Term: 5, Index: 2, Membership: &next}}})
		g.Expect(requestedEpochs(b)).To(Equal([]uint64{3}))
		for _, s := range []*scriptedPeer{b, d} {
			for _, f := range edge.received() {
				g.Expect(f.Outcomes).To(BeEmpty(), "the claim needs majorities of both sets")
			}
			s.send(&peer.Frame{GrantReplies: []peer.GrantReply{{Token: r.Token, Reply: idempotency.ReplyGranted}}})
		}
		var outcomes []peer.ClaimOutcome
		for _, f := range edge.received() {
			outcomes = append(outcomes, f.Outcomes...)
		}
		g.Expect(outcomes).To(Equal([]peer.ClaimOutcome{{Token: r.Token, Outcome: idempotency.OutcomeGranted}}))
		h.stop()
	})
}

// A store must send its claims only once the joint membership is durable. From then on it grants nothing under the previous
// membership, and all its earlier grants are in the copy.
func TestCopyIsSentAfterTheJointMembershipIsDurable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		writeDisk(t, dir, voterDisk(ipB))
		h := start(t, ipB, dir, false)
		a, d := h.linkReplica(ipA), h.linkReplica("10.0.0.4#d")
		copied := func(epoch uint64) (records int, complete bool) {
			d.received()
			d.send(&peer.Frame{CopyRequest: true, Epoch: epoch})
			for _, f := range d.received() {
				if f.ClaimsChunk != nil {
					g.Expect(f.Epoch).To(Equal(epoch))
					records, complete = records+len(f.ClaimsChunk.Records), complete || f.ClaimsChunk.Last
				}
			}
			return records, complete
		}
		_, complete := copied(3)
		g.Expect(complete).To(BeFalse(), "the epoch is unknown to the store")
		h.failDisk()
		h.followLeader(a, 5, consensus.Message{Index: 1, LogTerm: 4, Commit: 2, Entries: []consensus.Entry{{Term: 5, Index: 2, Membership: &jointMembership}}})
		g.Expect(h.members.current).To(Equal(jointMembership))
		_, complete = copied(3)
		g.Expect(complete).To(BeFalse(), "the membership is applied but not durable")
		h.repairDisk()
		h.advance(2 * writeRetry)
		a.send(&peer.Frame{GrantRequests: []idempotency.Record{claimRecord(1)}, Epoch: 3})
		records, complete := copied(3)
		g.Expect(complete).To(BeTrue())
		g.Expect(records).To(Equal(1))
		_, complete = copied(2)
		g.Expect(complete).To(BeFalse(), "the epoch is older than the current one")
		h.stop()
	})
}

// The copied claims of a new voter must be durable before it announces that its store is complete, also if writes fail
// meanwhile.
func TestCopiesSurviveFailedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		h, a, b := startNewVoter(t, dir)
		claims := func(from, to uint64) (records []idempotency.Record) {
			for n := from; n < to; n++ {
				records = append(records, claimRecord(n))
			}
			return records
		}
		announcedReady := func() (announced bool) {
			for _, f := range a.received() {
				announced = announced || f.ReplicaStatus != nil && f.ReplicaStatus.Ready
			}
			return announced
		}
		a.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Records: claims(1, 11)}, Epoch: 3})
		h.failDisk()
		a.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Records: claims(11, 21)}, Epoch: 3})
		h.advance(3 * writeRetry)
		a.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Records: claims(21, 31), Last: true}, Epoch: 3})
		b.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Records: claims(5, 41), Last: true}, Epoch: 3})
		h.advance(3 * writeRetry)
		g.Expect(announcedReady()).To(BeFalse())
		g.Expect(h.claims.store.Recovering()).To(BeTrue(), "it must not grant before its recovery is durable")
		g.Expect(h.log.containing("disk write failed")).To(HaveLen(1))
		h.repairDisk()
		h.advance(3 * writeRetry)
		g.Expect(announcedReady()).To(BeTrue())
		h.stop()
		s := readDisk(t, dir)
		g.Expect(s.Recovering).To(BeFalse())
		keys := map[idempotency.Key]bool{}
		for _, r := range s.Claims {
			g.Expect(r.Imported).To(BeTrue())
			keys[r.Key] = true
		}
		g.Expect(keys).To(HaveLen(40))
		h = start(t, ipD, dir, false)
		reply, _, _ := h.claims.store.Grant(claimRecord(15), h.Now())
		g.Expect(reply).To(Equal(idempotency.ReplyConflict), "a copied key must not be granted to another claim, also after a restart")
		h.stop()
	})
}

// Copies of one previous voter, of a store that is itself recovering and of another epoch are no majority of the previous
// voters.
func TestNewVoterNeedsAMajorityOfCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, a, b := startNewVoter(t, t.TempDir())
		e := h.linkReplica("10.0.0.5#e")
		a.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Last: true}, Epoch: 3})
		a.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Last: true}, Epoch: 3})
		e.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Last: true}, Epoch: 3})
		b.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Last: true}, Epoch: 2})
		b.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Last: true, Recovering: true}, Epoch: 3})
		g.Expect(h.claims.store.Recovering()).To(BeTrue())
		b.send(&peer.Frame{ClaimsChunk: &peer.ClaimsChunk{Last: true}, Epoch: 3})
		g.Expect(h.claims.store.Recovering()).To(BeFalse())
		h.stop()
	})
}

// The grants of a previous identity at the same address must not count.
func TestGrantsOfALostDiskAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		writeDisk(t, dir, voterDisk(ipA))
		h := start(t, ipA, dir, false)
		b, c := h.linkReplica(ipB), h.linkReplica(ipC)
		edge := h.link("10.0.0.9", &peer.Handshake{Node: "e", IP: "10.0.0.9", Zone: "x", Edge: true})
		h.failDisk() // the local store can't grant
		r := claimRecord(1)
		edge.send(&peer.Frame{Claims: []idempotency.Record{r}})
		h.advance(2 * claimHedgeDelay)
		b.send(&peer.Frame{GrantReplies: []peer.GrantReply{{Token: r.Token, Reply: idempotency.ReplyGranted}}})
		b.send(&peer.Frame{ReplicaStatus: &peer.ReplicaStatus{Identity: ipB + "#7", Cluster: cluster, Epoch: 2}})
		h.repairDisk()
		c.send(&peer.Frame{GrantReplies: []peer.GrantReply{{Token: r.Token, Reply: idempotency.ReplyGranted}}})
		h.advance(claimTimeout + time.Second)
		var outcomes []peer.ClaimOutcome
		for _, f := range edge.received() {
			outcomes = append(outcomes, f.Outcomes...)
		}
		g.Expect(outcomes).To(Equal([]peer.ClaimOutcome{{Token: r.Token, Outcome: idempotency.OutcomeUndecided}}))
		h.stop()
	})
}

// Without a known membership, an edge's claim must be answered at once as undecided.
func TestClaimWithoutVotersIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := start(t, ipD, t.TempDir(), false)
		edge := h.link("10.0.0.9", &peer.Handshake{Node: "e", IP: "10.0.0.9", Zone: "x", Edge: true})
		edge.received()
		edge.send(&peer.Frame{Claims: []idempotency.Record{claimRecord(1)}})
		g.Expect(edge.received()[0].Outcomes).To(Equal([]peer.ClaimOutcome{{Token: claimRecord(1).Token, Outcome: idempotency.OutcomeUndecided}}))
		h.stop()
	})
}
