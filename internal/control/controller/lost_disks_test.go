package controller

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"mulleinwood/internal/control/idempotency"
	"mulleinwood/internal/control/storage"
	"mulleinwood/internal/peer"
)

// Guards against DENIED: the responses of acknowledged operations were on one controller only, and lost with its disk, so that
// repeats got 409 until their key's window was over.
func TestResponsesSurviveTheLossOfOneDisk(t *testing.T) {
	for _, lost := range threeVoters.Voters {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t)
				c.run(c.attachEdge(ipA, 1), 1, 0, 20)
				c.advance(time.Second)
				c.loseDisk(lost)
				c.advance(settleTime)
				c.expectResponses(c.attachEdge(ipB, 2), 2, 0, 20)
				c.stopAll()
			})
		})
	}
}

// Guards against DENIED: a successor copied the claims of a lost disk but no responses, so that disks lost in turn, each
// settle_s after the one before was back, left none of them.
func TestResponsesSurviveDisksLostInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t)
		const operations = 600 // more than one query of the backfill
		c.run(c.attachEdge(ipA, 1), 1, 0, operations)
		c.advance(time.Second)
		for _, ip := range []string{ipA, ipB, ipC, ipB} {
			c.loseDisk(ip)
			c.advance(settleTime)
		}
		c.expectResponses(c.attachEdge(ipC, 2), 2, 0, operations)
		c.stopAll()
	})
}

// Guards against DENIED: a successor that was killed while it copied responses took the rest for complete.
func TestBackfillGoesOnAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		dir, imported := t.TempDir(), testOperation(1, 7)
		imported.Imported = true
		writeDisk(t, dir, voterDisk(ipA))
		writeDisk(t, dir, &storage.Batch{Claims: []idempotency.Record{imported}})
		h := start(t, ipA, dir, false)
		b := h.linkReplica(ipB)
		b.received()
		h.advance(2 * tickInterval)
		var queries []idempotency.Record
		for _, f := range b.received() {
			queries = append(queries, f.KeyQueries...)
		}
		g.Expect(queries).To(Equal([]idempotency.Record{testOperation(1, 7)}))
		reply := testOperation(1, 7)
		reply.Response = testResponse(7)
		b.send(&peer.Frame{KeyReplies: []idempotency.Record{reply}})
		g.Expect(h.claims.store.Response(reply.Key, reply.Token)).To(Equal(testResponse(7)))
		h.stop()
		reply.Imported = true
		g.Expect(readDisk(t, dir).Claims).To(ContainElement(reply), "the response is durable")
	})
}
