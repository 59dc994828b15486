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

// Before anything else is on the disk there is an identity, and it is the same after a start.
func TestIdentityIsDrawnFirstAndKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir := t.TempDir()
		h := start(t, ipD, dir, false)
		drawn := h.members.identity
		g.Expect(drawn).To(HavePrefix(ipD + "#"))
		g.Expect(h.writer.batches).To(BeEmpty(), "nothing else waits for the disk yet")
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

// The founders of a first start are named by their address, vote at once, and grant at once.
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

// A disk that was lost draws an identity that no disk had before: it neither votes nor grants, also when the settings still
// say that the system starts for the first time and a spoilt file was put aside.
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

// A file of the version before identities holds members and no identity.
func TestFileOfTheEarlierVersion(t *testing.T) {
	yes, no := true, false
	for name, testCase := range map[string]struct {
		hard         consensus.HardState
		ledgerBlank  *bool
		keeps, blank bool
	}{
		"sound":               {consensus.HardState{Term: 5, Vote: ipB}, &no, true, false},
		"its votes were lost": {consensus.HardState{Term: 5, DiskLost: true}, &no, false, true},
		"both were lost":      {consensus.HardState{Term: 5, DiskLost: true}, &yes, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				dir := t.TempDir()
				writeDisk(t, dir, &storage.Batch{BootstrapVoters: threeVoters.Voters, Hard: &testCase.hard, Recovering: testCase.ledgerBlank,
					Entries: []consensus.Entry{{Term: 4, Index: 1}}, Claims: []idempotency.Record{claimRecord(1)}})
				for range 2 { // and the same at the next start
					h := start(t, ipA, dir, false)
					g.Expect(h.members.identity == ipA).To(Equal(testCase.keeps), h.members.identity)
					g.Expect(h.consensus.replica.IsVoter()).To(Equal(testCase.keeps))
					g.Expect(h.claims.store.Recovering()).To(Equal(testCase.blank))
					g.Expect(h.consensus.replica.Term()).To(BeEquivalentTo(5))
					g.Expect(h.claims.store.Len()).To(Equal(1))
					if testCase.keeps {
						g.Expect(h.members.current.Voters).To(Equal(threeVoters.Voters))
					}
					h.stop()
				}
			})
		})
	}
}

// A store that the earlier version had not restored grants nothing after the start, either.
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

// A membership that can't be makes a file worth as much as an empty disk.
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

// One that is voted out grants nothing from then on, and its new identity, the membership that removed it and the word that
// its claims count for nothing are durable together: at whatever write the power goes.
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
		g.Expect(check("before its turn")).To(BeFalse())
		h.endTurn() // applies, and hands the disk its first write
		g.Expect(h.claims.store.Recovering()).To(BeTrue(), "it grants nothing before that is durable, either")
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
		g.Expect(check("after all")).To(BeTrue())
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
