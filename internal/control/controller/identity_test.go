package controller

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/consensus"
	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/peer"
)

func claimRecord(n uint64) idempotency.Record {
	return idempotency.Record{Key: idempotency.Key{byte(n)}, Token: idempotency.Token{Incarnation: 1, Sequence: n}}
}

// The identity must be stored before anything else and stay the same after a restart, also if power is lost at once.
func TestIdentityIsDrawnFirstAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		h := start(t, ipD, dir, false)
		drawn := h.members.identity
		g.Expect(drawn).To(HavePrefix(ipD + "#"))
		g.Expect(h.writer.batches).To(BeEmpty(), "no other write is buffered yet")
		h.stop() // power is lost at once
		s := readDisk(t, dir)
		g.Expect(s.Identity).To(Equal(drawn))
		g.Expect(s.Recovering).To(BeTrue())
		g.Expect([]any{s.Hard, s.Entries, s.Claims, s.Servers}).To(HaveEach(BeZero()))
		h = start(t, ipD, dir, false)
		g.Expect(h.members.identity).To(Equal(drawn))
		g.Expect(h.consensus.replica.ID()).To(Equal(drawn))
		h.stop()
	})
}

// The bootstrap voters have their address as identity, and vote and grant at once.
func TestBootstrapVotersVoteAndGrantAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		h := start(t, ipA, dir, true)
		g.Expect(h.members.identity).To(Equal(ipA))
		g.Expect(h.consensus.replica.IsVoter()).To(BeTrue())
		g.Expect(h.claims.store.Recovering()).To(BeFalse())
		h.stop()
		h = start(t, ipA, dir, false)
		g.Expect(h.consensus.replica.IsVoter()).To(BeTrue())
		g.Expect(h.claims.store.Recovering()).To(BeFalse())
		h.stop()
	})
}

// A lost disk must get a new identity, which neither votes nor grants. This also holds if a corrupt file was moved aside while
// the settings still announce the first start.
func TestLostDiskGetsAnotherIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		seen := map[string]bool{ipA: true}
		for range 5 {
			h := start(t, ipA, t.TempDir(), false)
			g.Expect(seen).NotTo(HaveKey(h.members.identity))
			seen[h.members.identity] = true
			g.Expect(h.consensus.replica.IsVoter()).To(BeFalse())
			g.Expect(h.claims.store.Recovering()).To(BeTrue())
			h.stop()
		}
		dir := t.TempDir()
		g.Expect(os.WriteFile(filepath.Join(dir, "exchange.db"), []byte("no database"), 0o600)).To(Succeed())
		h := start(t, ipA, dir, true)
		g.Expect(h.members.identity).To(HavePrefix(ipA + "#"))
		g.Expect(h.consensus.replica.IsVoter()).To(BeFalse())
		g.Expect(h.log.containing("data file corrupt")).To(HaveLen(1))
		h.stop()
	})
}

// A data file from before identities were introduced has members, but no identity.
func TestFileOfTheEarlierVersion(t *testing.T) {
	yes, no := true, false
	for name, testCase := range map[string]struct {
		hard                      consensus.HardState
		storedRecovering          *bool
		keepsIdentity, recovering bool
	}{
		"sound":               {consensus.HardState{Term: 5, Vote: ipB}, &no, true, false},
		"its votes were lost": {consensus.HardState{Term: 5, DiskLost: true}, &no, false, true},
		"both were lost":      {consensus.HardState{Term: 5, DiskLost: true}, &yes, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				dir := t.TempDir()
				writeDisk(t, dir, &storage.Batch{BootstrapVoters: threeVoters.Voters, Hard: &testCase.hard, Recovering: testCase.storedRecovering,
					Entries: []consensus.Entry{{Term: 4, Index: 1}}, Claims: []idempotency.Record{claimRecord(1)}})
				for range 2 { // the same again after a restart
					h := start(t, ipA, dir, false)
					g.Expect(h.members.identity == ipA).To(Equal(testCase.keepsIdentity), h.members.identity)
					g.Expect(h.consensus.replica.IsVoter()).To(Equal(testCase.keepsIdentity))
					g.Expect(h.claims.store.Recovering()).To(Equal(testCase.recovering))
					g.Expect(h.consensus.replica.Term()).To(BeEquivalentTo(5))
					g.Expect(h.claims.store.Len()).To(Equal(1))
					if testCase.keepsIdentity {
						g.Expect(h.members.current.Voters).To(Equal(threeVoters.Voters))
					}
					h.stop()
				}
			})
		})
	}
}

