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

// Guards against DENIED: responses that were acknowledged must survive every loss within the tolerance, also one after the
// other, wherever their edge is attached. The edges of these tests send each response once: they die with the loss.
func TestResponsesSurviveLosses(t *testing.T) {
	const operations = 30
	paths := []struct {
		name   string
		lose   func(c *testCluster)
		repeat string // the controller of the edge that repeats the operations
	}{
		{"a controller never comes back", func(c *testCluster) { c.stop(ipA) }, ipC},
		{"all processes are killed", func(c *testCluster) {
			c.stopAll()
			c.startAll()
		}, ipC},
		{"all processes are killed and a disk is lost", func(c *testCluster) {
			c.stopAll()
			c.dirs[ipA] = c.t.TempDir()
			c.startAll()
		}, ipB},
		{"a disk is lost, then all processes are killed", func(c *testCluster) {
			c.loseDisk(ipB)
			c.advance(settleTime)
			c.stopAll()
			c.startAll()
			c.advance(settleTime)
			c.loseDisk(ipA)
		}, ipC},
		{"a controller is replaced by one at another address, then others lose their disks", func(c *testCluster) {
			c.addStandby(ipD)
			c.stop(ipA)
			c.advance(settleTime)
			c.loseDisk(ipB)
			c.advance(settleTime)
			c.loseDisk(ipC)
		}, ipD},
		{"a controller leaves in order and is voted out, then another loses its disk", func(c *testCluster) {
			c.addStandby(ipD)
			c.controllers[ipB].beginShutdown()
			c.advance(settleTime)
			c.stop(ipB)
			c.loseDisk(ipA)
		}, ipD},
		{"a controller is frozen for longer than contact_s, then another loses its disk", func(c *testCluster) {
			c.freeze(ipB, settleTime)
			c.advance(settleTime)
			c.loseDisk(ipA)
		}, ipB},
	}
	for _, path := range paths {
		t.Run(path.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t)
				c.run(c.attachEdge(ipA, 1), 1, 0, operations)
				c.run(c.attachEdge(ipB, 2), 2, operations, 2*operations)
				c.advance(time.Second)
				path.lose(c)
				c.advance(settleTime)
				c.expectResponses(c.attachEdge(path.repeat, 3), 3, 0, 2*operations)
				c.stopAll()
			})
		})
	}
}

// Guards against DENIED: a claim that a failed repeat left behind at a minority of the stores hid the response of the claim
// that ran, after a restart or once a successor had copied both.
func TestResponsesAreFoundBehindALeftoverClaim(t *testing.T) {
	const operations = 10
	for name, lose := range map[string]func(c *testCluster){
		"all processes are killed": func(c *testCluster) {
			c.stopAll()
			c.startAll()
		},
		"disks are lost in turn": func(c *testCluster) {
			c.loseDisk(ipA)
			c.advance(settleTime)
			c.loseDisk(ipB)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t)
				c.stop(ipC)
				c.run(c.attachEdge(ipA, 1), 1, 0, operations)
				c.startAll()
				c.advance(settleTime)
				for n := range uint64(operations) {
					c.controllers[ipC].claims.requestGrant(testOperation(0, n), 2, func(reply idempotency.GrantReply, _ idempotency.Record) {
						c.g.Expect(reply).To(Equal(idempotency.ReplyGranted))
					})
				}
				c.advance(time.Second)
				lose(c)
				c.advance(settleTime)
				c.expectResponses(c.attachEdge(ipC, 2), 2, 0, operations)
				c.stopAll()
			})
		})
	}
}

// Guards against DENIED: while a controller is frozen, or cut off, repeats elsewhere waited for it in vain and got 409.
func TestResponsesAreFoundWhileAControllerIsFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t)
		c.run(c.attachEdge(ipA, 1), 1, 0, 20)
		c.advance(time.Second)
		frozen := c.controllers[ipA]
		delete(c.controllers, ipA)
		c.expectResponses(c.attachEdge(ipB, 2), 2, 0, 20)
		c.advance(settleTime)
		c.run(c.attachEdge(ipB, 3), 3, 20, 40)
		c.advance(time.Second)
		c.expectResponses(c.attachEdge(ipC, 4), 4, 0, 40)
		c.controllers[ipA] = frozen
		c.stopAll()
	})
}

// A repeat that comes before the first run's response is durable anywhere gets that response or none, never another.
func TestRepeatWhileCopiesAreOnTheirWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t)
		edge, other := c.attachEdge(ipA, 1), c.attachEdge(ipC, 2)
		c.run(edge, 1, 0, 20)
		for n, outcome := range c.claim(other, 2, 0, 20) {
			c.g.Expect(outcome.Outcome).To(Equal(idempotency.OutcomeConflict))
			if outcome.Response != nil {
				c.g.Expect(outcome.Response).To(Equal(testResponse(n)))
			}
		}
		c.expectResponses(other, 3, 0, 20)
		c.stopAll()
	})
}

