package controller

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/statemachine"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/peer"
)

func TestEarlierFileWithASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		no := false
		data, err := statemachine.New().Save()
		g.Expect(err).NotTo(HaveOccurred())
		writeDisk(t, dir, &storage.Batch{BootstrapVoters: threeVoters.Voters, Hard: &consensus.HardState{Term: 5, Commit: 64}, Recovering: &no,
			Snapshot: &consensus.Snapshot{Term: 5, Index: 64, Data: data}})
		h := start(t, ipA, dir, false)
		g.Expect(h.consensus.replica.IsVoter()).To(BeTrue())
		h.becomeLeader(h.linkReplica(ipB))
		h.stop()
	})
}

// A store that was still recovering under the earlier version must not grant before it has copied the others' claims.
func TestEarlierStoreThatIsRecovering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		yes := true
		writeDisk(t, dir, &storage.Batch{BootstrapVoters: threeVoters.Voters, Hard: &consensus.HardState{Term: 5, Commit: 1}, Recovering: &yes, Entries: []consensus.Entry{{Term: 4, Index: 1}}})
		h := start(t, ipA, dir, false)
		b := h.linkReplica(ipB)
		h.followLeader(b, 6, consensus.Message{Index: 1, LogTerm: 4, Commit: 2, Entries: []consensus.Entry{{Term: 6, Index: 2, Membership: &threeVoters}}}) // the first leader sets the cluster
		b.received()
		b.send(&peer.Frame{GrantRequests: []idempotency.Record{claimRecord(1)}, Epoch: 2})
		g.Expect(grantReplies(b.received())).NotTo(ContainElement(idempotency.ReplyGranted))
		h.stop()
	})
}