// A store that was still recovering under the earlier version must not grant after a restart.
func TestStoreOfTheEarlierVersionKeepsRecovering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir, yes := t.TempDir(), true
		writeDisk(t, dir, &storage.Batch{BootstrapVoters: threeVoters.Voters, Hard: &consensus.HardState{Term: 5}, Recovering: &yes})
		for range 2 {
			h := start(t, ipA, dir, false)
			g.Expect(h.claims.store.Recovering()).To(BeTrue())
			h.stop()
		}
	})
}

// A data file with an invalid membership is moved aside, and the replica starts as with an empty disk.
func TestInvalidMembershipIsMovedAside(t *testing.T) {
	for name, m := range map[string]consensus.Membership{
		"a voter twice":        {Epoch: 4, Voters: []string{ipA, ipA, ipB}},
		"no voters":            {Epoch: 4},
		"a next voter twice":   {Epoch: 4, Voters: []string{ipA, ipB, ipC}, Next: []string{ipB, ipB}},
		"a voter with no name": {Epoch: 4, Voters: []string{ipA, ""}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				dir := t.TempDir()
				b := voterDisk(ipA)
				b.Membership, b.Entries = &m, nil
				writeDisk(t, dir, b)
				h := start(t, ipA, dir, false)
				g.Expect(h.members.identity).To(HavePrefix(ipA + "#"))
				g.Expect(h.consensus.replica.IsVoter()).To(BeFalse())
				g.Expect(h.log.containing("data file corrupt")).To(ConsistOf(ContainSubstring("membership 4")))
				g.Expect(filepath.Join(dir, "exchange.db.spoilt")).To(BeAnExistingFile())
				h.stop()
			})
		})
	}
}

// A replica that is voted out must stop granting at once. Its new identity, the membership that removed it and the record that
// its store is recovering must become durable together, whenever power is lost.
func TestRetirementIsAtomic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		writeDisk(t, dir, voterDisk(ipC))
		h := start(t, ipC, dir, false)
		b := h.linkReplica(ipB)
		final := consensus.Membership{Epoch: 4, Cluster: cluster, Voters: []string{ipA, ipB, "10.0.0.4#d"}}
		path := filepath.Join(dir, "exchange.db")
		check := func(when string) (retired bool) {
			text, err := os.ReadFile(path)
			g.Expect(err).NotTo(HaveOccurred())
			copied := t.TempDir()
			g.Expect(os.WriteFile(filepath.Join(copied, "exchange.db"), text, 0o600)).To(Succeed())
			s := readDisk(t, copied)
			g.Expect(s.Corrupt).NotTo(HaveOccurred())
			retired = strings.HasPrefix(s.Identity, ipC+"#")
			g.Expect(s.Recovering).To(Equal(retired), when)
			g.Expect(s.Membership.Contains(ipC)).NotTo(Equal(retired), when)
			return retired
		}
		h.handleMessages(b.p, []peer.Message{peer.ConsensusMessages{{Kind: consensus.Append, From: ipB, To: ipC, Term: 5, Index: 1, LogTerm: 4, Commit: 3, LeaderInContact: true,
			Entries: []consensus.Entry{{Term: 5, Index: 2, Membership: &jointMembership}, {Term: 5, Index: 3, Membership: &final}}}}})
		g.Expect(check("before the turn")).To(BeFalse())
		h.endTurn() // applies the entries and starts the first write
		g.Expect(h.claims.store.Recovering()).To(BeTrue(), "it must stop granting before the change is durable")
		for range 5 {
			synctest.Wait()
			check("between writes")
			for len(h.inbox) > 0 {
				(<-h.inbox)()
				check("between writes")
			}
			h.endTurn()
		}
		h.settle()
		g.Expect(check("after all writes")).To(BeTrue())
		g.Expect(h.members.identity).To(HavePrefix(ipC + "#"))
		g.Expect(h.consensus.replica.ID()).To(Equal(h.members.identity))
		g.Expect(h.consensus.replica.IsVoter()).To(BeFalse())
		h.stop()
		h = start(t, ipC, dir, false)
		g.Expect(h.consensus.replica.IsVoter()).To(BeFalse())
		g.Expect(h.claims.store.Recovering()).To(BeTrue())
		h.stop()
	})
}