// An edge must be told that a response is safe only once a majority of the claim stores has it on disk.
func TestResponseIsConfirmedOnceAMajorityHasIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t)
		edge := c.attachEdge(ipA, 1)
		c.claim(edge, 1, 0, 1)
		c.controllers[ipB].failDisk()
		c.controllers[ipC].failDisk()
		r := testOperation(1, 0)
		r.Response = testResponse(0)
		edge.send(&peer.Frame{Responses: []idempotency.Record{r}})
		c.advance(replicationTimeout + time.Second)
		c.g.Expect(confirmations(edge)).To(BeEmpty())
		c.controllers[ipC].repairDisk()
		c.advance(time.Second)
		edge.send(&peer.Frame{Responses: []idempotency.Record{r}})
		c.advance(replicationHedgeDelay + time.Second)
		c.g.Expect(confirmations(edge)).To(Equal([]idempotency.Token{r.Token}))
		c.controllers[ipB].repairDisk()
		c.advance(time.Second)
		edge.send(&peer.Frame{Responses: []idempotency.Record{r}})
		c.advance(time.Second)
		c.g.Expect(confirmations(edge)).To(Equal([]idempotency.Token{r.Token}), "also if the confirmation was lost")
		c.stopAll()
	})
}

func confirmations(edge *scriptedPeer) (tokens []idempotency.Token) {
	for _, f := range edge.received() {
		tokens = append(tokens, f.ResponseConfirmations...)
	}
	return tokens
}

// A store with a newer durable membership must confirm no response under an older one: the successor's copy may lack it.
func TestResponseUnderAnOlderEpochIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		h.followLeader(b, 5, consensus.Message{Index: 1, LogTerm: 4, Commit: 2, Entries: []consensus.Entry{{Term: 5, Index: 2, Membership: &jointMembership}}})
		reply := func(epoch uint64) (replies []peer.GrantReply) {
			r := testOperation(1, 1)
			r.Response = testResponse(1)
			b.send(&peer.Frame{ResponseCopies: []idempotency.Record{r}, Epoch: epoch})
			h.advance(2*confirmationInterval + maxWriteDelay)
			for _, f := range b.received() {
				replies = append(replies, f.ResponseCopyReplies...)
			}
			return replies
		}
		g.Expect(reply(2)).To(Equal([]peer.GrantReply{{Token: testOperation(1, 1).Token, Reply: idempotency.ReplyStaleEpoch}}))
		g.Expect(reply(3)).To(Equal([]peer.GrantReply{{Token: testOperation(1, 1).Token, Reply: idempotency.ReplyGranted}}))
		h.stop()
	})
}

// A response that the limit of the data file leaves out is not on disk, and must not count as stored.
func TestResponseBeyondTheFileLimitIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h, b := startVoter(t)
		g.Expect(h.storage.Close()).To(Succeed())
		st, _, err := storage.Open(h.dir, time.Minute, 100)
		g.Expect(err).NotTo(HaveOccurred())
		h.storage = st
		r := testOperation(1, 1)
		r.Response = &idempotency.Response{Status: 200, Body: make([]byte, 200)}
		b.received()
		b.send(&peer.Frame{ResponseCopies: []idempotency.Record{r}, Epoch: 2})
		h.advance(2*confirmationInterval + maxWriteDelay)
		var replies []peer.GrantReply
		for _, f := range b.received() {
			replies = append(replies, f.ResponseCopyReplies...)
		}
		g.Expect(replies).To(Equal([]peer.GrantReply{{Token: r.Token, Reply: idempotency.ReplyConflict}}))
		h.stop()
	})
}

// Guards against controllers that end for their memory: replicas have a limit of their own, beyond which they are declined
// once a second instead of being sent, by their edge too, again and again.
func TestReplicasBeyondTheirLimitAreDeclined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t)
		for _, h := range c.running() {
			h.claims.store.LimitReplicas(h.Settings.IP, 100)
		}
		edge := c.attachEdge(ipA, 1)
		c.run(edge, 1, 0, 30) // some 270 bytes
		c.advance(2 * time.Second)
		c.g.Expect(confirmations(edge)).To(HaveLen(30), "none is sent again")
		own, replicas := c.controllers[ipA].claims.store, 0
		c.g.Expect(own.ResponseCount()).To(Equal(30))
		for _, ip := range []string{ipB, ipC} {
			replicas += c.controllers[ip].claims.store.ResponseCount()
		}
		c.g.Expect(replicas).To(BeNumerically("~", 20, 4), "two stores with ten bodies of nine or ten bytes each")
		c.stopAll()
	})
}
